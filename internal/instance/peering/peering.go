// Package peering keeps QUIC links with mutual authentication to other
// instances and moves wire messages over them.
package peering

import (
	"knapweedreel/internal/member"
	"knapweedreel/internal/wire"
)

// Handler receives what happens on links. Calls come from the links'
// goroutines and must not block for long.
type Handler interface {
	// LinkUp says that a link to the member is up and authenticated.
	LinkUp(info member.Info)
	// LinkDown says that the last link to the member is gone.
	LinkDown(id string)
	// Message hands over a message of an authenticated member.
	Message(from string, message wire.Message)
}

// Sender is what the control goroutine uses to reach peers. No call blocks: a
// message for a slow peer is dropped and counted.
type Sender interface {
	// Send queues the message for one member.
	Send(id string, message wire.Message)
	// Connect sets the members to which links are to be kept.
	Connect(members []member.Info)
}
