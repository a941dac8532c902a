package front

import (
	"context"
	"errors"
	"time"

	"github.com/sourcegraph/conc"

	"mimosafront/internal/backend"
	"mimosafront/internal/grant"
	"mimosafront/internal/message"
)

// leaseUse is the use of one lease by a request.
type leaseUse struct {
	lease grant.Lease
	// ctx ends with the request, or with the cause errRevoked when the coordinator
	// revokes the grant.
	ctx      context.Context
	cancel   context.CancelCauseFunc
	watch    conc.WaitGroup
	released bool
}

func newLeaseUse(ctx context.Context) *leaseUse {
	u := &leaseUse{}
	u.ctx, u.cancel = context.WithCancelCause(ctx)
	return u
}

// begin cancels ctx when the lease is revoked, until end is called.
func (u *leaseUse) begin(lease grant.Lease) {
	u.lease = lease
	u.watch.Go(func() {
		select {
		case <-lease.Revoked():
			u.cancel(errRevoked)
		case <-u.ctx.Done():
		}
	})
}

// end cancels ctx and waits for the goroutine of begin.
func (u *leaseUse) end() {
	u.cancel(nil)
	u.watch.Wait()
}

// revoked reports whether ctx ended because the grant was revoked.
func (u *leaseUse) revoked() bool { return errors.Is(context.Cause(u.ctx), errRevoked) }

// release releases the lease with an outcome. Further calls have no effect.
func (u *leaseUse) release(q *request, outcome message.ReleaseOutcome) {
	if u.released {
		return
	}
	u.released = true
	result := q.result()
	result.Outcome = outcome
	u.lease.Release(result)
}

// parkable reports whether the request can be parked: its stream ended because the
// grant was revoked, the server can hold streams, and the caller is still waiting.
func (u *leaseUse) parkable(q *request, failure *backend.Error) bool {
	return failure.Kind == backend.KindCancelled && q.ctx.Err() == nil && u.revoked() && u.lease.Server().HoldsStreams
}

// span describes the progress of a request under one lease.
type span struct {
	startedAt time.Time
	// resumed is set if the span continues a parked run. remainingPromptTokens were
	// left to compute and priorOutputTokens had been delivered when it started.
	resumed               bool
	remainingPromptTokens int
	priorOutputTokens     int
	// timeToFirstToken is the time from startedAt to the first token, or 0 before it.
	timeToFirstToken time.Duration
}

// result returns the usage under the current lease that is reported to the scheduler,
// without the outcome.
func (q *request) result() grant.Result {
	r := grant.Result{
		PromptTokens: q.work.promptTokens,
		CachedTokens: q.outcome.cachedTokens,
		OutputTokens: q.outcome.outputTokens - q.span.priorOutputTokens,
		FirstToken:   q.span.timeToFirstToken,
		Total:        now().Sub(q.span.startedAt).Round(time.Microsecond),
	}
	if q.span.resumed {
		r.PromptTokens, r.CachedTokens = q.span.remainingPromptTokens, 0
	}
	return r
}
