package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mimosafront/internal/message"
	"mimosafront/internal/policy"
)

// candidates returns the backend servers of a zone that may load a model, ordered
// by rendezvous hashing. The order depends on names alone, so that coordinators
// with different views prefer the same servers, and a server that appears or
// disappears moves only its own models.
func candidates(p *policy.Policy, zone, model string) []*policy.Server {
	pool := p.PoolServers(message.Pool{Zone: zone, Target: model})
	servers := make([]*policy.Server, len(pool))
	for i := range pool {
		servers[i] = &pool[i]
	}
	slices.SortStableFunc(servers, func(a, b *policy.Server) int {
		return cmp.Compare(rendezvousWeight(b.Name, model), rendezvousWeight(a.Name, model))
	})
	return servers
}

// rendezvousWeight returns the hash that ranks a server for a model; the server with
// the highest one is preferred.
func rendezvousWeight(server, model string) uint64 {
	return xxhash.Sum64String(server + "\x00" + model)
}

// Desired returns the servers of a zone that should load each model if none has
// it yet. It is a pure function of the policy and the servers present.
func Desired(p *policy.Policy, zone string, present func(server string) bool) map[string][]string {
	desired := map[string][]string{}
	for name, model := range p.Models {
		for _, server := range candidates(p, zone, name) {
			if len(desired[name]) < model.Replicas && present(server.Name) {
				desired[name] = append(desired[name], server.Name)
			}
		}
	}
	return desired
}

// zoneLoadsPerMinute returns a zone's share of the fleet's limit on weight loads per
// minute. All zones with servers for a placed model have equal shares, which add up
// to the limit whichever hosts coordinate the zones; other zones have 0.
func zoneLoadsPerMinute(p *policy.Policy, zone string) float64 {
	zones := map[string]bool{}
	for name, model := range p.Models {
		if model.Replicas == 0 {
			continue
		}
		for _, zone := range p.ZonesOf(name) {
			zones[zone] = true
		}
	}
	if !zones[zone] {
		return 0
	}
	return p.WeightLoadsPerMinute / float64(len(zones))
}
