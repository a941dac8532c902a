package coordinator

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"mimosafront/internal/message"
	"mimosafront/internal/policy"
	"mimosafront/internal/sched"
	"mimosafront/internal/settings"
)

// SetPolicy applies a policy to all pools.
func (s *State) SetPolicy(now time.Time, p *policy.Policy) {
	s.policy = p
	s.configureAll(now)
}

// SetOwned sets the pools that this host owns, that is, coordinates. The state of
// released pools is dropped; their fronts ask the next coordinator.
func (s *State) SetOwned(now time.Time, pools []message.Pool) {
	for _, ps := range s.order {
		if !slices.Contains(pools, ps.id) {
			s.releasePool(ps)
		}
	}
	for _, id := range pools {
		if s.pools[id] == nil {
			s.takeOver(now, id)
		}
	}
	s.order = s.order[:0]
	for _, ps := range s.pools {
		s.order = append(s.order, ps)
	}
	slices.SortFunc(s.order, func(a, b *poolState) int { return comparePools(a.id, b.id) })
	s.flush(now)
}

func comparePools(a, b message.Pool) int {
	return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Zone, b.Zone), a.Shard-b.Shard)
}

// releasePool drops the state of a pool and refuses its waiting requests, so that their
// fronts ask the next coordinator.
func (s *State) releasePool(ps *poolState) {
	for _, e := range sortedEntries(ps.entries) {
		waits := e.grant == ""
		s.remove(e)
		if waits {
			s.send(e.request.Host, refusal(e, message.RefusalReasonNotCoordinator))
		}
	}
	delete(s.pools, ps.id)
}

func sortedEntries(entries map[string]*entry) []*entry {
	list := make([]*entry, 0, len(entries))
	for _, e := range entries {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *entry) int { return cmp.Compare(a.request.ID, b.request.ID) })
	return list
}

// takeOver starts the coordination of a pool.
func (s *State) takeOver(now time.Time, id message.Pool) {
	ps := &poolState{
		id: id, zoneSeenAt: map[string]time.Time{}, entries: map[string]*entry{}, byHost: map[string]map[string]*entry{}, siblings: map[string]*sibling{},
		rebuilding: true, rebuildDeadline: now.Add(s.config.RebuildTime),
		takenOverAt: now, claims: claimKnowledge{since: now, givesStart: s.config.Scheduler.WholeRateLimits},
	}
	ps.formerSiblings, _ = simplelru.NewLRU[string, *sibling](maxFormerSiblings, nil)
	ps.zoneClaims = newZoneClaims()
	s.takeovers++
	ps.takeover = s.takeovers
	ps.sched = sched.NewPool(sched.Config{
		Algorithm:        s.config.Scheduler.Algorithm,
		Service:          s.policy != nil && s.policy.IsService(id.Target),
		Seed:             s.random.Uint64(),
		MaxWaiting:       s.config.Scheduler.MaxWaiting,
		MaxWaitingTokens: s.config.Scheduler.MaxWaitingTokens,
		FirstTokenTarget: settings.Milliseconds(s.config.Scheduler.FirstTokenTargetMs),
		GapTarget:        settings.Milliseconds(s.config.Scheduler.GapTargetMs),
		WaitForFaster:    s.config.Scheduler.WaitForFaster,
		ColdOverage:      s.coldOverage(),
		GrantPrefix:      fmt.Sprintf("%s.%d.%d.", s.config.Host, s.config.Incarnation, s.takeovers),
		Rebuilding:       true,
		PrefixWeighing:   s.config.Scheduler.PrefixWeighing,
	})
	s.pools[id] = ps
	s.configure(now, ps)
}

// coldOverage returns by how much cold servers may get more than their rate.
func (s *State) coldOverage() sched.ColdOverage {
	return sched.ColdOverage{Factor: s.config.Scheduler.ColdRateFactor, Slack: s.config.Scheduler.ColdSlackRequests}
}

// Defaults for servers whose hardware the policy doesn't describe.
const (
	defaultPrefillTokensPerS = 8000
	defaultDecodeTokensPerS  = 1500
	defaultTokensInFlight    = 32000
)

// configure applies the policy in force to a pool.
func (s *State) configure(now time.Time, ps *poolState) {
	if s.policy == nil {
		return
	}
	policyServers := s.policy.PoolServers(ps.id)
	coldRequestsPerS := s.policy.ColdRequestsPerS(ps.id.Target)
	servers := make([]sched.Server, len(policyServers))
	for i, server := range policyServers {
		hardware := s.policy.Hardware[server.Hardware]
		servers[i] = sched.Server{
			Name:              server.Name,
			Hardware:          server.Hardware,
			Incarnation:       server.Incarnation,
			PrefillTokensPerS: cmp.Or(hardware.PrefillTokensPerS, defaultPrefillTokensPerS),
			DecodeTokensPerS:  cmp.Or(hardware.DecodeTokensPerS, defaultDecodeTokensPerS),
			TokensInFlight:    cmp.Or(hardware.TokensInFlight, defaultTokensInFlight),
			MaxRequests:       s.concurrentRequests(ps.id.Target, server),
			RequestsPerS:      s.requestLimits[server.Name],
			ColdRequestsPerS:  coldRequestsPerS,
			ColdUntil:         s.coldUntil[server.Name],
			Part:              s.serverPart(server.Name, coldRequestsPerS),
			Leaving:           s.leaving[server.Name],
			Evacuated:         s.evacuated[ps.id.Zone],
			Unloaded:          s.lacksModel(server.Name, ps.id.Target) || s.isDraining(server.Name, ps.id.Target),
		}
	}
	ps.serverCount = len(servers)
	ps.setZones(now, s.policy.ZonesOf(ps.id.Target))
	limits := make(map[string]sched.Limits, len(s.policy.Organisations))
	for name, organisation := range s.policy.Organisations {
		limits[name] = sched.Limits{
			MaxWaiting:      organisation.MaxWaiting,
			TokensPerMinute: organisation.TokensPerMinute,
			ClaimLimit:      s.claimLimit(organisation),
			ClaimWindow:     settings.Milliseconds(s.config.Scheduler.RateWindowMs),
			ClaimWhole:      s.config.Scheduler.WholeRateLimits,
			ClaimStart:      startSlackShare * float64(s.config.Scheduler.RateSlackTokens),
		}
	}
	ps.sched.SetLimits(now, limits)
	ps.sched.SetServers(now, servers)
}

// formerZoneTime is how long a zone without servers still holds its part of the rate limits:
// the registrations of a zone that is cut off lapse, while its hosts go on with them.
const formerZoneTime = 10 * time.Minute

// setZones records the zones that have servers of the pool's target.
func (ps *poolState) setZones(now time.Time, zones []string) {
	for _, zone := range zones {
		ps.zoneSeenAt[zone] = now
	}
	maps.DeleteFunc(ps.zoneSeenAt, func(zone string, seenAt time.Time) bool {
		return !slices.Contains(zones, zone) && now.Sub(seenAt) >= formerZoneTime
	})
	ps.zones = slices.Sorted(maps.Keys(ps.zoneSeenAt))
}

// concurrentRequests returns how many requests a server is granted at once. A server of
// a plain service is granted more than it can run, because a grant stays in use while
// the answer travels: without the surplus, a third of its capacity would stay idle with
// requests of some 30 ms.
func (s *State) concurrentRequests(target string, server policy.Server) int {
	requests := max(server.MaxRequests, 1)
	if s.policy.IsService(target) {
		requests += int(math.Ceil(s.config.Scheduler.ServiceOverlap * float64(requests)))
	}
	return requests
}

// usableSlackShare is the share of the rate limits' slack that may be granted. The rest
// covers what pools grant before they receive each other's digests, most of it while
// coordinators are replaced.
const usableSlackShare = 0.1

// claimLimit returns the tokens that an organisation may claim in each window; 0 for no
// limit.
func (s *State) claimLimit(o policy.Organisation) float64 {
	if o.QuotaTokensPerS <= 0 {
		return 0
	}
	c := s.config.Scheduler
	window := settings.Milliseconds(c.RateWindowMs).Seconds()
	quota := o.QuotaTokensPerS*window + float64(o.QuotaBurstTokens)
	return quota*(1+c.RateOverage) + usableSlackShare*float64(c.RateSlackTokens)
}

// SetServerLimits sets how many requests per second backend servers take, by name, for
// those that limit them, and until when servers are cold, for those that are.
func (s *State) SetServerLimits(now time.Time, perS map[string]float64, coldUntil map[string]time.Time) {
	s.requestLimits, s.coldUntil = perS, coldUntil
	s.configureAll(now)
}

// SetEvacuated sets the availability zones whose backend servers get no new work. Requests
// that wait there are refused at once, so that their fronts ask other zones, and no request
// is redirected there.
func (s *State) SetEvacuated(now time.Time, zones map[string]bool) {
	s.evacuated = zones
	s.configureAll(now)
	for _, ps := range s.order {
		if ps.sched.Evacuated() {
			s.refuseHeld(now, ps, "the availability zone is evacuated")
		}
	}
}

// SetLeaving sets the backend servers that get no new work.
func (s *State) SetLeaving(now time.Time, servers map[string]bool) {
	s.leaving = servers
	s.configureAll(now)
}
