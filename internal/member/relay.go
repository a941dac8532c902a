package member

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"mimosafront/internal/message"
)

// otherZones returns the zones of the known hosts except the own one, in order.
func (s *State) otherZones() []string {
	zones := map[string]bool{}
	for _, n := range s.nodes {
		zones[n.Zone] = true
	}
	delete(zones, s.config.Zone)
	return slices.Sorted(maps.Keys(zones))
}

// IsRelay reports whether this host exchanges updates with other zones.
func (s *State) IsRelay() bool {
	return slices.Contains(s.relaysOf(s.config.Zone), s.config.Host)
}

// remoteTargets returns the hosts of other zones that a relay sends to: the relays
// of reachable zones, and rotating hosts of unreachable ones.
func (s *State) remoteTargets() []string {
	var relays []string
	for _, zone := range s.otherZones() {
		if s.zoneReachable(s.lastTick, zone) {
			relays = append(relays, s.relaysOf(zone)...)
			continue
		}
		relays = append(relays, s.probeTargets(zone)...)
	}
	return relays
}

// probeRounds is the number of heartbeat rounds for which the same hosts of an
// unreachable zone are tried.
const probeRounds = 8

// probeTargets returns two hosts of an unreachable zone and rotates through its
// hosts every probeRounds rounds.
func (s *State) probeTargets(zone string) []string {
	hosts := s.hostsOf(zone)
	if len(hosts) <= relaysPerZone {
		return hosts
	}
	start := s.heartbeatRounds / probeRounds * relaysPerZone % len(hosts)
	return []string{hosts[start], hosts[(start+1)%len(hosts)]}
}

// hostsOf returns the known hosts of a zone that aren't dead, ordered by name.
func (s *State) hostsOf(zone string) []string {
	var hosts []string
	for _, name := range s.names() {
		if n := s.nodes[name]; n.Zone == zone && n.State != message.MemberStateDead {
			hosts = append(hosts, name)
		}
	}
	return hosts
}

// relaysOf returns the relays of a zone, chosen among the hosts presumed to run.
func (s *State) relaysOf(zone string) []string {
	var hosts []string
	for _, name := range s.hostsOf(zone) {
		n := s.nodes[name]
		if zone == s.config.Zone && !s.seenDirectly(s.lastTick, n) {
			continue
		}
		if n.State != message.MemberStateLeaving && !n.refused {
			hosts = append(hosts, name)
		}
	}
	if zone == s.config.Zone && s.self.State != message.MemberStateLeaving {
		hosts = append(hosts, s.config.Host)
	}
	slices.Sort(hosts)
	return topRanked(hosts, "relay/"+zone, relaysPerZone)
}

// topRanked returns the n hosts with the highest rendezvous rank for a key.
func topRanked(hosts []string, key string, n int) []string {
	if len(hosts) <= n {
		return hosts
	}
	remaining := slices.Clone(hosts)
	var chosen []string
	for range n {
		first := rendezvous.New(remaining, xxhash.Sum64String).Lookup(key)
		chosen = append(chosen, first)
		remaining = slices.DeleteFunc(remaining, func(host string) bool { return host == first })
	}
	return chosen
}

// Link names the remote host of a link to maintain.
type Link struct {
	Host, Address string
}

// Links returns the links to maintain: to all hosts of the own zone, and on a relay
// also to remoteTargets.
func (s *State) Links() []Link {
	var links []Link
	for _, name := range s.names() {
		if n := s.nodes[name]; n.Zone == s.config.Zone {
			links = append(links, Link{Host: name, Address: n.Address})
		}
	}
	if !s.IsRelay() {
		return links
	}
	for _, name := range s.remoteTargets() {
		links = append(links, Link{Host: name, Address: s.nodes[name].Address})
	}
	return links
}

// Address returns the address of a host's peer listener, or an empty string.
func (s *State) Address(host string) string {
	if n := s.nodes[host]; n != nil {
		return n.Address
	}
	return ""
}

// GossipTargets returns the hosts that gossip is forwarded to: those of the own
// zone if includeOwnZone is true, and on a relay also remoteTargets.
func (s *State) GossipTargets(includeOwnZone bool) []string {
	var hosts []string
	if includeOwnZone {
		hosts = s.hostsOf(s.config.Zone)
	}
	if s.IsRelay() {
		hosts = append(hosts, s.remoteTargets()...)
	}
	return hosts
}

// Zone returns the availability zone of a host, or an empty string.
func (s *State) Zone(host string) string {
	if host == s.config.Host {
		return s.config.Zone
	}
	if n := s.nodes[host]; n != nil {
		return n.Zone
	}
	return ""
}

// ZoneHosts returns this host and the hosts of its zone that were seen recently.
func (s *State) ZoneHosts(now time.Time) []string {
	hosts := []string{s.config.Host}
	for _, name := range s.hostsOf(s.config.Zone) {
		if s.seenDirectly(now, s.nodes[name]) {
			hosts = append(hosts, name)
		}
	}
	return hosts
}

// Majority reports whether this host sees more than half of the entry hosts of
// its zone, itself included. Dead hosts count until their records are removed,
// since they may run on the other side of a partition; leaving hosts don't.
func (s *State) Majority(now time.Time) bool {
	known, alive := 1, 1
	for _, n := range s.nodes {
		if n.Zone != s.config.Zone || n.State == message.MemberStateLeaving {
			continue
		}
		known++
		if s.presumedAlive(now, n) {
			alive++
		}
	}
	return 2*alive > known
}
