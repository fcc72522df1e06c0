package follower

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"knapweedreel/internal/catalog"
	"knapweedreel/internal/instance/evidence"
	"knapweedreel/internal/store"
)

// Times of a member's registration.
const (
	// memberTTL is the time after which the entry of a crashed instance expires.
	// Callers cache addresses for seconds anyway. standbyTTL replaces it while no
	// callers are directed to the instance: most instances of a large fleet are on
	// standby, and their renewals would be most of the calls to the store.
	memberTTL  = 3 * time.Second
	standbyTTL = 9 * time.Second
	// renewsPerTTL is the number of renewals within the TTL, and retryShare the time
	// from a failed renewal to the next one as a share of the time between two. Two
	// renewals in a row may fail, or one may hang until its timeout, before the entry
	// expires.
	renewsPerTTL = 2
	retryShare   = 0.5
	// renewTimeout bounds the calls of one renewal or registration.
	renewTimeout = 1500 * time.Millisecond
	// withdrawTimeout bounds the time for marking the entry as leaving at a
	// graceful shutdown.
	withdrawTimeout = time.Second
	// eraWriteSpread is the time over which the instances register again after the
	// store has come back in another era. It is below the time after which an entry
	// of the store's copy can expire, the shortest TTL.
	eraWriteSpread = time.Second
)

// MaintainRegistration keeps this instance registered from when it is ready until
// it leaves.
func (f *Follower) MaintainRegistration(ctx context.Context) error {
	select {
	case <-f.ready:
	case <-ctx.Done():
		return nil
	}
	m := membership{f: f, self: f.cfg.Self}
	m.maintain(ctx)
	renewTimer := time.NewTimer(m.interval)
	defer renewTimer.Stop()
	offerTimer := time.NewTimer(time.Duration(f.cfg.Jitter() * float64(maxKeyOfferDelay)))
	defer offerTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.leaving:
			m.withdraw(ctx)
			<-ctx.Done()
			return nil
		case m.self.Width = <-f.width:
			m.updateWidth(ctx)
		case <-offerTimer.C:
			m.offerKey(ctx)
		case era := <-f.newEra:
			if m.registration == nil || m.registration.Era < era { // a renewal may have found out before
				renewTimer.Reset(time.Duration(f.cfg.Jitter() * float64(eraWriteSpread)))
			}
			offerTimer.Reset(time.Duration(f.cfg.Jitter() * float64(maxKeyOfferDelay)))
		case <-m.f.promoted:
			if m.standby {
				// Not at once: when a fleet starts, each instance is the only one at first.
				renewTimer.Reset(renewInterval(memberTTL))
			}
		case <-renewTimer.C:
			start := time.Now()
			m.maintain(ctx)
			renewTimer.Reset(m.interval - time.Since(start))
		}
	}
}

// SetWidth publishes the number of instances among which the callers of this
// region should be spread, according to this instance.
func (f *Follower) SetWidth(n int) {
	select {
	case <-f.width:
	default:
	}
	f.width <- n
}

// membership is the state of this instance's registration.
type membership struct {
	f            *Follower
	self         catalog.Member
	registration *catalog.Registration // nil while not registered
	pending      *catalog.Registration // has a lease but no entry yet, nil if none
	// standby and pendingStandby are set if the leases of registration and pending
	// have standbyTTL.
	standby, pendingStandby bool
	interval                time.Duration // between calls of maintain
}

// renewInterval returns the time between two renewals of a registration.
func renewInterval(ttl time.Duration) time.Duration { return ttl / renewsPerTTL }

// maxKeyOfferDelay is the maximum delay before an instance that finds no key
// offers one. Instances that start together wait for different times, so that
// only few offer a key: the others receive it with their first batch of changes.
const maxKeyOfferDelay = 3 * time.Second

// offerKey ensures that the fleet has a key for messages between instances, and that
// the store has it. The key in use is kept if the store has lost it.
func (m *membership) offerKey(ctx context.Context) {
	var key []byte
	switch missing := m.f.missingKey.Load(); {
	case missing != nil:
		key = *missing
	case m.f.Keys().Seal != nil:
		return
	default:
		key = evidence.NewKey()
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	if err := m.f.source.OfferKey(ctx, key); err != nil && !errors.Is(err, store.ErrConflict) {
		m.f.log.Warn("fleet_key_not_offered", zap.Error(err))
	}
}

// maintain renews the registration, or registers if there is none or it expired.
func (m *membership) maintain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	if m.registration != nil && m.standby && m.f.serves.Load() && m.promote(ctx) {
		return
	}
	if m.registration != nil {
		m.interval = time.Duration(retryShare * float64(renewInterval(m.registration.TTL)))
		err := m.f.source.Renew(ctx, *m.registration)
		m.f.countCall("renew", err)
		if !errors.Is(err, catalog.ErrExpired) {
			if err == nil {
				m.interval = renewInterval(m.registration.TTL)
			}
			m.logFailure("member_not_renewed", err)
			return
		}
		m.f.log.Warn("member_expired", zap.Uint64("lease", m.registration.Lease))
		m.registration = nil
	}
	m.interval = time.Duration(retryShare * float64(renewInterval(memberTTL)))
	r, err := m.register(ctx)
	if err != nil {
		m.logFailure("member_not_registered", err)
		return
	}
	m.setRegistration(r, m.pendingStandby)
}

// promote replaces the registration of an instance on standby, to which callers are
// directed now. If it fails, the registration stays as it is.
func (m *membership) promote(ctx context.Context) bool {
	r, err := m.f.source.Register(ctx, m.self, memberTTL)
	m.f.countCall("register", err)
	if err != nil {
		m.logFailure("member_not_promoted", err)
		return false
	}
	m.setRegistration(r, false)
	return true
}

func (m *membership) setRegistration(r catalog.Registration, standby bool) {
	m.registration, m.standby, m.interval = &r, standby, renewInterval(memberTTL)
	m.f.log.Info("member_registered", zap.Uint64("lease", r.Lease), zap.Duration("ttl", r.TTL), zap.Bool("standby", standby), zap.Int("width", m.self.Width))
}

// register registers the member. If the store granted a lease but refused the
// entry, the next call reuses the lease: when all instances start at once, the
// store's write rate is the limit.
func (m *membership) register(ctx context.Context) (catalog.Registration, error) {
	if m.pending != nil {
		r := *m.pending
		err := m.f.source.Renew(ctx, r)
		m.f.countCall("renew", err)
		if err == nil {
			err = m.f.source.Update(ctx, r, m.self)
			m.f.countCall("register", err)
		}
		if err == nil || errors.Is(err, catalog.ErrExpired) {
			m.pending = nil
		}
		if !errors.Is(err, catalog.ErrExpired) {
			return r, err
		}
	}
	ttl := memberTTL
	if m.pendingStandby = !m.f.serves.Load(); m.pendingStandby {
		ttl = standbyTTL
	}
	r, err := m.f.source.Register(ctx, m.self, ttl)
	m.f.countCall("register", err)
	if err != nil && r.Lease != 0 {
		m.pending = &r
	}
	return r, err
}

func (m *membership) updateWidth(ctx context.Context) {
	if m.registration == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	m.logFailure("member_not_updated", m.f.source.Update(ctx, *m.registration, m.self))
	m.f.log.Info("member_width", zap.Int("width", m.self.Width))
}

func (m *membership) withdraw(ctx context.Context) {
	if m.registration == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, withdrawTimeout)
	defer cancel()
	m.logFailure("member_not_withdrawn", m.f.source.Withdraw(ctx, *m.registration, m.self))
}

func (m *membership) logFailure(event string, err error) {
	if err != nil {
		m.f.log.Warn(event, zap.Error(err))
	}
}
