package quota

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkDecision measures a decision at an instance with many accounts.
func BenchmarkDecision(b *testing.B) {
	for _, accounts := range []int{72, 69_000} {
		b.Run(fmt.Sprint(accounts, " accounts"), func(b *testing.B) {
			l, now := soleLimiter(12, true)
			names := make([]string, accounts)
			var before, after runtime.MemStats
			for i := range names {
				names[i] = fmt.Sprint("account-", i)
			}
			runtime.GC()
			runtime.ReadMemStats(&before)
			for _, name := range names {
				l.Take(name, Limit{4, 4}, 1, now)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ResetTimer()
			for i := range b.N {
				now += 10 * time.Microsecond
				name := names[i%accounts]
				if d := l.Take(name, Limit{4, 4}, 1, now); d.Admitted {
					l.Sent(name, d.Token, now)
				} else {
					l.Refuse(name, now)
				}
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(accounts), "B/account")
		})
	}
}

// BenchmarkMembers measures a change of the members, with the shares of one account.
func BenchmarkMembers(b *testing.B) {
	for _, n := range []int{12, 400} {
		b.Run(fmt.Sprint(n, " instances"), func(b *testing.B) {
			var members []Member
			for i := range n {
				members = append(members, Member{ID: fmt.Sprint("instance-", i), Self: i == 0})
			}
			l := NewLimiter(testConfig, 0)
			for i := range b.N {
				l.SetMembers(members, time.Duration(i))
				l.Take(account, Limit{4, 4}, 1, time.Duration(i))
			}
		})
	}
}
