package member

import (
	"time"

	"mimosafront/internal/message"
)

// news collects facts to pass on within one turn.
type news struct {
	members []message.Member
	servers []message.ServerState
}

func (n *news) add(m message.Member) { n.members = append(n.members, m) }

func (n *news) addServer(s message.ServerState) { n.servers = append(n.servers, s) }

func (n *news) empty() bool { return len(n.members) == 0 && len(n.servers) == 0 }

func (n *news) take() message.Frame {
	f := message.Frame{Members: &message.Members{Members: n.members, Servers: n.servers}}
	*n = news{}
	return f
}

// HandleMembers takes news or a whole view. What is new to this host goes on:
// news of the own zone to the other zones if this host is a relay, news of other
// zones to the own zone.
func (s *State) HandleMembers(now time.Time, from string, m *message.Members) {
	sender := s.nodes[from]
	if sender == nil {
		return
	}
	fromZone := sender.Zone == s.config.Zone
	for _, fact := range m.Members {
		if fact.Host == s.config.Host {
			if s.refute(fact) {
				s.farNews.add(s.self)
				s.zoneNews.add(s.self)
			}
			continue
		}
		if s.learn(now, fact) {
			s.passOn(fromZone, fact)
		}
	}
	for _, state := range m.Servers {
		if !s.learnServer(state) {
			continue
		}
		if fromZone {
			s.farNews.addServer(state)
		} else {
			s.zoneNews.addServer(state)
		}
	}
	s.finish(now)
}

func (s *State) passOn(fromZone bool, fact message.Member) {
	if fromZone {
		if fact.Zone == s.config.Zone {
			s.farNews.add(fact)
		}
		return
	}
	s.zoneNews.add(fact)
}

// learnServer takes the published state of a host and reports whether it was
// news. The higher version of the list wins.
func (s *State) learnServer(state message.ServerState) bool {
	old, known := s.servers[state.Server]
	if known && state.Version <= old.Version {
		return false
	}
	if !known && !state.Leaving {
		return false
	}
	s.servers[state.Server] = state
	s.hashed = false
	if state.Leaving && !old.Leaving {
		s.event(EventLeaving, state.Server)
	}
	return known && old.Leaving != state.Leaving || !known
}

// PublishedHost is one entry of the published host list.
type PublishedHost struct {
	Name, Zone, Address string
	// Entry is set for entry hosts and not for backend servers.
	Entry   bool
	Leaving bool
}

// Published takes the published host list. A list of a lower version than one
// seen before says nothing new.
func (s *State) Published(now time.Time, version int, hosts []PublishedHost) {
	if version <= s.listVersion {
		return
	}
	s.listVersion = version
	for _, h := range hosts {
		state := message.ServerState{Server: h.Name, Leaving: h.Leaving, Version: version}
		if s.servers[h.Name].Leaving != h.Leaving && s.learnServer(state) {
			s.zoneNews.addServer(state)
			s.farNews.addServer(state)
		}
		if h.Entry && h.Name != s.config.Host {
			s.expect(now, h)
		}
	}
	s.finish(now)
}

// expect notes an entry host that was not heard yet, so that links to it are
// opened.
func (s *State) expect(now time.Time, h PublishedHost) {
	n := s.nodes[h.Name]
	if n == nil {
		n = &node{since: now}
		s.nodes[h.Name] = n
		s.sorted = nil
	}
	if n.Incarnation > 0 {
		return
	}
	s.peers = 0
	n.Member = message.Member{Host: h.Name, Zone: h.Zone, Address: h.Address, State: message.MemberStateAlive}
}

// sendNews sends what was collected in this turn.
func (s *State) sendNews(now time.Time) {
	if !s.zoneNews.empty() {
		f := s.zoneNews.take()
		for _, name := range s.names() {
			if n := s.nodes[name]; n.Zone == s.config.Zone && n.State != message.MemberStateDead {
				s.send(name, f)
			}
		}
	}
	if s.farNews.empty() {
		return
	}
	f := s.farNews.take()
	if !s.isRelay() {
		return
	}
	for _, name := range s.farRelays() {
		s.send(name, f)
	}
}

// finish ends a turn: news go out and the view is brought up to date.
func (s *State) finish(now time.Time) {
	s.refreshView(now)
	s.sendNews(now)
}

// SendFull sends the whole view to a host.
func (s *State) sendFull(to string) {
	s.send(to, message.Frame{Members: &message.Members{Full: true, Members: s.facts(), Servers: s.serverStates()}})
}
