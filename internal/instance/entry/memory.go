package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"knapweedreel/internal/membudget"
	"knapweedreel/internal/settings"
)

const (
	// connectionBytes is the memory reserved for a caller's connection: the stacks
	// of its goroutines, the buffers of net/http and a small request header.
	connectionBytes = 16 << 10
	// headerFactor is the memory for a byte of a request header beyond the first
	// buffer: the header is copied for the upstream.
	headerFactor = 2
	// waitingBytes is the memory that a caller may fill in a socket buffer while its
	// body waits for memory, the default receive window of the operating system.
	waitingBytes = 64 << 10
	// slotProgress is the number of bytes that a request has to receive or write in
	// times.slot_stall_ms while it has a slot that others wait for. At the default
	// time that is 4 KiB/s.
	slotProgress = 16 << 10
	// scansPerStall is the number of scans for callers without progress in the
	// stall time.
	scansPerStall = 4
)

// Shares of the callers' memory, as divisors.
const (
	connectionDivisor = 2 // for connections
	waitingDivisor    = 8 // equivalent of the socket buffers of waiting bodies
	bodyDivisor       = 8 // for the body of one request
)

// limitsWithinMemory lowers the limits that the memory for callers doesn't allow.
func limitsWithinMemory(l settings.Limits) settings.Limits {
	l.CallerConnections = max(1, min(l.CallerConnections, l.CallerMemoryBytes/connectionDivisor/connectionBytes))
	l.BufferedBodyBytes = min(l.BufferedBodyBytes, l.CallerMemoryBytes/bodyDivisor)
	return l
}

func newBudget(l settings.Limits, t settings.Times) *membudget.Budget {
	return membudget.New(membudget.Config{
		Limit: int64(l.CallerMemoryBytes), Stall: milliseconds(t.StallMS),
		SlotStall: milliseconds(t.SlotStallMS), SlotProgress: slotProgress,
		MaxWaiting: l.CallerMemoryBytes / waitingDivisor / waitingBytes,
	})
}

// watchMemory ends requests of callers without progress while others need their
// memory or their upstream.
func (s *Server) watchMemory(ctx context.Context) {
	t := time.NewTicker(max(time.Millisecond, milliseconds(s.cfg.Times.StallMS)/scansPerStall))
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			s.scanMemory(now)
		}
	}
}

func (s *Server) scanMemory(now time.Time) {
	evicted := 0
	for _, h := range s.budget.Scan(now) {
		if c, ok := h.Owner.(*callerConn); ok && c.evict() {
			evicted++
		}
	}
	stalled := 0
	for _, h := range s.budget.Slow(now, membudget.Streaming, membudget.Writing) {
		if c, ok := h.Owner.(*callerConn); ok && c.blocksSlot() && c.evict() {
			stalled++
		}
	}
	for _, h := range s.budget.Settled(now, membudget.Streaming) {
		if c, ok := h.Owner.(*callerConn); ok && c.bodyEndsLate(now) && c.blocksSlot() && c.evict() {
			stalled++
		}
	}
	for _, h := range s.budget.Stalled(now, membudget.Writing) {
		if c, ok := h.Owner.(*callerConn); ok && !c.chargeSocket() && c.evict() {
			evicted++
		}
	}
	for _, h := range s.budget.Holding(membudget.Connection, membudget.Receiving, membudget.Queued, membudget.Sent) {
		if c, ok := h.Owner.(*callerConn); ok {
			c.endIfHungUp()
		}
	}
	for _, h := range s.budget.Stalled(now, membudget.Idle) {
		if c, ok := h.Owner.(*callerConn); ok {
			c.closeWindow()
		}
	}
	for _, h := range s.budget.Holding(membudget.Socket, membudget.Idle) {
		if c, ok := h.Owner.(*callerConn); ok {
			c.drainSocket()
		}
	}
	used, waiting := s.budget.Used()
	s.memoryMetrics.used.Update(float64(used))
	s.memoryMetrics.waiting.Update(float64(waiting))
	s.memoryMetrics.evicted.Inc(int64(evicted))
	s.memoryMetrics.stalled.Inc(int64(stalled))
	if evicted+stalled > 0 {
		s.log.Warn("callers_evicted", zap.Int("for_memory", evicted), zap.Int("for_slots", stalled),
			zap.Int64("reserved_bytes", used), zap.Int("waiting", waiting))
	}
}

// hasWaiting reports whether requests wait for a slot.
func (st *serviceState) hasWaiting() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.queue.Len() > 0
}

// contentionMemory is how long after a wait for a slot a service counts as contended.
// It is longer than it takes until slow bodies give up their slots.
const contentionMemory = 10 * time.Second

// isContended reports whether requests wait for a slot or did so recently.
func (st *serviceState) isContended(now time.Time) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.queue.Len() > 0 || now.Sub(st.lastQueued) < contentionMemory
}

// openMemory sets the holder of the memory of a request.
func (e *exchange) openMemory() {
	if e.conn != nil {
		e.memory = e.conn.holder
		return
	}
	e.memory = e.s.budget.Open(e.caller, nil, e.started)
}

// closeMemory returns the memory of the request.
func (e *exchange) closeMemory() {
	if e.conn != nil {
		e.conn.end()
		return
	}
	e.memory.Close()
}
