package sched

import (
	"fmt"
	"testing"
	"time"

	"mimosafront/internal/message"
)

// BenchmarkDecision measures the scheduling of one request in a saturated pool: an
// arrival, a release and the resulting grant.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []struct {
		organisations, servers, waiting int
		headroom                        bool
		waited                          time.Duration
	}{
		{10, 13, 1000, false, 0}, {100, 13, 1000, false, 0}, {1000, 13, 1000, false, 0}, {1000, 13, 4000, false, 0}, {1000, 13, 16000, false, 0},
		{1000, 150, 4000, false, 0}, {1600, 150, 4000, false, 0}, {1000, 13, 4000, true, 0}, {1000, 150, 4000, true, 0},
		{1000, 13, 4000, false, 3 * time.Second}, {1000, 150, 4000, false, 3 * time.Second}, {1000, 150, 4000, true, 3 * time.Second},
	} {
		name := fmt.Sprintf("organisations=%d/servers=%d/waiting=%d/kept=%v/waited=%v", size.organisations, size.servers, size.waiting, size.headroom, size.waited)
		b.Run(name, func(b *testing.B) {
			benchmarkDecision(b, size.organisations, size.servers, size.waiting, size.headroom, size.waited, false)
		})
	}
}

// BenchmarkDecisionByPrefix is BenchmarkDecision with prefixes weighed; 64 prompts of eight
// blocks are shared by all requests.
func BenchmarkDecisionByPrefix(b *testing.B) {
	for _, servers := range []int{13, 150} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			benchmarkDecision(b, 1000, servers, 4000, false, 0, true)
		})
	}
}

// assignHalfAsHeadroom makes half of the servers headroom that every second organisation
// may not use.
func assignHalfAsHeadroom(p *Pool) {
	for _, s := range p.servers[:len(p.servers)/2] {
		s.headroomTiers = ^tierSet(0)
	}
	p.free.allStale = true
	for i := range p.queue.tiers {
		for _, o := range p.queue.tiers[i].organisations {
			o.overShare = len(o.name)%2 == 0
			o.tier.updateHeaps(o)
		}
	}
}

func benchmarkDecision(b *testing.B, organisations, servers, waiting int, headroom bool, waited time.Duration, weighing bool) {
	p := newTestPool(servers, 8000)
	p.config.PrefixWeighing = weighing
	p.config.MaxWaiting = 1 << 30
	p.config.MaxWaitingTokens = 1 << 40
	names := make([]string, organisations)
	for i := range names {
		names[i] = fmt.Sprint("organisation-", i)
	}
	ids := make([]string, b.N+waiting+servers*64)
	for i := range ids {
		ids[i] = fmt.Sprint("request-", i)
	}
	prefixes := make([][]uint64, 64)
	for i := range prefixes {
		for j := range uint64(8) {
			prefixes[i] = append(prefixes[i], uint64(i)<<32|j)
		}
	}
	next, now := 0, start
	add := func() {
		p.Add(now, Request{
			ID: ids[next], Host: "e1", Organisation: names[next%organisations], Caller: "caller", Tier: next % 4,
			PromptTokens: 200 + next%300, OutputTokens: 100, Prefixes: prefixes[next%len(prefixes)], Deadline: start.Add(time.Hour),
		})
		next++
	}
	var running []string
	collect := func() {
		for _, a := range p.TakeActions() {
			if a.Kind == ActionGrant {
				running = append(running, a.Grant)
			}
		}
	}
	for p.queue.waiting < waiting {
		add()
		collect()
	}
	if headroom {
		assignHalfAsHeadroom(p)
	}
	now = now.Add(waited)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		add()
		if len(running) > 0 {
			p.Release(now, running[0], Result{Outcome: message.ReleaseOutcomeFinished, PromptTokens: 300, OutputTokens: 100})
			running = running[1:]
		}
		collect()
	}
}

// BenchmarkFlood measures an arrival at a full queue.
func BenchmarkFlood(b *testing.B) {
	for _, organisations := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			p := newTestPool(13, 8000)
			p.config.MaxWaiting = 4096
			ids := make([]string, b.N+8192)
			for i := range ids {
				ids[i] = fmt.Sprint("request-", i)
			}
			add := func(i int) {
				p.Add(start, Request{
					ID: ids[i], Organisation: "organisation-" + ids[i%organisations], Caller: "caller", Tier: 1 + i%3,
					PromptTokens: 300, OutputTokens: 100, Deadline: start.Add(time.Hour),
				})
				p.TakeActions()
			}
			for i := range 8192 {
				add(i)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				add(8192 + i)
			}
		})
	}
}

// BenchmarkRouteFlood measures each request at a multiple of the capacity of a pool of
// engines with few slots, whose clients wait some seconds for the first token. It is the
// load of a large zone in a flood: no grant can be revoked, and most waiting requests are
// refused when their clients would give up.
func BenchmarkRouteFlood(b *testing.B) {
	for _, size := range []struct {
		servers int
		load    float64
	}{{4, 2}, {16, 2}, {47, 0.8}, {47, 2}, {47, 4}, {150, 2}} {
		b.Run(fmt.Sprintf("servers=%d/load=%g", size.servers, size.load), func(b *testing.B) {
			f := newRouteFlood(size.servers, size.load)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				f.arrive()
			}
			b.ReportMetric(float64(f.waiting)/float64(b.N), "waiting")
			b.ReportMetric(float64(f.granted)/float64(b.N), "granted")
		})
	}
}

const (
	// routeSlots is the number of concurrent requests of an engine, and routeAnswer the
	// time that a fast engine takes for an answer.
	routeSlots  = 4
	routeAnswer = 500 * time.Millisecond
	// routeTick is the interval between ticks, as in the coordinator.
	routeTick = 20 * time.Millisecond
)

// routeFlood is a pool under steady load and its running answers.
type routeFlood struct {
	pool             *Pool
	now, lastTick    time.Time
	interval         time.Duration
	ending           orderedHeap[*routeAnswering]
	next             int
	waiting, granted int
}

type routeAnswering struct {
	grant string
	ends  time.Time
}

func newRouteFlood(servers int, load float64) *routeFlood {
	f := &routeFlood{now: start, lastTick: start, pool: NewPool(Config{
		MaxWaiting: 1 << 20, MaxWaitingTokens: 1 << 40, FirstTokenTarget: 10 * time.Second,
		GapTarget: 75 * time.Millisecond, GrantPrefix: "g",
	})}
	list := make([]Server, servers)
	speed := 0.0
	for i := range list {
		list[i] = Server{
			Name: fmt.Sprint("s", i), Hardware: "g", PrefillTokensPerS: 8000, DecodeTokensPerS: 1500,
			TokensInFlight: 32000, MaxRequests: routeSlots,
		}
		speed += routeSlots / f.answerOn(list[i].Name).Seconds()
	}
	f.interval = time.Duration(float64(time.Second) / (speed * load))
	f.ending.less = func(a, b *routeAnswering) bool { return a.ends.Before(b.ends) }
	f.ending.setIndex = func(*routeAnswering, int) {}
	f.pool.SetServers(start, list)
	return f
}

// answerOn returns the time of an answer on a server; each third server is slow.
func (f *routeFlood) answerOn(server string) time.Duration {
	if (server[len(server)-1]-'0')%3 == 2 {
		return 4 * routeAnswer
	}
	return routeAnswer
}

// arrive ends the answers that are due, ticks at each interval, and adds one request.
func (f *routeFlood) arrive() {
	f.now = f.now.Add(f.interval)
	for {
		a, ok := f.ending.top()
		if !ok || a.ends.After(f.now) {
			break
		}
		f.ending.removeAt(0)
		f.pool.Release(f.now, a.grant, Result{
			Outcome: message.ReleaseOutcomeFinished, PromptTokens: 2000, OutputTokens: 120,
			FirstToken: routeAnswer / 4, Total: routeAnswer,
		})
		f.collect()
	}
	if f.now.Sub(f.lastTick) >= routeTick {
		f.lastTick = f.now
		f.pool.Tick(f.now)
		f.collect()
	}
	f.next++
	f.pool.Add(f.now, Request{
		ID: fmt.Sprint("request-", f.next), Host: "e1", Organisation: fmt.Sprint("organisation-", f.next%16),
		Caller: fmt.Sprint("caller-", f.next%300), Tier: 4 + f.next%3, NonPreemptible: true,
		PromptTokens: 500 + f.next%5000, OutputTokens: 120, Arrived: f.now, Deadline: f.now.Add(8 * time.Second),
		FirstTarget: f.now.Add(500 * time.Millisecond), FirstLimit: f.now.Add(2400 * time.Millisecond),
	})
	f.collect()
	f.waiting += f.pool.queue.waiting
}

func (f *routeFlood) collect() {
	for _, a := range f.pool.TakeActions() {
		if a.Kind == ActionGrant {
			f.granted++
			f.ending.add(&routeAnswering{grant: a.Grant, ends: f.now.Add(f.answerOn(a.Server))})
		}
	}
}
