package coordinator

import (
	"maps"
	"time"

	"mimosafront/internal/message"
)

// SetLoadedModels notes the models that an engine has loaded, and their versions.
// Engines get no work of a model that placement manages and that they lack.
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

// SetDraining names the models that should get no new work on some servers, and
// is called again and again. A server that holds parked requests goes on with them
// first, since no other could.
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
		if ps.id.Target == model.Model && ps.sched.Holds(model.Server) {
			return true
		}
	}
	return false
}

// configureAll applies what is known of the servers to all pools.
func (s *State) configureAll(now time.Time) {
	for _, ps := range s.order {
		s.configure(now, ps)
	}
	s.flush(now)
}

// lacksModel reports whether an engine can't run a model now, or has a version
// that the policy doesn't accept. Only models with replicas are placed; an engine
// that hasn't reported yet counts as having them.
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
	return !loaded || !model.Serves(version)
}

// isDraining reports whether placement drains a model on a server.
func (s *State) isDraining(server, model string) bool {
	return s.draining[message.ServerModel{Server: server, Model: model}]
}

// Drained returns those of the models to drain whose pool this host coordinates
// and that run nothing. A pool that still waits for the reports of fronts may run
// more than it knows.
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

// ServersInUse returns, for each backend server that runs requests of a pool that
// this host coordinates, the rank of the highest tier among them.
func (s *State) ServersInUse() map[string]int {
	used := map[string]int{}
	for _, ps := range s.order {
		ps.sched.ServersInUse(used)
	}
	return used
}
