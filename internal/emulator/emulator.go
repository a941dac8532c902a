// Package emulator runs stand-ins of all backend servers of a policy, and of the
// platform, and applies the faults of a scenario to them.
package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/sourcegraph/conc"

	"mimosafront/internal/policy"
	"mimosafront/internal/scenario"
	"mimosafront/internal/sleep"
	"mimosafront/internal/standin/engine"
	"mimosafront/internal/standin/platform"
	"mimosafront/internal/standin/service"
)

// kvFactor is the engine's cache memory as a multiple of the tokens in flight
// that policy names: an engine takes more than is good for its latency.
const kvFactor = 4

// Budgets of one step of an engine's batch: time for prefill, and time for
// decoding at the speed that policy names.
const (
	prefillStep = 20 * time.Millisecond
	decodeStep  = 33 * time.Millisecond
)

// Config says what to run.
type Config struct {
	Policy *policy.Policy
	// Scenario gives report lag and faults; nil has none.
	Scenario *scenario.Scenario
	// Platform is the address of the platform stand-in; empty runs none.
	Platform string
}

// Emulator runs stand-ins in this process.
type Emulator struct {
	config   Config
	engines  map[string]*engine.Engine
	services map[string]*service.Service
	platform *platform.Platform
}

// Start starts all stand-ins at the addresses of the policy.
func Start(c Config) (*Emulator, error) {
	e := &Emulator{config: c, engines: map[string]*engine.Engine{}, services: map[string]*service.Service{}}
	seed := uint64(0)
	for name, server := range c.Policy.Servers {
		seed++
		if err := e.startServer(name, server, seed); err != nil {
			e.Close()
			return nil, fmt.Errorf("server %s: %w", name, err)
		}
	}
	if c.Platform != "" {
		if err := e.startPlatform(); err != nil {
			e.Close()
			return nil, fmt.Errorf("platform: %w", err)
		}
	}
	return e, nil
}

func (e *Emulator) startServer(name string, server policy.Server, seed uint64) error {
	if server.Kind == policy.ServerKindService {
		s := service.New(service.Config{Name: name, ChecksFencing: server.ChecksFencing})
		e.services[name] = s
		return s.Start(server.Address)
	}
	hardware := e.config.Policy.Hardware[server.Hardware]
	config := engine.Config{
		Name:              name,
		Models:            server.Targets(),
		PrefillTokensPerS: hardware.PrefillTokensPerS,
		DecodeTokensPerS:  hardware.DecodeTokensPerS,
		StepTokens:        stepTokens(hardware),
		KVTokens:          kvFactor * hardware.TokensInFlight,
		HoldTokens:        kvFactor * hardware.TokensInFlight,
		ChecksFencing:     server.ChecksFencing,
		Seed:              seed,
	}
	if s := e.config.Scenario; s != nil {
		config.LoadLag = time.Duration(s.Scenario.LoadLagMs) * time.Millisecond
		config.LossShare = s.Scenario.LossShare
		config.DownTime = time.Duration(s.Scenario.DownMs) * time.Millisecond
	}
	running := engine.New(config)
	e.engines[name] = running
	return running.Start(server.Address)
}

func stepTokens(h policy.Hardware) int {
	return max(1, int(h.PrefillTokensPerS*prefillStep.Seconds()+h.DecodeTokensPerS*decodeStep.Seconds()))
}

// startPlatform publishes the policy as a manifest of sections.
func (e *Emulator) startPlatform() error {
	e.platform = platform.New(platform.Config{})
	bundle := e.config.Policy.Bundle()
	for digest, text := range bundle.Sections {
		if _, err := e.platform.Publish("policy/section/"+digest, []byte(text)); err != nil {
			return err
		}
	}
	manifest, err := json.Marshal(bundle.Manifest)
	if err != nil {
		return err
	}
	if _, err := e.platform.Publish("policy/manifest", manifest); err != nil {
		return err
	}
	return e.platform.Start(e.config.Platform)
}

// Engine returns an engine by the server's name, or nil.
func (e *Emulator) Engine(name string) *engine.Engine { return e.engines[name] }

// Service returns a service by the server's name, or nil.
func (e *Emulator) Service(name string) *service.Service { return e.services[name] }

// Run applies the faults of the scenario and returns when ctx ends.
func (e *Emulator) Run(ctx context.Context) {
	var group conc.WaitGroup
	if s := e.config.Scenario; s != nil {
		for _, fault := range s.Faults {
			for _, name := range s.FaultServers(fault) {
				group.Go(func() { runFault(ctx, e.engines[name], fault) })
			}
		}
	}
	<-ctx.Done()
	group.Wait()
}

func runFault(ctx context.Context, met *engine.Engine, fault scenario.Fault) {
	if !sleep.For(ctx, scenario.Seconds(fault.AtS)) {
		return
	}
	length := scenario.Seconds(fault.ForS)
	switch fault.Kind {
	case scenario.FaultKindSlow:
		met.SetSlowdown(fault.Factor)
		if length > 0 && sleep.For(ctx, length) {
			met.SetSlowdown(1)
		}
	case scenario.FaultKindStall:
		if length == 0 {
			length = forever
		}
		met.Stall(length)
	case scenario.FaultKindCrash:
		if length == 0 {
			length = forever
		}
		met.Crash(length)
	}
}

// forever is the length of faults that last to the end.
const forever = 24 * time.Hour

// Close stops all stand-ins.
func (e *Emulator) Close() {
	for _, running := range e.engines {
		running.Close()
	}
	for _, running := range e.services {
		running.Close()
	}
	if e.platform != nil {
		e.platform.Close()
	}
}
