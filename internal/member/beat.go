package member

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosafront/internal/message"
)

// fullHeartbeat returns the heartbeat that says what holds now. It is the previous one
// while nothing has changed, so that peers which have it are sent a Beat.
func (s *State) fullHeartbeat() *message.Heartbeat {
	h := s.Heartbeat()
	if s.lastFullHeartbeat == nil || !sameContent(s.lastFullHeartbeat, h) {
		s.lastFullHeartbeat = h
	}
	return s.lastFullHeartbeat
}

func sameContent(a, b *message.Heartbeat) bool {
	return a.State == b.State && a.Version == b.Version && a.PolicyGeneration == b.PolicyGeneration &&
		a.PolicyDigest == b.PolicyDigest && a.ViewHash == b.ViewHash && slices.Equal(a.Zones, b.Zones)
}

// sendHeartbeat sends a host the whole heartbeat unless it was sent it already
// on this link; then a Beat repeats it.
func (s *State) sendHeartbeat(n *node, full *message.Heartbeat) {
	if n.supportsBeats && n.fullSequence == full.Sequence {
		s.send(n.Host, message.Frame{Beat: &message.Beat{Base: baseID(full)}})
		return
	}
	n.fullSequence = full.Sequence
	s.send(n.Host, message.Frame{Heartbeat: full})
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
		n.fullSequence = 0
		s.sendHeartbeat(n, s.fullHeartbeat())
		return nil
	}
	if n.base == nil || baseID(n.base) != b.Base {
		s.send(from, message.Frame{Beat: &message.Beat{}})
		return nil
	}
	return n.base
}

// setBase keeps a whole heartbeat as the base of the Beats that follow. Reports
// and solicitations are sent out of turn and are no base.
func (n *node) setBase(h *message.Heartbeat) {
	if h.Reports || h.Solicits {
		return
	}
	if n.base != nil && (n.base.Incarnation > h.Incarnation ||
		n.base.Incarnation == h.Incarnation && n.base.Sequence > h.Sequence) {
		return
	}
	n.base = h
}

// baseID identifies a heartbeat among all of its sender. It is never 0.
func baseID(h *message.Heartbeat) uint64 {
	var key [16]byte
	binary.BigEndian.PutUint64(key[:8], uint64(h.Incarnation))
	binary.BigEndian.PutUint64(key[8:], uint64(h.Sequence))
	return max(xxhash.Sum64(key[:]), 1)
}
