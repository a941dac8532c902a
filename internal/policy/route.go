package policy

import (
	"fmt"
	"sort"
	"strconv"
	"strings"

	"mimosafront/internal/inifile"
)

// ranksPerPrecedence is the number of route ranks within one organisation precedence;
// the schema bounds the rank of a route to 3.
const ranksPerPrecedence = 4

// WeightedTarget is one of the models or services that a route sends requests to.
type WeightedTarget struct {
	Name string
	// Weight is the target's share of requests relative to the other targets.
	Weight int
}

// WeightedTargets returns the targets of the route in the order of the file. Faulty
// entries are left out.
func (r Route) WeightedTargets() []WeightedTarget {
	var targets []WeightedTarget
	for _, entry := range inifile.SplitList(r.Targets) {
		target, err := parseTarget(entry)
		if err == nil {
			targets = append(targets, target)
		}
	}
	return targets
}

// PickTarget selects a target by weight. fraction is in [0, 1) and chosen uniformly by
// the caller. The result is empty if the route has no targets.
func (r Route) PickTarget(fraction float64) string {
	targets := r.WeightedTargets()
	total := 0
	for _, t := range targets {
		total += t.Weight
	}
	remaining := fraction * float64(total)
	for _, t := range targets {
		if remaining -= float64(t.Weight); remaining < 0 {
			return t.Name
		}
	}
	if len(targets) == 0 {
		return ""
	}
	return targets[len(targets)-1].Name
}

// parseTarget parses NAME or NAME:WEIGHT; the default weight is 1.
func parseTarget(entry string) (WeightedTarget, error) {
	name, weight, weighted := strings.Cut(entry, ":")
	if !weighted {
		return WeightedTarget{Name: entry, Weight: 1}, nil
	}
	n, err := strconv.Atoi(weight)
	if err != nil || n < 0 {
		return WeightedTarget{}, fmt.Errorf("weight %q of %s is not a number", weight, name)
	}
	return WeightedTarget{Name: name, Weight: n}, nil
}

// AtMostOnce reports whether a request of the route may run at most once, because it is
// neither repeatable nor a resumable stream.
func (r Route) AtMostOnce() bool { return !r.Repeatable && !(r.Streaming && r.Resumable) }

// MatchRoute returns the route of a host name with the longest prefix that matches the
// path.
func (p *Policy) MatchRoute(host, path string) (Route, bool) {
	for _, route := range p.routesByHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return Route{}, false
}

// RouteTier returns the tier of an organisation's requests on a route. Tiers are ordered
// by the precedence of the organisation, then by the rank of the route. If the policy
// has no tier with that rank, a tier named rank-N is returned.
func (p *Policy) RouteTier(route Route, organisation string) Tier {
	rank := p.Organisations[organisation].Precedence*ranksPerPrecedence + route.Rank
	for _, tier := range p.Tiers {
		if tier.Rank == rank {
			return tier
		}
	}
	return Tier{Name: "rank-" + strconv.Itoa(rank), Rank: rank}
}

// indexRoutes builds the lookup table of routes by host, the longest prefix first.
func (p *Policy) indexRoutes() {
	p.routesByHost = map[string][]Route{}
	for _, route := range p.Routes {
		p.routesByHost[route.Host] = append(p.routesByHost[route.Host], route)
	}
	for _, routes := range p.routesByHost {
		sort.Slice(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
}

// checkRoute checks that the targets of a route exist and that its keys are
// compatible.
func (p *parser) checkRoute(name string, route Route) {
	line := p.lines["route "+name]
	for _, entry := range inifile.SplitList(route.Targets) {
		target, err := parseTarget(entry)
		if err != nil {
			p.report(line, "route %s: %v", name, err)
			continue
		}
		_, model := p.policy.Models[target.Name]
		_, service := p.policy.Services[target.Name]
		if !model && !service {
			p.report(line, "route %s: no model or service %q", name, target.Name)
		}
	}
	if len(inifile.SplitList(route.Targets)) == 0 {
		p.report(line, "route %s: targets is empty", name)
	}
	if route.Resumable && !route.Streaming {
		p.report(line, "route %s: only a stream can be resumable", name)
	}
}

// WithServers returns a copy of the policy with other backend servers. Its generation,
// digest and bundle remain those of the published policy.
func (p *Policy) WithServers(servers []Server) *Policy {
	next := *p
	next.Servers = make(map[string]Server, len(servers))
	for _, server := range servers {
		next.Servers[server.Name] = server
	}
	next.indexServers()
	return &next
}
