package member

import (
	"time"

	"mimosafront/internal/message"
)

const (
	// minMismatches is how many heartbeats in a row must carry the same
	// other view hash before whole views are exchanged: until then the
	// difference may be news on its way.
	minMismatches = 3
	// maxFullViewBytesPerSecond bounds the bytes of whole views that a host sends.
	maxFullViewBytesPerSecond = 4096
	// memberRecordBytes is the encoded size of one fact, about.
	memberRecordBytes = 110
)

// LinkUp notes that a link to a host was opened. Its hello is the first fact.
func (s *State) LinkUp(now time.Time, h *message.Hello) {
	s.applyUpdate(now, message.Member{
		Host: h.Host, Zone: h.Zone, Address: h.Address, Incarnation: h.Incarnation, Weight: h.Weight,
		State: message.MemberStateJoining,
	})
	n := s.nodes[h.Host]
	if n == nil {
		return
	}
	n.linkDown, n.refused = false, false
	if h.Incarnation >= n.Incarnation {
		n.supportsBeats = h.Protocol >= message.ProtocolBeats
	}
	n.fullSequence = 0
	s.sendHeartbeat(n, s.fullHeartbeat())
	s.flush(now)
}

// LinkFailed notes that frames can't be sent to a host now. A refused connection
// makes a host of the own zone suspect at once.
func (s *State) LinkFailed(now time.Time, host string, refused bool) {
	if n := s.nodes[host]; n != nil {
		n.linkDown = true
		n.refused = n.refused || refused
		s.flush(now)
	}
}

// Heartbeat returns what heartbeats of this host carry now, without asks and
// grants.
func (s *State) Heartbeat() *message.Heartbeat {
	s.sequence++
	h := &message.Heartbeat{
		Host: s.config.Host, Incarnation: s.config.Incarnation, Sequence: s.sequence,
		State: message.HeartbeatState(s.self.State), Version: s.self.Version,
		PolicyGeneration: s.policyGeneration, ViewHash: s.ownViewHash(),
	}
	if s.isRelay() {
		h.Zones = s.zonesSeenDirectly(s.lastTick)
	}
	return h
}

// HandleHeartbeat notes that a host lives and what it says of itself.
func (s *State) HandleHeartbeat(now time.Time, from string, h *message.Heartbeat) {
	n := s.nodes[from]
	if n == nil || h.Host != from || h.Incarnation < n.Incarnation {
		return
	}
	n.setBase(h)
	update := n.Member
	update.Incarnation, update.Version = h.Incarnation, h.Version
	update.State = message.MemberState(h.State)
	if !newer(update, n.Member) && n.State == message.MemberStateDead {
		s.send(from, message.Frame{Members: &message.Members{Members: []message.Member{n.Member}}})
		return
	}
	changed := n.linkDown || n.refused || !s.seenDirectly(now, n)
	n.lastSeen, n.linkDown, n.refused = now, false, false
	inZone := n.Zone == s.config.Zone
	if s.applyUpdate(now, update) {
		s.forwardObserved(n.Member)
		changed = true
	}
	for _, zone := range h.Zones {
		changed = s.recordZoneReport(now, inZone, zone) || changed
	}
	s.compareViews(now, n, h.ViewHash)
	if changed {
		s.flush(now)
	}
}

// forwardObserved passes on a fact that was heard first-hand: the hosts of the same
// zone hear it themselves.
func (s *State) forwardObserved(update message.Member) {
	if update.Zone == s.config.Zone {
		s.remoteUpdates.add(update)
		return
	}
	s.zoneUpdates.add(update)
}

// recordZoneReport notes that a host hears another zone, and reports whether that
// changed anything. Only hosts of the own zone count.
func (s *State) recordZoneReport(now time.Time, inZone bool, zone string) bool {
	if !inZone || zone == s.config.Zone {
		return false
	}
	changed := !s.zoneReachable(now, zone)
	s.zoneLastReport[zone] = now
	return changed
}

// compareViews sends the whole view to a host that lacks something, or has
// something else.
func (s *State) compareViews(now time.Time, n *node, hash uint64) {
	if hash == s.ownViewHash() {
		n.mismatches = 0
		return
	}
	if hash != n.mismatchedHash {
		n.mismatchedHash, n.mismatches = hash, 0
	}
	n.mismatches++
	first := n.syncedIncarnation != n.Incarnation
	if !first && (n.mismatches < minMismatches || now.Before(s.lastFullView.Add(s.fullViewInterval()))) {
		return
	}
	n.syncedIncarnation, n.mismatches = n.Incarnation, 0
	s.lastFullView = now
	s.sendFullView(n.Host)
}

func (s *State) fullViewInterval() time.Duration {
	bytes := memberRecordBytes * (len(s.nodes) + 1)
	return max(s.config.Heartbeat, time.Duration(bytes)*time.Second/maxFullViewBytesPerSecond)
}

// sendHeartbeats sends one round of heartbeats.
func (s *State) sendHeartbeats() {
	s.heartbeatRounds++
	full := s.fullHeartbeat()
	for _, name := range s.names() {
		n := s.nodes[name]
		if n.Zone != s.config.Zone {
			continue
		}
		if n.State != message.MemberStateDead || s.heartbeatRounds%deadProbeRounds == 0 {
			s.sendHeartbeat(n, full)
		}
	}
	if !s.isRelay() {
		return
	}
	for _, name := range s.remoteRelays() {
		s.sendHeartbeat(s.nodes[name], full)
	}
}

// heartbeatInterval returns the time between heartbeats: it grows with the number of
// peers so that a host's cost stays bounded.
func (s *State) heartbeatInterval() time.Duration {
	if s.zonePeers == 0 {
		s.zonePeers = s.countZonePeers()
	}
	if s.zonePeers <= maxUnpacedPeers {
		return s.config.Heartbeat
	}
	return s.config.Heartbeat * time.Duration(s.zonePeers) / maxUnpacedPeers
}

// countZonePeers counts the other hosts of the own zone that may be alive.
func (s *State) countZonePeers() int {
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
	return max(s.config.Suspect, minMissedHeartbeats*s.heartbeatInterval())
}

// deadAfter returns the silence after which a peer is declared dead.
func (s *State) deadAfter() time.Duration {
	return s.SuspectAfter() + s.config.Dead - s.config.Suspect
}

// SendHeartbeatsNow sends heartbeats at once, such as after a change of the policy.
func (s *State) SendHeartbeatsNow(now time.Time) {
	s.lastTick = now
	s.nextHeartbeat = now.Add(s.heartbeatInterval())
	s.sendHeartbeats()
}
