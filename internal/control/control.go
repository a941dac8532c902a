// Package control runs the goroutine that owns an entry host's control state:
// membership, the pools that the host coordinates, and the waiting requests and grants
// of its front.
//
// Other goroutines send it typed events over one bounded channel. The control goroutine
// does no I/O and never blocks: frames go to the bounded queues of the peer links, log
// records to a bounded channel.
package control

import (
	"context"
	"hash/fnv"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"mimosafront/internal/announce"
	"mimosafront/internal/asker"
	"mimosafront/internal/coordinator"
	"mimosafront/internal/discovery"
	"mimosafront/internal/evacuation"
	"mimosafront/internal/eventlog"
	"mimosafront/internal/member"
	"mimosafront/internal/message"
	"mimosafront/internal/peer"
	"mimosafront/internal/policy"
	"mimosafront/internal/policystore"
	"mimosafront/internal/settings"
	"mimosafront/internal/suspend"
)

const (
	// tickInterval is the resolution of all timers of the control state.
	tickInterval = 20 * time.Millisecond
	// membershipInterval is the time between two runs of the failure detector.
	membershipInterval = 50 * time.Millisecond
	// linkUpdateInterval is the time between two updates of the set of links to keep
	// open.
	linkUpdateInterval = time.Second
	// inboxSize is the capacity of the event channel.
	inboxSize = 4096
	// inboxWarnLength is the number of waiting events at which a warning is logged. The
	// loop handles about a thousand events per second on a small host.
	inboxWarnLength = inboxSize / 4
	// inboxWarnInterval is the shortest time between two of these warnings.
	inboxWarnInterval = time.Second
	// maxTelemetryInboxLength is the number of waiting events above which received
	// telemetry is dropped.
	maxTelemetryInboxLength = inboxSize / 2
	// maxEventsPerTurn bounds the waiting events that a turn handles before it sends
	// its output.
	maxEventsPerTurn = 64
	// retryDelay and maxRetryDelay are the first and the longest delay before a front
	// asks again when two hosts disagree on who coordinates a pool.
	retryDelay    = 20 * time.Millisecond
	maxRetryDelay = 640 * time.Millisecond
)

// Transport sends frames to the other entry hosts. Its methods never block. peer.Links
// implements it.
type Transport interface {
	// Send queues a frame for a host and reports whether it was queued.
	Send(to string, f *message.Frame) bool
	// Connected reports whether there is a link to a host, and starts to open one if
	// there is none.
	Connected(host string) bool
	// SetLinked sets the hosts to which links are maintained, SetKnown the addresses of
	// all hosts, to which links are opened on demand.
	SetLinked(targets []peer.Target)
	SetKnown(targets []peer.Target)
	// SetNeedsSeeds sets whether links to the seeds are kept.
	SetNeedsSeeds(needs bool)
	// SetSuspicion sets the silence after which another host is suspected.
	SetSuspicion(silence time.Duration)
	// Address returns the address at which other hosts reach this one.
	Address() string
}

// Config holds the settings and dependencies of a Loop.
type Config struct {
	Settings    *settings.Settings
	Incarnation int
	Policies    *policystore.Store
	// ExpectsPeers is set if the host has seeds or a published host list. The host then
	// waits for heartbeats of others before it takes up its duties.
	ExpectsPeers bool
	// PolicyFetchDelay is how long this host stays at a lower policy generation than
	// its peers before it fetches the newer policy from them. It is zero where hosts
	// are meant to distribute policies.
	PolicyFetchDelay time.Duration
	// Loads reads the load reports of backend servers; if nil, none are read.
	Loads LoadReader
	// Engines reads and changes the models that engines have loaded; if nil, models are
	// not placed.
	Engines Engines
	// Announcements holds what backend servers announce about themselves. nil means a
	// table of this loop alone.
	Announcements *announce.Table
	// Evacuations holds which availability zones are evacuated. nil means a table of this
	// loop alone.
	Evacuations *evacuation.Table
	// StoreReports holds how far other hosts have read the platform's store. nil means
	// one of this loop alone.
	StoreReports *discovery.Reports
	Logger       *eventlog.Logger
	Metrics      tally.Scope
	// Now reads the clock; nil means time.Now.
	Now func() time.Time
	// Suspended reports whether the machine was suspended since the last call; nil
	// compares the machine's clocks.
	Suspended func(now time.Time) bool
}

// Loop is the control state of one entry host: the states of the packages member, asker,
// coordinator and placement, and the leases of the host's front. The goroutine that
// calls Run owns all of it; other goroutines change it by events.
type Loop struct {
	config Config
	host   string
	now    func() time.Time

	inbox chan event
	done  chan struct{}

	transport Transport
	// storeProgress is how far this host has read the platform's store.
	storeProgress discovery.Progress
	// appliedPolicy is the policy last passed to the states of the packages.
	appliedPolicy *policy.Policy
	member        *member.State
	view          *member.View
	asker         *asker.State
	coordinator   *coordinator.State
	// ownedPools are the pools that this host coordinates.
	ownedPools map[message.Pool]bool
	// waiters are keyed by request id, leases by grant id.
	waiters map[string]waiter
	leases  map[string]*lease
	// relayed holds when hints were relayed, by their hash.
	relayed     *lru.Cache[uint64, time.Time]
	quarantines quarantineCache
	// appliedLeaving are the leaving servers last passed to the coordinator.
	appliedLeaving map[string]bool
	// appliedLimits are the limits of requests last passed to the coordinator.
	appliedLimits map[string]float64
	// appliedEvacuated are the evacuated zones last passed to the other states.
	appliedEvacuated map[string]bool
	// evacuationsToShare are the evacuations to be shared with other hosts, by zone.
	evacuationsToShare map[string]pendingShare[message.Evacuation]
	// leavingToShare are the leaving servers to be shared with other hosts, by name.
	leavingToShare map[string]pendingShare[message.LeavingServer]
	// appliedContact is the contact with the zone last passed to the coordinator.
	appliedContact member.Contact
	// appliedCold are the ends of cold times last passed to the coordinator, by server.
	appliedCold map[string]time.Time
	// coldToShare are statements about cold servers to be shared with other hosts, by name.
	coldToShare map[string]pendingShare[coldStatement]

	logs      *decisionLog
	loads     *loadPoller
	placer    *placer
	policies  *policyExchange
	calls     *forwarder
	handovers chan message.KeyHandover
	// onHandover takes over parts of the key tables of other hosts.
	onHandover func(message.KeyHandover)
	// onHandoverAck receives the acknowledgements of parts that this host handed over.
	onHandoverAck    func(message.KeyHandoverAck)
	hosts            atomic.Pointer[[]message.Member]
	droppedTelemetry tally.Counter
	evacuatedZones   tally.Gauge
	storeEpoch       tally.Gauge
	inboxLength      tally.Gauge
	// coldServers is the number of known servers that are cold.
	coldServers tally.Gauge

	suspended          func(now time.Time) bool
	lastTurn           time.Time
	nextMembershipTick time.Time
	nextLinkUpdate     time.Time
	nextProgress       time.Time
	nextInboxWarning   time.Time
	frames             frameCounts
	reports            reportSchedule
}

// New returns a Loop. Connect, SetOperationHandler and SetHandoverHandler may follow;
// Run starts it.
func New(c Config) *Loop {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Suspended == nil {
		c.Suspended = suspend.New(c.Logger).Suspended
	}
	if c.Announcements == nil {
		c.Announcements = announce.New()
	}
	if c.Evacuations == nil {
		c.Evacuations = evacuation.New()
	}
	if c.StoreReports == nil {
		c.StoreReports = discovery.NewReports()
	}
	s := c.Settings
	l := &Loop{
		config:           c,
		host:             s.Node.Name,
		now:              c.Now,
		suspended:        c.Suspended,
		inbox:            make(chan event, inboxSize),
		done:             make(chan struct{}),
		waiters:          map[string]waiter{},
		leases:           map[string]*lease{},
		logs:             newDecisionLog(c.Logger, c.Metrics),
		loads:            newLoadPoller(c.Loads),
		placer:           newPlacer(c.Engines, s.Node.Zone, s.Peer),
		handovers:        make(chan message.KeyHandover, handoverQueueSize),
		droppedTelemetry: c.Metrics.Counter("control_telemetry_shed"),
		inboxLength:      c.Metrics.Gauge("control_waiting_events"),
		evacuatedZones:   c.Metrics.Gauge("evacuated_zones"),
		storeEpoch:       c.Metrics.Gauge("store_epoch"),
		transport:        nopTransport{},
		reports:          newReportSchedule(),

		quarantines:    newQuarantineCache(),
		leavingToShare: map[string]pendingShare[message.LeavingServer]{},
		coldToShare:    map[string]pendingShare[coldStatement]{},
		coldServers:    c.Metrics.Gauge("control_cold_servers"),
		frames:         frameCounts{byKind: map[message.Kind]int{}},

		evacuationsToShare: map[string]pendingShare[message.Evacuation]{},
	}
	l.relayed, _ = lru.New[uint64, time.Time](relayedCacheSize)
	l.asker = asker.New(asker.Config{
		Patience:      settings.Milliseconds(s.Peer.SuspectMs),
		RetryDelay:    retryDelay,
		RetryDelayMax: maxRetryDelay,
		PartLengths:   s.Scheduler.PrefixWeighing,
	})
	l.coordinator = coordinator.New(coordinator.Config{
		Host: s.Node.Name, Zone: s.Node.Zone, Incarnation: c.Incarnation,
		Scheduler: s.Scheduler, Seed: seed(s.Node.Name, c.Incarnation),
		RebuildTime: settings.Milliseconds(s.Peer.SuspectMs),
	})
	l.policies = newPolicyExchange(l)
	l.calls = newForwarder(l)
	l.hosts.Store(&[]message.Member{})
	return l
}

// Connect sets the transport to the other hosts. It must be called before Run.
func (l *Loop) Connect(t Transport) { l.transport = t }

// seed returns the seed of the coordinator's random numbers; it differs between hosts
// and incarnations.
func seed(host string, incarnation int) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(host))
	return hash.Sum64() ^ uint64(incarnation)
}

// Run owns the control state and handles events until ctx ends.
func (l *Loop) Run(ctx context.Context) error {
	var wg conc.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer close(l.done)
	l.start(l.now())
	wg.Go(func() { l.loads.run(ctx, l) })
	wg.Go(func() { l.runPlacement(ctx) })
	wg.Go(func() { l.policies.run(ctx) })
	wg.Go(func() { l.runHandovers(ctx) })
	l.calls.start(ctx)
	l.config.Policies.Subscribe(func(*policy.Policy) { l.tryPost(policyChanged{}) })

	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-l.inbox:
			l.turn(e)
		case <-ticker.C:
			l.turn(tick{})
		}
	}
}

// start initialises the states that depend on the clock and on the transport's address.
func (l *Loop) start(now time.Time) {
	s := l.config.Settings
	l.lastTurn = now
	l.member = member.New(now, member.Config{
		Host: s.Node.Name, Zone: s.Node.Zone, Address: l.transport.Address(), Incarnation: l.config.Incarnation,
		Weight:       s.Node.Weight,
		Heartbeat:    settings.Milliseconds(s.Peer.HeartbeatMs),
		Suspect:      settings.Milliseconds(s.Peer.SuspectMs),
		Dead:         settings.Milliseconds(s.Peer.DeadMs),
		ExpectsPeers: l.config.ExpectsPeers,
	})
	l.member.Tick(now)
	l.applyPolicy(now)
	l.flush(now)
}

// turn handles an event and up to maxEventsPerTurn events that wait in the inbox, then
// sends the output of all states.
func (l *Loop) turn(e event) {
	now := l.now()
	l.detectPause(now)
	l.lastTurn = now
	e.apply(l, now)
	for range maxEventsPerTurn {
		select {
		case e := <-l.inbox:
			e.apply(l, now)
			continue
		default:
		}
		break
	}
	l.flush(now)
}

// detectPause detects that the machine was suspended, or that the process was paused for
// so long that its peers suspect it. The membership state then discards its peers: after
// a suspension by HandleSuspension, after a pause by Tick, whose last call is too old.
func (l *Loop) detectPause(now time.Time) {
	switch {
	case l.suspended(now):
		l.member.HandleSuspension(now)
	case now.Sub(l.lastTurn) > settings.Milliseconds(l.config.Settings.Peer.SuspectMs):
		l.member.Tick(now)
	default:
		return
	}
	l.flush(now)
}

// tryPost posts an event unless the inbox is full. It is for events that are repeated
// or whose cause is checked at each tick.
func (l *Loop) tryPost(e event) {
	select {
	case l.inbox <- e:
	default:
	}
}

// post waits until the event is in the inbox. It fails when ctx ends or the
// loop has stopped.
func (l *Loop) post(ctx context.Context, e event) error {
	select {
	case l.inbox <- e:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-l.done:
		return errStopped
	}
}
