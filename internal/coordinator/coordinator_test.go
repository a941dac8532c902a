package coordinator

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"mimosafront/internal/message"
	"mimosafront/internal/policy"
	"mimosafront/internal/settings"
)

var (
	start = time.Unix(1_700_000_000, 0)
	pool  = message.Pool{Zone: "lisbon-a", Target: "fountain-vision"}
)

func newState(t testing.TB, host, zone string) *State {
	t.Helper()
	text, err := os.ReadFile("../../examples/consortium.policy.ini")
	if err != nil {
		t.Fatal(err)
	}
	p, err := policy.Parse("consortium", text)
	if err != nil {
		t.Fatal(err)
	}
	s := New(Config{Host: host, Zone: zone, Incarnation: 7, Scheduler: settings.Scheduler{
		Algorithm: settings.SchedulerAlgorithmFair, MaxWaiting: 10000, MaxWaitingTokens: 100_000_000,
		GrantLifetimeMs: 2000, GapTargetMs: 33, FirstTokenTargetMs: 1600,
	}})
	s.SetPolicy(start, p)
	s.SetOwned(start, []message.Pool{{Zone: zone, Target: pool.Target}})
	s.SetFronts(start, nil)
	return s
}

func ask(id string) *message.Ask {
	return &message.Ask{
		Request: id, Attempt: 1, Pool: pool, Organisation: "aurora", Caller: "aurora-crew-1",
		Tier: 1, PromptTokens: 100, OutputTokens: 50, DeadlineMs: 30000,
	}
}

// send passes an ask to a coordinator and returns the answer.
func send(s *State, now time.Time, from string, a *message.Ask) message.Frame {
	s.Handle(now, from, &message.Frame{Ask: a})
	for _, o := range s.TakeOutput() {
		f := o.Frame
		if o.To == from && (f.Grant != nil || f.Refusal != nil || f.Redirect != nil) {
			return f
		}
	}
	return message.Frame{}
}

func release(s *State, now time.Time, from string, g *message.Grant, outcome message.ReleaseOutcome) []Output {
	s.Handle(now, from, &message.Frame{Release: &message.Release{
		Request: g.Request, Grant: g.Grant, Pool: g.Pool, Outcome: outcome, PromptTokens: 100, OutputTokens: 50,
	}})
	return s.TakeOutput()
}

func tokensInFlight(s *State) int {
	sum := 0
	for _, server := range s.Status()[0].Servers {
		sum += server.Tokens
	}
	return sum
}

func TestAskGetsOneGrantAndReleaseEndsIt(t *testing.T) {
	s := newState(t, "e1", "lisbon-a")
	first := send(s, start, "e2", ask("r1")).Grant
	again := send(s, start.Add(time.Second), "e2", ask("r1")).Grant
	if first == nil || again == nil || first.Grant != again.Grant || again.LifetimeMs != 1000 {
		t.Fatalf("grants %+v and %+v, want the same one with its remaining lifetime", first, again)
	}
	release(s, start, "e2", first, message.ReleaseOutcomeFinished)
	if tokens := tokensInFlight(s); tokens != 0 {
		t.Errorf("%d tokens are in flight after the release", tokens)
	}
	if late := send(s, start, "e2", ask("r1")); late.Grant != nil {
		t.Errorf("a late duplicate of the ask got %+v", late.Grant)
	}
}

func TestAskForAPoolOfAnotherHostIsRefused(t *testing.T) {
	s := newState(t, "e1", "lisbon-a")
	a := ask("r1")
	a.Pool.Target = "other"
	if r := send(s, start, "e2", a).Refusal; r == nil || r.Reason != message.RefusalReasonNotCoordinator {
		t.Fatalf("refusal %+v, want not_coordinator", r)
	}
}

func TestGrantIDsStayUniqueAfterSecondTakeover(t *testing.T) {
	s := newState(t, "e1", "lisbon-a")
	first := send(s, start, "e2", ask("r1")).Grant
	s.SetOwned(start, nil)
	s.SetOwned(start, []message.Pool{pool})
	if second := send(s, start, "e2", ask("r2")).Grant; second.Grant == first.Grant {
		t.Errorf("both grants are %s", first.Grant)
	}
}

func TestLateHeartbeatDoesNotRestoreAnEndedGrant(t *testing.T) {
	s := newState(t, "e1", "lisbon-a")
	g := send(s, start, "e2", ask("r1")).Grant
	release(s, start, "e2", g, message.ReleaseOutcomeFinished)
	s.Handle(start, "e2", &message.Frame{Heartbeat: &message.Heartbeat{Host: "e2", Reports: true, Grants: []message.HeldGrant{{
		Grant: g.Grant, Request: "r1", Pool: pool, Server: g.Server, PromptTokens: 100, ExpectedTokens: 50,
	}}}})
	if tokens := tokensInFlight(s); tokens != 0 {
		t.Errorf("%d tokens in flight after the release and a late heartbeat", tokens)
	}
}

func TestLateHeartbeatDoesNotReplaceAParkedRequest(t *testing.T) {
	s := newState(t, "e1", "lisbon-a")
	bound := ask("r1")
	bound.Attempt, bound.Server, bound.PromptTokens = 2, s.policy.PoolServers(pool)[1].Name, 0
	g := send(s, start, "e2", bound).Grant
	if g == nil || g.Server != bound.Server {
		t.Fatalf("grant %+v, want one on %s", g, bound.Server)
	}
	s.Handle(start, "e2", &message.Frame{Heartbeat: &message.Heartbeat{Host: "e2", Reports: true, Grants: []message.HeldGrant{{
		Grant: "g0", Request: "r1", Attempt: 1, Pool: pool, Server: bound.Server, PromptTokens: 100, ExpectedTokens: 50,
	}}}})
	release(s, start, "e2", g, message.ReleaseOutcomeFinished)
	if tokens := tokensInFlight(s); tokens != 0 {
		t.Errorf("%d tokens are in flight after the release", tokens)
	}
}

func TestReleasedPoolRefusesWaitingRequests(t *testing.T) {
	s := newState(t, "e1", "lisbon-a")
	for i := range 5 {
		a := ask(fmt.Sprint("r", i))
		a.PromptTokens = 60000
		send(s, start, "e2", a)
	}
	s.SetOwned(start, nil)
	if out := s.TakeOutput(); len(out) != 1 || !hasRefusal(out, "r4", message.RefusalReasonNotCoordinator) {
		t.Errorf("output %+v, want one refusal, of the only waiting request", out)
	}
}

// TestGrantsOfADeadHostCountAsSent guards against a limited server that gets the requests
// which a host sent before it died, or before it was cut off, and as many once more.
func TestGrantsOfADeadHostCountAsSent(t *testing.T) {
	s := newState(t, "e1", "lisbon-a")
	limits := map[string]float64{}
	for _, server := range s.policy.PoolServers(pool) {
		limits[server.Name] = 1
	}
	s.SetServerLimits(start, limits, nil)
	now := start.Add(5 * time.Second)
	s.Tick(now)
	granted := func(host string) int {
		grants := 0
		for i := range 40 {
			if send(s, now, host, ask(fmt.Sprint(host, "-", i))).Grant != nil {
				grants++
			}
		}
		return grants
	}
	if granted("e2") == 0 {
		t.Fatal("no request was granted")
	}
	s.HostDown(now, "e2")
	if again := granted("e3"); again > 0 {
		t.Errorf("%d more requests were granted at once", again)
	}
}

func TestHostDownDropsGrantsAndAsks(t *testing.T) {
	s := newState(t, "e1", "lisbon-a")
	for i := range 1200 {
		a := ask(fmt.Sprintf("r%04d", i))
		a.PromptTokens = 4000
		send(s, start, "e2", a)
	}
	s.HostDown(start, "e2")
	if tokens, entries := tokensInFlight(s), len(s.pools[pool].entries); tokens != 0 || entries != 0 || len(s.grants) != 0 {
		t.Errorf("%d tokens, %d entries and %d grants are left", tokens, entries, len(s.grants))
	}
}

func TestRebuildCountsReportedGrantsFirst(t *testing.T) {
	s := newState(t, "e1", "lisbon-a")
	s.SetOwned(start, nil)
	s.SetOwned(start, []message.Pool{pool})
	s.SetFronts(start, []string{"e2"})
	fill := func(from string, n int) (granted int) {
		for i := range n {
			a := ask(fmt.Sprint(from, "-", i))
			a.PromptTokens, a.OutputTokens = 3900, 100
			if send(s, start, from, a).Grant != nil {
				granted++
			}
		}
		return granted
	}
	// The four servers of the zone can run 4, 8, 16 and 4 requests of this size.
	if granted := fill("e3", 32); granted != 8 {
		t.Errorf("%d grants while the reports are missing, want a quarter of 32", granted)
	}
	s.Handle(start, "e2", &message.Frame{Heartbeat: &message.Heartbeat{Host: "e2", Reports: true, Grants: []message.HeldGrant{{
		Grant: "old.1", Request: "held", Organisation: "tejo", Caller: "tejo-crew-1", Pool: pool,
		Server: "lisbon-a-engine-3", Tier: 1, PromptTokens: 39000, ExpectedTokens: 1000, Dispatched: true,
	}}}})
	granted := 8
	for _, o := range s.TakeOutput() {
		if o.Frame.Grant != nil {
			granted++
		}
	}
	if granted != 22 {
		t.Errorf("%d grants after the reports, want 22 besides the reported one, which is ten times as large", granted)
	}
}

func TestLostGrantIsResentThenRequeued(t *testing.T) {
	s := newState(t, "e1", "lisbon-a")
	first := send(s, start, "e2", ask("r1")).Grant
	heartbeat := func(now time.Time) *message.Grant {
		s.Handle(now, "e2", &message.Frame{Heartbeat: &message.Heartbeat{Host: "e2", Reports: true, Asks: []string{"r1"}}})
		for _, o := range s.TakeOutput() {
			if o.Frame.Grant != nil {
				return o.Frame.Grant
			}
		}
		return nil
	}
	if again := heartbeat(start.Add(500 * time.Millisecond)); again == nil || again.Grant != first.Grant {
		t.Errorf("after the first heartbeat got %+v, want the same grant", again)
	}
	heartbeat(start.Add(4500 * time.Millisecond))
	if second := heartbeat(start.Add(5 * time.Second)); second == nil || second.Grant == first.Grant {
		t.Errorf("after twice the grant lifetime got %+v, want a new grant", second)
	}
	if len(s.grants) != 1 {
		t.Errorf("%d grants are counted, want 1", len(s.grants))
	}
}

func TestRevocationIsRepeatedUntilTheRelease(t *testing.T) {
	s := newState(t, "e1", "lisbon-a")
	g := send(s, start, "e2", ask("r1")).Grant
	s.pools[pool].sched.Revoke(g.Grant, "test")
	count := 0
	for i := range 22 {
		if i == 21 {
			release(s, start, "e2", g, message.ReleaseOutcomeRevoked)
		}
		s.Tick(start.Add(time.Duration(i) * 100 * time.Millisecond))
		for _, o := range s.TakeOutput() {
			if o.Frame.Revoke != nil {
				count++
			}
		}
	}
	if count != 5 {
		t.Errorf("%d revocations in two seconds, want 5", count)
	}
}

func TestPoisonIsStoppedAfterTwoServers(t *testing.T) {
	s := newState(t, "e1", "lisbon-a")
	s.Handle(start, "e9", &message.Frame{Heartbeat: &message.Heartbeat{Host: "e9"}})
	now := start
	poison := func(id string) message.Frame {
		a := ask(id)
		a.Fingerprint = 0xbad
		return send(s, now, "e2", a)
	}
	first := poison("p1").Grant
	onSameServer := 0
	for i := range 24 {
		innocent := ask(fmt.Sprint("innocent", i))
		innocent.Fingerprint = uint64(i + 1)
		if send(s, now, "e3", innocent).Grant.Server == first.Server {
			onSameServer++
		}
	}
	if onSameServer == 0 {
		t.Fatal("no innocent request runs on the culprit's server")
	}
	release(s, now, "e2", first, message.ReleaseOutcomeServerCrashed)
	now = now.Add(time.Second)
	s.Tick(now)
	second := poison("p2").Grant
	if second == nil || second.Server == first.Server && len(s.Status()[0].Servers) > 1 {
		t.Fatalf("second run got %+v, want a grant on another server than %s", second, first.Server)
	}
	if f := poison("p3"); f.Grant != nil || f.Refusal != nil {
		t.Fatalf("a third request while the suspect runs got %+v, want it held", f)
	}
	out := release(s, now, "e2", second, message.ReleaseOutcomeServerCrashed)
	if !hasRefusal(out, "p3", message.RefusalReasonPoison) {
		t.Errorf("the held request was not refused as poison")
	}
	if f := poison("p4"); f.Refusal == nil || f.Refusal.Reason != message.RefusalReasonPoison {
		t.Errorf("a fourth request got %+v, want it refused", f)
	}
	if got := strings.Join(s.Quarantined(), " "); got != "bad" {
		t.Errorf("quarantined %q, want only bad", got)
	}
	sent := false
	for _, o := range out {
		if o.To != "e9" || o.Frame.Quarantines == nil {
			continue
		}
		for _, update := range o.Frame.Quarantines.Entries {
			sent = sent || len(update.Servers) == 2
		}
	}
	if !sent {
		t.Error("no quarantine update was sent to the other host")
	}
}

func hasRefusal(out []Output, request string, reason message.RefusalReason) bool {
	for _, o := range out {
		if r := o.Frame.Refusal; r != nil && r.Request == request && r.Reason == reason {
			return true
		}
	}
	return false
}

func TestSuspectThatFinishesIsCleared(t *testing.T) {
	s := newState(t, "e1", "lisbon-a")
	suspect := func(id string) message.Frame {
		a := ask(id)
		a.Fingerprint = 5
		return send(s, start, "e2", a)
	}
	s.Handle(start, "e9", &message.Frame{Quarantine: &message.Quarantine{Fingerprint: 5, Servers: []string{"x"}}})
	g := suspect("r1").Grant
	if f := suspect("r2"); f.Grant != nil {
		t.Fatal("two requests of a suspected fingerprint run at once")
	}
	out := release(s, start, "e2", g, message.ReleaseOutcomeFinished)
	granted := false
	for _, o := range out {
		granted = granted || o.Frame.Grant != nil && o.Frame.Grant.Request == "r2"
	}
	if !granted {
		t.Error("the held request was not granted after the suspect had finished")
	}
	if f := suspect("r3"); f.Grant == nil {
		t.Errorf("a further request got %+v, want a grant: the fingerprint is cleared", f)
	}
}
