package sched

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mimosafront/internal/message"
)

var start = time.Unix(1_700_000_000, 0)

// maxTickInterval is the maximum time between two ticks in the tests.
const maxTickInterval = 60 * time.Millisecond

// modelPool drives a Pool as fronts do, and keeps its own record of waiting and running
// requests to check the pool's decisions against.
type modelPool struct {
	t       *rapid.T
	pool    *Pool
	now     time.Time
	next    int
	waiting map[string]Request
	running map[string]*modelGrant
	servers []Server
	// leaving names the servers that must get no new work.
	leaving map[string]bool
	// parkOrder numbers the requests in the order in which they were last parked.
	parkOrder map[string]int
	parkCount int
	// lastSent is when an organisation last sent a request of a tier.
	lastSent map[UsageKey]time.Time
}

type modelGrant struct {
	Request
	id, server string
	revoked    bool
}

func newModelPool(t *rapid.T) *modelPool {
	m := &modelPool{
		t: t, now: start, waiting: map[string]Request{}, running: map[string]*modelGrant{},
		leaving: map[string]bool{}, parkOrder: map[string]int{}, lastSent: map[UsageKey]time.Time{},
	}
	m.pool = NewPool(Config{
		MaxWaiting: rapid.IntRange(2, 12).Draw(t, "max waiting"), MaxWaitingTokens: 20000,
		FirstTokenTarget: 1600 * time.Millisecond, GapTarget: 33 * time.Millisecond, GrantPrefix: "g", WaitForFaster: true,
	})
	decode := rapid.SampledFrom([]float64{200, 1500}).Draw(t, "decode tokens/s")
	m.servers = make([]Server, rapid.IntRange(1, 4).Draw(t, "servers"))
	for i := range m.servers {
		m.servers[i] = Server{
			Name: fmt.Sprint("s", i), Hardware: "g", PrefillTokensPerS: 8000, DecodeTokensPerS: decode,
			TokensInFlight: 2000, MaxRequests: 8,
		}
	}
	m.pool.SetServers(m.now, m.servers)
	return m
}

// leave toggles whether a server is leaving.
func (m *modelPool) leave(t *rapid.T) {
	s := &m.servers[rapid.IntRange(0, len(m.servers)-1).Draw(t, "leaving")]
	s.Leaving = !s.Leaving
	m.leaving[s.Name] = s.Leaving
	m.pool.SetServers(m.now, m.servers)
}

func (m *modelPool) add(t *rapid.T) { m.pool.Add(m.now, m.newRequest(t)) }

// newRequest draws a request and records it as waiting.
func (m *modelPool) newRequest(t *rapid.T) Request {
	m.next++
	r := Request{
		ID: fmt.Sprint("r", m.next), Host: "e1", Tier: rapid.IntRange(0, 2).Draw(t, "tier"),
		Organisation: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation"),
		Caller:       rapid.SampledFrom([]string{"x", "y"}).Draw(t, "caller"),
		PromptTokens: rapid.SampledFrom([]int{10, 100, 700, 2500}).Draw(t, "prompt"),
		OutputTokens: rapid.SampledFrom([]int{1, 50, 400}).Draw(t, "output"),
		Deadline:     m.now.Add(time.Duration(rapid.IntRange(0, 8000).Draw(t, "deadline")) * time.Millisecond),
		Arrived:      m.now,
	}
	if m.pool.config.PrefixWeighing {
		parts := []uint64{rapid.Uint64Range(1, 3).Draw(t, "part"), uint64(m.next) << 8}
		r.Prefixes, r.PrefixTokens = ChainParts(parts, []int{r.PromptTokens * 9 / 10, r.PromptTokens / 10}, r.PromptTokens)
	}
	r.NoWait = rapid.IntRange(0, 9).Draw(t, "no wait") == 0
	if rapid.IntRange(0, 9).Draw(t, "exclude") == 0 {
		r.Excluded = []string{"s0"}
	}
	m.waiting[r.ID] = r
	m.lastSent[UsageKey{r.Organisation, r.Tier}] = m.now
	return r
}

func (m *modelPool) grant(t *rapid.T) *modelGrant {
	ids := make([]string, 0, len(m.running))
	for id := range m.running {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		t.Skip("nothing runs")
	}
	slices.Sort(ids)
	return m.running[rapid.SampledFrom(ids).Draw(t, "grant")]
}

func (m *modelPool) release(t *rapid.T) {
	g := m.grant(t)
	outcome := rapid.SampledFrom([]message.ReleaseOutcome{
		message.ReleaseOutcomeFinished, message.ReleaseOutcomeFinished, message.ReleaseOutcomeFinished,
		message.ReleaseOutcomeCancelled, message.ReleaseOutcomeUnused, message.ReleaseOutcomeServerFailed,
	}).Draw(t, "outcome")
	if g.revoked {
		outcome = message.ReleaseOutcomeRevoked
	}
	delete(m.running, g.id)
	m.pool.Release(m.now, g.id, Result{
		Outcome: outcome, PromptTokens: g.PromptTokens, OutputTokens: rapid.IntRange(0, 600).Draw(t, "produced"),
		CachedTokens: rapid.SampledFrom([]int{0, 0, g.PromptTokens / 2, g.PromptTokens}).Draw(t, "cached"),
		FirstToken:   50 * time.Millisecond, Total: time.Second,
	})
}

// park ends a revoked grant and requeues its request, bound to the server that holds it.
func (m *modelPool) park(t *rapid.T) {
	g := m.grant(t)
	if !g.revoked {
		t.Skip("not revoked")
	}
	delete(m.running, g.id)
	m.pool.Release(m.now, g.id, Result{Outcome: message.ReleaseOutcomeParked, PromptTokens: g.PromptTokens, OutputTokens: 5})
	m.check(t)
	r := g.Request
	r.Server, r.Excluded = g.server, nil
	r.PromptTokens = rapid.SampledFrom([]int{0, 0, r.PromptTokens}).Draw(t, "left")
	m.parkCount++
	m.parkOrder[r.ID] = m.parkCount
	m.waiting[r.ID] = r
	m.pool.Add(m.now, r)
}

func (m *modelPool) progress(t *rapid.T) {
	g := m.grant(t)
	m.pool.Progress(m.now, g.id, Progress{
		OutputTokens: rapid.IntRange(0, 600).Draw(t, "delivered"), FirstToken: 30 * time.Millisecond,
		Gap: time.Duration(rapid.IntRange(1, 60).Draw(t, "gap")) * time.Millisecond,
	})
	m.pool.Tick(m.now) // progress takes effect at the next tick
}

func (m *modelPool) withdraw(t *rapid.T) {
	id := fmt.Sprint("r", rapid.IntRange(1, m.next+1).Draw(t, "request"))
	if _, waits := m.waiting[id]; m.pool.Withdraw(m.now, id) != waits {
		t.Fatalf("withdraw %s: the pool and the model differ on whether it waits", id)
	}
	delete(m.waiting, id)
}

func (m *modelPool) advance(t *rapid.T) {
	for range rapid.IntRange(1, 20).Draw(t, "ticks") {
		m.now = m.now.Add(time.Duration(rapid.IntRange(1, int(maxTickInterval)).Draw(t, "passed")))
		m.pool.HostSeen(m.now, "e1")
		m.pool.Tick(m.now)
		m.check(t)
	}
}

// Random sequences of operations must not violate the invariants of Pool.
func TestPoolKeepsItsInvariants(t *testing.T) { checkInvariants(t, false) }

// The same holds with prefixes weighed, but that a request may wait for a server that
// holds its prefix.
func TestPoolKeepsItsInvariantsByPrefix(t *testing.T) { checkInvariants(t, true) }

func checkInvariants(t *testing.T, weighing bool) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModelPool(t)
		m.pool.config.PrefixWeighing = weighing
		t.Repeat(map[string]func(*rapid.T){
			"add": m.add, "add more": m.add, "add still more": m.add, "release": m.release, "progress": m.progress,
			"park": m.park, "park more": m.park,
			"withdraw": m.withdraw, "advance": m.advance, "leave": m.leave, "": m.check,
		})
	})
}

// waitsForHolder reports whether a waiting request may wait for a server that holds its
// prefix.
func (m *modelPool) waitsForHolder(id string) bool {
	w := m.pool.queue.byID[id]
	return w != nil && m.now.Before(w.holderUntil)
}

// checkPrefixes compares the prefixes recorded for a server with its grants.
func (m *modelPool) checkPrefixes(t *rapid.T, s *server) {
	if s.cached == nil {
		return
	}
	users, running, tokens := map[uint64]int{}, 0, 0
	for _, g := range s.grants {
		running += g.prefixLength(len(g.Prefixes))
		for _, prefix := range g.Prefixes {
			users[prefix]++
		}
	}
	for prefix, element := range s.cached.byHash {
		held := element.Value.(*heldPrefix)
		tokens += held.tokens
		if held.users != users[prefix] || !m.pool.cache.holders[prefix].Test(s.cached.slot) {
			t.Fatalf("%s: %d grants have prefix %x, recorded as %d", s.Name, users[prefix], prefix, held.users)
		}
	}
	if s.cached.runningTokens != running || s.cached.tokens != tokens || s.cached.recent.Len() != len(s.cached.byHash) {
		t.Fatalf("%s: prefixes of %d tokens, %d in use, are counted as %d and %d", s.Name, tokens, running, s.cached.tokens, s.cached.runningTokens)
	}
}

// check applies the actions of the pool to the model and checks the resulting state.
func (m *modelPool) check(t *rapid.T) {
	defer m.checkNoWait(t)
	for _, a := range m.pool.TakeActions() {
		switch a.Kind {
		case ActionGrant:
			m.checkGrant(t, a)
		case ActionRefuse:
			if _, ok := m.waiting[a.Request.ID]; !ok {
				t.Fatalf("%s was refused but does not wait", a.Request.ID)
			}
			delete(m.waiting, a.Request.ID)
			m.checkRefusal(t, a)
		case ActionRevoke:
			g := m.running[a.Grant]
			if g == nil || g.revoked {
				t.Fatalf("grant %s was revoked but does not run", a.Grant)
			}
			m.checkRevocation(t, g)
			g.revoked = true
		}
	}
	m.checkWorkConserving(t)
	m.checkSums(t)
}

func (m *modelPool) checkGrant(t *rapid.T, a Action) {
	r, ok := m.waiting[a.Request.ID]
	if !ok {
		t.Fatalf("%s was granted but does not wait", a.Request.ID)
	}
	if m.leaving[a.Server] {
		t.Fatalf("%s was granted on %s, which is leaving", r.ID, a.Server)
	}
	if r.Server != "" && r.Server != a.Server {
		t.Fatalf("%s was granted on %s, but %s holds it", r.ID, a.Server, r.Server)
	}
	if slices.Contains(r.Excluded, a.Server) {
		t.Fatalf("%s was granted on %s, which it excludes", r.ID, a.Server)
	}
	if _, ok := m.running[a.Grant]; ok {
		t.Fatalf("grant id %s was used twice", a.Grant)
	}
	// A request at its latest start, or one that can't wait, replaces lower running
	// work beyond the limit, while a higher request may still have time to wait.
	late := r.NoWait || !m.now.Before(m.pool.latestStart(m.pool.newWaiter(r)))
	for _, other := range m.waiting {
		goesFirst := !late && other.Tier < r.Tier && m.pool.tokensOf(&other) <= m.pool.tokensOf(&r)
		if goesFirst && !m.waitsForHolder(other.ID) && m.isHead(other) && m.couldUse(other, a) {
			t.Fatalf("%s of tier %d was granted while %s of tier %d, not larger, waits", r.ID, r.Tier, other.ID, other.Tier)
		}
	}
	delete(m.waiting, r.ID)
	m.running[a.Grant] = &modelGrant{Request: r, id: a.Grant, server: a.Server}
	s := m.pool.byName[a.Server]
	if over := s.tokens > s.tokenLimit && len(s.grants) > 1; over && !s.overcommitted {
		t.Fatalf("%s has %d tokens in flight, over its limit of %d", s.Name, s.tokens, s.tokenLimit)
	}
	if len(s.grants) > s.requestLimit && !s.overcommitted {
		t.Fatalf("%s has %d requests, over its limit of %d", s.Name, len(s.grants), s.requestLimit)
	}
}

// checkRevocation requires that no work below a revoked grant waits, or runs on a server
// that all requests may use.
func (m *modelPool) checkRevocation(t *rapid.T, revoked *modelGrant) {
	for _, w := range m.waiting {
		if w.Tier > revoked.Tier {
			t.Fatalf("%s of tier %d was revoked while %s of tier %d waits", revoked.ID, revoked.Tier, w.ID, w.Tier)
		}
	}
	for _, g := range m.running {
		usable := m.pool.byName[g.server].health.takesWork() && g.server != "s0" && !m.leaving[g.server]
		if g.Tier > revoked.Tier && !g.revoked && usable {
			t.Fatalf("%s of tier %d was revoked while %s of tier %d runs on %s", revoked.ID, revoked.Tier, g.ID, g.Tier, g.server)
		}
	}
}

// couldUse reports whether a request could have had the server of a grant instead and met
// its deadline there.
func (m *modelPool) couldUse(r Request, a Action) bool {
	s, w := m.pool.byName[a.Server], m.pool.newWaiter(r)
	granted := m.pool.grants[a.Grant].uncached
	s.prefill -= granted
	defer func() { s.prefill += granted }()
	return w.allows(s) && !m.pool.missesDeadline(m.now, w, m.pool.estimateOn(s, w, 0), false)
}

// isHead reports whether no request of the same caller and tier is served before r.
// Parked requests are served first, the last parked one before the others.
func (m *modelPool) isHead(r Request) bool {
	for _, other := range m.waiting {
		same := other.Tier == r.Tier && other.Organisation == r.Organisation && other.Caller == r.Caller
		if same && cmp.Or(m.parkOrder[r.ID]-m.parkOrder[other.ID], len(other.ID)-len(r.ID), cmp.Compare(other.ID, r.ID)) < 0 {
			return false
		}
	}
	return true
}

// checkRefusal requires that no lower work that could have been shed waits or runs.
func (m *modelPool) checkRefusal(t *rapid.T, a Action) {
	switch a.Refusal {
	case message.RefusalReasonShed, message.RefusalReasonQueueFull, message.RefusalReasonDeadline:
	default:
		return
	}
	for _, w := range m.waiting {
		if w.Tier > a.Request.Tier {
			t.Fatalf("%s of tier %d was refused (%s: %s) while %s of tier %d waits",
				a.Request.ID, a.Request.Tier, a.Refusal, a.Reason, w.ID, w.Tier)
		}
	}
	for _, g := range m.running {
		s := m.pool.byName[g.server]
		allows := m.pool.newWaiter(*a.Request).allows(s)
		usable := s.health.takesWork() && !m.leaving[g.server] && (allows || a.Request.Server != "")
		late := allows && (a.Refusal == message.RefusalReasonDeadline || a.Request.NoWait) && m.now.Before(a.Request.Deadline)
		if g.Tier > a.Request.Tier && usable && (!g.revoked || late && !s.overcommitted) {
			t.Fatalf("%s of tier %d was refused (%s: %s) while %s of tier %d runs on %s",
				a.Request.ID, a.Request.Tier, a.Refusal, a.Reason, g.ID, g.Tier, g.server)
		}
	}
}

// checkNoWait requires that no NoWait request waits.
func (m *modelPool) checkNoWait(t *rapid.T) {
	for id, r := range m.waiting {
		if r.NoWait {
			t.Fatalf("NoWait request %s waits", id)
		}
	}
}

// checkWorkConserving requires that no request waits while a server has room that is not
// reserved and not headroom.
func (m *modelPool) checkWorkConserving(t *rapid.T) {
	if m.pool.queue.waiting != len(m.waiting) || len(m.pool.grants) != len(m.running) {
		t.Fatalf("the pool has %d waiting and %d running, the model %d and %d",
			m.pool.queue.waiting, len(m.pool.grants), len(m.waiting), len(m.running))
	}
	for id, r := range m.waiting {
		w := m.pool.queue.byID[id]
		if !m.isHead(r) || m.waitsForHolder(id) || m.blockedByHigherTier(w.tier) {
			continue
		}
		for _, s := range m.pool.servers {
			useful := !m.pool.missesDeadline(m.now, w, m.pool.estimateOn(s, w, 0), false)
			if useful && m.pool.accepts(s, w) && m.pool.fits(s, w) && !s.reservedForOther(w) && !m.mayBeHeadroom(s, w) {
				t.Fatalf("%s waits although it fits on %s (%d of %d tokens)", id, s.Name, s.tokens, s.tokenLimit)
			}
		}
	}
}

// maxHeadroomTime is how long after the last request of an organisation servers may still
// be headroom for it.
const maxHeadroomTime = 45 * time.Second

// mayBeHeadroom reports whether a server may be withheld from a request as headroom. At
// most half of the servers are headroom. They are withheld only while a prompt is
// computed, the streams take 0.3 of the gap target for a token or half of the token limit
// would be used, and only while other organisations send requests of the same or higher
// tiers.
func (m *modelPool) mayBeHeadroom(s *server, w *waiter) bool {
	servers := 0
	for _, s := range m.pool.servers {
		if s.headroomTiers != 0 {
			servers++
		}
	}
	others := false
	for key, sent := range m.lastSent {
		others = others || key.Organisation != w.Organisation && key.Tier <= w.tier && m.now.Sub(sent) < maxHeadroomTime
	}
	taken, streams, prefilling := 0, 0, false
	for _, g := range m.running {
		if g.server == s.Name {
			taken += m.pool.grants[g.id].tokens
			streams++
			prefilling = prefilling || !m.pool.grants[g.id].hasFirstToken
		}
	}
	m.pool.refreshAll(m.now)
	many := float64(streams) >= 0.3*0.033*s.DecodeTokensPerS
	busy := taken > 0 && (prefilling || many || 2*(taken+w.tokens) > s.tokenLimit)
	return m.pool.withheldByHeadroom(s, w) && 2*servers <= len(m.pool.servers) && others && busy
}

// blockedByHigherTier reports whether a higher tier can't start all its work in time.
func (m *modelPool) blockedByHigherTier(tier int) bool {
	for higher := range tier {
		if m.pool.preemptingByTier[higher] > 0 || m.pool.overloaded(m.now, higher) {
			return true
		}
	}
	return false
}

// checkSums compares all running sums with the state that they sum up.
func (m *modelPool) checkSums(t *rapid.T) {
	waitingTokens := 0
	for _, w := range m.pool.queue.byID {
		waitingTokens += w.tokens
		if w.reservedServer != nil && w.reservedServer.reservedFor != w {
			t.Fatalf("%s is not the request for which its reserved server is reserved", w.ID)
		}
	}
	if waitingTokens != m.pool.queue.tokens {
		t.Fatalf("%d tokens wait, the queue counts %d", waitingTokens, m.pool.queue.tokens)
	}
	for _, s := range m.pool.servers {
		m.checkPrefixes(t, s)
		tokens, prefill := 0, 0
		for _, g := range s.grants {
			tokens += g.tokens
			if !g.hasFirstToken {
				prefill += g.uncached
			}
		}
		if tokens != s.tokens || prefill != s.prefill {
			t.Fatalf("%s: %d tokens and %d prefill run, the server counts %d and %d", s.Name, tokens, prefill, s.tokens, s.prefill)
		}
	}
	if p := m.pool; p.queue.waiting > p.config.MaxWaiting+p.excess.requests {
		t.Fatalf("%d requests wait, limit %d and %d against revoked grants", p.queue.waiting, p.config.MaxWaiting, p.excess.requests)
	}
}
