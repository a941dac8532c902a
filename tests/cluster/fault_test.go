package cluster

import (
	"math"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosafront/internal/faultproxy"
	"mimosafront/internal/standin/engine"
	"mimosafront/internal/status"
)

// quick is an engine whose answers of 20 tokens take a few tens of milliseconds.
var quick = engine.Config{PrefillTokensPerS: 80000, DecodeTokensPerS: 20000, MinStep: 2 * time.Millisecond}

var threeZones = []string{"a1", "a2", "b1", "b2", "c1"}

func oneEngineEach(requests int) []engineSpec {
	return []engineSpec{{"a-e1", requests, quick}, {"b-e1", requests, quick}, {"c-e1", requests, quick}}
}

// callers sends a light load through the given hosts.
func callers(hosts ...string) worker {
	return worker{hosts: hosts, caller: "north", tier: "high", tokens: 20, count: 2 * len(hosts), pause: 5 * time.Millisecond}
}

// longCallers sends more long answers at once than the engines may run.
func longCallers(hosts ...string) worker {
	return worker{hosts: hosts, caller: "south", tier: "high", tokens: 400, count: 24}
}

// waiting counts the requests that wait in the pools of a host.
func waiting(r status.Report) int {
	n := 0
	for _, pool := range r.Pools {
		for _, queue := range pool.Queues {
			n += queue.Waiting
		}
	}
	return n
}

func others(names []string, without ...string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return slices.Contains(without, name) })
}

func TestKilledFrontHarmsNoOther(t *testing.T) {
	t.Parallel()
	f := newFleet(t, threeZones, oneEngineEach(8))
	victim := f.owners("a")[0]
	victim = others([]string{"a1", "a2"}, victim)[0]
	rest := f.startLoad(callers(others(threeZones, victim)...))
	own := f.startLoad(callers(victim))
	own.progress(10)
	rest.progress(20)
	f.kill(victim)
	rest.progress(50)
	answers := rest.end()
	f.check(append(own.end(), answers...))
	f.mustAnswerAll(answers)
}

// TestHostsJoinByTLS runs hosts with the certificates that mimosactl keygen
// makes.
func TestHostsJoinByTLS(t *testing.T) {
	t.Parallel()
	f := newFleet(t, threeZones, oneEngineEach(4), withCertificates)
	all := f.startLoad(callers(threeZones...))
	all.progress(30)
	before := f.oldestIncarnation("a1")
	f.kill("a1")
	f.start("a1")
	f.await("all hosts see the restarted one in its new incarnation", func() bool {
		return f.whole() && f.oldestIncarnation("a1") > before
	})
	all.progress(30)
	f.check(all.end())
}

// oldestIncarnation returns the oldest incarnation of a host that any host sees.
func (f *fleet) oldestIncarnation(host string) int {
	oldest := math.MaxInt
	for _, name := range f.names {
		oldest = min(oldest, f.member(name, host).Incarnation)
	}
	return oldest
}

func TestKilledCoordinatorUnderLoad(t *testing.T) {
	t.Parallel()
	f := newFleet(t, threeZones, oneEngineEach(4))
	victim := f.owners("a")[0]
	rest := f.startLoad(callers(others(threeZones, victim)...), longCallers(others(threeZones, victim)...))
	rest.progress(30)
	f.await("requests wait at the coordinator", func() bool {
		r, ok := f.status(victim)
		return ok && waiting(r) > 0
	})
	killed := time.Now()
	f.kill(victim)
	f.await("another host coordinates the pool", func() bool { return len(f.owners("a")) == 1 })
	t.Logf("the pool had a new coordinator after %s", time.Since(killed).Round(time.Millisecond))
	rest.progress(50)
	answers := rest.end()
	f.check(answers)
	f.mustAnswerAll(answers)
}

func TestPausedCoordinatorWakes(t *testing.T) {
	t.Parallel()
	f := newFleet(t, threeZones, oneEngineEach(4))
	victim := f.owners("a")[0]
	rest := f.startLoad(callers(others(threeZones, victim)...))
	own := f.startLoad(worker{hosts: []string{victim}, caller: "south", tier: "high", tokens: 20, count: 4})
	own.progress(10)
	f.signal(victim, syscall.SIGSTOP)
	f.await("another host coordinates the pool", func() bool {
		for _, name := range others([]string{"a1", "a2"}, victim) {
			if r, ok := f.status(name); ok && len(r.Pools) > 0 {
				return true
			}
		}
		return false
	})
	rest.progress(50)
	f.signal(victim, syscall.SIGCONT)
	f.await("the woken host is whole again", f.whole)
	own.progress(10)
	rest.progress(50)
	answers := rest.end()
	f.check(append(own.end(), answers...))
	f.mustAnswerAll(answers)
}

// cut sets faults on all links between two sets of hosts, in the directions of
// the bytes.
func (f *fleet) cut(from, to []string, faults faultproxy.Faults) {
	for _, x := range from {
		for _, y := range to {
			f.proxies[[2]string{x, y}].Set(faultproxy.ToTarget, faultproxy.All, faults)
			f.proxies[[2]string{y, x}].Set(faultproxy.ToClient, faultproxy.All, faults)
		}
	}
}

func TestZoneCutOffAndHealed(t *testing.T) {
	t.Parallel()
	f := newFleet(t, threeZones, oneEngineEach(4))
	zoneB := []string{"b1", "b2"}
	rest := others(threeZones, zoneB...)
	l := f.startLoad(callers(threeZones...))
	l.progress(30)
	f.cut(zoneB, rest, faultproxy.Faults{Blackhole: true})
	f.cut(rest, zoneB, faultproxy.Faults{Blackhole: true})
	f.await("both sides see the partition", func() bool { return f.sees("a1", "b1") != "alive" && f.sees("b1", "a1") != "alive" })
	l.progress(100)
	f.cut(zoneB, rest, faultproxy.Faults{})
	f.cut(rest, zoneB, faultproxy.Faults{})
	f.await("the fleet is whole again", f.whole)
	l.progress(50)
	answers := l.end()
	f.check(answers)
	f.mustAnswerAll(answers)
}

// sees returns the state of one host in the eyes of another.
func (f *fleet) sees(name, other string) string { return f.member(name, other).State }

// member returns what one host knows of another.
func (f *fleet) member(name, other string) status.Member {
	r, _ := f.status(name)
	for _, m := range r.Members {
		if m.Host == other {
			return m
		}
	}
	return status.Member{}
}

func TestOneWayCutAndSilentLinks(t *testing.T) {
	t.Parallel()
	for _, way := range []struct {
		name     string
		from, to []string
	}{
		{"from a front", []string{"a1"}, []string{"a2"}},
		{"to a front", []string{"a2"}, []string{"a1"}},
	} {
		t.Run(way.name, func(t *testing.T) {
			f := newFleet(t, threeZones, oneEngineEach(4))
			l := f.startLoad(callers(threeZones...))
			l.progress(30)
			f.cut(way.from, way.to, faultproxy.Faults{Blackhole: true})
			l.progress(100)
			f.cut(way.from, way.to, faultproxy.Faults{})
			f.await("the fleet is whole again", f.whole)
			l.progress(50)
			answers := l.end()
			f.check(answers)
			f.mustAnswerAll(answers)
		})
	}
}

func TestOpenLinksGoSilentForGood(t *testing.T) {
	t.Parallel()
	f := newFleet(t, threeZones, oneEngineEach(4))
	l := f.startLoad(callers(threeZones...))
	l.progress(30)
	for _, p := range f.proxies {
		p.Blackhole(faultproxy.ExistingOnly)
	}
	l.progress(50)
	f.await("the fleet is whole again over new links", f.whole)
	l.progress(50)
	answers := l.end()
	f.check(answers)
	f.mustAnswerAll(answers)
}

func TestRollingRestartCutsNothing(t *testing.T) {
	t.Parallel()
	f := newFleet(t, threeZones, oneEngineEach(4))
	l := f.startLoad(callers(threeZones...), worker{hosts: threeZones, caller: "south", tier: "high", tokens: 400, count: 5})
	l.progress(30)
	for _, name := range threeZones {
		if code := f.stop(name); code != 0 {
			t.Errorf("%s ended with code %d", name, code)
		}
		l.progress(20)
		f.start(name)
		f.await("the fleet is whole again", f.whole)
	}
	l.progress(30)
	answers := l.end()
	f.check(answers)
	run := map[uint64]bool{}
	for _, e := range f.engines {
		for _, entry := range e.Journal() {
			run[entry.Seed] = true
		}
	}
	var failed []answer
	for _, a := range answers {
		// A connection that a stopping host did not accept carried nothing.
		if a.ok() || a.err != nil && a.status == 0 && !run[xxhash.Sum64String(a.prompt)] {
			continue
		}
		if a.code != "stopping" {
			t.Errorf("call through %s failed: status %d, code %q, error %v", a.host, a.status, a.code, a.err)
			failed = append(failed, a)
		}
	}
	f.explain(failed)
}
