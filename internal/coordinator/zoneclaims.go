package coordinator

import (
	"cmp"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"mimosafront/internal/message"
)

// A rate limit is one sum over all models and services. The coordinators of a zone tell each
// other what is claimed of the limits at their own targets, and count what they hear as claims
// of their own, so that the coordinators of the other zones hear of it too. Load: an
// organisation sends several times its limit to several targets at once.

// maxZoneClaims limits the pools of the own zone whose claims are counted, former coordinators
// included.
const maxZoneClaims = 128

// zoneClaims are the claims at the pools of other targets in the own zone.
type zoneClaims struct {
	// hosts coordinate these pools.
	hosts []string
	// known is what each pool has claimed, by pool and coordinator.
	known *simplelru.LRU[zonePool, *poolClaims]
	// sequence and sentAt are those of the last report to the hosts.
	sequence int
	sentAt   time.Time
}

// zonePool is a pool with its coordinator.
type zonePool struct {
	pool message.Pool
	host string
}

// poolClaims are the totals by organisation that a coordinator reported last.
type poolClaims struct {
	incarnation, takeover, sequence int
	claimed                         map[string]int
}

func newZoneClaims() zoneClaims {
	known, _ := simplelru.NewLRU[zonePool, *poolClaims](maxZoneClaims, nil)
	return zoneClaims{known: known}
}

// SetZonePeers sets, for each owned pool, the hosts that coordinate the pools of other targets
// in its zone; this host may be one of them.
func (s *State) SetZonePeers(peers map[message.Pool][]string) {
	for _, ps := range s.order {
		hosts := peers[ps.id]
		if slices.ContainsFunc(hosts, func(host string) bool { return !slices.Contains(ps.zoneClaims.hosts, host) }) {
			ps.sched.ReportAllOwnClaims()
		}
		ps.zoneClaims.hosts = hosts
	}
}

// reportZoneClaims tells the coordinators of the zone what was claimed at the pool.
func (s *State) reportZoneClaims(now time.Time, ps *poolState) {
	z := &ps.zoneClaims
	if len(z.hosts) == 0 || !ps.sched.OwnClaimsChanged() || now.Sub(z.sentAt) < ps.reports.interval {
		return
	}
	z.sequence++
	z.sentAt = now
	d := &message.Digest{Host: s.config.Host, Incarnation: s.config.Incarnation, Pool: ps.id, Sequence: z.sequence, Takeover: ps.takeover}
	ps.sched.TakeOwnClaims(func(organisation string, claimed int) {
		d.Claims = append(d.Claims, message.Claimed{Organisation: organisation, Tokens: claimed})
	})
	for _, host := range z.hosts {
		s.send(host, message.Frame{Digest: d})
	}
}

// countZoneClaims counts the claims at a pool of another target in the own zone. Those before
// the first report of a coordinator are not counted unless it has just taken the pool over:
// this pool has learned what is left from the other zones.
func (ps *poolState) countZoneClaims(now time.Time, d *message.Digest) {
	key := zonePool{d.Pool, d.Host}
	known, ok := ps.zoneClaims.known.Get(key)
	newer := !ok || cmp.Or(cmp.Compare(d.Incarnation, known.incarnation), cmp.Compare(d.Takeover, known.takeover)) > 0
	if newer {
		known = &poolClaims{incarnation: d.Incarnation, takeover: d.Takeover, claimed: map[string]int{}}
		ps.zoneClaims.known.Add(key, known)
	}
	if d.Incarnation != known.incarnation || d.Takeover != known.takeover || d.Sequence <= known.sequence {
		return
	}
	known.sequence = d.Sequence
	for _, c := range d.Claims {
		before, counted := known.claimed[c.Organisation]
		if !counted && len(known.claimed) >= maxRemoteAccounts {
			continue
		}
		known.claimed[c.Organisation] = c.Tokens
		if counted || d.Sequence <= takeoverDigests {
			ps.sched.ClaimInZone(now, c.Organisation, float64(c.Tokens-before))
		}
	}
}
