// Package capacity measures how the cost of an instance grows with the sizes
// of the fleet: documents, members, messages, upstreams, routes, callers and
// list entries. Each benchmark runs several sizes, so that a line can be fitted
// to them. Everything runs in process with the real packages; the figures are
// those of one instance.
package capacity
