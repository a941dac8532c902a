package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"mimosafront/internal/apierror"
	"mimosafront/internal/standin/engine"
	"mimosafront/internal/verdict"
)

var base = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return base.Add(time.Duration(seconds * float64(time.Second))) }

func finishedExecution(id string, seed uint64, from, to float64) execution {
	return execution{engine.Entry{Kind: engine.KindRequest, ID: id, Seed: seed, Time: at(from), Ended: at(to), Outcome: engine.OutcomeFinished}, "a-e1"}
}

// TestRulesReportViolations checks that each rule reports its violation and accepts
// the nearest allowed case.
func TestRulesReportViolations(t *testing.T) {
	brief := requestRecord{PromptHash: 1, Host: "a1", Sent: at(10), Ended: at(11)}
	refused, lower := brief, requestRecord{PromptHash: 2, Host: "a1", Tier: 2}
	refused.Code, refused.Verdict = apierror.CodeQueueFull, verdict.NotRun
	cut := brief
	cut.Disconnected, cut.Verdict = true, verdict.MayHaveRun
	stopped := func(code int) map[string]*host {
		return map[string]*host{"a1": {name: "a1", stops: []plannedStop{{At: at(12), Ended: at(13), ExitCode: code}}}}
	}
	coinVerdicts := func(v verdict.Verdict) map[string][]verdict.Verdict {
		return map[string][]verdict.Verdict{"coin": {v}}
	}
	leaves := []*leavePeriod{{server: "a-e1", begin: at(0), end: at(30)}}
	// Prompt 1 is the request in question, prompt 2 an earlier one whose answer told its
	// host that the server leaves.
	told := requestRecord{PromptHash: 2, Host: "a1", Sent: at(0.5), Ended: at(1), Complete: true, Matches: true}
	toldOther := told
	toldOther.Host = "b1"
	announced := func(teller requestRecord, dispatched float64, faults ...*injectedFault) checker {
		return checker{
			announcedLeaves: leaves, faults: faults, records: []requestRecord{brief, teller},
			executions: []execution{finishedExecution("x", 1, dispatched, dispatched+1), finishedExecution("y", 2, 0.5, 1)},
		}
	}
	evacuated := func(dispatched float64, faults ...*injectedFault) checker {
		return checker{
			hosts: stopped(0), evacuations: []*evacuationPeriod{{zone: "a", begin: at(0), end: at(30)}}, faults: faults,
			records: []requestRecord{brief}, executions: []execution{finishedExecution("x", 1, dispatched, dispatched+1)},
		}
	}
	cold := func(requests int, within float64) checker {
		c := checker{coldPeriods: []*coldPeriod{{server: "a-e1", begin: at(0), end: at(30)}}}
		for i := range requests {
			c.executions = append(c.executions, finishedExecution(fmt.Sprint(i), uint64(i), 1+within*float64(i)/float64(requests-1), 9))
		}
		return c
	}
	revoked := func(sent float64) checker {
		return checker{
			probes: []revokedProbe{{promptHash: 1, host: "a1", revoked: at(0), sent: at(sent)}}, executions: []execution{finishedExecution("x", 1, sent, sent+1)},
		}
	}
	for _, test := range []struct {
		name string
		rule Rule
		bad  checker
		good checker
	}{
		{"id twice", RuleDispatchedOnce,
			checker{executions: []execution{finishedExecution("x", 1, 0, 1), finishedExecution("x", 2, 0, 1)}},
			checker{executions: []execution{finishedExecution("x", 1, 0, 1), finishedExecution("y", 2, 0, 1)}}},
		{"prompt twice", RuleDispatchedOnce,
			checker{records: []requestRecord{brief}, executions: []execution{finishedExecution("x", 1, 0, 1), finishedExecution("y", 1, 0, 1)}},
			checker{records: []requestRecord{{PromptHash: 1, Poison: true}}, executions: []execution{finishedExecution("x", 1, 0, 1), finishedExecution("y", 1, 0, 1)}}},
		{"dispatched after an announced leave", RuleAnnounced, announced(told, 3.1), announced(told, 2.9)},
		{"dispatched after another host was told", RuleAnnounced, announced(toldOther, 4.1), announced(toldOther, 3.9)},
		{"host that paused after it was told", RuleAnnounced,
			announced(told, 3.1, &injectedFault{Fault: Fault{Kind: KindPause, Target: "b1"}, Began: at(2), Ended: at(2.5)}),
			announced(told, 3.1, &injectedFault{Fault: Fault{Kind: KindPause, Target: "a1"}, Began: at(2), Ended: at(2.5)})},
		{"endless answer read for long", RuleEndless,
			checker{endless: []endlessAnswer{{engine.EndlessAnswer{Began: at(1), Ended: at(3.1)}, "a-e1"}}},
			checker{endless: []endlessAnswer{{engine.EndlessAnswer{Began: at(1), Ended: at(2.9)}, "a-e1"}}}},
		{"endless answer never cut off", RuleEndless,
			checker{endless: []endlessAnswer{{engine.EndlessAnswer{Began: at(1)}, "a-e1"}}},
			checker{}},
		{"much of an endless answer", RuleEndless,
			checker{endless: []endlessAnswer{{engine.EndlessAnswer{Began: at(1), Ended: at(2), Bytes: maxEndlessBytes + 1}, "a-e1"}}},
			checker{endless: []endlessAnswer{{engine.EndlessAnswer{Began: at(1), Ended: at(2), Bytes: maxEndlessBytes}, "a-e1"}}}},
		{"operation twice", RuleOperationOnce, checker{operationBodies: []string{"coin", "coin"}}, checker{operationBodies: []string{"coin", "other"}}},
		{"operation ran despite not_run", RuleNotRun,
			checker{operationBodies: []string{"coin"}, verdicts: coinVerdicts(verdict.NotRun)},
			checker{operationBodies: []string{"coin"}, verdicts: coinVerdicts(verdict.MayHaveRun)}},
		{"operation reported as ran did not run", RuleNotRun, checker{verdicts: coinVerdicts(verdict.Ran)}, checker{verdicts: coinVerdicts(verdict.NotRun)}},
		{"request ran despite not_run", RuleNotRun,
			checker{records: []requestRecord{refused}, executions: []execution{finishedExecution("x", 1, 10, 11)}},
			checker{records: []requestRecord{refused}, executions: []execution{finishedExecution("x", 3, 10, 11)}}},
		{"answer of another prompt", RuleAnswerMatches,
			checker{records: []requestRecord{{Complete: true}}}, checker{records: []requestRecord{{Complete: true, Matches: true}}}},
		{"stop ended with an error", RulePlannedStop, checker{hosts: stopped(1)}, checker{hosts: stopped(0)}},
		{"error of the stop after dispatch", RulePlannedStop,
			checker{records: []requestRecord{{Code: apierror.CodeStopping, Verdict: verdict.MayHaveRun}}},
			checker{records: []requestRecord{{Code: apierror.CodeStopping, Verdict: verdict.NotRun}}}},
		{"connection cut", RulePlannedStop,
			checker{hosts: stopped(0), records: []requestRecord{{Host: "a1", Disconnected: true, Sent: at(9), Ended: at(12.5)}}},
			checker{hosts: stopped(0), records: []requestRecord{{Host: "a1", Disconnected: true, Sent: at(9), Ended: at(11)}}}},
		{"answer cut", RulePlannedStop,
			checker{hosts: stopped(0), records: []requestRecord{{Host: "a1", Disconnected: true, AnswerStarted: true, Sent: at(11.5), Ended: at(12.5)}}},
			checker{hosts: stopped(0), records: []requestRecord{{Host: "a1", Disconnected: true, Sent: at(11.5), Ended: at(12.5)}}}},
		{"shed beside lower work", RuleShed,
			checker{records: []requestRecord{refused, lower}, executions: []execution{finishedExecution("x", 2, 9, 12)}},
			checker{records: []requestRecord{refused, lower}, executions: []execution{finishedExecution("x", 2, 10.5, 12)}}},
		{"shed beside lower work that was revoked", RuleShed,
			checker{records: []requestRecord{refused, lower}, executions: []execution{finishedExecution("x", 2, 9, 12)},
				decisions: decisions{"x": {{at: at(8.9), granted: true}, {at: at(11.5)}}}},
			checker{records: []requestRecord{refused, lower}, executions: []execution{finishedExecution("x", 2, 9, 12)},
				decisions: decisions{"x": {{at: at(8.9), granted: true}, {at: at(10.5)}}}}},
		{"shed beside lower work that was resumed", RuleShed,
			checker{records: []requestRecord{refused, lower}, executions: []execution{finishedExecution("x", 2, 8, 12)},
				decisions: decisions{"x": {{at: at(9)}, {at: at(9.5), granted: true}}}},
			checker{records: []requestRecord{refused, lower}, executions: []execution{finishedExecution("x", 2, 8, 12)},
				decisions: decisions{"x": {{at: at(9)}, {at: at(11.5), granted: true}}}}},
		{"shed beside lower work whose caller had received its end", RuleShed,
			checker{records: []requestRecord{refused, {PromptHash: 2, Host: "a1", Tier: 2, Ended: at(11.5)}}, executions: []execution{finishedExecution("x", 2, 9, 12)}},
			checker{records: []requestRecord{refused, {PromptHash: 2, Host: "a1", Tier: 2, Ended: at(10.9)}}, executions: []execution{finishedExecution("x", 2, 9, 12)}}},
		{"shed under a fault", RuleShed,
			checker{records: []requestRecord{refused, lower}, executions: []execution{finishedExecution("x", 2, 9, 12)},
				faults: []*injectedFault{{Fault: Fault{Kind: KindFloodHigh}, Began: at(1), Ended: at(20)}}},
			checker{records: []requestRecord{refused, lower}, executions: []execution{finishedExecution("x", 2, 9, 12)},
				faults: []*injectedFault{{Fault: Fault{Kind: KindZoneCut}, Began: at(1), Ended: at(6)}}}},
		{"shed beside lower work on a leaving server", RuleShed,
			checker{records: []requestRecord{refused, lower}, executions: []execution{finishedExecution("x", 2, 9, 12)},
				faults: []*injectedFault{{Fault: Fault{Kind: KindLeaving, Target: "a-e2"}, Began: at(1), Ended: at(20)}}},
			checker{records: []requestRecord{refused, lower}, executions: []execution{finishedExecution("x", 2, 9, 12)},
				faults: []*injectedFault{{Fault: Fault{Kind: KindLeaving, Target: "a-e1"}, Began: at(1), Ended: at(20)}}}},
		{"work in an evacuated zone", RuleEvacuated, evacuated(5.1), evacuated(4.9)},
		{"work in an evacuated zone from a host that was stopped", RuleEvacuated,
			evacuated(7.1, &injectedFault{Fault: Fault{Kind: KindPause, Target: "a1"}, Began: at(1), Ended: at(2)}),
			evacuated(6.9, &injectedFault{Fault: Fault{Kind: KindPause, Target: "a1"}, Began: at(1), Ended: at(2)})},
		{"work in an evacuated zone from a host that started in a drill", RuleEvacuated,
			evacuated(20, &injectedFault{Fault: Fault{Kind: KindDrill}, Began: at(10), Ended: at(19)}),
			evacuated(20, &injectedFault{Fault: Fault{Kind: KindDrill}, Began: at(10), Ended: at(19)},
				&injectedFault{Fault: Fault{Kind: KindKill, Target: "a1"}, Began: at(12), Ended: at(13)})},
		{"work in an evacuated zone that a drill lost", RuleEvacuated,
			evacuated(15, &injectedFault{Fault: Fault{Kind: KindDrill}, Began: at(-2), Ended: at(12)}),
			evacuated(15, &injectedFault{Fault: Fault{Kind: KindDrill}, Began: at(-6), Ended: at(12)})},
		{"many requests for a cold server", RuleCold, cold(21, 0.99), cold(21, 1.1)},
		{"revoked key accepted", RuleRevoked, revoked(5.1), revoked(4.9)},
		{"work on a leaving server", RuleLeaving,
			checker{hosts: stopped(0), leavePeriods: leaves, records: []requestRecord{brief}, executions: []execution{finishedExecution("x", 1, 5.5, 6)}},
			checker{hosts: stopped(0), leavePeriods: leaves, records: []requestRecord{brief}, executions: []execution{finishedExecution("x", 1, 4.5, 6)}}},
		{"work on a leaving server after an outage", RuleLeaving,
			checker{hosts: stopped(0), leavePeriods: leaves, records: []requestRecord{brief}, executions: []execution{finishedExecution("x", 1, 9.5, 10)},
				faults: []*injectedFault{{Fault: Fault{Kind: KindPlatformDown}, Began: at(1), Ended: at(4)}}},
			checker{hosts: stopped(0), leavePeriods: leaves, records: []requestRecord{brief}, executions: []execution{finishedExecution("x", 1, 8.5, 10)},
				faults: []*injectedFault{{Fault: Fault{Kind: KindPlatformDown}, Began: at(1), Ended: at(4)}}}},
		{"generation went back", RuleGeneration,
			checker{drops: []generationDrop{{at: at(1), before: 2, now: 1, sameInstance: true}}},
			checker{drops: []generationDrop{{at: at(1), before: 2, now: 1}},
				faults: []*injectedFault{{Fault: Fault{Kind: KindZoneCut}, Began: at(0), Ended: at(2)}}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.bad.applyRules()
			if v := test.bad.result.Violations; len(v) != 1 || v[0].Rule != test.rule {
				t.Errorf("got violations %v, want exactly one, of %q", v, test.rule)
			}
			test.good.applyRules()
			if v := test.good.result.Violations; len(v) != 0 {
				t.Errorf("allowed case reported as violation: %v", v)
			}
		})
	}
}

func TestCalmPhaseNeedsAnswers(t *testing.T) {
	for _, test := range []struct {
		whole      int
		violations int
	}{{19, 0}, {18, 1}} {
		c := checker{result: &Result{Checked: map[Rule]int{}}}
		for i := range 20 {
			c.records = append(c.records, requestRecord{Sent: at(1), Complete: i < test.whole})
		}
		c.checkCalm(at(0), at(2))
		if got := len(c.result.Violations); got != test.violations {
			t.Errorf("%d of 20 answered: %d violations, want %d", test.whole, got, test.violations)
		}
	}
}

// TestDecisionsAreReadFromLogs merges the logs of two hosts, one of which has a
// truncated line.
func TestDecisionsAreReadFromLogs(t *testing.T) {
	directory := t.TempDir()
	for _, name := range hostNames {
		text := ""
		switch name {
		case "a1":
			text = "time=2026-01-01T00:00:02Z level=info msg=revoke request=x tier=2 reason=\"a higher tier\"\n" +
				"time=2026-01-01T00:00:03Z level=in\n" +
				"time=2026-01-01T00:00:04Z level=info msg=grant request=x tier=2\n" +
				"time=2026-01-01T00:00:05Z level=info msg=request request=x status=200\n"
		case "b1":
			text = "time=2026-01-01T00:00:01Z level=info msg=grant request=x tier=2\n"
		}
		if err := os.WriteFile(filepath.Join(directory, name+".log"), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	made, err := readDecisions(directory)
	if err != nil {
		t.Fatal(err)
	}
	for i, want := range []bool{false, false, true, true, false, true} {
		if got := made.grantEndedBy("x", at(float64(i))); got != want {
			t.Errorf("grant ended by second %d: %t, want %t", i, got, want)
		}
	}
}
