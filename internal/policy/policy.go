// Package policy parses and checks the policy that operators publish: organisations,
// callers, tiers and their precedence, models, services, backend servers and routes.
//
// A Policy is immutable, and a file is accepted as a whole or rejected as a whole. For
// distribution between hosts it is split into content-addressed sections (Bundle).
package policy

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"sort"

	"mimosafront/internal/inifile"
	"mimosafront/internal/message"
)

// Policy is one accepted generation of the policy, with indexes for lookups.
type Policy struct {
	Header
	// Text is the file that the policy was parsed from; it is empty for a policy that
	// was derived from sections.
	Text []byte
	// Digest is the digest of the policy's manifest, in hex. It is independent of
	// comments and of the order of sections.
	Digest string
	// Tiers are ordered by rank, the highest precedence first.
	Tiers []Tier
	// The other entries of the policy by name.
	Zones         map[string]Zone
	Organisations map[string]Organisation
	Callers       map[string]Caller
	Hardware      map[string]Hardware
	Models        map[string]Model
	Services      map[string]Service
	Servers       map[string]Server
	Routes        map[string]Route

	// callersByKey maps the SHA-256 of a bearer key, in hex, to the caller's name.
	callersByKey  map[string]string
	tiersByName   map[string]Tier
	serversByPool map[message.Pool][]Server
	// routesByHost holds the routes of a host name, the longest prefix first.
	routesByHost map[string][]Route
	bundle       Bundle
}

// Authenticate returns the caller that a bearer key belongs to.
func (p *Policy) Authenticate(key string) (Caller, bool) {
	sum := sha256.Sum256([]byte(key))
	name, ok := p.callersByKey[hex.EncodeToString(sum[:])]
	return p.Callers[name], ok
}

// Tier returns a tier by name.
func (p *Policy) Tier(name string) (Tier, bool) {
	tier, ok := p.tiersByName[name]
	return tier, ok
}

// TierName returns the name of the tier with a rank, or an empty string.
func (p *Policy) TierName(rank int) string {
	for _, tier := range p.Tiers {
		if tier.Rank == rank {
			return tier.Name
		}
	}
	return ""
}

// TiersOf returns the tiers that an organisation may use, the highest precedence
// first.
func (p *Policy) TiersOf(organisation string) []Tier {
	names := inifile.SplitList(p.Organisations[organisation].Tiers)
	if len(names) == 0 {
		return p.Tiers
	}
	var tiers []Tier
	for _, tier := range p.Tiers {
		if slices.Contains(names, tier.Name) {
			tiers = append(tiers, tier)
		}
	}
	return tiers
}

// MayReach reports whether an organisation may use a model or service.
func (p *Policy) MayReach(organisation, target string) bool {
	names := inifile.SplitList(p.Organisations[organisation].Targets)
	return len(names) == 0 || slices.Contains(names, target)
}

// PoolServers returns the backend servers of a pool, ordered by name.
func (p *Policy) PoolServers(pool message.Pool) []Server {
	return p.serversByPool[pool]
}

// Pools returns all pools that have a backend server, ordered by target and zone.
func (p *Policy) Pools() []message.Pool {
	pools := make([]message.Pool, 0, len(p.serversByPool))
	for pool := range p.serversByPool {
		pools = append(pools, pool)
	}
	sort.Slice(pools, func(i, j int) bool {
		if pools[i].Target != pools[j].Target {
			return pools[i].Target < pools[j].Target
		}
		return pools[i].Zone < pools[j].Zone
	})
	return pools
}

// ZonesOf returns the zones that have a pool for a target, ordered by name.
func (p *Policy) ZonesOf(target string) []string {
	var zones []string
	for pool := range p.serversByPool {
		if pool.Target == target {
			zones = append(zones, pool.Zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// ColdRequestsPerS returns the requests per second that a cold server of a target takes
// from all hosts together; 0 means no bound.
func (p *Policy) ColdRequestsPerS(target string) float64 {
	if model, ok := p.Models[target]; ok {
		return model.ColdRequestsPerS
	}
	return p.Services[target].ColdRequestsPerS
}

// BoundsCold reports whether the requests of any cold server are bounded.
func (p *Policy) BoundsCold() bool {
	for _, model := range p.Models {
		if model.ColdRequestsPerS > 0 {
			return true
		}
	}
	for _, service := range p.Services {
		if service.ColdRequestsPerS > 0 {
			return true
		}
	}
	return false
}

// IsService reports whether a target is a plain service rather than a model.
func (p *Policy) IsService(target string) bool {
	_, ok := p.Services[target]
	return ok
}

// Targets returns the names of the models or services of the server.
func (s Server) Targets() []string {
	if s.Kind == ServerKindService {
		return inifile.SplitList(s.Services)
	}
	return inifile.SplitList(s.Models)
}

// index sorts the tiers and builds the lookup tables of a checked policy. The bundle
// must be set.
func (p *Policy) index() {
	p.callersByKey = make(map[string]string, len(p.Callers))
	for _, caller := range p.Callers {
		p.callersByKey[caller.KeySha256] = caller.Name
	}
	sort.Slice(p.Tiers, func(i, j int) bool { return p.Tiers[i].Rank < p.Tiers[j].Rank })
	p.tiersByName = make(map[string]Tier, len(p.Tiers))
	for _, tier := range p.Tiers {
		p.tiersByName[tier.Name] = tier
	}
	p.indexServers()
	p.indexRoutes()
	p.Digest = p.bundle.Manifest.Digest
}

// indexServers builds the lookup table of servers by pool.
func (p *Policy) indexServers() {
	p.serversByPool = map[message.Pool][]Server{}
	for _, server := range p.Servers {
		for _, target := range server.Targets() {
			pool := message.Pool{Zone: server.Zone, Target: target}
			p.serversByPool[pool] = append(p.serversByPool[pool], server)
		}
	}
	for _, servers := range p.serversByPool {
		sort.Slice(servers, func(i, j int) bool { return servers[i].Name < servers[j].Name })
	}
}
