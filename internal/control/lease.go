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

type leaseState int

const (
	leaseGranted leaseState = iota
	leaseDispatched
	leaseRevoked
	leaseExpired
)

// lease is a grant in the hands of a traffic goroutine. It implements
// grant.Lease.
//
// Invariant: the state leaves leaseGranted at most once, under mu, so a request
// is dispatched at most once and never after the control goroutine gave the
// grant back.
type lease struct {
	loop  *Loop
	grant message.Grant
	// bound leases belong to a request that its server holds.
	bound     bool
	server    policy.Server
	grantedAt time.Time
	lifetime  time.Duration

	mu            sync.Mutex
	state         leaseState
	revoked       chan struct{}
	revokedClosed bool

	released     atomic.Bool
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

// Revoked is closed when the coordinator takes the grant back.
func (s *lease) Revoked() <-chan struct{} { return s.revoked }

// Dispatch moves the lease from granted to dispatched.
func (s *lease) Dispatch() *apierror.Error {
	if s.bound {
		return apierror.New(apierror.CodeInternal, verdict.NotRun, "request %s was dispatched before", s.grant.Request)
	}
	return s.markDispatched()
}

// Resume moves the lease of a request that its server holds from granted to
// dispatched.
func (s *lease) Resume() *apierror.Error {
	if !s.bound {
		return apierror.New(apierror.CodeInternal, verdict.NotRun, "request %s was never dispatched", s.grant.Request)
	}
	return s.markDispatched()
}

// markDispatched makes the one step that a lease allows.
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

// elapsed returns the time between two readings of the clock, the longer one of
// the monotonic and the wall clock: the former stands still while a machine is
// suspended.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// Progress notes the tokens delivered so far.
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

// end moves an undispatched lease to a final state and reports whether it was
// undispatched.
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

// revoke tells the traffic goroutine that the coordinator took the grant back
// and reports whether the lease was undispatched.
func (s *lease) revoke() bool {
	undispatched := s.end(leaseRevoked)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.revokedClosed {
		s.revokedClosed = true
		close(s.revoked)
	}
	return undispatched
}

// release gives a grant back to its coordinator.
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

// syncLeases carries the progress of the leases over to the asker and gives back
// the grants that expired undispatched.
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

// releaseUndispatched gives a grant back unless it was dispatched.
func (l *Loop) releaseUndispatched(id string, state leaseState, outcome message.ReleaseOutcome) {
	lease := l.leases[id]
	if lease != nil && !lease.end(state) {
		return
	}
	delete(l.leases, id)
	l.asker.Release(message.Release{Grant: id, Outcome: outcome})
}
