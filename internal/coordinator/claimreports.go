package coordinator

import (
	"math"
	"strings"
	"time"

	"mimosafront/internal/message"
	"mimosafront/internal/sched"
)

// Claims are confirmed by the digests in the other direction. A digest lists the claims that
// changed since an earlier one (claims_since); a receiver that knows all up to there counts
// them and names the digest in its own next one (confirms), together with its own claims of
// that moment. See sched.ClaimZone for what depends on it.

const (
	// resendIntervals is how long claims may stay unconfirmed until they are listed again,
	// because a digest was lost, in intervals of digests with claims.
	resendIntervals = 4
	// silentIntervals is how long claims may stay unconfirmed until the sibling counts as
	// unreachable for the rate limits. Claims are listed again once before that.
	silentIntervals = 7
)

// claimReports are the claims of a pool that siblings were told of and have not all
// confirmed.
type claimReports struct {
	// sent are the digests with such claims, oldest first.
	sent []claimReport
	// confirmed is the sequence up to which all reachable siblings have confirmed.
	confirmed int
	// since is the sequence after which all changed claims are listed in the next digest.
	since int
	// resentAt is when claims were last listed again.
	resentAt time.Time
	// interval is the least time between two digests with claims.
	interval time.Duration
}

// claimReport is what one digest told.
type claimReport struct {
	sequence int
	at       time.Time
	// claimed are the totals by organisation.
	claimed map[string]int
}

// siblingClaims is what a sibling and this pool know of each other's claims.
type siblingClaims struct {
	// countedTo is the sequence of the sibling's digests up to which its claims are counted
	// here, and due is set until the sibling was told so.
	countedTo int
	due       bool
	// confirmed is the sequence of the own digests up to which the sibling has confirmed. A
	// sibling that doesn't confirm claims has an earlier build, and counts as having confirmed
	// all.
	confirmed     int
	neverConfirms bool
	// current is set once the sibling has confirmed all claims up to needed; until then it
	// doesn't count as reachable.
	current bool
	needed  int
	// missing is set when a sibling that isn't current was heard of, until the claims that it
	// needs are listed again.
	missing bool
}

// isSilent reports whether claims that were sent to a sibling stay unconfirmed.
func (r *claimReports) isSilent(now time.Time, sib *siblingClaims) bool {
	for _, report := range r.sent {
		if report.sequence > sib.confirmed {
			return now.Sub(report.at) > silentIntervals*r.interval
		}
	}
	return false
}

// reportAll makes the next digest list the claims of all organisations.
func (ps *poolState) reportAll() {
	ps.reports.since = 0
	ps.sched.ReportAllClaims()
}

// resendClaims makes the next digest list again what a sibling has not confirmed in time.
func (ps *poolState) resendClaims(now time.Time) {
	r := &ps.reports
	if now.Sub(r.resentAt) < resendIntervals*r.interval {
		return
	}
	for _, sib := range ps.siblings {
		if sib.claims.missing {
			r.resentAt = now
			ps.reportAll()
		}
	}
	for _, sib := range ps.siblings {
		sib.claims.missing = false
	}
	if len(r.sent) == 0 || now.Sub(r.sent[0].at) < resendIntervals*r.interval {
		return
	}
	r.resentAt, r.since = now, min(r.since, r.confirmed)
	for _, report := range r.sent {
		for organisation := range report.claimed {
			ps.sched.ReportClaims(organisation)
		}
	}
}

// recordReport records the claims that a digest lists.
func (ps *poolState) recordReport(now time.Time, d *message.Digest) {
	ps.reports.since = d.Sequence
	if len(d.Claims) == 0 {
		return
	}
	report := claimReport{sequence: d.Sequence, at: now, claimed: make(map[string]int, len(d.Claims))}
	for _, c := range d.Claims {
		report.claimed[c.Organisation] = c.Tokens
	}
	ps.reports.sent = append(ps.reports.sent, report)
}

// countClaims notes that the claims which a digest lists are counted, if none before them are
// missing.
func (c *siblingClaims) countClaims(d *message.Digest) {
	c.neverConfirms = d.Takeover == 0
	if d.ClaimsSince > c.countedTo {
		return
	}
	c.countedTo = d.Sequence
	c.due = c.due || len(d.Claims) > 0
}

// handleConfirmation notes which claims a sibling counts.
func (s *State) handleConfirmation(ps *poolState, sib *sibling, d *message.Digest) {
	c := &sib.claims
	if d.Confirms != nil && d.Confirms.Incarnation == s.config.Incarnation && d.Confirms.Takeover == ps.takeover {
		c.confirmed = max(c.confirmed, d.Confirms.Sequence)
	}
	if c.neverConfirms {
		c.confirmed = math.MaxInt
	}
	c.current = c.current || c.confirmed >= c.needed
	c.missing = !c.current && ps.digest.sequence >= c.needed
}

// updateClaims passes on what siblings have confirmed, and which zones are reachable.
func (s *State) updateClaims(now time.Time, ps *poolState) {
	reachable := map[string]bool{ps.id.Zone: true}
	confirmed := ps.digest.sequence
	for _, sib := range ps.siblings {
		c := &sib.claims
		if c.current && ps.reports.isSilent(now, c) {
			c.current, c.needed = false, ps.digest.sequence+1
		}
		if c.current && now.Sub(sib.lastDigest) < siblingTimeout+maxDigestInterval {
			reachable[sib.zone] = true
			confirmed = min(confirmed, c.confirmed)
		}
	}
	zones := make([]sched.ClaimZone, len(ps.zones))
	for i, zone := range ps.zones {
		zones[i] = sched.ClaimZone{Name: zone, Reachable: reachable[zone]}
	}
	if ps.sched.SetClaimZones(now, ps.id.Zone, zones) {
		s.decisions = append(s.decisions, Decision{At: now, Kind: DecisionShareLimits, Pool: ps.id, Reason: describeZones(zones), Inputs: Inputs{Policy: s.generation()}})
	}
	ps.reports.confirmed = confirmed
	for len(ps.reports.sent) > 0 && ps.reports.sent[0].sequence <= confirmed {
		for organisation, claimed := range ps.reports.sent[0].claimed {
			ps.sched.ConfirmClaims(now, organisation, claimed)
		}
		ps.reports.sent = ps.reports.sent[1:]
	}
}

// describeZones names the zones that share the rate limits, and those that keep their parts.
func describeZones(zones []sched.ClaimZone) string {
	var sharing, apart []string
	for _, z := range zones {
		if z.Reachable {
			sharing = append(sharing, z.Name)
		} else {
			apart = append(apart, z.Name)
		}
	}
	text := "the rate limits are shared by " + strings.Join(sharing, ", ")
	if len(apart) > 0 {
		text += "; not reachable, with parts of their own: " + strings.Join(apart, ", ")
	}
	return text
}
