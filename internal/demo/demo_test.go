package demo

import (
	"bytes"
	"strings"
	"testing"
)

// TestRun runs the whole demo; Run fails if a request ends otherwise than
// planned.
func TestRun(t *testing.T) {
	var out bytes.Buffer
	if err := Run(t.Context(), Options{Out: &out}); err != nil {
		t.Fatalf("%v\n%s", err, out.String())
	}
	for _, want := range []string{"operation, sent again (answer replayed)", "ASSOCIATION", "msg=grant", "msg=dispatch", "code=unauthorized"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("output lacks %q", want)
		}
	}
	if strings.Contains(out.String(), "demo-") {
		t.Error("the output shows a caller's key")
	}
}
