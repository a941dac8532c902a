package control

import (
	"sync/atomic"
	"time"

	"mimosafront/internal/message"
	"mimosafront/internal/placement"
	"mimosafront/internal/policy"
	"mimosafront/internal/settings"
)

const (
	// placementIntervalMax is the longest time between two looks at where models
	// should be; half the suspect interval is the bound where that is shorter,
	// since a longer gap counts as a pause.
	placementIntervalMax = time.Second
	// useInterval is the time between two reports of the servers in use to the
	// placement coordinator, and useLifetime how long a report counts.
	useInterval = time.Second
	useLifetime = 4 * time.Second
	// orderTimeout bounds one order.
	orderTimeout = 5 * time.Second
	// absenceFactor times the silence after which a host is dead is how long a
	// server may be gone before its models are placed elsewhere.
	absenceFactor = 12
)

// placer runs the placement duty of a host: its state is owned by the control
// goroutine, its reads and orders are made by goroutines of its own.
type placer struct {
	engines Engines
	state   *placement.State
	// servers are the engines to read models from.
	servers atomic.Pointer[[]policy.Server]
	models  map[string]loadedModels
	uses    map[string]reportedUse
	drains  drains
	// interval is the time between two looks, next the time of the next one.
	interval time.Duration
	next     time.Time
	nextUse  time.Time
	orders   chan placement.Order
}

// reportedUse is what the coordinator of pools reported.
type reportedUse struct {
	servers []message.UsedServer
	drained []message.ServerModel
	at      time.Time
}

// orderQueueSize bounds the orders that wait to be sent.
const orderQueueSize = 256

func newPlacer(engines Engines, zone string, p settings.Peer) *placer {
	dead := settings.Milliseconds(p.DeadMs)
	suspect := settings.Milliseconds(p.SuspectMs)
	out := &placer{
		engines:  engines,
		interval: min(placementIntervalMax, suspect/2),
		state: placement.NewState(placement.Config{
			Zone: zone, CoordinatorLifetime: dead + suspect + orderTimeout, MaxPause: suspect,
			AbsenceGrace: absenceFactor * dead, DrainLifetime: drainLifetime, OrderTimeout: 2 * orderTimeout,
		}),
		models: map[string]loadedModels{},
		uses:   map[string]reportedUse{},
		drains: newDrains(),
		orders: make(chan placement.Order, orderQueueSize),
	}
	out.servers.Store(&[]policy.Server{})
	return out
}

// placed reports whether the policy leaves any placement to this system.
func placed(p *policy.Policy) bool {
	for _, model := range p.Models {
		if model.Replicas > 0 {
			return true
		}
	}
	return false
}

// placedEngines returns the engines of a zone that may load a model which is
// placed.
func placedEngines(p *policy.Policy, zone string) []policy.Server {
	var engines []policy.Server
	for _, server := range p.Servers {
		if server.Zone == zone && server.Kind == policy.ServerKindEngine && loadsPlaced(p, server) {
			engines = append(engines, server)
		}
	}
	return engines
}

func loadsPlaced(p *policy.Policy, server policy.Server) bool {
	for _, model := range server.Targets() {
		if p.Models[model].Replicas > 0 {
			return true
		}
	}
	return false
}

// place looks at the placement of models, if the policy leaves any to this
// system.
func (l *Loop) place(now time.Time) {
	p := l.config.Policies.Current()
	if l.placer.engines == nil || p == nil || now.Before(l.placer.next) || !placed(p) {
		return
	}
	l.placer.next = now.Add(l.placer.interval)
	owner := l.view.PlacementOwner()
	l.watchModels(p, owner)
	l.drain(now)
	l.reportUse(now, owner)
	for _, order := range l.placer.state.Tick(now, l.placementInputs(now, p, owner)) {
		select {
		case l.placer.orders <- order:
		default:
			l.placer.state.HandleResult(now, order, placement.ResultFailed)
		}
	}
	l.logRollouts(now)
	l.sendDrains(now)
}

// watchModels sets the engines whose models are read: those of the whole zone
// for its placement coordinator, those of the own pools for others.
func (l *Loop) watchModels(p *policy.Policy, owner string) {
	engines := placedEngines(p, l.view.Zone)
	if owner != l.host {
		own := engines[:0]
		for _, server := range engines {
			if l.ownsPoolOf(server) {
				own = append(own, server)
			}
		}
		engines = own
	}
	l.placer.servers.Store(&engines)
}

func (l *Loop) ownsPoolOf(server policy.Server) bool {
	for _, target := range server.Targets() {
		if l.owned[message.Pool{Zone: server.Zone, Target: target}] {
			return true
		}
	}
	return false
}

// reportUse tells the placement coordinator which tiers use the engines of the
// pools that this host coordinates.
func (l *Loop) reportUse(now time.Time, owner string) {
	if owner == "" || now.Before(l.placer.nextUse) {
		return
	}
	l.placer.nextUse = now.Add(useInterval)
	use := &message.ServerUse{Servers: []message.UsedServer{}, Drained: l.drained(now)}
	for server, tier := range l.coordinator.ServersInUse() {
		use.Servers = append(use.Servers, message.UsedServer{Server: server, Tier: tier})
	}
	l.send(now, owner, &message.Frame{ServerUse: use})
}

func (l *Loop) placementInputs(now time.Time, p *policy.Policy, owner string) placement.Inputs {
	in := placement.Inputs{
		Policy: p, Owner: owner == l.host, Majority: l.member.Majority(now),
		Servers: map[string]placement.Server{},
	}
	if !in.Owner {
		return in
	}
	lifetime := modelsLifetime * modelsInterval(len(*l.placer.servers.Load()))
	for name, server := range p.Servers {
		if server.Zone != l.view.Zone {
			continue
		}
		read, ok := l.placer.models[name]
		known := ok && now.Sub(read.at) < lifetime
		in.Servers[name] = placement.Server{
			Live: known, LoadedKnown: known, Loaded: read.models, ReportedAt: read.at, RunningRank: placement.IdleRank,
			Leaving: l.view.LeavingServers[name], Drained: map[string]bool{},
		}
	}
	l.addUse(now, in.Servers)
	return in
}

// addUse enters the tiers that use each server, and the models that were drained
// on it, each by the word of the coordinator of its pool.
func (l *Loop) addUse(now time.Time, servers map[string]placement.Server) {
	for host, use := range l.placer.uses {
		if now.Sub(use.at) >= useLifetime {
			delete(l.placer.uses, host)
			continue
		}
		for _, used := range use.servers {
			if server, ok := servers[used.Server]; ok {
				server.RunningRank = min(server.RunningRank, used.Tier)
				servers[used.Server] = server
			}
		}
		for _, model := range use.drained {
			pool := message.Pool{Zone: l.view.Zone, Target: model.Model}
			if server, ok := servers[model.Server]; ok && host == l.view.Owner(pool) {
				server.Drained[model.Model] = true
			}
		}
	}
}
