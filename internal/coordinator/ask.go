package coordinator

import (
	"time"

	"mimosafront/internal/message"
	"mimosafront/internal/quarantine"
	"mimosafront/internal/sched"
	"mimosafront/internal/settings"
)

// handleAsk queues, redirects or refuses a request. A repeated ask changes nothing,
// except that a grant that may have been lost is sent again.
func (s *State) handleAsk(now time.Time, from string, ask *message.Ask) {
	ps := s.pools[ask.Pool]
	if ps == nil {
		e := &entry{pool: &poolState{id: ask.Pool}, request: newRequest(now, from, ask)}
		s.send(from, refusal(e, message.RefusalReasonNotCoordinator))
		return
	}
	if ask.Redirected {
		ps.lastRedirected = now
	}
	if attempt, ok := s.endedAttempts.Peek(ask.Request); ok && ask.Attempt <= attempt {
		return
	}
	e := newEntry(now, from, ps, ask)
	e.request = s.withParts(e.request, ask.Parts, ask.PartTokens)
	if old := ps.entries[ask.Request]; old != nil {
		if ask.Attempt <= old.request.Attempt {
			if ask.Attempt == old.request.Attempt {
				s.sendGrant(now, old)
			}
			return
		}
		e.queuedAt = old.queuedAt
		e.request.FirstArrival = ps.sched.FirstArrival(ask.Request)
		s.drop(now, old)
	}
	if zone, ok := s.redirectZone(now, ps, ask, &e.request); ok {
		s.redirectArrival(now, e, zone)
		return
	}
	ps.insert(e)
	s.enqueue(now, e)
}

func newEntry(now time.Time, from string, ps *poolState, ask *message.Ask) *entry {
	return &entry{
		pool: ps, request: newRequest(now, from, ask), promptParts: ask.Parts,
		queuedAt: now, moves: max(ask.Moves, 0), redirected: ask.Redirected,
	}
}

func newRequest(now time.Time, from string, ask *message.Ask) sched.Request {
	arrived := now.Add(-settings.Milliseconds(ask.WaitedMs))
	return sched.Request{
		ID: ask.Request, Host: from, Attempt: ask.Attempt,
		Organisation: ask.Organisation, Caller: ask.Caller, Tier: ask.Tier,
		PromptTokens: max(ask.PromptTokens, 0), OutputTokens: max(ask.OutputTokens, 0),
		Prefixes: ask.Prefixes, Fingerprint: ask.Fingerprint, Claim: max(ask.Claim, 0),
		Arrived:     arrived,
		FirstTarget: addMilliseconds(arrived, ask.FirstTargetMs), FirstLimit: addMilliseconds(arrived, ask.FirstLimitMs),
		Deadline:       now.Add(settings.Milliseconds(ask.DeadlineMs)),
		Excluded:       ask.Excluded,
		NoWait:         ask.NoWait,
		NonPreemptible: ask.Kept,
		Server:         ask.Server,
	}
}

// withParts sets the prefixes of a request from the parts of its prompt and their lengths
// in tokens, if all lengths are known and the settings ask for the weighing of prefixes.
func (s *State) withParts(r sched.Request, parts []uint64, lengths []int) sched.Request {
	if s.config.Scheduler.PrefixWeighing && len(parts) > 0 && len(lengths) == len(parts) {
		r.Prefixes, r.PrefixTokens = sched.ChainParts(parts, lengths, r.PromptTokens)
	}
	return r
}

// addMilliseconds returns the time ms milliseconds after t, or the zero time if ms is
// not positive.
func addMilliseconds(t time.Time, ms int) time.Time {
	if ms <= 0 {
		return time.Time{}
	}
	return t.Add(settings.Milliseconds(ms))
}

// enqueue passes a request to the scheduler, unless it is quarantined or must wait for
// another suspect.
func (s *State) enqueue(now time.Time, e *entry) {
	switch s.suspicion(now, e) {
	case quarantine.Quarantined:
		s.refuse(now, e, message.RefusalReasonPoison, "requests like it crashed several backend servers")
		return
	case quarantine.Suspect:
		if !s.admitSuspect(now, e) {
			return
		}
	}
	s.setActive(e, true)
	e.pool.sched.Add(now, e.request)
	if e.pool.sched.IsWaiting(e.request.ID) {
		s.logDecision(now, e, DecisionQueue, "").Inputs.ExpectedWait = e.pool.sched.ExpectedWaitFor(&e.request)
	}
}

// insert adds an entry to the maps of its pool.
func (ps *poolState) insert(e *entry) {
	ps.entries[e.request.ID] = e
	entries := ps.byHost[e.request.Host]
	if entries == nil {
		entries = map[string]*entry{}
		ps.byHost[e.request.Host] = entries
	}
	entries[e.request.ID] = e
}

// setActive counts an entry in activeByFingerprint and activeByPart while it is in the
// queue or runs.
func (s *State) setActive(e *entry, active bool) {
	if e.active == active {
		return
	}
	e.active = active
	change := 1
	if !active {
		change = -1
	}
	if e.request.Fingerprint != 0 {
		addCount(s.activeByFingerprint, e.request.Fingerprint, change)
	}
	for _, part := range e.sharedParts() {
		addCount(s.activeByPart, part, change)
	}
}

// addCount changes a count and removes it when it reaches zero.
func addCount(counts map[uint64]int, key uint64, change int) {
	if counts[key] += change; counts[key] == 0 {
		delete(counts, key)
	}
}

func (s *State) handleWithdraw(now time.Time, from string, w *message.Withdraw) {
	ps := s.pools[w.Pool]
	if ps == nil {
		return
	}
	e := ps.entries[w.Request]
	if e == nil {
		s.recordEnd(w.Request, w.Attempt)
		return
	}
	// A granted request ends with its release, since the grant may be in use.
	if e.request.Host == from && e.request.Attempt <= w.Attempt && e.grant == "" {
		s.drop(now, e)
		s.recordEnd(w.Request, w.Attempt)
	}
}

// recordEnd stores the last attempt of an ended request, so that late duplicates of its
// asks are recognised.
func (s *State) recordEnd(request string, attempt int) {
	if last, ok := s.endedAttempts.Peek(request); !ok || attempt > last {
		s.endedAttempts.Add(request, attempt)
	}
}

// drop removes a request and its grant without a message to its front. A grant that was sent
// to the front counts as used: the front didn't say that it wasn't.
func (s *State) drop(now time.Time, e *entry) {
	outcome := message.ReleaseOutcomeUnused
	if e.grant != "" {
		outcome = message.ReleaseOutcomeCancelled
	}
	s.remove(e)
	if e.held {
		e.pool.removeHeld(e)
	}
	// The scheduler may have granted the request since the last flush.
	if grant, _, ok := e.pool.sched.GrantOf(e.request.ID); ok {
		e.pool.sched.Release(now, grant, sched.Result{Outcome: outcome})
	} else {
		e.pool.sched.Withdraw(now, e.request.ID)
	}
	s.recheckHeld(now)
}

// remove deletes an entry from the maps and counters.
func (s *State) remove(e *entry) {
	delete(e.pool.entries, e.request.ID)
	entries := e.pool.byHost[e.request.Host]
	if delete(entries, e.request.ID); len(entries) == 0 {
		delete(e.pool.byHost, e.request.Host)
	}
	s.setActive(e, false)
	if e.grant != "" {
		delete(s.grants, e.grant)
		s.endedGrants.Add(e.grant, struct{}{})
	}
	if e.suspect {
		e.suspect = false
		e.pool.activeSuspects--
	}
}

func (s *State) handleProgress(now time.Time, progress *message.Progress) {
	for _, p := range progress.Entries {
		if e := s.grants[p.Grant]; e != nil {
			e.pool.sched.Progress(now, p.Grant, sched.Progress{
				OutputTokens: p.OutputTokens,
				FirstToken:   settings.Milliseconds(p.FirstTokenMs),
				Gap:          time.Duration(p.GapMs * float64(time.Millisecond)),
			})
			s.recordOutput(now, e, p.OutputTokens)
		}
	}
}

func (s *State) handleRelease(now time.Time, from string, r *message.Release) {
	s.endedGrants.Add(r.Grant, struct{}{})
	e := s.grants[r.Grant]
	if e == nil || e.request.Host != from {
		return
	}
	if r.Outcome == message.ReleaseOutcomeServerCrashed {
		s.recordCrash(now, e)
	}
	s.remove(e)
	s.recordEnd(e.request.ID, e.request.Attempt)
	e.pool.sched.Release(now, r.Grant, sched.Result{
		Outcome:      r.Outcome,
		PromptTokens: max(r.PromptTokens, 0),
		CachedTokens: max(r.CachedTokens, 0),
		OutputTokens: max(r.OutputTokens, 0),
		FirstToken:   settings.Milliseconds(r.FirstTokenMs),
		Total:        settings.Milliseconds(r.TotalMs),
	})
	if r.Outcome == message.ReleaseOutcomeFinished {
		s.quarantine.RecordFinish(e.request.Fingerprint)
		s.parts.RecordAnswer(now, e.promptParts)
	}
	s.recheckHeld(now)
}
