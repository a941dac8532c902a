package member

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosafront/internal/message"
)

// fullHeartbeat returns a heartbeat with the current content. While the content
// is unchanged it returns the previous heartbeat, so that peers with that one
// can be sent a Beat instead: a short frame that confirms a full heartbeat.
func (s *State) fullHeartbeat() *message.Heartbeat {
	h := s.Heartbeat()
	if s.lastFullHeartbeat == nil || !sameContent(s.lastFullHeartbeat, h) {
		s.lastFullHeartbeat = h
	}
	return s.lastFullHeartbeat
}

// sameContent reports whether two full heartbeats of a host have the same state,
// version, policy and its epochs, view hash and zones.
func sameContent(a, b *message.Heartbeat) bool {
	return a.State == b.State && a.Version == b.Version && a.PolicyGeneration == b.PolicyGeneration &&
		a.PolicyEpoch == b.PolicyEpoch && a.PolicyEpochEnd == b.PolicyEpochEnd &&
		a.PolicyDigest == b.PolicyDigest && a.ViewHash == b.ViewHash && slices.Equal(a.Zones, b.Zones)
}

// sendHeartbeat sends the full heartbeat, or a Beat that confirms it if the
// full one was already sent on this link.
func (s *State) sendHeartbeat(n *node, full *message.Heartbeat) {
	if n.supportsBeats && n.fullSequence == full.Sequence {
		s.send(n.Host, message.Frame{Beat: &message.Beat{Base: baseID(full)}})
		return
	}
	n.fullSequence = full.Sequence
	s.send(n.Host, message.Frame{Heartbeat: full})
}

// HandleBeat returns the full heartbeat that a Beat confirms, for HandleHeartbeat.
// A Beat without a base requests a full heartbeat: HandleBeat sends one and returns
// nil. If this host doesn't hold the confirmed heartbeat, HandleBeat requests it and
// returns nil. A Beat that yields nil doesn't update lastSeen.
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

// setBase stores a full heartbeat as the base of later Beats. Reports and
// solicitations are sent outside the regular sequence and are never a base.
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

// baseID returns the identifier by which a Beat refers to a heartbeat: a hash of
// incarnation and sequence, never 0.
func baseID(h *message.Heartbeat) uint64 {
	var key [16]byte
	binary.BigEndian.PutUint64(key[:8], uint64(h.Incarnation))
	binary.BigEndian.PutUint64(key[8:], uint64(h.Sequence))
	return max(xxhash.Sum64(key[:]), 1)
}
