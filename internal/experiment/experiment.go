// Package experiment runs scenarios against real daemons and compares the
// scheduler's algorithms. It starts the processes of each run and stops them.
package experiment

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"mimosafront/internal/load"
	"mimosafront/internal/localproc"
	"mimosafront/internal/policy"
	"mimosafront/internal/scenario"
)

// Config describes a set of runs.
type Config struct {
	// Daemon and Control are the paths of mimosafrontd and mimosactl.
	Daemon  string
	Control string
	// Scenarios are paths of scenario files.
	Scenarios  []string
	Algorithms []string
	Seeds      []uint64
	// Directory receives results, logs and settings.
	Directory string
	// KeyPrefix and the caller's name make its bearer key.
	KeyPrefix string
	Progress  io.Writer
}

// runConfig describes one run.
type runConfig struct {
	directory    string
	scenarioPath string
	policyPath   string
	policy       *policy.Policy
	hostsPerZone int
	algorithm    string
	zoneCuts     []scenario.Fault
}

// Run is one finished run.
type Run struct {
	Scenario  string
	Algorithm string
	Seed      uint64
	With      *load.Result
	// Without is the same run without the group that the scenario compares
	// with; nil if it names none.
	Without *load.Result
	// Daemons is the use of all entry hosts in With, HostSeconds their time.
	Daemons     localproc.Usage
	HostSeconds float64
}

// Do runs every scenario with every algorithm and seed, one after the other.
func Do(ctx context.Context, c Config) ([]Run, error) {
	var runs []Run
	for _, path := range c.Scenarios {
		for _, algorithm := range c.Algorithms {
			for _, seed := range c.Seeds {
				run, err := c.do(ctx, path, algorithm, seed)
				if err != nil {
					return runs, fmt.Errorf("%s, %s, seed %d: %w", path, algorithm, seed, err)
				}
				runs = append(runs, *run)
			}
		}
	}
	return runs, nil
}

func (c Config) do(ctx context.Context, path, algorithm string, seed uint64) (*Run, error) {
	s, err := scenario.Load(path)
	if err != nil {
		return nil, err
	}
	run := &Run{Scenario: s.Name, Algorithm: algorithm, Seed: seed}
	if group := s.Scenario.CompareWithout; group != "" {
		if run.Without, err = c.once(ctx, run, path, []string{group}); err != nil {
			return nil, err
		}
	}
	run.With, err = c.once(ctx, run, path, nil)
	return run, err
}

// once starts a fleet, loads it and stops it.
func (c Config) once(ctx context.Context, run *Run, path string, skip []string) (*load.Result, error) {
	s, err := scenario.Load(path)
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("%s-%s-%d", run.Scenario, run.Algorithm, run.Seed)
	if len(skip) > 0 {
		name += "-without-" + skip[0]
	}
	if c.Progress != nil {
		fmt.Fprintln(c.Progress, name)
	}
	config, err := c.prepare(s, path, filepath.Join(c.Directory, name))
	if err != nil {
		return nil, err
	}
	config.algorithm = run.Algorithm
	f, err := startFleet(ctx, c, config)
	if err != nil {
		return nil, err
	}
	begin := time.Now()
	endCuts := f.startCuts(ctx, config.zoneCuts)
	result, err := load.Run(ctx, load.Config{
		Scenario: s, Hosts: f.hosts, Seed: run.Seed, Skip: skip, Label: run.Algorithm,
		KeyPrefix: c.KeyPrefix, Progress: c.Progress,
	})
	endCuts()
	f.stop()
	if err != nil {
		return nil, err
	}
	run.Daemons = localproc.Usage{}
	for _, p := range f.daemons {
		used := p.Usage()
		run.Daemons.CPU += used.CPU
		run.Daemons.PeakBytes = max(run.Daemons.PeakBytes, used.PeakBytes)
	}
	run.HostSeconds = time.Since(begin).Seconds() * float64(len(f.daemons))
	return result, result.Write(filepath.Join(c.Directory, name+".json"))
}

// prepare writes the scaled policy of a run into its directory.
func (c Config) prepare(s *scenario.Scenario, path, directory string) (runConfig, error) {
	config := runConfig{directory: directory, hostsPerZone: s.Scenario.Hosts, zoneCuts: s.ZoneCuts()}
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return config, err
	}
	text, err := scalePolicy(s.Policy.Text, s.Scenario.Speed)
	if err != nil {
		return config, err
	}
	if config.policyPath, err = filepath.Abs(filepath.Join(directory, "policy.ini")); err != nil {
		return config, err
	}
	if config.scenarioPath, err = filepath.Abs(path); err != nil {
		return config, err
	}
	if err := os.WriteFile(config.policyPath, text, 0o644); err != nil {
		return config, err
	}
	if err := s.LoadPolicy(config.policyPath); err != nil {
		return config, err
	}
	config.policy = s.Policy
	return config, nil
}
