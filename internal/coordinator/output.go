package coordinator

import (
	"time"

	"mimosafront/internal/message"
	"mimosafront/internal/sched"
	"mimosafront/internal/settings"
	"mimosafront/internal/status"
	"mimosafront/internal/verdict"
)

// Output is one frame to send.
type Output struct {
	// To is the receiving entry host, which may be this one.
	To    string
	Frame message.Frame
}

// DecisionKind is the kind of a decision.
type DecisionKind string

// The kinds of decisions.
const (
	DecisionQueue      DecisionKind = "queue"
	DecisionGrant      DecisionKind = "grant"
	DecisionRefuse     DecisionKind = "refuse"
	DecisionRevoke     DecisionKind = "revoke"
	DecisionRedirect   DecisionKind = "redirect"
	DecisionEject      DecisionKind = "eject"
	DecisionReadmit    DecisionKind = "readmit"
	DecisionQuarantine DecisionKind = "quarantine"
	DecisionHold       DecisionKind = "hold"
	// DecisionShareLimits is a change of the zones that share the rate limits.
	DecisionShareLimits DecisionKind = "share_limits"
)

// Decision is one entry of the decision log.
type Decision struct {
	At   time.Time
	Kind DecisionKind
	Pool message.Pool
	// Request, Organisation, Caller and Tier are empty for decisions on servers.
	Request      string
	Organisation string
	Caller       string
	Tier         int
	TierName     string
	// Server is the backend server, and Zone the zone that a redirection names.
	Server string
	Zone   string
	Grant  string
	Reason string
	// Cause is the cause of a redirection; empty for other decisions.
	Cause RedirectCause
	// Verdict says whether the request may have run at the time of the decision; it is
	// empty for decisions on servers.
	Verdict verdict.Verdict
	Inputs  Inputs
}

// Inputs are the values that a decision was based on.
type Inputs struct {
	// Policy is the policy generation in force; 0 before the first.
	Policy int
	// Waited is the time since the request's arrival.
	Waited time.Duration
	// Waiting is the number of requests that wait in the pool.
	Waiting int
	// ExpectedWait is the expected time until the grant, for requests that are queued.
	ExpectedWait time.Duration
	// LowestTier is the lowest tier that waits or runs in the pool, for refusals; -1
	// for none.
	LowestTier int
	// RetryAfter is the delay of a retry that a refusal advises.
	RetryAfter time.Duration
	// Claim is what the request takes of its organisation's rate limit, in tokens.
	Claim int
	// SavedTokens is the number of prompt tokens that the server of a grant is expected to
	// hold, PrefixAge the time since they were known to be held, and PrefixWait how long
	// the request waited for a server that holds some.
	SavedTokens           int
	PrefixAge, PrefixWait time.Duration
	// Server is the load of the decision's backend server, including this decision.
	Server sched.ServerLoad
	// DigestAge is the age of the load of the zone that a redirection names.
	DigestAge time.Duration
}

// TakeOutput returns the frames to send since the last call.
func (s *State) TakeOutput() []Output {
	outputs := s.outputs
	s.outputs = nil
	return outputs
}

// TakeDecisions returns the decisions since the last call.
func (s *State) TakeDecisions() []Decision {
	decisions := s.decisions
	s.decisions = nil
	return decisions
}

// Status returns the pools that this host coordinates, for display.
func (s *State) Status() []status.Pool {
	list := make([]status.Pool, len(s.order))
	for i, ps := range s.order {
		queues, servers := ps.sched.Status(s.tierName)
		list[i] = status.Pool{Target: ps.id.Target, Zone: ps.id.Zone, Queues: queues, Servers: servers, Moved: ps.moved}
	}
	return list
}

// TakePrefixCounts returns the counts of estimates of held prefixes, over all pools, since
// the last call.
func (s *State) TakePrefixCounts() (sum sched.PrefixCounts) {
	for _, ps := range s.order {
		counts := ps.sched.TakePrefixCounts()
		sum.Right += counts.Right
		sum.Wrong += counts.Wrong
		sum.Unchecked += counts.Unchecked
	}
	return sum
}

func (s *State) send(to string, f message.Frame) {
	s.outputs = append(s.outputs, Output{To: to, Frame: f})
}

// sendGrant sends the grant of a request with its remaining lifetime.
func (s *State) sendGrant(now time.Time, e *entry) {
	remaining := settings.Milliseconds(s.config.Scheduler.GrantLifetimeMs) - now.Sub(e.grantedAt)
	if e.grant == "" || remaining <= 0 {
		return
	}
	s.send(e.request.Host, message.Frame{Grant: &message.Grant{
		Request: e.request.ID, Attempt: e.request.Attempt, Grant: e.grant, Server: e.server,
		Pool: e.pool.id, Incarnation: s.config.Incarnation, LifetimeMs: int(remaining.Milliseconds()),
	}})
}

func (s *State) sendRevoke(now time.Time, e *entry) {
	e.revokedAt = now
	s.send(e.request.Host, message.Frame{Revoke: &message.Revoke{
		Grant: e.grant, Request: e.request.ID, Reason: e.revokeReason,
	}})
}

// noLowestTier is the LowestTier of a refusal if nothing waits or runs in the pool.
const noLowestTier = -1

func refusal(e *entry, reason message.RefusalReason) message.Frame {
	return message.Frame{Refusal: &message.Refusal{
		Request: e.request.ID, Attempt: e.request.Attempt, Pool: e.pool.id, Reason: reason, LowestTier: noLowestTier,
	}}
}

// refuse refuses a request that isn't in the scheduler's queue.
func (s *State) refuse(now time.Time, e *entry, reason message.RefusalReason, text string) {
	s.remove(e)
	s.recordEnd(e.request.ID, e.request.Attempt)
	s.send(e.request.Host, refusal(e, reason))
	s.logDecision(now, e, DecisionRefuse, text).Inputs.LowestTier = noLowestTier
}

// logDecision adds a decision on a request to the decision log. The result is valid
// until the next call.
func (s *State) logDecision(now time.Time, e *entry, kind DecisionKind, reason string) *Decision {
	d := Decision{
		At: now, Kind: kind, Pool: e.pool.id, Request: e.request.ID, Organisation: e.request.Organisation,
		Caller: e.request.Caller, Tier: e.request.Tier, TierName: s.tierName(e.request.Tier),
		Server: e.server, Grant: e.grant, Reason: reason, Verdict: verdict.NotRun,
		Inputs: Inputs{Policy: s.generation(), Waited: now.Sub(e.request.Arrived), Claim: e.request.Claim},
	}
	if e.pool.sched != nil {
		d.Inputs.Waiting = e.pool.sched.Waiting()
		d.Inputs.Server = e.pool.sched.ServerLoad(now, e.server)
	}
	if kind == DecisionRevoke {
		d.Verdict = verdict.MayHaveRun
	}
	s.decisions = append(s.decisions, d)
	return &s.decisions[len(s.decisions)-1]
}

// generation returns the policy generation in force; 0 before the first.
func (s *State) generation() int {
	if s.policy == nil {
		return 0
	}
	return s.policy.Generation
}

// tierName returns the name of the tier with a rank; it is empty before the first
// policy.
func (s *State) tierName(rank int) string {
	if s.policy == nil {
		return ""
	}
	return s.policy.TierName(rank)
}

// flush converts the actions of all pools to frames and decisions.
func (s *State) flush(now time.Time) {
	for _, ps := range s.order {
		for _, a := range ps.sched.TakeActions() {
			s.applyAction(now, ps, &a)
		}
	}
}

func (s *State) applyAction(now time.Time, ps *poolState, a *sched.Action) {
	switch a.Kind {
	case sched.ActionEject, sched.ActionReadmit:
		s.applyHealth(now, ps, a)
		return
	}
	e := ps.entries[a.Request.ID]
	if e == nil || e.request.Attempt != a.Request.Attempt {
		return // dropped since the scheduler's action
	}
	grant, _, _ := ps.sched.GrantOf(e.request.ID)
	if a.Kind != sched.ActionRefuse && grant != a.Grant {
		return // ended since the scheduler's action
	}
	switch a.Kind {
	case sched.ActionGrant:
		e.grant, e.server, e.grantedAt, e.missedHeartbeats = a.Grant, a.Server, now, 0
		s.grants[a.Grant] = e
		s.sendGrant(now, e)
		inputs := &s.logDecision(now, e, DecisionGrant, a.Reason).Inputs
		inputs.SavedTokens, inputs.PrefixAge, inputs.PrefixWait = a.SavedTokens, a.PrefixAge, a.PrefixWait
	case sched.ActionRefuse:
		s.applyRefusal(now, e, a)
	case sched.ActionRevoke:
		e.revokeReason = a.Reason
		ps.revoking = append(ps.revoking, e)
		s.sendRevoke(now, e)
		s.logDecision(now, e, DecisionRevoke, a.Reason)
	}
}

func (s *State) applyRefusal(now time.Time, e *entry, a *sched.Action) {
	s.remove(e)
	s.recordEnd(e.request.ID, e.request.Attempt)
	f := refusal(e, a.Refusal)
	f.Refusal.LowestTier = a.LowestTier
	f.Refusal.RetryAfterMs = int(a.RetryAfter.Milliseconds())
	s.send(e.request.Host, f)
	d := s.logDecision(now, e, DecisionRefuse, string(a.Refusal)+": "+a.Reason)
	d.Inputs.LowestTier, d.Inputs.RetryAfter = a.LowestTier, a.RetryAfter
}

// applyHealth logs an ejection or readmission and sends it as a hint to the other
// hosts.
func (s *State) applyHealth(now time.Time, ps *poolState, a *sched.Action) {
	kind, state := DecisionEject, message.ServerHintStateEjected
	if a.Kind == sched.ActionReadmit {
		kind, state = DecisionReadmit, message.ServerHintStateHealthy
	}
	s.decisions = append(s.decisions, Decision{At: now, Kind: kind, Pool: ps.id, Server: a.Server, Reason: a.Reason, Inputs: Inputs{Policy: s.generation()}})
	hint := &message.ServerHint{Host: s.config.Host, Server: a.Server, State: state, Reason: a.Reason}
	for _, host := range s.heartbeatHosts() {
		s.send(host, message.Frame{Hint: hint})
	}
}
