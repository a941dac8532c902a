package soak

import (
	"fmt"
	"net/http"
	"time"

	"mimosafront/internal/standin/engine"
	"mimosafront/internal/verdict"
)

// Rule names an invariant that is checked after a run.
type Rule string

// The rules. Reports print them under these texts.
const (
	RuleDispatchedOnce Rule = "dispatched at most once"
	RuleOperationOnce  Rule = "operation run at most once"
	RuleNotRun         Rule = "not_run was not run"
	RuleAnswerMatches  Rule = "whole answers are the request's own"
	RulePlannedStop    Rule = "planned stop cuts nothing"
	RuleShed           Rule = "higher tier not shed beside a lower"
	RuleLeaving        Rule = "nothing new on a leaving server"
	RuleAnnounced      Rule = "nothing new after an announced leave"
	RuleEndless        Rule = "endless answers are cut off"
	RulePolicy         Rule = "newest policy in force after heal"
	RuleGeneration     Rule = "generation never lower"
	RuleRecovery       Rule = "serves normally after heal"
	RuleEvacuated      Rule = "nothing new in an evacuated zone"
	RuleCold           Rule = "cold servers get few requests"
	RuleRevoked        Rule = "revoked keys stay refused"
)

// rules lists all rules in the order of the report.
var rules = []Rule{
	RuleDispatchedOnce, RuleOperationOnce, RuleNotRun, RuleAnswerMatches, RulePlannedStop, RuleShed, RuleLeaving, RuleAnnounced, RuleEndless, RulePolicy, RuleGeneration, RuleRecovery,
	RuleEvacuated, RuleCold, RuleRevoked,
}

const (
	// settleTime is how long a fault counts as active after its end.
	settleTime = 5 * time.Second
	// leavingGrace is how long a host may dispatch to a leaving server after reading
	// the host list; hostListLag is how long the list takes to reach a host.
	leavingGrace = 3 * time.Second
	hostListLag  = 2 * time.Second
	// acceptTimeout bounds the time until a host accepts a request.
	acceptTimeout = time.Second
)

// Violation describes a rule that did not hold.
type Violation struct {
	Rule   Rule
	Detail string
	// Requests are the IDs of the affected requests.
	Requests []string
}

// execution is a request in the journal of an engine, with the engine's name.
type execution struct {
	engine.Entry
	server string
}

// checker holds the data of a finished run and applies the rules to it.
type checker struct {
	faults          []*injectedFault
	records         []requestRecord
	verdicts        map[string][]verdict.Verdict
	operationBodies []string
	executions      []execution
	// decisions are the grants and revocations in the daemons' logs.
	decisions decisions
	// executionsByHash and recordByHash are indexed by prompt hash.
	executionsByHash map[uint64][]execution
	recordByHash     map[uint64]*requestRecord
	hosts            map[string]*host
	leavePeriods     []*leavePeriod
	// announcedLeaves are the intervals in which engines announced that they are leaving.
	announcedLeaves []*leavePeriod
	// endless are the endless answers of engines.
	endless []endlessAnswer
	drops   []generationDrop
	// evacuations, coldPeriods and probes are those of a run with a store.
	evacuations []*evacuationPeriod
	coldPeriods []*coldPeriod
	probes      []revokedProbe
	result      *Result
}

// check applies all rules to a run that has ended.
func (r *run) check() (*Result, error) {
	logged, err := readDecisions(r.config.Directory)
	if err != nil {
		return nil, err
	}
	c := &checker{
		decisions: logged,
		faults:    r.injected, records: r.callers.records, verdicts: r.operations.verdicts, hosts: r.fleet.hosts,
		leavePeriods: r.fleet.leavePeriods, announcedLeaves: r.fleet.announcedLeaves, drops: r.watch.drops,
		evacuations: r.fleet.evacuations, coldPeriods: r.fleet.coldPeriods, probes: r.probes,
	}
	for name, e := range r.fleet.engines {
		for _, answer := range e.EndlessAnswers() {
			c.endless = append(c.endless, endlessAnswer{answer, name})
		}
		for _, entry := range e.Journal() {
			if entry.Kind == engine.KindRequest {
				c.executions = append(c.executions, execution{entry, name})
			}
		}
	}
	for _, entry := range r.fleet.registry.Journal() {
		if entry.Status == http.StatusCreated {
			c.operationBodies = append(c.operationBodies, entry.Body)
		}
	}
	c.applyRules()
	c.result.Checked[RulePolicy] = len(hostNames)
	c.result.Checked[RuleGeneration] = r.watch.reads
	c.checkCalm(r.calmBegin, r.calmEnd)
	c.result.Violations = append(c.result.Violations, r.failures...)
	return c.result, nil
}

// applyRules applies the rules that need only journals, records and logs.
func (c *checker) applyRules() {
	c.result = &Result{Faults: c.faults, Records: c.records, Checked: map[Rule]int{}, Operations: operationCounts{}}
	c.executionsByHash, c.recordByHash = map[uint64][]execution{}, map[uint64]*requestRecord{}
	for _, e := range c.executions {
		c.executionsByHash[e.Seed] = append(c.executionsByHash[e.Seed], e)
	}
	for i := range c.records {
		c.recordByHash[c.records[i].PromptHash] = &c.records[i]
	}
	c.addPoisonCrashes()
	c.checkDispatchedOnce()
	c.checkOperations()
	c.checkAnswers()
	c.checkPlannedStops()
	c.checkStore()
	c.checkShed()
	c.checkLeaving()
	c.checkAnnouncedLeaves()
	c.checkEndless()
	c.checkGenerations()
}

// addPoisonCrashes adds the engine crashes caused by poison requests to the faults.
func (c *checker) addPoisonCrashes() {
	for _, e := range c.executions {
		if sender := c.recordByHash[e.Seed]; sender != nil && sender.Poison {
			c.faults = append(c.faults, &injectedFault{
				Fault: Fault{Kind: KindEngineCrash, Target: e.server}, Began: e.Time, Ended: e.Ended.Add(engineConfig.DownTime),
			})
		}
	}
}

func (c *checker) addViolation(rule Rule, requests []string, format string, args ...any) {
	c.result.Violations = append(c.result.Violations, Violation{Rule: rule, Detail: fmt.Sprintf(format, args...), Requests: requests})
}

func (c *checker) executionIDs(seed uint64) []string {
	var ids []string
	for _, e := range c.executionsByHash[seed] {
		ids = append(ids, e.ID)
	}
	return ids
}

// checkDispatchedOnce reports requests that engines received twice, by ID and by
// prompt. Poison prompts are checked by ID only: their caller sends each twice, under
// two IDs.
func (c *checker) checkDispatchedOnce() {
	byID := map[string]int{}
	for _, e := range c.executions {
		byID[e.ID]++
	}
	c.result.Checked[RuleDispatchedOnce] = len(byID)
	for id, n := range byID {
		if n > 1 {
			c.addViolation(RuleDispatchedOnce, []string{id}, "request %s was dispatched %d times", id, n)
		}
	}
	for seed, executions := range c.executionsByHash {
		sender := c.recordByHash[seed]
		if len(executions) > 1 && sender != nil && !sender.Poison {
			c.addViolation(RuleDispatchedOnce, c.executionIDs(seed), "the prompt %q was dispatched %d times", sender.Prompt, len(executions))
		}
	}
}

func (c *checker) checkOperations() {
	runs := map[string]int{}
	for _, body := range c.operationBodies {
		runs[body]++
	}
	for body, n := range runs {
		if n > 1 {
			c.addViolation(RuleOperationOnce, nil, "%s ran %d times", body, n)
		}
	}
	c.result.Checked[RuleOperationOnce] = len(runs)
	for body, verdicts := range c.verdicts {
		for _, v := range verdicts {
			c.result.Operations[v]++
			if v == verdict.NotRun && runs[body] > 0 || v == verdict.Ran && runs[body] == 0 {
				c.addViolation(RuleNotRun, nil, "%s was reported as %s and ran %d times", body, v, runs[body])
			}
		}
	}
}

// checkAnswers reports requests that ran although their verdict was not_run, and
// complete answers whose text differs from the expected one.
func (c *checker) checkAnswers() {
	for _, r := range c.records {
		if r.Verdict == verdict.NotRun && !r.Poison {
			c.result.Checked[RuleNotRun]++
			if len(c.executionsByHash[r.PromptHash]) > 0 {
				c.addViolation(RuleNotRun, c.executionIDs(r.PromptHash), "%q through %s was reported as not run (%s), but %s ran it", r.Prompt, r.Host, r.Code, c.executionsByHash[r.PromptHash][0].server)
			}
		}
		if r.Complete {
			c.result.Checked[RuleAnswerMatches]++
			if !r.Matches {
				c.addViolation(RuleAnswerMatches, c.executionIDs(r.PromptHash), "%q through %s got a whole answer that does not match its prompt", r.Prompt, r.Host)
			}
		}
	}
}

// checkGenerations reports hosts whose policy generation decreased. A restarted host
// is exempt while a fault cuts links, since it may be unable to reach other hosts, and
// during a drill, when it lists the store's earlier copy before other hosts correct it.
func (c *checker) checkGenerations() {
	for _, d := range c.drops {
		linksCut := c.faultActive(d.at.Add(-settleTime), d.at, func(in *injectedFault) bool {
			return in.Kind == KindZoneCut || in.Kind == KindOneWayCut || in.Kind == KindSilentLinks || in.Kind == KindDrill
		})
		if d.sameInstance || !linksCut {
			c.addViolation(RuleGeneration, nil, "%s went from generation %d to %d, same process: %t", d.host, d.before, d.now, d.sameInstance)
		}
	}
}

// checkCalm reports a violation if fewer than minAnsweredShare of the requests of the
// calm phase, which has no faults but a leaving server, were answered.
func (c *checker) checkCalm(from, to time.Time) {
	sent, whole, failed := 0, 0, map[string]int{}
	for _, r := range c.records {
		if r.Poison || r.Sent.Before(from) || r.Sent.After(to) {
			continue
		}
		sent++
		if r.Complete {
			whole++
		} else {
			failed[fmt.Sprintf("%s %s %s", r.Host, tiers[r.Tier], r.Code)]++
		}
	}
	c.result.Checked[RuleRecovery] = sent
	if sent == 0 || float64(whole) < minAnsweredShare*float64(sent) {
		c.addViolation(RuleRecovery, nil, "%d of %d requests of the calm phase were answered; the others by host, tier and code: %v", whole, sent, failed)
	}
}

// settleTime returns how long the fault counts as active after its end.
func (in *injectedFault) settleTime() time.Duration {
	if in.Kind == KindAnnouncedLeave {
		return announcementTTL
	}
	return settleTime
}

// faultActive reports whether a fault selected by counts was active, settleTime
// included, at some time in an interval.
func (c *checker) faultActive(from, to time.Time, counts func(*injectedFault) bool) bool {
	for _, in := range c.faults {
		if counts(in) && in.Began.Before(to) && in.Ended.Add(in.settleTime()).After(from) {
			return true
		}
	}
	return false
}
