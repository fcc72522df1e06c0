package capacity

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"knapweedreel/internal/instance/control"
	"knapweedreel/internal/member"
)

// disseminationSeeds is the number of random link graphs per fleet size.
const disseminationSeeds = 100

// linkGraph returns the neighbors of each of n members, chosen as package
// control does: all members of its shard and control.Fanout random members of
// other shards. Links are bidirectional.
func linkGraph(n int, rng *rand.Rand) [][]int {
	shards := member.Shards(n)
	shard := make([]int, n)
	byShard := make([][]int, shards)
	for i := range n {
		shard[i] = member.ShardOf(memberID(i), shards)
		byShard[shard[i]] = append(byShard[shard[i]], i)
	}
	links := make([][]int, n)
	for i := range n {
		sameShard := slices.Clone(byShard[shard[i]])
		links[i] = append(links[i], slices.DeleteFunc(sameShard, func(j int) bool { return j == i })...)
		for chosen := 0; shards > 1 && chosen < control.Fanout; {
			j := rng.IntN(n)
			if shard[i] == shard[j] {
				continue
			}
			chosen++
			if !slices.Contains(links[i], j) {
				links[i], links[j] = append(links[i], j), append(links[j], i)
			}
		}
	}
	return links
}

// disseminate pushes a document from member 0 to all its neighbors. A member
// that receives it for the first time forwards it to Fanout random neighbors
// other than the sender. It returns the number of rounds that reached new
// members, the number of messages sent, and the number of members not reached;
// those get the document by anti-entropy.
func disseminate(links [][]int, rng *rand.Rand) (rounds, messages, missed int) {
	type delivery struct{ from, to int }
	reached := make([]bool, len(links))
	reached[0] = true
	missed = len(links) - 1
	var current []delivery
	for _, to := range links[0] {
		current = append(current, delivery{0, to})
	}
	for len(current) > 0 {
		messages += len(current)
		var next []delivery
		anyNew := false
		for _, d := range current {
			if reached[d.to] {
				continue
			}
			reached[d.to], anyNew = true, true
			missed--
			sent := 0
			for _, k := range rng.Perm(len(links[d.to])) {
				if to := links[d.to][k]; to != d.from && sent < control.Fanout {
					next = append(next, delivery{d.to, to})
					sent++
				}
			}
		}
		if anyNew {
			rounds++
		}
		current = next
	}
	return rounds, messages, missed
}

// Guards against a push whose number of rounds grows faster than the logarithm of
// the fleet size, or that leaves many members to anti-entropy.
func BenchmarkDissemination(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			var sum, worst [3]int
			for range b.N {
				sum, worst = [3]int{}, [3]int{}
				for seed := range uint64(disseminationSeeds) {
					rng := rand.New(rand.NewPCG(seed, 1))
					var r [3]int
					r[0], r[1], r[2] = disseminate(linkGraph(n, rng), rng)
					for i := range r {
						sum[i] += r[i]
						worst[i] = max(worst[i], r[i])
					}
				}
			}
			for i, name := range []string{"rounds", "messages", "missed-members"} {
				b.ReportMetric(float64(sum[i])/disseminationSeeds, "mean-"+name)
				b.ReportMetric(float64(worst[i]), "worst-"+name)
			}
		})
	}
}
