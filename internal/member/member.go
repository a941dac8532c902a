// Package member tracks the membership of the entry hosts as one of them sees
// it: which hosts are alive, which are leaving, and hence which host coordinates
// each pool.
//
// Failure detection is SWIM-like. Within a zone all hosts exchange heartbeats,
// and a silent host becomes suspect and then dead. Incarnations and versions
// order the updates about a host, and the host itself refutes wrong ones. The
// records of hosts in another zone come from that zone's gossip, and these hosts
// count as reachable while their zone is. Two relays per zone, chosen by
// rendezvous hashing, exchange heartbeats and updates with the relays of the
// other zones, so that the traffic between zones grows with the number of zones.
//
// The package is pure: it does no I/O, reads no clock and starts no goroutine.
package member

import (
	"maps"
	"slices"
	"time"

	"mimosafront/internal/epoch"
	"mimosafront/internal/message"
)

const (
	// maxFullRatePeers is the number of peers up to which the heartbeat
	// interval is the configured one; beyond it, the interval grows in
	// proportion to the number of peers.
	maxFullRatePeers = 12
	// minMissedHeartbeats is the least number of missed heartbeats after which
	// a peer becomes suspect, also when the interval has grown.
	minMissedHeartbeats = 3
	// deadProbeRounds is the number of heartbeat rounds between two heartbeats
	// to a dead host.
	deadProbeRounds = 8
	// deadRetention is how long the record of a dead host is kept.
	deadRetention = 10 * time.Minute
	// maxIncarnation is the highest incarnation that is taken for a start time, in the year
	// 2286.
	maxIncarnation = 10_000_000_000_000
	// relaysPerZone is the number of hosts per zone that exchange updates with
	// other zones.
	relaysPerZone = 2
)

// Config identifies the own host and holds the intervals of the failure detector.
type Config struct {
	Host, Zone, Address string
	// Incarnation is the start time of the process in Unix milliseconds. The host may
	// raise it; see State.Incarnation.
	Incarnation int
	// Weight is the processing capacity relative to other hosts; 0 means that
	// of an ordinary host.
	Weight float64
	// Heartbeat is the base interval between heartbeats.
	Heartbeat time.Duration
	// Suspect and Dead are the silences after which a peer becomes suspect and
	// is declared dead.
	Suspect, Dead time.Duration
	// ExpectsPeers makes the host wait for heartbeats of other hosts before it
	// joins. It is set if there are seeds or a published host list.
	ExpectsPeers bool
}

// Output is a frame to send to a host.
type Output struct {
	To    string
	Frame message.Frame
}

// EventKind is the kind of a membership event.
type EventKind string

// The kinds of membership events.
const (
	// EventRestarted: the host runs under a new incarnation and has lost the
	// state of the earlier one.
	EventRestarted EventKind = "restarted"
	// EventDead: the host was declared dead.
	EventDead EventKind = "dead"
	// EventSuspect: the host became suspect.
	EventSuspect EventKind = "suspect"
	// EventAlive: the host was seen again, or for the first time.
	EventAlive EventKind = "alive"
	// EventLeaving: the host or backend server is leaving.
	EventLeaving EventKind = "leaving"
	// EventResumed: this process was paused and discarded its view.
	EventResumed EventKind = "woke"
	// EventJoined: this host took up its duties as a coordinator.
	EventJoined EventKind = "joined"
	// EventSuperseded: this host raised its incarnation above that of an earlier
	// process, whose clock was ahead.
	EventSuperseded EventKind = "superseded"
	// EventDuplicate: another process runs under this host's name.
	EventDuplicate EventKind = "duplicate"
)

// Event is a membership change to log or to act on.
type Event struct {
	Kind EventKind
	Host string
}

// State is the membership state of one host. It is not safe for concurrent use.
//
// Invariants: a member record is never replaced by an older one; only the host
// itself raises its version; in this host's view, another host of its zone
// coordinates pools only after a heartbeat from it has arrived since this process
// started or resumed.
type State struct {
	config Config
	self   message.Member
	nodes  map[string]*node
	// servers holds the entry hosts and backend servers that a published host
	// list has marked as leaving at some time.
	servers         map[string]message.ServerState
	hostListVersion int
	// zoneLastReport is when a relay of the own zone last reported that it
	// receives heartbeats from a zone.
	zoneLastReport map[string]time.Time

	joined        bool
	joinDeadline  time.Time
	lastTick      time.Time
	nextHeartbeat time.Time
	sequence      int
	// superseded counts the raises of the own incarnation.
	superseded      int
	heartbeatRounds int
	lastFullViewAt  time.Time
	// lastFullHeartbeat is the last full heartbeat built.
	lastFullHeartbeat *message.Heartbeat

	policyGeneration int
	policyWritten    epoch.Span

	// zoneUpdates are to be sent to the own zone, remoteUpdates to other zones.
	zoneUpdates   updateBatch
	remoteUpdates updateBatch
	// zonePeers caches the number of peers in the own zone; 0 means not counted.
	zonePeers int
	// sortedNames caches the names of nodes in order; nil means not sorted.
	sortedNames []string
	// formerHosts are hosts of the own zone that only others knew and that aren't in nodes, by
	// when they were first heard of as dead.
	formerHosts map[string]time.Time
	// startedAt is when this process started or resumed.
	startedAt time.Time
	// completeSince is since when all hosts of the zone are heard, zero if they aren't.
	completeSince time.Time
	// contact is as of the last tick; spareContact and spareNames are reused. contactPaused
	// is set if the last tick was late and skipped.
	contact, spareContact Contact
	spareNames            []string
	contactPaused         bool
	view                  *View
	// viewInputs are those of view, and viewRefreshedAt is when they were last
	// collected. spareInputs are reused.
	viewInputs, spareInputs *viewInputs
	viewRefreshedAt         time.Time
	viewHash                uint64
	viewHashValid           bool
	output                  []Output
	events                  []Event
}

// New returns the initial state of a host that knows no others.
func New(now time.Time, c Config) *State {
	s := &State{
		config: c,
		self: message.Member{
			Host: c.Host, Zone: c.Zone, Address: c.Address, Incarnation: c.Incarnation,
			Weight: c.Weight, Version: 1, State: message.MemberStateJoining,
		},
		nodes:          map[string]*node{},
		servers:        map[string]message.ServerState{},
		formerHosts:    map[string]time.Time{},
		contact:        Contact{Known: []string{c.Host}, InTouch: []string{c.Host}},
		zoneLastReport: map[string]time.Time{},
		joinDeadline:   now,
		lastTick:       now,
		startedAt:      now,
		nextHeartbeat:  now,
	}
	if c.ExpectsPeers {
		s.joinDeadline = now.Add(c.Suspect)
	}
	s.refreshView(now)
	return s
}

// SetPolicy sets the generation of the policy in force and the epochs of the platform's
// store in which it can have been written. Heartbeats carry both.
func (s *State) SetPolicy(generation int, written epoch.Span) {
	s.policyGeneration, s.policyWritten = generation, written
}

// Joined reports whether the host has taken up its duties as a coordinator.
func (s *State) Joined() bool { return s.joined }

// Incarnation returns the incarnation of this host: its start time, or a higher number if
// others know an earlier process with a later start time.
func (s *State) Incarnation() int { return s.self.Incarnation }

// View returns the current view. It is immutable and replaced on changes.
func (s *State) View() *View { return s.view }

// TakeOutput returns the frames to send that were added since the last call.
func (s *State) TakeOutput() []Output {
	output := s.output
	s.output = nil
	return output
}

// TakeEvents returns the events that were added since the last call.
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

// names returns the names of all other known hosts in order. The slice is
// shared and must not be changed.
func (s *State) names() []string {
	if s.sortedNames == nil {
		s.sortedNames = slices.Sorted(maps.Keys(s.nodes))
	}
	return s.sortedNames
}

// Members returns the records of this host and of all known hosts, ordered by
// name. Alive hosts that are presumed not to run are reported as suspect.
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

// Silence returns the time since the last heartbeat of a host arrived directly, or
// 0 if none has.
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
