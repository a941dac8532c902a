package soak

import (
	"reflect"
	"slices"
	"testing"
	"time"
)

func TestScheduleIsDeterministic(t *testing.T) {
	first, second := Schedule(7, time.Minute), Schedule(7, time.Minute)
	if !reflect.DeepEqual(first, second) {
		t.Error("one seed gave different schedules")
	}
	if reflect.DeepEqual(first, Schedule(8, time.Minute)) {
		t.Error("two seeds gave the same schedule")
	}
	seen, overlapping := map[Kind]bool{}, 0
	for i, f := range first {
		seen[f.Kind] = true
		if f.Duration <= 0 || f.At+f.Duration > time.Minute+maxOverrun {
			t.Errorf("%s at %s has no duration or ends too late", f, f.At)
		}
		if i > 0 && first[i-1].At+first[i-1].Duration > f.At {
			overlapping++
		}
	}
	if want := len(kinds) + len(answerKinds); len(seen) != want {
		t.Errorf("schedule has %d kinds of faults, want %d", len(seen), want)
	}
	if overlapping == 0 {
		t.Error("no two faults overlap")
	}
}

// TestScheduleOfAStore checks that runs with a store have its faults, and none of the
// configuration service's.
func TestScheduleOfAStore(t *testing.T) {
	drawn := map[Kind]bool{}
	for _, fault := range (Config{Seed: 1, Duration: time.Minute, Store: struct{ Store }{}}).Schedule() {
		drawn[fault.Kind] = true
	}
	for _, kind := range slices.Concat(kinds, answerKinds, storeKinds) {
		if drawn[kind] == storeLacks[kind] {
			t.Errorf("%s is drawn: %t", kind, drawn[kind])
		}
	}
}
