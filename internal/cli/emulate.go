package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"mimosafront/internal/emulator"
	"mimosafront/internal/load"
	"mimosafront/internal/policy"
	"mimosafront/internal/scenario"
)

// Emulate runs stand-ins of the backend servers of a policy.
var Emulate = Command{Name: "emulate", Summary: "run stand-ins of all backend servers of a policy", Run: runEmulate}

func runEmulate(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := newFlags("emulate", "[-policy FILE] [-scenario FILE]", stderr)
	policyPath := flags.String("policy", "", "policy `file`; empty takes the scenario's")
	scenarioPath := flags.String("scenario", "", "scenario `file` with faults and report lag")
	platform := flags.String("platform", "", "also run the platform stand-in at this `address`")
	duration := flags.Duration("duration", 0, "stop after this time; 0 runs until interrupted")
	if code, ok := parse(flags, args, 0, 0); !ok {
		return code
	}
	if *policyPath == "" && *scenarioPath == "" {
		flags.Usage()
		return ExitUsage
	}
	config, err := emulatorConfig(*policyPath, *scenarioPath)
	if err != nil {
		return fail(stderr, err)
	}
	config.Platform = *platform
	if err := load.CheckLoopback(listenAddresses(config)); err != nil {
		return fail(stderr, err)
	}
	running, err := emulator.Start(config)
	if err != nil {
		return fail(stderr, err)
	}
	defer running.Close()
	fmt.Fprintf(stdout, "emulating %d backend servers\n", len(config.Policy.Servers))
	if *duration > 0 {
		bounded, cancel := context.WithTimeout(ctx, *duration)
		defer cancel()
		ctx = bounded
	}
	begin := time.Now()
	running.Run(ctx)
	fmt.Fprintf(stdout, "stopped after %v\n", time.Since(begin).Round(time.Second))
	return ExitOK
}

func emulatorConfig(policyPath, scenarioPath string) (emulator.Config, error) {
	var config emulator.Config
	if scenarioPath == "" {
		p, err := policy.Load(policyPath)
		config.Policy = p
		return config, err
	}
	s, err := scenario.Load(scenarioPath)
	if err != nil {
		return config, err
	}
	if policyPath != "" {
		if err := s.LoadPolicy(policyPath); err != nil {
			return config, err
		}
	}
	return emulator.Config{Policy: s.Policy, Scenario: s}, nil
}

func listenAddresses(c emulator.Config) []string {
	var addresses []string
	for _, server := range c.Policy.Servers {
		addresses = append(addresses, server.Address)
	}
	if c.Platform != "" {
		addresses = append(addresses, c.Platform)
	}
	return addresses
}
