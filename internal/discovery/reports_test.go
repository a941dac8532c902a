package discovery

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mimosafront/internal/eventlog"
	"mimosafront/internal/policy"
	"mimosafront/internal/sleep"
)

// sharedStore is a store that several followers read. Its servers renew their
// registrations all the time.
type sharedStore struct {
	mu       sync.Mutex
	epoch    int64
	revision int64
	// changes are those of the policy; all other revisions are renewals of one server.
	changes map[int64]Change
	news    chan struct{}
	calls   int
}

var errStoreLost = errors.New("store lost")

func newSharedStore() *sharedStore {
	return &sharedStore{changes: map[int64]Change{}, news: make(chan struct{})}
}

// write adds a revision; text is nil for a renewal.
func (s *sharedStore) write(text []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	if text != nil {
		s.changes[s.revision] = Change{Policy: text, Revision: s.revision}
	}
	close(s.news)
	s.news = make(chan struct{})
}

// renew renews registrations at an interval until ctx ends.
func (s *sharedStore) renew(ctx context.Context, interval time.Duration) {
	for sleep.For(ctx, interval) {
		s.write(nil)
	}
}

func (s *sharedStore) List(context.Context) (Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	snapshot := Snapshot{Epoch: s.epoch, Revision: s.revision, Entries: map[string]Entry{"server": {}}}
	for r, c := range s.changes {
		if r > snapshot.PolicyRevision {
			snapshot.Policy, snapshot.PolicyRevision = c.Policy, r
		}
	}
	return snapshot, nil
}

// returnWithout lets the store return from a copy that lacks the last revisions.
func (s *sharedStore) returnWithout(lost int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch, s.revision = s.epoch+1, s.revision-lost
	maps.DeleteFunc(s.changes, func(r int64, _ Change) bool { return r > s.revision })
}

func (s *sharedStore) Watch(ctx context.Context, after int64, wait, patience time.Duration) (Update, error) {
	s.mu.Lock()
	s.calls++
	news, revision := s.news, s.revision
	s.mu.Unlock()
	if revision <= after {
		select {
		case <-ctx.Done():
			return Update{}, ctx.Err()
		case <-news:
		case <-time.After(wait):
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var changes []Change
	for r := after + 1; r <= s.revision; r++ {
		if c, ok := s.changes[r]; ok {
			changes = append(changes, c)
			continue
		}
		changes = append(changes, Change{Server: "server", Entry: &Entry{}, Revision: r})
	}
	return Update{Changes: changes, Revision: s.revision, Epoch: s.epoch}, nil
}

// losableSource is a host's way to the store, which can be lost.
type losableSource struct {
	*sharedStore
	mu   sync.Mutex
	lost bool
}

func (s *losableSource) lose() { s.setLost(true) }

func (s *losableSource) setLost(lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = lost
}

func (s *losableSource) List(ctx context.Context) (Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost {
		return Snapshot{}, errStoreLost
	}
	return s.sharedStore.List(ctx)
}

func (s *losableSource) Watch(ctx context.Context, after int64, wait, patience time.Duration) (Update, error) {
	update, err := s.sharedStore.Watch(ctx, after, wait, patience)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost {
		return Update{}, errStoreLost
	}
	return update, err
}

// zoneOfFollowers is a zone of hosts, of which the first ones read the store for all.
type zoneOfFollowers struct {
	store   *sharedStore
	sources []*losableSource

	mu sync.Mutex
	// got holds by host when it received each policy.
	got []map[string]time.Time
}

func startZone(ctx context.Context, hosts, readers int) *zoneOfFollowers {
	z := &zoneOfFollowers{store: newSharedStore()}
	reports := make([]*Reports, hosts)
	for i := range reports {
		reports[i] = NewReports()
		z.sources = append(z.sources, &losableSource{sharedStore: z.store})
		z.got = append(z.got, map[string]time.Time{})
		switch {
		case i < readers:
			reports[i].SetRole(RoleReader)
		case readers > 0:
			reports[i].SetRole(RoleFollower)
		}
	}
	for i, source := range z.sources {
		sink := Sink{
			Policy:  func(p PublishedPolicy) { z.record(i, string(p.Text)) },
			Servers: func([]policy.Server) {},
			Leaving: func([]policy.Server) {},
			Read: func(p Progress) {
				if i < readers {
					for _, r := range reports {
						r.Receive(fmt.Sprint(i), p)
					}
				}
			},
		}
		go NewFollower(source, sink, reports[i], testHeartbeat, eventlog.Discard()).Run(ctx)
	}
	go z.store.renew(ctx, 4*time.Millisecond)
	return z
}

func (z *zoneOfFollowers) record(host int, text string) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.got[host][text] = time.Now()
}

// latest returns how long after a time the last of some hosts received a policy.
func (z *zoneOfFollowers) latest(t *testing.T, text string, from time.Time, hosts []map[string]time.Time) time.Duration {
	t.Helper()
	z.mu.Lock()
	defer z.mu.Unlock()
	latest := time.Duration(0)
	for _, got := range hosts {
		at, ok := got[text]
		if !ok {
			t.Fatalf("a host has not received policy %q", text)
		}
		latest = max(latest, at.Sub(from))
	}
	return latest
}

// TestReadersSpareTheOthersTheStore checks that the calls of a zone don't grow with its
// hosts while servers renew their registrations, and that each host learns of a change
// in time.
func TestReadersSpareTheOthersTheStore(t *testing.T) {
	for _, hosts := range []int{6, 60} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				z := startZone(ctx, hosts, 2)
				time.Sleep(5 * time.Second)
				z.store.mu.Lock()
				before := z.store.calls
				z.store.mu.Unlock()
				time.Sleep(20 * time.Second)
				z.store.mu.Lock()
				calls := z.store.calls - before
				z.store.mu.Unlock()
				// Two readers make one call each in readerPause.
				if limit := 2 * int(20*time.Second/readerPause); calls > limit {
					t.Errorf("%d calls of the store in 20 s, want at most %d", calls, limit)
				}
				changed := time.Now()
				z.store.write([]byte("new"))
				time.Sleep(2 * time.Second)
				if latest := z.latest(t, "new", changed, z.got); latest > readerPause {
					t.Errorf("a host learned of a change %s late", latest)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestChangeIsLearnedWhenTheReadersLoseTheStore checks that hosts which the store still
// answers don't depend on readers that it doesn't.
func TestChangeIsLearnedWhenTheReadersLoseTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		z := startZone(ctx, 20, 2)
		time.Sleep(5 * time.Second)
		z.sources[0].lose()
		z.sources[1].lose()
		lost := time.Now()
		z.store.write([]byte("new"))
		time.Sleep(5 * time.Second)
		if latest := z.latest(t, "new", lost, z.got[2:]); latest > maxProgressAge {
			t.Errorf("a host learned of a change %s after it", latest)
		}
		cancel()
		synctest.Wait()
	})
}

func TestReportsCover(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		role     Role
		reports  []Progress
		revision int64
		read     int64
		covered  bool
	}{
		"nothing reported":         {role: RoleFollower, revision: 5},
		"up to date":               {role: RoleFollower, reports: []Progress{{Changed: 5, Read: 9, AnsweredAt: now}}, revision: 5, read: 9, covered: true},
		"a change is missing":      {role: RoleFollower, reports: []Progress{{Changed: 6, Read: 9, AnsweredAt: now}}, revision: 5},
		"known to one reader only": {role: RoleFollower, reports: []Progress{{Changed: 5, Read: 9, AnsweredAt: now}, {Changed: 7, Read: 8, AnsweredAt: now}}, revision: 6},
		"silent reader":            {role: RoleFollower, reports: []Progress{{Changed: 5, Read: 9, AnsweredAt: now.Add(-maxProgressAge)}}, revision: 5},
		"one reader silent":        {role: RoleFollower, reports: []Progress{{Changed: 5, Read: 7, AnsweredAt: now}, {Changed: 8, Read: 9, AnsweredAt: now.Add(-maxProgressAge)}}, revision: 5, read: 7, covered: true},
		"reader":                   {role: RoleReader, reports: []Progress{{Changed: 5, Read: 9, AnsweredAt: now}}, revision: 5},
		"alone":                    {role: RoleAlone, reports: []Progress{{Changed: 5, Read: 9, AnsweredAt: now}}, revision: 5},
	} {
		r := NewReports()
		r.SetRole(c.role)
		for i, p := range c.reports {
			r.Receive(fmt.Sprint(i), p)
		}
		p, covered := r.Covered(now, 0, c.revision)
		if covered != c.covered || p.Read != c.read {
			t.Errorf("%s: read up to %d, covered %t; want %d, %t", name, p.Read, covered, c.read, c.covered)
		}
	}
}

// TestFollowerAheadOfTheStoreListsAgain guards against a host that never hears of a
// change again because it was told a revision that the store has not reached.
func TestFollowerAheadOfTheStoreListsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &scriptedSource{
			lists:   []Snapshot{{Revision: 7}, {Revision: 8, Policy: []byte("second")}},
			watches: []func() (Update, error){returnChanges(8)},
		}
		var policies []string
		reports := NewReports()
		reports.SetRole(RoleFollower)
		reports.Receive("wrong", Progress{Changed: 1, Read: 1 << 40, AnsweredAt: time.Now()})
		f := NewFollower(source, Sink{
			Policy:  func(p PublishedPolicy) { policies = append(policies, string(p.Text)) },
			Servers: func([]policy.Server) {},
			Leaving: func([]policy.Server) {},
			Read:    func(Progress) {},
		}, reports, testHeartbeat, eventlog.Discard())
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		f.Run(ctx)
		if len(policies) != 1 || policies[0] != "second" {
			t.Errorf("policies %q, want the one that was published later", policies)
		}
	})
}

// TestReturnedRegistrationIsAChange guards against followers that let a live server expire:
// its registration lapsed in an outage, its end was read as a change, and its return within
// the grace period was taken for a renewal.
func TestReturnedRegistrationIsAChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		entry := Entry{Server: policy.Server{Name: "b"}}
		var reported Progress
		var servers []policy.Server
		source := &scriptedSource{
			lists: []Snapshot{{Revision: 1, Entries: map[string]Entry{"b": entry}}},
			watches: []func() (Update, error){
				func() (Update, error) {
					time.Sleep(3 * testHeartbeat)
					return Update{}, errStoreLost
				},
				returnChanges(5, Change{Server: "b", Revision: 5}),
				returnChanges(7, Change{Server: "b", Entry: &entry, Revision: 6}),
				returnChanges(9, Change{Server: "b", Entry: &entry, Revision: 8}),
			},
		}
		f := NewFollower(source, Sink{
			Policy:  func(PublishedPolicy) {},
			Servers: func(s []policy.Server) { servers = s },
			Leaving: func([]policy.Server) {},
			Read:    func(p Progress) { reported = p },
		}, NewReports(), testHeartbeat, eventlog.Discard())
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		f.Run(ctx)
		if reported.Changed != 6 || reported.Read != 9 {
			t.Errorf("reported %+v, want the return at revision 6 as the last change", reported)
		}
		if len(servers) != 1 {
			t.Errorf("servers %v, want b", servers)
		}
	})
}
