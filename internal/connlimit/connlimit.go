// Package connlimit decides who may open connections to upstreams. Without a limit of
// all, the requests of a crowd take the descriptors that its own connections need;
// without one for each service, those of one service keep out all others.
package connlimit

import "sync"

// serviceReserve is the part of all connections that one service leaves to others, as
// a divisor.
const serviceReserve = 4

// Limit counts the open connections to all upstreams. It is safe for concurrent use.
// The zero value has no limit.
type Limit struct {
	All int // maximum number of connections, 0 for no limit

	mu        sync.Mutex
	open      int
	byService map[string]int
}

// Result is the result of a reservation.
type Result int

const (
	Reserved    Result = iota
	Full               // all connections are open
	ServiceFull        // the service has its part
)

// Reserve counts a connection to an upstream of a service if there is room.
func (l *Limit) Reserve(service string) Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.All > 0 && l.byService[service] >= l.All-l.All/serviceReserve:
		return ServiceFull
	case l.All > 0 && l.open >= l.All:
		return Full
	}
	if l.byService == nil {
		l.byService = make(map[string]int)
	}
	l.open++
	l.byService[service]++
	return Reserved
}

// Release ends a reservation for a service.
func (l *Limit) Release(service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	if l.byService[service]--; l.byService[service] == 0 {
		delete(l.byService, service)
	}
}

// Open returns the number of reservations.
func (l *Limit) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}
