package member

import (
	"slices"
	"time"

	"mimosafront/internal/message"
)

const (
	// contactLead is by how many heartbeat intervals this host counts another one out of
	// contact before it would take over its pools. Both sides of a cut notice it within an
	// interval of each other; the rest is for delays.
	contactLead = 1.5
	// lateTick is the time between two ticks after which heartbeats may wait unread. Ticks
	// are 50 ms apart.
	lateTick = 150 * time.Millisecond
	// settleHeartbeats is the number of heartbeat intervals within which a host that hears a
	// better coordinator again has stopped to coordinate.
	settleHeartbeats = 2
	// newcomerTime is how long a host that starts while others are lost isn't counted. Cuts
	// within a zone are usually shorter; hosts that replace lost ones count after it.
	newcomerTime = 30 * time.Second
	// maxFormerHosts limits the dead hosts that are only known from others.
	maxFormerHosts = 1024
)

// Contact is which entry hosts of the own zone may coordinate its pools on the other side of
// a cut. Bounds that must hold over all sides are divided by it.
type Contact struct {
	// Known are the hosts that run as far as is known, or may run out of contact, ordered by
	// name. Hosts that died count until their records are removed, those that left don't.
	Known []string
	// InTouch are those of Known, this host included, whose heartbeats arrive.
	InTouch []string
}

// Equal reports whether the hosts are the same.
func (c Contact) Equal(o Contact) bool {
	return slices.Equal(c.Known, o.Known) && slices.Equal(c.InTouch, o.InTouch)
}

// Contact returns the contact with the own zone at the last tick. It must not be changed.
func (s *State) Contact() Contact { return s.contact }

// contactTimeout is the silence after which a host of the own zone is out of contact. A host
// that is cut off from others and coordinates their pools uses less of the bounds from then
// on; they take the pools over later, when it is suspect.
func (s *State) contactTimeout() time.Duration {
	return s.SuspectAfter() - time.Duration(contactLead*float64(s.heartbeatInterval()))
}

// updateContact updates the contact with the hosts of the own zone. A late tick waits for
// the next one, before which the heartbeats are read that arrived meanwhile.
func (s *State) updateContact(now time.Time, sinceLastTick time.Duration) {
	s.contactPaused = sinceLastTick > lateTick && !s.contactPaused
	if !s.contactPaused {
		s.observeContacts(now)
	}
	next := s.collectContact(now)
	if next.Equal(s.contact) {
		s.spareContact = next
		return
	}
	s.contact, s.spareContact = next, Contact{}
}

// observeContacts records which hosts of the own zone are heard.
func (s *State) observeContacts(now time.Time) {
	complete := len(s.formerHosts) == 0
	for _, name := range s.names() {
		n := s.nodes[name]
		if n.Zone != s.config.Zone {
			continue
		}
		s.observeContact(now, n)
		complete = complete && (n.heard || !n.mayCoordinate())
	}
	switch {
	case !complete:
		s.completeSince = time.Time{}
	case s.completeSince.IsZero():
		s.completeSince = now
	}
}

// observeContact records whether a host is heard.
func (s *State) observeContact(now time.Time, n *node) {
	heard := n.State != message.MemberStateDead && !n.lastSeen.IsZero() && now.Sub(n.lastSeen) < s.contactTimeout() && !n.linkDown && !n.refused
	switch {
	case heard && !n.heard:
		n.heardSince = now
	case !heard && n.heard && s.inTouch(now, n):
		n.lostAt = n.lastSeen
	}
	n.heard = heard
	if heard && s.inTouch(now, n) {
		n.lostAt = time.Time{}
	}
}

// inTouch reports whether a heard host may count as in touch. One that was lost may still
// coordinate pools, or hear another host that does and that this one doesn't hear yet. It
// counts once all hosts have been heard for some heartbeats, or after the time within which
// links are restored.
func (s *State) inTouch(now time.Time, n *node) bool {
	if !n.heard {
		return false
	}
	settled := !s.completeSince.IsZero() && now.Sub(s.completeSince) >= settleHeartbeats*s.heartbeatInterval()
	return n.lostAt.IsZero() || settled || now.Sub(n.heardSince) >= s.deadAfter()
}

// collectContact returns the current contact. While hosts are lost, those that became known
// later are left out for newcomerTime: on the other side of the cut nobody knows of them,
// and divides the bounds without them.
func (s *State) collectContact(now time.Time) Contact {
	c := Contact{Known: s.spareContact.Known[:0], InTouch: s.spareContact.InTouch[:0]}
	firstLoss, selfIsLater := s.losses(now)
	for _, name := range s.zoneNames() {
		n := s.nodes[name]
		switch {
		case name == s.config.Host:
			if !selfIsLater {
				c.Known, c.InTouch = append(c.Known, name), append(c.InTouch, name)
			}
		case n == nil: // one of formerHosts
			c.Known = append(c.Known, name)
		case n.mayCoordinate() && !isNewcomer(now, n, firstLoss) && !(selfIsLater && n.heard && n.Incarnation > s.self.Incarnation):
			c.Known = append(c.Known, name)
			if s.inTouch(now, n) {
				c.InTouch = append(c.InTouch, name)
			}
		}
	}
	if len(c.InTouch) == 0 {
		c.Known, c.InTouch = append(c.Known, s.config.Host), append(c.InTouch, s.config.Host)
		slices.Sort(c.Known)
	}
	return c
}

// isNewcomer reports whether a host became known a short time ago and after the first loss
// of a host; a zero firstLoss is none.
func isNewcomer(now time.Time, n *node, firstLoss time.Time) bool {
	return !firstLoss.IsZero() && n.knownSince.After(firstLoss) && now.Sub(n.knownSince) < newcomerTime
}

// losses returns when the first of the hosts that are lost was lost, zero if none is, and
// whether this host is a newcomer that may have started after one was lost: an older one
// that it never heard.
func (s *State) losses(now time.Time) (first time.Time, selfIsLater bool) {
	selfIsLater = len(s.formerHosts) > 0
	for _, name := range s.names() {
		n := s.nodes[name]
		if n.Zone != s.config.Zone || !n.mayCoordinate() || s.inTouch(now, n) {
			continue
		}
		if n.lostAt.IsZero() {
			selfIsLater = selfIsLater || n.Incarnation < s.self.Incarnation
			continue
		}
		if first.IsZero() || n.lostAt.Before(first) {
			first = n.lostAt
		}
	}
	return first, selfIsLater && now.Sub(s.startedAt) < newcomerTime
}

// zoneNames returns the names of all hosts of the own zone that are or were known, in order.
func (s *State) zoneNames() []string {
	names := append(s.spareNames[:0], s.config.Host)
	for _, name := range s.names() {
		if s.nodes[name].Zone == s.config.Zone {
			names = append(names, name)
		}
	}
	for name := range s.formerHosts {
		names = append(names, name)
	}
	slices.Sort(names)
	s.spareNames = names
	return names
}

// mayCoordinate reports whether a host that isn't heard may coordinate pools: it hasn't left.
func (n *node) mayCoordinate() bool {
	return n.heard || n.Incarnation > 0 && !n.left && n.State != message.MemberStateLeaving
}

// recordFormer remembers a host that is dead as far as others know, and that this host, which
// started later, hasn't met. It isn't passed on, so that all hosts forget it in time.
func (s *State) recordFormer(now time.Time, record message.Member) {
	if record.Zone != s.config.Zone || len(s.formerHosts) >= maxFormerHosts {
		return
	}
	if _, known := s.formerHosts[record.Host]; !known {
		s.formerHosts[record.Host] = now
	}
}

// forgetFormer removes the former hosts whose time has passed.
func (s *State) forgetFormer(now time.Time) {
	for name, since := range s.formerHosts {
		if now.Sub(since) > deadRetention {
			delete(s.formerHosts, name)
		}
	}
}
