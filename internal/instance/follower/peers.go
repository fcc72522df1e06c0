package follower

import (
	"bytes"
	"crypto/cipher"
	"net/netip"
	"slices"

	"go.uber.org/zap"

	"knapweedreel/internal/catalog"
	"knapweedreel/internal/instance/evidence"
)

// publishPeers publishes who else serves callers of this region.
func (f *Follower) publishPeers(d *catalog.Directory) {
	var hosts []string
	if f.table != nil {
		hosts = f.table.Hosts()
	}
	peers := make([]netip.AddrPort, 0)
	for _, m := range d.ServingHosts(hosts, f.cfg.Self.Region) {
		if m.ID == f.cfg.Self.ID {
			continue
		}
		address, err := netip.ParseAddrPort(m.PeerAddress)
		if err != nil {
			f.log.Warn("peer_address_invalid", zap.String("id", m.ID), zap.Error(err))
			continue
		}
		peers = append(peers, address)
	}
	f.peers.Store(&peers)
}

// relays are the instances of the failure domain that read the store for it.
type relays struct {
	first  bool     // this instance is the one that does so while it is served
	others []string // addresses, in the order in which they are tried
}

// publishRelays publishes which instances of the failure domain read the store
// for it.
func (f *Follower) publishRelays(d *catalog.Directory) {
	next := relays{}
	for i, m := range d.Relays(f.cfg.Self) {
		if m.ID == f.cfg.Self.ID {
			next.first = i == 0
			continue
		}
		next.others = append(next.others, m.PeerAddress)
	}
	if old := f.relays.Load(); next.first != old.first || !slices.Equal(next.others, old.others) {
		f.log.Info("relays_chosen", zap.Bool("own", next.first), zap.Strings("others", next.others), zap.Uint64("configuration", f.version))
		f.relays.Store(&next)
	}
}

// publishKeys takes over a changed key. Datagrams sealed with the one before it
// are still read.
func (f *Follower) publishKeys() {
	key := f.catalog.Key()
	if key == nil || bytes.Equal(key, f.key) {
		return
	}
	f.key = key
	aead, err := evidence.NewAEAD(key)
	if err != nil {
		f.log.Error("fleet_key_invalid", zap.Error(err))
		return
	}
	open := []cipher.AEAD{aead}
	if old := f.keys.Load().Seal; old != nil {
		open = append(open, old)
	}
	f.keys.Store(&evidence.Keys{Seal: aead, Open: open})
}
