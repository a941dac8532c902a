package sched

import (
	"fmt"
	"testing"
	"time"

	"mimosafront/internal/message"
)

// contentRequest returns a request with its own fingerprint.
func contentRequest(id string, fingerprint uint64, within time.Duration) Request {
	r := request(id, 0, 100, within)
	r.Caller, r.Fingerprint = "crew", fingerprint
	return r
}

// fullPool returns a pool with one grant and a full queue of two requests.
func fullPool(t *testing.T) *Pool {
	t.Helper()
	p := newTestPool(1, 1)
	p.config.MaxWaiting = 2
	for i := range 3 {
		p.Add(start, contentRequest(fmt.Sprint("r", i), uint64(i+1), time.Hour))
	}
	expectActions(t, p, "grant r0")
	return p
}

// TestOnTimeRetryIsServedBeforeLaterArrivals refuses a request because the queue is full
// and retries it after the advised delay, when the queue is full again.
func TestOnTimeRetryIsServedBeforeLaterArrivals(t *testing.T) {
	p := fullPool(t)
	p.Add(start, contentRequest("first try", 9, time.Hour))
	refused := expectActions(t, p, "refuse first try queue_full")[0]
	// The waiting requests are served, and others arrive.
	for i := range 2 {
		at := start.Add(time.Duration(i+1) * 100 * time.Millisecond)
		p.Release(at, onlyGrant(p), Result{Outcome: message.ReleaseOutcomeFinished})
		p.Add(at, contentRequest(fmt.Sprint("later", i), uint64(20+i), time.Hour))
	}
	p.TakeActions()
	back := start.Add(refused.RetryAfter)
	p.Add(back, contentRequest("second try", 9, time.Hour))
	expectActions(t, p, "refuse later1 queue_full")
	p.Release(back, onlyGrant(p), Result{Outcome: message.ReleaseOutcomeFinished})
	expectActions(t, p, "grant second try")
}

// TestRenewedAskKeepsReservedPosition repeats the ask of a request that redeemed its
// reservation, as a front does when it gets no response.
func TestRenewedAskKeepsReservedPosition(t *testing.T) {
	p := fullPool(t)
	p.Add(start, contentRequest("first try", 9, time.Hour))
	back := start.Add(expectActions(t, p, "refuse first try queue_full")[0].RetryAfter)
	p.config.MaxWaiting = 10
	p.Add(back, contentRequest("second try", 9, time.Hour))
	renewed := contentRequest("second try", 9, time.Hour)
	renewed.FirstArrival = p.FirstArrival("second try")
	if !renewed.FirstArrival.Equal(start) {
		t.Fatalf("first arrival is %s, want that of the first attempt", renewed.FirstArrival)
	}
	p.Withdraw(back, "second try")
	p.Add(back.Add(time.Second), contentRequest("later", 10, time.Hour))
	p.Add(back.Add(4*time.Second), renewed)
	for _, want := range []string{"r1", "r2", "second try"} {
		p.Release(back, onlyGrant(p), Result{Outcome: message.ReleaseOutcomeFinished})
		expectActions(t, p, "grant "+want)
	}
	if arrival := p.FirstArrival("later"); !arrival.IsZero() {
		t.Errorf("a new request has the first arrival %s", arrival)
	}
}

// onlyGrant returns the only grant of a pool.
func onlyGrant(p *Pool) string {
	for id := range p.grants {
		return id
	}
	return ""
}

// TestEarlyRetryKeepsItsReservation retries a refused request before its reserved time. It
// is refused again with the same retry time.
func TestEarlyRetryKeepsItsReservation(t *testing.T) {
	p := fullPool(t)
	p.Add(start, contentRequest("first try", 9, time.Hour))
	first := expectActions(t, p, "refuse first try queue_full")[0]
	p.Add(start.Add(10*time.Millisecond), contentRequest("second try", 9, time.Hour))
	second := expectActions(t, p, "refuse second try queue_full")[0]
	if want := first.RetryAfter - 10*time.Millisecond; second.RetryAfter != want {
		t.Errorf("advised retry delay is %s, want %s", second.RetryAfter, want)
	}
}

// TestReservationDoesNotPassOtherOrganisations checks that a retry reservation gives no
// priority over other organisations.
func TestReservationDoesNotPassOtherOrganisations(t *testing.T) {
	p := fullPool(t)
	p.Add(start, contentRequest("first try", 9, time.Hour))
	refused := expectActions(t, p, "refuse first try queue_full")[0]
	p.config.MaxWaiting = 10
	other := contentRequest("other", 30, time.Hour)
	other.Organisation = "b"
	p.Add(start, other)
	back := start.Add(refused.RetryAfter)
	p.Add(back, contentRequest("second try", 9, time.Hour))
	p.Release(back, onlyGrant(p), Result{Outcome: message.ReleaseOutcomeFinished})
	expectActions(t, p, "grant other")
}

// Each kind of refusal has its own retry delay: the refill time of a quota, none if the
// request can never succeed, and minNoServerRetry if there is no server.
func TestRetryAfterDependsOnRefusalReason(t *testing.T) {
	p := newTestPool(1, 10000)
	p.SetLimits(start, map[string]Limits{"a": {TokensPerMinute: 600}})
	p.Add(start, request("spends", 0, 700, time.Hour))
	p.Add(start, request("no quota", 0, 100, 5*time.Second))
	refused := expectActions(t, p, "grant spends, refuse no quota quota")[1]
	// 100 tokens over the quota refill in 10 s, and one more is needed.
	if after := refused.RetryAfter; after < 10*time.Second || after > 11*time.Second {
		t.Errorf("without quota: advised retry delay is %s", after)
	}
	p.Add(start, request("too large", 0, 100_000_000, time.Hour))
	if refused := expectActions(t, p, "refuse too large infeasible")[0]; refused.RetryAfter != 0 {
		t.Errorf("never feasible: advised retry delay is %s", refused.RetryAfter)
	}
	p.SetServers(start, nil)
	p.Add(start, request("nowhere", 0, 100, time.Hour))
	if refused := expectActions(t, p, "refuse nowhere no_server")[0]; refused.RetryAfter < minNoServerRetry || refused.RetryAfter > 2*minNoServerRetry {
		t.Errorf("without servers: advised retry delay is %s", refused.RetryAfter)
	}
}

// TestInfeasibleArrivalIsRefusedAtOnce fills the queue with more work than the pool can
// do before a deadline.
func TestInfeasibleArrivalIsRefusedAtOnce(t *testing.T) {
	p := newTestPool(1, 100)
	for i := range 200 {
		p.Add(start, request(fmt.Sprint("r", i), 1, 1000, time.Hour))
	}
	p.TakeActions()
	p.Add(start, request("infeasible", 1, 100, 5*time.Second))
	expectActions(t, p, "refuse infeasible deadline")
	p.Add(start, request("patient", 1, 100, time.Hour))
	// Lower work is shed for a higher tier, so a request above it is feasible.
	p.Add(start, request("higher", 0, 100, 5*time.Second))
	expectActions(t, p, "")
	// An organisation without waiting requests is served next.
	other := request("other", 1, 100, 5*time.Second)
	other.Organisation = "b"
	p.Add(start, other)
	expectActions(t, p, "")
}

// TestRenewedAskIsNotInfeasible renews the ask, as a front does after four seconds, for a
// request that is next in the queue. It must not be treated as a new arrival at the end.
func TestRenewedAskIsNotInfeasible(t *testing.T) {
	p := newTestPool(1, 100)
	for i := range 30 {
		r := request(fmt.Sprint("r", i), 1, 1000, 20*time.Second)
		r.Arrived = start.Add(-time.Duration(30-i) * 150 * time.Millisecond)
		p.Add(start, r)
	}
	expectActions(t, p, "grant r0")
	now := start.Add(100 * time.Millisecond)
	p.Withdraw(now, "r1")
	renewed := request("r1", 1, 1000, 2*time.Second)
	renewed.Arrived = start.Add(-29 * 150 * time.Millisecond)
	p.Add(now, renewed)
	expectActions(t, p, "")
	if w := p.queue.byID["r1"]; w == nil || w.prev != nil {
		t.Error("the renewed request is not the first in its caller's queue")
	}
}

// TestArrivalIsFeasibleAboveLowerWork checks that a request is not refused on arrival
// while lower work waits or runs.
func TestArrivalIsFeasibleAboveLowerWork(t *testing.T) {
	p := newTestPool(1, 100)
	p.Add(start, request("lower", 2, 1000, time.Hour))
	for i := range 200 {
		p.Add(start, request(fmt.Sprint("r", i), 1, 1000, time.Hour))
	}
	expectActions(t, p, "grant lower")
	p.Add(start, request("waits", 1, 100, 5*time.Second))
	expectActions(t, p, "")
}

// TestQueuedRequestsThatBecomeInfeasibleAreRefused removes three of four servers from a
// pool whose queue they would have served in time.
func TestQueuedRequestsThatBecomeInfeasibleAreRefused(t *testing.T) {
	p := newTestPool(4, 100)
	var servers []Server
	for _, s := range p.servers {
		servers = append(servers, s.Server)
	}
	for i := range 80 {
		p.Add(start, request(fmt.Sprint("r", i), 1, 1000, 10*time.Second))
	}
	p.TakeActions()
	if waiting := p.queue.waiting; waiting != 76 {
		t.Fatalf("%d requests wait, want all but four", waiting)
	}
	p.SetServers(start, servers[:1])
	p.TakeActions()
	p.Tick(start.Add(50 * time.Millisecond))
	refused := p.TakeActions()
	for _, a := range refused {
		if a.Kind != ActionRefuse || a.Refusal != message.RefusalReasonDeadline {
			t.Errorf("unexpected %s %s", a.Kind, a.Refusal)
		}
	}
	wait := p.ExpectedWait(1)
	if len(refused) < 10 || wait > 10*time.Second || wait < 5*time.Second {
		t.Errorf("%d refused, the rest waits for %s; want the work of one server for about 10 s", len(refused), wait)
	}
}
