package settings_test

import (
	"strings"
	"testing"

	"mimosafront/internal/inifile"
	"mimosafront/internal/settings"
)

func TestDefaultsAreFilledIn(t *testing.T) {
	s, err := settings.Parse("s.ini", []byte("[node]\nname = e1\nzone = a\npolicy_file = p.ini\n[peer]\ninsecure = true\n"))
	if err != nil {
		t.Fatal(err)
	}
	if s.Front.MaxBodyBytes != 1<<20 || s.Peer.HeartbeatMs != 500 || s.Scheduler.Algorithm != settings.SchedulerAlgorithmFair {
		t.Errorf("defaults: %+v", s)
	}
}

func TestFaultsAreReportedTogether(t *testing.T) {
	_, err := settings.Parse("s.ini", []byte("[node]\nname = e1\n[front]\nlisten = localhost:80\nmax_body_bytes = 3\n[peer]\nheartbeat_ms = 5000\n[log]\nlevel = loud\n[colour]\n"))
	if err == nil {
		t.Fatal("invalid settings were accepted")
	}
	for _, want := range []string{
		`s.ini:1: [node] lacks the key "zone"`,
		"s.ini:4: listen = localhost:80 is not ip:port",
		"s.ini:5: max_body_bytes = 3 is below 1024",
		"suspect_ms must exceed heartbeat_ms",
		`s.ini:9: level = "loud" is none of debug`,
		"s.ini:10: unknown section [colour]",
		"neither [platform] address nor [node] policy_file",
		"insecure = true",
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("error does not contain %q:\n%v", want, err)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("[node]\nname = e1\nzone = a\npolicy_file = p.ini\n[peer]\ninsecure = true\n"))
	f.Add([]byte("[node]\nname = e1\n[front]\nlisten = localhost:80\nmax_body_bytes = 3\n[peer]\nheartbeat_ms = 5000\n"))
	f.Add([]byte("[node\nname\n=\n[peer]\nseeds = 1.2.3.4:5,,::1\n[platform]\nreads_per_second = NaN\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := settings.Parse("fuzz", text)
		if err != nil {
			if problems, ok := err.(inifile.Problems); !ok || len(problems) == 0 {
				t.Fatalf("error is not a non-empty list of problems: %v", err)
			}
			return
		}
		if s.Node.Name == "" || s.Peer.SuspectMs <= s.Peer.HeartbeatMs || s.Platform.ReadsPerSecond <= 0 {
			t.Fatalf("invalid settings were accepted: %+v", s)
		}
	})
}

// TestOverridesReplaceSettings checks that an override counts as if it stood in the file, that
// an empty one, of a platform without the field, changes nothing, and that a wrong one ends
// the start with a line that names it.
func TestOverridesReplaceSettings(t *testing.T) {
	const text = "[node]\nname = e1\nzone = a\npolicy_file = p.ini\n[peer]\ninsecure = true\n[scheduler]\ncold_rate_factor = 2\n"
	for _, c := range []struct {
		override string
		want     float64
		problem  string
	}{
		{"scheduler.cold_rate_factor=1.5", 1.5, ""},
		{"scheduler.cold_rate_factor=", 2, ""},
		{"scheduler.cold_rate_factor=many", 0, "cold_rate_factor"},
		{"scheduler.unknown=1", 0, "unknown"},
		{"colours.red=1", 0, "colours"},
	} {
		o, err := settings.ParseOverride(c.override)
		if err != nil {
			t.Fatal(err)
		}
		s, err := settings.Parse("s.ini", []byte(text), o)
		switch {
		case c.problem != "" && (err == nil || !strings.Contains(err.Error(), c.problem)):
			t.Errorf("%s: error %v, want one that names %s", c.override, err, c.problem)
		case c.problem == "" && (err != nil || s.Scheduler.ColdRateFactor != c.want):
			t.Errorf("%s: %v, want %g", c.override, err, c.want)
		}
	}
	for _, text := range []string{"scheduler=1", "scheduler.cold_rate_factor", ".x=1", "scheduler.=1"} {
		if _, err := settings.ParseOverride(text); err == nil {
			t.Errorf("%q is accepted", text)
		}
	}
}
