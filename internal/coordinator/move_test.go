package coordinator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"mimosafront/internal/message"
	"mimosafront/internal/sched"
)

func TestMoveGainAndCause(t *testing.T) {
	const cost = 500 * time.Millisecond
	candidate := moveCandidate{tier: 1, tokens: 1000, wait: 4 * time.Second, timeLeft: 20 * time.Second}
	load := func(free int, tiers ...sched.TierLoad) sched.Load {
		return sched.Load{FreeTokens: free, Servers: 1, TokensPerSecond: 1000, Tiers: tiers}
	}
	queue := func(tier int, wait time.Duration) sched.TierLoad {
		return sched.TierLoad{Tier: tier, WaitingTokens: 1, Wait: wait, RunningTokens: 5000}
	}
	running := func(tier int) sched.TierLoad { return sched.TierLoad{Tier: tier, RunningTokens: 5000} }
	tests := []struct {
		name   string
		change func(c *moveCandidate, target *moveTarget)
		load   sched.Load
		gain   time.Duration
		cause  RedirectCause
	}{
		{"room", nil, load(1000), 3500 * time.Millisecond, redirectFreeCapacity},
		{"free capacity that pending requests use", func(_ *moveCandidate, target *moveTarget) { target.pendingTokens = 1500 }, load(2000, running(1)), time.Second, redirectShorterWait},
		{"overtaken in the queue for long", func(c *moveCandidate, _ *moveTarget) { c.wait, c.waited = 0, 2*time.Second }, load(1000), 1500 * time.Millisecond, redirectFreeCapacity},
		{"only lower tiers run", nil, load(0, running(2)), 2500 * time.Millisecond, redirectLowerTiers},
		{"lower tiers run but the same tier waits", nil, load(0, queue(1, time.Second), running(2)), 1500 * time.Millisecond, redirectShorterWait},
		{"a queue of a lower tier", nil, load(0, queue(2, 9*time.Second)), 2500 * time.Millisecond, redirectLowerTiers},
		{"a queue of about the same length", nil, load(0, queue(0, 3*time.Second)), -500 * time.Millisecond, redirectShorterWait},
		{"free capacity that a waiting request can't use", nil, load(9000, queue(1, 3*time.Second)), -500 * time.Millisecond, redirectShorterWait},
		{"too late there", func(c *moveCandidate, _ *moveTarget) { c.timeLeft = 1400 * time.Millisecond }, load(0, running(1)), 0, ""},
		{"no server here", func(c *moveCandidate, _ *moveTarget) { c.noServer, c.wait = true, 0 }, load(0, queue(1, 10*time.Second)), 8500 * time.Millisecond, redirectNoServer},
		{"slower servers there", func(c *moveCandidate, _ *moveTarget) { c.runTime, c.serverSpeed = 2*time.Second, 3000 }, load(1000), -500 * time.Millisecond, redirectFreeCapacity},
		{"faster servers there", func(c *moveCandidate, _ *moveTarget) { c.runTime, c.serverSpeed = 2*time.Second, 500 }, load(1000), 4500 * time.Millisecond, redirectFreeCapacity},
		{"no speed there", nil, sched.Load{FreeTokens: 1000, Servers: 1}, 0, ""},
	}
	for _, test := range tests {
		c, target := candidate, moveTarget{load: test.load, cost: cost}
		if test.change != nil {
			test.change(&c, &target)
		}
		if gain, cause := target.evaluate(&c); gain != test.gain || gain > 0 && cause != test.cause {
			t.Errorf("%s: gain %s for %q, want %s for %q", test.name, gain, cause, test.gain, test.cause)
		}
	}
}

// newStateWithQueue returns a coordinator with full servers, n waiting requests in each
// of two tiers, and a sibling in lisbon-b.
func newStateWithQueue(t *testing.T, n int) *State {
	t.Helper()
	s := newState(t, "e1", "lisbon-a")
	for i := 0; ; i++ {
		a := ask(fmt.Sprintf("run%03d", i))
		a.Tier = 3
		if send(s, start, "e2", a).Grant == nil {
			break
		}
	}
	for i := range n {
		for tier := range 2 {
			a := ask(fmt.Sprintf("tier%d-%03d", tier+1, i))
			a.Tier, a.WaitedMs = tier+1, n-i
			send(s, start, "e2", a)
		}
	}
	s.SetSiblings(start, map[message.Pool][]string{pool: {"e9"}})
	s.Tick(start)
	s.TakeDecisions()
	return s
}

// waitingInTier returns the waiting requests of a tier, oldest first.
func waitingInTier(s *State, tier int) (requests []string) {
	for _, e := range sortedEntries(s.pools[pool].entries) {
		if e.request.Tier == tier && e.grant == "" {
			requests = append(requests, e.request.ID)
		}
	}
	return requests
}

// deliverDigest delivers a digest of the sibling in lisbon-b with the given free
// tokens.
func deliverDigest(s *State, now time.Time, sequence, free int) {
	s.Handle(now, "e9", &message.Frame{Digest: &message.Digest{
		Pool: message.Pool{Zone: "lisbon-b", Target: pool.Target}, Host: "e9", Incarnation: 1, Sequence: sequence,
		Servers: 4, FreeTokens: free, TokensPerSecond: 10000,
	}})
}

// takeRedirected returns the waiting requests that were redirected since the last call.
func takeRedirected(s *State) (requests []string) {
	for _, o := range s.TakeOutput() {
		if r := o.Frame.Redirect; r != nil && r.Kept {
			requests = append(requests, r.Request)
		}
	}
	return requests
}

// stopServers marks all servers of the pool as leaving, so that they get no new work.
func stopServers(s *State, now time.Time) {
	leaving := map[string]bool{}
	for _, server := range s.policy.PoolServers(pool) {
		leaving[server.Name] = true
	}
	s.SetLeaving(now, leaving)
}

func TestHighestTierMovesFirstAndAFewAtOnce(t *testing.T) {
	s := newStateWithQueue(t, 20)
	now := start.Add(time.Second)
	stopServers(s, now)
	deliverDigest(s, now, 1, 100_000)
	s.TakeOutput()
	s.Tick(now)
	first := takeRedirected(s)
	if want := waitingInTier(s, 1)[:2*maxMovesPerCheck]; !slices.Equal(first, want[:maxMovesPerCheck]) {
		t.Fatalf("moved %v first, want those of %v", first, want)
	}
	s.Tick(now.Add(moveInterval / 2))
	if more := takeRedirected(s); len(more) > 0 {
		t.Errorf("moved %v before the next check", more)
	}
	s.Tick(now.Add(moveInterval))
	if more := takeRedirected(s); !slices.Equal(more, waitingInTier(s, 1)[maxMovesPerCheck:2*maxMovesPerCheck]) {
		t.Errorf("moved %v next, want the next %d", more, maxMovesPerCheck)
	}
	for _, d := range s.TakeDecisions() {
		if d.Kind == DecisionRedirect && (d.Cause != redirectNoServer || d.Zone != "lisbon-b") {
			t.Errorf("decision %+v, want a move to lisbon-b for no_server", d)
		}
	}
}

func TestMovesStopAtReportedFreeCapacity(t *testing.T) {
	s := newStateWithQueue(t, 20)
	deliverDigest(s, start, 1, 1000)
	now := start.Add(time.Second)
	moved := 0
	for range 8 {
		now = now.Add(moveInterval)
		s.Tick(now)
		for _, d := range s.TakeDecisions() {
			if d.Cause == redirectFreeCapacity {
				moved++
			}
		}
	}
	if moved > 6 {
		t.Errorf("%d requests of 150 tokens moved to free capacity of 1000 tokens", moved)
	}
}

func TestRequestsThatMayNotMove(t *testing.T) {
	now := start.Add(3 * time.Second)
	for name, change := range map[string]func(*entry, *sched.WaitingRequest){
		"bound to a server":        func(_ *entry, w *sched.WaitingRequest) { w.Server = "s" },
		"lower tiers were revoked": func(_ *entry, w *sched.WaitingRequest) { w.AwaitsRevocation = true },
		"a suspect":                func(e *entry, _ *sched.WaitingRequest) { e.suspect = true },
		"moved often":              func(e *entry, _ *sched.WaitingRequest) { e.moves = maxRequestMoves },
		"just redirected here":     func(e *entry, _ *sched.WaitingRequest) { e.redirected, e.queuedAt = true, now.Add(-minMoveStay/2) },
		"just redirected away":     func(e *entry, _ *sched.WaitingRequest) { e.redirectSentAt = now.Add(-moveRetryInterval / 2) },
	} {
		e, w := &entry{queuedAt: start}, &sched.WaitingRequest{}
		if !e.movable(now, w, false) {
			t.Fatal("a plain request can't move")
		}
		if change(e, w); e.movable(now, w, false) {
			t.Errorf("%s: may move", name)
		}
	}
}

func TestRedirectedRequestWaitsUntilWithdrawn(t *testing.T) {
	s := newStateWithQueue(t, 20)
	first := waitingInTier(s, 1)[0]
	now := start.Add(time.Second)
	stopServers(s, now)
	deliverDigest(s, now, 1, 1_000_000)
	waits := func() bool { return s.pools[pool].sched.IsWaiting(first) }
	s.Tick(now)
	if len(takeRedirected(s)) == 0 || !waits() {
		t.Fatal("want redirections, and the request still in the queue")
	}
	s.Handle(now, "e2", &message.Frame{Withdraw: &message.Withdraw{Request: first, Attempt: 1, Pool: pool}})
	if waits() {
		t.Error("the request waits after its withdrawal")
	}
}
