package placement

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"mimosafront/internal/policy"
)

// maxLoadFailures is the number of consecutive failed loads after which the zone
// stops loading a version until the model's section of the policy changes.
const maxLoadFailures = 2

// serverModel identifies a model on a server.
type serverModel struct{ server, model string }

// versionChange is the change of a model to another version on one server.
type versionChange struct {
	version string
	// orderedAt is when the server accepted the order; zero while it is drained.
	orderedAt time.Time
	// failedAt is when the load failed; zero if it has not. The change ends with
	// the first report of the server's models that is read later.
	failedAt time.Time
}

// draining reports whether the server is being drained before the order.
func (c versionChange) draining() bool { return c.orderedAt.IsZero() && c.failedAt.IsZero() }

// loadFailures counts consecutive failed loads of the version in a model's section
// of the policy. The count restarts when the section changes.
type loadFailures struct {
	model policy.Model
	count int
}

// Drain is a model that gets no new work on a server.
type Drain struct{ Server, Model string }

// Drains returns the models that get no new work on a server until it reports
// their new version as loaded, ordered by server and model.
func (s *State) Drains() []Drain {
	list := make([]Drain, 0, len(s.changes))
	for key := range s.changes {
		list = append(list, Drain{Server: key.server, Model: key.model})
	}
	slices.SortFunc(list, func(a, b Drain) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Model, b.Model))
	})
	return list
}

// Event is a step of a rollout, to be logged.
type Event struct {
	Server string
	Model  string
	Text   string
}

// TakeEvents returns the events that were added since the last call.
func (s *State) TakeEvents() []Event {
	events := s.events
	s.events = nil
	return events
}

func (s *State) addEvent(key serverModel, format string, args ...any) {
	s.events = append(s.events, Event{Server: key.server, Model: key.model, Text: fmt.Sprintf(format, args...)})
}

// updateChanges ends the changes whose version is loaded, failed to load or is no
// longer in the policy. A change whose order is pending waits for the result. A
// host that lost the majority ends the changes whose order was not sent yet.
func (s *State) updateChanges(now time.Time, in Inputs) {
	for key, c := range s.changes {
		if pending, ok := s.pending[key.server]; ok && pending.order.Model == key.model {
			continue
		}
		model := in.Policy.Models[key.model]
		timeout := time.Duration(model.LoadTimeoutMs) * time.Millisecond
		switch {
		case !s.present(now, key.server), model.Replicas == 0:
			delete(s.changes, key)
		case !c.failedAt.IsZero():
			if server := in.Servers[key.server]; server.LoadedKnown && server.ReportedAt.After(c.failedAt) {
				delete(s.changes, key)
			}
		case c.orderedAt.IsZero():
			if c.version != model.Version || !in.Majority {
				delete(s.changes, key)
			}
		case s.hasVersion(key, c.version):
			s.loadSucceeded(key, c.version)
		case c.version != model.Version && !s.rolloutStopped(model):
			delete(s.changes, key)
		case now.Sub(c.orderedAt) > timeout:
			s.loadFailed(now, key, c.version, fmt.Sprintf("it was not loaded within %s", timeout))
		}
	}
}

// orderRejected handles an order that the server refused.
func (s *State) orderRejected(now time.Time, key serverModel, o Order) {
	if o.Action == ActionLoad && o.Version != "" {
		s.loadFailed(now, key, o.Version, "the server refused to load it")
	}
}

// hasVersion reports whether a server last reported a version as loaded.
func (s *State) hasVersion(key serverModel, version string) bool {
	loaded, ok := s.loaded[key.server][key.model]
	return ok && loaded == version
}

// loadSucceeded ends a change whose version is loaded and resets the failures of
// the policy's version.
func (s *State) loadSucceeded(key serverModel, version string) {
	delete(s.changes, key)
	if model := s.rankedPolicy.Models[key.model]; model.Version == version {
		delete(s.failures, key.model)
	}
	s.addEvent(key, "serves version %s", version)
}

// loadFailed marks a change as failed and counts the failure if the policy still
// has the version.
func (s *State) loadFailed(now time.Time, key serverModel, version, reason string) {
	s.changes[key] = versionChange{version: version, failedAt: now}
	model := s.rankedPolicy.Models[key.model]
	if version == "" || version != model.Version {
		return
	}
	failures := s.failures[key.model]
	if failures.model != model {
		failures = loadFailures{model: model}
	}
	failures.count++
	s.failures[key.model] = failures
	s.addEvent(key, "version %s failed: %s", version, reason)
	if failures.count == maxLoadFailures {
		s.addEvent(key, "rollout of version %s is stopped after %d failures", version, failures.count)
	}
}

// rolloutStopped reports whether the version in a model's section of the policy
// failed to load maxLoadFailures times in a row.
func (s *State) rolloutStopped(model policy.Model) bool {
	failures := s.failures[model.Name]
	return failures.model == model && failures.count >= maxLoadFailures
}
