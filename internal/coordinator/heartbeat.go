package coordinator

import (
	"slices"
	"time"

	"mimosafront/internal/message"
	"mimosafront/internal/sched"
	"mimosafront/internal/settings"
)

const (
	// maxMissedHeartbeats is the number of heartbeats in a row that must lack a request
	// before the coordinator believes that its front gave it up.
	maxMissedHeartbeats = 2
	// revokeInterval separates the repetitions of a revocation.
	revokeInterval = 500 * time.Millisecond
)

// handleHeartbeat repairs what lost messages left apart: grants unknown here
// are counted, grants that the front never got are sent again or ended, and
// requests that the front gave up are dropped.
func (s *State) handleHeartbeat(now time.Time, from string, h *message.Heartbeat) {
	s.lastHeartbeats[from] = now
	if !h.Reports {
		return
	}
	asked := make(map[string]bool, len(h.Asks))
	for _, request := range h.Asks {
		asked[request] = true
	}
	held := make(map[string]bool, len(h.Grants))
	for i := range h.Grants {
		held[h.Grants[i].Grant] = true
		s.restoreGrant(now, from, &h.Grants[i])
	}
	for _, ps := range s.order {
		delete(ps.awaitedFronts, from)
		for _, e := range sortedEntries(ps.byHost[from]) {
			s.reconcile(now, e, asked[e.request.ID], held[e.grant])
		}
		s.finishRebuild(now, ps)
	}
}

// reconcile checks one request against its front's report.
func (s *State) reconcile(now time.Time, e *entry, asked, held bool) {
	switch {
	case e.grant == "" && asked, e.grant != "" && held:
		e.missedHeartbeats = 0
		return
	case e.grant != "" && asked && s.grantMayArrive(now, e):
		s.sendGrant(now, e)
		return
	}
	e.missedHeartbeats++
	if e.missedHeartbeats < maxMissedHeartbeats || e.grant != "" && s.grantMayArrive(now, e) {
		return
	}
	if e.grant != "" && asked {
		s.requeue(now, e)
		return
	}
	s.drop(now, e)
}

// grantMayArrive reports whether a grant may still reach its front in time, by any
// path: twice its lifetime, since the front counts from its arrival.
func (s *State) grantMayArrive(now time.Time, e *entry) bool {
	return now.Sub(e.grantedAt) < 2*settings.Milliseconds(s.config.Scheduler.GrantLifetimeMs)
}

// requeue ends a grant that was lost on its way and lets the request wait
// again.
func (s *State) requeue(now time.Time, e *entry) {
	grant := e.grant
	delete(s.grants, grant)
	s.endedGrants.Add(grant, struct{}{})
	e.grant, e.server, e.missedHeartbeats = "", "", 0
	e.pool.sched.Requeue(now, grant)
}

// restoreGrant counts a running grant that this coordinator doesn't know.
func (s *State) restoreGrant(now time.Time, from string, held *message.HeldGrant) {
	ps := s.pools[held.Pool]
	if ps == nil || s.grants[held.Grant] != nil || s.endedGrants.Contains(held.Grant) {
		return
	}
	if e := ps.entries[held.Request]; e != nil {
		if e.request.Attempt > held.Attempt {
			return // the front has given the grant back since, and asked again
		}
		s.drop(now, e)
	}
	r := sched.Request{
		ID: held.Request, Host: from, Attempt: held.Attempt, Organisation: held.Organisation, Caller: held.Caller,
		Tier: held.Tier, PromptTokens: max(held.PromptTokens, 0), OutputTokens: max(held.ExpectedTokens, 0),
		Fingerprint: held.Fingerprint, Arrived: now, Deadline: now, Kept: held.Kept,
	}
	if !ps.sched.Restore(now, held.Grant, held.Server, r, held.OutputTokens) {
		return
	}
	e := &entry{pool: ps, request: r, grant: held.Grant, server: held.Server, grantedAt: now}
	ps.insert(e)
	s.setActive(e, true)
	s.grants[held.Grant] = e
}

// SetFronts names the live fronts whose reports a pool that was taken over
// waits for. Without it, pools wait for the whole rebuild time.
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

// finishRebuild lifts the limit on grants once all fronts have reported or the
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
