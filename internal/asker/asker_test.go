package asker

import (
	"testing"
	"time"

	"mimosafront/internal/apierror"
	"mimosafront/internal/grant"
	"mimosafront/internal/message"
	"mimosafront/internal/verdict"
)

var testNow = time.Unix(1_700_000_000, 0)

// newAsker returns a State with one waiting request, r, in a target with two zones.
func newAsker(t *testing.T, topology staticTopology) *State {
	t.Helper()
	s := New(Config{Patience: 2 * time.Second, RetryDelay: 20 * time.Millisecond, RetryDelayMax: time.Second})
	s.SetTopology(testNow, topology)
	s.Ask(testNow, grant.Request{ID: "r", Target: "m", Arrived: testNow, Deadline: testNow.Add(20 * time.Second)})
	return s
}

func bothZones() staticTopology { return staticTopology{poolA: "c1", poolB: "c3"} }

// nextAsk returns the only ask sent since the last call, and its receiver.
func nextAsk(t *testing.T, s *State) (string, *message.Ask) {
	t.Helper()
	var to string
	var ask *message.Ask
	for _, o := range s.TakeOutput() {
		if o.Frame.Ask != nil {
			if ask != nil {
				t.Fatal("two asks were sent at once")
			}
			to, ask = o.To, o.Frame.Ask
		}
	}
	if ask == nil {
		t.Fatal("no ask was sent")
	}
	return to, ask
}

func refuse(s *State, from string, ask *message.Ask, reason message.RefusalReason) {
	s.Handle(testNow, from, &message.Frame{Refusal: &message.Refusal{
		Request: ask.Request, Attempt: ask.Attempt, Pool: ask.Pool, Reason: reason, RetryAfterMs: 700,
	}})
}

func TestRefusalComesAfterAllCoordinatorsRefused(t *testing.T) {
	s := newAsker(t, bothZones())
	for _, want := range []string{"c1", "c3"} {
		if outcomes := s.TakeOutcomes(); len(outcomes) > 0 {
			t.Fatalf("an outcome before %s was asked: %v", want, outcomes[0].Err)
		}
		to, ask := nextAsk(t, s)
		if to != want {
			t.Fatalf("asked %s, want %s", to, want)
		}
		refuse(s, to, ask, message.RefusalReasonShed)
	}
	outcomes := s.TakeOutcomes()
	if len(outcomes) != 1 || outcomes[0].Err == nil {
		t.Fatalf("outcomes %v, want one error", outcomes)
	}
	if err := outcomes[0].Err; err.Code != apierror.CodeShed || err.Verdict != verdict.NotRun || err.RetryAfter != 700*time.Millisecond {
		t.Errorf("error %v, retry after %s", err, err.RetryAfter)
	}
}

func TestPoisonRefusalIsFinal(t *testing.T) {
	s := newAsker(t, bothZones())
	to, ask := nextAsk(t, s)
	refuse(s, to, ask, message.RefusalReasonPoison)
	if outcomes := s.TakeOutcomes(); len(outcomes) != 1 || outcomes[0].Err.Code != apierror.CodePoison {
		t.Fatalf("outcomes %v, want one error for poison", outcomes)
	}
}

func TestRedirectedRequestReturnsHomeWhenRefused(t *testing.T) {
	s := newAsker(t, bothZones())
	to, ask := nextAsk(t, s)
	s.Handle(testNow, to, &message.Frame{Redirect: &message.Redirect{Request: "r", Attempt: ask.Attempt, Pool: poolA, Zone: "b"}})
	to, ask = nextAsk(t, s)
	if to != "c3" || !ask.Redirected {
		t.Fatalf("redirected ask to %s, redirected %v", to, ask.Redirected)
	}
	refuse(s, to, ask, message.RefusalReasonQueueFull)
	if to, _ = nextAsk(t, s); to != "c1" {
		t.Fatalf("asked %s after the refusal, want the home coordinator c1", to)
	}
}

func TestKeptRedirectMovesTheAsk(t *testing.T) {
	sendRedirect := func(s *State, to string, ask *message.Ask) {
		s.Handle(testNow, to, &message.Frame{Redirect: &message.Redirect{Request: "r", Attempt: ask.Attempt, Pool: ask.Pool, Zone: "b", Kept: true}})
	}
	s := newAsker(t, bothZones())
	to, ask := nextAsk(t, s)
	sendRedirect(s, to, ask)
	output := s.TakeOutput()
	if len(output) != 2 || output[0].To != "c1" || output[0].Frame.Withdraw == nil || output[0].Frame.Withdraw.Attempt != ask.Attempt {
		t.Fatalf("output %+v, want the withdrawal and a new ask", output)
	}
	moved := output[1].Frame.Ask
	if output[1].To != "c3" || !moved.Redirected || moved.Moves != 1 {
		t.Fatalf("asked %s with %+v, want c3 and one move", output[1].To, moved)
	}
	refuse(s, "c3", moved, message.RefusalReasonQueueFull)
	to, ask = nextAsk(t, s)
	for _, topology := range []staticTopology{bothZones(), {poolA: "c1"}} {
		s.SetTopology(testNow, topology)
		sendRedirect(s, to, ask)
		if output := s.TakeOutput(); len(output) > 0 {
			t.Errorf("a redirect to a pool that refused or can't be reached had the effect %+v", output)
		}
	}
}

func TestLateGrantIsReleasedUnused(t *testing.T) {
	s := newAsker(t, bothZones())
	to, ask := nextAsk(t, s)
	refuse(s, to, ask, message.RefusalReasonShed)
	nextAsk(t, s)
	s.Handle(testNow, to, &message.Frame{Grant: &message.Grant{Request: "r", Attempt: ask.Attempt, Grant: "late", Pool: poolA, LifetimeMs: 500}})
	if len(s.TakeOutcomes()) > 0 || s.Held() > 0 {
		t.Fatal("a late grant was delivered")
	}
	output := s.TakeOutput()
	if len(output) != 1 || output[0].To != to || output[0].Frame.Release == nil || output[0].Frame.Release.Outcome != message.ReleaseOutcomeUnused {
		t.Fatalf("output %+v, want the release of an unused grant", output)
	}
}

func TestRequestWithoutCoordinatorIsRefusedAfterPatience(t *testing.T) {
	s := newAsker(t, staticTopology{})
	s.Tick(testNow.Add(time.Second))
	if len(s.TakeOutcomes()) > 0 {
		t.Fatal("refused before Patience was over")
	}
	s.Tick(testNow.Add(2 * time.Second))
	if outcomes := s.TakeOutcomes(); len(outcomes) != 1 || outcomes[0].Err.Code != apierror.CodeNoServer {
		t.Fatalf("outcomes %v, want one error for the lack of servers", outcomes)
	}
}

func TestNewCoordinatorIsAskedAtOnce(t *testing.T) {
	s := newAsker(t, bothZones())
	nextAsk(t, s)
	s.SetTopology(testNow, staticTopology{poolA: "c2", poolB: "c3"})
	if to, _ := nextAsk(t, s); to != "c2" {
		t.Fatalf("asked %s, want c2", to)
	}
}

func TestGrantForAnAskBeforeAPauseIsReleased(t *testing.T) {
	s := newAsker(t, bothZones())
	to, before := nextAsk(t, s)
	s.ReaskAll(testNow)
	again, after := nextAsk(t, s)
	if again != to || after.Attempt <= before.Attempt {
		t.Fatalf("asked %s with attempt %d, want %s with one above %d", again, after.Attempt, to, before.Attempt)
	}
	s.Handle(testNow, to, &message.Frame{Grant: &message.Grant{Request: "r", Attempt: before.Attempt, Grant: "old", Pool: poolA, LifetimeMs: 500}})
	if len(s.TakeOutcomes()) > 0 || s.Held() > 0 {
		t.Fatal("a grant from before the pause was delivered")
	}
}

func TestUnansweredAskIsRenewed(t *testing.T) {
	s := newAsker(t, bothZones())
	to, first := nextAsk(t, s)
	s.Tick(testNow.Add(renewDelay))
	again, second := nextAsk(t, s)
	if again != to || second.Attempt <= first.Attempt {
		t.Fatalf("renewed at %s with attempt %d, want %s above %d", again, second.Attempt, to, first.Attempt)
	}
	s.Tick(testNow.Add(renewDelay + time.Second))
	if len(s.TakeOutput()) > 0 {
		t.Error("renewed again too early")
	}
}

// If a coordinator is too busy to answer, the front itself must refuse the request
// before the client gives up waiting for the first token.
func TestUnansweredRequestIsRefusedBeforeItsClientGivesUp(t *testing.T) {
	s := New(Config{Patience: 2 * time.Second, RetryDelay: 20 * time.Millisecond, RetryDelayMax: time.Second})
	s.SetTopology(testNow, bothZones())
	const limit = 2400 * time.Millisecond
	s.Ask(testNow, grant.Request{ID: "r", Target: "m", Arrived: testNow, Deadline: testNow.Add(20 * time.Second), FirstLimit: limit})
	s.Tick(testNow.Add(limit / 2))
	if outcomes := s.TakeOutcomes(); len(outcomes) > 0 {
		t.Fatalf("refused after half of the time: %v", outcomes[0].Err)
	}
	s.Tick(testNow.Add(limit - 50*time.Millisecond))
	outcomes := s.TakeOutcomes()
	if len(outcomes) != 1 || outcomes[0].Err == nil || outcomes[0].Err.Verdict != verdict.NotRun || outcomes[0].Err.RetryAfter == 0 {
		t.Errorf("got %+v", outcomes)
	}
}

// Guards against messages that grow where no coordinator uses the lengths of parts.
func TestPartLengthsAreSentWhereTheyAreUsed(t *testing.T) {
	for _, used := range []bool{false, true} {
		s := New(Config{PartLengths: used})
		s.SetTopology(testNow, bothZones())
		s.Ask(testNow, grant.Request{ID: "r", Target: "m", Parts: []uint64{1, 2}, PartTokens: []int{800, 20}, Deadline: testNow.Add(time.Minute)})
		from, ask := nextAsk(t, s)
		s.Handle(testNow, from, &message.Frame{Grant: &message.Grant{Grant: "g", Request: "r", Attempt: ask.Attempt, Pool: ask.Pool, LifetimeMs: 1000}})
		_, grants := s.Heartbeat(from)
		if len(grants) != 1 || (len(ask.PartTokens) == 2) != used || (len(grants[0].PartTokens) == 2) != used || len(ask.Parts) != 2 {
			t.Errorf("used %v: asked with %v, reports %+v", used, ask.PartTokens, grants)
		}
	}
}
