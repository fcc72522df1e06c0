package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Headroom is what a request leaves to more urgent ones. The zero value leaves
// nothing.
//
// All instances keep slots of the same upstreams free, in the order of a hash of
// the upstream IDs. They need no messages for that, and estimates that differ a
// little only concern the last upstream.
type Headroom struct {
	// Urgent is set if more urgent requests have arrived recently. The request then
	// doesn't use the places beyond the slots of an upstream.
	Urgent bool
	// Slots is the number of slots that the more urgent requests of the region
	// have needed recently: their rate times their work.
	Slots float64
	// Due is set if the request's class or account is due for its minimum share. It
	// may use the slots that are kept free and the places beyond the slots: classes that
	// leave nothing free would otherwise occupy all slots.
	Due bool
}

const (
	// reserveFactor is the number of slots kept free for each slot that more urgent
	// requests have needed recently, up to maxSpareSlots beyond their demand. Arrivals
	// vary, and a request that finds no free slot waits for a less urgent one to end,
	// which may take several times its work.
	reserveFactor = 2
	// maxSpareSlots bounds what is kept free beyond the demand. The more slots a
	// service has, the sooner one becomes free. Twice a demand of a third of the slots
	// would leave too little to the less urgent classes at a load that the slots could
	// serve: 0.8 of the least urgent class was served in time at 0.8 of the capacity.
	maxSpareSlots = 8
	// maxReserveShare is the largest share of the slots that is kept free. The rest
	// covers the minimum share of the less urgent classes, which together get less
	// than a quarter of the service (package admission).
	maxReserveShare = 0.75
	// reserveInterval is how often the order of the upstreams is computed again. It
	// leaves out those that are probably faulty, whose free slots are of no use.
	reserveInterval = 250 * time.Millisecond
)

// reservation is the order in which the slots of the upstreams are kept free.
type reservation struct {
	at     time.Time
	length int    // number of candidates
	total  [2]int // slots, by region: local and remote
}

// region returns the index of the candidate's region in reservation.total.
func (c *Candidate) region() int {
	if c.Remote {
		return 1
	}
	return 0
}

// keepFree computes the order in which slots are kept free, if it is out of date.
// The order within a region doesn't depend on the instance.
func (t *Tracker) keepFree(cands []Candidate, now time.Time) {
	r := &t.reservation
	if r.length == len(cands) && now.Sub(r.at) < reserveInterval {
		return
	}
	*r = reservation{at: now, length: len(cands)}
	order := make([]int, 0, len(cands))
	hashes := make([]uint64, len(cands))
	for i := range cands {
		c := &cands[i]
		s := t.upstreamState(c.ID, now)
		s.slotsBefore = math.MaxInt
		if c.Excluded || t.pauses.isActive(Incarnation{c.ID, c.Incarnation}, now) || s.failureProbability(&t.model, now) > t.priorFailure+suspectMargin {
			continue
		}
		hashes[i] = xxhash.Sum64String(c.ID)
		order = append(order, i)
	}
	slices.SortFunc(order, func(i, j int) int {
		return cmp.Or(cmp.Compare(hashes[i], hashes[j]), cmp.Compare(cands[i].ID, cands[j].ID))
	})
	for _, i := range order {
		c := &cands[i]
		t.upstreamState(c.ID, now).slotsBefore = r.total[c.region()]
		r.total[c.region()] += c.Slots
	}
}

// reserved returns the number of slots kept free in each region. The share that
// the local region's requests need is assumed for the others, too.
func (t *Tracker) reserved(h Headroom) [2]int {
	if !h.Urgent || h.Due {
		return [2]int{}
	}
	total := &t.reservation.total
	base := total[0]
	if base == 0 {
		base = total[1]
	}
	share := min(reserveFactor*h.Slots, h.Slots+maxSpareSlots) / float64(max(1, base))
	var reserved [2]int
	for i, slots := range total {
		reserved[i] = min(int(math.Ceil(share*float64(slots))), int(maxReserveShare*float64(slots)))
	}
	return reserved
}

// Reserved returns the number of slots of all regions that requests with the given
// headroom leave free, as of the latest choice for one with a headroom.
func (t *Tracker) Reserved(h Headroom) int {
	reserved := t.reserved(h)
	return reserved[0] + reserved[1]
}

// mayUse reports whether an upstream has capacity for a request that leaves slots
// to more urgent ones. An upstream whose slots are kept free still gets a request
// if none has been sent to it for too long: the users require that most healthy
// upstreams are used, and the instance would know nothing of it.
func (t *Tracker) mayUse(c *Candidate, s *upstreamState, h Headroom, reserved *[2]int, load int, now time.Time) bool {
	if !h.Urgent || h.Due {
		return true
	}
	keep := min(c.Slots, max(0, reserved[c.region()]-s.slotsBefore))
	if keep > 0 && load == 0 && !c.Remote && now.Sub(s.lastStart) >= t.staleTime() {
		keep = 0
	}
	return load < c.Slots-keep
}
