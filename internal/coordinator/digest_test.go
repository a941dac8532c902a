package coordinator

import (
	"fmt"
	"testing"
	"time"

	"mimosafront/internal/message"
)

func TestDigestsRedirectWithoutHerdingAndShareUsage(t *testing.T) {
	a, b := newState(t, "e1", "lisbon-a"), newState(t, "e2", "lisbon-b")
	poolB := message.Pool{Zone: "lisbon-b", Target: pool.Target}
	a.SetSiblings(start, map[message.Pool][]string{pool: {"e2"}})
	b.SetSiblings(start, map[message.Pool][]string{poolB: {"e1"}})
	exchange := func(now time.Time) (bytes int) {
		b.Tick(now)
		for _, o := range b.TakeOutput() {
			a.Handle(now, "e2", &o.Frame)
		}
		return bytes
	}
	exchange(start)
	redirected := 0
	for i := range 2000 {
		r := ask(fmt.Sprint("r", i))
		r.PromptTokens, r.OutputTokens = 900, 100
		if f := send(a, start, "e3", r); f.Redirect != nil {
			redirected++
			if f.Redirect.Zone != "lisbon-b" {
				t.Fatalf("redirected to %q", f.Redirect.Zone)
			}
		}
	}
	// The free capacity of lisbon-b takes 128 requests. After that, asks are split
	// about evenly between the queues of both zones.
	if redirected < 128 || redirected > 1100 {
		t.Errorf("%d of 2000 asks were redirected, want the load split between the zones", redirected)
	}
	again := ask("again")
	again.Redirected = true
	if f := send(a, start, "e3", again); f.Redirect != nil {
		t.Error("a redirected ask was redirected again")
	}
	use := func(id string) {
		r := ask(id)
		r.Pool, r.Organisation = poolB, "tejo"
		release(b, start, "e4", send(b, start, "e4", r).Grant, message.ReleaseOutcomeFinished)
	}
	use("u1")
	exchange(start.Add(4 * time.Second))
	use("u2")
	exchange(start.Add(8 * time.Second))
	if charged := a.pools[pool].siblings["e2"].servedTokens; len(charged) != 1 {
		t.Errorf("usage at the sibling is %v, want only tejo's", charged)
	}
}

func TestDigestsAreBoundedInRate(t *testing.T) {
	s := newState(t, "e1", "lisbon-a")
	var hosts []string
	for i := range 40 {
		hosts = append(hosts, fmt.Sprint("s", i))
	}
	s.SetSiblings(start, map[message.Pool][]string{pool: hosts})
	digests := 0
	for i := range 600 {
		now := start.Add(time.Duration(i) * 50 * time.Millisecond)
		for range i % 3 {
			a := ask(fmt.Sprint("r", i, "-", digests))
			a.PromptTokens = 3000 * (1 + i%7)
			send(s, now, "e2", a)
		}
		s.Tick(now)
		for _, o := range s.TakeOutput() {
			if o.Frame.Digest != nil {
				digests++
			}
		}
	}
	if digests < 40 || digests > 320 {
		t.Errorf("%d digests to 40 siblings in 30 s, want at least 40 and at most 320", digests)
	}
}

func TestRedirectedPoolsSendDigestsSooner(t *testing.T) {
	for _, redirected := range []bool{false, true} {
		s := newState(t, "e1", "lisbon-a")
		var hosts []string
		for i := range 10 {
			hosts = append(hosts, fmt.Sprint("s", i))
		}
		s.SetSiblings(start, map[message.Pool][]string{pool: hosts})
		s.Tick(start)
		s.TakeOutput()
		for i := range 20 {
			a := ask(fmt.Sprint("r", i))
			a.PromptTokens, a.Redirected = 3000, redirected
			send(s, start, "e2", a)
		}
		digestsSent := func(after time.Duration) int {
			s.Tick(start.Add(after))
			return len(s.TakeOutput())
		}
		if sooner, later := digestsSent(minDigestInterval) > 0, digestsSent(2*minDigestInterval) > 0; sooner != redirected || later == redirected {
			t.Errorf("redirected %v: digests after one interval %v, after two %v", redirected, sooner, later)
		}
	}
}
