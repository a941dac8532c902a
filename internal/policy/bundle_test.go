package policy_test

import (
	"fmt"
	"maps"
	"os"
	"reflect"
	"strings"
	"testing"

	"mimosafront/internal/inifile"
	"mimosafront/internal/message"
	"mimosafront/internal/policy"
)

// example returns the text of an example policy.
func example(t testing.TB, name string) []byte {
	t.Helper()
	text, err := os.ReadFile("../../examples/" + name + ".policy.ini")
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// mustParse parses a policy that must be valid.
func mustParse(t testing.TB, text []byte) *policy.Policy {
	t.Helper()
	p, err := policy.Parse("test.ini", text)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// smallPolicy has a section of each kind except route.
const smallPolicy = `# A comment.
[policy]
generation = 1
[zone a]
region = r
[tier t]
rank = 0
[organisation o]
tiers = t
targets = m, s
[caller c]
organisation = o
key_sha256 = bc4464517281c3fb9378647e88be6703d18e2e6c8974953a4540c356948d4d3c
[hardware g]
[model m]
replicas = 1
[service s]
repeatable = GET
[server m1]
zone = a
address = 127.0.0.1:1
hardware = g
models = m
[server s1]
zone = a
address = 127.0.0.1:2
kind = service
services = s
`

// largePolicy returns a policy of the size that the consortium expects in two
// years: 1,600 organisations, two callers each, and 4,000 servers.
func largePolicy(generation int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[policy]\ngeneration = %d\n[zone a]\n[tier t]\nrank = 0\n[hardware g1]\n[model m]\n", generation)
	for i := range 1600 {
		fmt.Fprintf(&b, "[organisation org-%d]\ntiers = t\n", i)
		for j := range 2 {
			fmt.Fprintf(&b, "[caller caller-%d-%d]\norganisation = org-%d\nkey_sha256 = %064x\n", i, j, i, i*2+j)
		}
	}
	for i := range 4000 {
		fmt.Fprintf(&b, "[server s-%d]\nzone = a\naddress = 10.%d.%d.1:80\nhardware = g1\nmodels = m\n", i, i/250, i%250)
	}
	return b.String()
}

func TestAssembleRestoresThePolicy(t *testing.T) {
	for _, name := range []string{"consortium", "workshop"} {
		p := mustParse(t, example(t, name))
		b := p.Bundle()
		again, err := policy.Assemble(b.Manifest, b.Sections)
		if err != nil {
			t.Fatal(err)
		}
		if again.Digest != p.Digest || !reflect.DeepEqual(again.Servers, p.Servers) || !reflect.DeepEqual(again.Callers, p.Callers) ||
			!reflect.DeepEqual(again.Tiers, p.Tiers) || !reflect.DeepEqual(again.Organisations, p.Organisations) {
			t.Errorf("%s: the assembled policy differs from the parsed one", name)
		}
	}
}

func TestDigestIgnoresOrderAndComments(t *testing.T) {
	text := string(example(t, "consortium"))
	sections := strings.Split(text, "\n[")
	for i, j := 1, len(sections)-1; i < j; i, j = i+1, j-1 {
		sections[i], sections[j] = sections[j], sections[i]
	}
	shuffled := strings.Join(sections, "\n\n; a comment\n[")
	a, b := mustParse(t, []byte(text)), mustParse(t, []byte(shuffled))
	if a.Digest != b.Digest {
		t.Error("the digest depends on the order of sections or on comments")
	}
	c := mustParse(t, []byte(strings.Replace(text, "deadline_ms = 10000", "deadline_ms = 10001", 1)))
	if a.Digest == c.Digest {
		t.Error("a changed deadline_ms leaves the digest unchanged")
	}
}

func TestAssembleRejectsInconsistentSections(t *testing.T) {
	text := string(example(t, "consortium"))
	first := mustParse(t, []byte(text)).Bundle()
	second := mustParse(t, []byte(strings.Replace(text, "generation = 1", "generation = 2", 1))).Bundle()
	damaged := maps.Clone(first.Sections)
	for digest := range damaged {
		damaged[digest] += " "
		break
	}
	mixed := second.Manifest
	mixed.Sections = append([]message.PolicySectionRef{first.Manifest.Sections[0]}, second.Manifest.Sections[1:]...)
	forged := mixed
	forged.Digest = policy.ManifestDigest(forged)
	all := maps.Clone(first.Sections)
	maps.Copy(all, second.Sections)
	tests := []struct {
		reason   string
		manifest message.PolicyManifest
		sections map[string]string
	}{
		{"missing", first.Manifest, map[string]string{}},
		{"its text does not match its digest", first.Manifest, damaged},
		{"the manifest does not match its digest", mixed, all},
		{"it holds generation 1", forged, all},
	}
	for _, test := range tests {
		err, ok := assembleError(test.manifest, test.sections).(*policy.BundleError)
		if !ok || err.Reason != test.reason {
			t.Errorf("want a BundleError with the reason %q, got %v", test.reason, err)
		}
	}
}

// assembleError returns the error of Assemble.
func assembleError(m message.PolicyManifest, sections map[string]string) error {
	_, err := policy.Assemble(m, sections)
	return err
}

func TestBundleProblemsNameTheirSections(t *testing.T) {
	sections := map[string]string{}
	m := message.PolicyManifest{Generation: 3}
	for name, text := range map[string]string{"policy": "[policy]\ngeneration = 3\n", "tier": "[tier brief]\nrank = 0\ncolour = red\n"} {
		digest := policy.SectionDigest(text)
		sections[digest] = text
		m.Sections = append(m.Sections, message.PolicySectionRef{Name: name, Digest: digest})
	}
	m.Digest = policy.ManifestDigest(m)
	err := assembleError(m, sections)
	problems, ok := err.(inifile.Problems)
	if !ok || len(problems) != 1 || problems[0].String() != `section tier:3: unknown key "colour" in [tier]` {
		t.Errorf("Assemble returned %v, want one problem of the section tier", err)
	}
}

func TestSmallChangeTransfersFewBytes(t *testing.T) {
	text := largePolicy(1)
	if len(text) > 1<<20 {
		t.Fatalf("the policy has %d bytes, more than one value can hold", len(text))
	}
	before := mustParse(t, []byte(text))
	changed := strings.Replace(largePolicy(2), "[organisation org-7]\ntiers = t", "[organisation org-7]\ntiers = t\nmax_waiting = 9", 1)
	after := mustParse(t, []byte(changed))
	bytes := 0
	for _, ref := range after.Bundle().Manifest.Sections {
		if _, ok := before.Bundle().Sections[ref.Digest]; !ok {
			bytes += ref.Bytes
		}
	}
	const budget = 24 << 10
	if bytes == 0 || bytes > budget {
		t.Errorf("one change of a policy of %d bytes transfers %d bytes of sections, want at most %d", len(text), bytes, budget)
	}
	t.Logf("policy %d bytes, %d sections, one change transfers %d bytes of sections", len(text), len(after.Bundle().Manifest.Sections), bytes)
}

func TestDiffNamesEachChange(t *testing.T) {
	text := string(example(t, "workshop"))
	changed := strings.NewReplacer(
		"generation = 1\n", "generation = 2\n",
		"[caller volunteer-3]", "[caller volunteer-4]",
		"deadline_ms = 10000\n", "deadline_ms = 9000\n",
	).Replace(text)
	var lines []string
	for _, change := range policy.Diff(mustParse(t, []byte(text)), mustParse(t, []byte(changed))) {
		lines = append(lines, change.String())
	}
	want := []string{
		"changed [policy] generation: 1 -> 2",
		"changed [tier order] deadline_ms: 10000 -> 9000",
		"removed [caller volunteer-3]",
		"added [caller volunteer-4]",
	}
	if !reflect.DeepEqual(lines, want) {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(lines, "\n"), strings.Join(want, "\n"))
	}
	if changes := policy.Diff(mustParse(t, []byte(text)), mustParse(t, []byte(text))); len(changes) != 0 {
		t.Errorf("Diff of equal policies returned changes: %v", changes)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(smallPolicy))
	f.Add([]byte("[policy]\ngeneration = 1\n[tier t]\nrank = 0\n"))
	f.Add([]byte("[policy]\ngeneration = 1\nassociation = \"a\n[tier t]\nrank=0 ; x\n[zone \xff]\n"))
	f.Add([]byte("[policy]\r\ngeneration = 1\r\nassociation = `a`\r\n[tier t]\r\nrank = 0\r\n"))
	f.Add([]byte("[policy]\ngeneration = 1\nassociation = \"\"\"a\n[tier u]\nrank = 3\n\"\"\"\n[tier t]\nrank = 0\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		p, err := policy.Parse("fuzz", text)
		if err != nil {
			if problems, ok := err.(inifile.Problems); !ok || len(problems) == 0 {
				t.Fatalf("Parse returned an error other than Problems: %v", err)
			}
			return
		}
		b := p.Bundle()
		again, err := policy.Assemble(b.Manifest, b.Sections)
		if err != nil {
			t.Fatalf("the bundle of a valid policy is rejected: %v", err)
		}
		if changes := policy.Diff(p, again); len(changes) != 0 {
			t.Fatalf("the assembled policy differs from the parsed one: %v", changes)
		}
	})
}

func FuzzAssemble(f *testing.F) {
	f.Add(1, "policy", "[policy]\ngeneration = 1\n", "tier", "[tier t]\nrank = 0\n")
	f.Add(2, "tier", "[tier t]\nrank = 0\n", "policy", "[policy]\ngeneration = 2\n")
	f.Add(0, "", "", "caller-99", "[caller x]\n")
	f.Fuzz(func(t *testing.T, generation int, name1, text1, name2, text2 string) {
		m := message.PolicyManifest{Generation: generation, Sections: []message.PolicySectionRef{
			{Name: name1, Digest: policy.SectionDigest(text1)}, {Name: name2, Digest: policy.SectionDigest(text2)},
		}}
		m.Digest = policy.ManifestDigest(m)
		p, err := policy.Assemble(m, map[string]string{m.Sections[0].Digest: text1, m.Sections[1].Digest: text2})
		if err == nil && (p.Generation != generation || p.Digest != policy.ManifestDigest(m)) {
			t.Fatalf("assembled %d %s from %d %s", p.Generation, p.Digest, generation, policy.ManifestDigest(m))
		}
	})
}

func BenchmarkParseLargePolicy(b *testing.B) {
	text := []byte(largePolicy(1))
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		if _, err := policy.Parse("large", text); err != nil {
			b.Fatal(err)
		}
	}
}
