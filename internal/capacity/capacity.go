// Package capacity fits straight lines to benchmark results and extends them to
// other sizes.
package capacity

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"gonum.org/v1/gonum/stat"
)

// leastPoints is the number of sizes that a fit needs.
const leastPoints = 4

// Sample is one line of benchmark output.
type Sample struct {
	// Name is the benchmark without its parameters and processor count.
	Name string
	// Parameters are the key=value parts of the name.
	Parameters map[string]float64
	// Metrics are the values by unit.
	Metrics map[string]float64
}

var processors = regexp.MustCompile(`-\d+$`)

// Read returns the samples of the output of go test -bench. Other lines are
// skipped.
func Read(r io.Reader) ([]Sample, error) {
	var samples []Sample
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 4 || !strings.HasPrefix(fields[0], "Benchmark") {
			continue
		}
		sample, err := parse(fields)
		if err != nil {
			return nil, fmt.Errorf("%q: %w", lines.Text(), err)
		}
		samples = append(samples, sample)
	}
	return samples, lines.Err()
}

func parse(fields []string) (Sample, error) {
	sample := Sample{Parameters: map[string]float64{}, Metrics: map[string]float64{}}
	var names []string
	for _, part := range strings.Split(processors.ReplaceAllString(fields[0], ""), "/") {
		key, text, found := strings.Cut(part, "=")
		value, err := strconv.ParseFloat(text, 64)
		if !found || err != nil {
			names = append(names, part)
			continue
		}
		sample.Parameters[key] = value
	}
	sample.Name = strings.Join(names, "/")
	for i := 2; i+1 < len(fields); i += 2 {
		value, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return sample, err
		}
		sample.Metrics[fields[i+1]] = value
	}
	return sample, nil
}

// Fit is a straight line through the values of one metric over one parameter.
type Fit struct {
	Name      string
	Metric    string
	Parameter string
	// Fixed names the other parameters.
	Fixed string
	// Sizes and Values are the points, in the order of the sizes.
	Sizes  []float64
	Values []float64
	// Intercept and Slope give the line.
	Intercept float64
	Slope     float64
	// Residual is the largest distance of a point from the line, as a part of
	// the largest value.
	Residual float64
}

// At returns the line's value for a size.
func (f Fit) At(size float64) float64 { return f.Intercept + f.Slope*size }

// String returns the fit as one line of text.
func (f Fit) String() string {
	points := make([]string, len(f.Sizes))
	for i := range points {
		points[i] = fmt.Sprintf("%g: %.4g", f.Sizes[i], f.Values[i])
	}
	name := f.Name
	if f.Fixed != "" {
		name += " (" + f.Fixed + ")"
	}
	return fmt.Sprintf("%s, %s = %.4g + %.4g x %s, residual %.1f %%, points %s",
		name, f.Metric, f.Intercept, f.Slope, f.Parameter, 100*f.Residual, strings.Join(points, "; "))
}

// Fits returns a fit for each metric, parameter and setting of the other
// parameters that has enough sizes.
func Fits(samples []Sample) []Fit {
	series := map[string]*Fit{}
	var order []string
	for _, sample := range samples {
		for parameter, size := range sample.Parameters {
			for metric, value := range sample.Metrics {
				fixed := fixedParameters(sample, parameter)
				key := strings.Join([]string{sample.Name, fixed, parameter, metric}, "|")
				if series[key] == nil {
					series[key] = &Fit{Name: sample.Name, Metric: metric, Parameter: parameter, Fixed: fixed}
					order = append(order, key)
				}
				series[key].Sizes = append(series[key].Sizes, size)
				series[key].Values = append(series[key].Values, value)
			}
		}
	}
	slices.Sort(order)
	var fits []Fit
	for _, key := range order {
		if fit := series[key]; distinct(fit.Sizes) >= leastPoints {
			fit.solve()
			fits = append(fits, *fit)
		}
	}
	return fits
}

func fixedParameters(s Sample, but string) string {
	var parts []string
	for key, value := range s.Parameters {
		if key != but {
			parts = append(parts, fmt.Sprintf("%s=%g", key, value))
		}
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}

func distinct(sizes []float64) int {
	return len(slices.Compact(slices.Sorted(slices.Values(sizes))))
}

// solve fits the line by least squares.
func (f *Fit) solve() {
	f.Intercept, f.Slope = stat.LinearRegression(f.Sizes, f.Values, nil, false)
	largest := 0.0
	for i, size := range f.Sizes {
		f.Residual = math.Max(f.Residual, math.Abs(f.Values[i]-f.At(size)))
		largest = math.Max(largest, math.Abs(f.Values[i]))
	}
	if largest > 0 {
		f.Residual /= largest
	}
}
