package front

import (
	"errors"
	"slices"
	"strings"
	"sync"
	"time"
)

// Causes with which the front cancels the context of a request.
var (
	errRevoked      = errors.New("the grant was revoked")
	errDisplaced    = errors.New("displaced by work of higher precedence")
	errFrontStopped = errors.New("the entry host stopped before the request ended")
	errCallerIO     = errors.New("writing to the caller failed")
	// errTooLateToStart is the cause for a request that waits while the front stops, and
	// could not end before the cut.
	errTooLateToStart = errors.New("too late to start before the entry host stops")
)

// activeRequests is the set of requests in progress on a front. It is safe for
// concurrent use.
type activeRequests struct {
	mu       sync.Mutex
	stopping bool
	requests map[*request]struct{}
	// idle is closed when the front is stopping and the last request has ended; drained
	// is set at the same time. No request is added after that.
	idle    chan struct{}
	drained bool
}

func newActiveRequests() *activeRequests {
	return &activeRequests{requests: map[*request]struct{}{}, idle: make(chan struct{})}
}

// add registers a new request. It returns false if the front is stopping.
func (a *activeRequests) add(q *request) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopping {
		return false
	}
	a.requests[q] = struct{}{}
	return true
}

// addAccepted registers a request that this or another entry host accepted earlier,
// also while the front is stopping. It returns false once the front has drained.
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

// stop rejects further calls of add.
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

// Active describes a request in progress. Age is the time since its arrival.
type Active struct {
	Request      string
	Organisation string
	Caller       string
	Tier         string
	Age          time.Duration
}

// Active returns the requests in progress, ordered by request ID.
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
