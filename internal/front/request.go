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

// request is a request of a caller, from the arrival of its header to its end. It is
// owned by one goroutine.
type request struct {
	id     string
	policy *policy.Policy
	caller policy.Caller
	tier   policy.Tier
	target string
	// routeName is the name of the route, if there is one.
	routeName string
	arrived   time.Time
	deadline  time.Time
	// unreadBody is set while the request has a body that was not read.
	unreadBody bool
	// ctx ends when the caller disconnects, at the deadline, or by a call of cancel,
	// which states the cause.
	ctx    context.Context
	cancel context.CancelCauseFunc
	stop   context.CancelFunc

	work     work
	excluded []string
	gaps     tally.Histogram
	// lastTokenAt is the arrival time of the last token or event.
	lastTokenAt time.Time
	attempts    int
	// endWait is closed when the front can no longer hold the waiting request, so that
	// its pools grant or refuse it at once. It is nil for the lowest tier: there is no
	// lower work to revoke, so the front displaces the request instead.
	endWait chan struct{}
	// span is the progress under the current lease.
	span    span
	outcome outcome
}

// work is what the scheduler needs to know about the content of a request.
type work struct {
	promptTokens int
	outputTokens int
	prefixes     []uint64
	fingerprint  uint64
	// parts identify the parts of the prompt, the request's own part last.
	parts []uint64
	// partTokens are the lengths of the parts in tokens; nil if one is unknown.
	partTokens []int
	// nonPreemptible requests are not revoked for other work.
	nonPreemptible bool
	// claim is the number of tokens that the request takes from its organisation's rate
	// limit.
	claim int
	// firstTokenTarget and firstTokenLimit are the target and the limit of the time
	// from arrival to the first token; 0 for none.
	firstTokenTarget, firstTokenLimit time.Duration
}

// outcome is what is logged and counted at the end of a request.
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

// begin authenticates a request and determines its tier. Each request must be passed to
// end, also after an error.
func (f *Front) begin(r *http.Request) (*request, *apierror.Error) {
	q := &request{id: xid.New().String(), arrived: now(), policy: f.config.Policy(), unreadBody: r.ContentLength != 0}
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

// register adds a request whose caller and tier are known to those in progress, or
// refuses it.
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

// openEndWait creates endWait for a request above the lowest tier.
func (q *request) openEndWait() {
	if tiers := q.policy.Tiers; q.tier.Rank < tiers[len(tiers)-1].Rank {
		q.endWait = make(chan struct{})
	}
}

func stoppingError() *apierror.Error {
	return apierror.New(apierror.CodeStopping, verdict.NotRun, "the entry host is stopping").WithRetry(shortRetryDelay)
}

// class groups the requests whose runs take alike long.
func (q *request) class() string { return q.target + "/" + q.routeName }

// setDeadline limits the context of the request to the deadline that the header asks
// for, or to defaultMs after the arrival.
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

// end releases the resources of a request, logs it and counts it.
func (f *Front) end(q *request) {
	q.stop()
	if !q.span.startedAt.IsZero() {
		f.runTimes.Observe(now(), q.class(), now().Sub(q.span.startedAt))
	}
	f.admission.release(q)
	f.active.remove(q)
	f.config.Metrics.InProgress(f.active.count())
	f.logEnd(q)
	f.countEnd(q)
}

// grantRequest returns the request for a grant.
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
		Parts:          q.work.parts,
		PartTokens:     q.work.partTokens,
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
