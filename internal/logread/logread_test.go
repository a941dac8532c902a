package logread

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func read(t *testing.T, text string) []Record {
	t.Helper()
	var records []Record
	if err := Lines(strings.NewReader(text), func(r Record) { records = append(records, r) }); err != nil {
		t.Fatal(err)
	}
	return records
}

func TestBothFormats(t *testing.T) {
	for name, text := range map[string]string{
		"logfmt": `time=2026-03-04T05:06:07.000000008Z level=info msg="policy in force" source="peer e2" generation=7`,
		"json":   `{"time":"2026-03-04T05:06:07.000000008Z","level":"info","msg":"policy in force","generation":7,"source":"peer e2"}`,
	} {
		records := read(t, text)
		if len(records) != 1 {
			t.Fatalf("%s: %d records", name, len(records))
		}
		r := records[0]
		if !r.Time.Equal(time.Date(2026, 3, 4, 5, 6, 7, 8, time.UTC)) || r.Level != "info" || r.Message != "policy in force" {
			t.Errorf("%s: %+v", name, r)
		}
		if r.Value("generation") != "7" || r.Value("source") != "peer e2" || r.Has("request") || r.Value("request") != "" {
			t.Errorf("%s: fields %v", name, r.Fields)
		}
	}
}

func TestOtherLinesAreSkipped(t *testing.T) {
	text := "panic: no\n\n{\"time\":\"2026-03-04T05:06:0\n" +
		"time=2026-03-04T05:06:07Z level=info msg=stopped\n" +
		"time=yesterday level=info msg=stopped\ntime=2026-03-04T05:06:07Z level=info msg=\"cut\n"
	if records := read(t, text); len(records) != 1 || records[0].Message != "stopped" {
		t.Errorf("records %+v", records)
	}
}

func TestFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "e1.log")
	if err := File(path, nil); err == nil {
		t.Error("no error for a missing file")
	}
	if err := os.WriteFile(path, []byte(strings.Repeat("x", maxLineBytes+1)), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := File(path, nil); err == nil || !strings.Contains(err.Error(), path) {
		t.Errorf("line over maxLineBytes: error %v", err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`time=2026-03-04T05:06:07Z level=info msg="a b" request=r1`))
	f.Add([]byte(`{"time":"2026-03-04T05:06:07Z","level":"info","msg":"a","n":[1]}`))
	f.Add([]byte("{"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if r, ok := Parse(text); ok && (r.Time.IsZero() || r.Message == "") {
			t.Errorf("record %+v without time or message", r)
		}
	})
}
