// Package asker is the front's side of the grant protocol: it asks one pool coordinator
// at a time for each waiting request, and keeps the grants that the front holds.
//
// The package is pure: it does no I/O, reads no clock and starts no goroutine. Callers
// pass the time in and fetch the frames to send with TakeOutput.
package asker

import (
	"slices"
	"time"

	"mimosafront/internal/apierror"
	"mimosafront/internal/grant"
	"mimosafront/internal/message"
)

// Topology maps targets to their pools, and pools to the entry hosts that coordinate
// them.
type Topology interface {
	// Pools returns the pools of a target, with that of the home zone first.
	Pools(target string) []message.Pool
	// Coordinator returns the entry host that coordinates a pool; ok is false if none
	// can be reached.
	Coordinator(pool message.Pool) (host string, ok bool)
	// Closed reports whether a pool takes no requests, as its availability zone is
	// evacuated.
	Closed(pool message.Pool) bool
}

// renewDelay is how long an ask stays unanswered before it is sent under a new attempt
// number, in case it or its answer was lost. It doubles with each renewal.
const renewDelay = 4 * time.Second

// Config holds the intervals of a State.
type Config struct {
	// Patience is how long a request waits while no coordinator can be reached, before
	// it is refused.
	Patience time.Duration
	// RetryDelay is the first delay after a host answers that it does not coordinate
	// the pool; it doubles up to RetryDelayMax.
	RetryDelay    time.Duration
	RetryDelayMax time.Duration
	// PartLengths adds the lengths of prompt parts to asks and reports.
	PartLengths bool
}

// Output is a frame to send to an entry host, which may be this one.
type Output struct {
	To    string
	Frame message.Frame
}

// Outcome is the result of a wait: a grant or an error.
type Outcome struct {
	Request string
	// Grant is nil when Err is set.
	Grant *message.Grant
	// From is the coordinator that sent the grant.
	From string
	Err  *apierror.Error
}

// State holds the waiting requests and the grants of one front.
//
// Invariants: each request has at most one open ask, at one coordinator; a grant is
// delivered only if it answers the open ask, and is released unused otherwise; each
// call of Ask leads to exactly one Outcome unless the request is withdrawn.
type State struct {
	config   Config
	topology Topology
	// lastAttempt is the last attempt number used. Numbers are unique in this
	// incarnation, so that the answer to an earlier ask of a request never matches a
	// later one.
	lastAttempt int
	asks        map[string]*ask
	grants      map[string]*heldGrant
	output      []Output
	outcomes    []Outcome
}

// New returns a State without requests. Requests wait until the first
// SetTopology.
func New(config Config) *State {
	return &State{config: config, asks: map[string]*ask{}, grants: map[string]*heldGrant{}}
}

// ask is one waiting request.
type ask struct {
	request grant.Request
	attempt int
	// pool and coordinator are the receiver of the open ask; coordinator is empty while
	// no ask is open.
	pool        message.Pool
	coordinator string
	redirected  bool
	// moves counts how often the request left a queue for another pool.
	moves int
	// noWait asks must be granted or refused at once.
	noWait bool
	// askedAt is when the open ask was sent, and renewals how often it was renewed.
	askedAt  time.Time
	renewals int
	refusals []message.Refusal
	// retryAt is when to ask again, after retryDelay; zero when no retry is due.
	retryAt    time.Time
	retryDelay time.Duration
	// unreachableSince is when the search for a reachable coordinator first failed;
	// zero while one can be reached.
	unreachableSince time.Time
}

func (a *ask) refusedBy(pool message.Pool) bool {
	return slices.ContainsFunc(a.refusals, func(r message.Refusal) bool { return r.Pool == pool })
}

// SetTopology replaces the topology. Requests whose coordinator changed are asked again
// at the new one.
func (s *State) SetTopology(now time.Time, t Topology) {
	s.topology = t
	for _, id := range sortedKeys(s.asks) {
		a := s.asks[id]
		if a == nil {
			continue
		}
		if a.coordinator != "" {
			host, ok := t.Coordinator(a.pool)
			if ok && host == a.coordinator && !s.mayLeaveClosed(a) {
				continue
			}
			s.sendWithdraw(a)
		}
		s.askNext(now, a)
	}
}

// Ask starts the wait of a request.
func (s *State) Ask(now time.Time, r grant.Request) {
	if s.asks[r.ID] != nil {
		return
	}
	a := &ask{request: r}
	s.asks[r.ID] = a
	s.askNext(now, a)
}

// Withdraw ends the wait of a request without an outcome and reports whether
// the request was waiting.
func (s *State) Withdraw(request string) bool {
	a := s.asks[request]
	if a == nil {
		return false
	}
	s.sendWithdraw(a)
	delete(s.asks, request)
	return true
}

// EndWait ends the wait of a request that the front can't keep waiting any longer: each
// coordinator in turn must grant it at once, in place of lower-tier work if need be, or
// refuse it.
func (s *State) EndWait(now time.Time, request string) {
	a := s.asks[request]
	if a == nil || a.noWait {
		return
	}
	a.noWait = true
	if a.coordinator != "" {
		s.sendAsk(now, a, a.pool, a.coordinator)
	}
}

// Waiting returns the number of waiting requests.
func (s *State) Waiting() int { return len(s.asks) }

// askNext asks the first reachable coordinator whose pool has not refused the request,
// and refuses the request if all have.
func (s *State) askNext(now time.Time, a *ask) {
	a.coordinator, a.retryAt = "", time.Time{}
	reachable := false
	for _, pool := range s.eligiblePools(a) {
		host, ok := s.topology.Coordinator(pool)
		if !ok {
			continue
		}
		reachable = true
		if !a.refusedBy(pool) {
			s.sendAsk(now, a, pool, host)
			return
		}
	}
	if reachable || len(a.refusals) > 0 {
		s.fail(a, refusalError(a.refusals))
		return
	}
	if a.unreachableSince.IsZero() {
		a.unreachableSince = now
	}
}

// mayLeaveClosed reports whether a request waits in a closed pool although others are open.
func (s *State) mayLeaveClosed(a *ask) bool {
	return s.topology.Closed(a.pool) && !slices.Contains(s.eligiblePools(a), a.pool)
}

// eligiblePools returns the pools that may serve the request: only those of its zone if
// it is bound to a server, and otherwise no closed ones unless all are, whose coordinators
// then refuse it.
func (s *State) eligiblePools(a *ask) []message.Pool {
	if s.topology == nil {
		return nil
	}
	pools := s.topology.Pools(a.request.Target)
	if a.request.Server == "" {
		if open := slices.DeleteFunc(slices.Clone(pools), s.topology.Closed); len(open) > 0 {
			return open
		}
		return pools
	}
	return slices.DeleteFunc(slices.Clone(pools), func(p message.Pool) bool { return p.Zone != a.request.Zone })
}

func (s *State) sendAsk(now time.Time, a *ask, pool message.Pool, host string) {
	s.lastAttempt++
	a.attempt = s.lastAttempt
	a.pool, a.coordinator, a.askedAt = pool, host, now
	a.unreachableSince, a.retryAt = time.Time{}, time.Time{}
	s.resendAsk(now, a)
}

// resendAsk sends the open ask again under the same attempt number.
func (s *State) resendAsk(now time.Time, a *ask) {
	s.send(a.coordinator, message.Frame{Ask: s.describe(now, a)})
}

// Describe returns the first ask that a request would send to a pool, without sending it.
func (s *State) Describe(now time.Time, r grant.Request, pool message.Pool) *message.Ask {
	return s.describe(now, &ask{request: r, pool: pool})
}

func (s *State) describe(now time.Time, a *ask) *message.Ask {
	r := a.request
	if !s.config.PartLengths {
		r.PartTokens = nil
	}
	return &message.Ask{
		Request: r.ID, Attempt: a.attempt, Pool: a.pool, Redirected: a.redirected, Server: r.Server,
		Organisation: r.Organisation, Caller: r.Caller, Tier: r.Tier,
		PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens,
		Prefixes: r.Prefixes, Fingerprint: r.Fingerprint, Parts: r.Parts, PartTokens: r.PartTokens, Excluded: r.Excluded, Claim: r.Claim,
		DeadlineMs:    int(r.Deadline.Sub(now).Milliseconds()),
		WaitedMs:      int(now.Sub(r.Arrived).Milliseconds()),
		NoWait:        a.noWait,
		Kept:          r.NonPreemptible,
		FirstTargetMs: int(r.FirstTarget.Milliseconds()), FirstLimitMs: int(r.FirstLimit.Milliseconds()),
		Moves: a.moves,
	}
}

func (s *State) sendWithdraw(a *ask) {
	if a.coordinator == "" {
		return
	}
	s.send(a.coordinator, message.Frame{Withdraw: &message.Withdraw{
		Request: a.request.ID, Attempt: a.attempt, Pool: a.pool,
	}})
}

func (s *State) send(to string, f message.Frame) {
	s.output = append(s.output, Output{To: to, Frame: f})
}

func (s *State) fail(a *ask, err *apierror.Error) {
	delete(s.asks, a.request.ID)
	s.outcomes = append(s.outcomes, Outcome{Request: a.request.ID, Err: err})
}

// TakeOutput returns the frames to send since the last call.
func (s *State) TakeOutput() []Output {
	output := s.output
	s.output = nil
	return output
}

// TakeOutcomes returns the outcomes since the last call.
func (s *State) TakeOutcomes() []Outcome {
	outcomes := s.outcomes
	s.outcomes = nil
	return outcomes
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
