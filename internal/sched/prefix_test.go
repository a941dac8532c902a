package sched

import (
	"fmt"
	"testing"
	"time"

	"mimosafront/internal/message"
	"mimosafront/internal/settings"
)

// prefixPool is a pool that weighs prefixes, and the servers of its grants by request.
type prefixPool struct {
	*Pool
	now     time.Time
	list    []Server
	grants  map[string]Action
	started map[string]int
}

func newPrefixPool(servers, memory, slots int) *prefixPool {
	p := &prefixPool{now: start, grants: map[string]Action{}, started: map[string]int{}, Pool: NewPool(Config{
		MaxWaiting: 1000, MaxWaitingTokens: 10_000_000, FirstTokenTarget: 10 * time.Second, GapTarget: 75 * time.Millisecond,
		GrantPrefix: "g", PrefixWeighing: true, Algorithm: settings.SchedulerAlgorithmFair,
	})}
	for i := range servers {
		p.list = append(p.list, Server{
			Name: fmt.Sprint("s", i), Hardware: "g", PrefillTokensPerS: 8000, DecodeTokensPerS: 1500,
			TokensInFlight: memory, MaxRequests: slots, Incarnation: 1,
		})
	}
	p.SetServers(p.now, p.list)
	return p
}

const sharedTokens, ownTokens = 16_000, 200

// send adds a request whose prompt is the shared part and one of its own, and returns the
// server on which it starts now; empty if it waits.
func (p *prefixPool) send(id string, change func(r *Request)) string {
	r := Request{
		ID: id, Host: "e1", Organisation: "o", Caller: "c", Tier: 1, NonPreemptible: true,
		PromptTokens: sharedTokens + ownTokens, OutputTokens: 50, Arrived: p.now, Deadline: p.now.Add(time.Minute),
	}
	own := uint64(len(p.grants) + len(id)*1000)
	r.Prefixes, r.PrefixTokens = ChainParts([]uint64{7, own}, []int{sharedTokens, ownTokens}, r.PromptTokens)
	if change != nil {
		change(&r)
	}
	p.Add(p.now, r)
	p.collect()
	return p.grants[id].Server
}

func (p *prefixPool) collect() {
	for _, a := range p.TakeActions() {
		if a.Kind == ActionGrant {
			p.grants[a.Request.ID] = a
			p.started[a.Server]++
		}
	}
}

// finish ends a request whose first token came after the given time.
func (p *prefixPool) finish(id string, firstToken time.Duration) {
	p.Release(p.now, p.grants[id].Grant, Result{
		Outcome: message.ReleaseOutcomeFinished, PromptTokens: p.grants[id].Request.PromptTokens, OutputTokens: 50,
		FirstToken: firstToken, Total: firstToken + time.Second,
	})
	p.collect()
}

// seed has one server compute the shared part, and returns it.
func (p *prefixPool) seed(id string, change func(r *Request)) string {
	server := p.send(id, change)
	p.finish(id, 2*time.Second)
	return server
}

// except excludes servers from running a request.
func except(names ...string) func(r *Request) {
	return func(r *Request) { r.Excluded = names }
}

func TestServerThatHoldsThePrefixIsPreferred(t *testing.T) {
	p := newPrefixPool(4, 200_000, 16)
	holder := p.seed("first", nil)
	p.now = p.now.Add(time.Second)
	p.send("second", nil)
	if a := p.grants["second"]; a.Server != holder || a.SavedTokens != sharedTokens || a.PrefixAge != time.Second {
		t.Errorf("the second request started on %s with %d tokens saved, known for %s; want %s with %d", a.Server, a.SavedTokens, a.PrefixAge, holder, sharedTokens)
	}
	p.finish("second", 50*time.Millisecond)
	if got := p.usage[UsageKey{"o", 1}]; got != sharedTokens+2*(ownTokens+50) {
		t.Errorf("the organisation is charged %d tokens, want what was computed", got)
	}
}

// Guards against a flood on one server by a popular prefix, or by one key's prefix, while
// others are idle.
func TestHotPrefixSpreads(t *testing.T) {
	const servers, requests = 5, 40
	p := newPrefixPool(servers, 2_000_000, 64)
	p.seed("first", nil)
	clear(p.started)
	for i := range requests {
		p.send(fmt.Sprint("hot", i), nil)
	}
	for server, started := range p.started {
		if limit := int(maxCrowding*requests/servers) + 2; started > limit {
			t.Errorf("%s got %d of %d requests, want at most %d", server, started, requests, limit)
		}
	}
	other := p.send("other", func(r *Request) {
		r.Organisation, r.Prefixes, r.PrefixTokens, r.PromptTokens = "small", nil, nil, ownTokens
	})
	if other == "" {
		t.Error("a request of another organisation waits behind the hot key")
	}
}

func TestServersThatHoldTheSameShareItsRequests(t *testing.T) {
	p := newPrefixPool(4, 2_000_000, 64)
	one := p.seed("one", nil)
	two := p.seed("two", except(one))
	clear(p.started)
	for i := range 8 {
		p.send(fmt.Sprint("r", i), nil)
	}
	if one == two || p.started[one] < 2 || p.started[two] < 2 || p.started[one]-p.started[two] > 2 || p.started[two]-p.started[one] > 2 {
		t.Errorf("holders %s and %s got %v, want about the same", one, two, p.started)
	}
}

// Guards against going to a server whose memory the running requests need: the prefix
// yields before the request starts.
func TestPrefixThatIsEvictedSavesNothing(t *testing.T) {
	for _, c := range []struct {
		running int
		saved   int
	}{{0, sharedTokens}, {30_000, sharedTokens}, {47_500, 0}, {49_500, 0}} {
		p := newPrefixPool(1, 64_000+ownTokens, 16)
		p.seed("first", nil)
		if c.running > 0 {
			p.send("large", func(r *Request) {
				r.Prefixes, r.PrefixTokens, r.PromptTokens = nil, nil, c.running
			})
		}
		w := p.newWaiter(Request{PromptTokens: sharedTokens + ownTokens, OutputTokens: 500})
		w.Prefixes, w.PrefixTokens = ChainParts([]uint64{7, 9}, []int{sharedTokens, ownTokens}, w.PromptTokens)
		s := p.servers[0]
		if held := p.heldOn(s, w, p.cache.find(w.Prefixes).hitsOn(s)); held.tokens != c.saved {
			t.Errorf("with %d tokens running: %d tokens are held, want %d", c.running, held.tokens, c.saved)
		}
	}
}

func TestMemoryOfManyPromptsIsBounded(t *testing.T) {
	const memory = 20_000
	p := newPrefixPool(1, memory, 16)
	for i := range 200 {
		id := fmt.Sprint("r", i)
		p.send(id, func(r *Request) {
			r.Prefixes, r.PrefixTokens = ChainParts([]uint64{uint64(i + 100)}, []int{ownTokens + i}, r.PromptTokens)
			r.PromptTokens = ownTokens + i
		})
		p.finish(id, 100*time.Millisecond)
		if used := p.servers[0].usedMemory(); used > memory {
			t.Fatalf("%d tokens are recorded of a memory of %d", used, memory)
		}
	}
	if p.servers[0].cached.runningTokens != 0 || len(p.cache.holders) != len(p.servers[0].cached.byHash) {
		t.Error("ended requests are still counted")
	}
}

func TestSlowHolderIsAvoided(t *testing.T) {
	p := newPrefixPool(2, 200_000, 16)
	holder := p.seed("first", nil)
	for i := range 60 {
		id := fmt.Sprint("slow", i)
		p.send(id, func(r *Request) {
			r.Prefixes, r.PrefixTokens, r.PromptTokens = nil, nil, 1000+i*10
			r.Excluded = []string{map[string]string{"s0": "s1", "s1": "s0"}[holder]}
		})
		p.finish(id, 8*time.Second)
	}
	if got := p.send("next", nil); got == holder || got == "" {
		t.Errorf("the request started on %q, want the faster server that doesn't hold its prefix", got)
	}
}

// Guards against waits for servers that will not take the request, and against prefixes
// that are gone with the process that held them.
func TestHolderThatIsGoneCountsForNothing(t *testing.T) {
	for name, change := range map[string]func(p *prefixPool, s *Server){
		"leaving":   func(p *prefixPool, s *Server) { s.Leaving = true; p.SetServers(p.now, p.list) },
		"restarted": func(p *prefixPool, s *Server) { s.Incarnation++; p.SetServers(p.now, p.list) },
		"turned cold": func(p *prefixPool, s *Server) {
			s.ColdUntil = p.now.Add(time.Minute)
			p.SetServers(p.now, p.list)
		},
		"evacuated": func(p *prefixPool, s *Server) { s.Evacuated = true; p.SetServers(p.now, p.list) },
		"emptied":   func(p *prefixPool, s *Server) { p.ForgetPrefixes(s.Name) },
		"crashed": func(p *prefixPool, s *Server) {
			p.send("crashing", nil)
			p.Release(p.now, p.grants["crashing"].Grant, Result{Outcome: message.ReleaseOutcomeServerCrashed})
		},
	} {
		p := newPrefixPool(2, 200_000, 1)
		holder := p.seed("first", nil)
		r := *p.grants["first"].Request
		if saving := p.PrefixSaving(&r); saving < time.Second {
			t.Fatalf("the prefix saves %s, want at least a second", saving)
		}
		s := p.byName[holder]
		change(p, &p.list[s.index])
		if held := p.cache.find(r.Prefixes).hitsOn(s) > 0; held != (name == "leaving" || name == "evacuated") {
			t.Errorf("%s: the prefix is recorded: %v", name, held)
		}
		if saving := p.PrefixSaving(&r); saving != 0 {
			t.Errorf("%s: the prefix saves %s in this pool, want nothing", name, saving)
		}
		if p.send("next", nil); p.grants["next"].Server == "" || p.grants["next"].SavedTokens != 0 {
			t.Errorf("%s: the next request waits or saves %d tokens", name, p.grants["next"].SavedTokens)
		}
	}
}

// Replays a request whose prefix is on a server that has room soon: it waits for it, alone,
// and no longer than it can save.
func TestWaitForTheHolderIsBounded(t *testing.T) {
	begin := func(busy int) (p *prefixPool, holder string) {
		p = newPrefixPool(2, 200_000, 1)
		holder = p.seed("first", nil)
		p.send("busy", func(r *Request) {
			r.Prefixes, r.PrefixTokens, r.PromptTokens, r.OutputTokens = nil, nil, 10, busy
			r.Excluded = []string{map[string]string{"s0": "s1", "s1": "s0"}[holder]}
		})
		return p, holder
	}
	p, holder := begin(50)
	if p.send("waits", nil) != "" {
		t.Fatal("the request computes its prompt anew although a server that holds it is free soon")
	}
	if got := p.send("next", nil); got == "" || got == holder {
		t.Errorf("a second request got %q, want the free server", got)
	}
	p.now = p.now.Add(200 * time.Millisecond)
	p.finish("busy", 10*time.Millisecond)
	if a := p.grants["waits"]; a.Server != holder || a.PrefixWait != 200*time.Millisecond {
		t.Errorf("the request started on %q after %s, want %s", a.Server, a.PrefixWait, holder)
	}

	p, holder = begin(50)
	p.send("waits", nil)
	p.now = p.now.Add(2 * time.Second) // what the prefix saves
	p.Tick(p.now)
	p.collect()
	if a := p.grants["waits"]; a.Server == "" || a.Server == holder {
		t.Errorf("the request is on %q after it waited for as long as it could save", a.Server)
	}

	if p, _ = begin(5000); p.send("starts", nil) == "" {
		t.Error("a request waits for a server that is busy for longer than it saves")
	}
}

// toCompute returns how many tokens of a prompt an engine lacks, and counts them.
func (r *replay) toCompute(server string, q *Request) float64 {
	hits := 0
	for hits < len(q.PrefixTokens) && r.computed[server][q.Prefixes[hits]] {
		hits++
	}
	tokens := q.PromptTokens - q.prefixLength(hits)
	r.prefilled += tokens
	return float64(tokens)
}

// keepPrefixes records the prompt of a request as computed.
func (r *replay) keepPrefixes(g *run) {
	if r.computed == nil {
		r.computed = map[string]map[uint64]bool{}
	}
	if r.computed[g.server] == nil {
		r.computed[g.server] = map[uint64]bool{}
	}
	for _, prefix := range g.request.Prefixes {
		r.computed[g.server][prefix] = true
	}
}

// Replays a load of prompts that share one of a few long parts. Weighed, less is computed
// and more answers come in time, also for a small organisation that shares nothing.
func TestLongSharedPartsAreReadLess(t *testing.T) {
	const documents, documentTokens = 40, 12_000
	play := func(weighing bool) (again int, good, small float64) {
		r := newReplay(3, 6, 1,
			replayStream{organisation: "shared", tier: 1, requestsPerSecond: 2.5, to: time.Minute, prompt: documentTokens + 200, output: 60, deadline: 6 * time.Second},
			replayStream{organisation: "small", tier: 1, requestsPerSecond: 1, to: time.Minute, prompt: 300, output: 60, deadline: 6 * time.Second})
		r.pool.config.PrefixWeighing = weighing
		for i := range r.servers {
			r.servers[i].TokensInFlight = 100_000
		}
		r.pool.SetServers(r.now, r.servers)
		for i, a := range r.arrivals {
			if q := &a.request; q.PromptTokens > documentTokens {
				parts := []uint64{uint64(r.random.IntN(documents)), uint64(documents + i)}
				q.Prefixes, q.PrefixTokens = ChainParts(parts, []int{documentTokens, 200}, q.PromptTokens)
			}
		}
		r.play(func() {})
		share := func(organisation string) float64 {
			k := r.requests[organisation]
			return float64(k.good) / float64(k.offered)
		}
		again = r.prefilled - documents*documentTokens - 200*r.requests["shared"].offered - 300*r.requests["small"].offered
		return again, share("shared"), share("small")
	}
	before, goodBefore, smallBefore := play(false)
	after, goodAfter, smallAfter := play(true)
	t.Logf("read %d tokens again, %.3f and %.3f in time; weighed %d, %.3f and %.3f", before, goodBefore, smallBefore, after, goodAfter, smallAfter)
	if 2*after > before || goodAfter < goodBefore || smallAfter < smallBefore {
		t.Error("want at most half as many tokens read again, and no fewer answers in time")
	}
}

// Guards against servers whose estimates are wrong: those weigh less, and are counted.
func TestWrongEstimatesLoseWeight(t *testing.T) {
	p := newPrefixPool(1, 200_000, 4)
	p.seed("first", nil)
	for i := range 20 {
		id := fmt.Sprint("r", i)
		p.send(id, nil)
		p.finish(id, 2100*time.Millisecond) // as long as without the prefix
	}
	if saved := p.grants["r19"].SavedTokens; saved > sharedTokens/4 {
		t.Errorf("%d tokens are expected to be saved after 19 wrong estimates", saved)
	}
	if counts := p.TakePrefixCounts(); counts.Wrong < 15 || counts.Wrong+counts.Right+counts.Unchecked != 20 {
		t.Errorf("counted %+v, want nearly all of 20 as wrong", counts)
	}
}
