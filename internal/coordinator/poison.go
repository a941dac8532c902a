package coordinator

import (
	"slices"
	"strconv"
	"time"

	"mimosafront/internal/message"
	"mimosafront/internal/quarantine"
)

// maxHeld limits the suspects of one pool that wait for another suspect to finish or
// crash.
const maxHeld = 64

// admitSuspect decides whether a suspect may be queued: at most one per fingerprint,
// and at most as many in all as there are servers. Otherwise it is held or, beyond
// maxHeld, refused.
func (s *State) admitSuspect(now time.Time, e *entry) bool {
	ps := e.pool
	if ps.activeSuspects < max(ps.serverCount, 1) && !s.otherActive(now, e) {
		e.suspect = true
		e.request.Suspect = true
		e.request.Excluded = s.excludeCrashed(now, e)
		ps.activeSuspects++
		return true
	}
	if len(ps.heldSuspects) >= maxHeld {
		s.refuse(now, e, message.RefusalReasonPoison, "too many requests wait that may have crashed a backend server")
		return false
	}
	e.held = true
	ps.heldSuspects = append(ps.heldSuspects, e)
	s.logDecision(now, e, DecisionHold, "a request like it was on a server that crashed; only one runs at a time")
	return false
}

// excludeCrashed returns the servers that a suspect must not run on. Servers that
// crashed under its fingerprint are added unless no server would remain.
func (s *State) excludeCrashed(now time.Time, e *entry) []string {
	excluded := slices.Clone(e.request.Excluded)
	crashed, _ := s.quarantine.CrashedServers(now, e.request.Fingerprint)
	for _, server := range crashed {
		if !slices.Contains(excluded, server) {
			excluded = append(excluded, server)
		}
	}
	if len(excluded) >= e.pool.serverCount {
		return e.request.Excluded
	}
	return excluded
}

// sharedParts returns the parts of the prompt that other requests may have too: all but
// the last.
func (e *entry) sharedParts() []uint64 { return e.promptParts[:max(len(e.promptParts)-1, 0)] }

// suspicion returns the state of a request, by its content and by the parts of its
// prompt.
func (s *State) suspicion(now time.Time, e *entry) quarantine.State {
	return max(s.quarantine.Check(now, e.request.Fingerprint), s.parts.State(now, e.sharedParts()))
}

// answerProvesParts is how long after the first output a request proves the parts of its
// prompt: a part that crashes servers does so when the answer begins.
const answerProvesParts = 300 * time.Millisecond

// recordOutput records that a request has output.
func (s *State) recordOutput(now time.Time, e *entry, outputTokens int) {
	switch {
	case outputTokens <= 0 || e.partsProven:
	case e.firstOutputAt.IsZero():
		e.firstOutputAt = now
	case now.Sub(e.firstOutputAt) >= answerProvesParts:
		e.partsProven = true
		if s.parts.RecordAnswer(now, e.promptParts) {
			s.recheckHeld(now)
		}
	}
}

// otherActive reports whether another request of the same fingerprint, or with the same
// suspected part, is in a queue or runs.
func (s *State) otherActive(now time.Time, e *entry) bool {
	own := 0
	if e.active {
		own = 1
	}
	if s.quarantine.Check(now, e.request.Fingerprint) == quarantine.Suspect && s.activeByFingerprint[e.request.Fingerprint] > own {
		return true
	}
	return slices.ContainsFunc(s.parts.Suspected(now, e.sharedParts()), func(part uint64) bool { return s.activeByPart[part] > own })
}

func (ps *poolState) removeHeld(e *entry) {
	e.held = false
	ps.heldSuspects = slices.DeleteFunc(ps.heldSuspects, func(o *entry) bool { return o == e })
}

// recheckHeld queues or refuses the held requests that no longer need to wait.
func (s *State) recheckHeld(now time.Time) {
	for _, ps := range s.order {
		if len(ps.heldSuspects) == 0 {
			continue
		}
		held := ps.heldSuspects
		ps.heldSuspects = nil
		for _, e := range held {
			e.held = false
			s.reenqueueHeld(now, e)
		}
	}
}

// reenqueueHeld passes a held request to enqueue, unless it must stay held. Staying
// held is not logged again.
func (s *State) reenqueueHeld(now time.Time, e *entry) {
	ps := e.pool
	isSuspect := s.suspicion(now, e) == quarantine.Suspect
	if isSuspect && (ps.activeSuspects >= max(ps.serverCount, 1) || s.otherActive(now, e)) {
		e.held = true
		ps.heldSuspects = append(ps.heldSuspects, e)
		return
	}
	s.enqueue(now, e)
}

// expireHeld refuses held requests whose deadline has passed.
func (s *State) expireHeld(now time.Time, ps *poolState) {
	for _, e := range slices.Clone(ps.heldSuspects) {
		if !now.Before(e.request.Deadline) {
			ps.removeHeld(e)
			s.refuse(now, e, message.RefusalReasonDeadline, "the deadline passed while another suspect ran")
		}
	}
}

// refuseHeld refuses all held requests of a pool that takes no work.
func (s *State) refuseHeld(now time.Time, ps *poolState, reason string) {
	for _, e := range slices.Clone(ps.heldSuspects) {
		ps.removeHeld(e)
		s.refuse(now, e, message.RefusalReasonNoServer, reason)
	}
}

// recordCrash counts a crash against all requests that ran on the server, and shares
// the resulting suspects and quarantines with other hosts.
func (s *State) recordCrash(now time.Time, crashed *entry) {
	var fingerprints []uint64
	var withoutOutput []quarantine.CrashedRequest
	for _, ps := range s.order {
		for _, e := range sortedEntries(ps.entries) {
			if e.grant == "" || e.server != crashed.server {
				continue
			}
			fingerprints = append(fingerprints, e.request.Fingerprint)
			if e.firstOutputAt.IsZero() {
				withoutOutput = append(withoutOutput, quarantine.CrashedRequest{Parts: e.sharedParts(), GrantedAt: e.grantedAt})
			}
		}
	}
	parts, explained := s.parts.RecordCrash(now, crashed.server, withoutOutput)
	if explained {
		// The crash tells nothing of requests that were suspected for their contents.
		fingerprints = slices.DeleteFunc(fingerprints, func(f uint64) bool { return s.quarantine.Check(now, f) != quarantine.Clear })
	}
	escalated := s.quarantine.RecordCrash(now, crashed.server, fingerprints)
	s.shareCrash(now, crashed.pool, escalated, parts)
	for _, fingerprint := range escalated {
		s.applyQuarantineState(now, fingerprint)
	}
	for _, part := range parts {
		s.applyPartState(now, part)
	}
}

// shareCrash sends the crashes that count against fingerprints and parts of prompts to
// the other hosts and to the pool's siblings.
func (s *State) shareCrash(now time.Time, ps *poolState, fingerprints, parts []uint64) {
	update := &message.Quarantines{}
	for _, fingerprint := range fingerprints {
		servers, age := s.quarantine.CrashedServers(now, fingerprint)
		update.Entries = append(update.Entries, message.Quarantine{
			Fingerprint: fingerprint, Servers: servers, AgeMs: int(age.Milliseconds()),
		})
	}
	for _, part := range parts {
		update.Entries = append(update.Entries, s.parts.Update(now, part))
	}
	if len(update.Entries) == 0 {
		return
	}
	hosts := s.heartbeatHosts()
	for _, host := range ps.siblingHosts() {
		if !slices.Contains(hosts, host) {
			hosts = append(hosts, host)
		}
	}
	for _, host := range hosts {
		s.send(host, message.Frame{Quarantines: update})
	}
}

// heartbeatHosts returns the other hosts whose last heartbeat is within hostTTL.
func (s *State) heartbeatHosts() []string {
	var hosts []string
	for host := range s.lastHeartbeats {
		if host != s.config.Host {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// applyQuarantineState queues, holds or refuses anew the waiting requests of a
// fingerprint whose state became more severe, and revokes the running ones if it is
// quarantined.
func (s *State) applyQuarantineState(now time.Time, fingerprint uint64) {
	if s.quarantine.Check(now, fingerprint) == quarantine.Quarantined {
		s.logQuarantine(now, "fingerprint "+strconv.FormatUint(fingerprint, 16)+" crashed two backend servers")
	}
	s.reviewEntries(now, func(e *entry) bool { return e.request.Fingerprint == fingerprint })
}

// applyPartState does the same for the requests with a part in their prompts, but
// doesn't revoke those that have output.
func (s *State) applyPartState(now time.Time, part uint64) {
	if s.parts.IsConvicted(now, part) {
		s.logQuarantine(now, "prompt part "+strconv.FormatUint(part, 16)+" crashed three backend servers")
	}
	s.reviewEntries(now, func(e *entry) bool { return e.firstOutputAt.IsZero() && slices.Contains(e.sharedParts(), part) })
}

func (s *State) logQuarantine(now time.Time, reason string) {
	s.decisions = append(s.decisions, Decision{At: now, Kind: DecisionQuarantine, Reason: reason})
}

// reviewEntries applies the states of requests that may have become more severe.
func (s *State) reviewEntries(now time.Time, affected func(*entry) bool) {
	for _, ps := range s.order {
		for _, e := range sortedEntries(ps.entries) {
			if !affected(e) || e.held {
				continue
			}
			state := s.suspicion(now, e)
			if e.suspect && state == quarantine.Suspect {
				continue
			}
			if e.grant != "" {
				if state == quarantine.Quarantined {
					ps.sched.Revoke(e.grant, "requests like it crashed several backend servers")
				}
				continue
			}
			ps.sched.Withdraw(now, e.request.ID)
			s.setActive(e, false)
			if e.suspect {
				e.suspect = false
				ps.activeSuspects--
			}
			s.enqueue(now, e)
		}
	}
}

// handleQuarantine merges another host's record of a fingerprint or part.
func (s *State) handleQuarantine(now time.Time, q *message.Quarantine) {
	if q.Part {
		if s.parts.Merge(now, q) {
			s.applyPartState(now, q.Fingerprint)
			s.recheckHeld(now)
		}
		return
	}
	if s.quarantine.Merge(now, q.Fingerprint, q.Servers, time.Duration(q.AgeMs)*time.Millisecond) {
		s.applyQuarantineState(now, q.Fingerprint)
		s.recheckHeld(now)
	}
}

// Quarantined returns the quarantined fingerprints and prompt parts in hexadecimal, as of
// the last Tick.
func (s *State) Quarantined() []string {
	return append(s.quarantine.Quarantined(s.lastTick), s.parts.Convicted(s.lastTick)...)
}

// handleHint passes another coordinator's ejection or readmission of a backend server
// to the pools. Hints of probation are ignored.
func (s *State) handleHint(now time.Time, h *message.ServerHint) {
	if h.State == message.ServerHintStateProbation {
		return
	}
	for _, ps := range s.order {
		ps.sched.Hint(now, h.Server, h.State == message.ServerHintStateHealthy, h.Reason)
	}
}
