package placement

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"mimosafront/internal/policy"
)

// maxLoadFailures is the number of failed loads in a row after which a version is
// not tried any further in the zone, until the model's section changes.
const maxLoadFailures = 2

// place is a model on a server.
type place struct{ server, model string }

// change is a version that a server shall load, or loads.
type change struct {
	version string
	// ordered is when the server accepted the order; zero while it is drained.
	ordered time.Time
	// failed is when the load failed; a later report tells what the server serves.
	failed time.Time
}

func (c change) drains() bool { return c.ordered.IsZero() && c.failed.IsZero() }

// failures counts the loads in a row that failed of the version that a section
// of the policy names.
type failures struct {
	model policy.Model
	count int
}

// Draining is a model that must get no new work on a server.
type Draining struct{ Server, Model string }

// Draining returns the models that get no new work on a server until they are
// reported loaded in their new version, in a stable order.
func (s *State) Draining() []Draining {
	list := make([]Draining, 0, len(s.changes))
	for p := range s.changes {
		list = append(list, Draining{Server: p.server, Model: p.model})
	}
	slices.SortFunc(list, func(a, b Draining) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Model, b.Model))
	})
	return list
}

// Event is a step of a rollout, for the log.
type Event struct {
	Server string
	Model  string
	Text   string
}

// TakeEvents returns the events since the last call.
func (s *State) TakeEvents() []Event {
	events := s.events
	s.events = nil
	return events
}

func (s *State) note(p place, format string, args ...any) {
	s.events = append(s.events, Event{Server: p.server, Model: p.model, Text: fmt.Sprintf(format, args...)})
}

// settleChanges ends the changes whose version is loaded, failed to load, or is
// wanted no longer. One with an order on its way waits for the result; a host
// that lost the majority drains nothing.
func (s *State) settleChanges(now time.Time, in Inputs) {
	for at, c := range s.changes {
		if pending, ok := s.pending[at.server]; ok && pending.order.Model == at.model {
			continue
		}
		model := in.Policy.Models[at.model]
		timeout := time.Duration(model.LoadTimeoutMs) * time.Millisecond
		switch {
		case !s.present(now, at.server), model.Replicas == 0:
			delete(s.changes, at)
		case !c.failed.IsZero():
			if server := in.Servers[at.server]; server.Known && server.Reported.After(c.failed) {
				delete(s.changes, at)
			}
		case c.ordered.IsZero():
			if c.version != model.Version || !in.Majority {
				delete(s.changes, at)
			}
		case s.hasVersion(at, c.version):
			s.loadSucceeded(at, c.version)
		case c.version != model.Version && !s.stopped(model):
			delete(s.changes, at)
		case now.Sub(c.ordered) > timeout:
			s.loadFailed(now, at, c.version, fmt.Sprintf("it was not loaded within %s", timeout))
		}
	}
}

// rejected takes the refusal of an engine to carry out an order.
func (s *State) rejected(now time.Time, at place, o Order) {
	if o.Action == ActionLoad && o.Version != "" {
		s.loadFailed(now, at, o.Version, "the engine refused to load it")
	}
}

func (s *State) hasVersion(at place, version string) bool {
	loaded, ok := s.loaded[at.server][at.model]
	return ok && loaded == version
}

func (s *State) loadSucceeded(at place, version string) {
	delete(s.changes, at)
	if model := s.rankedFor.Models[at.model]; model.Version == version {
		delete(s.failures, at.model)
	}
	s.note(at, "serves version %s", version)
}

// loadFailed counts the failure of a change, if the policy still wants the version.
func (s *State) loadFailed(now time.Time, at place, version, reason string) {
	s.changes[at] = change{version: version, failed: now}
	model := s.rankedFor.Models[at.model]
	if version == "" || version != model.Version {
		return
	}
	failed := s.failures[at.model]
	if failed.model != model {
		failed = failures{model: model}
	}
	failed.count++
	s.failures[at.model] = failed
	s.note(at, "version %s failed: %s", version, reason)
	if failed.count == maxLoadFailures {
		s.note(at, "rollout of version %s is stopped after %d failures", version, failed.count)
	}
}

// stopped reports whether the version that a section of the policy names has
// failed too often.
func (s *State) stopped(model policy.Model) bool {
	failed := s.failures[model.Name]
	return failed.model == model && failed.count >= maxLoadFailures
}
