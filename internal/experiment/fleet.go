package experiment

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"mimosafront/internal/faultproxy"
	"mimosafront/internal/localproc"
	"mimosafront/internal/loopback"
	"mimosafront/internal/policy"
)

// fleet is the emulator and the entry hosts of one run.
type fleet struct {
	emulator *localproc.Process
	daemons  []*localproc.Process
	hosts    []string
	// zones are those of the hosts, by their names.
	zones map[string]string
	// links stand between the hosts; nil if they are never cut.
	links *faultproxy.Mesh
}

// startFleet starts the emulator and one daemon for each zone and host number.
func startFleet(ctx context.Context, c Config, run runConfig) (*fleet, error) {
	f := &fleet{zones: map[string]string{}}
	if err := f.start(ctx, c, run); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

func (f *fleet) start(ctx context.Context, c Config, run runConfig) error {
	var err error
	f.emulator, err = localproc.Start(filepath.Join(run.directory, "emulate.log"), c.Control,
		"emulate", "-scenario", run.scenarioPath, "-policy", run.policyPath)
	if err != nil {
		return err
	}
	for _, server := range run.policy.Servers {
		if err := f.emulator.AwaitListener(ctx, server.Address); err != nil {
			return err
		}
	}
	zones := zonesOf(run.policy)
	count := len(zones) * run.hostsPerZone
	ports, err := loopback.FreeAddresses(loopback.IP(0), 3*count)
	if err != nil {
		return err
	}
	for i := range count {
		f.zones[hostName(i)] = zones[i%len(zones)]
	}
	if err := f.openLinks(run, ports); err != nil {
		return err
	}
	for i := range count {
		path := filepath.Join(run.directory, hostName(i)+".ini")
		if err := os.WriteFile(path, f.settingsText(run, i, ports), 0o600); err != nil {
			return err
		}
		p, err := localproc.Start(filepath.Join(run.directory, hostName(i)+".log"), c.Daemon, "-settings", path)
		if err != nil {
			return err
		}
		f.daemons = append(f.daemons, p)
		f.hosts = append(f.hosts, ports[3*i])
	}
	for i, p := range f.daemons {
		if err := p.AwaitReady(ctx, ports[3*i+1]); err != nil {
			return err
		}
	}
	return nil
}

// stop ends all processes, the entry hosts first.
func (f *fleet) stop() {
	for _, p := range f.daemons {
		p.Stop()
	}
	if f.emulator != nil {
		f.emulator.Stop()
	}
	if f.links != nil {
		f.links.Close()
	}
}

func hostName(i int) string { return fmt.Sprintf("host-%d", i) }

func zonesOf(p *policy.Policy) []string {
	var zones []string
	for name := range p.Zones {
		zones = append(zones, name)
	}
	slices.Sort(zones)
	return zones
}

// settingsText returns the settings of host i. Its ports are the callers', the
// operators' and the peers'.
func (f *fleet) settingsText(run runConfig, i int, ports []string) []byte {
	advertise := ports[3*i+2]
	if f.links != nil {
		advertise = f.links.UnresponsiveAddr()
	}
	var seeds []string
	for j := 0; 3*j < len(ports); j++ {
		switch {
		case j == i:
		case f.links != nil:
			seeds = append(seeds, f.links.Addr(hostName(i), hostName(j)))
		default:
			seeds = append(seeds, ports[3*j+2])
		}
	}
	return fmt.Appendf(nil, `[node]
name = %s
zone = %s
policy_file = %s
[front]
listen = %s
admin_listen = %s
max_connections = 16384
[peer]
listen = %s
advertise = %s
seeds = %s
insecure = true
[scheduler]
algorithm = %s
[log]
level = info
`, hostName(i), f.zones[hostName(i)], run.policyPath, ports[3*i], ports[3*i+1], ports[3*i+2], advertise, strings.Join(seeds, ", "), run.algorithm)
}

var (
	addressLine = regexp.MustCompile(`(?m)^address *=.*$`)
	speedLine   = regexp.MustCompile(`(?m)^(prefill_tokens_per_s|decode_tokens_per_s|tokens_in_flight) *= *([0-9.]+)$`)
)

// scalePolicy returns a policy with free ports for its servers and scaled
// hardware.
func scalePolicy(text []byte, speed float64) ([]byte, error) {
	ports, err := loopback.FreeAddresses(loopback.IP(loopback.StandinNumber), len(addressLine.FindAll(text, -1)))
	if err != nil {
		return nil, err
	}
	next := 0
	text = addressLine.ReplaceAllFunc(text, func([]byte) []byte {
		next++
		return []byte("address = " + ports[next-1])
	})
	return speedLine.ReplaceAllFunc(text, func(line []byte) []byte {
		match := speedLine.FindSubmatch(line)
		value, err := strconv.ParseFloat(string(match[2]), 64)
		if err != nil {
			return line
		}
		return fmt.Appendf(nil, "%s = %.0f", match[1], max(1, value*speed))
	}), nil
}
