package engine

import (
	"time"
)

// maxLateness is how far the steps may fall behind the clock before the engine
// gives up to catch up.
const maxLateness = 50 * time.Millisecond

// idleInterval is how often an idle engine takes a load report.
const idleInterval = 20 * time.Millisecond

// run steps the batch until the engine is closed.
func (e *Engine) run() {
	next := time.Now()
	for {
		now := time.Now()
		if now.Sub(next) > maxLateness {
			next = now.Add(-maxLateness)
		}
		next = next.Add(e.advance(now))
		if !e.sleep(time.Until(next)) {
			return
		}
	}
}

func (e *Engine) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-e.done:
		return false
	case <-timer.C:
		return true
	}
}

// advance runs one step and returns how long it takes. The tokens of a step are
// published at its start, so a token leaves one step early; only the first of an
// idle batch is affected.
func (e *Engine) advance(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reports.add(now, e.load())
	if now.Before(e.stallUntil) {
		return min(idleInterval, e.stallUntil.Sub(now))
	}
	e.dropLost(now)
	if e.batch.idle() || e.down {
		return e.config.MinStep / 2
	}
	duration, changed := e.batch.step()
	for _, s := range changed {
		e.publish(s)
	}
	return time.Duration(float64(duration) * e.slowdown)
}

// publish makes the new token of a sequence visible.
func (e *Engine) publish(s *sequence) {
	if s.poison {
		go e.Crash(e.config.DownTime)
		return
	}
	if s.generated >= s.output {
		e.end(s, OutcomeFinished)
		return
	}
	s.signal()
}

// end takes a sequence out of the batch and wakes its reader.
func (e *Engine) end(s *sequence, outcome Outcome) {
	if s.ended() {
		return
	}
	if s.outcome == OutcomeHeld {
		e.unhold(s)
	}
	s.outcome = outcome
	e.batch.remove(s)
	e.record(s)
	e.journal.entries[s.entry].Ended = time.Now()
	s.signal()
}

func (e *Engine) endAll(outcome Outcome) {
	for _, s := range e.batch.all() {
		e.end(s, outcome)
	}
	for _, s := range e.requests {
		e.end(s, outcome)
	}
}

// dropLost cancels requests whose connection broke longer ago than the resume
// window, or that were held for too long, and forgets ended ones.
func (e *Engine) dropLost(now time.Time) {
	for id, s := range e.requests {
		if !e.expired(now, s) {
			continue
		}
		e.end(s, OutcomeCancelled)
		delete(e.requests, id)
	}
}

func (e *Engine) load() Load {
	load := Load{Running: len(e.batch.running), Waiting: len(e.batch.waiting)}
	for _, s := range e.batch.all() {
		load.TokensInFlight += s.kv()
	}
	load.CacheUsed = float64(e.batch.kvUsed) / float64(e.config.KVTokens)
	return load
}
