package front

import (
	"net/http"
	"time"

	"mimosafront/internal/policy"
	"mimosafront/internal/settings"
)

// Requests that reach a starting host wait for its first policy. Load: all entry hosts
// restart at once, and their clients' next attempts arrive before any host has read a
// policy. A refusal sends such a client away for shortRetryDelay, often to another host
// that is starting, while the policy is a few hundred milliseconds away.

const (
	// maxAwaitingPolicy limits the requests that wait for the first policy, each with its
	// connection and header.
	maxAwaitingPolicy = 256
	// awaitedDeadlineShare is the part of a request's own time limit that it may spend on
	// the wait, so that most of it is left for its answer.
	awaitedDeadlineShare = 0.25
)

// awaitPolicy returns the policy in force. Without one, it waits for the first, for the
// time of the settings at most; it returns nil if none came.
func (f *Front) awaitPolicy(r *http.Request) *policy.Policy {
	p, limit := f.config.Policy(), settings.Milliseconds(f.config.Settings.StartWaitMs)
	if p != nil || limit == 0 || f.config.PolicyKnown == nil {
		return p
	}
	defer f.awaitingPolicy.Add(-1)
	if f.awaitingPolicy.Add(1) > maxAwaitingPolicy {
		return nil
	}
	f.awaitedPolicy.Do(func() { f.config.Logger.Info("requests wait for the first policy", "limit_ms", limit.Milliseconds()) })
	if own, ok := statedLimit(r.Header.Get(f.config.Headers.Deadline)); ok {
		limit = min(limit, time.Duration(awaitedDeadlineShare*float64(own)))
	}
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	select {
	case <-f.config.PolicyKnown:
	case <-timeout.C:
	case <-r.Context().Done():
	case <-f.running.Done():
	}
	return f.config.Policy()
}
