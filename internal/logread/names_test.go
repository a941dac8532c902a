package logread

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"mimosafront/internal/eventlog"
)

// TestNamesOfOperatorsInLogs guards against a name that ends a log line, adds a field to it or
// is read back as another one.
func TestNamesOfOperatorsInLogs(t *testing.T) {
	for _, name := range []string{
		"Crew #2", `"Crew"`, "a=b", "a b=c", "a\nmsg=forged", "a\r\nb", "\x00", "a\x1b[2J", `a\`, `a\u0023`, "", " Crew ", "équipe", "組織", "🚲", "\u2028",
	} {
		var out bytes.Buffer
		eventlog.NewDirect(&out).Info("dispatch", "organisation", name, "tier", "p0r0")
		if lines := strings.Count(out.String(), "\n"); lines != 1 {
			t.Errorf("%q: %d lines: %q", name, lines, out.String())
		}
		record, ok := Parse(bytes.TrimSpace(out.Bytes()))
		if got := fmt.Sprint(record.Value("organisation"), " ", record.Value("tier")); !ok || got != name+" p0r0" {
			t.Errorf("%q is read as %q from %q", name, got, out.String())
		}
	}
}
