package sched

import (
	"testing"
	"time"

	"mimosafront/internal/message"
)

// parkedPool returns a pool of two servers that run one request each, a request of tier 1
// that was parked on the first server, and the other server's grant.
func parkedPool(t *testing.T) (p *Pool, r Request, other string) {
	t.Helper()
	p = newTestPool(2, 4000)
	for _, s := range p.servers {
		s.MaxRequests = 1
	}
	r = request("r1", 1, 100, time.Hour)
	p.Add(start, r)
	p.Add(start, request("r2", 0, 100, time.Hour))
	actions := expectActions(t, p, "grant r1, grant r2")
	p.Add(start, request("r3", 0, 100, time.Hour))
	p.Revoke(actions[0].Grant, "test")
	p.Release(start, actions[0].Grant, Result{Outcome: message.ReleaseOutcomeParked, PromptTokens: 100})
	expectActions(t, p, "revoke r1, grant r3")
	r.Server, r.PromptTokens, r.OutputTokens = actions[0].Server, 0, 10
	return p, r, actions[1].Grant
}

func TestParkedRequestWaitsForItsServerAndIsServedFirst(t *testing.T) {
	p, r, other := parkedPool(t)
	p.Add(start, request("r4", 1, 100, time.Hour))
	p.Add(start, r)
	expectActions(t, p, "")
	p.Release(start, other, Result{Outcome: message.ReleaseOutcomeFinished})
	expectActions(t, p, "grant r4")
	p.Add(start, request("r5", 1, 100, time.Hour))
	holder, _, _ := p.GrantOf("r3")
	p.Release(start, holder, Result{Outcome: message.ReleaseOutcomeFinished})
	actions := expectActions(t, p, "grant r1")
	if s := p.byName[r.Server]; actions[0].Server != r.Server || s.prefill != 0 || s.tokens != 10 {
		t.Errorf("granted on %s with %d tokens of prefill and %d in all", actions[0].Server, s.prefill, s.tokens)
	}
}

func TestParkedRequestDisplacesUnstartedRequestOfItsCaller(t *testing.T) {
	p, r, _ := parkedPool(t)
	p.config.MaxWaiting = 1
	p.Add(start, request("r4", 1, 100, time.Hour))
	p.Add(start, r)
	expectActions(t, p, "refuse r4 queue_full")
}

func TestParkedRequestIsRefusedWhenItsServerLeaves(t *testing.T) {
	p, r, _ := parkedPool(t)
	p.Add(start, r)
	servers := []Server{p.servers[0].Server, p.servers[1].Server}
	for i := range servers {
		servers[i].Leaving = servers[i].Name == r.Server
	}
	p.SetServers(start, servers)
	expectActions(t, p, "refuse r1 no_server")
}

func TestParkedRequestWaitsAsLongAsItCanFinish(t *testing.T) {
	p := newTestPool(1, 4000)
	p.servers[0].MaxRequests = 1
	p.Add(start, request("r0", 1, 100, time.Hour))
	holder := expectActions(t, p, "grant r0")[0].Grant
	r := request("r1", 1, 0, 300*time.Millisecond)
	r.Arrived, r.OutputTokens = start.Add(-10*time.Second), 10
	p.Add(start, r)
	expectActions(t, p, "refuse r1 deadline")
	r.ID, r.Server = "r2", "s0"
	p.Add(start, r)
	expectActions(t, p, "")
	p.Release(start, holder, Result{Outcome: message.ReleaseOutcomeFinished})
	expectActions(t, p, "grant r2")
}

// Lower work on any server must be revoked before a parked request is refused.
func TestParkedRequestIsNotRefusedBesideLowerWork(t *testing.T) {
	p, r, other := parkedPool(t)
	p.Release(start, other, Result{Outcome: message.ReleaseOutcomeFinished})
	p.Add(start, request("r4", 2, 100, time.Hour))
	expectActions(t, p, "grant r4")
	r.Deadline = start.Add(time.Second)
	p.Add(start, r)
	p.Tick(start.Add(900 * time.Millisecond))
	expectActions(t, p, "revoke r4, refuse r1 deadline")
}
