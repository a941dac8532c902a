package soak

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"mimosafront/internal/sleep"
)

// watchInterval separates two looks at a host's policy generation.
const watchInterval = 200 * time.Millisecond

// drop is a host that has a lower policy generation than before.
type drop struct {
	host         string
	at           time.Time
	before, now  int
	sameInstance bool
}

// statusWatch looks at the policy generation of all hosts.
type statusWatch struct {
	fleet *fleet

	mu    sync.Mutex
	looks int
	drops []drop
}

func newStatusWatch(f *fleet) *statusWatch { return &statusWatch{fleet: f} }

// run looks until ctx ends.
func (w *statusWatch) run(ctx context.Context) {
	var group conc.WaitGroup
	for _, name := range hostNames {
		group.Go(func() { w.follow(ctx, name) })
	}
	group.Wait()
}

func (w *statusWatch) follow(ctx context.Context, name string) {
	highest, incarnation := 0, 0
	for sleep.For(ctx, watchInterval) {
		report, ok := w.fleet.status(name)
		if !ok || report.State != "ready" {
			continue
		}
		w.note(drop{
			host: name, at: time.Now(), before: highest, now: report.PolicyGeneration,
			sameInstance: report.Incarnation == incarnation,
		})
		highest, incarnation = max(highest, report.PolicyGeneration), report.Incarnation
	}
}

// note counts a look and keeps it if the generation is lower than before.
func (w *statusWatch) note(d drop) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.looks++
	if d.now < d.before {
		w.drops = append(w.drops, d)
	}
}
