package discovery

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"mimosafront/internal/eventlog"
	"mimosafront/internal/policy"
	"mimosafront/internal/sleep"
)

const (
	// initialDelay and maxDelay bound the delay after a failed call.
	initialDelay = 50 * time.Millisecond
	maxDelay     = time.Second
	// watchTimeout is the longest time of one watch. A store that went silent is noticed
	// after it.
	watchTimeout = 2 * time.Second
	// minPause follows a watch that returned changes: those that come close together
	// are then read in one call.
	minPause = 200 * time.Millisecond
	// pauseFactor times the time that taking changes took is the least pause after it, so
	// that a storm of changes leaves a small host most of its processor; maxPause
	// bounds it, well below the time in which a change must be in force.
	pauseFactor = 4
	maxPause    = 800 * time.Millisecond
	// expiryWatchTimeout is the same while the grace of a server is to end.
	expiryWatchTimeout = 250 * time.Millisecond
)

// ErrCompacted is the error of a watch whose beginning the store has forgotten.
var ErrCompacted = errors.New("the store no longer holds the history of the watch")

// Snapshot is all that is published at a revision.
type Snapshot struct {
	Revision int64
	// Policy is the text of the policy file; nil if none is published.
	Policy  []byte
	Entries map[string]Entry
}

// Source reads what a platform publishes. Its calls are safe to repeat.
type Source interface {
	// List reads all.
	List(ctx context.Context) (Snapshot, error)
	// Watch waits for changes after a revision, for a time at most, and returns them
	// with the revision that they lead to. The error is ErrCompacted if they can't
	// be told.
	Watch(ctx context.Context, after int64, wait time.Duration) ([]Change, int64, error)
}

// Sink receives what was found.
type Sink struct {
	// Policy receives the text of each newer policy file.
	Policy func(text []byte)
	// Servers receives all backend servers that take new work after each change.
	Servers func([]policy.Server)
}

// Follower keeps a Directory up to date from a Source.
type Follower struct {
	source      Source
	sink        Sink
	logger      *eventlog.Logger
	directory   *Directory
	delays      *backoff.ExponentialBackOff
	listed      bool
	unavailable bool
	revision    int64
}

// NewFollower returns a Follower that is not running.
func NewFollower(source Source, sink Sink, logger *eventlog.Logger) *Follower {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = initialDelay, maxDelay
	return &Follower{source: source, sink: sink, logger: logger, directory: NewDirectory(), delays: delays}
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
			f.delays.Reset()
		}
	}
}

// step makes one call and takes what it returns.
func (f *Follower) step(ctx context.Context) error {
	if !f.listed {
		snapshot, err := f.source.List(ctx)
		if err != nil {
			return err
		}
		f.applySnapshot(time.Now(), snapshot)
		return nil
	}
	wait := watchTimeout
	if f.directory.PendingExpiry() > 0 {
		wait = expiryWatchTimeout
	}
	changes, revision, err := f.source.Watch(ctx, f.revision, wait)
	if err != nil {
		return err
	}
	started := time.Now()
	f.applyChanges(started, changes, revision)
	if len(changes) > 0 {
		sleep.For(ctx, pauseAfter(time.Since(started)))
	}
	return nil
}

// pauseAfter returns the pause after changes that took so long to take.
func pauseAfter(applyTime time.Duration) time.Duration {
	return min(max(minPause, pauseFactor*applyTime), maxPause)
}

func (f *Follower) handleFailure(ctx context.Context, err error) {
	delay := f.delays.NextBackOff()
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

func (f *Follower) applySnapshot(now time.Time, s Snapshot) {
	f.markAvailable(now)
	f.listed, f.revision = true, s.Revision
	if s.Policy != nil {
		f.sink.Policy(s.Policy)
	}
	f.directory.Replace(now, s.Entries)
	f.directory.Expire(now)
	f.sink.Servers(f.directory.Servers())
}

func (f *Follower) applyChanges(now time.Time, changes []Change, revision int64) {
	f.markAvailable(now)
	f.revision = max(f.revision, revision)
	serversChanged := false
	for _, c := range changes {
		if c.Policy != nil {
			f.sink.Policy(c.Policy)
		}
		if c.Server != "" {
			f.directory.Apply(now, c)
			f.logChange(c)
			serversChanged = true
		}
	}
	if f.directory.Expire(now) || serversChanged {
		f.sink.Servers(f.directory.Servers())
	}
}

func (f *Follower) logChange(c Change) {
	if c.Entry == nil {
		f.logger.Info("server registration ended", "server", c.Server, "revision", f.revision)
		return
	}
	f.logger.Info("server registered", "server", c.Server, "address", c.Entry.Server.Address, "zone", c.Entry.Server.Zone,
		"leaving", c.Entry.Leaving, "revision", f.revision)
}
