package member

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosafront/internal/message"
)

// node is what is known of another entry host: the fact that hosts tell each
// other, and what this host itself observed.
type node struct {
	message.Member
	// lastSeen is when the host was last heard directly; zero when it was not
	// since this process started or woke.
	lastSeen time.Time
	// silentFrom is from when its silence counts.
	silentFrom time.Time
	// deadSince is when it was declared dead.
	deadSince time.Time
	// linkDown is set while frames can't be sent to it; refused when its
	// address refuses connections, which a dead process explains best.
	linkDown bool
	refused  bool
	// mismatches counts heartbeats in a row whose view hash was hash, while
	// the own one was other than that.
	mismatches     int
	mismatchedHash uint64
	// syncedIncarnation is set once a whole view was sent to this incarnation.
	syncedIncarnation int
	// sequence is set when the host understands a Beat; told is the sequence of
	// the last whole heartbeat sent to it on its newest link, base the last one
	// received from it.
	supportsBeats bool
	fullSequence  int
	base          *message.Heartbeat
	// suspectReported is the last state reported by an event.
	suspectReported bool
}

// statePrecedence orders the states of one version; the higher one wins.
var statePrecedence = map[message.MemberState]int{
	message.MemberStateJoining: 0,
	message.MemberStateAlive:   1,
	message.MemberStateLeaving: 2,
	message.MemberStateDead:    3,
}

// newer reports whether fact a replaces fact b about the same host.
func newer(a, b message.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	return statePrecedence[a.State] > statePrecedence[b.State]
}

// applyUpdate takes a fact about another host and reports whether it was news.
func (s *State) applyUpdate(now time.Time, update message.Member) bool {
	if _, known := statePrecedence[update.State]; !known || update.Host == "" {
		return false
	}
	n := s.nodes[update.Host]
	if n == nil {
		if update.State == message.MemberStateDead {
			return false
		}
		n = &node{silentFrom: now}
		n.Host = update.Host
		s.nodes[update.Host] = n
		s.sortedNames = nil
	} else if !newer(update, n.Member) {
		return false
	}
	old := n.Member
	n.Member = update
	s.memberChanged(now, n, old)
	return true
}

// memberChanged draws the conclusions of a replaced fact.
func (s *State) memberChanged(now time.Time, n *node, old message.Member) {
	s.viewHashValid = false
	s.zonePeers = 0
	if old.Incarnation != 0 && n.Incarnation != old.Incarnation {
		s.event(EventRestarted, n.Host)
		n.refused, n.linkDown = false, false
		n.silentFrom = now
	}
	switch n.State {
	case message.MemberStateDead:
		n.deadSince = now
		s.event(EventDead, n.Host)
	case message.MemberStateLeaving:
		if old.State != n.State {
			s.event(EventLeaving, n.Host)
		}
	default:
		if old.State == message.MemberStateDead {
			n.silentFrom = now
		}
	}
}

// refute answers a claim about this host itself. Only the host raises its
// version, so its word is the last one of its incarnation.
func (s *State) refute(update message.Member) bool {
	if update.Incarnation > s.self.Incarnation {
		s.event(EventDuplicate, s.self.Host)
		return false
	}
	if update.Incarnation < s.self.Incarnation || !newer(update, s.self) {
		return false
	}
	s.self.Version = update.Version + 1
	s.viewHashValid = false
	return true
}

// setOwnState changes this host's own state under a new version.
func (s *State) setOwnState(state message.MemberState) {
	s.self.Version++
	s.self.State = state
	s.viewHashValid = false
	s.remoteUpdates.add(s.self)
}

// memberRecords returns this host and all hosts that were heard by anyone.
func (s *State) memberRecords() []message.Member {
	records := []message.Member{s.self}
	for _, name := range s.names() {
		if n := s.nodes[name]; n.Incarnation > 0 {
			records = append(records, n.Member)
		}
	}
	return records
}

// ownViewHash returns the hash of all facts but those about the dead, which hosts
// forget at different times.
func (s *State) ownViewHash() uint64 {
	if s.viewHashValid {
		return s.viewHash
	}
	records := s.memberRecords()
	slices.SortFunc(records, func(a, b message.Member) int { return compare(a.Host, b.Host) })
	digest := xxhash.New()
	line := make([]byte, 0, 128)
	for _, r := range records {
		if r.State == message.MemberStateDead {
			continue
		}
		line = append(line[:0], r.Host...)
		line = append(line, ' ')
		line = strconv.AppendInt(line, int64(r.Incarnation), 10)
		line = append(line, ' ')
		line = strconv.AppendInt(line, int64(r.Version), 10)
		line = append(line, ' ')
		line = append(line, r.State...)
		line = append(line, '\n')
		_, _ = digest.Write(line)
	}
	for _, server := range s.serverStates() {
		line = append(line[:0], server.Server...)
		line = strconv.AppendBool(append(line, ' '), server.Leaving)
		line = strconv.AppendInt(append(line, ' '), int64(server.Version), 10)
		_, _ = digest.Write(append(line, '\n'))
	}
	s.viewHash, s.viewHashValid = digest.Sum64(), true
	return s.viewHash
}

func (s *State) serverStates() []message.ServerState {
	states := make([]message.ServerState, 0, len(s.servers))
	for _, state := range s.servers {
		states = append(states, state)
	}
	slices.SortFunc(states, func(a, b message.ServerState) int { return compare(a.Server, b.Server) })
	return states
}
