package member

import (
	"maps"
	"slices"
	"time"

	"mimosafront/internal/message"
)

// Suspended notes that the machine was suspended, which the monotonic clock of Tick
// doesn't show.
func (s *State) Suspended(now time.Time) {
	s.wake(now)
	s.Tick(now)
}

// Tick drives the timers. A gap between two ticks that is longer than the
// suspect interval means that the process was paused. A step of the wall clock alone
// means nothing.
func (s *State) Tick(now time.Time) {
	if now.Sub(s.lastTick) > s.config.Suspect {
		s.wake(now)
	}
	s.lastTick = now
	s.judge(now)
	s.join(now)
	if !now.Before(s.nextBeat) {
		s.nextBeat = now.Add(s.interval())
		s.sendHeartbeats()
	}
	s.finish(now)
}

// wake forgets who was alive: all must be heard again, and this host joins
// anew.
func (s *State) wake(now time.Time) {
	s.lastTick = now
	for _, n := range s.nodes {
		n.heard, n.since = time.Time{}, now
	}
	s.zoneHeard = map[string]time.Time{}
	s.nextBeat = now
	s.event(EventWoke, s.config.Host)
	if s.self.State == message.MemberStateAlive {
		s.joined = false
		s.joinBy = now.Add(s.config.Suspect)
		s.setSelf(message.MemberStateJoining)
	}
}

// join takes up the host's duties once it has heard all peers of its zone that
// it knows of, or has waited for long enough.
func (s *State) join(now time.Time) {
	if s.joined || s.self.State != message.MemberStateJoining {
		return
	}
	if now.Before(s.joinBy) && !s.heardAll() {
		return
	}
	s.joined = true
	s.setSelf(message.MemberStateAlive)
	s.event(EventJoined, s.config.Host)
	s.nextBeat = now
}

// heardAll reports whether all known peers of the zone were heard, and at least
// one host.
func (s *State) heardAll() bool {
	heard := 0
	for _, n := range s.nodes {
		if !n.heard.IsZero() {
			heard++
			continue
		}
		if n.Zone == s.config.Zone && n.State != message.MemberStateDead {
			return false
		}
	}
	return heard > 0
}

// Leave announces that this host is leaving. It gives up its duties at once.
func (s *State) Leave(now time.Time) {
	if s.self.State == message.MemberStateLeaving {
		return
	}
	s.setSelf(message.MemberStateLeaving)
	s.zoneNews.add(s.self)
	s.sendHeartbeats()
	s.finish(now)
}

// judge suspects the silent, declares the dead of the own zone, and forgets
// those who are dead for long.
func (s *State) judge(now time.Time) {
	suspectAfter, deadAfter := s.SuspectAfter(), s.deadAfter()
	for _, name := range s.names() {
		n := s.nodes[name]
		if n.State == message.MemberStateDead {
			if now.Sub(n.deadSince) > forgetAfter {
				delete(s.nodes, name)
				s.sorted = nil
			}
			continue
		}
		if n.Zone != s.config.Zone {
			continue
		}
		silence := now.Sub(later(n.heard, n.since))
		if silence >= deadAfter && n.Incarnation > 0 {
			s.declareDead(now, n)
			continue
		}
		s.reportSuspicion(n, silence >= suspectAfter || n.refused || n.heard.IsZero())
	}
}

func (s *State) declareDead(now time.Time, n *node) {
	old := n.Member
	n.State = message.MemberStateDead
	s.changedFact(now, n, old)
	s.farNews.add(n.Member)
}

func (s *State) reportSuspicion(n *node, suspected bool) {
	if n.suspected == suspected {
		return
	}
	n.suspected = suspected
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

// heardOf reports whether a host is believed to run: a host of the own zone if
// it was heard lately, one of another zone if its zone can be reached.
func (s *State) heardOf(now time.Time, n *node) bool {
	if n.Incarnation == 0 || n.State == message.MemberStateDead {
		return false
	}
	if n.Zone == s.config.Zone {
		return s.heardDirectly(now, n) && !n.refused
	}
	return s.zoneReachable(now, n.Zone)
}

func (s *State) heardDirectly(now time.Time, n *node) bool {
	return !n.heard.IsZero() && now.Sub(n.heard) < s.SuspectAfter()
}

// zoneReachable reports whether this host or a relay of its zone hears a host of
// another zone.
func (s *State) zoneReachable(now time.Time, zone string) bool {
	if heard, ok := s.zoneHeard[zone]; ok && now.Sub(heard) < s.SuspectAfter() {
		return true
	}
	return slices.Contains(s.zonesHeardDirectly(now), zone)
}

// zonesHeardDirectly returns the other zones that this host hears a host of.
func (s *State) zonesHeardDirectly(now time.Time) []string {
	zones := map[string]bool{}
	for _, n := range s.nodes {
		if n.Zone != s.config.Zone && s.heardDirectly(now, n) {
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
		heard := reachable[n.Zone] && (n.Zone != s.config.Zone || s.heardOf(now, n)) &&
			n.Incarnation > 0 && n.State != message.MemberStateDead
		v.Reachable[name] = heard && !n.linkDown
		if heard && n.State == message.MemberStateAlive && !s.servers[name].Leaving {
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
