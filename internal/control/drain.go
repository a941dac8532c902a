package control

import (
	"time"

	"mimosafront/internal/coordinator"
	"mimosafront/internal/message"
	"mimosafront/internal/status"
)

const (
	// drainFresh is how old the news of the placement coordinator may be for this
	// host to tell it that a model is drained.
	drainFresh = 2 * time.Second
	// drainLifetime is for how long a drain holds without news: an order that was
	// given on this host's word has arrived or been given up by then.
	drainLifetime = drainFresh + useLifetime + orderTimeout + time.Second
	// drainsRepeat is for how long the end of the last drain is told.
	drainsRepeat = 5 * time.Second
)

// drains are the models that placement drains, as the coordinators of pools learn
// of them.
type drains struct {
	models map[message.ServerModel]toldDrain
	// told is until when this host, as the placement coordinator, tells what it
	// drains.
	told time.Time
}

// toldDrain is the last news of a drain.
type toldDrain struct {
	from string
	at   time.Time
}

func newDrains() drains { return drains{models: map[message.ServerModel]toldDrain{}} }

// receive takes all that a host drains.
func (d *drains) receive(now time.Time, from string, f *message.ServerDrain) {
	for model, told := range d.models {
		if told.from == from {
			told.at = now.Add(-drainLifetime)
			d.models[model] = told
		}
	}
	for _, model := range f.Models {
		d.models[model] = toldDrain{from: from, at: now}
	}
}

// current returns the models to drain, and forgets the others.
func (d *drains) current(now time.Time) map[message.ServerModel]bool {
	models := make(map[message.ServerModel]bool, len(d.models))
	for model, told := range d.models {
		if now.Sub(told.at) >= drainLifetime {
			delete(d.models, model)
			continue
		}
		models[model] = true
	}
	return models
}

// drain gives no new work to what placement drains.
func (l *Loop) drain(now time.Time) {
	l.coordinator.SetDraining(now, l.placer.drains.current(now))
}

// drained returns the models that are drained in the pools of this host, as far
// as the placement coordinator said so a moment ago.
func (l *Loop) drained(now time.Time) []message.ServerModel {
	drained := []message.ServerModel{}
	for _, model := range l.coordinator.Drained() {
		if now.Sub(l.placer.drains.models[model].at) < drainFresh {
			drained = append(drained, model)
		}
	}
	return drained
}

// sendDrains tells the hosts of the zone what this host drains, as the placement
// coordinator. Those that coordinate no pool now may do so next.
func (l *Loop) sendDrains(now time.Time) {
	f := &message.ServerDrain{Models: []message.ServerModel{}}
	for _, d := range l.placer.state.Drains() {
		f.Models = append(f.Models, message.ServerModel{Server: d.Server, Model: d.Model})
	}
	if len(f.Models) > 0 {
		l.placer.drains.told = now.Add(drainsRepeat)
	}
	if now.After(l.placer.drains.told) {
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
