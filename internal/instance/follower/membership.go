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

// Times of a member's entry.
const (
	// memberTTL is the time after which the entry of an instance that has died
	// ends. Callers keep addresses for seconds anyway.
	memberTTL = 3 * time.Second
	// renewInterval is the time between renewals, and renewRetry the time to the
	// next one after one that has failed. Two in a row may fail, or one of them
	// hang for the whole time of a call.
	renewInterval = 1500 * time.Millisecond
	renewRetry    = renewInterval / 2
	// withdrawLimit bounds the time for removing the entry at a planned stop.
	withdrawLimit = time.Second
)

// Member keeps this instance registered from the time when it is ready until
// it leaves.
func (f *Follower) Member(ctx context.Context) error {
	select {
	case <-f.ready:
	case <-ctx.Done():
		return nil
	}
	m := membership{f: f, self: f.cfg.Self}
	m.keep(ctx)
	next := time.NewTimer(m.interval)
	defer next.Stop()
	offer := time.NewTimer(time.Duration(f.cfg.Jitter() * float64(keyDelay)))
	defer offer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.leaving:
			m.withdraw(ctx)
			<-ctx.Done()
			return nil
		case m.self.Width = <-f.width:
			m.update(ctx)
		case <-offer.C:
			m.offerKey(ctx)
		case <-next.C:
			began := time.Now()
			m.keep(ctx)
			next.Reset(m.interval - time.Since(began))
		}
	}
}

// SetWidth publishes among how many instances the callers of this region should
// be spread, as seen from here.
func (f *Follower) SetWidth(n int) {
	select {
	case <-f.width:
	default:
	}
	f.width <- n
}

// membership is the state of this instance's entry.
type membership struct {
	f            *Follower
	self         catalog.Member
	registration *catalog.Registration // nil while not registered
	granted      *catalog.Registration // has a lease but no entry yet, nil for none
	interval     time.Duration         // from the latest call of keep to the next one
}

// keyDelay is the longest time before an instance that finds no key offers one.
// Instances that start together wait for different times, so that few do: the
// others learn of it with the first changes that they gather.
const keyDelay = 3 * time.Second

// offerKey makes sure that the fleet has a key for messages between instances.
func (m *membership) offerKey(ctx context.Context) {
	if m.f.Keys().Seal != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, renewInterval)
	defer cancel()
	if err := m.f.source.OfferKey(ctx, evidence.NewKey()); err != nil && !errors.Is(err, store.ErrConflict) {
		m.f.log.Warn("fleet_key_not_offered", zap.Error(err))
	}
}

// keep renews the registration, or registers anew.
func (m *membership) keep(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, renewInterval)
	defer cancel()
	m.interval = renewRetry
	if m.registration != nil {
		err := m.f.source.Renew(ctx, *m.registration)
		m.f.count("renew", err)
		if !errors.Is(err, catalog.ErrExpired) {
			if err == nil {
				m.interval = renewInterval
			}
			m.logFailure("member_not_renewed", err)
			return
		}
		m.f.log.Warn("member_expired", zap.Uint64("lease", m.registration.Lease))
		m.registration = nil
	}
	r, err := m.enter(ctx)
	if err != nil {
		m.logFailure("member_not_registered", err)
		return
	}
	m.registration, m.interval = &r, renewInterval
	m.f.log.Info("member_registered", zap.Uint64("lease", r.Lease), zap.Duration("ttl", r.TTL), zap.Int("width", m.self.Width))
}

// enter registers the member. A lease whose entry the store has not taken is used
// again: when all instances start at once, the store's rate for writes is the
// limit.
func (m *membership) enter(ctx context.Context) (catalog.Registration, error) {
	if m.granted != nil {
		r := *m.granted
		err := m.f.source.Renew(ctx, r)
		m.f.count("renew", err)
		if err == nil {
			err = m.f.source.Update(ctx, r, m.self)
			m.f.count("register", err)
		}
		if err == nil || errors.Is(err, catalog.ErrExpired) {
			m.granted = nil
		}
		if !errors.Is(err, catalog.ErrExpired) {
			return r, err
		}
	}
	r, err := m.f.source.Register(ctx, m.self, memberTTL)
	m.f.count("register", err)
	if err != nil && r.Lease != 0 {
		m.granted = &r
	}
	return r, err
}

func (m *membership) update(ctx context.Context) {
	if m.registration == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, renewInterval)
	defer cancel()
	m.logFailure("member_not_updated", m.f.source.Update(ctx, *m.registration, m.self))
	m.f.log.Info("member_width", zap.Int("width", m.self.Width))
}

func (m *membership) withdraw(ctx context.Context) {
	if m.registration == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, withdrawLimit)
	defer cancel()
	m.logFailure("member_not_withdrawn", m.f.source.Withdraw(ctx, *m.registration))
}

func (m *membership) logFailure(event string, err error) {
	if err != nil {
		m.f.log.Warn(event, zap.Error(err))
	}
}
