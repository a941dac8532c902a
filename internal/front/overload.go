package front

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"mimosafront/internal/apierror"
	"mimosafront/internal/overload"
	"mimosafront/internal/verdict"
)

// A client that is refused because the processor is overloaded is advised to retry
// after minOverloadRetry plus a random delay of up to overloadRetryJitter: soon, since
// other entry hosts may be idle, and with jitter, since they may be as busy.
const (
	minOverloadRetry    = 100 * time.Millisecond
	overloadRetryJitter = 300 * time.Millisecond
)

// overloadGuard refuses a share of the requests while the process is scheduled late,
// which shows that the processor is overloaded. It is safe for concurrent use.
type overloadGuard struct {
	mu    sync.Mutex
	guard overload.Guard
}

// admit reports whether a request of the tier with this rank is accepted.
func (g *overloadGuard) admit(rank int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.guard.Admit(rank, rand.Float64())
}

// observe records the delay of a wake-up and returns the refused share before and
// after.
func (g *overloadGuard) observe(at time.Time, delay time.Duration) (before, after float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before = g.guard.Share()
	g.guard.Observe(at, delay)
	return before, g.guard.Share()
}

// MonitorOverload measures how late timers of the process fire, until ctx ends. It does
// nothing unless the settings enable ShedOverload.
func (f *Front) MonitorOverload(ctx context.Context) {
	if !f.config.Settings.ShedOverload {
		return
	}
	timer := time.NewTimer(overload.SampleInterval)
	defer timer.Stop()
	due := now().Add(overload.SampleInterval)
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		at := now()
		f.recordDelay(at, at.Sub(due))
		due = now().Add(overload.SampleInterval)
		timer.Reset(overload.SampleInterval)
	}
}

// recordDelay passes the delay of a wake-up to the guard and logs when overload begins
// and ends.
func (f *Front) recordDelay(at time.Time, delay time.Duration) {
	before, after := f.overloadGuard.observe(at, delay)
	f.config.Metrics.OverloadShare(after)
	switch {
	case before == 0 && after > 0:
		f.config.Logger.Warn("overloaded: requests are refused for want of processor time", "share", after, "delay_ms", delay.Milliseconds(),
			"requests", f.active.count())
	case before > 0 && after == 0:
		f.config.Logger.Info("no longer overloaded", "requests", f.active.count())
	}
}

// checkOverload refuses a share of the requests while the processor is overloaded,
// lower tiers first.
func (f *Front) checkOverload(q *request) *apierror.Error {
	if f.overloadGuard.admit(q.tier.Rank) {
		return nil
	}
	return apierror.New(apierror.CodeOverloaded, verdict.NotRun, "the entry host has no processor time left").
		WithRetry(minOverloadRetry + rand.N(overloadRetryJitter))
}
