package explain

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const frontLog = `time=2026-03-04T05:00:00Z level=info msg=started host=e1 zone=a
time=2026-03-04T05:06:00Z level=info msg="policy in force" generation=7 source=platform
time=2026-03-04T05:06:01Z level=info msg=dispatch request=r1 server=engine-1 grant=g1 wait_ms=20
time=2026-03-04T05:06:01.5Z level=info msg=dispatch request=r2 server=engine-2 grant=g2 wait_ms=20
time=2026-03-04T05:06:02Z level=info msg=eject server=engine-1 reason="it is slow"
time=2026-03-04T05:06:02Z level=info msg=eject server=engine-3 reason="it is slow"
time=2026-03-04T05:06:03Z level=info msg=request request=r1 status=504 verdict=may_have_run code=server_silent error="backend server engine-1 went silent"
time=2026-03-04T05:06:04Z level=info msg="refusals folded" kind=request organisation=north tier=caption reason=shed count=3 requests=r3,r4,r5
time=2026-03-04T05:06:04Z level=warn msg="log lines dropped" decision=40 state=0 end=2
time=2026-03-04T06:00:00Z level=info msg=stopping
`

const coordinatorLog = `time=2026-03-04T05:00:00Z level=info msg=started host=e2 zone=a
time=2026-03-04T05:06:00.99Z level=info msg=grant request=r1 server=engine-1 grant=g1 policy=7 report_age_ms=1200
time=2026-03-04T05:06:09Z level=info msg=grant request=r9 server=engine-1 grant=g9
`

// writeLogs writes the logs of the front and the coordinator of the requests, and of a
// host that was not involved.
func writeLogs(t *testing.T) []string {
	t.Helper()
	dir := t.TempDir()
	var paths []string
	for name, text := range map[string]string{
		"one.log": frontLog, "two.log": coordinatorLog,
		"three.log": "time=2026-03-04T05:06:01Z level=info msg=membership event=left host=e9\n",
	} {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		paths = append(paths, path)
	}
	return paths
}

func timelineOf(t *testing.T, id string) (*Timeline, string) {
	t.Helper()
	s, err := Read(id, writeLogs(t))
	if err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	s.Print(&text)
	return s, text.String()
}

func TestTimelineOfFailedRequest(t *testing.T) {
	_, got := timelineOf(t, "r1")
	want, err := os.ReadFile("testdata/failed.txt")
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("got:\n%s\nwant:\n%s", got, want)
	}
}

func TestTimelineOfFoldedRefusal(t *testing.T) {
	s, text := timelineOf(t, "r4")
	end := s.End()
	if end == nil || end.Others != 2 || !strings.Contains(text, "end: refused before it ran (shed), in one line with 2 others") {
		t.Errorf("end %+v, text:\n%s", end, text)
	}
}

// TestTimelineWithoutEnd checks that the timeline of a request without an end line
// reports the lines that were dropped at about that time.
func TestTimelineWithoutEnd(t *testing.T) {
	s, text := timelineOf(t, "r2")
	if s.End() != nil || s.Dropped != 42 || !strings.Contains(text, "end: not in these logs") {
		t.Errorf("dropped %d, text:\n%s", s.Dropped, text)
	}
}

func TestUnknownRequest(t *testing.T) {
	if s, text := timelineOf(t, "r0"); len(s.Entries) > 0 || !strings.Contains(text, "no line") {
		t.Errorf("text %q", text)
	}
	if _, err := Read("r1", []string{filepath.Join(t.TempDir(), "none.log")}); err == nil {
		t.Error("no error for a missing log file")
	}
}
