package member

import (
	"time"

	"mimosafront/internal/message"
)

const (
	// minMismatches is the number of consecutive heartbeats with the same
	// differing view hash after which full views are exchanged. A shorter
	// difference may be due to updates in flight.
	minMismatches = 3
	// maxFullViewBytesPerSecond limits the full views that a host sends.
	maxFullViewBytesPerSecond = 4096
	// memberRecordBytes is the approximate encoded size of one member record.
	memberRecordBytes = 110
)

// LinkUp records that a link to a host was opened and merges the host's hello, which
// may be the first update about it.
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
		n.supportsBeats = h.Protocol >= message.MinBeatProtocol
	}
	n.fullSequence = 0
	s.sendHeartbeat(n, s.fullHeartbeat())
	s.flush(now)
}

// LinkFailed records that frames can't be sent to a host. If its address refused
// the connection, a host of the own zone becomes suspect at once.
func (s *State) LinkFailed(now time.Time, host string, refused bool) {
	if n := s.nodes[host]; n != nil {
		n.linkDown = true
		n.refused = n.refused || refused
		s.flushAtOnce(now)
	}
}

// Heartbeat returns a heartbeat with the current content and the next sequence
// number, without asks and grants.
func (s *State) Heartbeat() *message.Heartbeat {
	s.sequence++
	h := &message.Heartbeat{
		Host: s.config.Host, Incarnation: s.self.Incarnation, Sequence: s.sequence,
		State: message.HeartbeatState(s.self.State), Version: s.self.Version,
		PolicyGeneration: s.policyGeneration, PolicyEpoch: s.policyWritten.From, PolicyEpochEnd: s.policyWritten.End,
		ViewHash: s.ownViewHash(),
	}
	if s.IsRelay() {
		h.Zones = s.zonesSeenDirectly(s.lastTick)
	}
	return h
}

// HandleHeartbeat records that a host is alive and merges its state. A host whose
// heartbeat doesn't supersede its record as dead, or comes from an earlier incarnation
// than its record, is sent that record to refute.
func (s *State) HandleHeartbeat(now time.Time, from string, h *message.Heartbeat) {
	n := s.nodes[from]
	if n == nil || h.Host != from {
		return
	}
	if h.Incarnation < n.Incarnation {
		s.send(from, message.Frame{Members: &message.Members{Members: []message.Member{n.Member}}})
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
	fromOwnZone := n.Zone == s.config.Zone
	if s.applyUpdate(now, update) {
		s.forwardObserved(n.Member)
		changed = true
	}
	for _, zone := range h.Zones {
		changed = s.recordZoneReport(now, fromOwnZone, zone) || changed
	}
	s.compareViews(now, n, h.ViewHash)
	if changed {
		s.flush(now)
	}
}

// forwardObserved queues an update that came from the host itself for the hosts
// that don't receive its heartbeats.
func (s *State) forwardObserved(update message.Member) {
	if update.Zone == s.config.Zone {
		s.remoteUpdates.add(update)
		return
	}
	s.zoneUpdates.add(update)
}

// recordZoneReport records that a host receives heartbeats from another zone,
// and reports whether that made the zone reachable. Only reports of the own
// zone count.
func (s *State) recordZoneReport(now time.Time, fromOwnZone bool, zone string) bool {
	if !fromOwnZone || zone == s.config.Zone {
		return false
	}
	changed := !s.zoneReachable(now, zone)
	s.zoneLastReport[zone] = now
	return changed
}

// compareViews sends the full view to a host with another view hash: at the first
// difference since the host started, and later if the same difference persists.
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
	if !first && (n.mismatches < minMismatches || now.Before(s.lastFullViewAt.Add(s.fullViewInterval()))) {
		return
	}
	n.syncedIncarnation, n.mismatches = n.Incarnation, 0
	s.lastFullViewAt = now
	s.sendFullView(n.Host)
}

// fullViewInterval returns the minimum time between two full views, which keeps
// them within maxFullViewBytesPerSecond.
func (s *State) fullViewInterval() time.Duration {
	bytes := memberRecordBytes * (len(s.nodes) + 1)
	return max(s.config.Heartbeat, time.Duration(bytes)*time.Second/maxFullViewBytesPerSecond)
}

// sendHeartbeats sends one round of heartbeats. Dead hosts get one only every
// deadProbeRounds rounds, other zones only from relays.
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
	if !s.IsRelay() {
		return
	}
	for _, name := range s.remoteTargets() {
		s.sendHeartbeat(s.nodes[name], full)
	}
}

// heartbeatInterval returns the time between heartbeats. It grows with the
// number of peers, so that the heartbeats per second of a host stay bounded.
func (s *State) heartbeatInterval() time.Duration {
	if s.zonePeers == 0 {
		s.zonePeers = s.countZonePeers()
	}
	if s.zonePeers <= maxFullRatePeers {
		return s.config.Heartbeat
	}
	return s.config.Heartbeat * time.Duration(s.zonePeers) / maxFullRatePeers
}

// countZonePeers counts the other hosts of the own zone that aren't dead.
func (s *State) countZonePeers() int {
	peers := 0
	for _, n := range s.nodes {
		if n.Zone == s.config.Zone && n.State != message.MemberStateDead {
			peers++
		}
	}
	return peers
}

// SuspectAfter returns the silence after which a peer becomes suspect.
func (s *State) SuspectAfter() time.Duration {
	return max(s.config.Suspect, minMissedHeartbeats*s.heartbeatInterval())
}

// deadAfter returns the silence after which a peer is declared dead.
func (s *State) deadAfter() time.Duration {
	return s.SuspectAfter() + s.config.Dead - s.config.Suspect
}

// SendHeartbeatsNow starts a round of heartbeats at once, for example after a
// change of the policy.
func (s *State) SendHeartbeatsNow(now time.Time) {
	s.lastTick = now
	s.nextHeartbeat = now.Add(s.heartbeatInterval())
	s.sendHeartbeats()
}
