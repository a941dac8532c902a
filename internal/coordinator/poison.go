package coordinator

import (
	"slices"
	"strconv"
	"time"

	"mimosafront/internal/message"
	"mimosafront/internal/quarantine"
)

// maxHeld bounds the suspects of one pool that wait for another one to be
// decided.
const maxHeld = 64

// admitSuspect decides whether a request of a suspected fingerprint may be
// queued: only one of a fingerprint at a time, and no more suspects than there
// are servers. Otherwise the request is held or, beyond the bound, refused.
func (s *State) admitSuspect(now time.Time, e *entry) bool {
	ps := e.pool
	if ps.suspects < max(ps.servers, 1) && !s.active(e) {
		e.suspect = true
		e.request.Suspect = true
		e.request.Excluded = s.avoidCrashed(now, e)
		ps.suspects++
		return true
	}
	if len(ps.held) >= maxHeld {
		s.refuse(now, e, message.RefusalReasonPoison, "too many requests wait that may have crashed a backend server")
		return false
	}
	e.held = true
	ps.held = append(ps.held, e)
	s.decide(now, e, DecisionHold, "a request like it was on a server that crashed; only one runs at a time")
	return false
}

// avoidCrashed excludes the servers that crashed before under a suspect's
// fingerprint, unless that leaves none.
func (s *State) avoidCrashed(now time.Time, e *entry) []string {
	excluded := slices.Clone(e.request.Excluded)
	crashed, _ := s.quarantine.Servers(now, e.request.Fingerprint)
	for _, server := range crashed {
		if !slices.Contains(excluded, server) {
			excluded = append(excluded, server)
		}
	}
	if len(excluded) >= e.pool.servers {
		return e.request.Excluded
	}
	return excluded
}

// active reports whether another request of the same fingerprint waits in a
// queue or runs.
func (s *State) active(e *entry) bool {
	others := s.running[e.request.Fingerprint]
	if e.active {
		others--
	}
	return others > 0
}

func (ps *poolState) unhold(e *entry) {
	e.held = false
	ps.held = slices.DeleteFunc(ps.held, func(o *entry) bool { return o == e })
}

// reviewHeld queues or refuses the held requests whose standing was decided.
func (s *State) reviewHeld(now time.Time) {
	for _, ps := range s.order {
		if len(ps.held) == 0 {
			continue
		}
		held := ps.held
		ps.held = nil
		for _, e := range held {
			e.held = false
			s.enqueueAgain(now, e)
		}
	}
}

// enqueueAgain is enqueue without a second log entry for those still held.
func (s *State) enqueueAgain(now time.Time, e *entry) {
	ps := e.pool
	undecided := s.quarantine.Check(now, e.request.Fingerprint) == quarantine.Suspect
	if undecided && (ps.suspects >= max(ps.servers, 1) || s.active(e)) {
		e.held = true
		ps.held = append(ps.held, e)
		return
	}
	s.enqueue(now, e)
}

// expireHeld refuses held requests whose deadline passed.
func (s *State) expireHeld(now time.Time, ps *poolState) {
	for _, e := range slices.Clone(ps.held) {
		if !now.Before(e.request.Deadline) {
			ps.unhold(e)
			s.refuse(now, e, message.RefusalReasonDeadline, "the deadline passed while another suspect ran")
		}
	}
}

// noteCrash suspects all that ran on a crashed server, and shares the news.
func (s *State) noteCrash(now time.Time, crashed *entry) {
	var fingerprints []uint64
	for _, ps := range s.order {
		for _, e := range sortedEntries(ps.entries) {
			if e.grant != "" && e.server == crashed.server {
				fingerprints = append(fingerprints, e.request.Fingerprint)
			}
		}
	}
	risen := s.quarantine.Crash(now, crashed.server, fingerprints)
	if len(risen) == 0 {
		return
	}
	s.share(now, crashed.pool, risen)
	for _, fingerprint := range risen {
		s.applyStanding(now, fingerprint)
	}
}

// share tells the other hosts which servers count against fingerprints.
func (s *State) share(now time.Time, ps *poolState, fingerprints []uint64) {
	news := &message.Quarantines{}
	for _, fingerprint := range fingerprints {
		servers, age := s.quarantine.Servers(now, fingerprint)
		news.Entries = append(news.Entries, message.Quarantine{
			Fingerprint: fingerprint, Servers: servers, AgeMs: int(age.Milliseconds()),
		})
	}
	hosts := s.zoneHosts()
	for _, host := range ps.siblingHosts() {
		if !slices.Contains(hosts, host) {
			hosts = append(hosts, host)
		}
	}
	for _, host := range hosts {
		s.send(host, message.Frame{Quarantines: news})
	}
}

// zoneHosts returns the other hosts that sent heartbeats lately.
func (s *State) zoneHosts() []string {
	var hosts []string
	for host := range s.hosts {
		if host != s.config.Host {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// applyStanding takes waiting requests of a fingerprint out of the queues after
// its standing rose, and revokes the running ones of a quarantined one.
func (s *State) applyStanding(now time.Time, fingerprint uint64) {
	standing := s.quarantine.Check(now, fingerprint)
	if standing == quarantine.Quarantined {
		s.decisions = append(s.decisions, Decision{
			At: now, Kind: DecisionQuarantine,
			Reason: "fingerprint " + strconv.FormatUint(fingerprint, 16) + " crashed two backend servers",
		})
	}
	for _, ps := range s.order {
		for _, e := range sortedEntries(ps.entries) {
			if e.request.Fingerprint != fingerprint || e.held || e.suspect && standing == quarantine.Suspect {
				continue
			}
			if e.grant != "" {
				if standing == quarantine.Quarantined {
					ps.sched.Revoke(e.grant, "requests like it crashed two backend servers")
				}
				continue
			}
			ps.sched.Withdraw(now, e.request.ID)
			s.setActive(e, false)
			if e.suspect {
				e.suspect = false
				ps.suspects--
			}
			s.enqueue(now, e)
		}
	}
}

// handleQuarantine takes the news of another host.
func (s *State) handleQuarantine(now time.Time, q *message.Quarantine) {
	if s.quarantine.Merge(now, q.Fingerprint, q.Servers, time.Duration(q.AgeMs)*time.Millisecond) {
		s.applyStanding(now, q.Fingerprint)
		s.reviewHeld(now)
	}
}

// Quarantined returns the fingerprints that are refused, hex, as of the last
// Tick.
func (s *State) Quarantined() []string { return s.quarantine.Quarantined(s.ticked) }

// handleHint takes the news of another coordinator about a backend server.
func (s *State) handleHint(now time.Time, h *message.ServerHint) {
	if h.State == message.ServerHintStateProbation {
		return
	}
	for _, ps := range s.order {
		ps.sched.Hint(now, h.Server, h.State == message.ServerHintStateHealthy, h.Reason)
	}
}
