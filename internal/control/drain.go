package control

import (
	"time"

	"mimosafront/internal/coordinator"
	"mimosafront/internal/message"
	"mimosafront/internal/status"
)

const (
	// maxDrainAge is the age of the last drain update on a model above which this host
	// no longer reports the model as drained to the placement coordinator.
	maxDrainAge = 2 * time.Second
	// drainLifetime is how long a drain stays in force without a further update. It
	// covers the time until this host's last report, the lifetime of that report, the
	// timeout of an order based on it and a margin of 1 s.
	drainLifetime = maxDrainAge + useReportLifetime + orderTimeout + time.Second
	// drainRepeatTime is how long empty updates are sent after the last drain has ended,
	// since an update may be lost.
	drainRepeatTime = 5 * time.Second
)

// drainTable holds the models that placement drains, as received from the placement
// coordinator.
type drainTable struct {
	models map[message.ServerModel]drainUpdate
	// repeatUntil is when this host, as the placement coordinator, stops sending
	// updates.
	repeatUntil time.Time
}

// drainUpdate is the sender and the time of the last update on a drain.
type drainUpdate struct {
	from       string
	receivedAt time.Time
}

func newDrainTable() drainTable { return drainTable{models: map[message.ServerModel]drainUpdate{}} }

// receive replaces the drains that a host sent earlier by those of its new update.
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

// current returns the models to drain, and deletes the entries that have expired.
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

// applyDrains stops new grants on the models that placement drains.
func (l *Loop) applyDrains(now time.Time) {
	l.coordinator.SetDraining(now, l.placer.drains.current(now))
}

// drainedModels returns the draining models without running requests in this host's
// pools whose last drain update is younger than maxDrainAge.
func (l *Loop) drainedModels(now time.Time) []message.ServerModel {
	drained := []message.ServerModel{}
	for _, model := range l.coordinator.Drained() {
		if now.Sub(l.placer.drains.models[model].receivedAt) < maxDrainAge {
			drained = append(drained, model)
		}
	}
	return drained
}

// sendDrains sends the models that this host, as the placement coordinator, drains to
// all hosts of its zone: any of them may coordinate a pool before the drain ends.
func (l *Loop) sendDrains(now time.Time) {
	f := &message.ServerDrain{Models: []message.ServerModel{}}
	for _, d := range l.placer.state.Drains() {
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

// logRollouts writes a log record for each step of a rollout.
func (l *Loop) logRollouts(now time.Time) {
	for _, e := range l.placer.state.TakeEvents() {
		l.logs.writeAll([]coordinator.Decision{{
			At: now, Kind: decisionRollout, Pool: message.Pool{Zone: l.view.Zone, Target: e.Model},
			Server: e.Server, Reason: e.Text,
		}})
	}
}

// decisionRollout is the kind of log records on rollouts.
const decisionRollout coordinator.DecisionKind = "rollout"

// The states of a rollout in the status.
const (
	rolloutRolling = "rolling"
	rolloutStopped = "stopped"
	rolloutDone    = "done"
)

// rollouts returns the progress of the rollouts of models that this host places.
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
