// Package member holds one instance's table of the fleet's instances, and
// assigns instances and services to shards.
package member

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// State is the state that a member announces for itself.
type State string

// Member states.
const (
	Starting State = "starting" // has no documents yet
	Active   State = "active"
	Leaving  State = "leaving" // shuts down gracefully
)

// Info describes a member, as announced by the member itself. Heartbeats omit
// most fields. Infos of the same member are ordered by Incarnation, then by
// Sequence: the higher one is newer.
type Info struct {
	ID            string `json:"id" cbor:"1,keyasint"`
	Incarnation   uint64 `json:"boot" cbor:"2,keyasint,omitempty"` // start time of the process, in nanoseconds
	Sequence      uint64 `json:"sequence" cbor:"3,keyasint,omitempty"`
	EntryAddress  string `json:"entry_address" cbor:"4,keyasint,omitempty"`
	PeerAddress   string `json:"peer_address" cbor:"5,keyasint,omitempty"`
	AdminAddress  string `json:"admin_address" cbor:"6,keyasint,omitempty"`
	Region        string `json:"region" cbor:"7,keyasint,omitempty"`
	FailureDomain string `json:"failure_domain" cbor:"8,keyasint,omitempty"`
	State         State  `json:"state" cbor:"9,keyasint,omitempty"`
}

// TargetShardSize is the minimum average number of members per shard of a fleet
// with more than one shard: the fleet is split in two at 64 members. An upstream
// accepts about 330 connections, so a shard of 32 to 64 members leaves each
// member at least 5.
const TargetShardSize = 32

// Shards returns the number of shards for a fleet of n members: the largest
// power of two not above n/TargetShardSize, and at least 1.
func Shards(n int) int {
	if n < 2*TargetShardSize {
		return 1
	}
	return 1 << (bits.Len(uint(n/TargetShardSize)) - 1)
}

// ShardOf returns the shard of an instance or service. The number of shards is
// a power of two, so doubling it splits each shard in two and moves nothing else.
func ShardOf(name string, shards int) int {
	return int(xxhash.Sum64String(name) & uint64(shards-1))
}
