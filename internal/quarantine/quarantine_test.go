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
		t.Fatalf("after one crash: standing %v, want suspect", got)
	}
	table.RecordCrash(start, "s1", []uint64{7})
	if got := table.Check(start, 7); got != quarantine.Suspect {
		t.Fatalf("after the same server again: standing %v, want suspect", got)
	}
	table.RecordCrash(start, "s2", []uint64{7, 8})
	if got := table.Check(start, 7); got != quarantine.Quarantined {
		t.Fatalf("after two servers: standing %v, want quarantined", got)
	}
	if got := table.Check(start, 8); got != quarantine.Suspect {
		t.Errorf("a new request beside the culprit: standing %v, want suspect", got)
	}
	table.RecordCrash(start, "s9", []uint64{9})
	table.RecordCrash(start.Add(20*time.Second), "s9", []uint64{9})
	if got := table.Check(start.Add(20*time.Second), 9); got != quarantine.Quarantined {
		t.Errorf("after two crashes of a lone server: standing %v, want quarantined", got)
	}
	if got := table.Check(start.Add(5*time.Minute), 7); got != quarantine.Clear {
		t.Errorf("after the quarantine: standing %v, want clear", got)
	}
}

func TestInnocentBesideTheCulpritTwiceIsNotQuarantined(t *testing.T) {
	table := newTable()
	table.RecordCrash(start, "s1", []uint64{1, 2})
	table.RecordCrash(start, "s2", []uint64{1, 2})
	for _, fingerprint := range []uint64{1, 2} {
		if got := table.Check(start, fingerprint); got != quarantine.Suspect {
			t.Errorf("fingerprint %d: standing %v, want suspect while it is undecided", fingerprint, got)
		}
	}
	table.RecordFinish(2)
	table.RecordCrash(start, "s3", []uint64{1})
	if got := table.Check(start, 1); got != quarantine.Quarantined {
		t.Errorf("the culprit alone on a third server: standing %v, want quarantined", got)
	}
	if got := table.Check(start, 2); got != quarantine.Clear {
		t.Errorf("the one that finished: standing %v, want clear", got)
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
		t.Error("a second server in a peer's news raised nothing")
	}
	if want := []string{"64"}; !slices.Equal(table.Quarantined(start), want) {
		t.Errorf("quarantined %v, want %v", table.Quarantined(start), want)
	}
	if table.Merge(start, 100, []string{"z1"}, time.Second) {
		t.Error("the same news raised the standing twice")
	}
	if got := table.Check(start, 0); got != quarantine.Clear {
		t.Errorf("no fingerprint: standing %v, want clear", got)
	}
	if table.Merge(start, 0, []string{"a", "b"}, 0) || table.Merge(start, 5, []string{"a", "b"}, time.Hour) {
		t.Error("news without a fingerprint, or too old, was taken")
	}
}
