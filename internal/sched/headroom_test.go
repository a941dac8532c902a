package sched

import (
	"fmt"
	"testing"
	"time"

	"mimosafront/internal/message"
)

// runTime is how long each request of a headroomPool runs.
const runTime = time.Second

// headroomPool drives a pool of two fast and two slow servers.
type headroomPool struct {
	*Pool
	now     time.Time
	next    int
	running []Action
	ends    []time.Time
	// granted is the server of each granted request.
	granted map[string]string
}

func newHeadroomPool() *headroomPool {
	h := &headroomPool{Pool: newTestPool(0, 0), now: start, granted: map[string]string{}}
	var servers []Server
	for i, scale := range []float64{4, 1, 4, 1} {
		servers = append(servers, Server{
			Name: fmt.Sprint("s", i), Hardware: fmt.Sprint("g", scale), PrefillTokensPerS: 1000 * scale,
			DecodeTokensPerS: 200 * scale, TokensInFlight: int(1000 * scale), MaxRequests: 64,
		})
	}
	h.SetServers(h.now, servers)
	return h
}

func (h *headroomPool) send(organisation string, tier int) string {
	h.next++
	id := fmt.Sprint(organisation, h.next)
	h.Add(h.now, Request{
		ID: id, Organisation: organisation, Tier: tier, PromptTokens: 200, OutputTokens: 50, Deadline: h.now.Add(time.Hour),
	})
	h.collect()
	return id
}

// collect records the grants and reports their first tokens immediately.
func (h *headroomPool) collect() {
	for _, a := range h.TakeActions() {
		if a.Kind == ActionGrant {
			h.granted[a.Request.ID] = a.Server
			h.running, h.ends = append(h.running, a), append(h.ends, h.now.Add(runTime))
			h.Progress(h.now, a.Grant, Progress{OutputTokens: 1, FirstToken: 50 * time.Millisecond})
		}
	}
}

// overload makes the given number of large organisations send more than the servers can
// run, and calls each at every tick.
func (h *headroomPool) overload(t *testing.T, large int, lasts time.Duration, each func(tick int)) {
	t.Helper()
	for tick := range int(lasts / maxTickInterval) {
		for range 4 {
			h.send(fmt.Sprint("large", h.next%large, "-"), 1)
		}
		each(tick)
		h.now = h.now.Add(maxTickInterval)
		for len(h.ends) > 0 && !h.ends[0].After(h.now) {
			a := h.running[0]
			h.running, h.ends = h.running[1:], h.ends[1:]
			h.Release(h.now, a.Grant, Result{Outcome: message.ReleaseOutcomeFinished, PromptTokens: 200, OutputTokens: 50, Total: runTime})
			h.collect()
		}
		h.Tick(h.now)
		h.collect()
	}
	if h.queue.waiting == 0 {
		t.Fatal("nothing waits: the pool is not overloaded")
	}
}

// While large organisations overload the pool, requests of a small one in the same tier
// must start immediately on a fast server.
func TestSmallOrganisationStartsAtOnceOnAFastServer(t *testing.T) {
	for _, large := range []int{1, 2, 6} {
		h := newHeadroomPool()
		h.Tick(h.now)
		if h.queue.tiers[0].exhausted {
			t.Fatal("an idle pool is exhausted")
		}
		h.overload(t, large, 12*time.Second, func(tick int) {
			// With three at once, the organisation is not the first in the order.
			for i := 0; i < 3 && tick%40 == 39; i++ {
				server := h.granted[h.send("small", 1)]
				if learned := tick > 70; learned && server != "s0" && server != "s2" {
					t.Errorf("%d large, tick %d: the small organisation was granted on %q, want a fast server immediately", large, tick, server)
				}
			}
		})
		if server, granted := h.granted[h.send("new", 2)]; granted {
			t.Errorf("%d large: a new organisation of a lower tier was granted on %s before waiting requests", large, server)
		}
	}
}

// Servers must not stay lightly loaded for organisations that no longer send requests.
func TestHeadroomEndsWhenOthersStopSending(t *testing.T) {
	for _, other := range []struct {
		organisation string
		tier         int
		gone         time.Duration
	}{{"large0-", 1, maxTickInterval}, {"small", 0, 0}, {"small", 2, maxTickInterval}, {"small", 1, maxHeadroomTime}} {
		h := newHeadroomPool()
		h.overload(t, 1, 4*time.Second, func(int) { h.send(other.organisation, other.tier) })
		h.overload(t, 1, other.gone, func(int) {})
		for _, s := range h.servers {
			if len(s.grants) < s.requestLimit && s.tokens+250 <= s.tokenLimit {
				t.Errorf("%v: %s has %d of %d tokens in flight while requests wait", other, s.Name, s.tokens, s.tokenLimit)
			}
		}
	}
}

// Headroom must be withheld only from requests of its tiers that are over their share, and
// not at their latest start or where lower work was revoked.
func TestHeadroomByTier(t *testing.T) {
	h := newHeadroomPool()
	s := h.servers[0]
	h.SetServers(h.now, []Server{s.Server})
	s.headroomTiers = tiersFrom(1)
	h.send("small", 1)
	s.grants[0].hasFirstToken, s.prefill = false, 200
	waiterOf := func(organisation string, tier int) *waiter {
		w := h.newWaiter(Request{Organisation: organisation, Tier: tier, PromptTokens: 250, Deadline: h.now.Add(time.Hour)})
		w.caller = h.queue.organisation(tier, organisation).caller("")
		w.caller.organisation.overShare = organisation == "large"
		return w
	}
	lower := waiterOf("large", 2)
	for name, c := range map[string]struct {
		w, reservedFor *waiter
		late, want     bool
	}{
		"over its share":                      {w: waiterOf("large", 1)},
		"over its share, in a lower tier":     {w: lower},
		"at its latest start":                 {w: waiterOf("large", 1), late: true, want: true},
		"where lower work was revoked for it": {w: lower, reservedFor: lower, want: true},
		"where lower work was revoked":        {w: waiterOf("large", 1), reservedFor: lower, want: true},
		"headroom of a lower tier":            {w: waiterOf("large", 0), want: true},
		"under its share":                     {w: waiterOf("small", 1), want: true},
	} {
		s.reservedFor = c.reservedFor
		h.refreshAll(h.now)
		if _, got := h.bestPlacement(h.now, c.w, c.late); got != c.want {
			t.Errorf("%s: granted %v, want %v", name, got, c.want)
		}
	}
}
