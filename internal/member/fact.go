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
	// heard is when the host was last heard directly; zero when it was not
	// since this process started or woke.
	heard time.Time
	// since is from when its silence counts.
	since time.Time
	// deadSince is when it was declared dead.
	deadSince time.Time
	// linkDown is set while frames can't be sent to it; refused when its
	// address refuses connections, which a dead process explains best.
	linkDown bool
	refused  bool
	// mismatches counts heartbeats in a row whose view hash was hash, while
	// the own one was other than that.
	mismatches int
	hash       uint64
	// greeted is set once a whole view was sent to this incarnation.
	greeted int
	// beats is set when the host understands a Beat; told is the sequence of
	// the last whole heartbeat sent to it on its newest link, base the last one
	// received from it.
	beats bool
	told  int
	base  *message.Heartbeat
	// suspected is the last state reported by an event.
	suspected bool
}

// stateRank orders the states of one version; the higher one wins.
var stateRank = map[message.MemberState]int{
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
	return stateRank[a.State] > stateRank[b.State]
}

// learn takes a fact about another host and reports whether it was news.
func (s *State) learn(now time.Time, fact message.Member) bool {
	if _, known := stateRank[fact.State]; !known || fact.Host == "" {
		return false
	}
	n := s.nodes[fact.Host]
	if n == nil {
		if fact.State == message.MemberStateDead {
			return false
		}
		n = &node{since: now}
		n.Host = fact.Host
		s.nodes[fact.Host] = n
		s.sorted = nil
	} else if !newer(fact, n.Member) {
		return false
	}
	old := n.Member
	n.Member = fact
	s.changedFact(now, n, old)
	return true
}

// changedFact draws the conclusions of a replaced fact.
func (s *State) changedFact(now time.Time, n *node, old message.Member) {
	s.hashed = false
	s.peers = 0
	if old.Incarnation != 0 && n.Incarnation != old.Incarnation {
		s.event(EventRestarted, n.Host)
		n.refused, n.linkDown = false, false
		n.since = now
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
			n.since = now
		}
	}
}

// refute answers a claim about this host itself. Only the host raises its
// version, so its word is the last one of its incarnation.
func (s *State) refute(fact message.Member) bool {
	if fact.Incarnation > s.self.Incarnation {
		s.event(EventDuplicate, s.self.Host)
		return false
	}
	if fact.Incarnation < s.self.Incarnation || !newer(fact, s.self) {
		return false
	}
	s.self.Version = fact.Version + 1
	s.hashed = false
	return true
}

// setSelf changes this host's own state under a new version.
func (s *State) setSelf(state message.MemberState) {
	s.self.Version++
	s.self.State = state
	s.hashed = false
	s.farNews.add(s.self)
}

// facts returns this host and all hosts that were heard by anyone.
func (s *State) facts() []message.Member {
	facts := []message.Member{s.self}
	for _, name := range s.names() {
		if n := s.nodes[name]; n.Incarnation > 0 {
			facts = append(facts, n.Member)
		}
	}
	return facts
}

// hash returns the hash of all facts but those about the dead, which hosts
// forget at different times.
func (s *State) hash() uint64 {
	if s.hashed {
		return s.viewHash
	}
	facts := s.facts()
	slices.SortFunc(facts, func(a, b message.Member) int { return compare(a.Host, b.Host) })
	digest := xxhash.New()
	line := make([]byte, 0, 128)
	for _, f := range facts {
		if f.State == message.MemberStateDead {
			continue
		}
		line = append(line[:0], f.Host...)
		line = append(line, ' ')
		line = strconv.AppendInt(line, int64(f.Incarnation), 10)
		line = append(line, ' ')
		line = strconv.AppendInt(line, int64(f.Version), 10)
		line = append(line, ' ')
		line = append(line, f.State...)
		line = append(line, '\n')
		_, _ = digest.Write(line)
	}
	for _, server := range s.serverStates() {
		line = append(line[:0], server.Server...)
		line = strconv.AppendBool(append(line, ' '), server.Leaving)
		line = strconv.AppendInt(append(line, ' '), int64(server.Version), 10)
		_, _ = digest.Write(append(line, '\n'))
	}
	s.viewHash, s.hashed = digest.Sum64(), true
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
