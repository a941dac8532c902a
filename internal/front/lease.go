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

// leaseUse is the time in which a request holds one lease.
type leaseUse struct {
	lease grant.Lease
	// ctx ends with the request, or with the cause errRevoked when the
	// coordinator takes the grant back.
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

// begin watches for the revocation of a lease until end.
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

func (u *leaseUse) end() {
	u.cancel(nil)
	u.watch.Wait()
}

// revoked reports whether the coordinator took the grant back.
func (u *leaseUse) revoked() bool { return errors.Is(context.Cause(u.ctx), errRevoked) }

// release gives the lease back, unless that was done before.
func (u *leaseUse) release(q *request, outcome message.ReleaseOutcome) {
	if u.released {
		return
	}
	u.released = true
	result := q.result()
	result.Outcome = outcome
	u.lease.Release(result)
}

// parkable reports whether a stream broke off because its grant was revoked, on
// a server that can hold it, while its caller goes on waiting.
func (u *leaseUse) parkable(q *request, failure *backend.Error) bool {
	return failure.Kind == backend.KindCancelled && q.ctx.Err() == nil && u.revoked() && u.lease.Server().HoldsStreams
}

// span is what a request did under one lease.
type span struct {
	startedAt time.Time
	// resumed spans go on with a run. When it began, remainingPromptTokens were left to
	// compute and priorOutputTokens delivered.
	resumed               bool
	remainingPromptTokens int
	priorOutputTokens     int
	// timeToFirstToken is the time from began to the first token.
	timeToFirstToken time.Duration
}

// result returns what the scheduler is told of the present lease, but for the
// outcome.
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
