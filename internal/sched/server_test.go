package sched

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"mimosafront/internal/message"
)

func TestLimitIncreasesOnTargetAndDecreasesOffTarget(t *testing.T) {
	l := newLimit(1000, 0)
	for range 4 {
		l.observe(0.5, 1, int(l.current), 0)
	}
	if l.tokens(0) != 1200 {
		t.Errorf("limit after four increases is %d, want 1200", l.tokens(0))
	}
	l.observe(0.5, 1, 10, 0)
	if l.tokens(0) != 1200 {
		t.Errorf("limit of an idle server changed to %d", l.tokens(0))
	}
	l.observe(1.05, 1, 1200, 0)
	if l.tokens(0) != 1080 {
		t.Errorf("limit after a window off target is %d, want 1080", l.tokens(0))
	}
	l.observe(1.05, 0.8, 1080, 0)
	if l.tokens(0) <= 1080 {
		t.Errorf("limit shrank to %d although the efficiency had fallen by a fifth", l.tokens(0))
	}
	before := l.tokens(0)
	l.observe(4, 1, before, 0)
	if l.tokens(0) != before/2 {
		t.Errorf("limit far off target changed from %d to %d, want half", before, l.tokens(0))
	}
	for range 100 {
		l.observe(1.05, 1, int(l.current), 0)
	}
	if l.tokens(0) != 125 {
		t.Errorf("limit after long congestion is %d, want 125", l.tokens(0))
	}
}

func TestStreamsFollowTheGapTarget(t *testing.T) {
	l := newLimit(1000, 10)
	l.observe(2, 1, 0, 10)
	if l.requests() != 5 {
		t.Errorf("%d streams after a window at twice the gap, want 5 of 10", l.requests())
	}
	l.observe(0.5, 1, 0, 1)
	if l.requests() != 5 {
		t.Errorf("%d streams after a window with one stream, want 5", l.requests())
	}
	for range 10 {
		l.observe(0.5, 1, 0, l.requests())
	}
	if l.requests() != 10 {
		t.Errorf("%d streams after ten busy windows on target, want 10", l.requests())
	}
	for range 100 {
		l.observe(2, 1, 0, l.requests())
	}
	if l.requests() != 1 {
		t.Errorf("%d streams after long congestion, want 1", l.requests())
	}
}

func TestInitialStreamLimitFitsGapTarget(t *testing.T) {
	p := newTestPool(1, 1_000_000)
	for i := range 64 {
		p.Add(start, request(fmt.Sprint("r", i), 0, 10, time.Hour))
	}
	if free := p.Load(start).FreeTokens; free != 0 {
		t.Errorf("%d tokens are free at the stream limit, want none", free)
	}
	share := float64(len(p.grants)) / p.servers[0].DecodeTokensPerS / p.config.GapTarget.Seconds()
	if share < 0.25 || share > 0.5 {
		t.Errorf("one token of each of %d streams takes %.2f of the gap target, want a quarter to a half", len(p.grants), share)
	}
}

// A long prefill delays the streams of its server, so it is placed where few run.
func TestLongPrefillAvoidsServersWithManyStreams(t *testing.T) {
	p := newTestPool(0, 0)
	p.SetServers(start, []Server{
		{Name: "fast", PrefillTokensPerS: 16000, DecodeTokensPerS: 3000, TokensInFlight: 100_000, MaxRequests: 64},
		{Name: "slow", PrefillTokensPerS: 4000, DecodeTokensPerS: 700, TokensInFlight: 100_000, MaxRequests: 64},
	})
	place := func(id string, prompt int) string {
		r := request(id, 0, prompt, time.Hour)
		r.OutputTokens = 100
		p.Add(start, r)
		return p.TakeActions()[0].Server
	}
	if server := place("alone", 500); server != "fast" {
		t.Errorf("a long prompt was placed on the %s server of two idle ones", server)
	}
	for i := range 20 {
		place(fmt.Sprint("short", i), 10)
	}
	before := len(p.byName["fast"].grants)
	if server := place("long", 500); server != "slow" {
		t.Errorf("a long prompt was placed on the %s server, beside %d streams", server, before)
	}
	if server := place("short", 10); server != "fast" {
		t.Errorf("a short prompt was placed on the %s server, want the fast one", server)
	}
}

func TestDelayedLoadReportCountsOnlyForeignTokens(t *testing.T) {
	l := newLimit(1000, 0)
	l.trackPeak(start, 800)
	l.trackPeak(start.Add(time.Second), 100)
	l.report(start.Add(time.Second), LoadReport{TokensInFlight: 800, Running: 4})
	if foreign := l.foreignAt(start.Add(time.Second)); foreign != 0 {
		t.Errorf("a delayed report of own work counts as %d foreign tokens", foreign)
	}
	l.report(start.Add(2*time.Second), LoadReport{TokensInFlight: 1100, Running: 4})
	if foreign := l.foreignAt(start.Add(2 * time.Second)); foreign != 300 {
		t.Errorf("foreign tokens are %d, want 300", foreign)
	}
	if foreign := l.foreignAt(start.Add(2*time.Second + reportTTL)); foreign != 0 {
		t.Errorf("an old report still counts as %d foreign tokens", foreign)
	}
}

// serveRound ends the running requests, with the given time between tokens, and adds one
// request for each server.
func serveRound(p *Pool, now time.Time, gap func(server string) time.Duration) {
	ids := make([]string, 0, len(p.grants))
	for id := range p.grants {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		g := p.grants[id]
		took := now.Sub(g.grantedAt)
		p.Release(now, id, Result{
			Outcome: message.ReleaseOutcomeFinished, PromptTokens: 10,
			OutputTokens: 1 + int(took/gap(g.server.Name)), FirstToken: time.Millisecond, Total: took,
		})
	}
	for i := range p.servers {
		p.Add(now, Request{
			ID: fmt.Sprint(now.UnixNano(), "-", i), Host: "e1", Organisation: "a", PromptTokens: 10, OutputTokens: 100,
			Deadline: now.Add(time.Hour),
		})
	}
	p.TakeActions()
}

func state(p *Pool, server string) string { return p.byName[server].health.state.String() }

func TestStragglerIsEjectedProbedAndReadmitted(t *testing.T) {
	p := newTestPool(4, 110)
	now, slow := start, true
	gap := func(server string) time.Duration {
		if server == "s1" && slow {
			return 100 * time.Millisecond
		}
		return 5 * time.Millisecond
	}
	run := func(seconds int) {
		for range seconds * 2 {
			for range 5 {
				now = now.Add(100 * time.Millisecond)
				p.HostSeen(now, "e1")
				p.Tick(now)
			}
			serveRound(p, now, gap)
		}
	}
	run(30)
	if got := state(p, "s1"); got != "ejected" && got != "probation" {
		t.Fatalf("the straggler is %s, want ejected or on probation", got)
	}
	for _, server := range []string{"s0", "s2", "s3"} {
		if got := state(p, server); got != "healthy" {
			t.Errorf("%s is %s, want healthy", server, got)
		}
	}
	slow = false
	run(60)
	if got := state(p, "s1"); got != "healthy" {
		t.Errorf("the server that recovered is %s, want healthy", got)
	}
}

func TestStalledStreamsEjectServer(t *testing.T) {
	p := newTestPool(3, 1000)
	now := start
	for i := range 12 {
		p.Add(now, Request{ID: fmt.Sprint("r", i), Host: "e1", PromptTokens: 100, OutputTokens: 100, Deadline: now.Add(time.Hour)})
	}
	granted := p.TakeActions()
	const interval = 50 * time.Millisecond
	for i := range 11 + int((stallTime+time.Second/2)/interval) {
		now = now.Add(interval)
		for _, a := range granted {
			if a.Server == "s2" && i > 10 {
				continue
			}
			p.Progress(now, a.Grant, Progress{OutputTokens: i + 1, FirstToken: 10 * time.Millisecond, Gap: 10 * time.Millisecond})
		}
		p.HostSeen(now, "e1")
		p.Tick(now)
	}
	if got := state(p, "s2"); got != "ejected" {
		t.Errorf("s2, whose streams are stalled, is %s, want ejected", got)
	}
}

func TestEjectedShareIsBounded(t *testing.T) {
	p := newTestPool(6, 1000)
	for _, s := range p.servers {
		p.eject(start, s, "test")
	}
	out := 0
	for _, s := range p.servers {
		if s.health.state == ejected {
			out++
		}
	}
	if out != 2 {
		t.Errorf("%d of 6 servers are ejected, want 2", out)
	}
	single := newTestPool(1, 1000)
	if single.eject(start, single.servers[0], "test"); state(single, "s0") != "healthy" {
		t.Error("the only server was ejected")
	}
}

func TestFailedConnectionMarksServerDown(t *testing.T) {
	p := newTestPool(1, 1000)
	p.Add(start, request("r0", 0, 10, time.Hour))
	p.Release(start, p.TakeActions()[0].Grant, Result{Outcome: message.ReleaseOutcomeConnectFailed})
	expectActions(t, p, "eject ")
	p.Add(start, request("r1", 0, 10, time.Hour))
	expectActions(t, p, "refuse r1 no_server")
	p.Tick(start.Add(baseOutage))
	p.Add(start.Add(baseOutage), request("r2", 0, 10, time.Hour))
	expectActions(t, p, "grant r2")
}

// Requests with a cached prefix must not all be placed on the server that caches it.
func TestPrefixAffinityIsBoundedByLoad(t *testing.T) {
	p := newTestPool(2, 10000)
	ask := func(id string) string {
		r := request(id, 0, 2000, time.Hour)
		r.Prefixes = []uint64{1, 2, 3}
		p.Add(start, r)
		return p.TakeActions()[0].Server
	}
	first := ask("r0")
	p.Release(start, p.grantByRequest["r0"].id, Result{Outcome: message.ReleaseOutcomeFinished, PromptTokens: 2000})
	counts := map[string]int{}
	if again := ask("r1"); again != first {
		t.Errorf("a request with the same prefix was placed on %s, want %s", again, first)
	}
	for i := range 8 {
		counts[ask(fmt.Sprint("q", i))]++
	}
	if len(counts) != 2 {
		t.Errorf("all requests with one prefix were placed on one server: %v", counts)
	}
}

func TestPrefixIndexIsBounded(t *testing.T) {
	x := newPrefixIndex()
	s := &server{}
	for i := range uint64(3 * maxCachedPrefixes) {
		x.add(s, []uint64{i})
	}
	if len(x.holders) != maxCachedPrefixes {
		t.Errorf("%d prefixes are recorded, want %d", len(x.holders), maxCachedPrefixes)
	}
	if hits := x.find([]uint64{3*maxCachedPrefixes - 1, 1}).hitsOn(s); hits != 1 {
		t.Errorf("%d leading prefixes found, want 1", hits)
	}
	if x.purge(s); len(x.holders) != 0 {
		t.Errorf("%d prefixes of a purged server are left", len(x.holders))
	}
}

func TestSuspectsRunOnePerServer(t *testing.T) {
	p := newTestPool(1, 10000)
	for i := range 2 {
		r := request(fmt.Sprint("r", i), 0, 10, time.Hour)
		r.Suspect = true
		p.Add(start, r)
	}
	p.Add(start, request("innocent", 0, 10, time.Hour))
	expectActions(t, p, "grant r0, grant innocent")
}
