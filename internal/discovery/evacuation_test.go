package discovery

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"mimosafront/internal/eventlog"
	"mimosafront/internal/policy"
)

// TestEvacuatedZonesAreFollowed checks what is passed on of evacuated zones: the state of
// each list before its servers, so that a host which starts sends nothing to them, and each
// change, at its revision. An outage of the store changes nothing, and a list replaces the
// zones, since the changes before it may be lost.
func TestEvacuatedZonesAreFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		change := func(zone string, evacuated bool, revision int64) Change {
			return Change{Zone: zone, Evacuated: evacuated, Revision: revision}
		}
		source := &scriptedSource{
			lists: []Snapshot{
				{Revision: 7, Evacuated: []string{"b"}, Entries: map[string]Entry{"s": {Server: policy.Server{Name: "s"}}}},
				{Revision: 40, Evacuated: []string{"a"}},
			},
			watches: []func() (Update, error){
				returnChanges(9, change("a", true, 8), registration("t")),
				returnError(errors.New("reset")),
				returnError(errors.New("reset")),
				returnChanges(12),
				returnChanges(15, change("c", true, 13), change("a", false, 14)),
				returnChanges(20, change("b", false, 20), change("c", true, 19)),
				returnError(ErrCompacted),
			},
		}
		var got []string
		var read []Progress
		f := NewFollower(source, Sink{
			Servers:   func(s []policy.Server) { got = append(got, fmt.Sprint(len(s), " servers")) },
			Leaving:   func([]policy.Server) {},
			Evacuated: func(zones []string, _, revision int64) { got = append(got, fmt.Sprint(zones, " at ", revision)) },
			Read:      func(p Progress) { read = append(read, p) },
		}, NewReports(), testHeartbeat, eventlog.Discard())
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		f.Run(ctx)
		want := []string{"[b] at 7", "1 servers", "[a b] at 8", "2 servers", "[b c] at 14", "[c] at 20", "[a] at 40"}
		if len(got) < len(want) || !slices.Equal(got[:len(want)], want) {
			t.Errorf("passed on %q, want %q first", got, want)
		}
		// Hosts that rely on the reports of this one read on when Changed rises.
		if !slices.ContainsFunc(read, func(p Progress) bool { return p.Changed == 14 && p.Read == 15 }) {
			t.Errorf("progress %v, want the change at 14", read)
		}
	})
}
