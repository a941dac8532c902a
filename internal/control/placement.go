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
	// maxPlacementInterval is the longest time between two ticks of the placement
	// state. The interval is half the suspect time where that is shorter, since a gap
	// of the suspect time counts as a pause.
	maxPlacementInterval = time.Second
	// useReportInterval is the time between two reports of the servers in use to the
	// placement coordinator, and useReportLifetime is how long a report is valid.
	useReportInterval = time.Second
	useReportLifetime = 4 * time.Second
	// orderTimeout bounds the sending of one placement order.
	orderTimeout = 5 * time.Second
	// absenceFactor is the time for which a server may be absent before its models are
	// placed elsewhere, as a multiple of the silence after which a host is declared
	// dead.
	absenceFactor = 12
)

// placer runs the placement duty of a host. The control goroutine owns its state; other
// goroutines read models and send orders.
type placer struct {
	engines Engines
	state   *placement.State
	// servers are the engines whose models are read.
	servers atomic.Pointer[[]policy.Server]
	// loadedModels holds the last read of each server, and useReports the last report
	// of each host.
	loadedModels map[string]loadedModels
	useReports   map[string]useReport
	drains       drainTable
	// interval is the time between two ticks of the placement state, nextTick the time
	// of the next one.
	interval      time.Duration
	nextTick      time.Time
	nextUseReport time.Time
	orders        chan placement.Order
}

// useReport is the last report of a pool coordinator: the servers in use and the
// drained models.
type useReport struct {
	servers    []message.UsedServer
	drained    []message.ServerModel
	receivedAt time.Time
}

// orderQueueSize bounds the orders that wait to be sent.
const orderQueueSize = 256

func newPlacer(engines Engines, zone string, peers settings.Peer) *placer {
	dead := settings.Milliseconds(peers.DeadMs)
	suspect := settings.Milliseconds(peers.SuspectMs)
	p := &placer{
		engines:  engines,
		interval: min(maxPlacementInterval, suspect/2),
		state: placement.NewState(placement.Config{
			Zone: zone, CoordinatorLifetime: dead + suspect + orderTimeout, MaxPause: suspect,
			AbsenceGrace: absenceFactor * dead, DrainLifetime: drainLifetime, OrderTimeout: 2 * orderTimeout,
		}),
		loadedModels: map[string]loadedModels{},
		useReports:   map[string]useReport{},
		drains:       newDrainTable(),
		orders:       make(chan placement.Order, orderQueueSize),
	}
	p.servers.Store(&[]policy.Server{})
	return p
}

// placesModels reports whether the entry hosts place any model of the policy, that is,
// whether any model has a number of replicas.
func placesModels(p *policy.Policy) bool {
	for _, model := range p.Models {
		if model.Replicas > 0 {
			return true
		}
	}
	return false
}

// placementEngines returns the engines of a zone that may load a model with a number of
// replicas.
func placementEngines(p *policy.Policy, zone string) []policy.Server {
	var engines []policy.Server
	for _, server := range p.Servers {
		if server.Zone == zone && server.Kind == policy.ServerKindEngine && mayLoadPlacedModel(p, server) {
			engines = append(engines, server)
		}
	}
	return engines
}

func mayLoadPlacedModel(p *policy.Policy, server policy.Server) bool {
	for _, model := range server.Targets() {
		if p.Models[model].Replicas > 0 {
			return true
		}
	}
	return false
}

// tickPlacement runs the placement duty of this host when it is due, if the entry hosts
// place any model of the policy.
func (l *Loop) tickPlacement(now time.Time) {
	p := l.config.Policies.Current()
	if l.placer.engines == nil || p == nil || now.Before(l.placer.nextTick) || !placesModels(p) {
		return
	}
	l.placer.nextTick = now.Add(l.placer.interval)
	owner := l.view.PlacementOwner()
	l.watchModels(p, owner)
	l.applyDrains(now)
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

// watchModels sets the engines whose models are read: those of the whole zone on the
// placement coordinator, those of the own pools on other hosts.
func (l *Loop) watchModels(p *policy.Policy, owner string) {
	engines := placementEngines(p, l.view.Zone)
	if owner != l.host {
		own := engines[:0]
		for _, server := range engines {
			if l.coordinatesPoolOf(server) {
				own = append(own, server)
			}
		}
		engines = own
	}
	l.placer.servers.Store(&engines)
}

func (l *Loop) coordinatesPoolOf(server policy.Server) bool {
	for _, target := range server.Targets() {
		if l.ownedPools[message.Pool{Zone: server.Zone, Target: target}] {
			return true
		}
	}
	return false
}

// reportUse reports to the placement coordinator the highest tier that uses each engine
// of this host's pools, and the models that are drained.
func (l *Loop) reportUse(now time.Time, owner string) {
	if owner == "" || now.Before(l.placer.nextUseReport) {
		return
	}
	l.placer.nextUseReport = now.Add(useReportInterval)
	use := &message.ServerUse{Servers: []message.UsedServer{}, Drained: l.drainedModels(now)}
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
	lifetime := modelsLifetimeIntervals * modelsInterval(len(*l.placer.servers.Load()))
	for name, server := range p.Servers {
		if server.Zone != l.view.Zone {
			continue
		}
		read, ok := l.placer.loadedModels[name]
		known := ok && now.Sub(read.readStarted) < lifetime
		in.Servers[name] = placement.Server{
			Live: known, LoadedKnown: known, Loaded: read.models, ReportedAt: read.readStarted, RunningRank: placement.IdleRank,
			Leaving: l.view.LeavingServers[name], Drained: map[string]bool{},
		}
	}
	l.addUseReports(now, in.Servers)
	return in
}

// addUseReports adds the highest tier that uses each server, and the drained models,
// from the reports of coordinators. A drained model counts only if the current
// coordinator of its pool reported it.
func (l *Loop) addUseReports(now time.Time, servers map[string]placement.Server) {
	for host, use := range l.placer.useReports {
		if now.Sub(use.receivedAt) >= useReportLifetime {
			delete(l.placer.useReports, host)
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
