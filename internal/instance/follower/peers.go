package follower

import (
	"bytes"
	"crypto/cipher"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"knapweedreel/internal/catalog"
	"knapweedreel/internal/instance/evidence"
	"knapweedreel/internal/quota"
)

// publishPeers publishes the addresses of the other instances that serve callers
// of this region.
func (f *Follower) publishPeers(d *catalog.Directory) {
	var hosts []string
	if f.table != nil {
		hosts = f.table.Hosts()
	}
	peers := make([]netip.AddrPort, 0)
	serves := false
	for _, m := range d.ServingMembers(hosts, f.cfg.Self.Region) {
		if m.ID == f.cfg.Self.ID {
			serves = true
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
	if was := f.serves.Swap(serves); serves && !was {
		select {
		case f.promoted <- struct{}{}:
		default: // MaintainRegistration has not received the previous one yet
		}
	}
}

// servingMembers returns the members that serve callers of any region, sorted by
// ID, none if the configuration needs no messages between regions.
func (f *Follower) servingMembers(d *catalog.Directory) []catalog.Member {
	if f.table == nil || !f.catalog.Configuration().SharesLoads() {
		return nil
	}
	return d.AllServingMembers(f.table.Hosts())
}

// publishQuotaMembers publishes the serving members as those that share the tokens
// of client accounts.
func (f *Follower) publishQuotaMembers(serving []catalog.Member) {
	members := make([]quota.Member, 0)
	if c := f.catalog.Configuration(); c != nil && c.Accounts != nil {
		for _, m := range serving {
			self := m.ID == f.cfg.Self.ID
			address, err := netip.ParseAddrPort(m.PeerAddress)
			if err != nil && !self {
				f.log.Warn("peer_address_invalid", zap.String("id", m.ID), zap.Error(err))
				continue
			}
			members = append(members, quota.Member{ID: m.ID, Address: address, Region: m.Region, Remote: m.Region != f.cfg.Self.Region, Self: self})
		}
	}
	if !slices.Equal(members, *f.quotaMembers.Load()) {
		f.quotaMembers.Store(&members)
	}
}

// loadReporters is the number of instances of a region that report its load. Two,
// so that the reports go on when one of them fails.
const loadReporters = 2

// LoadPeers returns the UDP addresses of the instances of other regions to which
// this instance reports the load of its region, none if others do that or the
// configuration doesn't need it.
func (f *Follower) LoadPeers() []netip.AddrPort { return *f.loadPeers.Load() }

// publishLoadPeers publishes the receivers of this region's load.
func (f *Follower) publishLoadPeers(serving []catalog.Member) {
	peers := make([]netip.AddrPort, 0)
	reporters, reports := 0, false
	for _, m := range serving {
		if m.Region == f.cfg.Self.Region {
			reporters++
			reports = reports || m.ID == f.cfg.Self.ID && reporters <= loadReporters
		} else if address, err := netip.ParseAddrPort(m.PeerAddress); err == nil { // others are logged by publishPeers
			peers = append(peers, address)
		}
	}
	if !reports {
		peers = peers[:0]
	}
	f.loadPeers.Store(&peers)
}

// relays are the instances that read the store for their failure domain.
type relays struct {
	primary bool     // this instance reads the store as long as the store serves it
	others  []string // addresses of the other relays, in the order in which they are tried
}

// publishRelays publishes the relays of the failure domain.
func (f *Follower) publishRelays(d *catalog.Directory) {
	next := relays{}
	for i, m := range d.Relays(f.cfg.Self) {
		if m.ID == f.cfg.Self.ID {
			next.primary = i == 0
			continue
		}
		next.others = append(next.others, m.PeerAddress)
	}
	if old := f.relays.Load(); next.primary != old.primary || !slices.Equal(next.others, old.others) {
		f.log.Info("relays_chosen", zap.Bool("own", next.primary), zap.Strings("others", next.others), zap.Uint64("configuration", f.version))
		f.relays.Store(&next)
	}
}

// oldKeyGrace is the time for which messages sealed with the previous key are
// accepted. Instances learn of another key within a few seconds, and one that does
// not can do without the others' messages.
const oldKeyGrace = 10 * time.Second

// dropOldKey stops accepting the previous key after oldKeyGrace.
func (f *Follower) dropOldKey(now time.Time) {
	if f.keyChangedAt.IsZero() || now.Sub(f.keyChangedAt) < oldKeyGrace {
		return
	}
	f.keyChangedAt = time.Time{}
	aead := f.keys.Load().Seal
	f.keys.Store(&evidence.Keys{Seal: aead, Open: []cipher.AEAD{aead}})
	f.log.Info("fleet_key_withdrawn", zap.Duration("after", oldKeyGrace))
}

// publishKeys publishes a changed key. Messages sealed with the previous key are
// accepted for oldKeyGrace.
func (f *Follower) publishKeys() {
	key := f.catalog.Key()
	f.missingKey.Store(nil)
	if key != nil && !f.catalog.KeyStored() {
		f.missingKey.Store(&key)
	}
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
		f.keyChangedAt = time.Now()
	}
	f.keys.Store(&evidence.Keys{Seal: aead, Open: open})
}
