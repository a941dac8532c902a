package control

import (
	"context"
	"time"

	"mimosafront/internal/message"
	"mimosafront/internal/peer"
)

// noPeers is the Transport of a host without others.
type noPeers struct{}

func (noPeers) Send(string, *message.Frame) bool { return false }
func (noPeers) Connected(string) bool            { return false }
func (noPeers) Keep([]peer.Target)               {}
func (noPeers) SetSuspicion(time.Duration)       {}
func (noPeers) Know([]peer.Target)               {}
func (noPeers) Address() string                  { return "" }

// postWait waits until the event is in the inbox or the loop has stopped.
func (l *Loop) postWait(e event) error { return l.post(context.Background(), e) }
