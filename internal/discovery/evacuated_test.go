package discovery

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"mimosafront/internal/eventlog"
	"mimosafront/internal/policy"
)

// TestEvacuationLostByTheStoreIsKept guards against requests to a zone whose evacuation was
// acknowledged and then lost by a store that returned from an earlier copy: it holds until
// the operator says something new of the zone, and for lostEvacuationTime at most. An
// evacuation that a list of the same epoch lacks was taken back.
func TestEvacuationLostByTheStoreIsKept(t *testing.T) {
	const zone = "a"
	inEpoch := func(epoch, revision int64, changes ...Change) func() (Update, error) {
		return func() (Update, error) { return Update{Epoch: epoch, Revision: revision, Changes: changes}, nil }
	}
	set := Change{Zone: zone, Evacuated: true, Revision: 13}
	takenBack := Change{Zone: zone, Revision: 13}
	for _, c := range []struct {
		name    string
		second  Snapshot
		watches []func() (Update, error)
		want    []string
	}{
		{"given up", Snapshot{Epoch: 2, Revision: 12}, nil, []string{"[a] 1", "[a] 2", "[] 2"}},
		{"taken back", Snapshot{Epoch: 2, Revision: 12}, []func() (Update, error){inEpoch(2, 13, takenBack)}, []string{"[a] 1", "[a] 2", "[] 2"}},
		{"written again", Snapshot{Epoch: 2, Revision: 12}, []func() (Update, error){inEpoch(2, 13, set)}, []string{"[a] 1", "[a] 2", "[a] 2"}},
		{"missing in the same epoch", Snapshot{Epoch: 1, Revision: 30}, nil, []string{"[a] 1", "[] 1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source := &scriptedSource{
					lists:   []Snapshot{{Epoch: 1, Revision: 20, Evacuated: []string{zone}}, c.second},
					watches: append([]func() (Update, error){returnError(ErrCompacted)}, c.watches...),
				}
				var got []string
				var at []time.Time
				f := NewFollower(source, Sink{
					Servers: func([]policy.Server) {}, Leaving: func([]policy.Server) {}, Read: func(Progress) {},
					Evacuated: func(zones []string, epoch, _ int64) {
						got, at = append(got, fmt.Sprint(zones, " ", epoch)), append(at, time.Now())
					},
				}, NewReports(), testHeartbeat, eventlog.Discard())
				ctx, cancel := context.WithTimeout(t.Context(), 2*lostEvacuationTime)
				defer cancel()
				f.Run(ctx)
				if !slices.Equal(got, c.want) {
					t.Fatalf("passed on %q, want %q", got, c.want)
				}
				if c.name == "given up" && at[2].Sub(at[1]) < lostEvacuationTime {
					t.Errorf("given up after %s, want %s", at[2].Sub(at[1]), lostEvacuationTime)
				}
			})
		})
	}
}
