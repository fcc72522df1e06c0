// Package quota limits the requests of client accounts over the whole fleet.
//
// The tokens of an account are divided equally among its holders, which are
// serving instances. An instance that runs short asks holders for tokens that
// they don't need. A transfer is deducted from the sender before it is sent, and
// the receiver's tokens lapse before the sender may replace them, so lost,
// repeated or late messages never increase the number of tokens in the fleet.
//
// All functions take the time as an argument, and the package does no I/O. Times
// are durations since an arbitrary moment on a clock that also advances while
// the machine is suspended.
package quota

import (
	"net/netip"
	"time"
)

// Limit is the quota of an account over the whole fleet.
type Limit struct {
	Rate  float64 // requests per second, 0 for no limit
	Burst float64 // requests at once beyond Rate
}

// Member is an instance that serves callers.
type Member struct {
	ID      string
	Address netip.AddrPort // of its UDP socket
	Region  string
	Remote  bool // Region is another one than that of this instance
	Self    bool
}

// Request asks a holder for tokens of one account.
type Request struct {
	_       struct{} `cbor:",toarray"`
	Account string
	Version uint64  // of the configuration that sets the limit
	Number  uint64  // of the request at its sender, repeated in the transfer
	Tokens  float64 // wanted
}

// Transfer moves tokens of one account to the receiver. Without tokens, it tells
// the receiver to ask another holder.
type Transfer struct {
	_       struct{} `cbor:",toarray"`
	Account string
	Version uint64
	Number  uint64 // of the request
	Tokens  float64
	TTLMS   uint32 // milliseconds from the receiver's request after which unused tokens lapse
}

// Outgoing is a request and the address of the holder that it is sent to.
type Outgoing struct {
	To      netip.AddrPort
	Request Request
}

// Token permits one request. It is used up by Sent or given back by Return.
type Token struct {
	own, lent float64       // parts from the own share and from transfers
	lapses    time.Duration // of the lent part
	run       uint64        // in which it was taken
}

// Decision is the result of asking for the token of one request. A request that is
// not admitted waits and calls TakeAgain, or calls Refuse.
type Decision struct {
	Admitted bool
	Token    Token // if Admitted
	// Wait is the time within which a token may become available, 0 if waiting
	// is pointless.
	Wait time.Duration
	// RetryAfter is when a refused caller should return.
	RetryAfter time.Duration
}

// Config holds the tolerances of the bound: in each Window, an account's requests
// are at most (rate × Window + burst) × (1 + Overage) + Slack.
type Config struct {
	Window  time.Duration
	Overage float64
	Slack   float64 // requests
	// Seed is the number before that of the first request for tokens. It differs
	// between runs, so that transfers to an earlier run are not accepted.
	Seed uint64
}

// Times of the exchange of tokens.
const (
	// tokenTTL is the time for which transferred tokens are valid. It covers one
	// interval between rounds with the time to answer. Tokens in use by others reduce
	// what the lender's bucket may hold, so that a longer time limits the flow.
	tokenTTL = 300 * time.Millisecond
	// askInterval is the time between rounds of requests for an account, and
	// maxAskInterval the one after rounds that brought nothing.
	askInterval    = 200 * time.Millisecond
	maxAskInterval = time.Second
	// stageDelay is the time without an answer after which other holders are asked
	// within a round. It exceeds a round trip between regions, 16 ms, with some
	// scheduling delay.
	stageDelay = 25 * time.Millisecond
	// maxAsks bounds the requests for an account in a round. Holders without tokens
	// say so at once, and a request asks for no more than it lacks.
	maxAsks = 12
	// minAsks replaces maxAsks after a round that brought nothing: at an account over
	// its limit everywhere, nobody has tokens to spare.
	minAsks = 6
	// maxFanout bounds the number of holders asked at once.
	maxFanout = 6
	// MaxWait is the longest time for which a request waits for a transfer.
	MaxWait = 100 * time.Millisecond
	// pauseGap is the time between two calls of Requests beyond which the process
	// was paused.
	pauseGap = time.Second
)

// Division of the bound.
const (
	// slackBurst is the share of Slack that is added to the burst.
	slackBurst = 0.6
	// startMargin is the part of the margin between the bound and the tokens of full
	// buckets that is at most used for the tokens with which instances start, and
	// viewMargin the part that covers views of the membership that differ for a
	// moment. The rest allows transfers beyond a bucket's capacity.
	startMargin = 0.5
	viewMargin  = 0.25
	// startShare is the share of the burst with which an instance starts.
	startShare = 0.5
	// minHolderTokens is the smallest capacity of a holder's bucket. With less
	// than one token, each request would need transfers from several holders; two
	// let a holder serve a request while another one is admitted elsewhere.
	minHolderTokens = 3
)

// capacity returns the number of tokens that the fleet holds at most.
func (c *Config) capacity(l Limit) float64 { return l.Burst + slackBurst*c.Slack }

// margin returns the difference between the bound and what full buckets admit in
// a window.
func (c *Config) margin(l Limit) float64 {
	return c.Overage*(l.Rate*c.Window.Seconds()+l.Burst) + (1-slackBurst)*c.Slack
}

// holders returns the number of holders of an account among n instances.
func (c *Config) holders(l Limit, n int) int {
	return max(1, min(n, int(min(c.capacity(l)/minHolderTokens, 1<<20))))
}

// start returns the number of tokens with which all holders together start.
func (c *Config) start(l Limit) float64 {
	return min(startShare*c.capacity(l), startMargin*c.margin(l))
}

// lendAllowance returns the number of tokens that may be lent at once without
// reducing the capacity of the buckets.
func (c *Config) lendAllowance(l Limit) float64 {
	return min(l.Rate*tokenTTL.Seconds(), (1-viewMargin)*c.margin(l)-c.start(l))
}
