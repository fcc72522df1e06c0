// Package peering maintains mutually authenticated QUIC links to other instances
// and exchanges wire messages over them.
package peering

import (
	"knapweedreel/internal/member"
	"knapweedreel/internal/wire"
)

// Handler receives the events of links. Its methods are called from the
// goroutines of the links and must not block for long.
type Handler interface {
	// LinkUp is called when a link to the member is up and authenticated.
	LinkUp(info member.Info)
	// LinkDown is called when the last link to the member has ended.
	LinkDown(id string)
	// Message is called for each message from an authenticated member.
	Message(from string, message wire.Message)
}

// Sender sends messages to peers for the control goroutine. No call blocks: a
// message for a slow peer is dropped and counted.
type Sender interface {
	// Send queues the message for a member.
	Send(id string, message wire.Message)
	// SetPeers sets the members to which links are maintained.
	SetPeers(members []member.Info)
}
