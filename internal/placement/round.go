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
	var all []replicas
	for _, model := range r.in.Policy.Models {
		if model.Replicas > 0 {
			all = append(all, r.replicasOf(model))
		}
	}
	slices.SortFunc(all, func(a, b replicas) int {
		return cmp.Or(cmp.Compare(len(a.having), len(b.having)), cmp.Compare(a.model.Name, b.model.Name))
	})
	for _, each := range all {
		if each.model.Version != "" && !r.alone() {
			continue
		}
		switch missing := each.model.Replicas - len(each.having); {
		case missing > 0:
			r.load(each, missing)
		case missing < 0:
			r.unload(each, -missing)
		}
	}
	r.rollouts = r.rollouts[:0]
	for _, each := range all {
		if each.model.Version != "" {
			r.rollOut(each)
		}
	}
	return r.orders
}

// replicas are the present servers that may load a model, the preferred first.
type replicas struct {
	model   policy.Model
	having  []*policy.Server
	lacking []*policy.Server
}

func (r *round) replicasOf(model policy.Model) replicas {
	out := replicas{model: model}
	for _, server := range r.ranked[model.Name] {
		switch {
		case !r.present(r.now, server.Name):
		case r.hasModel(r.now, server.Name, model.Name):
			out.having = append(out.having, server)
		default:
			out.lacking = append(out.lacking, server)
		}
	}
	return out
}

// load orders a model onto the least used of the servers that can take it. Among
// equally used ones those go first that can take it now; a server that a higher
// tier uses is spared even if the others need a while.
func (r *round) load(each replicas, missing int) {
	version, ok := r.loadableVersion(each)
	if !ok {
		return
	}
	able := slices.DeleteFunc(slices.Clone(each.lacking), func(server *policy.Server) bool { return !r.able(server) })
	slices.SortStableFunc(able, func(a, b *policy.Server) int {
		return cmp.Or(cmp.Compare(r.busy(b), r.busy(a)), compareFalseLast(r.mayOrder(a), r.mayOrder(b)))
	})
	for _, server := range able[:min(missing, len(able))] {
		if r.credit < 1 {
			return
		}
		if r.mayOrder(server) {
			r.credit--
			r.order(server, ActionLoad, each.model.Name, version, fmt.Sprintf("%d replicas missing", missing))
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
func (r *round) unload(each replicas, surplus int) {
	having := slices.Clone(each.having)
	slices.SortStableFunc(having, func(a, b *policy.Server) int {
		return compareFalseLast(!r.outdated(each.model, a), !r.outdated(each.model, b))
	})
	for _, server := range slices.Backward(having) {
		if surplus == 0 {
			return
		}
		if r.busy(server) != Idle || !r.mayOrder(server) {
			continue
		}
		r.order(server, ActionUnload, each.model.Name, "", "surplus replica")
		surplus--
	}
}

func (r *round) busy(server *policy.Server) int { return r.in.Servers[server.Name].Busy }

// able reports whether a server can take an order now or in a while.
func (r *round) able(server *policy.Server) bool {
	known := r.in.Servers[server.Name]
	return known.Live && known.Known && !known.Leaving
}

// mayOrder reports whether an order can be given to a server now. A new
// coordinator waits a moment, since it may have woken from a pause and not know
// of another one yet. Before it orders an engine that ignores fencing numbers,
// it waits until other coordinators have certainly stopped, and only if it
// reaches the majority of the zone: the other side of a partition may have a
// coordinator, too.
func (r *round) mayOrder(server *policy.Server) bool {
	if _, pending := r.pending[server.Name]; pending || !r.able(server) {
		return false
	}
	if _, failed := r.quiet[server.Name]; failed {
		return false
	}
	if server.ChecksFencing {
		return r.now.Sub(r.since) >= r.config.MaxPause
	}
	return r.alone()
}

// alone reports whether no other host can give orders in the zone now, and the
// hosts that may take over know the models of the policy in force here: this host
// has reached the majority since it came, so any later majority has a host that
// knows it.
func (r *round) alone() bool {
	return r.in.Majority && r.now.Sub(r.since) >= r.config.Lifetime && r.now.Sub(r.policySince) >= r.config.Lifetime
}

func (r *round) order(server *policy.Server, action Action, model, version, reason string) {
	o := Order{
		Server: server.Name, Address: server.Address, Action: action, Model: model, Version: version,
		Fencing: FencingNumber(r.in.Policy.Generation, r.since), Reason: reason,
	}
	r.pending[server.Name] = pendingOrder{order: o, at: r.now}
	r.orders = append(r.orders, o)
}
