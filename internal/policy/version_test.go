package policy

import (
	"strings"
	"testing"
)

func TestVersionsAreChecked(t *testing.T) {
	for keys, want := range map[string]string{
		"replicas = 2\nversion = v2\naccepts = v1": "",
		"version = v2":                      "rolled out only with replicas",
		"replicas = 2\naccepts = v1":        "accepts needs a version",
		"replicas = 2\nmax_unavailable = 3": "exceeds replicas 2",
		"replicas = 2\nmax_unavailable = 0": "max_unavailable",
		"replicas = 2\nversion = v 2":       "version",
	} {
		_, err := Parse("test", []byte("[policy]\ngeneration = 1\n[tier t]\nrank = 0\n[model m]\n"+keys+"\n"))
		if want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Errorf("%q: %v, want %q", keys, err, want)
		}
	}
}

func TestModelServesItsVersions(t *testing.T) {
	for _, c := range []struct {
		model   Model
		version string
		want    bool
	}{
		{Model{}, "v9", true},
		{Model{Version: "v2"}, "v1", true},
		{Model{Version: "v2", Accepts: "v1"}, "v1", true},
		{Model{Version: "v2", Accepts: "v1"}, "v0", false},
		{Model{Version: "v2", Accepts: "v2"}, "v1", false},
		{Model{Version: "v2", Accepts: "v2"}, "v2", true},
	} {
		if got := c.model.AcceptsVersion(c.version); got != c.want {
			t.Errorf("%+v accepts %s: %v", c.model, c.version, got)
		}
	}
}
