package member

import (
	"maps"
	"slices"
	"time"

	"mimosafront/internal/message"
)

// HandleSuspension handles a suspension of the machine, during which the monotonic
// clock that Tick relies on may stand still.
func (s *State) HandleSuspension(now time.Time) {
	s.resetAfterPause(now)
	s.Tick(now)
}

// Tick runs the timers. A gap between two ticks that exceeds the suspect interval
// means that the process was paused. Steps of the wall clock have no effect.
func (s *State) Tick(now time.Time) {
	if now.Sub(s.lastTick) > s.config.Suspect {
		s.resetAfterPause(now)
	}
	sinceLastTick := now.Sub(s.lastTick)
	s.lastTick = now
	s.detectFailures(now)
	s.updateContact(now, sinceLastTick)
	s.forgetFormer(now)
	s.join(now)
	if !now.Before(s.nextHeartbeat) {
		s.nextHeartbeat = now.Add(s.heartbeatInterval())
		s.sendHeartbeats()
	}
	s.flushAtOnce(now)
}

// resetAfterPause discards all observations: every host must be seen again
// before it counts as alive, and this host rejoins.
func (s *State) resetAfterPause(now time.Time) {
	s.lastTick = now
	for _, n := range s.nodes {
		n.lastSeen, n.silentFrom = time.Time{}, now
		n.heard, n.lostAt = false, time.Time{}
	}
	s.zoneLastReport = map[string]time.Time{}
	s.startedAt = now
	s.nextHeartbeat = now
	s.event(EventResumed, s.config.Host)
	if s.self.State == message.MemberStateAlive {
		s.joined = false
		s.joinDeadline = now.Add(s.config.Suspect)
		s.setOwnState(message.MemberStateJoining)
	}
}

// join makes this host take up its duties as a coordinator once it has seen all
// known peers of its zone, or when the join deadline has passed.
func (s *State) join(now time.Time) {
	if s.joined || s.self.State != message.MemberStateJoining {
		return
	}
	if now.Before(s.joinDeadline) && !s.allPeersSeen() {
		return
	}
	s.joined = true
	s.setOwnState(message.MemberStateAlive)
	s.event(EventJoined, s.config.Host)
	s.nextHeartbeat = now
}

// allPeersSeen reports whether heartbeats arrived from all known peers of the
// zone that aren't dead, and from at least one host.
func (s *State) allPeersSeen() bool {
	seen := 0
	for _, n := range s.nodes {
		if !n.lastSeen.IsZero() {
			seen++
			continue
		}
		if n.Zone == s.config.Zone && n.State != message.MemberStateDead {
			return false
		}
	}
	return seen > 0
}

// Leave announces that this host is leaving. It hands its duties as a coordinator
// over at once if another host of its zone can take them.
func (s *State) Leave(now time.Time) {
	if s.self.State == message.MemberStateLeaving {
		return
	}
	s.setOwnState(message.MemberStateLeaving)
	s.zoneUpdates.add(s.self)
	s.sendHeartbeats()
	s.flushAtOnce(now)
}

// detectFailures marks silent hosts of the own zone as suspect or dead, and
// removes hosts that have been dead for longer than deadRetention.
func (s *State) detectFailures(now time.Time) {
	suspectAfter, deadAfter := s.SuspectAfter(), s.deadAfter()
	for _, name := range s.names() {
		n := s.nodes[name]
		if n.State == message.MemberStateDead {
			if now.Sub(n.deadSince) > deadRetention {
				delete(s.nodes, name)
				s.sortedNames = nil
			}
			continue
		}
		if n.Zone != s.config.Zone {
			continue
		}
		silence := now.Sub(later(n.lastSeen, n.silentFrom))
		if silence >= deadAfter && n.Incarnation > 0 {
			s.declareDead(now, n)
			continue
		}
		s.reportSuspicion(n, silence >= suspectAfter || n.refused || n.lastSeen.IsZero())
	}
}

// declareDead marks a host of the own zone as dead and gossips that to other zones.
func (s *State) declareDead(now time.Time, n *node) {
	old := n.Member
	n.State = message.MemberStateDead
	s.memberChanged(now, n, old)
	s.remoteUpdates.add(n.Member)
}

// reportSuspicion adds an event if the suspicion of a host changed.
func (s *State) reportSuspicion(n *node, suspected bool) {
	if n.suspectReported == suspected {
		return
	}
	n.suspectReported = suspected
	if suspected {
		s.event(EventSuspect, n.Host)
	} else {
		s.event(EventAlive, n.Host)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// presumedAlive reports whether a host is presumed to be running: in the own
// zone if it was seen recently and accepts connections, in another zone if that
// zone is reachable.
func (s *State) presumedAlive(now time.Time, n *node) bool {
	if n.Incarnation == 0 || n.State == message.MemberStateDead {
		return false
	}
	if n.Zone == s.config.Zone {
		return s.seenDirectly(now, n) && !n.refused
	}
	return s.zoneReachable(now, n.Zone)
}

// seenDirectly reports whether a heartbeat of the host arrived within the suspect
// interval.
func (s *State) seenDirectly(now time.Time, n *node) bool {
	return !n.lastSeen.IsZero() && now.Sub(n.lastSeen) < s.SuspectAfter()
}

// zoneReachable reports whether this host or a relay of its zone receives
// heartbeats from another zone.
func (s *State) zoneReachable(now time.Time, zone string) bool {
	if lastReport, ok := s.zoneLastReport[zone]; ok && now.Sub(lastReport) < s.SuspectAfter() {
		return true
	}
	return slices.Contains(s.zonesSeenDirectly(now), zone)
}

// zonesSeenDirectly returns the other zones from which this host receives
// heartbeats, in order.
func (s *State) zonesSeenDirectly(now time.Time) []string {
	zones := map[string]bool{}
	for _, n := range s.nodes {
		if n.Zone != s.config.Zone && s.seenDirectly(now, n) {
			zones[n.Zone] = true
		}
	}
	return slices.Sorted(maps.Keys(zones))
}
