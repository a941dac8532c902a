package coordinator

import (
	"maps"
	"time"

	"mimosafront/internal/message"
)

// SetLoadedModels sets the models, and their versions, that an engine has loaded. An
// engine gets no work of a model that placement manages and that it lacks.
func (s *State) SetLoadedModels(now time.Time, server string, models map[string]string) {
	if s.loadedModels == nil {
		s.loadedModels = map[string]map[string]string{}
	}
	if old, ok := s.loadedModels[server]; ok && maps.Equal(old, models) {
		return
	}
	s.loadedModels[server] = models
	s.configureAll(now)
}

// SetDraining sets the pairs of server and model that should get no new work; it is
// called repeatedly. While a server holds parked requests of a model, its drain is put
// off, because parked requests can continue only on their server.
func (s *State) SetDraining(now time.Time, models map[message.ServerModel]bool) {
	drainable := map[message.ServerModel]bool{}
	for model := range models {
		if s.draining[model] || !s.holdsParked(model) {
			drainable[model] = true
		}
	}
	if maps.Equal(s.draining, drainable) {
		return
	}
	s.draining = drainable
	s.configureAll(now)
}

// holdsParked reports whether parked requests wait for a model on a server.
func (s *State) holdsParked(model message.ServerModel) bool {
	for _, ps := range s.order {
		if ps.id.Target == model.Model && ps.sched.HasBoundRequests(model.Server) {
			return true
		}
	}
	return false
}

// configureAll applies the policy and the state of the servers to all pools.
func (s *State) configureAll(now time.Time) {
	for _, ps := range s.order {
		s.configure(now, ps)
	}
	s.flush(now)
}

// lacksModel reports whether an engine has not loaded a model, or has a version of it
// that the policy doesn't accept. It is false for models without replicas, which
// placement does not manage, and for engines that have not reported yet.
func (s *State) lacksModel(server, name string) bool {
	model := s.policy.Models[name]
	if model.Replicas == 0 {
		return false
	}
	models, known := s.loadedModels[server]
	if !known {
		return false
	}
	version, loaded := models[name]
	return !loaded || !model.AcceptsVersion(version)
}

// isDraining reports whether placement drains a model on a server.
func (s *State) isDraining(server, model string) bool {
	return s.draining[message.ServerModel{Server: server, Model: model}]
}

// Drained returns the draining pairs of server and model, in the pools that this host
// coordinates, whose server runs no request of the pool. A rebuilding pool is left out,
// since its records of running requests may be incomplete.
func (s *State) Drained() []message.ServerModel {
	drained := []message.ServerModel{}
	for _, ps := range s.order {
		if ps.rebuilding || len(s.draining) == 0 {
			continue
		}
		used := map[string]int{}
		ps.sched.ServersInUse(used)
		for model := range s.draining {
			_, runs := used[model.Server]
			if model.Model == ps.id.Target && !runs && s.poolHasServer(ps, model.Server) {
				drained = append(drained, model)
			}
		}
	}
	return drained
}

func (s *State) poolHasServer(ps *poolState, name string) bool {
	for _, server := range s.policy.PoolServers(ps.id) {
		if server.Name == name {
			return true
		}
	}
	return false
}

// ServersInUse returns, for each backend server that runs requests of the pools
// coordinated here, the rank of the highest tier among them.
func (s *State) ServersInUse() map[string]int {
	used := map[string]int{}
	for _, ps := range s.order {
		ps.sched.ServersInUse(used)
	}
	return used
}
