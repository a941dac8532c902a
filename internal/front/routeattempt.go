package front

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"mimosafront/internal/apierror"
	"mimosafront/internal/backend"
	"mimosafront/internal/grant"
	"mimosafront/internal/message"
	"mimosafront/internal/policy"
	"mimosafront/internal/settings"
	"mimosafront/internal/verdict"
)

// sendWithRetries sends a request to one server after another until a server answers
// it, as long as the request has not run or may run more than once. The returned error
// has not been sent to the client.
func (f *Front) sendWithRetries(q *routedRequest) *apierror.Error {
	for {
		failure, err := f.sendOnce(q)
		if err != nil {
			return q.withMergedVerdict(err)
		}
		if failure == nil {
			q.outcome.verdict = verdict.Ran
			return nil
		}
		q.mergedVerdict = verdict.Merge(q.mergedVerdict, failure.Verdict())
		if !q.mayRetry(failure) || !f.retries.spend() {
			return q.withMergedVerdict(q.failureError(failure))
		}
		q.excluded = append(q.excluded, failure.Server)
		f.config.Metrics.Retry()
		f.config.Logger.Decision(now(), "sent again", "request", q.id, "server", failure.Server, "verdict", q.mergedVerdict,
			"events", q.eventCount, "error", failure)
	}
}

// sendOnce waits for a grant and sends the request to its server once. If err is set,
// nothing was sent.
func (f *Front) sendOnce(q *routedRequest) (failure *backend.Error, err *apierror.Error) {
	use := newLeaseUse(q.ctx)
	defer use.end()
	lease, conn, err := f.acquireAndDispatch(use.ctx, q.request)
	if err != nil {
		return nil, err
	}
	q.sendCount++
	use.begin(lease)
	f.watchSilence(q, use, lease, conn)
	if failure = f.exchange(q, lease, conn); failure == nil {
		use.release(q.request, message.ReleaseOutcomeFinished)
		return nil, nil
	}
	if failure.Kind == backend.KindCancelled && use.revoked() {
		q.cancel(errRevoked)
	}
	if failure.Kind == backend.KindBroken && f.refusesConnections(q.ctx, lease.Server()) {
		failure.Kind = backend.KindCrashed
	}
	outcome := q.routedOutcome(failure)
	use.release(q.request, outcome)
	if !outcome.NeverRan() {
		q.work.claim = 0 // the first claim covers all later sends
	}
	return failure, nil
}

// routedOutcome returns the outcome of a failed attempt that is reported to the
// scheduler. An error status after the request was sent counts as a failure of the
// server.
func (q *routedRequest) routedOutcome(failure *backend.Error) message.ReleaseOutcome {
	switch {
	case failure.Kind == backend.KindRejected && failure.Sent:
		return message.ReleaseOutcomeServerFailed
	case failure.Kind == backend.KindSilent:
		return message.ReleaseOutcomeConnectFailed
	}
	return q.releaseOutcome(failure)
}

const (
	// minSilence and maxSilence limit the interval without output after which a server
	// is probed. Between them, the interval is the target time of the route.
	minSilence = 200 * time.Millisecond
	maxSilence = 600 * time.Millisecond
	// maxFailedProbes is the number of consecutive failed probes after which a server
	// is considered lost.
	maxFailedProbes = 2
)

// watchSilence probes a server with a new connection whenever its answer makes no
// progress. When the server is considered lost, a request that may run again is sent to
// another server. Any other request keeps waiting, but its lease is released as failed,
// so that the server is given no more work.
func (f *Front) watchSilence(q *routedRequest, use *leaseUse, lease grant.Lease, conn *backend.Conn) {
	interval := min(max(settings.Milliseconds(q.route.TargetMs), minSilence), maxSilence)
	failures := 0
	conn.SetLivenessCheck(interval, func() bool {
		if f.acceptsConnections(q.ctx, lease.Server()) {
			failures = 0
			return true
		}
		if failures++; failures < maxFailedProbes {
			return true
		}
		f.config.Logger.Decision(now(), "server silent", "request", q.id, "server", lease.Server().Name, "events", q.eventCount)
		if !q.route.AtMostOnce() && q.sendCount < q.route.MaxAttempts {
			return false
		}
		use.release(q.request, message.ReleaseOutcomeConnectFailed)
		return true
	})
}

// acceptsConnections reports whether a server accepts a new connection.
func (f *Front) acceptsConnections(ctx context.Context, server policy.Server) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, failure := f.dialer.Connect(ctx, server)
	if failure != nil {
		return false
	}
	conn.Close()
	return true
}

// probeTimeout limits a probe of a server that is silent or broke a connection.
const probeTimeout = 200 * time.Millisecond

// refusesConnections reports whether a server refuses or resets a new connection, which
// shows that its process is gone. A timeout does not count.
func (f *Front) refusesConnections(ctx context.Context, server policy.Server) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, failure := f.dialer.Connect(ctx, server)
	if failure == nil {
		conn.Close()
		return false
	}
	return errors.Is(failure, syscall.ECONNREFUSED) || errors.Is(failure, syscall.ECONNRESET)
}

// withMergedVerdict merges the verdict of earlier attempts into an error.
func (q *routedRequest) withMergedVerdict(err *apierror.Error) *apierror.Error {
	err.Verdict = verdict.Merge(err.Verdict, q.mergedVerdict)
	return err
}

// mayRetry reports whether the request may be sent to another server after a failure.
func (q *routedRequest) mayRetry(failure *backend.Error) bool {
	if q.ctx.Err() != nil || failure.Kind == backend.KindCancelled {
		return false
	}
	if failure.Verdict() == verdict.NotRun {
		return q.sendCount < max(q.route.MaxAttempts, 1)+maxNotRunRetries
	}
	return !q.route.AtMostOnce() && q.sendCount < q.route.MaxAttempts
}

// maxNotRunRetries is the number of attempts, beyond those of the route, that are
// allowed after servers did not run the request.
const maxNotRunRetries = 1

// exchange sends a request under a lease and forwards the answer.
func (f *Front) exchange(q *routedRequest, lease grant.Lease, conn *backend.Conn) *backend.Error {
	answer, failure := f.relay.Send(conn, f.attemptRequest(q, lease))
	if failure != nil {
		return failure
	}
	if answer.IsEarly() {
		f.config.Logger.Decision(now(), "answered before the request was written", "request", q.id, "server", lease.Server().Name,
			"status", answer.Status, "not_run", answer.NotRun)
	}
	return f.forwardAnswer(q, lease, answer)
}

// attemptRequest returns the request with the headers for the server of a lease.
func (f *Front) attemptRequest(q *routedRequest, lease grant.Lease) backend.RelayedRequest {
	names := f.config.Headers
	out := q.outgoing
	out.Header = q.outgoing.Header.Clone()
	out.Header.Set(names.Server, lease.Server().Name)
	out.Header.Set(names.Deadline, strconv.FormatInt(max(1, time.Until(q.deadline).Milliseconds()), 10))
	if q.eventCount > 0 {
		out.Header.Set(names.LastEvent, strconv.Itoa(q.lastEventID))
	}
	return out
}

// forwardAnswer sends an answer to the client. It returns a failure, and sends nothing,
// if the server did not run the request or failed with a status of 500 or above that
// may be retried elsewhere.
func (f *Front) forwardAnswer(q *routedRequest, lease grant.Lease, answer *backend.Answer) *backend.Error {
	if answer.NotRun {
		return f.discardNotRun(q, lease, answer)
	}
	if q.route.Streaming && answer.Status == http.StatusOK {
		return f.forwardEvents(q, lease, answer)
	}
	body, failure := answer.ReadAll()
	if failure != nil {
		return failure
	}
	defer answer.Release()
	answer.Close(&f.relay)
	if answer.Status >= http.StatusInternalServerError && q.mayRunAgain() {
		return &backend.Error{Kind: backend.KindRejected, Sent: true, Status: answer.Status, Server: lease.Server().Name}
	}
	if q.headerSent {
		return &backend.Error{Kind: backend.KindRejected, Sent: true, Status: answer.Status, Server: lease.Server().Name}
	}
	q.copyHeader(answer.Header)
	q.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	f.writeHeader(q.w, q.request, answer.Status)
	f.writeInParts(q.w, q.request, body)
	return nil
}

// mayRunAgain reports whether the route allows another attempt for a request that has
// run, and time is left for it.
func (q *routedRequest) mayRunAgain() bool {
	return !q.route.AtMostOnce() && q.sendCount < q.route.MaxAttempts && time.Until(q.deadline) > 0
}

// discardNotRun discards the answer of a server that did not run the request.
func (f *Front) discardNotRun(q *routedRequest, lease grant.Lease, answer *backend.Answer) *backend.Error {
	answer.Discard(&f.relay)
	return &backend.Error{Kind: backend.KindRejected, Status: answer.Status, Server: lease.Server().Name}
}

// copyHeader copies the header of an answer without its hop-by-hop headers.
func (q *routedRequest) copyHeader(from http.Header) {
	header := q.w.Header()
	for name, values := range from {
		header[name] = values
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}
