package placement

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"mimosafront/internal/policy"
)

// round is one Tick of the coordinator.
type round struct {
	*State
	now    time.Time
	in     Inputs
	orders []Order
}

// run places each model, those with the fewest replicas first. A model with a
// version is placed by no more than one host at a time: a server that seems to lack
// it may just be loading it by the order of another coordinator.
func (r *round) run() []Order {
	var all []replicaSet
	for _, model := range r.in.Policy.Models {
		if model.Replicas > 0 {
			all = append(all, r.replicaSetOf(model))
		}
	}
	slices.SortFunc(all, func(a, b replicaSet) int {
		return cmp.Or(cmp.Compare(len(a.withModel), len(b.withModel)), cmp.Compare(a.model.Name, b.model.Name))
	})
	for _, set := range all {
		if set.model.Version != "" && !r.soleCoordinator() {
			continue
		}
		switch missing := set.model.Replicas - len(set.withModel); {
		case missing > 0:
			r.load(set, missing)
		case missing < 0:
			r.unload(set, -missing)
		}
	}
	r.rollouts = r.rollouts[:0]
	for _, set := range all {
		if set.model.Version != "" {
			r.advanceRollout(set)
		}
	}
	return r.orders
}

// replicaSet are the present servers that may load a model, the preferred first.
type replicaSet struct {
	model        policy.Model
	withModel    []*policy.Server
	withoutModel []*policy.Server
}

func (r *round) replicaSetOf(model policy.Model) replicaSet {
	out := replicaSet{model: model}
	for _, server := range r.rankedServers[model.Name] {
		switch {
		case !r.present(r.now, server.Name):
		case r.hasModel(r.now, server.Name, model.Name):
			out.withModel = append(out.withModel, server)
		default:
			out.withoutModel = append(out.withoutModel, server)
		}
	}
	return out
}

// load orders a model onto the least used of the servers that can take it. Among
// equally used ones those go first that can take it now; a server that a higher
// tier uses is spared even if the others need a while.
func (r *round) load(set replicaSet, missing int) {
	version, ok := r.versionToLoad(set)
	if !ok {
		return
	}
	accepting := slices.DeleteFunc(slices.Clone(set.withoutModel), func(server *policy.Server) bool { return !r.acceptsOrders(server) })
	slices.SortStableFunc(accepting, func(a, b *policy.Server) int {
		return cmp.Or(cmp.Compare(r.runningRank(b), r.runningRank(a)), compareFalseLast(r.mayOrder(a), r.mayOrder(b)))
	})
	for _, server := range accepting[:min(missing, len(accepting))] {
		if r.loadCredit < 1 {
			return
		}
		if r.mayOrder(server) {
			r.loadCredit--
			r.order(server, ActionLoad, set.model.Name, version, fmt.Sprintf("%d replicas missing", missing))
		}
	}
}

func compareFalseLast(a, b bool) int {
	switch {
	case a && !b:
		return -1
	case b && !a:
		return 1
	}
	return 0
}

// unload frees the least preferred idle servers, those with another version than
// the policy's first. A model is never unloaded from a server that runs something.
func (r *round) unload(set replicaSet, surplus int) {
	holders := slices.Clone(set.withModel)
	slices.SortStableFunc(holders, func(a, b *policy.Server) int {
		return compareFalseLast(!r.outdated(set.model, a), !r.outdated(set.model, b))
	})
	for _, server := range slices.Backward(holders) {
		if surplus == 0 {
			return
		}
		if r.runningRank(server) != IdleRank || !r.mayOrder(server) {
			continue
		}
		r.order(server, ActionUnload, set.model.Name, "", "surplus replica")
		surplus--
	}
}

func (r *round) runningRank(server *policy.Server) int { return r.in.Servers[server.Name].RunningRank }

// capableHosts reports whether a server can take an order now or in a while.
func (r *round) acceptsOrders(server *policy.Server) bool {
	report := r.in.Servers[server.Name]
	return report.Live && report.LoadedKnown && !report.Leaving
}

// mayOrder reports whether an order can be given to a server now. A new
// coordinator waits a moment, since it may have woken from a pause and not know
// of another one yet. Before it orders an engine that ignores fencing numbers,
// it waits until other coordinators have certainly stopped, and only if it
// reaches the majority of the zone: the other side of a partition may have a
// coordinator, too.
func (r *round) mayOrder(server *policy.Server) bool {
	if _, pending := r.pending[server.Name]; pending || !r.acceptsOrders(server) {
		return false
	}
	if _, failed := r.backoffUntil[server.Name]; failed {
		return false
	}
	if server.ChecksFencing {
		return r.now.Sub(r.termStart) >= r.config.MaxPause
	}
	return r.soleCoordinator()
}

// soleCoordinator reports whether no other host can give orders in the zone now, and the
// hosts that may take over know the models of the policy in force here: this host
// has reached the majority since it came, so any later majority has a host that
// knows it.
func (r *round) soleCoordinator() bool {
	return r.in.Majority && r.now.Sub(r.termStart) >= r.config.CoordinatorLifetime && r.now.Sub(r.policyAppliedAt) >= r.config.CoordinatorLifetime
}

func (r *round) order(server *policy.Server, action Action, model, version, reason string) {
	o := Order{
		Server: server.Name, Address: server.Address, Action: action, Model: model, Version: version,
		Fencing: FencingNumber(r.in.Policy.Generation, r.termStart), Reason: reason,
	}
	r.pending[server.Name] = pendingOrder{order: o, sentAt: r.now}
	r.orders = append(r.orders, o)
}
