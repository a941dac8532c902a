package coordinator

import (
	"fmt"
	"testing"
	"time"

	"mimosafront/internal/message"
	"mimosafront/internal/sched"
)

// longAsk returns an ask for a prompt whose first 6,000 tokens are shared.
func longAsk(number int) *message.Ask {
	a := askWithParts(number, sharedPart)
	a.PromptTokens, a.PartTokens = 6100, []int{6000, 100}
	return a
}

// newWeighingState is newState with prefixes weighed, or not.
func newWeighingState(t *testing.T, weighing bool) *State {
	s := newState(t, "e1", "lisbon-a")
	s.config.Scheduler.PrefixWeighing = weighing
	s.SetOwned(start, nil)
	s.SetOwned(start, []message.Pool{pool})
	s.SetFronts(start, nil)
	s.TakeDecisions()
	return s
}

// grantInputs returns the inputs of the last grant.
func grantInputs(s *State) (inputs Inputs) {
	for _, d := range s.TakeDecisions() {
		if d.Kind == DecisionGrant {
			inputs = d.Inputs
		}
	}
	return inputs
}

func TestPartLengthsAreWeighedWhereSettingsAskForIt(t *testing.T) {
	for _, c := range []struct {
		name     string
		weighing bool
		change   func(a *message.Ask)
		saved    int
	}{
		{"weighed", true, func(*message.Ask) {}, 6000},
		{"off", false, func(*message.Ask) {}, 0},
		{"no lengths from an older host", true, func(a *message.Ask) { a.PartTokens = nil }, 0},
		{"lengths that don't match", true, func(a *message.Ask) { a.PartTokens = []int{6000} }, 0},
		{"lengths beyond the prompt", true, func(a *message.Ask) { a.PromptTokens, a.PartTokens = 500, []int{1 << 40, -1} }, 500},
	} {
		s := newWeighingState(t, c.weighing)
		for number := range 2 {
			a := longAsk(number)
			c.change(a)
			g := send(s, start, "e2", a).Grant
			if g == nil {
				t.Fatalf("%s: ask %d got no grant", c.name, number)
			}
			inputs := grantInputs(s)
			if prefixes := s.pools[pool].entries[a.Request].request.Prefixes; (len(prefixes) > 0) != (c.saved > 0) {
				t.Errorf("%s: the request has prefixes %v", c.name, prefixes)
			}
			if number == 1 && inputs.SavedTokens != c.saved {
				t.Errorf("%s: %d tokens are expected to be saved, want %d", c.name, inputs.SavedTokens, c.saved)
			}
			release(s, start.Add(time.Second), "e2", g, message.ReleaseOutcomeFinished)
		}
	}
}

func TestSuccessorLearnsPrefixesFromReports(t *testing.T) {
	s := newWeighingState(t, true)
	server := s.policy.PoolServers(pool)[0].Name
	s.Handle(start, "e2", &message.Frame{Heartbeat: &message.Heartbeat{Host: "e2", Reports: true, Grants: []message.HeldGrant{{
		Grant: "g9", Request: "r9", Pool: pool, Server: server, Organisation: "aurora", Caller: "aurora-crew-1",
		PromptTokens: 6100, OutputTokens: 3, ExpectedTokens: 50, Parts: longAsk(9).Parts, PartTokens: []int{6000, 100},
	}}}})
	r := s.withParts(newRequest(start, "e2", longAsk(1)), longAsk(1).Parts, []int{6000, 100})
	if s.pools[pool].sched.PrefixSaving(&r) == 0 {
		t.Error("the prefix of a restored grant is unknown")
	}
}

// Guards against moves to another zone that cost more than they gain, since the servers
// there don't hold the prompt, and against prompts that never move because they are held.
func TestMoveIsWeighedAgainstThePrefix(t *testing.T) {
	for _, c := range []struct {
		name    string
		held    bool
		backlog int
		moves   bool
	}{{"nothing held", false, 90, true}, {"held, short queue", true, 90, false}, {"held, long queue", true, 400, true}} {
		s := newWeighingState(t, true)
		if c.held {
			release(s, start.Add(time.Second), "e2", send(s, start, "e2", longAsk(0)).Grant, message.ReleaseOutcomeFinished)
		}
		now := start.Add(2 * time.Second)
		for i, waiting := 0, 0; waiting < c.backlog; i++ {
			a := ask(fmt.Sprintf("run%04d", i))
			a.Tier = 0
			if send(s, now, "e2", a).Grant == nil {
				waiting++
			}
		}
		s.SetSiblings(now, map[message.Pool][]string{pool: {"e9"}})
		send(s, now, "e2", longAsk(1))
		e := s.pools[pool].entries["r1"]
		deliverDigest(s, now, 1, 1_000_000)
		later := now.Add(s.digestInterval)
		moved := false
		s.pools[pool].sched.EachWaiting(func(w sched.WaitingRequest) bool {
			if w.ID == "r1" {
				moved = s.moveRequest(later, e, &w, s.sampleSiblings(later, e.pool), false)
			}
			return true
		})
		if moved != c.moves {
			t.Errorf("%s: moved %v, want %v", c.name, moved, c.moves)
		}
	}
}
