// Package rapidtest runs the property tests of a package with a fixed seed, so that
// their results are reproducible.
package rapidtest

import (
	"flag"
	"fmt"
	"strconv"
	"testing"
)

// seed is the random seed of all property tests.
const seed = 20261204

// Config sets the size of a package's property tests.
type Config struct {
	// Checks is the number of cases of each test.
	Checks int
	// Steps is the average number of actions of a state machine; 0 is the
	// library's default.
	Steps int
}

// Run sets the rapid flags for the seed and c, except those given on the command
// line, runs the tests and returns the exit code. Call it from TestMain.
func Run(m *testing.M, c Config) int {
	flag.Parse()
	givenFlags := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { givenFlags[f.Name] = true })
	defaults := map[string]string{
		"rapid.seed":       strconv.Itoa(seed),
		"rapid.checks":     strconv.Itoa(c.Checks),
		"rapid.nofailfile": "true",
	}
	if c.Steps > 0 {
		defaults["rapid.steps"] = strconv.Itoa(c.Steps)
	}
	for name, value := range defaults {
		if givenFlags[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(fmt.Sprintf("flag %s: %v", name, err))
		}
	}
	return m.Run()
}
