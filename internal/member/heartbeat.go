package member

import (
	"time"

	"mimosafront/internal/message"
)

const (
	// patientMismatches is how many heartbeats in a row must carry the same
	// other view hash before whole views are exchanged: until then the
	// difference may be news on its way.
	patientMismatches = 3
	// fullBytesPerSecond bounds the bytes of whole views that a host sends.
	fullBytesPerSecond = 4096
	// factBytes is the encoded size of one fact, about.
	factBytes = 110
)

// LinkUp notes that a link to a host was opened. Its hello is the first fact.
func (s *State) LinkUp(now time.Time, h *message.Hello) {
	s.learn(now, message.Member{
		Host: h.Host, Zone: h.Zone, Address: h.Address, Incarnation: h.Incarnation, Weight: h.Weight,
		State: message.MemberStateJoining,
	})
	n := s.nodes[h.Host]
	if n == nil {
		return
	}
	n.linkDown, n.refused = false, false
	if h.Incarnation >= n.Incarnation {
		n.beats = h.Protocol >= message.MinBeatProtocol
	}
	n.told = 0
	s.sendHeartbeat(n, s.whole())
	s.finish(now)
}

// LinkFailed notes that frames can't be sent to a host now. A refused connection
// makes a host of the own zone suspect at once.
func (s *State) LinkFailed(now time.Time, host string, refused bool) {
	if n := s.nodes[host]; n != nil {
		n.linkDown = true
		n.refused = n.refused || refused
		s.finish(now)
	}
}

// Heartbeat returns what heartbeats of this host carry now, without asks and
// grants.
func (s *State) Heartbeat() *message.Heartbeat {
	s.beats++
	h := &message.Heartbeat{
		Host: s.config.Host, Incarnation: s.config.Incarnation, Sequence: s.beats,
		State: message.HeartbeatState(s.self.State), Version: s.self.Version,
		PolicyGeneration: s.policyGeneration, ViewHash: s.hash(),
	}
	if s.isRelay() {
		h.Zones = s.zonesHeardDirectly(s.lastTick)
	}
	return h
}

// HandleHeartbeat notes that a host lives and what it says of itself.
func (s *State) HandleHeartbeat(now time.Time, from string, h *message.Heartbeat) {
	n := s.nodes[from]
	if n == nil || h.Host != from || h.Incarnation < n.Incarnation {
		return
	}
	n.remember(h)
	fact := n.Member
	fact.Incarnation, fact.Version = h.Incarnation, h.Version
	fact.State = message.MemberState(h.State)
	if !newer(fact, n.Member) && n.State == message.MemberStateDead {
		s.send(from, message.Frame{Members: &message.Members{Members: []message.Member{n.Member}}})
		return
	}
	changed := n.linkDown || n.refused || !s.heardDirectly(now, n)
	n.heard, n.linkDown, n.refused = now, false, false
	inZone := n.Zone == s.config.Zone
	if s.learn(now, fact) {
		s.announce(n.Member)
		changed = true
	}
	for _, zone := range h.Zones {
		changed = s.hearZone(now, inZone, zone) || changed
	}
	s.compareViews(now, n, h.ViewHash)
	if changed {
		s.finish(now)
	}
}

// announce passes on a fact that was heard first-hand: the hosts of the same
// zone hear it themselves.
func (s *State) announce(fact message.Member) {
	if fact.Zone == s.config.Zone {
		s.farNews.add(fact)
		return
	}
	s.zoneNews.add(fact)
}

// hearZone notes that a host hears another zone, and reports whether that
// changed anything. Only hosts of the own zone count.
func (s *State) hearZone(now time.Time, inZone bool, zone string) bool {
	if !inZone || zone == s.config.Zone {
		return false
	}
	changed := !s.zoneReachable(now, zone)
	s.zoneHeard[zone] = now
	return changed
}

// compareViews sends the whole view to a host that lacks something, or has
// something else.
func (s *State) compareViews(now time.Time, n *node, hash uint64) {
	if hash == s.hash() {
		n.mismatches = 0
		return
	}
	if hash != n.hash {
		n.hash, n.mismatches = hash, 0
	}
	n.mismatches++
	first := n.greeted != n.Incarnation
	if !first && (n.mismatches < patientMismatches || now.Before(s.lastFull.Add(s.fullInterval()))) {
		return
	}
	n.greeted, n.mismatches = n.Incarnation, 0
	s.lastFull = now
	s.sendFull(n.Host)
}

func (s *State) fullInterval() time.Duration {
	bytes := factBytes * (len(s.nodes) + 1)
	return max(s.config.Heartbeat, time.Duration(bytes)*time.Second/fullBytesPerSecond)
}

// sendHeartbeats sends one round of heartbeats.
func (s *State) sendHeartbeats() {
	s.rounds++
	whole := s.whole()
	for _, name := range s.names() {
		n := s.nodes[name]
		if n.Zone != s.config.Zone {
			continue
		}
		if n.State != message.MemberStateDead || s.rounds%deadInterval == 0 {
			s.sendHeartbeat(n, whole)
		}
	}
	if !s.isRelay() {
		return
	}
	for _, name := range s.farRelays() {
		s.sendHeartbeat(s.nodes[name], whole)
	}
}

// interval returns the time between heartbeats: it grows with the number of
// peers so that a host's cost stays bounded.
func (s *State) interval() time.Duration {
	if s.peers == 0 {
		s.peers = s.countPeers()
	}
	if s.peers <= pacedPeers {
		return s.config.Heartbeat
	}
	return s.config.Heartbeat * time.Duration(s.peers) / pacedPeers
}

// countPeers counts the other hosts of the own zone that may be alive.
func (s *State) countPeers() int {
	peers := 0
	for _, n := range s.nodes {
		if n.Zone == s.config.Zone && n.State != message.MemberStateDead {
			peers++
		}
	}
	return peers
}

// SuspectAfter returns the silence after which a peer is suspected.
func (s *State) SuspectAfter() time.Duration {
	return max(s.config.Suspect, missedHeartbeats*s.interval())
}

// deadAfter returns the silence after which a peer is declared dead.
func (s *State) deadAfter() time.Duration {
	return s.SuspectAfter() + s.config.Dead - s.config.Suspect
}

// Announce sends heartbeats at once, such as after a change of the policy.
func (s *State) Announce(now time.Time) {
	s.lastTick = now
	s.nextBeat = now.Add(s.interval())
	s.sendHeartbeats()
}
