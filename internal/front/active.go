package front

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"
)

// Causes with which the front ends a request's context.
var (
	errRevoked      = errors.New("the grant was revoked")
	errDisplaced    = errors.New("displaced by work of higher precedence")
	errFrontStopped = errors.New("the entry host stopped before the request ended")
	errCallerIO     = errors.New("writing to the caller failed")
)

// activeRequests are the requests in progress on a front. It is safe for
// concurrent use.
type activeRequests struct {
	mu       sync.Mutex
	stopping bool
	requests map[*request]struct{}
	// idle is closed when the front is stopping and has no request left; none
	// is registered after that.
	idle    chan struct{}
	drained bool
}

func newActiveRequests() *activeRequests {
	return &activeRequests{requests: map[*request]struct{}{}, idle: make(chan struct{})}
}

// add registers a request, unless the front is stopping.
func (a *activeRequests) add(q *request) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopping {
		return false
	}
	a.requests[q] = struct{}{}
	return true
}

// addAccepted registers a request that this host or another has accepted before,
// unless the front has stopped for good.
func (a *activeRequests) addAccepted(q *request) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.drained {
		return false
	}
	a.requests[q] = struct{}{}
	return true
}

func (a *activeRequests) remove(q *request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.requests[q]; !ok {
		return
	}
	delete(a.requests, q)
	a.closeIfIdle()
}

func (a *activeRequests) closeIfIdle() {
	if a.stopping && len(a.requests) == 0 && !a.drained {
		a.drained = true
		close(a.idle)
	}
}

func (a *activeRequests) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.stopping {
		a.stopping = true
		a.closeIfIdle()
	}
}

func (a *activeRequests) isStopping() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stopping
}

func (a *activeRequests) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.requests)
}

func (a *activeRequests) list() []*request {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := make([]*request, 0, len(a.requests))
	for q := range a.requests {
		list = append(list, q)
	}
	return list
}

// Active is a request in progress.
type Active struct {
	Request      string
	Organisation string
	Caller       string
	Tier         string
	Age          time.Duration
}

// Active returns the requests in progress, ordered by id.
func (f *Front) Active() []Active {
	var all []Active
	for _, q := range f.active.list() {
		all = append(all, Active{
			Request:      q.id,
			Organisation: q.caller.Organisation,
			Caller:       q.caller.Name,
			Tier:         q.tier.Name,
			Age:          now().Sub(q.arrived),
		})
	}
	slices.SortFunc(all, func(a, b Active) int { return strings.Compare(a.Request, b.Request) })
	return all
}

// Leave turns the readiness red. Requests are still taken.
func (f *Front) Leave() { f.leaving.Store(true) }

// Stop makes the front refuse new requests.
func (f *Front) Stop() { f.active.stop() }

// Drain waits until no request is in progress. Stop comes first.
func (f *Front) Drain(ctx context.Context) error {
	select {
	case <-f.active.idle:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// CancelAll ends the requests in progress. It logs each before it ends it.
func (f *Front) CancelAll() {
	for _, active := range f.Active() {
		f.config.Logger.Warn("cutting request", "request", active.Request, "organisation", active.Organisation,
			"caller", active.Caller, "tier", active.Tier, "age_ms", active.Age.Milliseconds())
	}
	for _, q := range f.active.list() {
		q.cancel(errFrontStopped)
	}
}
