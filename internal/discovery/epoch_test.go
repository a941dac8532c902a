package discovery

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"mimosafront/internal/eventlog"
	"mimosafront/internal/policy"
)

// answerSource is a source whose calls are answered by functions and counted.
type answerSource struct {
	list  func() Snapshot
	watch func(after int64) (Update, error)
	lists int
}

func (s *answerSource) List(context.Context) (Snapshot, error) {
	s.lists++
	return s.list(), nil
}

func (s *answerSource) Watch(ctx context.Context, after int64, wait, _ time.Duration) (Update, error) {
	u, err := s.watch(after)
	if err == nil && u.Revision == after && len(u.Changes) == 0 {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	return u, err
}

// followFor runs a follower for a time and returns the texts of the policies that it got.
func followFor(t *testing.T, s Source, reports *Reports, d time.Duration) (policies []string) {
	t.Helper()
	sink := Sink{
		Policy:  func(p PublishedPolicy) { policies = append(policies, string(p.Text)) },
		Servers: func([]policy.Server) {}, Leaving: func([]policy.Server) {}, Read: func(Progress) {},
	}
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	NewFollower(s, sink, reports, testHeartbeat, eventlog.Discard()).Run(ctx)
	return policies
}

// TestAnswersOfAnEarlierEpochAreIgnored replays a drill whose end is seen over two
// connections in the wrong order: answers of the earlier epoch follow those of the later.
func TestAnswersOfAnEarlierEpochAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		late := func() bool { n := time.Since(began); return n >= 2*time.Second && n < 4*time.Second }
		source := &answerSource{
			list: func() Snapshot {
				if time.Since(began) < time.Second || late() {
					return Snapshot{Epoch: 1, Revision: 50, Policy: []byte("earlier")}
				}
				return Snapshot{Epoch: 2, Revision: 20, Policy: []byte("later")}
			},
			watch: func(after int64) (Update, error) {
				switch {
				case time.Since(began) < time.Second:
					return Update{Epoch: 1, Revision: after}, nil
				case late():
					return Update{Epoch: 1, Revision: 60, Changes: []Change{{Policy: []byte("earlier"), Revision: 60}}}, nil
				}
				return Update{Epoch: 2, Revision: 20}, nil
			},
		}
		policies := followFor(t, source, NewReports(), 10*time.Second)
		if want := "[earlier later later]"; fmt.Sprint(policies) != want {
			t.Errorf("policies %v, want %s: nothing of the earlier epoch after the later one", policies, want)
		}
		if limit := 2 + int(2*time.Second/initialDelay); source.lists > limit {
			t.Errorf("%d lists, want at most %d", source.lists, limit)
		}
	})
}

// TestStoreThatGoesBackWithinAnEpoch checks that an answer of a lower revision changes
// nothing at first, and that a store which stays behind is followed without a burst of
// calls: it went back without a new epoch.
func TestStoreThatGoesBackWithinAnEpoch(t *testing.T) {
	for behind, want := range map[time.Duration]string{maxStaleTime - time.Second: "[first first]", time.Minute: "[first copy]"} {
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			isBehind := func() bool { n := time.Since(began); return n >= time.Second && n < time.Second+behind }
			source := &answerSource{
				list: func() Snapshot {
					if isBehind() {
						return Snapshot{Revision: 20, Policy: []byte("copy")}
					}
					return Snapshot{Revision: 50, Policy: []byte("first")}
				},
				watch: func(int64) (Update, error) {
					if isBehind() {
						return Update{Revision: 20, Changes: nil}, nil
					}
					return Update{Revision: 50}, nil
				},
			}
			policies := followFor(t, source, NewReports(), 20*time.Second)
			if fmt.Sprint(policies) != want {
				t.Errorf("behind for %s: policies %v, want %s", behind, policies, want)
			}
			if limit := 2 + int(maxStaleTime/initialDelay); source.lists > limit {
				t.Errorf("behind for %s: %d lists, want at most %d", behind, source.lists, limit)
			}
		})
	}
}

// TestFollowerListsWhenAReaderNamesALaterEpoch checks that a host which relies on readers
// reads the store when one of them has seen it return, whose revisions may be lower, and
// that a wrong report costs one list.
func TestFollowerListsWhenAReaderNamesALaterEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reports := NewReports()
		reports.SetRole(RoleFollower)
		var current atomic.Int64
		current.Store(1)
		source := &answerSource{
			list: func() Snapshot {
				epoch := current.Load()
				return Snapshot{Epoch: epoch, Revision: 100 / epoch, Policy: fmt.Append(nil, epoch)}
			},
			watch: func(after int64) (Update, error) { return Update{Epoch: current.Load(), Revision: after}, nil },
		}
		began := time.Now()
		go func() {
			for ; time.Since(began) < 20*time.Second; time.Sleep(100 * time.Millisecond) {
				now, epoch := time.Now(), current.Load()
				reports.Receive("a", Progress{Epoch: epoch, Changed: 100 / epoch, Read: 100 / epoch, AnsweredAt: now})
				// The other reader sees the return late.
				reports.Receive("b", Progress{Epoch: 1, Changed: 100, Read: 100, AnsweredAt: now})
				if time.Since(began) > 5*time.Second {
					current.Store(2)
				}
				if time.Since(began) > 15*time.Second {
					reports.Receive("wrong", Progress{Epoch: 1 << 30, Changed: 1, Read: 1, AnsweredAt: now})
				}
			}
		}()
		policies := followFor(t, source, reports, 20*time.Second)
		if want := "[1 2 2]"; fmt.Sprint(policies) != want || source.lists != 3 {
			t.Errorf("policies %v, %d lists; want %s, 3", policies, source.lists, want)
		}
	})
}

// TestReportsCoverWithinAnEpoch checks that readers vouch for their own epoch alone.
func TestReportsCoverWithinAnEpoch(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		reports []Progress
		covered bool
	}{
		"same epoch":          {[]Progress{{Epoch: 2, Changed: 5, Read: 9, AnsweredAt: now}}, true},
		"earlier epoch":       {[]Progress{{Epoch: 1, Changed: 5, Read: 9, AnsweredAt: now}}, false},
		"earlier and same":    {[]Progress{{Epoch: 1, Changed: 50, Read: 90, AnsweredAt: now}, {Epoch: 2, Changed: 5, Read: 9, AnsweredAt: now}}, true},
		"later epoch":         {[]Progress{{Epoch: 3, Changed: 1, Read: 2, AnsweredAt: now}}, false},
		"same and later":      {[]Progress{{Epoch: 2, Changed: 5, Read: 9, AnsweredAt: now}, {Epoch: 3, Changed: 1, Read: 2, AnsweredAt: now}}, false},
		"build without epoch": {[]Progress{{Changed: 5, Read: 9, AnsweredAt: now}}, false},
	} {
		r := NewReports()
		r.SetRole(RoleFollower)
		for i, p := range c.reports {
			r.Receive(fmt.Sprint(i), p)
		}
		if p, covered := r.Covered(now, 2, 5); covered != c.covered || covered && p.Read != 9 {
			t.Errorf("%s: covered %t up to %d, want %t", name, covered, p.Read, c.covered)
		}
	}
}

// TestDrillWhileHalfOfTheHostsAreCutOff replays the return of the store from a copy while
// half of a zone, with one of its readers, has lost it. The others follow it at once, those
// cut off when they reach it again; no host is left in the earlier epoch, in which the
// revisions are higher.
func TestDrillWhileHalfOfTheHostsAreCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		z := startZone(ctx, 20, 2)
		inTouch, cutOff := []map[string]time.Time{}, []map[string]time.Time{}
		setCut := func(lost bool) {
			for i := range z.sources {
				if i%2 == 1 {
					z.sources[i].setLost(lost)
				}
			}
		}
		for i, got := range z.got {
			if i%2 == 1 {
				cutOff = append(cutOff, got)
			} else {
				inTouch = append(inTouch, got)
			}
		}
		time.Sleep(5 * time.Second)
		z.store.write([]byte("copied"))
		time.Sleep(5 * time.Second)
		setCut(true)
		time.Sleep(2 * time.Second)
		// Four seconds of renewals are lost.
		z.store.returnWithout(1000)
		returned := time.Now()
		time.Sleep(time.Second)
		z.store.write([]byte("first"))
		time.Sleep(time.Second)
		// A watch and a pause of a host that reads for itself.
		if latest := z.latest(t, "first", returned.Add(time.Second), inTouch); latest > maxPause+minPause {
			t.Errorf("a host in touch learned of a change %s late", latest)
		}
		setCut(false)
		regained := time.Now()
		time.Sleep(3 * time.Second)
		if latest := z.latest(t, "first", regained, cutOff); latest > time.Second {
			t.Errorf("a host that was cut off learned of the change %s after it reached the store again", latest)
		}
		time.Sleep(10 * time.Second)
		changed := time.Now()
		z.store.write([]byte("second"))
		time.Sleep(2 * time.Second)
		if latest := z.latest(t, "second", changed, z.got); latest > readerPause {
			t.Errorf("a host learned of a change %s late, after the drill", latest)
		}
		cancel()
		synctest.Wait()
	})
}
