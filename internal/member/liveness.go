package member

import (
	"maps"
	"slices"
	"time"

	"mimosafront/internal/message"
)

// HandleSuspension notes that the machine was suspended, which the monotonic clock of Tick
// doesn't show.
func (s *State) HandleSuspension(now time.Time) {
	s.resetAfterPause(now)
	s.Tick(now)
}

// Tick drives the timers. A gap between two ticks that is longer than the
// suspect interval means that the process was paused. A step of the wall clock alone
// means nothing.
func (s *State) Tick(now time.Time) {
	if now.Sub(s.lastTick) > s.config.Suspect {
		s.resetAfterPause(now)
	}
	s.lastTick = now
	s.detectFailures(now)
	s.join(now)
	if !now.Before(s.nextHeartbeat) {
		s.nextHeartbeat = now.Add(s.heartbeatInterval())
		s.sendHeartbeats()
	}
	s.flush(now)
}

// resetAfterPause forgets who was alive: all must be heard again, and this host joins
// anew.
func (s *State) resetAfterPause(now time.Time) {
	s.lastTick = now
	for _, n := range s.nodes {
		n.lastSeen, n.silentFrom = time.Time{}, now
	}
	s.zoneLastReport = map[string]time.Time{}
	s.nextHeartbeat = now
	s.event(EventResumed, s.config.Host)
	if s.self.State == message.MemberStateAlive {
		s.joined = false
		s.joinDeadline = now.Add(s.config.Suspect)
		s.setOwnState(message.MemberStateJoining)
	}
}

// join takes up the host's duties once it has heard all peers of its zone that
// it knows of, or has waited for long enough.
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

// allPeersSeen reports whether all known peers of the zone were heard, and at least
// one host.
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

// Leave announces that this host is leaving. It gives up its duties at once.
func (s *State) Leave(now time.Time) {
	if s.self.State == message.MemberStateLeaving {
		return
	}
	s.setOwnState(message.MemberStateLeaving)
	s.zoneUpdates.add(s.self)
	s.sendHeartbeats()
	s.flush(now)
}

// detectFailures suspects the silent, declares the dead of the own zone, and forgets
// those who are dead for long.
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

func (s *State) declareDead(now time.Time, n *node) {
	old := n.Member
	n.State = message.MemberStateDead
	s.memberChanged(now, n, old)
	s.remoteUpdates.add(n.Member)
}

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

// presumedAlive reports whether a host is believed to run: a host of the own zone if
// it was heard lately, one of another zone if its zone can be reached.
func (s *State) presumedAlive(now time.Time, n *node) bool {
	if n.Incarnation == 0 || n.State == message.MemberStateDead {
		return false
	}
	if n.Zone == s.config.Zone {
		return s.seenDirectly(now, n) && !n.refused
	}
	return s.zoneReachable(now, n.Zone)
}

func (s *State) seenDirectly(now time.Time, n *node) bool {
	return !n.lastSeen.IsZero() && now.Sub(n.lastSeen) < s.SuspectAfter()
}

// zoneReachable reports whether this host or a relay of its zone hears a host of
// another zone.
func (s *State) zoneReachable(now time.Time, zone string) bool {
	if lastReport, ok := s.zoneLastReport[zone]; ok && now.Sub(lastReport) < s.SuspectAfter() {
		return true
	}
	return slices.Contains(s.zonesSeenDirectly(now), zone)
}

// zonesSeenDirectly returns the other zones that this host hears a host of.
func (s *State) zonesSeenDirectly(now time.Time) []string {
	zones := map[string]bool{}
	for _, n := range s.nodes {
		if n.Zone != s.config.Zone && s.seenDirectly(now, n) {
			zones[n.Zone] = true
		}
	}
	return slices.Sorted(maps.Keys(zones))
}

// refreshView replaces the view if it changed. The last host of a zone keeps
// its duties while it is leaving.
func (s *State) refreshView(now time.Time) {
	v := View{
		Host: s.config.Host, Zone: s.config.Zone,
		Zones:          map[string][]string{},
		Weights:        s.weights(),
		Reachable:      map[string]bool{s.config.Host: true},
		LeavingServers: map[string]bool{},
	}
	if s.joined && s.self.State == message.MemberStateAlive && !s.servers[s.config.Host].Leaving {
		v.Zones[s.config.Zone] = []string{s.config.Host}
	}
	reachable := map[string]bool{s.config.Zone: true}
	for _, zone := range s.otherZones() {
		reachable[zone] = s.zoneReachable(now, zone)
	}
	for _, name := range s.names() {
		n := s.nodes[name]
		alive := reachable[n.Zone] && (n.Zone != s.config.Zone || s.presumedAlive(now, n)) &&
			n.Incarnation > 0 && n.State != message.MemberStateDead
		v.Reachable[name] = alive && !n.linkDown
		if alive && n.State == message.MemberStateAlive && !s.servers[name].Leaving {
			v.Zones[n.Zone] = append(v.Zones[n.Zone], name)
		}
	}
	if len(v.Zones[s.config.Zone]) == 0 && s.joined {
		v.Zones[s.config.Zone] = []string{s.config.Host}
	}
	for name, state := range s.servers {
		if state.Leaving {
			v.LeavingServers[name] = true
		}
	}
	for _, hosts := range v.Zones {
		slices.Sort(hosts)
	}
	if s.view == nil || !s.view.equal(&v) {
		s.view = newView(v)
	}
}

// weights returns the processing capacities of this host and of those that it knows.
func (s *State) weights() map[string]float64 {
	weights := map[string]float64{s.config.Host: s.config.Weight}
	for name, n := range s.nodes {
		weights[name] = n.Weight
	}
	return weights
}
