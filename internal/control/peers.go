package control

import (
	"context"
	"time"

	"mimosafront/internal/message"
	"mimosafront/internal/peer"
)

// nopTransport is the Transport of a host without peers.
type nopTransport struct{}

func (nopTransport) Send(string, *message.Frame) bool { return false }
func (nopTransport) Connected(string) bool            { return false }
func (nopTransport) SetLinked([]peer.Target)          {}
func (nopTransport) SetNeedsSeeds(bool)               {}
func (nopTransport) SetSuspicion(time.Duration)       {}
func (nopTransport) SetKnown([]peer.Target)           {}
func (nopTransport) Address() string                  { return "" }

// postUntilStopped waits until the event is in the inbox or the loop has stopped.
func (l *Loop) postUntilStopped(e event) error { return l.post(context.Background(), e) }
