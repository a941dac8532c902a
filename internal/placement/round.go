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

// run places each model, those with the fewest replicas first. Only the sole
// coordinator places a model with a version, since a server that appears to lack
// it may be loading it on the order of another coordinator.
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

// replicaSet splits the present servers that may load a model into those that have
// or are about to have it loaded (see hasModel), and the others. Both are in order of
// preference.
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

// load orders a model onto servers that are idle or run only the lowest tiers. Among
// equals, servers that can take an order now come first. If the preferred servers
// can't take an order yet, the load waits for them.
func (r *round) load(set replicaSet, missing int) {
	version, ok := r.versionToLoad(set)
	if !ok {
		return
	}
	accepting := slices.DeleteFunc(slices.Clone(set.withoutModel), func(server *policy.Server) bool { return !r.acceptsOrders(server) })
	slices.SortStableFunc(accepting, func(a, b *policy.Server) int {
		return cmp.Or(cmp.Compare(r.runningRank(b), r.runningRank(a)), compareTrueFirst(r.mayOrder(a), r.mayOrder(b)))
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

// compareTrueFirst orders true before false.
func compareTrueFirst(a, b bool) int {
	switch {
	case a && !b:
		return -1
	case b && !a:
		return 1
	}
	return 0
}

// unload unloads a model from surplus idle servers, those with an outdated version
// and the least preferred first. It skips servers that run any work.
func (r *round) unload(set replicaSet, surplus int) {
	holders := slices.Clone(set.withModel)
	slices.SortStableFunc(holders, func(a, b *policy.Server) int {
		return compareTrueFirst(!r.outdated(set.model, a), !r.outdated(set.model, b))
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

// acceptsOrders reports whether a server is live, isn't leaving and has reported its
// models; mayOrder says whether it can get an order now.
func (r *round) acceptsOrders(server *policy.Server) bool {
	report := r.in.Servers[server.Name]
	return report.Live && report.LoadedKnown && !report.Leaving
}

// mayOrder reports whether an order can be sent to a server now. A new coordinator
// first waits for MaxPause, since it may have resumed from a pause without knowing
// of its successor. A server that ignores fencing numbers gets orders only from
// the sole coordinator: earlier ones must have stopped, and the other side of a
// partition may have a coordinator, too.
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

// soleCoordinator reports whether no other host can send orders in the zone now, and
// every host that may take over has the models of the policy in force here. This host
// has reached a majority for CoordinatorLifetime since those models changed, so any
// later majority contains a host that has them.
func (r *round) soleCoordinator() bool {
	return r.in.Majority && r.now.Sub(r.termStart) >= r.config.CoordinatorLifetime && r.now.Sub(r.policyAppliedAt) >= r.config.CoordinatorLifetime
}

// order adds an order to a server and marks it as pending.
func (r *round) order(server *policy.Server, action Action, model, version, reason string) {
	o := Order{
		Server: server.Name, Address: server.Address, Action: action, Model: model, Version: version,
		Fencing: FencingNumber(r.in.Policy.Generation, r.termStart), Reason: reason,
	}
	r.pending[server.Name] = pendingOrder{order: o, sentAt: r.now}
	r.orders = append(r.orders, o)
}
