package member

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"mimosafront/internal/message"
)

// View is what an entry host believes of the others at one moment. It is
// immutable.
type View struct {
	// Host and Zone are the entry host's own.
	Host, Zone string
	// Zones lists, by zone, the hosts that coordinate pools, ordered by name.
	// Zones that can't be reached are missing.
	Zones map[string][]string
	// Reachable holds the hosts that frames can be sent to, this one included.
	Reachable map[string]bool
	// LeavingServers are the backend servers that get no new work.
	LeavingServers map[string]bool
	// Weights are the processing capacities of the hosts in Zones; a host that is
	// missing has one of 1.
	Weights map[string]float64

	rendezvous map[string]*rendezvous.Rendezvous
}

// newView fills in the lookups of a view.
func newView(v View) *View {
	v.rendezvous = map[string]*rendezvous.Rendezvous{}
	for zone, hosts := range v.Zones {
		v.rendezvous[zone] = rendezvous.New(v.capableHosts(hosts), xxhash.Sum64String)
	}
	return &v
}

// minCapacityShare of the largest capacity in a zone is enough to coordinate pools.
const minCapacityShare = 0.5

// capableHosts returns the hosts of a zone that have the capacity to coordinate pools. A
// coordinator works for all fronts of its zone; on the smallest hosts of an unlike
// fleet a flood would starve it.
func (v *View) capableHosts(hosts []string) []string {
	largest := 0.0
	for _, host := range hosts {
		largest = max(largest, v.weight(host))
	}
	return slices.DeleteFunc(slices.Clone(hosts), func(host string) bool { return v.weight(host) < minCapacityShare*largest })
}

func (v *View) weight(host string) float64 {
	if w := v.Weights[host]; w > 0 {
		return w
	}
	return 1
}

// equal reports whether two views say the same.
func (v *View) equal(w *View) bool {
	return maps.EqualFunc(v.Zones, w.Zones, slices.Equal) &&
		maps.Equal(v.Reachable, w.Reachable) && maps.Equal(v.LeavingServers, w.LeavingServers) &&
		maps.Equal(v.Weights, w.Weights)
}

// Owner returns the host that coordinates a pool, whether or not it can be
// reached from here; it is empty when the zone has none.
func (v *View) Owner(pool message.Pool) string {
	if len(v.Zones[pool.Zone]) == 0 {
		return ""
	}
	return v.rendezvous[pool.Zone].Lookup(poolKey(pool))
}

// Coordinator returns the host to ask for a pool, or false when it can't be
// reached.
func (v *View) Coordinator(pool message.Pool) (string, bool) {
	owner := v.Owner(pool)
	return owner, owner != "" && v.Reachable[owner]
}

// OwnedPools returns those of the pools that this host coordinates.
func (v *View) OwnedPools(pools []message.Pool) []message.Pool {
	return slices.DeleteFunc(slices.Clone(pools), func(p message.Pool) bool {
		return p.Zone != v.Zone || v.Owner(p) != v.Host
	})
}

// PlacementOwner returns the host that gives the placement orders of the own
// zone; it is empty when there is none.
func (v *View) PlacementOwner() string {
	if len(v.Zones[v.Zone]) == 0 {
		return ""
	}
	return v.rendezvous[v.Zone].Lookup("placement/" + v.Zone)
}

func poolKey(pool message.Pool) string {
	return "pool/" + pool.Zone + "/" + pool.Target
}

// SingleHostView returns the view of a host that knows no other.
func SingleHostView(host, zone string) *View {
	return newView(View{
		Host: host, Zone: zone,
		Zones:     map[string][]string{zone: {host}},
		Reachable: map[string]bool{host: true},
	})
}
