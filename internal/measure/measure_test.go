package measure

import (
	"math"
	"testing"

	"mimosafront/internal/load"
)

func near(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

func TestJain(t *testing.T) {
	tests := []struct {
		shares []float64
		want   float64
	}{
		{nil, 1},
		{[]float64{7}, 1},
		{[]float64{2, 2, 2}, 1},
		{[]float64{5, 0, 0, 0}, 0.25},
		{[]float64{1, 3}, 16.0 / 20},
	}
	for _, test := range tests {
		if got := Jain(test.shares); !near(got, test.want) {
			t.Errorf("Jain(%v) = %v, want %v", test.shares, got, test.want)
		}
	}
}

func TestMaxMin(t *testing.T) {
	tests := []struct {
		demands  []float64
		capacity float64
		want     []float64
	}{
		{[]float64{2, 8, 5}, 20, []float64{2, 8, 5}},
		{[]float64{2, 8, 10}, 14, []float64{2, 6, 6}},
		{[]float64{9, 1, 3, 9}, 12, []float64{4, 1, 3, 4}},
		{[]float64{0, 4}, 2, []float64{0, 2}},
	}
	for _, test := range tests {
		got := MaxMin(test.demands, test.capacity)
		for i := range got {
			if !near(got[i], test.want[i]) {
				t.Errorf("MaxMin(%v, %v) = %v, want %v", test.demands, test.capacity, got, test.want)
				break
			}
		}
	}
}

func TestCompareToMaxMin(t *testing.T) {
	// All got 14 of 20: fair are 2, 6, 6. The large one took 9, one got 3.
	got := CompareToMaxMin([]Share{{"a", 2, 2}, {"b", 8, 3}, {"c", 10, 9}})
	if !near(got.Worst, 0.5) || got.WorstParty != "b" || got.Backlogged != 2 || !near(got.Jain, 144.0/180) {
		t.Errorf("got %+v", got)
	}
}

func record(tier, organisation string, outcome load.Outcome, firstMs float64) load.Record {
	return load.Record{
		Measured: true, Group: "base", Tier: tier, Organisation: organisation, Caller: organisation + "-1",
		Outcome: outcome, FirstTokenMs: firstMs, TotalMs: 2 * firstMs, PromptTokens: 60, OutputTokens: 40,
	}
}

func TestTimelyAnswersAreGoodAndBeginInTime(t *testing.T) {
	r := &load.Result{DurationS: 1, Records: []load.Record{
		record("brief", "a", load.Good, 1600), record("brief", "a", load.Good, 1601),
		record("brief", "a", load.Late, 100), record("brief", "a", load.Refused, 0),
	}}
	if got := Summarize(r).Group(Key{Tier: "brief"}).TimelyShare(); got != 0.25 {
		t.Errorf("timely share = %v, want 0.25", got)
	}
}

func TestSummaryAndComparison(t *testing.T) {
	without := &load.Result{DurationS: 12, WarmupS: 2, Skipped: []string{"flood"}}
	with := &load.Result{DurationS: 12, WarmupS: 2, Journals: load.Journals{PrefillTokens: 200, WastedTokens: 3}}
	for range 40 {
		without.Records = append(without.Records, record("brief", "a", load.Good, 100))
	}
	for i := range 40 {
		outcome := load.Good
		if i%4 == 0 {
			outcome = load.Late
		}
		with.Records = append(with.Records, record("brief", "a", outcome, 150))
		flood := record("caption", "b", load.Good, 10)
		flood.Group = "flood"
		with.Records = append(with.Records, flood)
	}
	warmup := record("brief", "a", load.Failed, 0)
	warmup.Measured = false
	with.Records = append(with.Records, warmup)

	summary := Summarize(with)
	brief := Key{Tier: "brief"}
	if group := summary.Group(brief); group.Offered != 40 || group.Good() != 30 || group.GoodShare() != 0.75 {
		t.Errorf("brief: %+v", group)
	}
	if got := summary.Goodput(brief); !near(got, 120) {
		t.Errorf("goodput = %v tokens/s, want 120", got)
	}
	if got := summary.WastedPrefill(); !near(got, 0.015) {
		t.Errorf("wasted prefill = %v", got)
	}
	comparison := Compare(with, without)
	kept := comparison.Keep(brief)
	if !near(kept.Goodput, 0.75) || math.Abs(kept.FirstToken-1.5) > 0.01 {
		t.Errorf("kept = %+v", kept)
	}
	least, slowest := comparison.Worst(func(k Key) bool { return k.Organisation != "" && k.Caller == "" && k.Tier == "" })
	if least.Key.Organisation != "a" || !near(least.Goodput, 0.75) || slowest.Key.Organisation != "a" {
		t.Errorf("worst = %+v, %+v", least, slowest)
	}
}
