// Package member holds the table of the fleet's instances as one instance sees
// it, and the assignment of instances and services to shards.
package member

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// State is the state that a member announces of itself.
type State string

// The states.
const (
	Starting State = "starting" // has no documents yet
	Active   State = "active"
	Leaving  State = "leaving" // planned stop
)

// Info is what a member says of itself. Heartbeats leave most fields out. Of two Infos of the same member the
// one with the higher Boot, then the higher Sequence, is newer.
type Info struct {
	ID            string `json:"id" cbor:"1,keyasint"`
	Boot          uint64 `json:"boot" cbor:"2,keyasint,omitempty"` // start time in nanoseconds
	Sequence      uint64 `json:"sequence" cbor:"3,keyasint,omitempty"`
	EntryAddress  string `json:"entry_address" cbor:"4,keyasint,omitempty"`
	PeerAddress   string `json:"peer_address" cbor:"5,keyasint,omitempty"`
	AdminAddress  string `json:"admin_address" cbor:"6,keyasint,omitempty"`
	Region        string `json:"region" cbor:"7,keyasint,omitempty"`
	FailureDomain string `json:"failure_domain" cbor:"8,keyasint,omitempty"`
	State         State  `json:"state" cbor:"9,keyasint,omitempty"`
}

// ShardTarget is the number of members from which a shard is split: at 64
// members there are two shards. An upstream accepts about 330 connections, so
// a shard of 32 to 64 members leaves each at least 5.
const ShardTarget = 32

// Shards returns the number of shards for a fleet of n members: the largest
// power of two not above n/ShardTarget, and at least 1.
func Shards(n int) int {
	if n < 2*ShardTarget {
		return 1
	}
	return 1 << (bits.Len(uint(n/ShardTarget)) - 1)
}

// ShardOf returns the shard of an instance or service. With a power of two of
// shards, doubling the number splits each shard and moves nothing else.
func ShardOf(name string, shards int) int {
	return int(xxhash.Sum64String(name) & uint64(shards-1))
}
