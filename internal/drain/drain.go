// Package drain decides how late a stopping entry host still sends a request to a
// backend server.
//
// The load that it answers: requests that an entry host accepted before it stopped, and
// that become ready late, because their bodies arrive slowly or because they wait for a
// server. Sent late, they would run and be cut before their answers.
package drain

import (
	"sync"
	"time"
)

const (
	// period is how often the oldest run times are forgotten; each is kept for one to two
	// periods.
	period = 30 * time.Second
	// runHeadroom is the factor by which a run may exceed the longest recent one: servers
	// differ, and so do requests.
	runHeadroom = 1.5
)

// RunTimes holds the longest recent run of each class of requests. It is safe for
// concurrent use.
type RunTimes struct {
	mu sync.Mutex
	// began is the start of the current period.
	began time.Time
	// current and previous are the longest runs in the current period and in the one
	// before, by class.
	current, previous map[string]time.Duration
}

// NewRunTimes returns a RunTimes that knows no run.
func NewRunTimes() *RunTimes { return &RunTimes{current: map[string]time.Duration{}} }

// Observe records a run that ended at the given time.
func (r *RunTimes) Observe(now time.Time, class string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	r.current[class] = max(r.current[class], took)
}

// Longest returns the longest recent run of a class. It reports false if there was none.
func (r *RunTimes) Longest(now time.Time, class string) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	current, inCurrent := r.current[class]
	previous, inPrevious := r.previous[class]
	return max(current, previous), inCurrent || inPrevious
}

func (r *RunTimes) rotate(now time.Time) {
	elapsed := now.Sub(r.began)
	if elapsed < period {
		return
	}
	r.previous = r.current
	if elapsed >= 2*period {
		r.previous = nil
	}
	r.began, r.current = now, map[string]time.Duration{}
}

// LatestStart returns until when a request of a class may be sent so that it ends before
// the requests in progress are cut. A request whose deadline comes before the cut may be
// sent until its deadline. Of a class without a recent run, no other request may be sent:
// the result is the zero time.
func (r *RunTimes) LatestStart(now time.Time, class string, deadline, cut time.Time) time.Time {
	if !deadline.After(cut) {
		return deadline
	}
	longest, known := r.Longest(now, class)
	if !known {
		return time.Time{}
	}
	return cut.Add(-time.Duration(runHeadroom * float64(longest)))
}
