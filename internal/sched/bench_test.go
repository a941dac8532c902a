package sched

import (
	"fmt"
	"testing"
	"time"

	"mimosafront/internal/message"
)

// BenchmarkDecision measures one request's whole way through a saturated pool:
// an arrival, a release and the grant that follows from it.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []struct {
		organisations, servers, waiting int
		kept                            bool
		waited                          time.Duration
	}{
		{10, 13, 1000, false, 0}, {100, 13, 1000, false, 0}, {1000, 13, 1000, false, 0}, {1000, 13, 4000, false, 0}, {1000, 13, 16000, false, 0},
		{1000, 150, 4000, false, 0}, {1600, 150, 4000, false, 0}, {1000, 13, 4000, true, 0}, {1000, 150, 4000, true, 0},
		{1000, 13, 4000, false, 3 * time.Second}, {1000, 150, 4000, false, 3 * time.Second}, {1000, 150, 4000, true, 3 * time.Second},
	} {
		name := fmt.Sprintf("organisations=%d/servers=%d/waiting=%d/kept=%v/waited=%v", size.organisations, size.servers, size.waiting, size.kept, size.waited)
		b.Run(name, func(b *testing.B) {
			benchmarkDecision(b, size.organisations, size.servers, size.waiting, size.kept, size.waited)
		})
	}
}

// keepHalf keeps half of the servers for every second organisation.
func keepHalf(p *Pool) {
	for _, s := range p.servers[:len(p.servers)/2] {
		s.keptTiers = ^tierSet(0)
	}
	p.free.allStale = true
	for i := range p.queue.tiers {
		for _, o := range p.queue.tiers[i].organisations {
			o.ahead = len(o.name)%2 == 0
			o.tier.settle(o)
		}
	}
}

func benchmarkDecision(b *testing.B, organisations, servers, waiting int, kept bool, waited time.Duration) {
	p := newTestPool(servers, 8000)
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
	if kept {
		keepHalf(p)
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

// BenchmarkFlood measures an arrival that finds the queue full.
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
