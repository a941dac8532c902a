package discovery

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"mimosafront/internal/eventlog"
	"mimosafront/internal/policy"
	"mimosafront/internal/sleep"
)

// scriptedSource is a Source that returns prepared results in turn and then blocks.
type scriptedSource struct {
	lists   []Snapshot
	watches []func() (Update, error)
	// after records the start revisions of the watches.
	after []int64
}

func (s *scriptedSource) List(ctx context.Context) (Snapshot, error) {
	if len(s.lists) == 0 {
		<-ctx.Done()
		return Snapshot{}, ctx.Err()
	}
	next := s.lists[0]
	s.lists = s.lists[1:]
	return next, nil
}

func (s *scriptedSource) Watch(ctx context.Context, after int64, _, _ time.Duration) (Update, error) {
	s.after = append(s.after, after)
	if len(s.watches) == 0 {
		<-ctx.Done()
		return Update{}, ctx.Err()
	}
	next := s.watches[0]
	s.watches = s.watches[1:]
	return next()
}

func returnChanges(revision int64, changes ...Change) func() (Update, error) {
	return func() (Update, error) { return Update{Changes: changes, Revision: revision}, nil }
}

func returnError(err error) func() (Update, error) {
	return func() (Update, error) { return Update{}, err }
}

// TestFollowerResumesAndLists checks that the follower resumes its watch at the last
// revision after an error, and lists again if that revision was compacted.
func TestFollowerResumesAndLists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &scriptedSource{
			lists: []Snapshot{
				{Revision: 7, Policy: []byte("first"), Entries: map[string]Entry{"a": {Server: policy.Server{Name: "a"}}}},
				{Revision: 20, Policy: []byte("second"), Entries: map[string]Entry{"c": {Server: policy.Server{Name: "c"}}}},
			},
			watches: []func() (Update, error){
				returnChanges(9, registration("b")),
				returnError(errors.New("reset")),
				returnChanges(9),
				returnError(ErrCompacted),
			},
		}
		var policies []string
		var servers [][]policy.Server
		f := NewFollower(source, Sink{
			Policy:  func(p PublishedPolicy) { policies = append(policies, string(p.Text)) },
			Servers: func(s []policy.Server) { servers = append(servers, s) },
			Leaving: func([]policy.Server) {},
			Read:    func(Progress) {},
		}, NewReports(), testHeartbeat, eventlog.Discard())
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		f.Run(ctx)
		if len(policies) != 2 || policies[1] != "second" {
			t.Errorf("policies %q, want 2 and the last one \"second\"", policies)
		}
		want := []int64{7, 9, 9, 9, 20}
		if len(source.after) < len(want) {
			t.Fatalf("watched after %v, want %v", source.after, want)
		}
		for i, after := range want {
			if source.after[i] != after {
				t.Errorf("watched after %v, want %v", source.after, want)
				break
			}
		}
		// Servers missing from the last list have left: reads failed for too short a time
		// for their registrations to lapse.
		if last := servers[len(servers)-1]; len(last) != 1 || last[0].Name != "c" {
			t.Errorf("servers %v after the list, want c alone", last)
		}
	})
}

// silentSource is a source whose first watch never answers.
type silentSource struct {
	scriptedSource
	answerTime time.Duration
	silent     bool
}

func (s *silentSource) Watch(ctx context.Context, after int64, wait, patience time.Duration) (Update, error) {
	if s.silent {
		s.silent = false
		time.Sleep(wait + s.answerTime)
		return Update{}, context.DeadlineExceeded
	}
	return s.scriptedSource.Watch(ctx, after, wait, patience)
}

// TestServerThatLeftIsNotKeptAfterASilentConnection guards against requests to a server
// that left while the connection of a watch had gone silent. The store was up all the
// time, so its registration didn't lapse.
func TestServerThatLeftIsNotKeptAfterASilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		both := map[string]Entry{"a": {Server: policy.Server{Name: "a"}}, "b": {Server: policy.Server{Name: "b"}}}
		source := &silentSource{
			scriptedSource: scriptedSource{
				lists:   []Snapshot{{Revision: 7, Entries: both}},
				watches: []func() (Update, error){returnChanges(8, Change{Server: "a"})},
			},
			answerTime: 700 * time.Millisecond, silent: true,
		}
		var servers []policy.Server
		f := NewFollower(source, Sink{
			Servers: func(s []policy.Server) { servers = s },
			Leaving: func([]policy.Server) {},
			Read:    func(Progress) {},
		}, NewReports(), testHeartbeat, eventlog.Discard())
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		f.Run(ctx)
		if len(servers) != 1 || servers[0].Name != "b" {
			t.Errorf("servers %v, want b alone", servers)
		}
	})
}

// TestServersAreKeptAfterAnOutageOfTheStore checks that a follower keeps servers whose
// registrations may have lapsed, until they have had the time to register again.
func TestServersAreKeptAfterAnOutageOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outage := func() (Update, error) {
			time.Sleep(lapseHeartbeats * testHeartbeat)
			return Update{}, errors.New("refused")
		}
		source := &scriptedSource{
			lists: []Snapshot{{Revision: 7, Entries: map[string]Entry{"a": {Server: policy.Server{Name: "a"}}}}},
			watches: []func() (Update, error){
				outage, returnChanges(8, Change{Server: "a"}), returnChanges(9, registration("a")),
			},
		}
		var counts []int
		f := NewFollower(source, Sink{
			Servers: func(s []policy.Server) { counts = append(counts, len(s)) },
			Leaving: func([]policy.Server) {},
			Read:    func(Progress) {},
		}, NewReports(), testHeartbeat, eventlog.Discard())
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		f.Run(ctx)
		if slices.Contains(counts, 0) {
			t.Errorf("numbers of servers %v, want 1 throughout", counts)
		}
	})
}

// TestPauseGrowsWithTheCostOfChanges checks that the pause grows with the time spent
// applying changes, up to maxPause, so that changes are still in force in time.
func TestPauseGrowsWithTheCostOfChanges(t *testing.T) {
	for applyTime, want := range map[time.Duration]time.Duration{
		0: minPause, 10 * time.Millisecond: minPause, 100 * time.Millisecond: 400 * time.Millisecond, time.Second: maxPause,
	} {
		if got := pauseAfter(applyTime, RoleAlone); got != want {
			t.Errorf("pause of %s after applying for %s, want %s", got, applyTime, want)
		}
	}
}

// outageSource is a source that doesn't answer until the store is back, and then says
// that no server is registered. A call that began before that is lost.
type outageSource struct {
	back time.Time
}

func (s *outageSource) List(context.Context) (Snapshot, error) {
	return Snapshot{Revision: 7, Entries: map[string]Entry{"a": {Server: policy.Server{Name: "a"}}}}, nil
}

func (s *outageSource) Watch(ctx context.Context, after int64, wait, patience time.Duration) (Update, error) {
	if time.Now().Before(s.back) {
		sleep.For(ctx, wait+patience)
		return Update{}, context.DeadlineExceeded
	}
	if after == 7 {
		return Update{Changes: []Change{{Server: "a"}}, Revision: 8}, nil
	}
	sleep.For(ctx, wait)
	return Update{Revision: after}, ctx.Err()
}

// TestServerThatLeftInAnOutageIsGoneInTime guards against requests to a server whose
// registration ended in an outage and that doesn't register again: two seconds after the
// store is back it counts as gone, and hosts must have noticed a second later. The
// outage ends at any moment of a call or pause.
func TestServerThatLeftInAnOutageIsGoneInTime(t *testing.T) {
	for offset := time.Duration(0); offset < 2*time.Second; offset += 50 * time.Millisecond {
		t.Run(offset.String(), func(t *testing.T) { synctest.Test(t, func(t *testing.T) { testOutage(t, 4*time.Second+offset) }) })
	}
}

// testOutage checks when a server is gone whose registration ended in an outage of the
// given length.
func testOutage(t *testing.T, outage time.Duration) {
	back := time.Now().Add(outage)
	var gone time.Time
	f := NewFollower(&outageSource{back: back}, Sink{
		Servers: func(s []policy.Server) {
			if len(s) == 0 && gone.IsZero() {
				gone = time.Now()
			}
		},
		Leaving: func([]policy.Server) {},
		Read:    func(Progress) {},
	}, NewReports(), testHeartbeat, eventlog.Discard())
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	f.Run(ctx)
	if after := gone.Sub(back); gone.IsZero() || after < recoveryGrace || after >= recoveryGrace+time.Second {
		t.Errorf("the server was gone %s after the store came back, want 2 to 3 s", after)
	}
}
