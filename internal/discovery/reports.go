package discovery

import (
	"maps"
	"sync"
	"time"
)

// maxProgressAge is how long after its last answer from the store a reader vouches for
// the state of it. It bounds how much later than its own reads a host learns of a
// change when the readers of its zone have lost the store or died, and spans two
// answers that a reader loses.
const maxProgressAge = time.Second

// Progress says how far a host has read the store.
type Progress struct {
	// Epoch of the store that the revisions are of.
	Epoch int64
	// Changed is the revision of the last change of the policy, of a registration or of the
	// evacuated zones. Renewals of a registration are no changes.
	Changed int64
	// Read is the revision up to which the host has read.
	Read int64
	// AnsweredAt is when the store answered.
	AnsweredAt time.Time
}

// Role says whether a host reads the store itself.
type Role int

const (
	// RoleAlone is a host that reads the store for itself alone.
	RoleAlone Role = iota
	// RoleReader is a host on whose reports others rely.
	RoleReader
	// RoleFollower is a host that relies on the reports of others.
	RoleFollower
)

// Reports holds what the readers of a zone report of the store. With it most hosts of a
// zone ask the store only for changes and don't receive the renewals of all
// registrations. A host whose readers are silent reads the store itself.
//
// Its methods are safe for concurrent use.
type Reports struct {
	mu     sync.Mutex
	role   Role
	byHost map[string]Progress
	// epoch is the highest Progress.Epoch received, changed the highest Progress.Changed in
	// it. news is closed and replaced when one of them rises or the role changes.
	epoch   int64
	changed int64
	news    chan struct{}
}

// NewReports returns the Reports of a host in RoleAlone.
func NewReports() *Reports {
	return &Reports{byHost: map[string]Progress{}, news: make(chan struct{})}
}

// String returns the role as the log names it.
func (r Role) String() string { return [...]string{"alone", "reader", "follower"}[r] }

// SetRole sets the role of this host and reports whether it was another one.
func (r *Reports) SetRole(role Role) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.role == role {
		return false
	}
	r.role = role
	r.announceNews()
	return true
}

// Role returns the role of this host.
func (r *Reports) Role() Role {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.role
}

// Receive records the report of a reader.
func (r *Reports) Receive(host string, p Progress) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byHost[host] = p
	if p.Epoch > r.epoch || p.Epoch == r.epoch && p.Changed > r.changed {
		r.epoch, r.changed = p.Epoch, p.Changed
		r.announceNews()
	}
}

// Epoch returns the highest epoch of the store that a reader has reported.
func (r *Reports) Epoch() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.epoch
}

func (r *Reports) announceNews() {
	close(r.news)
	r.news = make(chan struct{})
}

// News returns a channel that is closed when Covered may give another result for another
// reason than the passing of time.
func (r *Reports) News() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.news
}

// Silent reports whether this host relies on readers, none of which vouches for the store.
func (r *Reports) Silent(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.byHost {
		if now.Sub(p.AnsweredAt) < maxProgressAge {
			return false
		}
	}
	return r.role == RoleFollower
}

// Covered reports whether the readers vouch that the store holds no change after a
// revision of an epoch. If so, it returns how far and when they have read, and forgets the
// readers that are silent. A reader that is in an earlier epoch vouches for nothing;
// one that is in a later epoch names a change.
func (r *Reports) Covered(now time.Time, epoch, revision int64) (Progress, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.byHost, func(_ string, p Progress) bool { return now.Sub(p.AnsweredAt) >= maxProgressAge })
	if r.role != RoleFollower {
		return Progress{}, false
	}
	newest := Progress{Epoch: epoch}
	covered := false
	for _, p := range r.byHost {
		switch {
		case p.Epoch > epoch || p.Epoch == epoch && p.Changed > revision:
			return Progress{}, false
		case p.Epoch < epoch:
			continue
		}
		covered = true
		newest.Read = max(newest.Read, p.Read)
		if p.AnsweredAt.After(newest.AnsweredAt) {
			newest.AnsweredAt = p.AnsweredAt
		}
	}
	return newest, covered
}
