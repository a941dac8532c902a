package member

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosafront/internal/message"
)

// node is the local record of another entry host: its member record, which is
// gossiped, and the observations of this host.
type node struct {
	message.Member
	// lastSeen is when the last heartbeat arrived directly; zero if none has
	// arrived since this process started or resumed from a pause.
	lastSeen time.Time
	// silentFrom is when the host became known or restarted, or this process
	// resumed. Silence is measured from silentFrom or lastSeen, whichever is later.
	silentFrom time.Time
	// deadSince is when the host was declared dead.
	deadSince time.Time
	// linkDown is set while frames can't be sent to the host. refused is set once
	// its address refuses connections; most likely the process is dead then.
	linkDown bool
	refused  bool
	// mismatches counts consecutive heartbeats whose view hash was
	// mismatchedHash and differed from the own one.
	mismatches     int
	mismatchedHash uint64
	// syncedIncarnation is the incarnation that was last sent a full view.
	syncedIncarnation int
	// supportsBeats is set if the host's protocol has Beats. fullSequence is
	// the sequence of the last full heartbeat sent on the newest link, 0 if
	// none was. base is the last full heartbeat received.
	supportsBeats bool
	fullSequence  int
	base          *message.Heartbeat
	// knownSince is when this host first knew of the host, in any incarnation.
	knownSince time.Time
	// heard is whether heartbeats arrive, heardSince since when. lostAt is when the last one
	// arrived of a host that was in touch and isn't any more; else zero.
	heard              bool
	heardSince, lostAt time.Time
	// left is set if the host was leaving before it was declared dead.
	left bool
	// suspectReported is the suspicion that the last event reported.
	suspectReported bool
}

// statePrecedence orders states of the same version; the higher one wins.
var statePrecedence = map[message.MemberState]int{
	message.MemberStateJoining: 0,
	message.MemberStateAlive:   1,
	message.MemberStateLeaving: 2,
	message.MemberStateDead:    3,
}

// newer reports whether record a supersedes record b of the same host.
func newer(a, b message.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	return statePrecedence[a.State] > statePrecedence[b.State]
}

// applyUpdate merges an update about another host and reports whether it
// changed the record.
func (s *State) applyUpdate(now time.Time, update message.Member) bool {
	if _, known := statePrecedence[update.State]; !known || update.Host == "" {
		return false
	}
	n := s.nodes[update.Host]
	if n == nil {
		if update.State == message.MemberStateDead {
			s.recordFormer(now, update)
			return false
		}
		n = &node{silentFrom: now, knownSince: now}
		n.Host = update.Host
		s.nodes[update.Host] = n
		delete(s.formerHosts, update.Host)
		s.sortedNames = nil
	} else if !newer(update, n.Member) {
		return false
	}
	old := n.Member
	n.Member = update
	s.memberChanged(now, n, old)
	return true
}

// memberChanged updates derived state and adds events after a host's record
// was replaced.
func (s *State) memberChanged(now time.Time, n *node, old message.Member) {
	s.viewHashValid = false
	s.zonePeers = 0
	if old.Incarnation != 0 && n.Incarnation != old.Incarnation {
		s.event(EventRestarted, n.Host)
		n.refused, n.linkDown = false, false
		n.silentFrom = now
	}
	n.left = n.State == message.MemberStateDead && (old.State == message.MemberStateLeaving || n.left)
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

// refute raises the own version above an update that contradicts this host's
// own record, and reports whether it did. Only the host itself raises its
// version, so its refutation supersedes all other updates of its incarnation.
func (s *State) refute(update message.Member) bool {
	if update.Incarnation > s.self.Incarnation {
		return s.supersede(update)
	}
	if update.Incarnation < s.self.Incarnation || !newer(update, s.self) {
		return false
	}
	s.self.Version = update.Version + 1
	s.viewHashValid = false
	return true
}

// maxSuperseded limits how often the own incarnation is raised. A host whose clock was set
// back learns of one earlier process, and of more only while it starts again and again.
const maxSuperseded = 4

// supersede raises the own incarnation above that of an earlier process of this host, which
// was started by a clock that was ahead, and reports whether it did. Beyond maxSuperseded
// another process must be running under the host's name.
func (s *State) supersede(earlier message.Member) bool {
	if s.superseded == maxSuperseded || earlier.Incarnation > maxIncarnation {
		s.event(EventDuplicate, s.self.Host)
		return false
	}
	s.superseded++
	s.self.Incarnation = earlier.Incarnation + 1
	s.viewHashValid = false
	s.lastFullHeartbeat = nil
	s.event(EventSuperseded, s.self.Host)
	return true
}

// setOwnState changes this host's own state under a new version.
func (s *State) setOwnState(state message.MemberState) {
	s.self.Version++
	s.self.State = state
	s.viewHashValid = false
	s.remoteUpdates.add(s.self)
}

// memberRecords returns the records of this host and of all hosts whose
// incarnation is known.
func (s *State) memberRecords() []message.Member {
	records := []message.Member{s.self}
	for _, name := range s.names() {
		if n := s.nodes[name]; n.Incarnation > 0 {
			records = append(records, n.Member)
		}
	}
	return records
}

// ownViewHash returns the hash of the own view. Dead hosts are left out, since
// hosts remove them at different times.
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

// serverStates returns the published server states, ordered by name.
func (s *State) serverStates() []message.ServerState {
	states := make([]message.ServerState, 0, len(s.servers))
	for _, state := range s.servers {
		states = append(states, state)
	}
	slices.SortFunc(states, func(a, b message.ServerState) int { return compare(a.Server, b.Server) })
	return states
}
