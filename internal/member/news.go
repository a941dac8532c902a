package member

import (
	"time"

	"mimosafront/internal/message"
)

// updateBatch collects facts to pass on within one turn.
type updateBatch struct {
	members []message.Member
	servers []message.ServerState
}

func (b *updateBatch) add(m message.Member) { b.members = append(b.members, m) }

func (b *updateBatch) addServer(s message.ServerState) { b.servers = append(b.servers, s) }

func (b *updateBatch) empty() bool { return len(b.members) == 0 && len(b.servers) == 0 }

func (b *updateBatch) take() message.Frame {
	f := message.Frame{Members: &message.Members{Members: b.members, Servers: b.servers}}
	*b = updateBatch{}
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
	for _, update := range m.Members {
		if update.Host == s.config.Host {
			if s.refute(update) {
				s.remoteUpdates.add(s.self)
				s.zoneUpdates.add(s.self)
			}
			continue
		}
		if s.applyUpdate(now, update) {
			s.forwardReceived(fromZone, update)
		}
	}
	for _, state := range m.Servers {
		if !s.applyServerState(state) {
			continue
		}
		if fromZone {
			s.remoteUpdates.addServer(state)
		} else {
			s.zoneUpdates.addServer(state)
		}
	}
	s.flush(now)
}

func (s *State) forwardReceived(fromZone bool, update message.Member) {
	if fromZone {
		if update.Zone == s.config.Zone {
			s.remoteUpdates.add(update)
		}
		return
	}
	s.zoneUpdates.add(update)
}

// applyServerState takes the published state of a host and reports whether it was
// news. The higher version of the list wins.
func (s *State) applyServerState(state message.ServerState) bool {
	old, known := s.servers[state.Server]
	if known && state.Version <= old.Version {
		return false
	}
	if !known && !state.Leaving {
		return false
	}
	s.servers[state.Server] = state
	s.viewHashValid = false
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

// SetHosts takes the published host list. A list of a lower version than one
// seen before says nothing new.
func (s *State) SetHosts(now time.Time, version int, hosts []PublishedHost) {
	if version <= s.hostListVersion {
		return
	}
	s.hostListVersion = version
	for _, h := range hosts {
		state := message.ServerState{Server: h.Name, Leaving: h.Leaving, Version: version}
		if s.servers[h.Name].Leaving != h.Leaving && s.applyServerState(state) {
			s.zoneUpdates.addServer(state)
			s.remoteUpdates.addServer(state)
		}
		if h.Entry && h.Name != s.config.Host {
			s.addListedHost(now, h)
		}
	}
	s.flush(now)
}

// addListedHost notes an entry host that was not heard yet, so that links to it are
// opened.
func (s *State) addListedHost(now time.Time, h PublishedHost) {
	n := s.nodes[h.Name]
	if n == nil {
		n = &node{silentFrom: now}
		s.nodes[h.Name] = n
		s.sortedNames = nil
	}
	if n.Incarnation > 0 {
		return
	}
	s.zonePeers = 0
	n.Member = message.Member{Host: h.Name, Zone: h.Zone, Address: h.Address, State: message.MemberStateAlive}
}

// sendUpdates sends what was collected in this turn.
func (s *State) sendUpdates(now time.Time) {
	if !s.zoneUpdates.empty() {
		f := s.zoneUpdates.take()
		for _, name := range s.names() {
			if n := s.nodes[name]; n.Zone == s.config.Zone && n.State != message.MemberStateDead {
				s.send(name, f)
			}
		}
	}
	if s.remoteUpdates.empty() {
		return
	}
	f := s.remoteUpdates.take()
	if !s.isRelay() {
		return
	}
	for _, name := range s.remoteRelays() {
		s.send(name, f)
	}
}

// flush ends a turn: news go out and the view is brought up to date.
func (s *State) flush(now time.Time) {
	s.refreshView(now)
	s.sendUpdates(now)
}

// SendFull sends the whole view to a host.
func (s *State) sendFullView(to string) {
	s.send(to, message.Frame{Members: &message.Members{Full: true, Members: s.memberRecords(), Servers: s.serverStates()}})
}
