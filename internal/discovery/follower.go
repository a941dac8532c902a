package discovery

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"mimosafront/internal/epoch"
	"mimosafront/internal/eventlog"
	"mimosafront/internal/policy"
	"mimosafront/internal/sleep"
)

const (
	// initialDelay and maxDelay are the bounds of the exponential backoff after failed
	// calls, without its jitter. With probePatience they bound how late a follower notices
	// that the store is back: recoveryGrace, which begins then, must end within the three
	// seconds after which a host counts as connected again.
	initialDelay = 50 * time.Millisecond
	maxDelay     = 200 * time.Millisecond
	// watchPatience is how long a store that works may be silent beyond the time for which
	// a watch waits.
	watchPatience = 700 * time.Millisecond
	// probePatience is the same of a call while the store is unavailable. After maxProbes of
	// them, every second call has its usual time, in case the store is slow.
	probePatience = 500 * time.Millisecond
	maxProbes     = 10
	// watchTimeout is how long a watch waits for changes. With watchPatience it is below
	// the time in which registrations lapse, so that a connection that went silent isn't
	// taken for an outage of the store.
	watchTimeout = 1500 * time.Millisecond
	// minPause is the least pause after a watch that returned changes, so that changes
	// in quick succession are read in one call.
	minPause = 200 * time.Millisecond
	// The pause is pauseFactor times as long as it took to apply the changes, within
	// minPause and maxPause, so that a burst of changes leaves most of the processor
	// time of a small host to other work. maxPause is well below the time within which
	// a change must be in force.
	pauseFactor = 4
	maxPause    = 800 * time.Millisecond
	// readerTimeout and readerPause take the place of watchTimeout and of the pause while
	// other hosts rely on the reports of this one. Together they are below
	// maxProgressAge, so that a host takes no working reader for a silent one.
	readerTimeout = 400 * time.Millisecond
	readerPause   = 400 * time.Millisecond
)

// maxLoggedServers bounds the names in one line of the log.
const maxLoggedServers = 8

// ErrCompacted is returned by a watch if the store has compacted the changes after its
// start revision. The follower then lists the store again.
var ErrCompacted = errors.New("the history after the watch's revision has been compacted")

// errStale is returned for an answer that is older than one before it.
var errStale = errors.New("the store's answer is older than one before it")

// Snapshot is the complete published state at a revision of the store.
type Snapshot struct {
	Revision int64
	// Epoch counts how often the store returned from an earlier copy of itself, in which
	// revisions are given out again.
	Epoch int64
	// Policy is the text of the policy file; nil if none is published.
	Policy []byte
	// PolicyRevision is the revision at which the policy file was written.
	PolicyRevision int64
	// Entries are the registrations by server name, Revisions those of their last writes.
	Entries   map[string]Entry
	Revisions map[string]int64
	// Evacuated are the evacuated availability zones, ordered by name.
	Evacuated []string
}

// Update is the answer to a watch.
type Update struct {
	Changes []Change
	// Revision is that of the last change.
	Revision int64
	// Epoch is that of the store, also beside an error of the store; 0 without an answer.
	Epoch int64
}

// PublishedPolicy is a policy file as it was read.
type PublishedPolicy struct {
	Text []byte
	// Revision of the store at which it was written.
	Revision int64
	// Written is when it can have been written.
	Written epoch.Span
}

// Source reads a platform's store. Its calls have no side effects and can be repeated.
type Source interface {
	// List returns the complete published state.
	List(ctx context.Context) (Snapshot, error)
	// Watch waits at most wait for changes after a revision. It fails if the store is silent
	// for longer than patience, beyond wait or in the middle of its answer; an answer that
	// keeps arriving is read to its end. The error is ErrCompacted if the store no longer has
	// these changes.
	Watch(ctx context.Context, after int64, wait, patience time.Duration) (Update, error)
}

// Sink holds the functions that a Follower calls with new state.
type Sink struct {
	// Policy is called with each policy file received.
	Policy func(PublishedPolicy)
	// Servers is called after each change with all backend servers that take new work,
	// ordered by name.
	Servers func([]policy.Server)
	// Leaving is called after each change, before Servers, with all servers that are
	// registered as leaving, ordered by name.
	Leaving func([]policy.Server)
	// Cold is called after changes by which servers turned cold, or warm again, with these.
	Cold func([]ColdServer)
	// Evacuated is called with all evacuated availability zones, ordered by name, and the
	// epoch and revision of the store as of which they are: after each list, before Servers,
	// and after each change of them. It may be nil.
	Evacuated func(zones []string, epoch, revision int64)
	// Read is called after each answer of the store.
	Read func(Progress)
}

// Follower keeps a Directory up to date from a Source.
type Follower struct {
	source    Source
	sink      Sink
	reports   *Reports
	logger    *eventlog.Logger
	directory *Directory
	delays    *backoff.ExponentialBackOff
	// listed is false until the store has been listed, and while it must be listed again.
	listed bool
	// everListed is set once the store has been listed.
	everListed  bool
	unavailable bool
	// failures is the number of consecutive failed calls.
	failures int
	// position is how far this host itself has read the store.
	position position
	// reportedEpoch is the highest epoch in reports of other hosts for which the store was
	// listed.
	reportedEpoch int64
	// settled is when servers have had the time to write again what a copy of the store
	// lacked. Until then this host reads it itself: others may take the return of a server
	// that is outdated here for a renewal.
	settled time.Time
	// revision is the start of the next watch. Reports of other hosts raise it too.
	revision int64
	// changed is the revision of the last change of the policy, of a registration or of
	// evacuated.
	changed int64
	// evacuated are the evacuated zones. An outage of the store changes nothing about them.
	evacuated evacuatedZones
}

// NewFollower returns a Follower of a store in which servers renew their registrations at
// the given interval. It reads the store only as far as the reports of other hosts don't
// spare it. Run starts it.
func NewFollower(source Source, sink Sink, reports *Reports, heartbeat time.Duration, logger *eventlog.Logger) *Follower {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = initialDelay, maxDelay
	return &Follower{source: source, sink: sink, reports: reports, logger: logger, directory: NewDirectory(heartbeat), delays: delays}
}

// Run follows the source until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.step(ctx)
		switch {
		case ctx.Err() != nil:
		case errors.Is(err, ErrCompacted):
			f.logger.Info("history of the store compacted", "revision", f.revision)
			f.listed = false
		case err != nil:
			f.handleFailure(ctx, err)
		default:
			f.failures = 0
			f.delays.Reset()
		}
	}
}

// step makes one list or watch call and applies its result.
func (f *Follower) step(ctx context.Context) error {
	if !f.listed {
		snapshot, err := f.source.List(ctx)
		if err != nil {
			return err
		}
		return f.acceptSnapshot(time.Now(), snapshot)
	}
	if !f.unavailable {
		f.followReports(ctx)
		if f.heardOfEpoch() {
			return nil
		}
	}
	update, err := f.watch(ctx)
	f.position.hear(update.Epoch)
	if err != nil {
		return err
	}
	started := time.Now()
	if err := f.checkUpdate(started, update); err != nil || !f.listed {
		return err
	}
	f.applyChanges(started, update)
	if len(update.Changes) > 0 {
		f.pause(ctx, pauseAfter(time.Since(started), f.reports.Role()))
	}
	return nil
}

// heardOfEpoch reports whether other hosts have read a later epoch than this one, which
// then lists the store, once for each such epoch.
func (f *Follower) heardOfEpoch() bool {
	reported := f.reports.Epoch()
	if reported <= max(f.position.heard, f.reportedEpoch) {
		return false
	}
	f.reportedEpoch, f.listed = reported, false
	return true
}

// checkUpdate checks whether the answer to a watch continues what was read. Otherwise the
// store must be listed again: at once for a later epoch, after a pause for an answer that
// is stale or behind what others reported.
func (f *Follower) checkUpdate(now time.Time, u Update) error {
	stale := f.position.isStale(now, u.Epoch, u.Revision)
	f.listed = !stale && u.Epoch == f.position.epoch && u.Revision >= f.revision
	if f.listed || u.Epoch > f.position.epoch {
		return nil
	}
	f.logger.Warn("store is behind the revision read", "revision", f.revision, "store_revision", u.Revision,
		"epoch", f.position.heard, "store_epoch", u.Epoch)
	return errStale
}

// followReports waits while other hosts vouch that the store holds no change that this
// host lacks.
func (f *Follower) followReports(ctx context.Context) {
	if time.Now().Before(f.settled) {
		return
	}
	for followed := false; ctx.Err() == nil; followed = true {
		news := f.reports.News()
		p, ok := f.reports.Covered(time.Now(), f.position.epoch, f.revision)
		if !ok {
			if followed && f.reports.Silent(time.Now()) {
				f.logger.Info("readers of the store are silent", "revision", f.revision)
			}
			return
		}
		f.revision = max(f.revision, p.Read)
		f.directory.RecordContact(p.AnsweredAt)
		f.expireUntilNews(ctx, news, p.AnsweredAt.Add(maxProgressAge))
	}
}

// expireUntilNews waits until news is closed, a time is reached or ctx ends, while
// servers that are pending expiry are removed on time.
func (f *Follower) expireUntilNews(ctx context.Context, news <-chan struct{}, end time.Time) {
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	stop := make(chan struct{})
	go func() {
		defer close(stop)
		select {
		case <-news:
		case <-ctx.Done():
		}
	}()
	f.expireUntil(stop)
}

// watch waits for changes, while servers that are pending expiry are removed on time.
// While the store is unavailable it doesn't wait, but checks whether the store answers.
func (f *Follower) watch(ctx context.Context) (update Update, err error) {
	wait, patience := watchTimeout, watchPatience
	if f.reports.Role() == RoleReader {
		wait = readerTimeout
	}
	if f.unavailable {
		wait = 0
		if f.failures <= maxProbes || f.failures%2 == 0 {
			patience = probePatience
		}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		update, err = f.source.Watch(ctx, f.revision, wait, patience)
	}()
	f.expireUntil(done)
	return update, err
}

// pause waits, while servers that are pending expiry are removed on time.
func (f *Follower) pause(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	f.expireUntil(ctx.Done())
}

// nextExpiry returns when something that is kept next expires; ok is false if nothing does.
func (f *Follower) nextExpiry() (next time.Time, ok bool) {
	next, ok = f.directory.NextExpiry()
	if zone, kept := f.evacuated.nextExpiry(); kept && !f.unavailable && (!ok || zone.Before(next)) {
		return zone, true
	}
	return next, ok
}

// expire removes what has expired and passes on what remains.
func (f *Follower) expire(now time.Time) {
	if f.directory.Expire(now) {
		f.publishServers()
	}
	if !f.unavailable && f.evacuated.expire(now) {
		f.logger.Info("evacuations that the store lost are given up", "zones_left", f.evacuated.list())
		f.publishEvacuated(f.revision)
	}
}

// expireUntil removes what expires, such as servers whose grace period ends, until a
// channel is closed.
func (f *Follower) expireUntil(done <-chan struct{}) {
	for {
		next, ok := f.nextExpiry()
		if !ok {
			<-done
			return
		}
		timer := time.NewTimer(time.Until(next))
		select {
		case <-done:
			timer.Stop()
			return
		case <-timer.C:
		}
		f.expire(time.Now())
	}
}

// pauseAfter returns the pause of a host after changes that took applyTime to apply.
func pauseAfter(applyTime time.Duration, role Role) time.Duration {
	if role == RoleReader {
		return readerPause
	}
	return min(max(minPause, pauseFactor*applyTime), maxPause)
}

// handleFailure marks the store unavailable and sleeps for the next backoff delay. Only
// the first of consecutive failures is logged.
func (f *Follower) handleFailure(ctx context.Context, err error) {
	delay := f.delays.NextBackOff()
	f.failures++
	f.directory.MarkUnavailable()
	if !f.unavailable {
		f.unavailable = true
		f.logger.Warn("store lost", "error", err)
	}
	sleep.For(ctx, delay)
}

func (f *Follower) markAvailable(now time.Time) {
	f.directory.MarkAvailable(now)
	if f.unavailable {
		f.unavailable = false
		f.logger.Info("store regained", "revision", f.revision)
	}
}

// acceptSnapshot applies a list of the store unless it is stale.
func (f *Follower) acceptSnapshot(now time.Time, s Snapshot) error {
	if f.everListed && f.position.isStale(now, s.Epoch, s.Revision) && !f.position.hasGoneBack(now) {
		f.logger.Warn("stale list of the store ignored", "revision", f.position.read, "store_revision", s.Revision,
			"epoch", f.position.heard, "store_epoch", s.Epoch)
		return errStale
	}
	f.applySnapshot(now, s)
	return nil
}

func (f *Follower) applySnapshot(now time.Time, s Snapshot) {
	f.markAvailable(now)
	before := f.position
	returned := f.position.take(!f.everListed, s.Epoch, s.Revision)
	if returned {
		f.logger.Warn("store returned from an earlier copy", "epoch_before", before.epoch, "epoch", s.Epoch,
			"revision_before", before.read, "revision", s.Revision)
		f.directory.MarkReturned(now, s.Revision)
		f.settled = now.Add(recoveryGrace)
	}
	f.listed, f.everListed, f.revision, f.changed = true, true, s.Revision, s.Revision
	f.reportRead(now)
	if lost := f.evacuated.replace(now, s.Evacuated, returned); len(lost) > 0 {
		f.logger.Warn("evacuations that the store lost are kept", "zones", lost, "epoch", s.Epoch)
	}
	f.publishEvacuated(s.Revision)
	if s.Policy != nil {
		f.sink.Policy(PublishedPolicy{Text: s.Policy, Revision: s.PolicyRevision, Written: f.position.written(s.PolicyRevision)})
	}
	if outdated := f.directory.Replace(now, s.Entries, s.Revisions); len(outdated) > 0 {
		f.logger.Warn("outdated registrations of the store ignored", "count", len(outdated),
			"servers", outdated[:min(len(outdated), maxLoggedServers)], "epoch", s.Epoch)
	}
	f.directory.Expire(now)
	f.publishCold(f.directory.TakeCold())
	f.publishServers()
}

// publishCold passes the servers that turned cold or warm to the sink, before servers that
// are new with them.
func (f *Follower) publishCold(cold []ColdServer) {
	if len(cold) > 0 {
		f.sink.Cold(cold)
	}
}

// publishEvacuated passes the evacuated zones to the sink.
func (f *Follower) publishEvacuated(revision int64) {
	if f.sink.Evacuated != nil {
		f.sink.Evacuated(f.evacuated.list(), f.position.epoch, revision)
	}
}

// publishServers passes the registered servers to the sink.
func (f *Follower) publishServers() {
	f.sink.Leaving(f.directory.Leaving())
	f.sink.Servers(f.directory.Servers())
}

func (f *Follower) applyChanges(now time.Time, u Update) {
	f.markAvailable(now)
	f.position.advance(u.Revision)
	f.revision = max(f.revision, u.Revision)
	var published PublishedPolicy
	var cold []ColdServer
	serversChanged := false
	evacuatedAt := int64(0)
	for _, c := range u.Changes {
		changed := c.Policy != nil
		if changed {
			published = PublishedPolicy{Text: c.Policy, Revision: c.Revision, Written: epoch.In(f.position.epoch)}
		}
		if c.Server != "" && f.directory.Apply(now, c) {
			f.logChange(c)
			changed, serversChanged = true, true
		}
		if turned := f.directory.TakeCold(); len(turned) > 0 {
			cold, changed = append(cold, turned...), true
		}
		if c.Zone != "" {
			f.evacuated.apply(c)
			changed, evacuatedAt = true, max(evacuatedAt, c.Revision)
		}
		if changed {
			f.changed = max(f.changed, c.Revision)
		}
	}
	// Other hosts read the change while this one applies it.
	f.reportRead(now)
	if evacuatedAt > 0 {
		f.publishEvacuated(evacuatedAt)
	}
	if published.Text != nil {
		f.sink.Policy(published)
	}
	f.publishCold(cold)
	if f.directory.Expire(now) || serversChanged || f.directory.HasLeaving() {
		f.publishServers()
	}
}

// reportRead passes on how far the store was read.
func (f *Follower) reportRead(now time.Time) {
	f.sink.Read(Progress{Epoch: f.position.epoch, Changed: f.changed, Read: f.revision, AnsweredAt: now})
}

// logChange logs the change of a registration.
func (f *Follower) logChange(c Change) {
	if c.Entry == nil {
		f.logger.Info("server registration ended", "server", c.Server, "revision", f.revision)
		return
	}
	f.logger.Info("server registered", "server", c.Server, "address", c.Entry.Server.Address, "zone", c.Entry.Server.Zone,
		"leaving", c.Entry.Leaving, "revision", f.revision)
}
