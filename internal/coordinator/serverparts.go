package coordinator

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosafront/internal/member"
	"mimosafront/internal/sched"
)

// SetContact sets which entry hosts of the zone are in touch. During a cut each side
// coordinates the pools of the zone, and none hears what the others grant.
func (s *State) SetContact(now time.Time, c member.Contact) {
	s.contact = c
	s.configureAll(now)
}

// serverPart returns the part of the bound on what a cold server gets in a second that this
// side of a cut may use. The whole requests of the bound belong to the hosts of the zone, as
// evenly as they can be divided; which hosts have one more differs between servers. A host
// is in touch on one side at most, so that the parts of all sides together are no more than
// the bound. In a zone of four hosts, one of which is cut off, the sides have 9 and 3 of 12.
func (s *State) serverPart(server string, coldRequestsPerS float64) sched.Part {
	if coldRequestsPerS <= 0 || len(s.contact.InTouch) == len(s.contact.Known) {
		return sched.Part{}
	}
	all := max(int(s.coldOverage().Allowed(coldRequestsPerS)), 1)
	each, rest := all/len(s.contact.Known), all%len(s.contact.Known)
	own := each * len(s.contact.InTouch)
	for _, host := range rankedHosts(server, s.contact.Known)[:rest] {
		if slices.Contains(s.contact.InTouch, host) {
			own++
		}
	}
	return sched.Part{Own: own, All: all}
}

// rankedHosts returns the hosts in an order that depends on the server and that any two
// hosts agree on.
func rankedHosts(server string, hosts []string) []string {
	hashes := make(map[string]uint64, len(hosts))
	for _, host := range hosts {
		hashes[host] = xxhash.Sum64String(server + "\x00" + host)
	}
	ranked := slices.Clone(hosts)
	slices.SortFunc(ranked, func(a, b string) int {
		if hashes[a] != hashes[b] {
			if hashes[a] > hashes[b] {
				return -1
			}
			return 1
		}
		return strings.Compare(a, b)
	})
	return ranked
}
