package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"mimosafront/internal/apierror"
	"mimosafront/internal/grant"
	"mimosafront/internal/message"
	"mimosafront/internal/policy"
	"mimosafront/internal/verdict"
)

// leaseState is the state of a lease. All states but leaseGranted are final.
type leaseState int

const (
	leaseGranted leaseState = iota
	leaseDispatched
	leaseRevoked
	leaseExpired
)

// lease is a grant held by a traffic goroutine. It implements grant.Lease.
//
// Invariant: the state leaves leaseGranted at most once, under mu. A request is
// therefore dispatched at most once, and never after the control goroutine released the
// grant.
type lease struct {
	loop  *Loop
	grant message.Grant
	// bound is set if the request's server holds its state; then the lease can only be
	// resumed.
	bound     bool
	server    policy.Server
	grantedAt time.Time
	lifetime  time.Duration

	mu            sync.Mutex
	state         leaseState
	revoked       chan struct{}
	revokedClosed bool

	released atomic.Bool
	// outputTokens and firstToken, in nanoseconds, are the progress last reported.
	outputTokens atomic.Int64
	firstToken   atomic.Int64
}

func newLease(l *Loop, now time.Time, g message.Grant, server policy.Server) *lease {
	return &lease{
		loop: l, grant: g, server: server, grantedAt: now,
		lifetime: time.Duration(g.LifetimeMs) * time.Millisecond,
		revoked:  make(chan struct{}),
	}
}

// ID returns the grant's id.
func (s *lease) ID() string { return s.grant.Grant }

// Server returns the backend server to dispatch to.
func (s *lease) Server() policy.Server { return s.server }

// Revoked returns a channel that is closed when the coordinator revokes the grant.
func (s *lease) Revoked() <-chan struct{} { return s.revoked }

// Dispatch moves the lease from granted to dispatched.
func (s *lease) Dispatch() *apierror.Error {
	if s.bound {
		return apierror.New(apierror.CodeInternal, verdict.NotRun, "request %s was dispatched before", s.grant.Request)
	}
	return s.markDispatched()
}

// Resume moves the lease of a bound request from granted to dispatched.
func (s *lease) Resume() *apierror.Error {
	if !s.bound {
		return apierror.New(apierror.CodeInternal, verdict.NotRun, "request %s was never dispatched", s.grant.Request)
	}
	return s.markDispatched()
}

// markDispatched moves the lease from granted to dispatched, or to expired if its
// lifetime has passed.
func (s *lease) markDispatched() *apierror.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == leaseGranted && elapsed(s.grantedAt, s.loop.now()) >= s.lifetime {
		s.state = leaseExpired
	}
	switch s.state {
	case leaseGranted:
		s.state = leaseDispatched
		return nil
	case leaseDispatched:
		return apierror.New(apierror.CodeInternal, verdict.NotRun, "grant %s was dispatched before", s.grant.Grant)
	case leaseRevoked:
		return apierror.New(apierror.CodeRevoked, verdict.NotRun, "the grant was revoked before the dispatch")
	}
	return apierror.New(apierror.CodeRevoked, verdict.NotRun, "the grant expired before the dispatch")
}

// elapsed returns the longer of the monotonic and the wall clock time between two
// readings of the clock: the monotonic clock stops while the machine is suspended.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// Progress stores the number of tokens delivered so far and the time to the first
// token.
func (s *lease) Progress(outputTokens int, firstToken time.Duration) {
	s.outputTokens.Store(int64(outputTokens))
	s.firstToken.Store(int64(firstToken))
}

// Release ends the lease.
func (s *lease) Release(r grant.Result) {
	if s.released.Swap(true) {
		return
	}
	_ = s.loop.post(context.Background(), release{lease: s, result: r})
}

// end moves a lease from leaseGranted to a final state and reports whether it was in
// leaseGranted.
func (s *lease) end(state leaseState) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != leaseGranted {
		return false
	}
	s.state = state
	return true
}

func (s *lease) dispatched() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state == leaseDispatched
}

// revoke signals the revocation to the traffic goroutine and reports whether the lease
// was in leaseGranted.
func (s *lease) revoke() bool {
	wasGranted := s.end(leaseRevoked)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.revokedClosed {
		s.revokedClosed = true
		close(s.revoked)
	}
	return wasGranted
}

// release returns a grant to its coordinator with the result.
type release struct {
	lease  *lease
	result grant.Result
}

func (e release) apply(l *Loop, now time.Time) {
	id := e.lease.grant.Grant
	if l.leases[id] != e.lease {
		return
	}
	e.lease.end(leaseExpired)
	delete(l.leases, id)
	l.asker.Release(message.Release{
		Grant: id, Outcome: e.result.Outcome,
		PromptTokens: e.result.PromptTokens, CachedTokens: e.result.CachedTokens, OutputTokens: e.result.OutputTokens,
		FirstTokenMs: int(e.result.FirstToken.Milliseconds()), TotalMs: int(e.result.Total.Milliseconds()),
	})
}

// syncLeases copies the progress of the dispatched leases to the asker and releases the
// grants that expired undispatched.
func (l *Loop) syncLeases(now time.Time) {
	for id, lease := range l.leases {
		if lease.dispatched() {
			l.asker.Dispatched(now, id)
			l.asker.Progress(id, int(lease.outputTokens.Load()), time.Duration(lease.firstToken.Load()))
		}
	}
	for _, id := range l.asker.Expired(now) {
		l.releaseUndispatched(id, leaseExpired, message.ReleaseOutcomeUnused)
	}
}

// releaseUndispatched releases a grant unless it was dispatched.
func (l *Loop) releaseUndispatched(id string, state leaseState, outcome message.ReleaseOutcome) {
	lease := l.leases[id]
	if lease != nil && !lease.end(state) {
		return
	}
	delete(l.leases, id)
	l.asker.Release(message.Release{Grant: id, Outcome: outcome})
}
