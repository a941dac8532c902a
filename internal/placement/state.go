package placement

import (
	"maps"
	"time"

	"mimosafront/internal/policy"
)

// State is the placement coordinator of one zone on one host. It is not safe for
// concurrent use.
//
// Invariants: a host sends no orders while it isn't the coordinator or right after
// a pause. Later coordinators have higher fencing numbers. A server that ignores
// fencing numbers gets orders only once every earlier coordinator has stopped.
// Loads stay within the zone's share of the policy's limit. A server that serves a
// version gets another one only after it was drained, and only from the sole
// coordinator.
type State struct {
	config Config
	// termStart is when this host took over; zero while it isn't the coordinator.
	termStart time.Time
	// hadMajority is true if this host reached the majority of its zone at the
	// last Tick.
	hadMajority bool
	// lastTick is the time of the last Tick; zero forces a new term.
	lastTick time.Time
	// loadCredit is the number of weight loads that may begin now: the level of
	// a token bucket.
	loadCredit float64
	// lastSeen is when each server was last present.
	lastSeen map[string]time.Time
	// pending holds the orders without a result, by server.
	pending map[string]pendingOrder
	// assumed holds, by server, the effects of orders that its reports may not
	// show yet.
	assumed map[string]assumption
	// loaded holds the models and versions that each server last reported.
	loaded map[string]map[string]string
	// changes holds the versions that servers are drained for or load.
	changes map[serverModel]versionChange
	// failures counts the failed loads by model.
	failures map[string]loadFailures
	// rollouts is the progress of each version at the last Tick.
	rollouts []Rollout
	events   []Event
	// policyAppliedAt is when a policy with other models or servers was last
	// applied.
	policyAppliedAt time.Time
	// rankedServers holds, by model, the servers that may load it in order of
	// preference, under the policy rankedPolicy.
	rankedServers map[string][]*policy.Server
	rankedPolicy  *policy.Policy
	// backoffUntil is when a server may get orders again after one failed.
	backoffUntil map[string]time.Time
	// yieldUntil is when any server may get orders again after one of them
	// reported a newer coordinator.
	yieldUntil time.Time
}

type pendingOrder struct {
	order  Order
	sentAt time.Time
}

// assumption is the assumed effect of an order: that a server has a model loaded,
// or not.
type assumption struct {
	model  string
	loaded bool
	until  time.Time
}

// NewState returns the state of a host that isn't the coordinator.
func NewState(c Config) *State {
	return &State{
		config: c, lastSeen: map[string]time.Time{}, pending: map[string]pendingOrder{},
		assumed: map[string]assumption{}, loaded: map[string]map[string]string{}, backoffUntil: map[string]time.Time{},
		changes: map[serverModel]versionChange{}, failures: map[string]loadFailures{},
	}
}

// Tick returns the orders to send now. HandleResult must be called for each.
func (s *State) Tick(now time.Time, in Inputs) []Order {
	elapsed := now.Sub(s.lastTick)
	s.lastTick = now
	if in.Policy == nil || !in.Owner {
		s.resign()
		return nil
	}
	if s.termStart.IsZero() || elapsed > s.config.MaxPause || in.Majority && !s.hadMajority {
		s.startTerm(now, in)
		elapsed = 0
	}
	s.hadMajority = in.Majority
	s.rankCandidates(now, in.Policy)
	s.updatePresence(now, in)
	s.expire(now)
	s.updateChanges(now, in)
	s.addLoadCredit(elapsed, in.Policy)
	if now.Before(s.yieldUntil) {
		return nil
	}
	r := round{State: s, now: now, in: in}
	return r.run()
}

// resign discards the state that only a coordinator needs.
func (s *State) resign() {
	s.termStart = time.Time{}
	s.loadCredit = 0
	clear(s.lastSeen)
	clear(s.pending)
	clear(s.assumed)
	clear(s.loaded)
	clear(s.backoffUntil)
	clear(s.changes)
	s.rollouts = nil
}

// startTerm begins a new term: when the host becomes the coordinator, resumes from
// a pause, or regains the majority of its zone, which may have had another
// coordinator in between. At first, all servers of the policy count as present,
// since it is unknown when they were last seen.
func (s *State) startTerm(now time.Time, in Inputs) {
	s.resign()
	s.termStart = now
	for name, server := range in.Policy.Servers {
		if server.Zone == s.config.Zone {
			s.lastSeen[name] = now
		}
	}
}

// rankCandidates computes the candidates of each model once per policy and records
// when the models or servers of the policy change.
func (s *State) rankCandidates(now time.Time, p *policy.Policy) {
	if s.rankedPolicy == p {
		return
	}
	if s.rankedPolicy == nil || !maps.Equal(s.rankedPolicy.Models, p.Models) || !maps.Equal(s.rankedPolicy.Servers, p.Servers) {
		s.policyAppliedAt = now
	}
	s.rankedPolicy, s.rankedServers = p, map[string][]*policy.Server{}
	for name, model := range p.Models {
		if model.Replicas > 0 {
			s.rankedServers[name] = candidates(p, s.config.Zone, name)
		}
	}
}

// updatePresence records which servers are present and what they have loaded.
func (s *State) updatePresence(now time.Time, in Inputs) {
	for name, server := range in.Servers {
		if server.Live && !server.Leaving {
			s.lastSeen[name] = now
		}
		if server.Leaving {
			delete(s.lastSeen, name)
		}
		if server.LoadedKnown {
			s.loaded[name] = server.Loaded
		}
	}
}

// expire drops outdated orders, assumptions and backoffs. A dropped order may
// still be executed; the next report of the server shows its effect.
func (s *State) expire(now time.Time) {
	for server, p := range s.pending {
		if now.Sub(p.sentAt) > s.config.OrderTimeout {
			delete(s.pending, server)
		}
	}
	for server, a := range s.assumed {
		if !now.Before(a.until) {
			delete(s.assumed, server)
		}
	}
	for server, until := range s.backoffUntil {
		if !now.Before(until) {
			delete(s.backoffUntil, server)
		}
	}
}

// addLoadCredit refills the token bucket of loads. A term starts with no credit, so
// that changes of the coordinator can't exceed the limit.
func (s *State) addLoadCredit(elapsed time.Duration, p *policy.Policy) {
	perMinute := zoneLoadsPerMinute(p, s.config.Zone)
	s.loadCredit = min(s.loadCredit+elapsed.Minutes()*perMinute, max(1, perMinute/burstDivisor))
}

// burstDivisor sets the token bucket's capacity: the loads per minute divided by
// burstDivisor, and at least one load.
const burstDivisor = 6

// HandleResult handles the result of an order. ResultFenced means that another host
// has begun a newer term: this host then begins a new one and sends no orders for
// CoordinatorLifetime.
func (s *State) HandleResult(now time.Time, o Order, result Result) {
	p, ok := s.pending[o.Server]
	if !ok || p.order != o {
		return
	}
	delete(s.pending, o.Server)
	switch result {
	case ResultDone:
		if o.Action == ActionLoad && o.Version != "" {
			s.changes[serverModel{o.Server, o.Model}] = versionChange{version: o.Version, orderedAt: now}
			return
		}
		s.assumed[o.Server] = assumption{model: o.Model, loaded: o.Action == ActionLoad, until: now.Add(s.config.AbsenceGrace)}
	case ResultFenced:
		s.yieldUntil = now.Add(s.config.CoordinatorLifetime)
		s.lastTick = time.Time{}
	case ResultRejected:
		s.backoffUntil[o.Server] = now.Add(s.config.OrderTimeout)
		s.orderRejected(now, serverModel{o.Server, o.Model}, o)
	default:
		s.backoffUntil[o.Server] = now.Add(s.config.OrderTimeout)
	}
}

// present reports whether a server was present within AbsenceGrace.
func (s *State) present(now time.Time, server string) bool {
	seenAt, ok := s.lastSeen[server]
	return ok && now.Sub(seenAt) <= s.config.AbsenceGrace
}

// hasModel reports whether a server has a model loaded or is going to. A server
// without a report in this term is assumed to have it for AbsenceGrace.
func (s *State) hasModel(now time.Time, server, model string) bool {
	if a, ok := s.assumed[server]; ok && a.model == model {
		return a.loaded
	}
	if p, ok := s.pending[server]; ok && p.order.Model == model {
		return p.order.Action == ActionLoad
	}
	if _, ok := s.changes[serverModel{server, model}]; ok {
		return true
	}
	models, known := s.loaded[server]
	if !known {
		return now.Sub(s.termStart) <= s.config.AbsenceGrace
	}
	_, loaded := models[model]
	return loaded
}
