package front

import (
	"testing"

	"mimosafront/internal/apierror"
	"mimosafront/internal/standin/engine"
	"mimosafront/internal/verdict"
)

// TestPoisonStopsAfterTwoServers checks that a request that crashes each engine
// which runs it gets no further than two, though its caller sends it again and
// again, in other forms too, and that other requests go on.
func TestPoisonStopsAfterTwoServers(t *testing.T) {
	t.Parallel()
	var engines []*engine.Engine
	var addresses []string
	for range 4 {
		e := startEngine(t)
		engines = append(engines, e)
		addresses = append(addresses, e.Address())
	}
	p := startProcess(t, "127.0.0.1:1", addresses...)
	poison := "Caption: two hares " + engine.PoisonMarker
	for n := range 2 {
		if a := p.complete(poison, n == 0, outputTokens, func(int) {}); a.verdict != verdict.MayHaveRun {
			t.Errorf("send %d: verdict %s, code %q", n, a.verdict, a.code)
		}
	}
	for n := range 3 {
		a := p.complete(poison, n == 0, outputTokens+n, func(int) {})
		if a.verdict != verdict.NotRun || a.code != apierror.CodePoison {
			t.Errorf("later send %d: verdict %s, code %q", n, a.verdict, a.code)
		}
	}
	if a := p.complete("Caption: two hares", true, outputTokens, func(int) {}); !a.whole {
		t.Errorf("another request: %+v", a)
	}
	crashes := 0
	for _, e := range engines {
		for _, entry := range e.Journal() {
			if entry.Outcome == engine.OutcomeCrashed {
				crashes++
			}
		}
	}
	if crashes != 2 {
		t.Errorf("%d engines crashed, want 2", crashes)
	}
}
