package load

import (
	"strings"
	"testing"
	"time"

	"mimosafront/internal/scenario"
	"mimosafront/internal/standin/engine"
	"mimosafront/internal/tokens"
)

func loadScenario(t *testing.T, name string) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Load("../../examples/scenarios/" + name + ".ini")
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestScenariosOfTheExamples(t *testing.T) {
	for _, name := range []string{"calm", "flood-captions", "flood-returns", "flood-lasting", "flood-briefs", "large-callers", "stragglers", "lagging-reports", "poison"} {
		plan, err := Plan(loadScenario(t, name), 1, nil)
		if err != nil || len(plan) == 0 {
			t.Errorf("%s: %d requests, %v", name, len(plan), err)
		}
	}
}

func TestPlanOfOthersStaysWhenAGroupIsLeftOut(t *testing.T) {
	s := loadScenario(t, "flood-captions")
	all, err := Plan(s, 7, nil)
	if err != nil {
		t.Fatal(err)
	}
	var want []Request
	for _, r := range all {
		if r.Group != "flood" {
			want = append(want, r)
		}
	}
	got, err := Plan(s, 7, []string{"flood"})
	if err != nil || len(got) != len(want) || len(got) == len(all) {
		t.Fatalf("%d requests without the flood, want %d, %v", len(got), len(want), err)
	}
	for i := range got {
		if got[i] != want[i] {
			t.Fatalf("request %d is %+v, want %+v", i, got[i], want[i])
		}
	}
	s.Scenario.MaxRequests = len(all) - 1
	if _, err := Plan(s, 7, nil); err == nil {
		t.Error("a plan over max_requests was made")
	}
}

func TestPromptHasItsLengthAndSharedPrefix(t *testing.T) {
	a := Request{Stream: "s", PromptTokens: 200, PrefixTokens: 64, OutputTokens: 5, number: 1}
	b := a
	b.number = 2
	first, second := a.prompt(), b.prompt()
	shared := 64 * tokens.BytesPerToken
	if tokens.Estimate(first) != 200 || first[:shared] != second[:shared] || first == second {
		t.Errorf("prompts %q and %q", first, second)
	}
	if !strings.Contains(first, "#output=5 ") {
		t.Errorf("prompt %q names no length", first)
	}
}

func TestJudgeComparesJournalsWithCallers(t *testing.T) {
	begin := time.Unix(1000, 0)
	entry := func(id string, prefill int) engine.Entry {
		return engine.Entry{Kind: engine.KindRequest, Time: begin, ID: id, PrefillTokens: prefill, OutputTokens: 1}
	}
	older := entry("old", 1000)
	older.Time = begin.Add(-time.Second)
	entries := []engine.Entry{entry("good", 10), entry("late", 20), entry("cut", 30), entry("lie", 40), entry("twice", 1), entry("twice", 1), older}
	records := []Record{
		{ID: "good", Outcome: Good, Verdict: "ran"}, {ID: "late", Outcome: Late, Verdict: "ran"},
		{ID: "cut", Outcome: Failed, Verdict: "may_have_run"}, {ID: "lie", Outcome: Refused, Verdict: "not_run"},
		{ID: "twice", Outcome: Good, Verdict: "ran"},
	}
	got := judge(entries, begin, records)
	want := Journals{Requests: 5, Repeated: 1, FalseNotRun: 1, PrefillTokens: 102, WastedTokens: 70, OutputTokens: 6}
	if got != want {
		t.Errorf("judge = %+v, want %+v", got, want)
	}
}

func TestLoopbackOnly(t *testing.T) {
	for address, ok := range map[string]bool{"127.0.0.1:80": true, "[::1]:80": true, "192.0.2.1:80": false, "localhost:80": false, "127.0.0.1": false} {
		if err := CheckLoopback([]string{address}); (err == nil) != ok {
			t.Errorf("CheckLoopback(%s) = %v", address, err)
		}
	}
}

func TestPoisonRequestsAreTheSame(t *testing.T) {
	plan, err := Plan(loadScenario(t, "poison"), 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	prompts := map[string]int{}
	for _, r := range plan {
		if r.Poison {
			prompts[r.prompt()]++
		}
	}
	if len(prompts) != 1 {
		t.Errorf("%d different poison prompts, want one sent again", len(prompts))
	}
}
