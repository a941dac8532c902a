package cluster

import (
	"testing"
	"time"

	"mimosafront/internal/faultproxy"
	"mimosafront/internal/standin/engine"
)

// moved counts the waiting requests that a host sent to other zones.
func (f *fleet) moved(host string) int {
	n := 0
	r, _ := f.status(host)
	for _, pool := range r.Pools {
		n += pool.Moved
	}
	return n
}

// TestQueueMovesWhenACutHeals queues requests behind a slow engine while the idle
// zone can't be reached.
func TestQueueMovesWhenACutHeals(t *testing.T) {
	t.Parallel()
	slow := engine.Config{PrefillTokensPerS: 80000, DecodeTokensPerS: 20000, MinStep: 100 * time.Millisecond}
	f := newFleet(t, []string{"a1", "b1"}, []engineSpec{{"a-e1", 1, slow}, {"b-e1", 8, quick}})
	cut := func(faults faultproxy.Faults) {
		f.cut([]string{"a1"}, []string{"b1"}, faults)
		f.cut([]string{"b1"}, []string{"a1"}, faults)
	}
	cut(faultproxy.Faults{Blackhole: true})
	f.await("the zones don't see each other", func() bool { return f.sees("a1", "b1") != "alive" && f.sees("b1", "a1") != "alive" })
	l := f.startLoad(worker{hosts: []string{"a1"}, caller: "north", tier: "high", tokens: 20, count: 8})
	f.await("requests wait in the slow zone", func() bool {
		r, ok := f.status("a1")
		return ok && waiting(r) >= 6
	})
	cut(faultproxy.Faults{})
	f.await("requests that waited move", func() bool { return f.moved("a1") > 0 })
	answers := l.end()
	f.check(answers)
	f.mustAnswerAll(answers)
	if len(f.engines["b-e1"].Runs()) == 0 {
		t.Error("the idle zone ran nothing")
	}
}
