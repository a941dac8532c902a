package placement

import (
	"cmp"
	"fmt"
	"slices"

	"mimosafront/internal/policy"
)

// Rollout is how far a version of a model has come in the zone.
type Rollout struct {
	Model    string
	Version  string
	Replicas int
	// Current serve the version, Serving any version that may serve requests.
	Current int
	Serving int
	// Changing drain, or load a version.
	Changing int
	// Failures counts the loads of the version that failed in a row.
	Failures int
	// Stopped says that no further server gets the version.
	Stopped bool
}

// Done reports whether no server has another version any more.
func (r Rollout) Done() bool {
	return r.Changing == 0 && r.Current > 0 && r.Current == r.Serving
}

// Rollouts returns the versions of models and how far they had come at the last
// Tick, ordered by model; it is empty on a host that isn't the coordinator.
func (s *State) Rollouts() []Rollout {
	list := slices.Clone(s.rollouts)
	slices.SortFunc(list, func(a, b Rollout) int { return cmp.Compare(a.Model, b.Model) })
	return list
}

// rollOut brings the version of the policy to the servers that have another one.
// A server is drained first, and gets the order when it runs nothing of the
// model. As many go on serving as the policy wants; until one has loaded the
// version, only one tries.
func (r *round) rollOut(each replicas) {
	progress := r.progress(each)
	r.rollouts = append(r.rollouts, progress)
	r.orderDrained(each)
	if progress.Stopped || !r.mayChange() {
		return
	}
	present := len(each.having) + len(each.lacking)
	spare := progress.Serving - (min(each.model.Replicas, present) - each.model.MaxUnavailable)
	for _, server := range r.outdatedServers(each) {
		serving := r.serves(each.model, server)
		if r.credit < 1 || serving && spare < 1 || progress.Current == 0 && progress.Changing > 0 {
			return
		}
		r.credit--
		progress.Changing++
		if serving {
			spare--
		}
		r.changes[place{server.Name, each.model.Name}] = change{version: each.model.Version}
		r.note(place{server.Name, each.model.Name}, "drained for version %s", each.model.Version)
	}
}

// mayChange reports whether this host can take a version out of service: no other
// host gives orders, and no server is drained by the word of an earlier one.
func (r *round) mayChange() bool {
	return r.alone() && r.now.Sub(r.since) >= r.config.Lifetime+r.config.DrainLifetime
}

// progress counts the servers of a model.
func (r *round) progress(each replicas) Rollout {
	failed := r.failures[each.model.Name]
	out := Rollout{
		Model: each.model.Name, Version: each.model.Version, Replicas: each.model.Replicas,
		Stopped: r.stopped(each.model),
	}
	if failed.model == each.model {
		out.Failures = failed.count
	}
	for _, server := range each.having {
		if _, changing := r.changes[place{server.Name, each.model.Name}]; changing {
			out.Changing++
		}
		if !r.serves(each.model, server) {
			continue
		}
		out.Serving++
		if !r.outdated(each.model, server) {
			out.Current++
		}
	}
	return out
}

// serves reports whether a server certainly has a version loaded that serves
// requests, and is neither drained nor ordered to change it.
func (r *round) serves(model policy.Model, server *policy.Server) bool {
	known := r.in.Servers[server.Name]
	version, loaded := known.Loaded[model.Name]
	if !known.Live || !known.Known || known.Leaving || !loaded || !model.Serves(version) {
		return false
	}
	if _, changing := r.changes[place{server.Name, model.Name}]; changing {
		return false
	}
	p, pending := r.pending[server.Name]
	return !pending || p.order.Model != model.Name
}

// outdated reports whether a server has another version than the policy's.
func (r *round) outdated(model policy.Model, server *policy.Server) bool {
	version, loaded := r.loaded[server.Name][model.Name]
	return model.Version != "" && loaded && version != model.Version
}

// outdatedServers returns the servers that can change their version now: those
// that serve nothing first, then the least used.
func (r *round) outdatedServers(each replicas) []*policy.Server {
	var servers []*policy.Server
	for _, server := range each.having {
		_, changing := r.changes[place{server.Name, each.model.Name}]
		if !changing && r.outdated(each.model, server) && r.mayOrder(server) {
			servers = append(servers, server)
		}
	}
	slices.SortStableFunc(servers, func(a, b *policy.Server) int {
		return cmp.Or(
			compareFalseLast(!r.serves(each.model, a), !r.serves(each.model, b)),
			cmp.Compare(r.busy(b), r.busy(a)),
		)
	})
	return servers
}

// orderDrained orders the version onto the servers that were drained for it.
func (r *round) orderDrained(each replicas) {
	for _, server := range each.having {
		c, ok := r.changes[place{server.Name, each.model.Name}]
		if !ok || !c.drains() || !r.in.Servers[server.Name].Drained[each.model.Name] {
			continue
		}
		if r.mayChange() && r.mayOrder(server) {
			r.order(server, ActionLoad, each.model.Name, c.version, fmt.Sprintf("version %s replaces %s",
				c.version, r.loaded[server.Name][each.model.Name]))
		}
	}
}

// loadableVersion returns the version that servers without the model should
// load. While a rollout is stopped that is the one that most servers have.
func (r *round) loadableVersion(each replicas) (string, bool) {
	if each.model.Version == "" || !r.stopped(each.model) {
		return each.model.Version, true
	}
	counts := map[string]int{}
	best := ""
	for _, server := range each.having {
		version := r.loaded[server.Name][each.model.Name]
		if version == "" || version == each.model.Version || !r.serves(each.model, server) {
			continue
		}
		counts[version]++
		if best == "" || counts[version] > counts[best] || counts[version] == counts[best] && version < best {
			best = version
		}
	}
	return best, best != ""
}
