package metrics

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// Upper bounds of the histogram buckets.
var (
	latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 18)
	gapBuckets     = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 1.5, 20)
)

// Request describes a request that has ended.
type Request struct {
	// Tier, Code and Verdict are labels; their values are bounded by the policy
	// and by the lists of codes and verdicts.
	Tier    string
	Code    string
	Verdict string
	// OutputTokens is the number of tokens delivered to the caller.
	OutputTokens int
	// Wait is the time from arrival to dispatch; 0 if it was not dispatched.
	Wait time.Duration
	// FirstToken is the time from dispatch to the first token; 0 if there was none.
	FirstToken time.Duration
	// Total is the time from arrival to the end.
	Total time.Duration
}

// Front holds the metrics of a front. It is safe for concurrent use.
type Front struct {
	scope                tally.Scope
	retries              tally.Counter
	parked               tally.Counter
	inProgress           tally.Gauge
	overloadRefusedShare tally.Gauge
}

// NewFront returns the metrics of a front, in the given scope.
func NewFront(scope tally.Scope) *Front {
	return &Front{
		scope:                scope,
		retries:              scope.Counter("retries"),
		parked:               scope.Counter("parked"),
		inProgress:           scope.Gauge("requests_in_progress"),
		overloadRefusedShare: scope.Gauge("overload_refused_share"),
	}
}

// Record counts a request that has ended and records its times.
func (f *Front) Record(r Request) {
	tier := f.scope.Tagged(map[string]string{"tier": labelOrNone(r.Tier)})
	f.scope.Tagged(map[string]string{"tier": labelOrNone(r.Tier), "code": r.Code, "verdict": r.Verdict}).Counter("requests").Inc(1)
	tier.Counter("output_tokens").Inc(int64(r.OutputTokens))
	tier.Histogram("request_seconds", latencyBuckets).RecordDuration(r.Total)
	if r.Wait > 0 {
		tier.Histogram("wait_seconds", latencyBuckets).RecordDuration(r.Wait)
	}
	if r.FirstToken > 0 {
		tier.Histogram("first_token_seconds", latencyBuckets).RecordDuration(r.FirstToken)
	}
}

// Gaps returns the histogram of the times between output tokens in a tier.
func (f *Front) Gaps(tier string) tally.Histogram {
	return f.scope.Tagged(map[string]string{"tier": labelOrNone(tier)}).Histogram("token_gap_seconds", gapBuckets)
}

// Retry counts a repeated ask for a grant.
func (f *Front) Retry() { f.retries.Inc(1) }

// Parked counts a revoked request that is parked on its server.
func (f *Front) Parked() { f.parked.Inc(1) }

// InProgress sets the number of requests in progress.
func (f *Front) InProgress(n int) { f.inProgress.Update(float64(n)) }

// OverloadShare sets the fraction of arriving requests that is refused because the
// process lacks processor time, 0 to 1.
func (f *Front) OverloadShare(share float64) { f.overloadRefusedShare.Update(share) }

// labelOrNone returns a label value, or "none" for requests that were refused before
// the value was known.
func labelOrNone(value string) string {
	if value == "" {
		return "none"
	}
	return value
}
