package placement

import (
	"maps"
	"time"

	"mimosafront/internal/policy"
)

// State is the placement coordinator of one zone, on one host. It is not safe
// for concurrent use.
//
// Invariants: a host that is not the coordinator, or was paused, gives no
// order. Fencing numbers of later coordinators are higher. An engine that
// ignores fencing numbers gets an order only once an earlier coordinator has
// certainly stopped. Loads stay within the zone's share of the policy's limit. A
// server that serves a version gets another one only after it was drained, and
// only from a coordinator that is certainly alone.
type State struct {
	config Config
	// silentFrom is when this host took over; zero while it is not the coordinator.
	termStart time.Time
	// hadMajority says that this host reached the majority of its zone at the last
	// Tick.
	hadMajority bool
	// lastTick is the time of the last Tick.
	lastTick time.Time
	// loadCredit is the number of weight loads that may begin now.
	loadCredit float64
	// lastSeen is when each server was last present.
	lastSeen map[string]time.Time
	// pending are the orders without a result, by server.
	pending map[string]pendingOrder
	// assumed are the results of orders that reports may not show yet.
	assumed map[string]assumption
	// loaded is what each server last reported.
	loaded map[string]map[string]string
	// changes are the versions that servers drain for or load.
	changes map[serverModel]versionChange
	// failures are the loads of a model's version that failed in a row.
	failures map[string]loadFailures
	// rollouts is how far each version had come at the last Tick.
	rollouts []Rollout
	events   []Event
	// policyAppliedAt is when the models and servers of the policy in force came.
	policyAppliedAt time.Time
	// rankedServers are the servers that may load each model, the preferred first,
	// under the policy rankedPolicy.
	rankedServers map[string][]*policy.Server
	rankedPolicy  *policy.Policy
	// backoffUntil is until when a server gets no order after one failed.
	backoffUntil map[string]time.Time
	// yieldUntil is until when no server gets an order, since another coordinator
	// was found to be newer.
	yieldUntil time.Time
}

type pendingOrder struct {
	order  Order
	sentAt time.Time
}

// assumption is a model that a server should have, or not, after an order.
type assumption struct {
	model  string
	loaded bool
	until  time.Time
}

// NewState returns the state of a host that is not the coordinator.
func NewState(c Config) *State {
	return &State{
		config: c, lastSeen: map[string]time.Time{}, pending: map[string]pendingOrder{},
		assumed: map[string]assumption{}, loaded: map[string]map[string]string{}, backoffUntil: map[string]time.Time{},
		changes: map[serverModel]versionChange{}, failures: map[string]loadFailures{},
	}
}

// Tick returns the orders to give now. Each must be followed by Done.
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

// resign forgets what only the coordinator needs.
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

// startTerm begins a new term: when the host becomes the coordinator, wakes from
// a pause, or reaches the majority of its zone again, which may have had another
// coordinator meanwhile. All servers of the policy count as present at
// first, since the host doesn't know when it last saw them.
func (s *State) startTerm(now time.Time, in Inputs) {
	s.resign()
	s.termStart = now
	for name, server := range in.Policy.Servers {
		if server.Zone == s.config.Zone {
			s.lastSeen[name] = now
		}
	}
}

// rankCandidates orders the candidates of each model once for each policy.
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

// expire gives up old orders and assumptions. An order that was given up may
// still be carried out; the next report of the server tells.
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

// addLoadCredit adds the credit of the time that passed. A new term begins without
// credit, so that a change of coordinators doesn't exceed the limit.
func (s *State) addLoadCredit(elapsed time.Duration, p *policy.Policy) {
	perMinute := zoneLoadsPerMinute(p, s.config.Zone)
	s.loadCredit = min(s.loadCredit+elapsed.Minutes()*perMinute, max(1, perMinute/burstDivisor))
}

// burstDivisor is the part of a minute's loads that may begin at once.
const burstDivisor = 6

// HandleResult reports the result of an order. After a refusal for an old fencing number
// the host yields for the lifetime of a coordinator and then begins a new term:
// another host has begun one since.
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

// present reports whether a server counts: it is here, or was a moment ago.
func (s *State) present(now time.Time, server string) bool {
	seenAt, ok := s.lastSeen[server]
	return ok && now.Sub(seenAt) <= s.config.AbsenceGrace
}

// hasModel reports whether a server has a model loaded or soon will. A server
// that was not heard in this term yet gets the benefit of the doubt.
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
