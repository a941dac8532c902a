package member

import (
	"slices"
	"time"

	"mimosafront/internal/message"
)

const (
	// maxPromptNodes is the number of known hosts up to which the view is refreshed after
	// each message. Beyond it, messages that arrive together share a refresh: when a
	// fleet starts, each of them changes the view, and the work for one grows with the
	// hosts.
	maxPromptNodes = 30
	// viewInterval is then the time between two refreshes. It is short against the time
	// in which a silent host is noticed.
	viewInterval = 50 * time.Millisecond
)

// hostStatus is what the view says of a host.
type hostStatus uint8

const (
	// statusReachable: frames can be sent to the host.
	statusReachable hostStatus = 1 << iota
	// statusCoordinates: the host may coordinate pools of its zone.
	statusCoordinates
)

// viewInputs is what a view is made of. Views of equal inputs are equal.
type viewInputs struct {
	names  []string
	status []hostStatus
	zones  []string
	weight []float64
	// joined is set once this host has joined, coordinates while it may coordinate pools.
	joined, coordinates bool
	leaving             []string
}

func (i *viewInputs) equal(o *viewInputs) bool {
	return i.joined == o.joined && i.coordinates == o.coordinates && slices.Equal(i.names, o.names) && slices.Equal(i.status, o.status) &&
		slices.Equal(i.zones, o.zones) && slices.Equal(i.weight, o.weight) && slices.Equal(i.leaving, o.leaving)
}

// scheduleRefresh refreshes the view at once, or with the others that are due in
// viewInterval if there are many hosts.
func (s *State) scheduleRefresh(now time.Time) {
	if len(s.nodes) <= maxPromptNodes || now.Sub(s.viewRefreshedAt) >= viewInterval {
		s.refreshView(now)
	}
}

// refreshView replaces the view if it changed.
func (s *State) refreshView(now time.Time) {
	s.viewRefreshedAt = now
	inputs := s.collectInputs(now)
	if s.view != nil && inputs.equal(s.viewInputs) {
		s.spareInputs = inputs
		return
	}
	s.spareInputs, s.viewInputs = s.viewInputs, inputs
	s.view = s.buildView(inputs)
}

// collectInputs returns the inputs of the current view.
func (s *State) collectInputs(now time.Time) *viewInputs {
	i := s.spareInputs
	if i == nil {
		i = &viewInputs{}
	}
	i.names, i.status, i.zones, i.weight, i.leaving = i.names[:0], i.status[:0], i.zones[:0], i.weight[:0], i.leaving[:0]
	i.joined = s.joined
	i.coordinates = s.joined && s.self.State == message.MemberStateAlive && !s.servers[s.config.Host].Leaving
	reachable := map[string]bool{s.config.Zone: true}
	for _, zone := range s.otherZones() {
		reachable[zone] = s.zoneReachable(now, zone)
	}
	for _, name := range s.names() {
		n := s.nodes[name]
		alive := reachable[n.Zone] && (n.Zone != s.config.Zone || s.presumedAlive(now, n)) &&
			n.Incarnation > 0 && n.State != message.MemberStateDead
		var status hostStatus
		if alive && !n.linkDown {
			status |= statusReachable
		}
		if alive && n.State == message.MemberStateAlive && !s.servers[name].Leaving {
			status |= statusCoordinates
		}
		i.names, i.status = append(i.names, name), append(i.status, status)
		i.zones, i.weight = append(i.zones, n.Zone), append(i.weight, n.Weight)
	}
	for name, state := range s.servers {
		if state.Leaving {
			i.leaving = append(i.leaving, name)
		}
	}
	slices.Sort(i.leaving)
	return i
}

// buildView returns the view of the inputs. A host that is leaving keeps its duties while
// its zone has no other coordinator.
func (s *State) buildView(i *viewInputs) *View {
	v := View{
		Host: s.config.Host, Zone: s.config.Zone,
		Zones:          map[string][]string{},
		Weights:        map[string]float64{s.config.Host: s.config.Weight},
		Reachable:      map[string]bool{s.config.Host: true},
		LeavingServers: map[string]bool{},
	}
	if i.coordinates {
		v.Zones[s.config.Zone] = []string{s.config.Host}
	}
	for k, name := range i.names {
		v.Weights[name] = i.weight[k]
		v.Reachable[name] = i.status[k]&statusReachable != 0
		if i.status[k]&statusCoordinates != 0 {
			v.Zones[i.zones[k]] = append(v.Zones[i.zones[k]], name)
		}
	}
	if len(v.Zones[s.config.Zone]) == 0 && i.joined {
		v.Zones[s.config.Zone] = []string{s.config.Host}
	}
	for _, name := range i.leaving {
		v.LeavingServers[name] = true
	}
	for _, hosts := range v.Zones {
		slices.Sort(hosts)
	}
	return newView(v)
}
