// Package coordinator holds the state of the pools that one entry host
// coordinates: who waits, who holds a grant, and what the fronts and the other
// coordinators must be told.
//
// State is pure: no I/O, no clock, no goroutine, no lock. It is soft: a
// coordinator that dies is replaced by another one, to which the fronts report
// their grants and asks with their heartbeats.
package coordinator

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"mimosafront/internal/message"
	"mimosafront/internal/policy"
	"mimosafront/internal/quarantine"
	"mimosafront/internal/sched"
	"mimosafront/internal/settings"
)

// Config names the entry host and bounds its pools.
type Config struct {
	// Host and Zone are the entry host's own.
	Host, Zone string
	// Incarnation is its start time in Unix milliseconds.
	Incarnation int
	// Scheduler holds the bounds and targets of the pools.
	Scheduler settings.Scheduler
	// RebuildTime is how long a pool that was taken over waits for the reports
	// of fronts; 0 uses the default.
	RebuildTime time.Duration
	// Seed starts the random choices.
	Seed uint64
}

const (
	// defaultRebuildTime is the interval after which a silent host is suspected
	// by default.
	defaultRebuildTime = 2 * time.Second
	// maxEnded bounds the ended requests that are remembered to recognise late
	// duplicates.
	maxEnded = 8192
	// maxFingerprints bounds the quarantine table.
	maxFingerprints = 4096
	// suspectTTL and quarantineTTL are how long a fingerprint is kept in
	// either standing.
	suspectTTL    = 2 * time.Minute
	quarantineTTL = 10 * time.Minute
	// hostTTL is how long a host that sent a heartbeat gets hints.
	hostTTL = time.Minute
)

// State is the coordinator state of one entry host.
//
// Invariants: a request waits, is held as a suspect, or holds one grant of this
// coordinator, never two of these; each grant belongs to a request and a pool
// that this host coordinates.
type State struct {
	config Config
	policy *policy.Policy
	random *rand.Rand
	pools  map[message.Pool]*poolState
	// order lists the pools, so that each run of the same inputs is the same.
	order  []*poolState
	grants map[string]*entry
	// endedAttempts holds the last attempt of ended requests.
	endedAttempts *simplelru.LRU[string, int]
	// endedGrants holds the ids of ended grants.
	endedGrants *simplelru.LRU[string, struct{}]
	leaving     map[string]bool
	// loadedModels are the models that each engine reported, and their versions.
	loadedModels map[string]map[string]string
	// draining are the models that placement drains.
	draining map[message.ServerModel]bool
	// takeovers numbers the pools taken over, which keeps grant ids unique.
	takeovers  int
	quarantine *quarantine.Table
	// activeByFingerprint counts the requests in queues or at work by fingerprint.
	activeByFingerprint map[uint64]int
	// lastHeartbeats is when each host's last heartbeat came.
	lastHeartbeats map[string]time.Time
	// digestInterval is the least time between two digests of a pool.
	digestInterval time.Duration
	// lastTick is when Tick was called last.
	lastTick  time.Time
	outputs   []Output
	decisions []Decision
}

// poolState is one coordinated pool.
type poolState struct {
	id      message.Pool
	sched   *sched.Pool
	entries map[string]*entry
	// byHost holds the entries of each front.
	byHost map[string]map[string]*entry
	// revoking are the entries whose revocation is repeated.
	revoking []*entry
	// heldSuspects are the suspects that wait until another one is decided, oldest
	// first.
	heldSuspects []*entry
	// activeSuspects counts those that wait or run.
	activeSuspects int
	serverCount    int
	// takenOver is when this host took the pool over.
	takenOver time.Time
	// zoneCount counts the pools of the target.
	zoneCount int
	// rebuilding pools wait for the reports of fronts until rebuilt.
	rebuilding      bool
	rebuildDeadline time.Time
	awaitedFronts   map[string]bool
	siblings        map[string]*sibling
	digest          sentDigest
	// lastRedirected is when the last redirected ask came.
	lastRedirected time.Time
	// nextMoveCheck is when to look next for waiting requests to move.
	nextMoveCheck time.Time
	// moved counts the waiting requests that were advised to go elsewhere.
	moved int
}

// entry is what the coordinator knows of one request.
type entry struct {
	pool    *poolState
	request sched.Request
	// grant is empty while the request waits.
	grant     string
	server    string
	grantedAt time.Time
	// queuedAt is when the request came to this pool, moves how often it went from
	// one pool to another while it waited.
	queuedAt time.Time
	moves    int
	// redirected requests came from another pool.
	redirected bool
	// advisedAt is when the front was advised last to ask elsewhere.
	advisedAt time.Time
	// held entries are suspects that are not in the queue.
	held bool
	// suspect entries are in the queue or run, as the only ones of their
	// fingerprint.
	suspect bool
	// active entries are in a queue or run, and counted by fingerprint.
	active bool
	// missedHeartbeats counts the heartbeats in a row that lacked the request.
	missedHeartbeats int
	// revokedAt is when the last revocation was sent; zero if none was.
	revokedAt    time.Time
	revokeReason string
}

// New returns an empty State.
func New(c Config) *State {
	c.RebuildTime = cmp.Or(c.RebuildTime, defaultRebuildTime)
	closed, _ := simplelru.NewLRU[string, int](maxEnded, nil)
	ended, _ := simplelru.NewLRU[string, struct{}](maxEnded, nil)
	return &State{
		config:              c,
		random:              rand.New(rand.NewPCG(c.Seed, uint64(c.Incarnation))),
		pools:               map[message.Pool]*poolState{},
		grants:              map[string]*entry{},
		endedAttempts:       closed,
		endedGrants:         ended,
		leaving:             map[string]bool{},
		lastHeartbeats:      map[string]time.Time{},
		activeByFingerprint: map[uint64]int{},
		quarantine: quarantine.New(quarantine.Config{
			Capacity: maxFingerprints, SuspectTTL: suspectTTL, QuarantineTTL: quarantineTTL,
		}),
	}
}

// Handle takes one frame from another entry host or from this one.
func (s *State) Handle(now time.Time, from string, f *message.Frame) {
	for _, ps := range s.order {
		ps.sched.Heard(now, from)
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

// Report notes the load report of a backend server.
func (s *State) Report(now time.Time, server string, r sched.LoadReport) {
	for _, ps := range s.order {
		ps.sched.Report(now, server, r)
	}
	s.flush(now)
}

// tickInterval is how often Tick should be called.
const tickInterval = 50 * time.Millisecond

// Tick refuses what has expired and hands out what became possible.
func (s *State) Tick(now time.Time) {
	s.lastTick = now
	for _, ps := range s.order {
		s.finishRebuild(now, ps)
		s.expireHeld(now, ps)
		ps.sched.SetRemoteRate(ps.remoteRate(now))
		ps.updateClaimShare(now)
		ps.sched.Tick(now)
	}
	s.flush(now)
	s.moveWaiting(now)
	for _, ps := range s.order {
		s.repeatRevocations(now, ps)
		s.sendDigests(now, ps)
	}
	for host, lastHeartbeat := range s.lastHeartbeats {
		if now.Sub(lastHeartbeat) > hostTTL {
			delete(s.lastHeartbeats, host)
		}
	}
}

// NextTick returns when Tick should be called next.
func (s *State) NextTick(now time.Time) time.Time { return now.Add(tickInterval) }
