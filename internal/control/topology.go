package control

import (
	"slices"

	"mimosafront/internal/member"
	"mimosafront/internal/message"
	"mimosafront/internal/policy"
)

// topology implements asker.Topology for a policy and a membership view.
type topology struct {
	policy *policy.Policy
	view   *member.View
	// evacuated are the availability zones whose pools are closed.
	evacuated map[string]bool
	// spread differs between hosts.
	spread uint64
}

// Pools returns the pools of a target, that of the own zone first. If that is evacuated,
// the zone whose pool is next differs between hosts, so that not all requests of the zone
// arrive at the same other one.
func (t *topology) Pools(target string) []message.Pool {
	own := message.Pool{Zone: t.view.Zone, Target: target}
	var pools []message.Pool
	if len(t.policy.PoolServers(own)) > 0 {
		pools = append(pools, own)
	}
	zones := slices.DeleteFunc(t.policy.ZonesOf(target), func(zone string) bool { return zone == own.Zone })
	if t.evacuated[own.Zone] && len(zones) > 0 {
		first := int(t.spread % uint64(len(zones)))
		zones = slices.Concat(zones[first:], zones[:first])
	}
	for _, zone := range zones {
		pools = append(pools, message.Pool{Zone: zone, Target: target})
	}
	return pools
}

// Closed reports whether the zone of a pool is evacuated.
func (t *topology) Closed(pool message.Pool) bool { return t.evacuated[pool.Zone] }

// Coordinator returns the host to ask for a pool, or false if none can be reached.
func (t *topology) Coordinator(pool message.Pool) (string, bool) {
	return t.view.Coordinator(pool)
}
