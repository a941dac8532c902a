package sched

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"mimosafront/internal/message"
	"mimosafront/internal/settings"
)

// describe lists actions as kind and request, such as "grant r1, revoke r2".
func describe(actions []Action) string {
	var words []string
	for _, a := range actions {
		word := string(a.Kind) + " " + a.Request.ID
		if a.Kind == ActionRefuse {
			word += " " + string(a.Refusal)
		}
		words = append(words, word)
	}
	return strings.Join(words, ", ")
}

func expectActions(t *testing.T, p *Pool, want string) []Action {
	t.Helper()
	actions := p.TakeActions()
	if got := describe(actions); got != want {
		t.Errorf("actions are %q, want %q", got, want)
	}
	return actions
}

func request(id string, tier, tokens int, within time.Duration) Request {
	return Request{ID: id, Host: "e1", Organisation: "a", Tier: tier, PromptTokens: tokens, Deadline: start.Add(within)}
}

func TestFullQueueShedsFromTheLowestTier(t *testing.T) {
	p := newTestPool(1, 1)
	p.config.MaxWaiting = 2
	for i, tier := range []int{2, 2, 1} {
		p.Add(start, request(fmt.Sprint("r", i), tier, 10, time.Hour))
	}
	expectActions(t, p, "grant r0")
	p.Add(start, request("r3", 1, 10, time.Hour))
	expectActions(t, p, "refuse r1 shed")
	p.Add(start, request("r4", 1, 10, time.Hour))
	expectActions(t, p, "revoke r0")
	p.Add(start, request("r5", 1, 10, time.Hour))
	expectActions(t, p, "refuse r5 queue_full")
	p.Add(start, request("r6", 2, 10, time.Hour))
	expectActions(t, p, "refuse r6 queue_full")
}

func TestFullQueueDisplacesTheOrganisationMostOverItsShare(t *testing.T) {
	p := newTestPool(1, 1)
	p.config.MaxWaiting = 4
	add := func(id, organisation, caller string) {
		r := request(id, 0, 10, time.Hour)
		r.Organisation, r.Caller = organisation, caller
		p.Add(start, r)
	}
	add("r0", "a", "x")
	add("r1", "a", "x")
	add("r2", "a", "y")
	add("r3", "a", "x")
	add("r4", "b", "x")
	expectActions(t, p, "grant r0")
	add("r5", "b", "x")
	expectActions(t, p, "refuse r3 queue_full")
	add("r6", "a", "y")
	expectActions(t, p, "refuse r6 queue_full")
}

func TestEachUrgentRequestHasWorkRevokedForIt(t *testing.T) {
	p := newTestPool(0, 0)
	p.SetServers(start, []Server{{Name: "s", PrefillTokensPerS: 8000, DecodeTokensPerS: 1500, TokensInFlight: 100_000, MaxRequests: 3}})
	for i := range 3 {
		p.Add(start, request(fmt.Sprint("low", i), 2, 10, time.Hour))
	}
	for i := range 3 {
		p.Add(start, request(fmt.Sprint("high", i), 0, 10, 2*time.Second))
	}
	expectActions(t, p, "grant low0, grant low1, grant low2")
	revoked := 0
	for now := start; now.Before(start.Add(1500 * time.Millisecond)); now = now.Add(maxTickInterval) {
		p.Tick(now)
		for _, a := range p.TakeActions() {
			if a.Kind != ActionRevoke {
				t.Fatalf("%s %s after %s", a.Kind, a.Request.ID, now.Sub(start))
			}
			revoked++
		}
	}
	if revoked != 3 {
		t.Errorf("%d of 3 grants were revoked for 3 urgent requests", revoked)
	}
}

func TestNoWaitReplacesLowerWork(t *testing.T) {
	p := newTestPool(1, 1)
	p.Add(start, request("low", 2, 10, time.Hour))
	p.Add(start, request("lower", 3, 10, time.Hour))
	expectActions(t, p, "grant low")
	r := request("r1", 1, 10, time.Hour)
	r.NoWait = true
	p.Add(start, r)
	expectActions(t, p, "refuse lower shed, revoke low, grant r1")
	r.ID = "r2"
	p.Add(start, r)
	expectActions(t, p, "refuse r2 shed")
}

func TestUrgentWorkRevokesTheLeastCostly(t *testing.T) {
	p := newTestPool(1, 1000)
	p.Add(start, request("low", 2, 300, time.Hour))
	p.Add(start, request("lower", 3, 300, time.Hour))
	p.Add(start, request("wasteful", 3, 400, time.Hour))
	granted := p.TakeActions()
	p.Add(start, request("brief", 1, 300, 2*time.Second))
	expectActions(t, p, "")
	now := start
	for now.Before(start.Add(1400 * time.Millisecond)) {
		now = now.Add(50 * time.Millisecond)
		p.Tick(now)
	}
	expectActions(t, p, "revoke lower")
	p.Release(now, granted[1].Grant, Result{Outcome: message.ReleaseOutcomeRevoked})
	expectActions(t, p, "grant brief")
}

func TestLateRequestReplacesRevokedWorkThatDoesNotEnd(t *testing.T) {
	p := newTestPool(1, 500)
	p.Add(start, request("low", 2, 300, time.Hour))
	p.Add(start, request("brief", 1, 300, 2*time.Second))
	now := start
	for now.Before(start.Add(2 * time.Second)) {
		now = now.Add(50 * time.Millisecond)
		p.Tick(now)
	}
	expectActions(t, p, "grant low, revoke low, grant brief")
	p.Add(now, request("next", 1, 300, time.Hour))
	expectActions(t, p, "")
}

func TestOnlyTheLowestTierIsRevoked(t *testing.T) {
	p := newTestPool(3, 500)
	p.Add(start, request("cataloguing0", 2, 400, time.Hour))
	p.Add(start, request("cataloguing1", 2, 400, time.Hour))
	p.Add(start, request("caption", 3, 100, time.Hour))
	p.Add(start, request("waiting", 3, 450, time.Hour))
	p.TakeActions()
	p.Add(start, request("brief0", 1, 450, 2*time.Second))
	p.Add(start, request("brief1", 1, 450, 2*time.Second))
	for now := start; now.Before(start.Add(2 * time.Second)); now = now.Add(50 * time.Millisecond) {
		p.Tick(now)
	}
	got := describe(p.TakeActions())
	caption, cataloguing := strings.Index(got, "revoke caption"), strings.Index(got, "revoke cataloguing")
	waiting := strings.Index(got, "refuse waiting shed")
	if caption < 0 || cataloguing >= 0 && (cataloguing < caption || waiting < 0 || cataloguing < waiting) {
		t.Errorf("actions are %q", got)
	}
	if !strings.Contains(got, "grant brief0") || !strings.Contains(got, "grant brief1") {
		t.Errorf("a brief was not served: %q", got)
	}
}

func TestExpiryShedsLowerWaitingWork(t *testing.T) {
	p := newTestPool(1, 1)
	p.Add(start, request("r0", 1, 10, time.Hour))
	p.Add(start, request("caption", 2, 10, time.Hour))
	p.Add(start, request("brief", 1, 10, time.Second))
	p.TakeActions()
	p.Tick(start.Add(900 * time.Millisecond))
	expectActions(t, p, "refuse caption shed, refuse brief deadline")
}

func TestInfeasibleRequestIsRefusedOnArrival(t *testing.T) {
	p := newTestPool(1, 100)
	p.Add(start, request("r0", 0, 80000, 5*time.Second))
	p.Add(start, request("r1", 0, 20_000_000, 24*time.Hour))
	expectActions(t, p, "refuse r0 infeasible, refuse r1 infeasible")
}

func TestLargeRequestIsNotStarved(t *testing.T) {
	p := newTestPool(2, 1000)
	var running []Action
	for i := range 4 {
		p.Add(start, request(fmt.Sprint("small", i), 1, 500, time.Hour))
	}
	running = append(running, p.TakeActions()...)
	p.Add(start, request("large", 1, 900, time.Hour))
	for i := range 12 {
		p.Add(start, request(fmt.Sprint("later", i), 1, 500, time.Hour))
	}
	for i := range 8 {
		p.Release(start, running[0].Grant, Result{Outcome: message.ReleaseOutcomeFinished, PromptTokens: 500})
		running = append(running[1:], p.TakeActions()...)
		if slices.ContainsFunc(running, func(a Action) bool { return a.Request.ID == "large" }) {
			return
		}
		if i >= 4 {
			t.Fatalf("still waiting after %d releases", i+1)
		}
	}
}

func TestOrganisationLimitsShedItsOwnWorkOnly(t *testing.T) {
	p := newTestPool(1, 1)
	p.SetLimits(start, map[string]Limits{"a": {MaxWaiting: 1}})
	other := request("other", 3, 10, time.Hour)
	other.Organisation = "b"
	p.Add(start, other)
	other.ID = "other2"
	p.Add(start, other)
	p.Add(start, request("caption", 2, 10, time.Hour))
	p.TakeActions()
	p.Add(start, request("brief", 1, 10, time.Hour))
	expectActions(t, p, "refuse caption shed")
	p.Add(start, request("brief2", 1, 10, time.Hour))
	expectActions(t, p, "refuse brief2 queue_full")
}

func TestQuotaDelaysAndRefusesWhatItCannotServe(t *testing.T) {
	p := newTestPool(4, 10000)
	p.SetLimits(start, map[string]Limits{"a": {TokensPerMinute: 600}})
	p.Add(start, request("r0", 3, 600, time.Hour))
	p.Add(start, request("r1", 2, 100, time.Hour))
	expectActions(t, p, "grant r0")
	p.Add(start, request("r2", 1, 100, 10*time.Millisecond+startSlack+time.Second/50))
	expectActions(t, p, "revoke r0, refuse r1 shed, refuse r2 quota")
	p.Add(start, request("r3", 1, 100, time.Hour))
	other := request("other", 3, 100, time.Hour)
	other.Organisation = "b"
	p.Add(start, other)
	expectActions(t, p, "grant other")
	p.Tick(start.Add(2 * time.Second))
	expectActions(t, p, "grant r3")
}

func TestBaselinesIgnoreTiers(t *testing.T) {
	for _, algorithm := range []string{"fifo", "least_outstanding"} {
		p := newTestPool(2, 1)
		p.config.Algorithm = settings.SchedulerAlgorithm(algorithm)
		for i := range p.servers {
			p.servers[i].MaxRequests = 1
		}
		for i, tier := range []int{3, 2, 3, 0} {
			p.Add(start, request(fmt.Sprint("r", i), tier, 10, time.Hour))
		}
		granted := expectActions(t, p, "grant r0, grant r1")
		if granted[0].Server == granted[1].Server {
			t.Errorf("%s: both requests were placed on %s", algorithm, granted[0].Server)
		}
		p.Release(start, granted[0].Grant, Result{Outcome: message.ReleaseOutcomeFinished})
		expectActions(t, p, "grant r2")
	}
}

func TestBlockedHigherRequestsEachReserveAServer(t *testing.T) {
	p := newTestPool(4, 1000)
	var running []Action
	for i := range 24 {
		p.Add(start, request(fmt.Sprint("caption", i), 3, 500, time.Hour))
	}
	running = append(running, p.TakeActions()...)
	for i := range 3 {
		p.Add(start, request(fmt.Sprint("brief", i), 1, 900, time.Hour))
	}
	now := start.Add(time.Second)
	briefs := 0
	for range 8 {
		p.Release(now, running[0].Grant, Result{Outcome: message.ReleaseOutcomeFinished, PromptTokens: 500})
		granted := p.TakeActions()
		for _, a := range granted {
			if a.Request.Tier == 1 {
				briefs++
			}
		}
		running = append(running[1:], granted...)
	}
	if briefs != 3 {
		t.Errorf("%d of 3 briefs started within 8 releases of captions", briefs)
	}
}

func TestTightRequestMayWaitHalfOfItsSpareTime(t *testing.T) {
	p := newTestPool(1, 1000)
	p.estimate.errors[0] = timeError{mean: 3}
	r := request("r0", 0, 8000, 2*time.Second)
	r.Arrived = start
	w := p.newWaiter(r)
	if got := p.latestStart(w).Sub(start); got != 500*time.Millisecond {
		t.Errorf("latest start is %v after the arrival, want 0.5 s: half of the 2 s less 1 s of prefill", got)
	}
	w.Deadline = start.Add(time.Minute)
	if got := p.latestStart(w).Sub(start); got != 51*time.Second {
		t.Errorf("latest start is %v after the arrival, want 51 s: 60 s less 1 s of prefill, 2 s of error and 6 s of slack", got)
	}
}

func TestLowerTierWaitsWhileHigherTierIsOverloaded(t *testing.T) {
	for _, overloaded := range []bool{false, true} {
		p := newTestPool(2, 1000)
		for i := range 2 {
			p.Add(start, request(fmt.Sprint("running", i), 1, 900, time.Hour))
		}
		waiting := 1
		if overloaded {
			waiting = 200
		}
		for i := range waiting {
			p.Add(start, request(fmt.Sprint("brief", i), 1, 900, 20*time.Second))
		}
		p.TakeActions()
		p.Add(start, request("caption", 3, 10, time.Hour))
		want := "grant caption"
		if overloaded {
			want = ""
		}
		expectActions(t, p, want)
	}
}

func TestServerThatMissesDeadlineIsNotUsed(t *testing.T) {
	p := newTestPool(2, 1000)
	p.byName["s1"].speed.gap = 1
	r := request("r0", 0, 900, time.Hour)
	r.Excluded = []string{"s1"}
	p.Add(start, r)
	granted := expectActions(t, p, "grant r0")
	r = request("r1", 0, 300, 5*time.Second)
	r.OutputTokens = 10
	p.Add(start, r)
	expectActions(t, p, "")
	p.Release(start, granted[0].Grant, Result{Outcome: message.ReleaseOutcomeFinished, PromptTokens: 900})
	if again := expectActions(t, p, "grant r1"); again[0].Server != "s0" {
		t.Errorf("r1 runs on %s, want the fast server s0", again[0].Server)
	}
}
