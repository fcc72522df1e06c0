package capacity

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"knapweedreel/internal/instance/control"
	"knapweedreel/internal/member"
	"knapweedreel/internal/wire"
)

// Guards against a member table that needs too much memory or takes too long to
// scan. It holds the whole fleet, and every tick scans it for silent members.
func BenchmarkMemberTable(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			before := heap()
			now := time.Unix(1_700_000_000, 0)
			table := member.NewTable(memberInfo(0), member.Timeout, now)
			infos := make([]member.Info, n)
			for i := range infos {
				infos[i] = memberInfo(i)
				table.Merge(infos[i], now)
			}
			table.MergeInstanceList(infos, now)
			infos = nil
			size := heap() - before
			for b.Loop() {
				table.Expire(now, func(string) bool { return true })
			}
			b.ReportMetric(float64(size), "heap-bytes")
			b.ReportMetric(float64(size)/float64(n), "heap-bytes/member")
			reportPer(b, "expire-µs", 1)
		})
	}
}

// linkedLoop returns a loop that knows n members and no documents, with links to
// the members of its shard and to control.Fanout others, and the linked members.
func linkedLoop(b *testing.B, n int) (*loop, []member.Info) {
	b.Helper()
	l := startLoop(b)
	l.SetInstances(instances(n, 0, 0))
	shards := member.Shards(n)
	var linked []member.Info
	others := 0
	for i := 1; i < n; i++ {
		info := memberInfo(i)
		if member.ShardOf(info.ID, shards) != member.ShardOf(memberID(0), shards) {
			if others == control.Fanout {
				continue
			}
			others++
		}
		linked = append(linked, info)
		l.LinkUp(info)
	}
	l.wait(b)
	return l, linked
}

// heartbeat delivers a heartbeat of a member to the loop.
func (l *loop) heartbeat(info member.Info, sequence uint64, inFlight []wire.InFlight) {
	l.Message(info.ID, wire.Message{
		Version: wire.Version, Sender: info.ID, Incarnation: info.Incarnation, Sequence: sequence,
		Heartbeat: &wire.Heartbeat{Info: member.Info{Sequence: sequence, State: member.Active}, InFlight: inFlight},
	})
}

// Guards against ticks and heartbeats whose cost grows with the fleet instead of
// the shard. An instance handles ten ticks and one heartbeat of each linked peer
// per second.
func BenchmarkMembers(b *testing.B) {
	for _, n := range fleetSizes {
		var sequence uint64 = 2
		b.Run(fmt.Sprintf("tick/members=%d", n), func(b *testing.B) {
			before := heap()
			l, linked := linkedLoop(b, n)
			size := heap() - before
			ticks := 0
			for b.Loop() {
				l.tick(b)
				if ticks++; ticks%10 != 0 {
					continue
				}
				b.StopTimer()
				sequence++
				for _, info := range linked {
					l.heartbeat(info, sequence, nil)
				}
				l.wait(b)
				b.StartTimer()
			}
			runtime.KeepAlive(l)
			b.ReportMetric(float64(size), "heap-bytes")
			b.ReportMetric(float64(len(linked)), "links")
			reportPer(b, "tick-µs", 1)
		})
		b.Run(fmt.Sprintf("heartbeat/members=%d", n), func(b *testing.B) {
			l, linked := linkedLoop(b, n)
			i := 0
			for b.Loop() {
				sequence++
				l.heartbeat(linked[i%len(linked)], sequence, nil)
				l.wait(b)
				i++
			}
			reportPer(b, "heartbeat-µs", 1)
		})
	}
}
