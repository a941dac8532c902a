package control

import (
	"mimosafront/internal/member"
	"mimosafront/internal/message"
	"mimosafront/internal/policy"
)

// topology implements asker.Topology for a policy and a membership view.
type topology struct {
	policy *policy.Policy
	view   *member.View
}

// Pools returns the pools of a target, that of the own zone first.
func (t *topology) Pools(target string) []message.Pool {
	own := message.Pool{Zone: t.view.Zone, Target: target}
	var pools []message.Pool
	if len(t.policy.PoolServers(own)) > 0 {
		pools = append(pools, own)
	}
	for _, zone := range t.policy.ZonesOf(target) {
		if zone != own.Zone {
			pools = append(pools, message.Pool{Zone: zone, Target: target})
		}
	}
	return pools
}

// Coordinator returns the host to ask for a pool, or false if none can be reached.
func (t *topology) Coordinator(pool message.Pool) (string, bool) {
	return t.view.Coordinator(pool)
}
