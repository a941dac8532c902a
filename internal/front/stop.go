package front

import (
	"context"
	"time"

	"mimosafront/internal/apierror"
	"mimosafront/internal/verdict"
)

// Leave makes the front report that it is not ready, so that load balancers stop
// sending to it. It still accepts requests.
func (f *Front) Leave() { f.leaving.Store(true) }

// Stop makes the front refuse new requests. Those in progress will be cut at the given
// time, or never if it is zero: a request that isn't sent to a server in time to end before
// the cut is refused.
func (f *Front) Stop(cut time.Time) {
	if !cut.IsZero() {
		f.cut.CompareAndSwap(nil, &cut)
	}
	f.active.stop()
	f.endRun()
}

// watchStop refuses a request that waits for a server once the front stops and the request
// could not end before the cut any more. The caller calls the returned function when the
// wait has ended.
func (f *Front) watchStop(q *request) (unwatch func() bool) {
	class, deadline := q.class(), q.deadline
	return context.AfterFunc(f.running, func() {
		cut := f.cut.Load()
		if cut == nil {
			return
		}
		latest := f.runTimes.LatestStart(now(), class, deadline, *cut)
		time.AfterFunc(time.Until(latest), func() { f.refuseWaiting(q) })
	})
}

// refuseWaiting refuses a request unless it has been sent to a server.
func (f *Front) refuseWaiting(q *request) {
	if f.admission.withdraw(q) {
		q.cancel(errTooLateToStart)
	}
}

// checkStop returns an error if the front is stopping and the request, sent now, would not
// end before the cut.
func (f *Front) checkStop(q *request) *apierror.Error {
	cut := f.cut.Load()
	if cut == nil || now().Before(f.runTimes.LatestStart(now(), q.class(), q.deadline, *cut)) {
		return nil
	}
	return tooLateToStart(verdict.NotRun)
}

func tooLateToStart(v verdict.Verdict) *apierror.Error {
	return apierror.New(apierror.CodeStopping, v, "the entry host stops before the request could end").WithRetry(shortRetryDelay)
}

// Drain waits until no request is in progress or ctx ends. It must be called after
// Stop.
func (f *Front) Drain(ctx context.Context) error {
	select {
	case <-f.active.idle:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// CancelAll logs and cancels the requests in progress.
func (f *Front) CancelAll() {
	for _, active := range f.Active() {
		f.config.Logger.Warn("cutting request", "request", active.Request, "organisation", active.Organisation,
			"caller", active.Caller, "tier", active.Tier, "age_ms", active.Age.Milliseconds())
	}
	for _, q := range f.active.list() {
		q.cancel(errFrontStopped)
	}
}
