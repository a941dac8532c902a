package sched

import (
	"math"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// report sends a load report with foreign tokens in flight.
func (m *modelPool) report(t *rapid.T) {
	s := m.pool.servers[rapid.IntRange(0, len(m.servers)-1).Draw(t, "reporting")]
	m.pool.Report(m.now, s.Name, LoadReport{
		At: m.now, Running: 2, Waiting: rapid.IntRange(0, 3).Draw(t, "queued"),
		TokensInFlight: s.tokens + rapid.SampledFrom([]int{0, 0, 500, 1500}).Draw(t, "foreign"),
	})
	m.checkFree(t)
	m.pool.Tick(m.now) // a report takes effect at the next tick
}

// hint sends another coordinator's finding about a server.
func (m *modelPool) hint(t *rapid.T) {
	s := m.servers[rapid.IntRange(0, len(m.servers)-1).Draw(t, "hinted")]
	m.pool.Hint(m.now, s.Name, rapid.Bool().Draw(t, "healthy"), "reported")
	m.checkFree(t)
	m.pool.Tick(m.now)
}

// pause lets time pass without a tick.
func (m *modelPool) pause(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, int(maxTickInterval)).Draw(t, "passed")))
	m.checkFree(t)
	m.pool.Tick(m.now)
}

// progressOnly reports tokens between two ticks.
func (m *modelPool) progressOnly(t *rapid.T) {
	p := Progress{OutputTokens: rapid.IntRange(0, 3000).Draw(t, "delivered"), FirstToken: 30 * time.Millisecond}
	m.pool.Progress(m.now, m.grant(t).id, p)
	m.checkFree(t)
	m.pool.Tick(m.now)
}

// checkFree compares the incrementally refreshed free capacity with a full recomputation,
// and the placements derived from it with a scan of all servers.
func (m *modelPool) checkFree(t *rapid.T) {
	p := m.pool
	p.refreshFree(m.now)
	f := &p.free
	before := *f
	before.tokens, before.overShareTokens = slices.Clone(f.tokens), slices.Clone(f.overShareTokens)
	before.withinLimits, before.stale = slices.Clone(f.withinLimits), nil
	p.refreshAll(m.now)
	after := *f
	after.stale = nil
	if !reflect.DeepEqual(before, after) {
		t.Fatalf("refreshed free capacity is %+v, recomputed it is %+v", before, after)
	}
	for _, w := range p.queue.byID {
		got, _ := p.bestPlacement(m.now, w, false)
		if want := scanForBest(p, m.now, w); got.server != want {
			t.Fatalf("%s is placed on %v, by a scan of all servers on %v", w.ID, got.server, want)
		}
	}
	reserved := [MaxTiers]int{}
	for _, s := range p.servers {
		if s.reservedFor != nil {
			reserved[s.reservedFor.tier]++
		}
	}
	if reserved != p.reservedByTier {
		t.Fatalf("%v servers are reserved by tier, counted as %v", reserved, p.reservedByTier)
	}
}

// scanForBest chooses the server for a request by checking each one.
func scanForBest(p *Pool, now time.Time, w *waiter) *server {
	var best placement
	for _, s := range p.servers {
		idle := len(s.grants) == 0
		full := len(s.grants) >= s.requestLimit || !idle && (s.overcommitted || s.tokens+w.tokens > s.tokenLimit)
		if full || !p.accepts(s, w) || s.reservedForOther(w) || p.withheldByHeadroom(s, w) {
			continue
		}
		c := p.estimateOn(s, w, 0)
		if !p.missesDeadline(now, w, c, false) && (best.server == nil || p.score(c) < p.score(best)) {
			best = c
		}
	}
	return best.server
}

// The free capacity is refreshed only for servers marked as stale. It must equal a full
// recomputation, which fails if a change does not mark its server.
func TestFreeCapacityMatchesFullRecompute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModelPool(t)
		t.Repeat(map[string]func(*rapid.T){
			"add": m.add, "add more": m.add, "release": m.release, "progress": m.progress, "park": m.park,
			"withdraw": m.withdraw, "advance": m.advance, "leave": m.leave, "report": m.report, "hint": m.hint, "pause": m.pause,
			"progress without a tick": m.progressOnly,
			"":                        func(t *rapid.T) { m.checkFree(t); m.check(t) },
		})
	})
}

// A headroom server on which lower work was revoked must be usable by the request that
// reserved it, even if its organisation is over its share.
func TestReservedServerHasNoHeadroomBound(t *testing.T) {
	p := newTestPool(1, 1000)
	p.Add(start, request("low", 2, 700, time.Hour))
	s := p.servers[0]
	s.headroomTiers = ^tierSet(0)
	p.refreshAll(start)
	p.Add(start, request("high", 0, 900, time.Hour))
	p.revokeFor(p.queue.byID["high"])
	if p.refreshFree(start); s.reservedFor == nil || s.spareTokens != math.MaxInt {
		t.Errorf("a reserved server on which lower work was revoked has %d spare tokens, want no limit", s.spareTokens)
	}
	p.Withdraw(start, "high")
	if p.refreshFree(start); s.spareTokens == math.MaxInt {
		t.Error("a headroom server without a reservation has no limit for organisations over their share")
	}
}
