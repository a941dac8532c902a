package policy_test

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"mimosafront/internal/message"
	"mimosafront/internal/policy"
)

// randomPolicy returns the text of a random policy, which may be faulty: callers
// without an organisation, servers without a model, equal keys, equal ranks.
func randomPolicy(t *rapid.T, label string, generation int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[policy]\ngeneration = %d\n[zone a]\n", generation)
	count := rapid.IntRange(0, 40)
	for i := range 1 + count.Draw(t, label+" tiers")/20 {
		fmt.Fprintf(&b, "[tier t%d]\nrank = %d\n", i, rapid.IntRange(0, 15).Draw(t, label+" rank"))
	}
	organisations := count.Draw(t, label+" organisations")
	for i := range organisations {
		fmt.Fprintf(&b, "[organisation o%d]\ntiers = t0\nmax_waiting = %d\n", i, rapid.IntRange(0, 2).Draw(t, label+" limit"))
	}
	callers := 0
	if organisations > 0 {
		callers = count.Draw(t, label+" callers")
	}
	for i := range callers {
		key, owner := i, i%organisations
		if rapid.IntRange(0, 200).Draw(t, label+" fault") == 0 {
			key, owner = 0, 99
		}
		fmt.Fprintf(&b, "[caller c%d]\norganisation = o%d\nkey_sha256 = %064x\n", i, owner, key)
	}
	b.WriteString("[model m]\n")
	for i := range count.Draw(t, label+" servers") {
		fmt.Fprintf(&b, "[server s%d]\nzone = a\naddress = 10.0.0.%d:80\nmodels = m\n", i, rapid.IntRange(1, 3).Draw(t, label+" address"))
	}
	return b.String()
}

// tamper applies one random fault to a manifest or its sections that must be detected:
// a missing, renamed, repeated, removed or altered section, another generation, or
// another order.
func tamper(t *rapid.T, m *message.PolicyManifest, sections map[string]string) {
	n := rapid.IntRange(0, len(m.Sections)-1).Draw(t, "section")
	switch rapid.IntRange(0, 6).Draw(t, "tampering") {
	case 0:
		delete(sections, m.Sections[n].Digest)
	case 1:
		m.Sections[n].Name += "-01"
	case 2:
		m.Sections = append(m.Sections, m.Sections[n])
	case 3:
		m.Sections = slices.Delete(m.Sections, n, n+1)
	case 4:
		text := sections[m.Sections[n].Digest] + rapid.SampledFrom([]string{"colour = red\n", "[zone a]\n", "[organisation o0]\n", "\n"}).Draw(t, "text")
		m.Sections[n].Digest = policy.SectionDigest(text)
		sections[m.Sections[n].Digest] = text
	case 5:
		m.Generation++
	case 6:
		slices.Reverse(m.Sections)
	}
	m.Digest = policy.ManifestDigest(*m)
}

// AssembleFrom with any base must return the same policy as Assemble, and must fail if
// and only if Assemble fails.
func TestAssembleFromEqualsAssemble(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, err := policy.Parse("base", []byte(randomPolicy(t, "base", 1)))
		if err != nil {
			t.Skip("no base")
		}
		next, err := policy.Parse("next", []byte(randomPolicy(t, "next", 2)))
		if err != nil {
			t.Skip("no next policy")
		}
		bundle := next.Bundle()
		m, sections := bundle.Manifest, maps.Clone(bundle.Sections)
		m.Sections = slices.Clone(m.Sections)
		if rapid.Bool().Draw(t, "tampered") {
			tamper(t, &m, sections)
		}
		all := maps.Clone(base.Bundle().Sections)
		maps.Copy(all, sections)
		want, wantErr := policy.Assemble(m, all)
		got, gotErr := policy.AssembleFrom(base, m, sections)
		if (wantErr == nil) != (gotErr == nil) {
			t.Fatalf("Assemble: error %v; AssembleFrom: error %v", wantErr, gotErr)
		}
		if wantErr == nil {
			requireEqual(t, want, got)
		}
	})
}

// requireEqual fails the test if the policies, their bundles or their pools differ.
func requireEqual(t *rapid.T, want, got *policy.Policy) {
	if changes := policy.Diff(want, got); len(changes) > 0 {
		t.Fatalf("the derived policy differs: %v", changes)
	}
	if want.Digest != got.Digest || !reflect.DeepEqual(want.Bundle(), got.Bundle()) {
		t.Fatalf("the derived bundle differs: %v, want %v", got.Bundle().Manifest, want.Bundle().Manifest)
	}
	if !reflect.DeepEqual(want.Tiers, got.Tiers) || !reflect.DeepEqual(want.Pools(), got.Pools()) {
		t.Fatalf("tiers %v and pools %v, want %v and %v", got.Tiers, got.Pools(), want.Tiers, want.Pools())
	}
	for _, pool := range want.Pools() {
		if !reflect.DeepEqual(want.PoolServers(pool), got.PoolServers(pool)) {
			t.Fatalf("servers of %v differ", pool)
		}
	}
}

// Checks that a small change takes the incremental path. A derived policy has no text.
func TestSmallChangeIsDerived(t *testing.T) {
	base := mustParse(t, []byte(sizedPolicy(500)))
	next := mustParse(t, []byte(changedPolicy(500)))
	got, err := policy.AssembleFrom(base, next.Bundle().Manifest, next.Bundle().Sections)
	if err != nil {
		t.Fatal(err)
	}
	if got.Text != nil || got.Organisations["org-7"].MaxWaiting != 9 || base.Organisations["org-7"].MaxWaiting != 0 {
		t.Errorf("derived %v, changed organisation %+v, base %+v", got.Text == nil, got.Organisations["org-7"], base.Organisations["org-7"])
	}
}

// changedPolicy returns the next generation of sizedPolicy, with one organisation
// changed.
func changedPolicy(servers int) string {
	text := strings.Replace(sizedPolicy(servers), "generation = 1", "generation = 2", 1)
	return strings.Replace(text, "[organisation org-7]\n", "[organisation org-7]\nmax_waiting = 9\n", 1)
}

// BenchmarkDeriveBySize measures how long a host takes to derive a policy with one
// changed organisation from the previous generation.
func BenchmarkDeriveBySize(b *testing.B) {
	for _, servers := range []int{500, 1000, 2000, 4000} {
		b.Run(fmt.Sprint("servers=", servers), func(b *testing.B) {
			base, err := policy.Parse("base", []byte(sizedPolicy(servers)))
			if err != nil {
				b.Fatal(err)
			}
			next, err := policy.Parse("next", []byte(changedPolicy(servers)))
			if err != nil {
				b.Fatal(err)
			}
			bundle := next.Bundle()
			for b.Loop() {
				if _, err := policy.AssembleFrom(base, bundle.Manifest, bundle.Sections); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// ParseFrom with any base must return the same policy as Parse. The order in which
// faulty references are found differs from run to run, so the test compares only
// whether there is an error.
func TestParseFromEqualsParse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, err := policy.Parse("base", []byte(randomPolicy(t, "base", 1)))
		if err != nil {
			base = nil
		}
		text := []byte(randomPolicy(t, "next", 2))
		if rapid.Bool().Draw(t, "small change") && base != nil {
			text = []byte(strings.Replace(string(base.Text), "generation = 1", "generation = 2", 1) + "[model m2]\n")
		}
		want, wantErr := policy.Parse("next", text)
		got, gotErr := policy.ParseFrom(base, "next", text)
		if (wantErr == nil) != (gotErr == nil) {
			t.Fatalf("ParseFrom: error %v; Parse: error %v", gotErr, wantErr)
		}
		if wantErr == nil && !reflect.DeepEqual(want, got) {
			t.Fatalf("policy\n%+v\nwant\n%+v", got, want)
		}
	})
}
