package sched

import (
	"fmt"
	"testing"
	"time"

	"mimosafront/internal/message"
)

// mixedSpeedPool returns a pool with a fast and a slow server with two slots each. Their
// learned times to the first token are 10 ms and 400 ms plus 10 and 60 ms per 1,000
// prompt tokens.
func mixedSpeedPool() *Pool {
	p := newTestPool(2, 1_000_000)
	servers := make([]Server, 0, len(p.servers))
	for _, s := range p.servers {
		described := s.Server
		described.MaxRequests = 2
		servers = append(servers, described)
	}
	p.SetServers(start, servers)
	for range 300 {
		for tokens := 1000; tokens <= 8000; tokens += 1000 {
			p.servers[0].speed.observePrefill(tokens, 10*time.Millisecond+time.Duration(tokens)*10*time.Microsecond)
			p.servers[1].speed.observePrefill(tokens, 400*time.Millisecond+time.Duration(tokens)*60*time.Microsecond)
		}
	}
	p.estimate.refresh(p.servers)
	return p
}

func requestWithTargets(id, prompt int, now time.Time) Request {
	return Request{
		ID: fmt.Sprint("r", id), Organisation: "a", Caller: "c", PromptTokens: prompt, OutputTokens: 20,
		Arrived: now, Deadline: now.Add(10 * time.Second), FirstTarget: now.Add(600 * time.Millisecond),
		FirstLimit: now.Add(2400 * time.Millisecond), NonPreemptible: true,
	}
}

func TestFirstTokenFitLearnsBaseAndSpeed(t *testing.T) {
	p := mixedSpeedPool()
	for i, want := range []time.Duration{60 * time.Millisecond, 700 * time.Millisecond} {
		got := p.servers[i].speed.firstTokenTime(5000)
		if got < want*9/10 || got > want*11/10 {
			t.Errorf("server %d: first token of 5,000 tokens expected in %s, want %s", i+1, got, want)
		}
	}
}

// A burst of long prompts meets engines of different speeds. The slow one would miss the
// first-token target, so the last prompt must wait for the fast one.
func TestLongPromptWaitsForFastServer(t *testing.T) {
	p := mixedSpeedPool()
	for i := range 3 {
		p.Add(start, requestWithTargets(i, 5000, start))
	}
	on := map[string]int{}
	for _, g := range p.grants {
		on[g.server.Name]++
	}
	if fast := p.servers[0].Name; on[fast] != 2 || len(p.grants) != 2 {
		t.Fatalf("grants %v, want 2 on the fast server %s and one waiting", on, fast)
	}
	for id, g := range p.grants {
		if g.ID == "r0" {
			p.Release(start.Add(100*time.Millisecond), id, Result{Outcome: message.ReleaseOutcomeFinished})
		}
	}
	if _, server, ok := p.GrantOf("r2"); !ok || server != p.servers[0].Name {
		t.Errorf("the third prompt was granted on %q, want the fast server", server)
	}
}

// When no server can meet the first-token target any more, the slow server is used.
func TestLatePromptTakesSlowServer(t *testing.T) {
	p := mixedSpeedPool()
	for i := range 3 {
		p.Add(start, requestWithTargets(i, 5000, start))
	}
	p.Tick(start.Add(700 * time.Millisecond))
	if _, server, ok := p.GrantOf("r2"); !ok || server != p.servers[1].Name {
		t.Errorf("the late prompt was granted on %q, want the slow server", server)
	}
}

// A flood keeps all waiting requests beyond their first-token target. The next free slot
// must go to the request that can still be on time.
func TestOnTimeRequestIsServedBeforeLateOnes(t *testing.T) {
	p := mixedSpeedPool()
	for i := range 8 {
		p.Add(start, requestWithTargets(i, 100, start))
	}
	now := start.Add(time.Second)
	p.Add(now, requestWithTargets(100, 100, now))
	for id, g := range p.grants {
		if g.server == p.servers[0] {
			p.Release(now, id, Result{Outcome: message.ReleaseOutcomeFinished})
			break
		}
	}
	if _, _, ok := p.GrantOf("r100"); !ok {
		t.Error("a request past its first-token target was served before one that could be on time")
	}
}

// A request must not start after the first-token limit, at which its client gives up.
func TestRequestIsRefusedAfterFirstTokenLimit(t *testing.T) {
	p := mixedSpeedPool()
	for i := range 5 {
		p.Add(start, requestWithTargets(i, 100, start))
	}
	p.TakeActions()
	p.Tick(start.Add(2500 * time.Millisecond))
	refused := false
	for _, a := range p.TakeActions() {
		refused = refused || a.Kind == ActionRefuse && a.Request.ID == "r4"
	}
	if !refused || p.IsWaiting("r4") {
		t.Error("the request still waits after its first-token limit")
	}
}

// Running requests that are non-preemptible must not be revoked for a higher tier.
func TestNonPreemptibleGrantIsNotRevoked(t *testing.T) {
	for _, nonPreemptible := range []bool{true, false} {
		p := mixedSpeedPool()
		for i := range 4 {
			r := requestWithTargets(i, 100, start)
			r.Tier, r.NonPreemptible, r.FirstTarget = 2, nonPreemptible, time.Time{}
			p.Add(start, r)
		}
		p.TakeActions()
		urgent := requestWithTargets(9, 100, start)
		p.Add(start, urgent)
		for ms := range 25 {
			p.Tick(start.Add(time.Duration(100*ms) * time.Millisecond))
		}
		revoked := 0
		for _, a := range p.TakeActions() {
			if a.Kind == ActionRevoke {
				revoked++
			}
		}
		if nonPreemptible == (revoked > 0) {
			t.Errorf("non-preemptible %t: %d grants revoked", nonPreemptible, revoked)
		}
	}
}
