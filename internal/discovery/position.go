package discovery

import (
	"time"

	"mimosafront/internal/epoch"
)

// maxStaleTime is how long answers that are older than what was read before are taken for
// late ones. A store that still gives such answers has gone back without a new epoch. It
// is far above the time for which an answer is on its way.
const maxStaleTime = 5 * time.Second

// position is how far the store was read. It orders the answers of the store, which may
// arrive over several connections, for the fault that an older one is taken for news.
// Times are arguments.
type position struct {
	// epoch is that of the last list.
	epoch int64
	// heard is the highest epoch of an answer, also of an error or of one that was ignored.
	heard int64
	// listed is the revision of the first list in epoch. What has a higher one was written
	// in this epoch.
	listed int64
	// read is the highest revision that the store itself named in epoch.
	read int64
	// staleSince is when the first of the last answers came that all were stale; zero
	// after another one.
	staleSince time.Time
}

// hear records the epoch of an answer.
func (p *position) hear(epoch int64) { p.heard = max(p.heard, epoch) }

// isStale reports whether an answer is older than one before it, and records that.
func (p *position) isStale(now time.Time, epoch, revision int64) bool {
	stale := epoch < p.heard || epoch == p.epoch && revision < p.read
	switch {
	case !stale:
		p.staleSince = time.Time{}
	case p.staleSince.IsZero():
		p.staleSince = now
	}
	return stale
}

// hasGoneBack reports whether a stale answer shows that the store went back.
func (p *position) hasGoneBack(now time.Time) bool {
	return !p.staleSince.IsZero() && now.Sub(p.staleSince) >= maxStaleTime
}

// take records a list and reports whether the store has gone back since the one before.
func (p *position) take(first bool, epoch, revision int64) (returned bool) {
	if !first && epoch == p.epoch && revision >= p.read {
		p.read = revision
		return false
	}
	*p = position{epoch: epoch, heard: epoch, listed: revision, read: revision}
	return !first
}

// advance records the revision of an answer in epoch.
func (p *position) advance(revision int64) { p.read = max(p.read, revision) }

// written returns when something in a list, last written at a revision, can have been
// written.
func (p *position) written(revision int64) epoch.Span {
	if revision > p.listed {
		return epoch.In(p.epoch)
	}
	return epoch.Until(p.epoch)
}
