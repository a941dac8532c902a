// Package member keeps what one entry host knows of the others: who lives, who
// is leaving, and who therefore coordinates which pool.
//
// Within a zone each host hears each other by heartbeats and judges it by its
// silence. Of another zone a host knows the facts that the zone's own hosts
// tell, and whether the zone can be reached at all. Two relays of each zone, by
// rendezvous hash, exchange heartbeats and news with the relays of the other
// zones, so that cost follows zones.
//
// The package is pure: it does no I/O, reads no clock and starts no goroutine.
package member

import (
	"maps"
	"slices"
	"time"

	"mimosafront/internal/message"
)

const (
	// maxUnpacedPeers is the number of peers up to which the heartbeat interval is
	// the configured one; beyond, it grows with their number.
	maxUnpacedPeers = 12
	// minMissedHeartbeats make a peer suspect when the interval has grown.
	minMissedHeartbeats = 3
	// deadProbeRounds is how many heartbeat intervals lie between two
	// heartbeats to a dead host.
	deadProbeRounds = 8
	// deadRetention is how long a dead host is remembered.
	deadRetention = 10 * time.Minute
	// relaysPerZone exchange news with the other zones.
	relaysPerZone = 2
)

// Config holds a host's own name and the intervals.
type Config struct {
	Host, Zone, Address string
	// Incarnation is the start time in Unix milliseconds.
	Incarnation int
	// Weight is the processing capacity relative to other hosts; 0 is that of an
	// ordinary one.
	Weight float64
	// Heartbeat is the interval of heartbeats.
	Heartbeat time.Duration
	// Suspect and Dead are the silences after which a peer is suspected and
	// declared dead.
	Suspect, Dead time.Duration
	// ExpectsPeers is set when the host should hear others before it takes up
	// duties: it has seeds or a published host list.
	ExpectsPeers bool
}

// Output is one frame to send.
type Output struct {
	To    string
	Frame message.Frame
}

// EventKind says what happened to a host.
type EventKind string

// The kinds of events.
const (
	// EventRestarted: the host runs under a new incarnation; what it held
	// before is gone.
	EventRestarted EventKind = "restarted"
	// EventDead: the host was silent for too long.
	EventDead EventKind = "dead"
	// EventSuspect: the host is silent.
	EventSuspect EventKind = "suspect"
	// EventAlive: the host is heard again or for the first time.
	EventAlive EventKind = "alive"
	// EventLeaving: the host or backend server is leaving.
	EventLeaving EventKind = "leaving"
	// EventResumed: this process was paused and forgot what it believed.
	EventResumed EventKind = "woke"
	// EventJoined: this host takes up its duties.
	EventJoined EventKind = "joined"
	// EventDuplicate: another process runs under this host's name.
	EventDuplicate EventKind = "duplicate"
)

// Event is a change worth a log line or an action.
type Event struct {
	Kind EventKind
	Host string
}

// State is one host's knowledge of the others.
//
// Invariants: a fact about a host never gives way to an older one; only the
// host itself raises its version; a host that has not been heard since this
// process started or woke coordinates nothing here.
type State struct {
	config Config
	self   message.Member
	nodes  map[string]*node
	// servers are the hosts, entry and backend, that a published list called
	// leaving at some time.
	servers         map[string]message.ServerState
	hostListVersion int
	// zoneLastReport is when a relay of the own zone last said that it hears a
	// zone.
	zoneLastReport map[string]time.Time

	joined          bool
	joinDeadline    time.Time
	lastTick        time.Time
	nextHeartbeat   time.Time
	sequence        int
	heartbeatRounds int
	lastFullView    time.Time
	// lastFullHeartbeat is the last whole heartbeat.
	lastFullHeartbeat *message.Heartbeat

	policyGeneration int

	zoneUpdates   updateBatch
	remoteUpdates updateBatch
	// zonePeers is the number of peers in the own zone; 0 is to be counted.
	zonePeers int
	// sortedNames are the names of nodes in order; nil is to be sorted.
	sortedNames   []string
	view          *View
	viewHash      uint64
	viewHashValid bool
	output        []Output
	events        []Event
}

// New returns the state of a host that has heard nobody.
func New(now time.Time, c Config) *State {
	s := &State{
		config: c,
		self: message.Member{
			Host: c.Host, Zone: c.Zone, Address: c.Address, Incarnation: c.Incarnation,
			Weight: c.Weight, Version: 1, State: message.MemberStateJoining,
		},
		nodes:          map[string]*node{},
		servers:        map[string]message.ServerState{},
		zoneLastReport: map[string]time.Time{},
		joinDeadline:   now,
		lastTick:       now,
		nextHeartbeat:  now,
	}
	if c.ExpectsPeers {
		s.joinDeadline = now.Add(c.Suspect)
	}
	s.refreshView(now)
	return s
}

// SetPolicy sets the generation of the policy in force that heartbeats name.
func (s *State) SetPolicy(generation int) { s.policyGeneration = generation }

// Joined reports whether the host has taken up its duties.
func (s *State) Joined() bool { return s.joined }

// View returns the current view. It is replaced, never changed, when something
// changes.
func (s *State) View() *View { return s.view }

// TakeOutput returns the frames to send since the last call.
func (s *State) TakeOutput() []Output {
	output := s.output
	s.output = nil
	return output
}

// TakeEvents returns the events since the last call.
func (s *State) TakeEvents() []Event {
	events := s.events
	s.events = nil
	return events
}

func (s *State) send(to string, f message.Frame) {
	s.output = append(s.output, Output{To: to, Frame: f})
}

func (s *State) event(kind EventKind, host string) {
	s.events = append(s.events, Event{Kind: kind, Host: host})
}

// names returns all known hosts but this one, ordered by name. The result is
// shared and must not be changed.
func (s *State) names() []string {
	if s.sortedNames == nil {
		s.sortedNames = slices.Sorted(maps.Keys(s.nodes))
	}
	return s.sortedNames
}

// Members returns this host and all that it knows, ordered by name.
func (s *State) Members(now time.Time) []message.Member {
	members := []message.Member{s.self}
	for _, name := range s.names() {
		n := s.nodes[name]
		m := n.Member
		if m.State == message.MemberStateAlive && !s.presumedAlive(now, n) {
			m.State = message.MemberStateSuspect
		}
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b message.Member) int { return compare(a.Host, b.Host) })
	return members
}

// Silence returns the time since a host was heard directly, or 0.
func (s *State) Silence(now time.Time, host string) time.Duration {
	if n := s.nodes[host]; n != nil && !n.lastSeen.IsZero() {
		return now.Sub(n.lastSeen)
	}
	return 0
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
