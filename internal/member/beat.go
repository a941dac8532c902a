package member

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosafront/internal/message"
)

// whole returns the heartbeat that says what holds now. It is the previous one
// while nothing has changed, so that peers which have it are sent a Beat.
func (s *State) whole() *message.Heartbeat {
	h := s.Heartbeat()
	if s.told == nil || !sameContent(s.told, h) {
		s.told = h
	}
	return s.told
}

func sameContent(a, b *message.Heartbeat) bool {
	return a.State == b.State && a.Version == b.Version && a.PolicyGeneration == b.PolicyGeneration &&
		a.PolicyDigest == b.PolicyDigest && a.ViewHash == b.ViewHash && slices.Equal(a.Zones, b.Zones)
}

// sendHeartbeat sends a host the whole heartbeat unless it was sent it already
// on this link; then a Beat repeats it.
func (s *State) sendHeartbeat(n *node, whole *message.Heartbeat) {
	if n.beats && n.told == whole.Sequence {
		s.send(n.Host, message.Frame{Beat: &message.Beat{Base: baseOf(whole)}})
		return
	}
	n.told = whole.Sequence
	s.send(n.Host, message.Frame{Heartbeat: whole})
}

// HandleBeat returns the heartbeat that a Beat repeats. It returns nil if the
// Beat asks for a whole heartbeat, which is sent, or if it repeats one that this
// host doesn't have, which is asked for; the Beat then proves nothing.
func (s *State) HandleBeat(now time.Time, from string, b *message.Beat) *message.Heartbeat {
	n := s.nodes[from]
	if n == nil {
		return nil
	}
	if b.Base == 0 {
		n.told = 0
		s.sendHeartbeat(n, s.whole())
		return nil
	}
	if n.base == nil || baseOf(n.base) != b.Base {
		s.send(from, message.Frame{Beat: &message.Beat{}})
		return nil
	}
	return n.base
}

// remember keeps a whole heartbeat as the base of the Beats that follow. Reports
// and solicitations are sent out of turn and are no base.
func (n *node) remember(h *message.Heartbeat) {
	if h.Reports || h.Solicits {
		return
	}
	if n.base != nil && (n.base.Incarnation > h.Incarnation ||
		n.base.Incarnation == h.Incarnation && n.base.Sequence > h.Sequence) {
		return
	}
	n.base = h
}

// baseOf identifies a heartbeat among all of its sender. It is never 0.
func baseOf(h *message.Heartbeat) uint64 {
	var key [16]byte
	binary.BigEndian.PutUint64(key[:8], uint64(h.Incarnation))
	binary.BigEndian.PutUint64(key[8:], uint64(h.Sequence))
	return max(xxhash.Sum64(key[:]), 1)
}
