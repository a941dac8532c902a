package cluster

import (
	"testing"
	"time"

	"mimosafront/internal/standin/engine"
)

// narrow is an engine that answers 20 tokens in about 50 ms.
var narrow = engine.Config{PrefillTokensPerS: 80000, DecodeTokensPerS: 2000, MinStep: 2 * time.Millisecond}

// served counts the whole answers by caller.
func (l *load) served() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[string]int{}
	for _, a := range l.answers {
		if a.ok() {
			counts[a.caller]++
		}
	}
	return counts
}

func TestSpreadingOverFrontsGainsNothing(t *testing.T) {
	t.Parallel()
	f := newFleet(t, threeZones, []engineSpec{{"a-e1", 4, narrow}})
	l := f.startLoad(
		worker{hosts: threeZones, caller: "north", tier: "high", tokens: 20, count: 40},
		worker{hosts: []string{"a1"}, caller: "south", tier: "high", tokens: 20, count: 10},
	)
	l.progress(100)
	before := l.served()
	l.progress(300)
	after := l.served()
	north, south := after["north"]-before["north"], after["south"]-before["south"]
	t.Logf("north, over all fronts: %d answers; south, behind one: %d", north, south)
	if ratio := float64(south) / float64(north); ratio < 0.8 || ratio > 1.25 {
		t.Errorf("ratio of served work %.2f, want 1", ratio)
	}
	f.check(l.end())
}

func TestFloodsOfLowThenHighTierAcrossFronts(t *testing.T) {
	t.Parallel()
	f := newFleet(t, threeZones, []engineSpec{{"a-e1", 4, narrow}}, withQueue("max_waiting = 24"))
	low := f.startLoad(worker{hosts: threeZones, caller: "north", tier: "low", tokens: 20, count: 40})
	low.progress(50)
	high := f.startLoad(worker{hosts: threeZones, caller: "south", tier: "high", tokens: 20, count: 16})
	high.progress(200)
	highAnswers := high.end()
	low.progress(30)
	lowAnswers := low.end()
	f.check(append(lowAnswers, highAnswers...))
	if got := failures(highAnswers); len(got) > 0 {
		t.Errorf("the higher tier was refused while the lower ran: %v", got)
	}
	t.Logf("lower tier without an answer: %v of %d", failures(lowAnswers), len(lowAnswers))
}
