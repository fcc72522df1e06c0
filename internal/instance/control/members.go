package control

import (
	"context"
	"time"

	"go.uber.org/zap"

	"knapweedreel/internal/audit"
	"knapweedreel/internal/health"
	"knapweedreel/internal/member"
	"knapweedreel/internal/store"
	"knapweedreel/internal/wire"
)

// Self returns the information that this instance currently announces about
// itself.
func (l *Loop) Self() member.Info { return l.Snapshot().Self }

// merge updates the member table with a peer's information about itself.
func (l *Loop) merge(now time.Time, info member.Info) {
	l.recordTransitions(now, l.table.Merge(info, now))
}

// expireMembers marks silent members as lost, which discards their evidence and
// releases their slots.
func (l *Loop) expireMembers(now time.Time) {
	expired := l.table.Expire(now, func(id string) bool { return l.linkTargets[id] })
	for _, t := range expired {
		if t.To != member.Lost {
			continue
		}
		l.feed(now, health.Event{PeerLost: &health.PeerLost{Reporter: t.Member.ID}})
	}
	l.recordTransitions(now, expired)
}

func (l *Loop) recordTransitions(now time.Time, ts []member.Transition) {
	for _, t := range ts {
		l.publisher.markMembers(false)
		l.relink = true
		l.cfg.Log.Info("member_state",
			zap.String("member", t.Member.ID), zap.Uint64("boot", t.Member.Incarnation),
			zap.String("from", string(t.From)), zap.String("to", string(t.To)), zap.String("state", string(t.State)))
		if l.auditsMembership() {
			l.recordAudit(memberRecord(now, l.self.ID, t))
		}
	}
}

// auditsMembership reports whether this instance writes membership changes to
// the audit trail. All members of a shard see the same changes, but only one
// writes them: the lease holder or, while none is known, the live member whose ID
// sorts first.
func (l *Loop) auditsMembership() bool {
	if h := l.Holder(); h != nil {
		return h.Instance == l.self.ID
	}
	shards := l.table.Shards()
	selfShard := member.ShardOf(l.self.ID, shards)
	for row := range l.table.All() {
		if row.Presence == member.Live && member.ShardOf(row.ID, shards) == selfShard {
			return row.ID == l.self.ID
		}
	}
	return false
}

// SetInstances updates the loop with the platform's instance list.
func (l *Loop) SetInstances(instances []store.Instance) { l.post(instancesEvent{instances}) }

type instancesEvent struct{ instances []store.Instance }

func (e instancesEvent) apply(l *Loop, now time.Time) {
	var members []member.Info
	leaving := make(map[health.Key]bool)
	for _, i := range e.instances {
		switch {
		case i.Role == store.RoleEntry:
			members = append(members, memberInfo(i))
		case i.Role == store.RoleUpstream && i.State == store.StateLeaving && l.serves(i.Service, l.shards):
			leaving[health.Key{Service: i.Service, Upstream: i.ID}] = true
		}
	}
	if l.table.MergeInstanceList(members, now) {
		l.publisher.markMembers(false)
		l.chooseLinks()
	}
	l.setListedLeaving(now, leaving)
}

func memberInfo(i store.Instance) member.Info {
	state := member.Active
	if i.State == store.StateLeaving {
		state = member.Leaving
	}
	return member.Info{
		ID: i.ID, EntryAddress: i.Address, PeerAddress: i.PeerAddress, AdminAddress: i.AdminAddress,
		Region: i.Region, FailureDomain: i.FailureDomain, State: state,
	}
}

// Leave announces the graceful shutdown of this instance to all linked peers and
// returns once the announcement is queued.
func (l *Loop) Leave(ctx context.Context) error {
	done := make(chan struct{})
	if err := l.submit(ctx, leaveEvent{done}); err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-l.stopped:
		return ErrStopped
	}
}

type leaveEvent struct{ done chan<- struct{} }

func (e leaveEvent) apply(l *Loop, _ time.Time) {
	l.setState(member.Leaving)
	close(e.done)
}

// setState sets and announces the state of this instance. Leaving is final.
func (l *Loop) setState(s member.State) {
	if l.self.State == s || l.self.State == member.Leaving {
		return
	}
	l.self.State = s
	l.self.Sequence++
	l.table.SetSelf(l.self)
	l.publisher.markMembers(true)
	info := l.self
	for _, id := range l.linkedIDs() {
		l.send(id, wire.Message{Hello: &info})
	}
	l.cfg.Log.Info("own_state", zap.String("state", string(s)))
	l.recordAudit(audit.Record{
		Time: l.cfg.Clock.Now(), Instance: l.self.ID, Kind: audit.KindMember,
		Subject: l.self.ID, Action: string(s),
	})
}

func memberRecord(now time.Time, instance string, t member.Transition) audit.Record {
	action := string(t.To)
	if t.To == member.Live {
		action = string(t.State)
	}
	return audit.Record{
		Time: now, Instance: instance, Kind: audit.KindMember,
		Subject: t.Member.ID, Action: action, Rule: "from " + string(t.From),
	}
}
