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

// A client that is refused for want of processor time comes back through another host
// after minOverloadRetry and up to overloadRetryJitter more: soon, since others may be idle, and
// spread, since others may be as busy.
const (
	minOverloadRetry    = 100 * time.Millisecond
	overloadRetryJitter = 300 * time.Millisecond
)

// overloadGuard refuses requests while the process stays behind. It is safe for
// concurrent use.
type overloadGuard struct {
	mu    sync.Mutex
	guard overload.Guard
}

// admit reports whether a request of a tier is taken.
func (g *overloadGuard) admit(rank int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.guard.Admit(rank, rand.Float64())
}

// observe notes the delay of a wake-up and returns the refused share before and after.
func (g *overloadGuard) observe(at time.Time, delay time.Duration) (before, after float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before = g.guard.Share()
	g.guard.Observe(at, delay)
	return before, g.guard.Share()
}

// MonitorOverload measures how late the process runs what is ready to run, until ctx ends.
// It does nothing unless the settings say that requests are refused for it.
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

// checkOverload refuses a request that the process is too far behind to serve.
func (f *Front) checkOverload(q *request) *apierror.Error {
	if f.overloadGuard.admit(q.tier.Rank) {
		return nil
	}
	return apierror.New(apierror.CodeOverloaded, verdict.NotRun, "the entry host has no processor time left").
		WithRetry(minOverloadRetry + rand.N(overloadRetryJitter))
}
