package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"mimosafront/internal/capacity"
	"mimosafront/internal/inifile"
)

// Capacity extends benchmark results to other sizes.
var Capacity = Command{Name: "capacity", Summary: "fit lines to benchmark results and extend them to other sizes", Run: runCapacity}

func runCapacity(_ context.Context, args []string, stdout, stderr io.Writer) int {
	flags := newFlags("capacity", "[-at NAME=SIZE,...] FILE...", stderr)
	at := flags.String("at", "", "`sizes` to extend to, such as organisations=1600,hosts=410")
	metric := flags.String("metric", "", "only this `unit`, such as ns/op")
	if code, ok := parse(flags, args, 1, -1); !ok {
		return code
	}
	sizes, err := parseSizes(*at)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	var samples []capacity.Sample
	for _, path := range flags.Args() {
		read, err := readSamples(path)
		if err != nil {
			return fail(stderr, err)
		}
		samples = append(samples, read...)
	}
	for _, fit := range capacity.Fits(samples) {
		if *metric != "" && fit.Metric != *metric {
			continue
		}
		fmt.Fprint(stdout, fit)
		if size, ok := sizes[fit.Parameter]; ok {
			fmt.Fprintf(stdout, ", at %g: %.4g", size, fit.At(size))
		}
		fmt.Fprintln(stdout)
	}
	return ExitOK
}

func parseSizes(text string) (map[string]float64, error) {
	sizes := map[string]float64{}
	for _, part := range inifile.SplitList(text) {
		name, value, _ := strings.Cut(part, "=")
		size, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return nil, fmt.Errorf("%q is not NAME=SIZE", part)
		}
		sizes[name] = size
	}
	return sizes, nil
}

func readSamples(path string) ([]capacity.Sample, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	samples, err := capacity.Read(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return samples, nil
}
