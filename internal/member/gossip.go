package member

import (
	"time"

	"mimosafront/internal/message"
)

// updateBatch collects updates until flush sends them at the end of the current
// call to State.
type updateBatch struct {
	members []message.Member
	servers []message.ServerState
}

func (b *updateBatch) add(m message.Member) { b.members = append(b.members, m) }

func (b *updateBatch) addServer(s message.ServerState) { b.servers = append(b.servers, s) }

func (b *updateBatch) empty() bool { return len(b.members) == 0 && len(b.servers) == 0 }

// take returns the collected updates as a frame and empties the batch.
func (b *updateBatch) take() message.Frame {
	f := message.Frame{Members: &message.Members{Members: b.members, Servers: b.servers}}
	*b = updateBatch{}
	return f
}

// HandleMembers merges gossiped updates or a full view and forwards each update
// that changes a record: updates about the own zone to the other zones if this host
// is a relay, updates from other zones to the own zone.
func (s *State) HandleMembers(now time.Time, from string, m *message.Members) {
	sender := s.nodes[from]
	if sender == nil {
		return
	}
	fromOwnZone := sender.Zone == s.config.Zone
	for _, update := range m.Members {
		if update.Host == s.config.Host {
			if s.refute(update) {
				s.remoteUpdates.add(s.self)
				s.zoneUpdates.add(s.self)
			}
			continue
		}
		if s.applyUpdate(now, update) {
			s.forwardReceived(fromOwnZone, update)
		}
	}
	for _, state := range m.Servers {
		if !s.applyServerState(state) {
			continue
		}
		if fromOwnZone {
			s.remoteUpdates.addServer(state)
		} else {
			s.zoneUpdates.addServer(state)
		}
	}
	s.flush(now)
}

// forwardReceived queues an update that was received by gossip for the zones
// that don't have it yet.
func (s *State) forwardReceived(fromOwnZone bool, update message.Member) {
	if fromOwnZone {
		if update.Zone == s.config.Zone {
			s.remoteUpdates.add(update)
		}
		return
	}
	s.zoneUpdates.add(update)
}

// applyServerState merges the published state of a host and reports whether it
// changed. The state of the higher list version wins.
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

// PublishedHost is an entry of the published host list.
type PublishedHost struct {
	Name, Zone, Address string
	// Entry is true for entry hosts and false for backend servers.
	Entry   bool
	Leaving bool
}

// SetHosts applies a published host list. It ignores a list whose version
// isn't higher than that of the last one.
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

// addListedHost adds a listed entry host that hasn't been seen yet, so that a
// link to it is opened.
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

// sendUpdates sends the collected updates. A host that isn't a relay discards those
// for other zones.
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
	if !s.IsRelay() {
		return
	}
	for _, name := range s.remoteTargets() {
		s.send(name, f)
	}
}

// flush sends the collected updates at the end of a call, and refreshes the view at once or
// soon.
func (s *State) flush(now time.Time) {
	s.scheduleRefresh(now)
	s.sendUpdates(now)
}

// flushAtOnce sends the collected updates and refreshes the view.
func (s *State) flushAtOnce(now time.Time) {
	s.refreshView(now)
	s.sendUpdates(now)
}

// sendFullView sends the full view to a host.
func (s *State) sendFullView(to string) {
	s.send(to, message.Frame{Members: &message.Members{Full: true, Members: s.memberRecords(), Servers: s.serverStates()}})
}
