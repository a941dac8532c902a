package control

import (
	"context"
	"errors"
	"time"

	"mimosafront/internal/apierror"
	"mimosafront/internal/asker"
	"mimosafront/internal/grant"
	"mimosafront/internal/message"
	"mimosafront/internal/verdict"
)

// waiter is a request whose goroutine waits in Acquire.
type waiter struct {
	request grant.Request
	reply   chan acquireResult
}

// acquireResult is the result of Acquire: a lease or an error.
type acquireResult struct {
	lease *lease
	err   *apierror.Error
}

// Acquire waits for a lease. It implements grant.Scheduler.
func (l *Loop) Acquire(ctx context.Context, r grant.Request) (grant.Lease, *apierror.Error) {
	reply := make(chan acquireResult, 1)
	if err := l.post(ctx, acquire{request: r, reply: reply}); err != nil {
		return nil, acquireError(err)
	}
	for {
		select {
		case a := <-reply:
			if a.err != nil {
				return nil, a.err
			}
			return a.lease, nil
		case <-r.EndWait:
			r.EndWait = nil
			_ = l.post(ctx, endWait{request: r.ID})
		case <-l.done:
			return nil, acquireError(errStopped)
		case <-ctx.Done():
			_ = l.post(context.Background(), abandon{request: r.ID, reply: reply})
			return nil, acquireError(ctx.Err())
		}
	}
}

// acquireError returns the error of a request whose wait ended because of err.
func acquireError(err error) *apierror.Error {
	switch {
	case errors.Is(err, errStopped):
		return apierror.New(apierror.CodeStopping, verdict.NotRun, "the entry host is stopping")
	case errors.Is(err, context.DeadlineExceeded):
		return apierror.New(apierror.CodeDeadline, verdict.NotRun, "the deadline passed while the request waited")
	}
	return apierror.New(apierror.CodeCallerGone, verdict.NotRun, "the caller went away while the request waited").WithCause(err)
}

// acquire registers a waiting request and asks for a grant.
type acquire struct {
	request grant.Request
	reply   chan acquireResult
}

func (e acquire) apply(l *Loop, now time.Time) {
	if _, ok := l.waiters[e.request.ID]; ok {
		e.reply <- acquireResult{err: apierror.New(apierror.CodeInternal, verdict.NotRun, "request %s waits already", e.request.ID)}
		return
	}
	l.waiters[e.request.ID] = waiter(e)
	l.asker.Ask(now, e.request)
}

// endWait ends the wait of a request that the front can't hold any longer.
type endWait struct{ request string }

func (e endWait) apply(l *Loop, now time.Time) { l.asker.EndWait(now, e.request) }

// abandon withdraws a request whose caller went away. A lease that was granted
// meanwhile is released unused.
type abandon struct {
	request string
	reply   chan acquireResult
}

func (e abandon) apply(l *Loop, now time.Time) {
	if w, ok := l.waiters[e.request]; ok && w.reply == e.reply {
		delete(l.waiters, e.request)
		l.asker.Withdraw(e.request)
		return
	}
	select {
	case a := <-e.reply:
		if a.lease != nil {
			a.lease.released.Store(true)
			release{lease: a.lease, result: grant.Result{Outcome: message.ReleaseOutcomeUnused}}.apply(l, now)
		}
	default:
	}
}

// deliverOutcome ends the wait of a request with a lease or an error. A grant that no
// request waits for is released unused.
func (l *Loop) deliverOutcome(now time.Time, o asker.Outcome) {
	w, ok := l.waiters[o.Request]
	if !ok {
		if o.Grant != nil {
			l.asker.Release(message.Release{Grant: o.Grant.Grant, Outcome: message.ReleaseOutcomeUnused})
		}
		return
	}
	if o.Err != nil {
		delete(l.waiters, o.Request)
		w.reply <- acquireResult{err: o.Err}
		return
	}
	server, known := l.config.Policies.Current().Servers[o.Grant.Server]
	withdrawn := l.config.Evacuations.Has(server.Zone) || !l.config.Announcements.Accepts(now, server)
	if !known || w.request.Server == "" && withdrawn {
		l.askExcluding(now, w, o.Grant)
		return
	}
	delete(l.waiters, o.Request)
	lease := newLease(l, now, *o.Grant, server)
	lease.bound = w.request.Server != ""
	l.leases[o.Grant.Grant] = lease
	w.reply <- acquireResult{lease: lease}
}

// askExcluding releases a grant on a server that this host's policy doesn't contain or
// that takes no more requests, and asks again with that server excluded.
func (l *Loop) askExcluding(now time.Time, w waiter, g *message.Grant) {
	l.asker.Release(message.Release{Grant: g.Grant, Outcome: message.ReleaseOutcomeUnused})
	w.request.Excluded = append(append([]string{}, w.request.Excluded...), g.Server)
	l.waiters[w.request.ID] = w
	l.asker.Ask(now, w.request)
}
