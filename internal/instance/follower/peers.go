package follower

import (
	"bytes"
	"crypto/cipher"
	"net/netip"

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

// publishRelay publishes which instance of the failure domain reads the store
// for it.
func (f *Follower) publishRelay(d *catalog.Directory) {
	address := ""
	if m, ok := d.Relay(f.cfg.Self.FailureDomain); ok && m.ID != f.cfg.Self.ID {
		address = m.PeerAddress
	}
	if *f.relay.Load() != address {
		f.log.Info("relay_chosen", zap.String("relay", address), zap.Uint64("configuration", f.version))
		f.relay.Store(&address)
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
