package member

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"mimosafront/internal/message"
)

// View is the membership as one entry host sees it at one moment. It is
// immutable.
type View struct {
	// Host and Zone are those of the entry host itself.
	Host, Zone string
	// Zones lists, by zone, the hosts that can coordinate pools, ordered by
	// name. Unreachable zones are missing.
	Zones map[string][]string
	// Reachable holds the hosts that frames can be sent to, including this one.
	Reachable map[string]bool
	// LeavingServers holds the entry hosts and backend servers that are marked as
	// leaving and get no new work.
	LeavingServers map[string]bool
	// Weights are the relative processing capacities of hosts; the default is 1.
	Weights map[string]float64

	// rendezvous holds, by zone, the rendezvous hash over the hosts that may
	// coordinate its pools.
	rendezvous map[string]*rendezvous.Rendezvous
}

// newView builds the rendezvous hashes of a view.
func newView(v View) *View {
	v.rendezvous = map[string]*rendezvous.Rendezvous{}
	for zone, hosts := range v.Zones {
		v.rendezvous[zone] = rendezvous.New(v.capableHosts(hosts), xxhash.Sum64String)
	}
	return &v
}

// minCapacityShare is the share of the largest capacity in a zone that a host
// needs to coordinate pools.
const minCapacityShare = 0.5

// capableHosts returns the hosts of a zone with enough capacity to coordinate
// pools. A coordinator serves all fronts of its zone; in a heterogeneous fleet, a
// burst of requests would starve it on the smallest hosts.
func (v *View) capableHosts(hosts []string) []string {
	largest := 0.0
	for _, host := range hosts {
		largest = max(largest, v.weight(host))
	}
	return slices.DeleteFunc(slices.Clone(hosts), func(host string) bool { return v.weight(host) < minCapacityShare*largest })
}

// weight returns the relative processing capacity of a host.
func (v *View) weight(host string) float64 {
	if w := v.Weights[host]; w > 0 {
		return w
	}
	return 1
}

// Owner returns the owner of a pool, the host that coordinates it, whether or not
// this host can reach the owner. It is empty if the zone has no coordinator.
func (v *View) Owner(pool message.Pool) string {
	if len(v.Zones[pool.Zone]) == 0 {
		return ""
	}
	return v.rendezvous[pool.Zone].Lookup(poolKey(pool))
}

// Coordinator returns the owner of a pool and whether this host can reach it.
func (v *View) Coordinator(pool message.Pool) (string, bool) {
	owner := v.Owner(pool)
	return owner, owner != "" && v.Reachable[owner]
}

// OwnedPools returns those of the given pools that this host coordinates.
func (v *View) OwnedPools(pools []message.Pool) []message.Pool {
	return slices.DeleteFunc(slices.Clone(pools), func(p message.Pool) bool {
		return p.Zone != v.Zone || v.Owner(p) != v.Host
	})
}

// PlacementOwner returns the placement coordinator of the own zone; it is empty
// if there is none.
func (v *View) PlacementOwner() string {
	if len(v.Zones[v.Zone]) == 0 {
		return ""
	}
	return v.rendezvous[v.Zone].Lookup("placement/" + v.Zone)
}

// poolKey is the key of a pool in rendezvous hashing.
func poolKey(pool message.Pool) string {
	return "pool/" + pool.Zone + "/" + pool.Target
}

// SingleHostView returns the view of a host that knows no others.
func SingleHostView(host, zone string) *View {
	return newView(View{
		Host: host, Zone: zone,
		Zones:     map[string][]string{zone: {host}},
		Reachable: map[string]bool{host: true},
	})
}
