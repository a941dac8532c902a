package placement

import (
	"cmp"
	"fmt"
	"slices"

	"mimosafront/internal/policy"
)

// Rollout is the progress of a model's version in the zone.
type Rollout struct {
	Model    string
	Version  string
	Replicas int
	// Current counts the servers that serve the version, Serving those that serve
	// any version that the policy accepts.
	Current int
	Serving int
	// Changing counts the servers that are drained for the version or load it.
	Changing int
	// Failures counts the consecutive failed loads of the version.
	Failures int
	// Stopped is true if no more servers get the version.
	Stopped bool
}

// Done reports whether all serving servers have the version and none is changing.
func (r Rollout) Done() bool {
	return r.Changing == 0 && r.Current > 0 && r.Current == r.Serving
}

// Rollouts returns the rollouts as of the last Tick, ordered by model. It is
// empty on a host that isn't the coordinator.
func (s *State) Rollouts() []Rollout {
	list := slices.Clone(s.rollouts)
	slices.SortFunc(list, func(a, b Rollout) int { return cmp.Compare(a.Model, b.Model) })
	return list
}

// advanceRollout moves servers to the version of the policy. A server is drained
// first and gets the order when it runs no work of the model. At most MaxUnavailable
// of the wanted replicas are taken out of service at a time, and until one server has
// loaded the version, only one server at a time changes to it.
func (r *round) advanceRollout(set replicaSet) {
	progress := r.progress(set)
	r.rollouts = append(r.rollouts, progress)
	r.orderDrainedServers(set)
	if progress.Stopped || !r.mayChangeVersion() {
		return
	}
	present := len(set.withModel) + len(set.withoutModel)
	drainable := progress.Serving - (min(set.model.Replicas, present) - set.model.MaxUnavailable)
	for _, server := range r.outdatedServers(set) {
		serving := r.serves(set.model, server)
		if r.loadCredit < 1 || serving && drainable < 1 || progress.Current == 0 && progress.Changing > 0 {
			return
		}
		r.loadCredit--
		progress.Changing++
		if serving {
			drainable--
		}
		r.changes[serverModel{server.Name, set.model.Name}] = versionChange{version: set.model.Version}
		r.addEvent(serverModel{server.Name, set.model.Name}, "drained for version %s", set.model.Version)
	}
}

// mayChangeVersion reports whether this host may drain servers and change their
// version: it is the sole coordinator, and drains of earlier coordinators have expired.
func (r *round) mayChangeVersion() bool {
	return r.soleCoordinator() && r.now.Sub(r.termStart) >= r.config.CoordinatorLifetime+r.config.DrainLifetime
}

// progress counts the servers of a model by the state of their rollout.
func (r *round) progress(set replicaSet) Rollout {
	failures := r.failures[set.model.Name]
	out := Rollout{
		Model: set.model.Name, Version: set.model.Version, Replicas: set.model.Replicas,
		Stopped: r.rolloutStopped(set.model),
	}
	if failures.model == set.model {
		out.Failures = failures.count
	}
	for _, server := range set.withModel {
		if _, changing := r.changes[serverModel{server.Name, set.model.Name}]; changing {
			out.Changing++
		}
		if !r.serves(set.model, server) {
			continue
		}
		out.Serving++
		if !r.outdated(set.model, server) {
			out.Current++
		}
	}
	return out
}

// serves reports whether a server is known to have a version loaded that may serve
// requests, with no change draining or ordered.
func (r *round) serves(model policy.Model, server *policy.Server) bool {
	report := r.in.Servers[server.Name]
	version, loaded := report.Loaded[model.Name]
	if !report.Live || !report.LoadedKnown || report.Leaving || !loaded || !model.AcceptsVersion(version) {
		return false
	}
	if _, changing := r.changes[serverModel{server.Name, model.Name}]; changing {
		return false
	}
	p, pending := r.pending[server.Name]
	return !pending || p.order.Model != model.Name
}

// outdated reports whether a server has a version other than the policy's.
func (r *round) outdated(model policy.Model, server *policy.Server) bool {
	version, loaded := r.loaded[server.Name][model.Name]
	return model.Version != "" && loaded && version != model.Version
}

// outdatedServers returns the servers that can change their version now: first
// those that serve nothing, then idle ones, then those that run the lowest tier.
func (r *round) outdatedServers(set replicaSet) []*policy.Server {
	var servers []*policy.Server
	for _, server := range set.withModel {
		_, changing := r.changes[serverModel{server.Name, set.model.Name}]
		if !changing && r.outdated(set.model, server) && r.mayOrder(server) {
			servers = append(servers, server)
		}
	}
	slices.SortStableFunc(servers, func(a, b *policy.Server) int {
		return cmp.Or(
			compareTrueFirst(!r.serves(set.model, a), !r.serves(set.model, b)),
			cmp.Compare(r.runningRank(b), r.runningRank(a)),
		)
	})
	return servers
}

// orderDrainedServers orders the version on the servers that were drained for it.
func (r *round) orderDrainedServers(set replicaSet) {
	for _, server := range set.withModel {
		c, ok := r.changes[serverModel{server.Name, set.model.Name}]
		if !ok || !c.draining() || !r.in.Servers[server.Name].Drained[set.model.Name] {
			continue
		}
		if r.mayChangeVersion() && r.mayOrder(server) {
			r.order(server, ActionLoad, set.model.Name, c.version, fmt.Sprintf("version %s replaces %s",
				c.version, r.loaded[server.Name][set.model.Name]))
		}
	}
}

// versionToLoad returns the version that servers without the model should load, and
// whether there is one. While a rollout is stopped, it is the version that most
// servers have.
func (r *round) versionToLoad(set replicaSet) (string, bool) {
	if set.model.Version == "" || !r.rolloutStopped(set.model) {
		return set.model.Version, true
	}
	counts := map[string]int{}
	best := ""
	for _, server := range set.withModel {
		version := r.loaded[server.Name][set.model.Name]
		if version == "" || version == set.model.Version || !r.serves(set.model, server) {
			continue
		}
		counts[version]++
		if best == "" || counts[version] > counts[best] || counts[version] == counts[best] && version < best {
			best = version
		}
	}
	return best, best != ""
}
