// Package capacity benchmarks how the cost of one instance grows with the size
// of the fleet: documents, members, messages, upstreams, routes, callers and
// entries of the instance list. Each benchmark runs at several sizes, so that a
// line can be fitted to the results. The benchmarks run the production packages
// in process.
package capacity
