package policystore_test

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"mimosafront/internal/epoch"
	"mimosafront/internal/policy"
	"mimosafront/internal/policystore"
)

// read is a policy as it was read from the platform's store.
type read struct {
	generation, content int
	written             epoch.Span
}

// TestPoliciesAreOrderedByEpoch replays drills, in which the store returns from a copy, for
// one host.
func TestPoliciesAreOrderedByEpoch(t *testing.T) {
	for name, c := range map[string]struct {
		reads []read
		want  string
	}{
		"the copy's":                                     {[]read{{4, 0, epoch.In(1)}, {5, 0, epoch.In(1)}, {4, 0, epoch.Until(2)}}, "5/0 in 1"},
		"written again":                                  {[]read{{5, 0, epoch.In(1)}, {5, 0, epoch.In(2)}}, "5/0 in 2"},
		"all written again in turn":                      {[]read{{4, 0, epoch.In(1)}, {5, 0, epoch.In(1)}, {4, 0, epoch.In(2)}}, "5/0 in 1"},
		"lower generation":                               {[]read{{5, 0, epoch.In(1)}, {3, 9, epoch.In(2)}}, "3/9 in 2"},
		"same generation, other content":                 {[]read{{5, 0, epoch.Until(1)}, {5, 9, epoch.In(2)}}, "5/9 in 2"},
		"listed, other content":                          {[]read{{5, 0, epoch.In(1)}, {5, 9, epoch.Until(2)}}, "5/0 in 1"},
		"listed, higher generation":                      {[]read{{5, 0, epoch.In(1)}, {6, 9, epoch.Until(2)}}, "6/9 in 0-2"},
		"a peer knows better than the copy":              {[]read{{4, 0, epoch.Until(2)}, {5, 0, epoch.In(1)}}, "5/0 in 1"},
		"a peer out of touch":                            {[]read{{3, 9, epoch.Until(2)}, {5, 0, epoch.In(1)}, {3, 9, epoch.In(2)}}, "3/9 in 2"},
		"a peer of an earlier epoch":                     {[]read{{3, 9, epoch.In(2)}, {5, 0, epoch.In(1)}}, "3/9 in 2"},
		"higher generation, earlier epoch":               {[]read{{3, 9, epoch.In(2)}, {8, 0, epoch.Until(1)}}, "3/9 in 2"},
		"read after a host of an earlier build named it": {[]read{{5, 0, epoch.Span{}}, {5, 0, epoch.In(1)}, {4, 9, epoch.In(2)}}, "4/9 in 2"},
		"a host of an earlier build":                     {[]read{{5, 0, epoch.In(2)}, {6, 1, epoch.Span{}}, {4, 0, epoch.Span{}}}, "6/1 in 0-"},
	} {
		store := policystore.New()
		for _, r := range c.reads {
			var stale *policystore.StaleError
			var conflict *policystore.ConflictError
			before := store.Version()
			offered := newPolicy(t, r.generation, r.content)
			takes := store.Supersedes(policystore.Version{Generation: offered.Generation, Digest: offered.Digest, Written: r.written})
			if err := store.OfferWritten(offered, "test", r.written); err != nil && !errors.As(err, &stale) && !errors.As(err, &conflict) {
				t.Fatal(err)
			}
			after := store.Version()
			changed := after.Digest != before.Digest || before.Written.Before(after.Written)
			if changed != takes {
				t.Errorf("%s: offer of %+v changed the version: %t, Supersedes said %t", name, r, changed, takes)
			}
		}
		p := store.Current()
		if got := fmt.Sprintf("%d/%s in %s", p.Generation, p.Association[1:], store.Version().Written); got != c.want {
			t.Errorf("%s: %s in force, want %s", name, got, c.want)
		}
	}
}

// drill is the model of a property test: a store of one policy that returns from copies,
// and hosts that watch it, list it or hear of each other's policies.
type drill struct {
	stores []*policystore.Store
	// watching are the hosts that have listed the store in this epoch.
	watching []bool
	epoch    int64
	// writes are all policies, oldest first; stored are the indexes of those that the store
	// has had, without what it lost, oldest first.
	writes []*policy.Policy
	stored []int
	// newest is the highest index that each host had in force.
	newest []int
	// numbersFall is set if the operator may number a policy after a drill below one that
	// was lost. A host that lists it can't tell it from the copy's, and takes a higher one
	// of a host that missed it, so hosts don't hear of each other then.
	numbersFall bool
}

func (d *drill) offer(t *rapid.T, host int, p *policy.Policy, written epoch.Span) {
	var stale *policystore.StaleError
	var conflict *policystore.ConflictError
	if err := d.stores[host].OfferWritten(p, "test", written); err != nil && !errors.As(err, &stale) && !errors.As(err, &conflict) {
		t.Fatal(err)
	}
}

// publish writes a policy, which the hosts in touch see.
func (d *drill) publish(t *rapid.T) {
	last := 0
	if n := len(d.stored); n > 0 {
		last = d.writes[d.stored[n-1]].Generation
	}
	for _, p := range d.writes {
		if !d.numbersFall {
			last = max(last, p.Generation-1)
		}
	}
	d.writes = append(d.writes, newPolicy(t, last+rapid.IntRange(1, 2).Draw(t, "step"), len(d.writes)))
	d.write(t, len(d.writes)-1)
}

func (d *drill) write(t *rapid.T, index int) {
	d.stored = append(d.stored, index)
	for host, watching := range d.watching {
		if watching {
			d.offer(t, host, d.writes[index], epoch.In(d.epoch))
		}
	}
}

// list lets a host list the store; it watches it from then on.
func (d *drill) list(t *rapid.T) {
	host := rapid.IntRange(0, len(d.stores)-1).Draw(t, "host")
	if d.watching[host] || len(d.stored) == 0 {
		return
	}
	d.watching[host] = true
	d.offer(t, host, d.writes[d.stored[len(d.stored)-1]], epoch.Until(d.epoch))
}

// hear lets a host hear of the policy of another one.
func (d *drill) hear(t *rapid.T) {
	from := d.stores[rapid.IntRange(0, len(d.stores)-1).Draw(t, "from")]
	if p := from.Current(); p != nil && !d.numbersFall {
		d.offer(t, rapid.IntRange(0, len(d.stores)-1).Draw(t, "to"), p, from.Version().Written)
	}
}

// restore lets the store return from a copy with the policy before the last. The operator
// may write the newest one again.
func (d *drill) restore(t *rapid.T) {
	n := len(d.stored)
	if n < 2 {
		return
	}
	d.epoch, d.stored = d.epoch+1, d.stored[:n-1]
	clear(d.watching)
	d.list(t)
	if rapid.Bool().Draw(t, "written again") {
		d.write(t, len(d.writes)-1)
	}
}

func (d *drill) check(t *rapid.T) {
	for host, store := range d.stores {
		p := store.Current()
		if p == nil {
			continue
		}
		for index, written := range d.writes {
			if written.Digest == p.Digest {
				if index < d.newest[host] {
					t.Fatalf("host %d went back from policy %d to %d", host, d.newest[host], index)
				}
				d.newest[host] = index
			}
		}
	}
}

// TestNoHostGoesBackInADrill checks that no host that knew a policy takes an older one from
// a copy of the store or from another host, and that all hosts in touch with the store have
// the operator's next policy.
func TestNoHostGoesBackInADrill(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts = 3
		d := &drill{numbersFall: rapid.Bool().Draw(t, "numbers fall"), epoch: 1, watching: make([]bool, hosts), newest: make([]int, hosts)}
		for range hosts {
			d.stores = append(d.stores, policystore.New())
		}
		t.Repeat(map[string]func(*rapid.T){"publish": d.publish, "list": d.list, "hear": d.hear, "restore": d.restore, "": d.check})
		d.publish(t)
		for host, watching := range d.watching {
			if last := d.writes[len(d.writes)-1]; watching && d.stores[host].Current().Digest != last.Digest {
				t.Fatalf("host %d watches the store and has generation %d in force, not the last policy", host, d.stores[host].Current().Generation)
			}
		}
	})
}
