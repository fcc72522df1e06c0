// Package membudget shares an instance's memory among the requests that it
// holds: headers, bodies, responses and connections. Bytes are reserved before
// they are read and returned on every path. When memory is short, the package
// decides which holder is refused or closed.
//
// The package does no I/O, and all times are arguments.
package membudget

import (
	"sync"
	"sync/atomic"
	"time"
)

// Use is what reserved bytes are used for.
type Use string

// The uses.
const (
	Connection Use = "connection" // a connection with its buffers and request header
	Body       Use = "body"       // of a caller's request, kept for a retry
	Answer     Use = "answer"     // a buffer for a response
	Socket     Use = "socket"     // bytes of a response that its caller hasn't received
	Window     Use = "window"     // receive buffer beyond the small one of each connection
)

// Stage is how far the request of a holder has got. It determines whether the
// holder may be evicted.
type Stage int32

// The stages.
const (
	Idle      Stage = iota // no request
	Header                 // the request header is being received
	Receiving              // the body is being received, nothing was sent to an upstream
	Queued                 // the request is complete and waits, nothing was sent
	Streaming              // the body is being received and sent
	Sent                   // an upstream has the request; never evicted
	Writing                // the response is being written
)

// Shares of the limit, as divisors.
const (
	// smallReserve is the part of the limit that is left to holders of at most
	// SmallHolder bytes. Ordinary requests are served from it while large bodies
	// take the rest.
	smallReserve = 8
	// smallCallerReserve is the same within what one caller may have, so that its
	// large bodies don't keep out its own ordinary requests.
	smallCallerReserve = 16
	// callerReserve is the part of the limit that one caller leaves to others.
	callerReserve = 4
)

// SmallHolder is the number of bytes up to which a holder counts as small: a
// connection and a short body.
const SmallHolder = 40 << 10

// Config configures a Budget.
type Config struct {
	Limit int64 // bytes
	// Stall is the time without progress after which a holder may be evicted.
	Stall time.Duration
	// SlotStall is the time in which a holder has to progress by SlotProgress while
	// it has an upstream's slot that others wait for.
	SlotStall    time.Duration
	SlotProgress int64 // bytes
	// MaxWaiting is the maximum number of reservations that wait. The bytes that
	// their callers send meanwhile stay in socket buffers.
	MaxWaiting int
}

// Budget is a number of bytes shared by holders. It is safe for concurrent use.
type Budget struct {
	cfg Config

	mu      sync.Mutex
	used    int64
	callers map[string]*caller
	holders map[*Holder]struct{}
	waiting []*Reservation // in the order of arrival
}

// caller is the use of one caller.
type caller struct {
	name    string
	used    int64
	holders int
}

// Holder is a connection and its request.
type Holder struct {
	// Owner is set by the user of the package.
	Owner any

	b        *Budget
	progress atomic.Int64
	stage    atomic.Int32
	extra    atomic.Bool // bytes other than Connection's may be reserved

	// Guarded by b.mu.
	caller  *caller
	used    map[Use]int64
	total   int64
	closed  bool
	seen    int64     // progress at the last Scan that saw a change
	since   time.Time // time of that scan
	evicted time.Time // when it was chosen for eviction, zero if it was not
	// As of the last Scan.
	lastStage Stage
	stageAt   time.Time // since when lastStage was seen
	mark      int64     // progress at markAt
	markAt    time.Time // when mark was exceeded by Config.SlotProgress last
}

// Reservation is a reservation that waits.
type Reservation struct {
	holder  *Holder
	use     Use
	bytes   int64
	granted chan struct{}
	seen    time.Time // time of the first Scan since the reservation was added
}

// New returns an empty budget.
func New(cfg Config) *Budget {
	return &Budget{cfg: cfg, callers: make(map[string]*caller), holders: make(map[*Holder]struct{})}
}

// Open returns a holder of a caller.
func (b *Budget) Open(callerName string, owner any, now time.Time) *Holder {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.callers[callerName]
	if c == nil {
		c = &caller{name: callerName}
		b.callers[callerName] = c
	}
	c.holders++
	h := &Holder{Owner: owner, b: b, caller: c, used: make(map[Use]int64, 1), since: now, stageAt: now, markAt: now}
	h.stage.Store(int32(Header))
	b.holders[h] = struct{}{}
	return h
}

// Advance counts bytes received or written as progress.
func (h *Holder) Advance(n int) { h.progress.Add(int64(n)) }

// SetStage sets the stage. Another stage counts as progress.
func (h *Holder) SetStage(s Stage) {
	if h.stage.Swap(int32(s)) != int32(s) {
		h.progress.Add(1)
	}
}

// Transition sets the stage to another one if it is from.
func (h *Holder) Transition(from, to Stage) {
	if h.stage.CompareAndSwap(int32(from), int32(to)) {
		h.progress.Add(1)
	}
}

// Stage returns the stage.
func (h *Holder) Stage() Stage { return Stage(h.stage.Load()) }

// Reserve reserves bytes if that is possible at once.
func (h *Holder) Reserve(use Use, n int64) bool {
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	if h.closed || !h.b.fits(h, n) || h.b.isBehind(h, n) {
		return false
	}
	h.b.take(h, use, n)
	return true
}

// spareDivisor bounds a reservation by ReserveSpare to a part of the limit.
const spareDivisor = 64

// ReserveSpare is like Reserve, but leaves half of the limit to what is needed more,
// and reserves only what is small compared to it.
func (h *Holder) ReserveSpare(use Use, n int64) bool {
	b := h.b
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.closed || n > b.cfg.Limit/spareDivisor || b.used+n > b.cfg.Limit/2 || !b.fits(h, n) || b.isBehind(h, n) {
		return false
	}
	b.take(h, use, n)
	return true
}

// TakeOver moves n bytes of a use from another holder, which is about to end, to h. It
// reports false if the other one has ended or doesn't hold them.
func (h *Holder) TakeOver(from *Holder, use Use, n int64) bool {
	b := h.b
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.closed || from.closed || from.used[use] < n {
		return false
	}
	b.take(from, use, -n)
	b.take(h, use, n)
	return true
}

// ReserveOrWait is like Reserve, but adds a reservation that isn't possible at
// once to those that wait. It returns nil if the reservation is made, and false if
// too many wait or n can never be reserved.
func (h *Holder) ReserveOrWait(use Use, n int64) (*Reservation, bool) {
	b := h.b
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.closed {
		return nil, false
	}
	if b.fits(h, n) && !b.isBehind(h, n) {
		b.take(h, use, n)
		return nil, true
	}
	if len(b.waiting) >= b.cfg.MaxWaiting || h.total+n > b.cfg.Limit-b.cfg.Limit/smallReserve || h.total+n > b.callerLimit(h, n) {
		return nil, false
	}
	r := &Reservation{holder: h, use: use, bytes: n, granted: make(chan struct{})}
	b.waiting = append(b.waiting, r)
	return r, true
}

// Granted returns a channel that is closed when the reservation is made.
func (r *Reservation) Granted() <-chan struct{} { return r.granted }

// Cancel ends the wait. It reports false if the reservation was made before.
func (r *Reservation) Cancel() bool {
	b := r.holder.b
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, w := range b.waiting {
		if w == r {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			b.grant() // r may have been ahead of others
			return true
		}
	}
	return false
}

// Return returns bytes reserved by h.
func (h *Holder) Return(use Use, n int64) {
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	n = min(n, h.used[use])
	h.b.take(h, use, -n)
	h.b.grant()
}

// ReturnAll returns all bytes reserved by h for some uses.
func (h *Holder) ReturnAll(uses ...Use) {
	if !h.extra.Load() {
		return
	}
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	for _, use := range uses {
		if n := h.used[use]; n > 0 {
			h.b.take(h, use, -n)
		}
	}
	h.extra.Store(h.total != h.used[Connection])
	h.b.grant()
}

// Reserved returns the bytes reserved by h for a use.
func (h *Holder) Reserved(use Use) int64 {
	if use != Connection && !h.extra.Load() {
		return 0
	}
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	return h.used[use]
}

// Close returns all bytes of h and ends its waiting reservations. Later
// reservations fail. It may be called several times.
func (h *Holder) Close() {
	b := h.b
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.closed {
		return
	}
	h.closed = true
	for use, n := range h.used {
		b.take(h, use, -n)
	}
	delete(b.holders, h)
	if h.caller.holders--; h.caller.holders == 0 {
		delete(b.callers, h.caller.name)
	}
	kept := b.waiting[:0]
	for _, r := range b.waiting {
		if r.holder != h {
			kept = append(kept, r)
		}
	}
	clear(b.waiting[len(kept):])
	b.waiting = kept
	b.grant()
}

// Used returns the reserved bytes and the number of reservations that wait.
func (b *Budget) Used() (bytes int64, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, len(b.waiting)
}

// ExceedsShare reports whether n more bytes of h exceed the limit of its caller.
func (h *Holder) ExceedsShare(n int64) bool {
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	return h.caller.used+n > h.b.callerLimit(h, n)
}

// callerLimit returns the maximum number of bytes of the caller of h for a reservation
// of n bytes.
func (b *Budget) callerLimit(h *Holder, n int64) int64 {
	limit := b.cfg.Limit - b.cfg.Limit/callerReserve
	if !h.isSmall(n) {
		limit -= b.cfg.Limit / smallCallerReserve
	}
	return limit
}

// isSmall reports whether h counts as small with n more bytes. A receive buffer that
// was enlarged while there was memory to spare makes no request large. b.mu is held.
func (h *Holder) isSmall(n int64) bool { return h.total-h.used[Window]+n <= SmallHolder }

// fits reports whether n more bytes of h are within the limits. b.mu is held.
func (b *Budget) fits(h *Holder, n int64) bool {
	limit := b.cfg.Limit
	if !h.isSmall(n) {
		limit -= limit / smallReserve
	}
	return b.used+n <= limit && h.caller.used+n <= b.callerLimit(h, n)
}

// isBehind reports whether a reservation of h has to wait because others wait.
// Small holders don't wait for large ones. b.mu is held.
func (b *Budget) isBehind(h *Holder, n int64) bool {
	if h.isSmall(n) {
		return false
	}
	for _, r := range b.waiting {
		if r.holder.caller.used <= h.caller.used && r.holder.caller.used+r.bytes <= b.callerLimit(r.holder, r.bytes) {
			return true
		}
	}
	return false
}

// take adds n bytes, which may be negative, to the use of h. b.mu is held.
func (b *Budget) take(h *Holder, use Use, n int64) {
	if use != Connection && n > 0 {
		h.extra.Store(true)
	}
	h.used[use] += n
	h.total += n
	h.caller.used += n
	b.used += n
}

// grant makes the waiting reservations that are possible now. Those of callers
// that hold least are first; a large one that doesn't fit holds back the large
// ones after it, so that it isn't starved. b.mu is held.
func (b *Budget) grant() {
	for {
		r := b.next()
		if r == nil {
			return
		}
		b.take(r.holder, r.use, r.bytes)
		for i, w := range b.waiting {
			if w == r {
				b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
				break
			}
		}
		close(r.granted)
	}
}

// next returns the waiting reservation to make now, or nil. b.mu is held.
func (b *Budget) next() *Reservation {
	var first, small *Reservation
	for _, r := range b.waiting {
		if r.holder.caller.used+r.bytes > b.callerLimit(r.holder, r.bytes) {
			continue
		}
		if first == nil || r.holder.caller.used < first.holder.caller.used {
			first = r
		}
		if small == nil && r.holder.isSmall(r.bytes) && b.fits(r.holder, r.bytes) {
			small = r
		}
	}
	if first != nil && b.fits(first.holder, first.bytes) {
		return first
	}
	return small
}
