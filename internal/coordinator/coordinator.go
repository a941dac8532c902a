// Package coordinator holds the state of the pools that one entry host coordinates: the
// waiting requests, the grants, and the messages for the fronts and the other
// coordinators.
//
// State is pure: no I/O, no clock, no goroutine, no lock. It is soft state: when a
// coordinator dies, another host takes its pools over and rebuilds the state from the
// grants and asks that the fronts report in their heartbeats.
package coordinator

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"mimosafront/internal/member"
	"mimosafront/internal/message"
	"mimosafront/internal/policy"
	"mimosafront/internal/quarantine"
	"mimosafront/internal/sched"
	"mimosafront/internal/settings"
)

// Config identifies the entry host and holds the limits of its pools.
type Config struct {
	// Host and Zone are the name and availability zone of the entry host.
	Host, Zone string
	// Incarnation is its start time in Unix milliseconds. SetIncarnation changes it.
	Incarnation int
	// Scheduler holds the limits and targets of the pools.
	Scheduler settings.Scheduler
	// RebuildTime is how long a pool that was taken over waits for the reports of
	// fronts; 0 uses the default.
	RebuildTime time.Duration
	// Seed seeds the random choices.
	Seed uint64
}

const (
	// defaultRebuildTime is the default of Config.RebuildTime. It equals the default
	// time after which a silent host is suspected.
	defaultRebuildTime = 2 * time.Second
	// maxEnded limits the ended requests and the ended grants that are kept to
	// recognise late duplicates.
	maxEnded = 8192
	// maxFingerprints limits the quarantine tables of contents and of prompt parts.
	maxFingerprints = 4096
	// suspectTTL and quarantineTTL are how long a fingerprint stays in either state.
	suspectTTL    = 2 * time.Minute
	quarantineTTL = 10 * time.Minute
	// hostTTL is how long after its last heartbeat a host is sent hints and
	// quarantines.
	hostTTL = time.Minute
)

// State is the coordinator state of one entry host.
//
// Invariants: each request is in exactly one of three states: it waits in the queue, is
// held as a suspect, or has one grant that this coordinator counts; each grant belongs
// to a request and a pool that this host coordinates.
type State struct {
	config Config
	policy *policy.Policy
	random *rand.Rand
	pools  map[message.Pool]*poolState
	// order lists the pools in a fixed order, so that equal inputs give equal outputs.
	order  []*poolState
	grants map[string]*entry
	// endedAttempts maps each ended request to its last attempt.
	endedAttempts *simplelru.LRU[string, int]
	// endedGrants holds the ids of ended grants.
	endedGrants *simplelru.LRU[string, struct{}]
	// leaving are the backend servers that get no new work.
	leaving map[string]bool
	// evacuated are the availability zones whose servers get no new work.
	evacuated map[string]bool
	// contact is which hosts of the zone are in touch.
	contact member.Contact
	// requestLimits are the requests per second that servers take, by name.
	requestLimits map[string]float64
	// coldUntil is until when servers are cold, by name.
	coldUntil map[string]time.Time
	// loadedModels maps each engine to the models that it reported, and those to their
	// versions.
	loadedModels map[string]map[string]string
	// draining holds the pairs of server and model that placement drains.
	draining map[message.ServerModel]bool
	// takeovers counts the pools taken over; grant ids contain it to be unique.
	takeovers  int
	quarantine *quarantine.Table
	// parts are the parts of prompts that may crash backend servers.
	parts *quarantine.Parts
	// activeByPart counts the requests in queues or running, by the parts of their prompts
	// but the last.
	activeByPart map[uint64]int
	// activeByFingerprint counts the requests in queues or running, by fingerprint.
	activeByFingerprint map[uint64]int
	// lastHeartbeats is when each host's last heartbeat was received.
	lastHeartbeats map[string]time.Time
	// digestInterval is the minimum time between two digests of a pool.
	digestInterval time.Duration
	// lastTick is when Tick was last called.
	lastTick  time.Time
	outputs   []Output
	decisions []Decision
}

// poolState is the state of one coordinated pool.
type poolState struct {
	id      message.Pool
	sched   *sched.Pool
	entries map[string]*entry
	// byHost holds the entries by front.
	byHost map[string]map[string]*entry
	// revoking are the entries whose revocation is repeated until their grants end.
	revoking []*entry
	// heldSuspects are the suspects that wait outside the queue until another one
	// finishes or crashes, oldest first.
	heldSuspects []*entry
	// activeSuspects counts the suspects in the queue or running.
	activeSuspects int
	serverCount    int
	// takenOverAt is when this host took the pool over.
	takenOverAt time.Time
	claims      claimKnowledge
	// zones are those with a pool of the same target, or lately with one, in order, and
	// zoneSeenAt is when each last had one.
	zones      []string
	zoneSeenAt map[string]time.Time
	// takeover numbers the takeovers of this host; digests name it.
	takeover int
	reports  claimReports
	// zoneClaims are those at other targets of the zone.
	zoneClaims zoneClaims
	// rebuilding is set after a takeover, and limits grants, until all awaitedFronts
	// have reported or rebuildDeadline has passed.
	rebuilding      bool
	rebuildDeadline time.Time
	awaitedFronts   map[string]bool
	siblings        map[string]*sibling
	// formerSiblings are the last hosts that were siblings.
	formerSiblings *simplelru.LRU[string, *sibling]
	digest         sentDigest
	// lastRedirected is when the last ask that another zone redirected here was
	// received.
	lastRedirected time.Time
	// nextMoveCheck is when to check next whether waiting requests should move to
	// another zone.
	nextMoveCheck time.Time
	// moved counts the waiting requests that were redirected to other zones.
	moved int
}

// entry is the coordinator's record of one request.
type entry struct {
	pool    *poolState
	request sched.Request
	// grant is empty while the request waits.
	grant     string
	server    string
	grantedAt time.Time
	// queuedAt is when the request came to this pool; moves counts how often it changed
	// pools while it waited.
	queuedAt time.Time
	moves    int
	// redirected requests were sent here by another zone.
	redirected bool
	// redirectSentAt is when the last redirection was sent to the front; zero if none
	// was.
	redirectSentAt time.Time
	// held entries are suspects that are not in the queue.
	held bool
	// suspect is set while a suspect that admitSuspect admitted is in the queue or
	// runs; at most one entry per fingerprint has it.
	suspect bool
	// active entries are in the queue or running, and counted in activeByFingerprint and
	// activeByPart.
	active bool
	// promptParts identify the parts of the prompt; the last is the request's own.
	promptParts []uint64
	// firstOutputAt is when the front first reported output; zero if it didn't.
	firstOutputAt time.Time
	// partsProven is set once the answer has proven the parts sound.
	partsProven bool
	// missedHeartbeats counts the consecutive heartbeats that did not list the request.
	missedHeartbeats int
	// revokedAt is when the last revocation was sent; zero if none was.
	revokedAt    time.Time
	revokeReason string
}

// New returns an empty State.
func New(c Config) *State {
	c.RebuildTime = cmp.Or(c.RebuildTime, defaultRebuildTime)
	endedAttempts, _ := simplelru.NewLRU[string, int](maxEnded, nil)
	endedGrants, _ := simplelru.NewLRU[string, struct{}](maxEnded, nil)
	limits := quarantine.Config{Capacity: maxFingerprints, SuspectTTL: suspectTTL, QuarantineTTL: quarantineTTL}
	return &State{
		config:              c,
		random:              rand.New(rand.NewPCG(c.Seed, uint64(c.Incarnation))),
		pools:               map[message.Pool]*poolState{},
		grants:              map[string]*entry{},
		endedAttempts:       endedAttempts,
		endedGrants:         endedGrants,
		leaving:             map[string]bool{},
		lastHeartbeats:      map[string]time.Time{},
		activeByFingerprint: map[uint64]int{},
		activeByPart:        map[uint64]int{},
		quarantine:          quarantine.New(limits),
		parts:               quarantine.NewParts(limits),
	}
}

// SetIncarnation replaces the incarnation of the host in later messages.
func (s *State) SetIncarnation(incarnation int) { s.config.Incarnation = incarnation }

// Handle applies one frame from another entry host or from this one.
func (s *State) Handle(now time.Time, from string, f *message.Frame) {
	for _, ps := range s.order {
		ps.sched.HostSeen(now, from)
	}
	switch {
	case f.Ask != nil:
		s.handleAsk(now, from, f.Ask)
	case f.Withdraw != nil:
		s.handleWithdraw(now, from, f.Withdraw)
	case f.Progress != nil:
		s.handleProgress(now, f.Progress)
	case f.Release != nil:
		s.handleRelease(now, from, f.Release)
	case f.Heartbeat != nil:
		s.handleHeartbeat(now, from, f.Heartbeat)
	case f.Digest != nil:
		s.handleDigest(now, from, f.Digest)
	case f.Hint != nil:
		s.handleHint(now, f.Hint)
	case f.Quarantine != nil:
		s.handleQuarantine(now, f.Quarantine)
	case f.Quarantines != nil:
		for i := range f.Quarantines.Entries {
			s.handleQuarantine(now, &f.Quarantines.Entries[i])
		}
	}
	s.flush(now)
}

// HostDown drops the grants and asks of an entry host that died.
func (s *State) HostDown(now time.Time, host string) {
	delete(s.lastHeartbeats, host)
	for _, ps := range s.order {
		delete(ps.awaitedFronts, host)
		for _, e := range sortedEntries(ps.byHost[host]) {
			s.drop(now, e)
		}
	}
	s.flush(now)
}

// Report applies the load report of a backend server.
func (s *State) Report(now time.Time, server string, r sched.LoadReport) {
	for _, ps := range s.order {
		ps.sched.Report(now, server, r)
	}
	s.flush(now)
}

// tickInterval is the interval between calls of Tick.
const tickInterval = 50 * time.Millisecond

// Tick refuses expired requests, grants what has become possible, and sends due
// messages.
func (s *State) Tick(now time.Time) {
	s.lastTick = now
	for _, ps := range s.order {
		s.finishRebuild(now, ps)
		s.expireHeld(now, ps)
		ps.sched.SetRemoteRate(s.remoteRate(now, ps))
		s.updateClaims(now, ps)
		if s.config.Scheduler.WholeRateLimits {
			ps.startClaims(now)
		}
		ps.sched.Tick(now)
	}
	s.flush(now)
	s.moveWaiting(now)
	for _, ps := range s.order {
		s.repeatRevocations(now, ps)
		s.sendDigests(now, ps)
		s.reportZoneClaims(now, ps)
	}
	for host, lastHeartbeat := range s.lastHeartbeats {
		if now.Sub(lastHeartbeat) > hostTTL {
			delete(s.lastHeartbeats, host)
		}
	}
}

// NextTick returns when Tick should be called next.
func (s *State) NextTick(now time.Time) time.Time { return now.Add(tickInterval) }
