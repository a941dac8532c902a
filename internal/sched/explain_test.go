package sched

import (
	"cmp"
	"fmt"
	"hash/maphash"
	"maps"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// stateHash hashes all that can be reached from a value, but functions.
type stateHash struct {
	maphash.Hash
	seen map[uintptr]bool
}

func (h *stateHash) add(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() && !h.seen[v.Pointer()] {
			h.seen[v.Pointer()] = true
			h.add(v.Elem())
		}
	case reflect.Struct:
		for i := range v.NumField() {
			h.add(v.Field(i))
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			h.add(v.Index(i))
		}
	case reflect.Map:
		keys := v.MapKeys()
		slices.SortFunc(keys, func(a, b reflect.Value) int { return cmp.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
		for _, key := range keys {
			_, _ = h.WriteString(fmt.Sprint(key))
			h.add(v.MapIndex(key))
		}
	case reflect.Interface:
		if !v.IsNil() {
			h.add(v.Elem())
		}
	case reflect.String:
		maphash.WriteComparable(&h.Hash, v.String())
	case reflect.Bool:
		maphash.WriteComparable(&h.Hash, v.Bool())
	case reflect.Float64:
		maphash.WriteComparable(&h.Hash, v.Float())
	case reflect.Func:
	default:
		if v.CanInt() {
			maphash.WriteComparable(&h.Hash, v.Int())
		} else {
			maphash.WriteComparable(&h.Hash, v.Uint())
		}
	}
}

var stateSeed = maphash.MakeSeed()

func stateOf(p *Pool) uint64 {
	h := &stateHash{seen: map[uintptr]bool{}}
	h.SetSeed(stateSeed)
	h.add(reflect.ValueOf(p))
	return h.Sum64()
}

func TestExplainTellsWhyServersAreLeftOut(t *testing.T) {
	p := newTestPool(5, 1000)
	p.config.ColdOverage.Slack = 10 // the whole rate for each coordinator
	list := make([]Server, len(p.servers))
	for i, s := range p.servers {
		list[i] = s.Server
	}
	list[0].Leaving, list[1].Evacuated, list[2].RequestsPerS = true, true, 2
	list[3].ColdRequestsPerS, list[3].ColdUntil = 2, start.Add(time.Second)
	p.SetServers(start, list)
	r := Request{ID: "r", PromptTokens: 10, OutputTokens: 1, Excluded: []string{"s4"}, Deadline: start.Add(time.Minute)}
	now := start.Add(100 * time.Millisecond)
	before := stateOf(p)
	got := map[string]string{}
	for _, c := range p.Explain(now, r).Candidates {
		got[c.Server] = c.LeftOut
	}
	want := map[string]string{
		"s0": "leaving", "s1": "its zone is evacuated", "s2": "limited to 2 requests a second",
		"s3": "cold for 900 ms more, limited to 2 requests a second", "s4": "excluded by the request",
	}
	if !maps.Equal(got, want) || stateOf(p) != before {
		t.Errorf("left out: %v, want %v, and the state unchanged", got, want)
	}
}

// Explaining a request must change nothing, and must say what then happens to it.
func TestExplainChangesNothingAndIsTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModelPool(t)
		m.pool.config.PrefixWeighing = rapid.Bool().Draw(t, "weighing")
		m.pool.SetLimits(m.now, map[string]Limits{"a": {ClaimLimit: 4000, ClaimWindow: time.Second}, "b": {TokensPerMinute: 100_000}})
		add := func(t *rapid.T) {
			if rapid.IntRange(0, 5).Draw(t, "explain") > 0 {
				m.add(t)
				return
			}
			idle := m.pool.queue.waiting == 0
			r := m.newRequest(t)
			r.Claim = r.PromptTokens
			before := stateOf(m.pool)
			e := m.pool.Explain(m.now, r)
			if stateOf(m.pool) != before {
				t.Fatalf("the explanation of %s changed the pool", r.ID)
			}
			m.pool.Add(m.now, r)
			for _, a := range m.pool.actions {
				switch {
				case a.Request.ID != r.ID || r.NoWait:
				case a.Kind == ActionRefuse && !m.pool.callTime.Before(r.Deadline):
				case a.Kind == ActionRefuse && e.Refusal != "" && e.Refusal != a.Refusal:
					t.Fatalf("%s was refused with %q (%s), explained as %q", r.ID, a.Refusal, a.Reason, e.Refusal)
				case a.Kind == ActionGrant && e.Refusal != "":
					t.Fatalf("%s was granted, explained as refused: %s", r.ID, e.Reason)
				case a.Kind == ActionGrant && idle && e.Candidates[0].LeftOut == "":
					i := slices.IndexFunc(e.Candidates, func(c Candidate) bool { return c.Server == a.Server })
					if c := e.Candidates[i]; c.LeftOut != "" || c.Score != e.Candidates[0].Score {
						t.Fatalf("%s was granted on %s, explained as %+v", r.ID, a.Server, e.Candidates)
					}
				}
			}
			if m.pool.IsWaiting(r.ID) && m.pool.queue.waiting == e.Waiting+1 {
				ahead := 0
				m.pool.EachWaiting(func(w WaitingRequest) bool {
					ahead++
					return w.ID != r.ID
				})
				if ahead-1 != e.Ahead {
					t.Fatalf("%d requests are served before %s, explained as %d", ahead-1, r.ID, e.Ahead)
				}
			}
			m.check(t)
		}
		t.Repeat(map[string]func(*rapid.T){
			"add": add, "add more": add, "release": m.release, "progress": m.progress, "park": m.park,
			"withdraw": m.withdraw, "advance": m.advance, "leave": m.leave, "": m.check,
		})
	})
}
