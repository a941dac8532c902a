package sched

import (
	"testing"
	"time"

	"mimosafront/internal/message"
)

// At a crest the fast server is full and the slow one idle. Requests that would meet their
// first-token target on either wait for the places on the fast server that become free
// next, the urgent one first. The slow server is used by the request whose turn on the fast
// one is far away, and once a request can no longer wait.
func TestRequestsWaitForNextPlaceOnFastServer(t *testing.T) {
	p := mixedSpeedPool()
	p.config.WaitForFaster = true
	fast, slow := p.servers[0].Name, p.servers[1].Name
	for i := range 2 {
		p.Add(start, requestWithTargets(i, 1000, start))
	}
	urgent := requestWithTargets(2, 1000, start)
	p.Add(start, urgent)
	if !p.IsWaiting("r2") {
		_, server, _ := p.GrantOf("r2")
		t.Fatalf("granted on %s, want it to wait for %s", server, fast)
	}
	const less = 20
	for i := range less {
		r := requestWithTargets(10+i, 1000, start)
		r.Tier = 1
		p.Add(start, r)
	}
	onSlow := 0
	for _, g := range p.grants {
		if g.server.Name == slow {
			onSlow++
			if g.tier == 0 {
				t.Errorf("the urgent request %s runs on %s", g.ID, slow)
			}
		}
	}
	if onSlow != 2 {
		t.Errorf("%d requests run on %s, want both its places used by lower work", onSlow, slow)
	}
	grant, _, _ := p.GrantOf("r0")
	p.Release(start.Add(30*time.Millisecond), grant, Result{Outcome: message.ReleaseOutcomeFinished, Total: 30 * time.Millisecond})
	if _, server, ok := p.GrantOf("r2"); !ok || server != fast {
		t.Errorf("the urgent request got %q, want the place on %s", server, fast)
	}
}

// A request that waited in vain for the fast server is granted on the slow one.
func TestWaitForFastServerEnds(t *testing.T) {
	p := mixedSpeedPool()
	p.config.WaitForFaster = true
	for i := range 3 {
		p.Add(start, requestWithTargets(i, 1000, start))
	}
	var granted time.Duration
	for passed := time.Duration(0); granted == 0 && passed < 2*time.Second; passed += 50 * time.Millisecond {
		p.Tick(start.Add(passed))
		if _, _, ok := p.GrantOf("r2"); ok {
			granted = passed
		}
	}
	if granted == 0 || granted > 600*time.Millisecond {
		t.Errorf("granted after %s, want it by its first-token target of 600 ms", granted)
	}
}
