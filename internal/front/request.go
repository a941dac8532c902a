package front

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/xid"
	"github.com/uber-go/tally/v4"

	"mimosafront/internal/apierror"
	"mimosafront/internal/grant"
	"mimosafront/internal/policy"
	"mimosafront/internal/verdict"
)

// request is one request of a caller, from its header to its end. It is owned
// by one goroutine.
type request struct {
	id       string
	policy   *policy.Policy
	caller   policy.Caller
	tier     policy.Tier
	target   string
	arrived  time.Time
	deadline time.Time
	// ctx ends with the caller, the deadline, or a cancel that names a cause.
	ctx    context.Context
	cancel context.CancelCauseFunc
	stop   context.CancelFunc

	work     work
	excluded []string
	gaps     tally.Histogram
	// lastTokenAt is when the last token came.
	lastTokenAt time.Time
	attempts    int
	// endWait is closed when the front can't hold the waiting request any
	// longer, so that its pools grant or refuse it at once. Without it the
	// request is displaced instead: no lower tier could give way to it.
	endWait chan struct{}
	// span is what the request did under its present lease.
	span    span
	outcome outcome
}

// work is what the scheduler needs to know of a request's content.
type work struct {
	promptTokens int
	outputTokens int
	prefixes     []uint64
	fingerprint  uint64
	// nonPreemptible requests must not be broken off for others.
	nonPreemptible bool
	// claim is taken of the organisation's rate limit, in tokens.
	claim int
	// firstTokenTarget and firstTokenLimit are for the first token, from the arrival; 0 for none.
	firstTokenTarget, firstTokenLimit time.Duration
}

// outcome is what is logged of a request's end.
type outcome struct {
	server           string
	grant            string
	grantedAt        time.Time
	timeToFirstToken time.Duration
	longestGap       time.Duration
	outputTokens     int
	cachedTokens     int
	status           int
	verdict          verdict.Verdict
	err              *apierror.Error
}

// begin authenticates a request and gives it a tier and a deadline. Each begun
// request must be ended.
func (f *Front) begin(r *http.Request) (*request, *apierror.Error) {
	q := &request{id: xid.New().String(), arrived: now(), policy: f.config.Policy()}
	q.outcome.verdict = verdict.NotRun
	ctx, cancel := context.WithCancelCause(r.Context())
	q.ctx, q.cancel, q.stop = ctx, cancel, func() { cancel(nil) }
	if q.policy == nil {
		return q, apierror.New(apierror.CodeNoServer, verdict.NotRun, "no policy is in force yet").WithRetry(shortRetryDelay)
	}
	var err *apierror.Error
	if q.caller, err = authenticate(q.policy, r.Header); err != nil {
		return q, err
	}
	if q.tier, err = chooseTier(q.policy, q.caller, r.Header); err != nil {
		return q, err
	}
	return q, f.register(q)
}

// register takes a request whose caller and tier are known, or refuses it.
func (f *Front) register(q *request) *apierror.Error {
	if err := f.checkOverload(q); err != nil {
		return err
	}
	q.openEndWait()
	if !f.active.add(q) {
		return stoppingError()
	}
	f.config.Metrics.InProgress(f.active.count())
	return nil
}

// openEndWait makes endWait for a request that has a tier below its own.
func (q *request) openEndWait() {
	if tiers := q.policy.Tiers; q.tier.Rank < tiers[len(tiers)-1].Rank {
		q.endWait = make(chan struct{})
	}
}

func stoppingError() *apierror.Error {
	return apierror.New(apierror.CodeStopping, verdict.NotRun, "the entry host is stopping").WithRetry(shortRetryDelay)
}

// setDeadline ends the request's context after the deadline that its caller
// asked for, or after the default.
func (q *request) setDeadline(header http.Header, defaultMs int) *apierror.Error {
	limit, err := chooseDeadline(q.tier, header, defaultMs)
	if err != nil {
		return err
	}
	q.deadline = q.arrived.Add(limit)
	ctx, stop := context.WithDeadline(q.ctx, q.deadline)
	cancel := q.cancel
	q.ctx, q.stop = ctx, func() { stop(); cancel(nil) }
	return nil
}

// end logs and counts a request.
func (f *Front) end(q *request) {
	q.stop()
	f.admission.release(q)
	f.active.remove(q)
	f.config.Metrics.InProgress(f.active.count())
	f.logEnd(q)
	f.countEnd(q)
}

// grantRequest returns what the scheduler needs to know.
func (q *request) grantRequest() grant.Request {
	return grant.Request{
		ID:             q.id,
		Target:         q.target,
		Organisation:   q.caller.Organisation,
		Caller:         q.caller.Name,
		Tier:           q.tier.Rank,
		PromptTokens:   q.work.promptTokens,
		OutputTokens:   q.work.outputTokens,
		Prefixes:       q.work.prefixes,
		Fingerprint:    q.work.fingerprint,
		Claim:          q.work.claim,
		NonPreemptible: q.work.nonPreemptible,
		FirstTarget:    q.work.firstTokenTarget,
		FirstLimit:     q.work.firstTokenLimit,
		Arrived:        q.arrived,
		Deadline:       q.deadline,
		Excluded:       q.excluded,
		EndWait:        q.endWait,
	}
}
