package coordinator

import (
	"slices"
	"time"

	"mimosafront/internal/message"
	"mimosafront/internal/sched"
	"mimosafront/internal/settings"
)

const (
	// maxMissedHeartbeats is the number of consecutive heartbeats that do not list a
	// request, after which its front is assumed to have lost or ended it.
	maxMissedHeartbeats = 2
	// revokeInterval is the interval at which a revocation is repeated.
	revokeInterval = 500 * time.Millisecond
)

// handleHeartbeat repairs the effects of lost messages by comparing the front's report
// with the own records: unknown grants are counted, grants that the front lacks are
// sent again or ended, and requests that the front no longer lists are dropped.
func (s *State) handleHeartbeat(now time.Time, from string, h *message.Heartbeat) {
	s.lastHeartbeats[from] = now
	if !h.Reports {
		return
	}
	reportedAsks := make(map[string]bool, len(h.Asks))
	for _, request := range h.Asks {
		reportedAsks[request] = true
	}
	reportedGrants := make(map[string]bool, len(h.Grants))
	for i := range h.Grants {
		reportedGrants[h.Grants[i].Grant] = true
		s.restoreGrant(now, from, &h.Grants[i])
	}
	for _, ps := range s.order {
		delete(ps.awaitedFronts, from)
		for _, e := range sortedEntries(ps.byHost[from]) {
			s.reconcile(now, e, reportedAsks[e.request.ID], reportedGrants[e.grant])
		}
		s.finishRebuild(now, ps)
	}
}

// reconcile compares one request with its front's report.
func (s *State) reconcile(now time.Time, e *entry, askReported, grantReported bool) {
	switch {
	case e.grant == "" && askReported, e.grant != "" && grantReported:
		e.missedHeartbeats = 0
		return
	case e.grant != "" && askReported && s.grantMayArrive(now, e):
		s.sendGrant(now, e)
		return
	}
	e.missedHeartbeats++
	if e.missedHeartbeats < maxMissedHeartbeats || e.grant != "" && s.grantMayArrive(now, e) {
		return
	}
	if e.grant != "" && askReported {
		s.requeue(now, e)
		return
	}
	s.drop(now, e)
}

// grantMayArrive reports whether a grant may still reach its front in time over any
// path. The limit is twice the grant's lifetime, because the front counts the lifetime
// from the arrival.
func (s *State) grantMayArrive(now time.Time, e *entry) bool {
	return now.Sub(e.grantedAt) < 2*settings.Milliseconds(s.config.Scheduler.GrantLifetimeMs)
}

// requeue ends a grant that was lost on its way to the front, and returns the request
// to the queue.
func (s *State) requeue(now time.Time, e *entry) {
	grant := e.grant
	delete(s.grants, grant)
	s.endedGrants.Add(grant, struct{}{})
	e.grant, e.server, e.missedHeartbeats = "", "", 0
	e.pool.sched.Requeue(now, grant)
}

// restoreGrant adds a grant that the front reported and that is missing from the
// records of this coordinator.
func (s *State) restoreGrant(now time.Time, from string, reported *message.HeldGrant) {
	ps := s.pools[reported.Pool]
	if ps == nil || s.grants[reported.Grant] != nil || s.endedGrants.Contains(reported.Grant) {
		return
	}
	if e := ps.entries[reported.Request]; e != nil {
		if e.request.Attempt > reported.Attempt {
			return // stale report: the front has released the grant and asked again
		}
		s.drop(now, e)
	}
	r := sched.Request{
		ID: reported.Request, Host: from, Attempt: reported.Attempt, Organisation: reported.Organisation, Caller: reported.Caller,
		Tier: reported.Tier, PromptTokens: max(reported.PromptTokens, 0), OutputTokens: max(reported.ExpectedTokens, 0),
		Fingerprint: reported.Fingerprint, Arrived: now, Deadline: now, NonPreemptible: reported.Kept,
	}
	r = s.withParts(r, reported.Parts, reported.PartTokens)
	if !ps.sched.Restore(now, reported.Grant, reported.Server, r, reported.OutputTokens) {
		return
	}
	e := &entry{pool: ps, request: r, grant: reported.Grant, server: reported.Server, grantedAt: now}
	ps.insert(e)
	s.setActive(e, true)
	s.grants[reported.Grant] = e
}

// SetFronts sets the live fronts whose reports rebuilding pools wait for. Without it,
// pools wait for the whole RebuildTime.
func (s *State) SetFronts(now time.Time, hosts []string) {
	for _, ps := range s.order {
		if ps.rebuilding && ps.awaitedFronts == nil {
			ps.awaitedFronts = make(map[string]bool, len(hosts))
			for _, host := range hosts {
				ps.awaitedFronts[host] = true
			}
		}
		s.finishRebuild(now, ps)
	}
	s.flush(now)
}

// finishRebuild lifts the limit on grants once all awaited fronts have reported or the
// rebuild time is over.
func (s *State) finishRebuild(now time.Time, ps *poolState) {
	complete := ps.awaitedFronts != nil && len(ps.awaitedFronts) == 0
	if ps.rebuilding && (complete || !now.Before(ps.rebuildDeadline)) {
		ps.rebuilding = false
		ps.sched.SetRebuilding(now, false)
	}
}

// repeatRevocations sends revocations again until their grants have ended.
func (s *State) repeatRevocations(now time.Time, ps *poolState) {
	ps.revoking = slices.DeleteFunc(ps.revoking, func(e *entry) bool { return s.grants[e.grant] != e })
	for _, e := range ps.revoking {
		if now.Sub(e.revokedAt) >= revokeInterval {
			s.sendRevoke(now, e)
		}
	}
}
