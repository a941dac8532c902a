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

// advanceRollout brings the version of the policy to the servers that have another one.
// A server is drained first, and gets the order when it runs nothing of the
// model. As many go on serving as the policy wants; until one has loaded the
// version, only one tries.
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

// mayChangeVersion reports whether this host can take a version out of service: no other
// host gives orders, and no server is drained by the word of an earlier one.
func (r *round) mayChangeVersion() bool {
	return r.soleCoordinator() && r.now.Sub(r.termStart) >= r.config.CoordinatorLifetime+r.config.DrainLifetime
}

// progress counts the servers of a model.
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

// serves reports whether a server certainly has a version loaded that serves
// requests, and is neither drained nor ordered to change it.
func (r *round) serves(model policy.Model, server *policy.Server) bool {
	report := r.in.Servers[server.Name]
	version, loaded := report.Loaded[model.Name]
	if !report.Live || !report.LoadedKnown || report.Leaving || !loaded || !model.Serves(version) {
		return false
	}
	if _, changing := r.changes[serverModel{server.Name, model.Name}]; changing {
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
			compareFalseLast(!r.serves(set.model, a), !r.serves(set.model, b)),
			cmp.Compare(r.runningRank(b), r.runningRank(a)),
		)
	})
	return servers
}

// orderDrainedServers orders the version onto the servers that were drained for it.
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

// versionToLoad returns the version that servers without the model should
// load. While a rollout is stopped that is the one that most servers have.
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
