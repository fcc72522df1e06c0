// Package quota limits the requests of client accounts over the whole fleet.
//
// Each serving instance holds an equal share of an account's tokens. An instance
// that runs short asks its peers, which transfer tokens that they don't need. A
// transfer is deducted from the sender before it is sent, so lost, repeated or
// late messages never increase the number of tokens in the fleet.
//
// All functions take the time as an argument, and the package does no I/O.
package quota

import "time"

// Limit is the quota of an account over the whole fleet.
type Limit struct {
	Rate  float64 // requests per second, 0 for no limit
	Burst float64 // requests at once beyond Rate
}

// Request asks peers for tokens of one account.
type Request struct {
	_       struct{} `cbor:",toarray"`
	Account string
	Version uint64  // of the configuration that sets the limit
	Tokens  float64 // wanted
}

// Transfer moves tokens of one account to the receiver. It must be applied at
// most once; its messages carry a sequence number for that.
type Transfer struct {
	_       struct{} `cbor:",toarray"`
	Account string
	Version uint64
	Tokens  float64
	TTLMS   uint32 // milliseconds from the receiver's request after which unused tokens lapse
}

// Decision is the result of asking for the token of one request.
type Decision struct {
	Admitted bool
	// Wait is the time after which a transfer may have arrived, 0 if waiting is
	// pointless.
	Wait time.Duration
	// RetryAfter is when a refused caller should return.
	RetryAfter time.Duration
}
