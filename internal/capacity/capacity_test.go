package capacity

import (
	"math"
	"strings"
	"testing"
)

const output = `goos: linux
BenchmarkAsk/organisations=10/waiting=100-10   	 1000	 110 ns/op	 8 B/op
BenchmarkAsk/organisations=10/waiting=200-10   	 1000	 210 ns/op	 8 B/op
BenchmarkAsk/organisations=10/waiting=300-10   	 1000	 310 ns/op	 8 B/op
BenchmarkAsk/organisations=10/waiting=400-10   	 1000	 450 ns/op	 8 B/op
BenchmarkOther-10   	 1000	 450 ns/op
PASS
`

func TestFits(t *testing.T) {
	samples, err := Read(strings.NewReader(output))
	if err != nil {
		t.Fatal(err)
	}
	fits := Fits(samples)
	if len(samples) != 5 || len(fits) != 2 {
		t.Fatalf("%d samples, %d fits", len(samples), len(fits))
	}
	// Least squares of 110, 210, 310, 450 over 100..400: slope 1.12, intercept -10.
	fit := fits[1]
	if fit.Metric != "ns/op" || fit.Fixed != "organisations=10" ||
		math.Abs(fit.Slope-1.12) > 1e-9 || math.Abs(fit.Intercept+10) > 1e-9 {
		t.Errorf("fit = %v", fit)
	}
	if math.Abs(fit.At(1000)-1110) > 1e-9 || math.Abs(fit.Residual-16.0/450) > 1e-9 {
		t.Errorf("at 1000: %v, residual %v", fit.At(1000), fit.Residual)
	}
}
