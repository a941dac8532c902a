package policy_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"mimosafront/internal/message"
	"mimosafront/internal/policy"
)

func TestExamplesAreAccepted(t *testing.T) {
	paths, err := filepath.Glob("../../examples/*.policy.ini")
	if err != nil || len(paths) < 2 {
		t.Fatalf("examples: %v, %v", paths, err)
	}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		p, err := policy.Parse(path, text)
		if err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		if len(p.Pools()) != 6 {
			t.Errorf("%s: pools %v, want a model and a service in 3 zones", path, p.Pools())
		}
	}
}

func TestAuthenticateAndPools(t *testing.T) {
	text, err := os.ReadFile("../../examples/consortium.policy.ini")
	if err != nil {
		t.Fatal(err)
	}
	p, err := policy.Parse("consortium", text)
	if err != nil {
		t.Fatal(err)
	}
	caller, ok := p.Authenticate("demo-tejo-crew-1")
	if !ok || caller.Organisation != "tejo" {
		t.Errorf("Authenticate: %+v, %v", caller, ok)
	}
	if _, ok := p.Authenticate("demo-nobody"); ok {
		t.Error("an unknown key was accepted")
	}
	pool := message.Pool{Zone: "lisbon-a", Target: "fountain-vision"}
	if n := len(p.PoolServers(pool)); n != 4 {
		t.Errorf("%v has %d servers, want 4", pool, n)
	}
}

func TestAllProblemsAreReportedTogether(t *testing.T) {
	text := `[policy]
generation = 0
colour = red
[tier brief]
rank = 0
[tier caption]
rank = 0
[organisation engravers]
tiers = brief, gold
[caller anna]
organisation = nobody
key_sha256 = xyz
[server s1]
zone = nowhere
address = example.org
models = m1
[tier brief]
rank = 3
what is this
`
	_, err := policy.Parse("bad.ini", []byte(text))
	if err == nil {
		t.Fatal("a faulty file was accepted")
	}
	for _, want := range []string{
		"bad.ini:2: generation = 0 is below 1",
		`bad.ini:3: unknown key "colour"`,
		"same rank 0",
		`bad.ini:8: organisation engravers: no tier "gold"`,
		`bad.ini:10: caller anna: no organisation "nobody"`,
		`bad.ini:12: key_sha256 = "xyz" does not match`,
		`bad.ini:13: server s1: no zone "nowhere"`,
		`bad.ini:13: server s1: address "example.org" is not ip:port`,
		`bad.ini:13: server s1: no model "m1"`,
		"bad.ini:17: section [tier brief] stands twice, first on line 4",
		"bad.ini:19: expected [section] or key = value",
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("missing %q in:\n%v", want, err)
		}
	}
}

func TestMultiLineValuesAreRejected(t *testing.T) {
	for _, value := range []string{`"""a`, "`a", `"""a"""`} {
		_, err := policy.Parse("bad.ini", []byte("[policy]\ngeneration = 1\nassociation = "+value+"\n[tier t]\nrank = 0\n"))
		want := "bad.ini:3: key \"association\": values can't begin with \"\"\" or a backquote"
		if err == nil || err.Error() != want {
			t.Errorf("%s: %v", value, err)
		}
	}
}
