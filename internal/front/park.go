package front

import (
	"mimosafront/internal/apierror"
	"mimosafront/internal/backend"
	"mimosafront/internal/grant"
	"mimosafront/internal/message"
	"mimosafront/internal/policy"
	"mimosafront/internal/verdict"
)

// park makes the engine hold a request whose grant was revoked, releases the grant,
// waits for another one on the same server, and resumes the stream. The request is not
// dispatched again: it remains a single run. park returns nil if any step fails; the
// request then ends as revoked.
func (f *Front) park(q *request, use *leaseUse, stream *backend.Stream) *leaseUse {
	held, failure := stream.Hold(q.ctx)
	if failure != nil {
		f.logPark(q, use.lease, "not parked", failure)
		return nil
	}
	switch held.Outcome {
	case backend.OutcomeHeld:
	case backend.OutcomeFinished:
		f.logPark(q, use.lease, "not parked: the engine had finished", nil)
		return f.resumeFinished(q, use, stream)
	default:
		f.logPark(q, use.lease, "not parked", nil)
		return nil
	}
	f.logPark(q, use.lease, "parked", nil)
	f.config.Metrics.Parked()
	use.release(q, message.ReleaseOutcomeParked)
	next := newLeaseUse(q.ctx)
	if f.unpark(q, next, use.lease.Server(), held, stream) {
		use.end()
		return next
	}
	next.end()
	return nil
}

// resumeFinished resumes a stream that the engine had finished computing before it was
// asked to hold it, under the lease in use.
func (f *Front) resumeFinished(q *request, use *leaseUse, stream *backend.Stream) *leaseUse {
	if stream.Resume(q.ctx) != nil {
		return nil
	}
	return use
}

// unpark waits for a grant on the server that holds a request and resumes its stream.
// It reports whether the stream continues under the lease of next.
func (f *Front) unpark(q *request, next *leaseUse, server policy.Server, held backend.HoldResult, stream *backend.Stream) bool {
	r := q.pinnedGrantRequest(server, held)
	lease, err := f.acquirePinned(q, r)
	if err != nil {
		f.logPark(q, nil, "parked request ends", err)
		return false
	}
	next.begin(lease)
	q.span = span{startedAt: now(), resumed: true, remainingPromptTokens: r.PromptTokens, priorOutputTokens: q.outcome.outputTokens}
	q.outcome.grant = lease.ID()
	failure := stream.Resume(next.ctx)
	if failure == nil || failure.Kind == backend.KindCancelled {
		f.logPark(q, lease, "resumed", nil)
		return true
	}
	f.logPark(q, lease, "parked request ends", failure)
	next.release(q, resumeOutcome(failure))
	return false
}

// pinnedGrantRequest returns the grant request for the server that holds the request,
// with the work that is left.
func (q *request) pinnedGrantRequest(server policy.Server, held backend.HoldResult) grant.Request {
	r := q.grantRequest()
	r.Server, r.Zone = server.Name, server.Zone
	r.PromptTokens = max(0, held.PromptTokens-held.PrefilledTokens)
	r.OutputTokens = max(1, q.work.outputTokens-held.OutputTokens)
	r.Prefixes, r.Excluded, r.EndWait = nil, nil, nil
	return r
}

// acquirePinned waits for a lease on the server that holds the request and marks it as
// resumed. It asks again if the grant expires before that.
func (f *Front) acquirePinned(q *request, r grant.Request) (grant.Lease, *apierror.Error) {
	for attempt := 1; ; attempt++ {
		lease, err := f.config.Scheduler.Acquire(q.ctx, r)
		if err != nil {
			return nil, err
		}
		if f.config.Evacuations.Has(lease.Server().Zone) {
			err = apierror.New(apierror.CodeNoServer, verdict.MayHaveRun, "the availability zone of the server that holds the request is evacuated")
			f.returnUnused(q, lease, err)
			return nil, err
		}
		if err = lease.Resume(); err == nil {
			return lease, nil
		}
		lease.Release(grant.Result{Outcome: message.ReleaseOutcomeUnused})
		if q.ctx.Err() != nil || attempt == maxAttempts {
			return nil, err
		}
	}
}

// resumeOutcome returns the outcome that is reported to the scheduler if an engine
// fails to resume a request. A rejected resume means that the engine dropped the
// request, which is not a fault of the server.
func resumeOutcome(failure *backend.Error) message.ReleaseOutcome {
	switch failure.Kind {
	case backend.KindConnect:
		return message.ReleaseOutcomeConnectFailed
	case backend.KindRejected:
		return message.ReleaseOutcomeUnused
	default:
		return message.ReleaseOutcomeServerFailed
	}
}

// logPark logs one step in parking or resuming a request.
func (f *Front) logPark(q *request, lease grant.Lease, step string, err error) {
	fields := []any{
		"request", q.id, "organisation", q.caller.Organisation, "tier", q.tier.Name, "target", q.target,
		"server", q.outcome.server, "verdict", verdict.MayHaveRun, "output_tokens", q.outcome.outputTokens,
	}
	if lease != nil {
		fields = append(fields, "grant", lease.ID())
	}
	if err != nil {
		fields = append(fields, "error", err)
	}
	f.config.Logger.Decision(now(), step, fields...)
}
