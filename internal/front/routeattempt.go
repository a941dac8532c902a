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

// attempts sends a request to one server after another until one answers it, as
// long as it may run again or has not run. An error was not yet shown to the client.
func (f *Front) attempts(q *routed) *apierror.Error {
	for {
		failure, err := f.attempt(q)
		if err != nil {
			return q.worst(err)
		}
		if failure == nil {
			q.outcome.verdict = verdict.Ran
			return nil
		}
		q.known = verdict.Merge(q.known, failure.Verdict())
		if !q.mayRepeat(failure) || !f.retries.spend() {
			return q.worst(q.failed(failure))
		}
		q.excluded = append(q.excluded, failure.Server)
		f.config.Metrics.Retry()
		f.config.Logger.Decision(now(), "sent again", "request", q.id, "server", failure.Server, "verdict", q.known,
			"events", q.events, "error", failure)
	}
}

// attempt waits for a grant and sends the request to its server once. err means that
// nothing was sent.
func (f *Front) attempt(q *routed) (failure *backend.Error, err *apierror.Error) {
	use := newLeaseUse(q.ctx)
	defer use.end()
	lease, conn, err := f.obtain(use.ctx, q.request)
	if err != nil {
		return nil, err
	}
	q.sends++
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
		q.work.claim = 0 // what was claimed once counts for all servers
	}
	return failure, nil
}

// routedOutcome returns what the scheduler is told of a failed attempt. An error that
// a server made of a request counts against the server.
func (q *routed) routedOutcome(failure *backend.Error) message.ReleaseOutcome {
	switch {
	case failure.Kind == backend.KindRejected && failure.Sent:
		return message.ReleaseOutcomeServerFailed
	case failure.Kind == backend.KindSilent:
		return message.ReleaseOutcomeConnectFailed
	}
	return q.releaseOutcome(failure)
}

const (
	// leastSilence and mostSilence bound the silence of a server after which it must
	// prove to be alive. Between them it is the time in which the route's answers are
	// worth most.
	leastSilence = 200 * time.Millisecond
	mostSilence  = 600 * time.Millisecond
	// silenceProbes that fail in a row show that a server is gone.
	silenceProbes = 2
)

// watchSilence has a server prove to be alive, by a fresh connection, whenever its
// answer stands still. A request that may run again then goes to another server; any
// other waits on, but its place is given up, so that the server gets no more work.
func (f *Front) watchSilence(q *routed, use *leaseUse, lease grant.Lease, conn *backend.Conn) {
	interval := min(max(settings.Milliseconds(q.route.TargetMs), leastSilence), mostSilence)
	failures := 0
	conn.OnSilence(interval, func() bool {
		if f.connects(q.ctx, lease.Server()) {
			failures = 0
			return true
		}
		if failures++; failures < silenceProbes {
			return true
		}
		f.config.Logger.Decision(now(), "server silent", "request", q.id, "server", lease.Server().Name, "events", q.events)
		if !q.route.AtMostOnce() && q.sends < q.route.MaxAttempts {
			return false
		}
		use.release(q.request, message.ReleaseOutcomeConnectFailed)
		return true
	})
}

// connects reports whether a server takes a new connection.
func (f *Front) connects(ctx context.Context, server policy.Server) bool {
	ctx, cancel := context.WithTimeout(ctx, crashProbeTimeout)
	defer cancel()
	conn, failure := f.dialer.Connect(ctx, server)
	if failure != nil {
		return false
	}
	conn.Close()
	return true
}

// crashProbeTimeout bounds the look whether a server that broke a connection is gone.
const crashProbeTimeout = 200 * time.Millisecond

// refusesConnections reports whether a server refuses a new connection.
func (f *Front) refusesConnections(ctx context.Context, server policy.Server) bool {
	ctx, cancel := context.WithTimeout(ctx, crashProbeTimeout)
	defer cancel()
	conn, failure := f.dialer.Connect(ctx, server)
	if failure == nil {
		conn.Close()
		return false
	}
	return errors.Is(failure, syscall.ECONNREFUSED) || errors.Is(failure, syscall.ECONNRESET)
}

// worst returns an error with what is known over all attempts.
func (q *routed) worst(err *apierror.Error) *apierror.Error {
	err.Verdict = verdict.Merge(err.Verdict, q.known)
	return err
}

// mayRepeat reports whether the request may go to another server after a failure.
func (q *routed) mayRepeat(failure *backend.Error) bool {
	if q.ctx.Err() != nil || failure.Kind == backend.KindCancelled {
		return false
	}
	if failure.Verdict() == verdict.NotRun {
		return q.sends < max(q.route.MaxAttempts, 1)+maxRejections
	}
	return !q.route.AtMostOnce() && q.sends < q.route.MaxAttempts
}

// maxRejections bounds how often a request goes on to another server because one
// did not run it, beyond the attempts of its route.
const maxRejections = 1

// exchange sends a request under a lease and passes the answer on.
func (f *Front) exchange(q *routed, lease grant.Lease, conn *backend.Conn) *backend.Error {
	answer, failure := f.relay.Send(conn, f.attemptOf(q, lease))
	if failure != nil {
		return failure
	}
	return f.passOn(q, lease, answer)
}

// attemptOf returns the request as the server of a lease gets it.
func (f *Front) attemptOf(q *routed, lease grant.Lease) backend.Relayed {
	names := f.config.Headers
	out := q.outgoing
	out.Header = q.outgoing.Header.Clone()
	out.Header.Set(names.Server, lease.Server().Name)
	out.Header.Set(names.Deadline, strconv.FormatInt(max(1, time.Until(q.deadline).Milliseconds()), 10))
	if q.events > 0 {
		out.Header.Set(names.LastEvent, strconv.Itoa(q.lastEvent))
	}
	return out
}

// passOn gives an answer to the client. An answer of a server that did not run the
// request and a failure that may be repeated elsewhere are kept back.
func (f *Front) passOn(q *routed, lease grant.Lease, answer *backend.Answer) *backend.Error {
	if answer.NotRun {
		return f.rejected(q, lease, answer)
	}
	if q.route.Streaming && answer.Status == http.StatusOK {
		return f.passEvents(q, lease, answer)
	}
	body, failure := answer.ReadAll()
	if failure != nil {
		return failure
	}
	answer.Close(&f.relay)
	if answer.Status >= http.StatusInternalServerError && q.repeatable() {
		return &backend.Error{Kind: backend.KindRejected, Sent: true, Status: answer.Status, Server: lease.Server().Name}
	}
	if q.began {
		return &backend.Error{Kind: backend.KindRejected, Sent: true, Status: answer.Status, Server: lease.Server().Name}
	}
	q.copyHeader(answer.Header)
	q.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	f.writeHeader(q.w, q.request, answer.Status)
	_, _ = q.w.Write(body)
	return nil
}

// repeatable reports whether another attempt is left for a request that has run.
func (q *routed) repeatable() bool {
	return !q.route.AtMostOnce() && q.sends < q.route.MaxAttempts && time.Until(q.deadline) > 0
}

// rejected ends an exchange that the server did not run.
func (f *Front) rejected(q *routed, lease grant.Lease, answer *backend.Answer) *backend.Error {
	if _, failure := answer.ReadAll(); failure == nil {
		answer.Close(&f.relay)
	} else {
		answer.Cancel()
	}
	return &backend.Error{Kind: backend.KindRejected, Status: answer.Status, Server: lease.Server().Name}
}

// copyHeader takes over the headers of an answer.
func (q *routed) copyHeader(from http.Header) {
	header := q.w.Header()
	for name, values := range from {
		header[name] = values
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
}
