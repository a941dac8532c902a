// Package rapidtest pins the property tests of a package, so that each run gives
// the same verdict.
package rapidtest

import (
	"flag"
	"fmt"
	"strconv"
	"testing"
)

// seed of all property tests.
const seed = 20261204

// Config is how much a package's property tests do.
type Config struct {
	// Checks is the number of cases of each test.
	Checks int
	// Steps is the average number of actions of a state machine; 0 is the
	// library's default.
	Steps int
}

// Run pins the seed, and the numbers of the Config, unless the command line sets
// them, and runs the tests. It returns the exit code. It is called by TestMain.
func Run(m *testing.M, c Config) int {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	values := map[string]string{
		"rapid.seed":       strconv.Itoa(seed),
		"rapid.checks":     strconv.Itoa(c.Checks),
		"rapid.nofailfile": "true",
	}
	if c.Steps > 0 {
		values["rapid.steps"] = strconv.Itoa(c.Steps)
	}
	for name, value := range values {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(fmt.Sprintf("flag %s: %v", name, err))
		}
	}
	return m.Run()
}
