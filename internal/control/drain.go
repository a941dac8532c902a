package control

import (
	"time"

	"mimosafront/internal/coordinator"
	"mimosafront/internal/message"
	"mimosafront/internal/status"
)

const (
	// maxDrainAge is how old the news of the placement coordinator may be for this
	// host to tell it that a model is drained.
	maxDrainAge = 2 * time.Second
	// drainLifetime is for how long a drain holds without news: an order that was
	// given on this host's word has arrived or been given up by then.
	drainLifetime = maxDrainAge + useReportLifetime + orderTimeout + time.Second
	// drainRepeatTime is for how long the end of the last drain is told.
	drainRepeatTime = 5 * time.Second
)

// drainTable are the models that placement drains, as the coordinators of pools learn
// of them.
type drainTable struct {
	models map[message.ServerModel]drainUpdate
	// repeatUntil is until when this host, as the placement coordinator, tells what it
	// drains.
	repeatUntil time.Time
}

// drainUpdate is the last news of a drain.
type drainUpdate struct {
	from       string
	receivedAt time.Time
}

func newDrainTable() drainTable { return drainTable{models: map[message.ServerModel]drainUpdate{}} }

// receive takes all that a host drains.
func (d *drainTable) receive(now time.Time, from string, f *message.ServerDrain) {
	for model, update := range d.models {
		if update.from == from {
			update.receivedAt = now.Add(-drainLifetime)
			d.models[model] = update
		}
	}
	for _, model := range f.Models {
		d.models[model] = drainUpdate{from: from, receivedAt: now}
	}
}

// current returns the models to drain, and forgets the others.
func (d *drainTable) current(now time.Time) map[message.ServerModel]bool {
	models := make(map[message.ServerModel]bool, len(d.models))
	for model, update := range d.models {
		if now.Sub(update.receivedAt) >= drainLifetime {
			delete(d.models, model)
			continue
		}
		models[model] = true
	}
	return models
}

// applyDrains gives no new work to what placement drains.
func (l *Loop) applyDrains(now time.Time) {
	l.coordinator.SetDraining(now, l.placer.drains.current(now))
}

// drainedModels returns the models that are drained in the pools of this host, as far
// as the placement coordinator said so a moment ago.
func (l *Loop) drainedModels(now time.Time) []message.ServerModel {
	drained := []message.ServerModel{}
	for _, model := range l.coordinator.Drained() {
		if now.Sub(l.placer.drains.models[model].receivedAt) < maxDrainAge {
			drained = append(drained, model)
		}
	}
	return drained
}

// sendDrains tells the hosts of the zone what this host drains, as the placement
// coordinator. Those that coordinate no pool now may do so next.
func (l *Loop) sendDrains(now time.Time) {
	f := &message.ServerDrain{Models: []message.ServerModel{}}
	for _, d := range l.placer.state.Draining() {
		f.Models = append(f.Models, message.ServerModel{Server: d.Server, Model: d.Model})
	}
	if len(f.Models) > 0 {
		l.placer.drains.repeatUntil = now.Add(drainRepeatTime)
	}
	if now.After(l.placer.drains.repeatUntil) {
		return
	}
	for _, host := range l.view.Zones[l.view.Zone] {
		l.send(now, host, &message.Frame{ServerDrain: f})
	}
}

// logRollouts writes a line for each step of a rollout.
func (l *Loop) logRollouts(now time.Time) {
	for _, e := range l.placer.state.TakeEvents() {
		l.logs.add([]coordinator.Decision{{
			At: now, Kind: decisionRollout, Pool: message.Pool{Zone: l.view.Zone, Target: e.Model},
			Server: e.Server, Reason: e.Text,
		}})
	}
}

// decisionRollout is the kind of log lines on rollouts.
const decisionRollout coordinator.DecisionKind = "rollout"

// The states of a rollout in the status.
const (
	rolloutRolling = "rolling"
	rolloutStopped = "stopped"
	rolloutDone    = "done"
)

// rollouts returns how far the versions of models have come, if this host places
// them.
func (l *Loop) rollouts() []status.Rollout {
	var list []status.Rollout
	for _, r := range l.placer.state.Rollouts() {
		state := rolloutRolling
		switch {
		case r.Stopped:
			state = rolloutStopped
		case r.Done():
			state = rolloutDone
		}
		list = append(list, status.Rollout{
			Model: r.Model, Version: r.Version, State: state, Replicas: r.Replicas,
			Current: r.Current, Serving: r.Serving, Changing: r.Changing, Failures: r.Failures,
		})
	}
	return list
}
