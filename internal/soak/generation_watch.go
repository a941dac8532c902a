package soak

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"mimosafront/internal/sleep"
)

// watchInterval is the interval of reading a host's policy generation.
const watchInterval = 200 * time.Millisecond

// generationDrop is a reading of a host's policy generation. sameInstance reports that
// the host was not restarted since the previous reading.
type generationDrop struct {
	host         string
	at           time.Time
	before, now  int
	sameInstance bool
}

// generationWatch polls the policy generation of all hosts and records decreases.
type generationWatch struct {
	fleet *fleet

	mu    sync.Mutex
	reads int
	drops []generationDrop
}

func newGenerationWatch(f *fleet) *generationWatch { return &generationWatch{fleet: f} }

// run polls all hosts until ctx ends.
func (w *generationWatch) run(ctx context.Context) {
	var group conc.WaitGroup
	for _, name := range hostNames {
		group.Go(func() { w.follow(ctx, name) })
	}
	group.Wait()
}

func (w *generationWatch) follow(ctx context.Context, name string) {
	highest, incarnation := 0, 0
	for sleep.For(ctx, watchInterval) {
		report, ok := w.fleet.status(name)
		if !ok || report.State != "ready" {
			continue
		}
		w.recordRead(generationDrop{
			host: name, at: time.Now(), before: highest, now: report.PolicyGeneration,
			sameInstance: report.Incarnation == incarnation,
		})
		highest, incarnation = max(highest, report.PolicyGeneration), report.Incarnation
	}
}

// recordRead counts a reading and keeps it if the generation is lower than before.
func (w *generationWatch) recordRead(d generationDrop) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reads++
	if d.now < d.before {
		w.drops = append(w.drops, d)
	}
}
