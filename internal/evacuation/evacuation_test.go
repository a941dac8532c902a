package evacuation

import (
	"maps"
	"slices"
	"strings"
	"testing"

	"mimosafront/internal/message"
)

func entry(zone string, revision int, evacuated bool) []message.Evacuation {
	return []message.Evacuation{{Zone: zone, Revision: revision, Evacuated: evacuated}}
}

func read(t *Table, revision int64, zones ...string) []message.Evacuation {
	return t.Read(zones, Order{Revision: revision})
}

// TestLaterStatementCounts guards against news of hosts that arrives late or in another
// order than the operator's changes: it would empty a zone that was taken back, or send
// requests to one that is evacuated.
func TestLaterStatementCounts(t *testing.T) {
	table := New()
	for _, step := range []struct {
		name  string
		apply func() []message.Evacuation
		news  bool
		zones string
	}{
		{"evacuated, by a peer", func() []message.Evacuation { return table.Merge(entry("a", 8, true)) }, true, "a"},
		{"the same again", func() []message.Evacuation { return table.Merge(entry("a", 8, true)) }, false, "a"},
		{"taken back before", func() []message.Evacuation { return table.Merge(entry("a", 7, false)) }, false, "a"},
		{"taken back", func() []message.Evacuation { return table.Merge(entry("a", 12, false)) }, true, ""},
		{"old news", func() []message.Evacuation { return table.Merge(entry("a", 8, true)) }, false, ""},
		{"another zone", func() []message.Evacuation { return table.Merge(entry("b", 9, true)) }, true, "b"},
		{"both are read from the store", func() []message.Evacuation { return read(table, 15, "a", "b") }, true, "a b"},
		{"an older read", func() []message.Evacuation { return read(table, 14) }, false, "a b"},
		{"a peer that hasn't read it", func() []message.Evacuation { return table.Merge(entry("a", 12, false)) }, false, "a b"},
		{"one is taken back", func() []message.Evacuation { return read(table, 20, "b") }, true, "b"},
		{"nothing has changed", func() []message.Evacuation { return read(table, 21, "b") }, false, "b"},
		{"a zone not heard of, before the read", func() []message.Evacuation { return table.Merge(entry("c", 21, true)) }, false, "b"},
		{"a zone not heard of, after it", func() []message.Evacuation { return table.Merge(entry("c", 22, true)) }, true, "b c"},
		{"all are taken back", func() []message.Evacuation { return read(table, 30) }, true, ""},
	} {
		if news := step.apply(); (len(news) > 0) != step.news {
			t.Errorf("%s: news %v, want some: %t", step.name, news, step.news)
		}
		if got := strings.Join(slices.Sorted(maps.Keys(table.Zones())), " "); got != step.zones {
			t.Errorf("%s: evacuated zones %q, want %q", step.name, got, step.zones)
		}
	}
	if entries := table.Entries(); len(entries) != 3 || entries[0].Evacuated || entries[0].Revision != 30 {
		t.Errorf("entries %v, want the three zones, taken back as of 30", entries)
	}
}

// Guards against hosts that believe different things for good because each heard another
// of two contradictory statements of one revision first.
func TestContradictionsSettle(t *testing.T) {
	one, other := New(), New()
	one.Merge(entry("a", 5, true))
	other.Merge(entry("a", 5, false))
	for range 3 {
		one.Merge(other.Entries())
		other.Merge(one.Entries())
	}
	if !one.Has("a") || !other.Has("a") {
		t.Errorf("the hosts believe %t and %t, want an evacuation", one.Has("a"), other.Has("a"))
	}
}

// Guards against a host that fills the memory of others with zones that don't exist.
func TestTableIsBounded(t *testing.T) {
	table := New()
	for i := range 2 * maxZones {
		table.Merge(entry(strings.Repeat("z", i+1), 5, true))
	}
	if len(table.Entries()) != maxZones {
		t.Errorf("%d zones are kept, want %d", len(table.Entries()), maxZones)
	}
}

// TestRevisionsOfALaterEpochCount guards against news being ignored after the store returned
// from an earlier copy, whose revisions are lower.
func TestRevisionsOfALaterEpochCount(t *testing.T) {
	table := New()
	table.Read([]string{"a"}, Order{Epoch: 1, Revision: 50})
	if table.Read(nil, Order{Epoch: 2, Revision: 10}); table.Has("a") {
		t.Error("the zone is evacuated after a read of the later epoch")
	}
	stale := message.Evacuation{Zone: "a", Epoch: 1, Revision: 60, Evacuated: true}
	if news := table.Merge([]message.Evacuation{stale}); len(news) > 0 || table.Has("a") {
		t.Errorf("news of the epoch before counts: %v", news)
	}
	later := message.Evacuation{Zone: "a", Epoch: 2, Revision: 11, Evacuated: true}
	if table.Merge([]message.Evacuation{later}); !table.Has("a") {
		t.Error("news of the later epoch doesn't count")
	}
}
