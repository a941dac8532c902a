package quarantine_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"mimosafront/internal/quarantine"
)

var start = time.Unix(1_700_000_000, 0)

func newTable() *quarantine.Table {
	return quarantine.New(quarantine.Config{Capacity: 8, SuspectTTL: time.Minute, QuarantineTTL: 5 * time.Minute})
}

func TestSecondServerQuarantines(t *testing.T) {
	table := newTable()
	table.RecordCrash(start, "s1", []uint64{7})
	if got := table.Check(start, 7); got != quarantine.Suspect {
		t.Fatalf("after one crash: state %v, want suspect", got)
	}
	table.RecordCrash(start, "s1", []uint64{7})
	if got := table.Check(start, 7); got != quarantine.Suspect {
		t.Fatalf("after a repeated report of the same crash: state %v, want suspect", got)
	}
	table.RecordCrash(start, "s2", []uint64{7, 8})
	if got := table.Check(start, 7); got != quarantine.Quarantined {
		t.Fatalf("after two servers: state %v, want quarantined", got)
	}
	if got := table.Check(start, 8); got != quarantine.Suspect {
		t.Errorf("a new request on the culprit's server: state %v, want suspect", got)
	}
	table.RecordCrash(start, "s9", []uint64{9})
	table.RecordCrash(start.Add(20*time.Second), "s9", []uint64{9})
	if got := table.Check(start.Add(20*time.Second), 9); got != quarantine.Quarantined {
		t.Errorf("after two crashes of the only server: state %v, want quarantined", got)
	}
	if got := table.Check(start.Add(5*time.Minute), 7); got != quarantine.Clear {
		t.Errorf("after the quarantine has expired: state %v, want clear", got)
	}
}

func TestInnocentBesideTheCulpritTwiceIsNotQuarantined(t *testing.T) {
	table := newTable()
	table.RecordCrash(start, "s1", []uint64{1, 2})
	table.RecordCrash(start, "s2", []uint64{1, 2})
	for _, fingerprint := range []uint64{1, 2} {
		if got := table.Check(start, fingerprint); got != quarantine.Suspect {
			t.Errorf("fingerprint %d: state %v, want suspect while both are possible culprits", fingerprint, got)
		}
	}
	table.RecordFinish(2)
	table.RecordCrash(start, "s3", []uint64{1})
	if got := table.Check(start, 1); got != quarantine.Quarantined {
		t.Errorf("the culprit alone on a third server: state %v, want quarantined", got)
	}
	if got := table.Check(start, 2); got != quarantine.Clear {
		t.Errorf("the request that finished: state %v, want clear", got)
	}
}

func TestTableIsBoundedAndMergesPeerUpdates(t *testing.T) {
	table := newTable()
	for i := range 100 {
		table.RecordCrash(start, fmt.Sprint("s", i), []uint64{uint64(i + 1)})
	}
	if table.Len() != 8 {
		t.Errorf("%d fingerprints held, want the capacity of 8", table.Len())
	}
	if !table.Merge(start, 100, []string{"z1"}, time.Second) {
		t.Error("a second server in a peer's update did not quarantine the fingerprint")
	}
	if want := []string{"64"}; !slices.Equal(table.Quarantined(start), want) {
		t.Errorf("quarantined %v, want %v", table.Quarantined(start), want)
	}
	if table.Merge(start, 100, []string{"z1"}, time.Second) {
		t.Error("a repeated update from a peer raised the state again")
	}
	if got := table.Check(start, 0); got != quarantine.Clear {
		t.Errorf("zero fingerprint: state %v, want clear", got)
	}
	if table.Merge(start, 0, []string{"a", "b"}, 0) || table.Merge(start, 5, []string{"a", "b"}, time.Hour) {
		t.Error("an update without a fingerprint, or one that is too old, was applied")
	}
}
