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
	if ps.activeSuspects < max(ps.serverCount, 1) && !s.otherActive(e) {
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

// otherActive reports whether another request of the same fingerprint is in a queue or
// runs.
func (s *State) otherActive(e *entry) bool {
	others := s.activeByFingerprint[e.request.Fingerprint]
	if e.active {
		others--
	}
	return others > 0
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
	isSuspect := s.quarantine.Check(now, e.request.Fingerprint) == quarantine.Suspect
	if isSuspect && (ps.activeSuspects >= max(ps.serverCount, 1) || s.otherActive(e)) {
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

// recordCrash counts a crash against all requests that ran on the server, and shares
// the resulting suspects and quarantines with other hosts.
func (s *State) recordCrash(now time.Time, crashed *entry) {
	var fingerprints []uint64
	for _, ps := range s.order {
		for _, e := range sortedEntries(ps.entries) {
			if e.grant != "" && e.server == crashed.server {
				fingerprints = append(fingerprints, e.request.Fingerprint)
			}
		}
	}
	escalated := s.quarantine.RecordCrash(now, crashed.server, fingerprints)
	if len(escalated) == 0 {
		return
	}
	s.sendQuarantines(now, crashed.pool, escalated)
	for _, fingerprint := range escalated {
		s.applyQuarantineState(now, fingerprint)
	}
}

// sendQuarantines sends the crashes that count against fingerprints to the other hosts
// and to the pool's siblings.
func (s *State) sendQuarantines(now time.Time, ps *poolState, fingerprints []uint64) {
	update := &message.Quarantines{}
	for _, fingerprint := range fingerprints {
		servers, age := s.quarantine.CrashedServers(now, fingerprint)
		update.Entries = append(update.Entries, message.Quarantine{
			Fingerprint: fingerprint, Servers: servers, AgeMs: int(age.Milliseconds()),
		})
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
	state := s.quarantine.Check(now, fingerprint)
	if state == quarantine.Quarantined {
		s.decisions = append(s.decisions, Decision{
			At: now, Kind: DecisionQuarantine,
			Reason: "fingerprint " + strconv.FormatUint(fingerprint, 16) + " crashed two backend servers",
		})
	}
	for _, ps := range s.order {
		for _, e := range sortedEntries(ps.entries) {
			if e.request.Fingerprint != fingerprint || e.held || e.suspect && state == quarantine.Suspect {
				continue
			}
			if e.grant != "" {
				if state == quarantine.Quarantined {
					ps.sched.Revoke(e.grant, "requests like it crashed two backend servers")
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

// handleQuarantine merges another host's record of a fingerprint.
func (s *State) handleQuarantine(now time.Time, q *message.Quarantine) {
	if s.quarantine.Merge(now, q.Fingerprint, q.Servers, time.Duration(q.AgeMs)*time.Millisecond) {
		s.applyQuarantineState(now, q.Fingerprint)
		s.recheckHeld(now)
	}
}

// Quarantined returns the quarantined fingerprints in hexadecimal, as of the last Tick.
func (s *State) Quarantined() []string { return s.quarantine.Quarantined(s.lastTick) }

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
