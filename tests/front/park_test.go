package front

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"mimosafront/internal/standin/engine"
)

const (
	captions      = 3
	captionTokens = 300
	briefTokens   = 20
)

// TestFloodParksRunningCaptions floods an engine that is full of captions with
// urgent briefs. The captions stand back, and all of them get their whole
// answers later, each from its one run.
func TestFloodParksRunningCaptions(t *testing.T) {
	standin := startEngine(t)
	p := startProcess(t, "127.0.0.1:1", standin.Address()+fmt.Sprintf("\nmax_requests = %d\nholds_streams = true", captions))
	answers := make([]answer, captions)
	var wait sync.WaitGroup
	for i := range answers {
		wait.Go(func() {
			answers[i] = p.complete(fmt.Sprint("caption ", i), i%2 == 0, captionTokens, func(int) {}, "Mimosa-Tier", "caption")
		})
	}
	awaitRunning(t, standin, captions)
	for i := range 2 * captions {
		wait.Go(func() {
			a := p.complete(fmt.Sprint("brief ", i), true, briefTokens, func(int) {}, "Mimosa-Deadline-Ms", "2500")
			if !a.whole {
				t.Errorf("brief %d: %+v", i, a)
			}
		})
	}
	wait.Wait()
	held := 0
	for i, a := range answers {
		runs := standin.Runs()[a.id]
		if len(runs) != 1 || runs[0].Outcome != engine.OutcomeFinished {
			t.Fatalf("caption %d ran as %+v, answer %+v", i, runs, a)
		}
		held += len(runs[0].Holds)
		if !a.whole || a.text != engine.Answer(runs[0].Seed, captionTokens) {
			t.Errorf("caption %d: whole %t, code %q, %d bytes", i, a.whole, a.code, len(a.text))
		}
	}
	if held == 0 {
		t.Error("no caption was held")
	}
}

// awaitRunning waits until an engine has delivered tokens of some requests.
func awaitRunning(t *testing.T, e *engine.Engine, requests int) {
	t.Helper()
	for begun := time.Now(); time.Since(begun) < patience; time.Sleep(10 * time.Millisecond) {
		delivering := 0
		for _, runs := range e.Runs() {
			if runs[0].DeliveredTokens > 0 {
				delivering++
			}
		}
		if delivering >= requests {
			return
		}
	}
	t.Fatalf("the engine does not run %d requests", requests)
}
