// Package scenario reads the scenarios of the load tool and the emulator.
package scenario

import (
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"time"

	"mimosafront/internal/inifile"
	"mimosafront/internal/policy"
	"mimosafront/schema"
)

// Scenario is a checked scenario file with the policy that it names.
type Scenario struct {
	File
	// Name is the file's name without its extension.
	Name string
	// PolicyPath is where Policy was read from.
	PolicyPath string
	Policy     *policy.Policy
}

// maxBytes bounds a scenario file; the largest example takes a few kilobytes.
const maxBytes = 1 << 20

// Load reads a scenario and its policy. All faults of a file are reported
// together, as inifile.Problems.
func Load(path string) (*Scenario, error) {
	text, err := inifile.Load(path, maxBytes)
	if err != nil {
		return nil, err
	}
	file, err := Parse(path, text)
	if err != nil {
		return nil, err
	}
	base := filepath.Base(path)
	s := &Scenario{File: *file, Name: base[:len(base)-len(filepath.Ext(base))]}
	s.PolicyPath = filepath.Join(filepath.Dir(path), file.Scenario.Policy)
	if err := s.LoadPolicy(s.PolicyPath); err != nil {
		return nil, err
	}
	return s, nil
}

// LoadPolicy replaces the policy and checks the streams against it.
func (s *Scenario) LoadPolicy(path string) error {
	p, err := policy.Load(path)
	if err != nil {
		return err
	}
	s.PolicyPath, s.Policy = path, p
	return s.check()
}

// Parse checks a scenario file without its policy.
func Parse(name string, text []byte) (*File, error) {
	definitions, err := inifile.Definitions(schema.Scenario)
	if err != nil {
		return nil, err
	}
	parsed, problems := inifile.Parse(name, text)
	if parsed == nil {
		return nil, problems
	}
	file := &File{}
	for _, section := range parsed.Sections {
		problems = append(problems, file.decode(parsed, section, definitions)...)
	}
	if file.Scenario.Policy == "" && len(problems) == 0 {
		problems = append(problems, inifile.Problem{File: name, Line: 1, Reason: "section [scenario] is missing"})
	}
	if len(problems) > 0 {
		problems.Sort()
		return nil, problems
	}
	return file, nil
}

func (f *File) decode(parsed *inifile.File, s *inifile.Section, definitions map[string]inifile.Definition) inifile.Problems {
	switch s.Kind {
	case "scenario":
		return parsed.Decode(s, definitions["Header"], &f.Scenario)
	case "stream":
		var stream Stream
		problems := parsed.Decode(s, definitions["Stream"], &stream)
		f.Streams = append(f.Streams, stream)
		return problems
	case "fault":
		var fault Fault
		problems := parsed.Decode(s, definitions["Fault"], &fault)
		f.Faults = append(f.Faults, fault)
		return problems
	}
	return inifile.Problems{{File: parsed.Name, Line: s.Line, Reason: "unknown section [" + s.Kind + "]"}}
}

// check compares the streams and faults with the policy.
func (s *Scenario) check() error {
	if len(s.Policy.Models) == 0 {
		return fmt.Errorf("%s: the policy has no model", s.PolicyPath)
	}
	for _, stream := range s.Streams {
		if len(s.Callers(stream)) == 0 {
			return fmt.Errorf("%s: stream %s: organisation %q has no such callers", s.PolicyPath, stream.Name, stream.Organisation)
		}
		if _, ok := s.Policy.Tier(stream.Tier); !ok && stream.Tier != "" {
			return fmt.Errorf("%s: stream %s: no tier %q", s.PolicyPath, stream.Name, stream.Tier)
		}
	}
	for _, fault := range s.Faults {
		if _, known := s.Policy.Zones[fault.Zone]; fault.Kind == FaultKindZoneCut && !known {
			return fmt.Errorf("%s: fault %s: no availability zone %q", s.PolicyPath, fault.Name, fault.Zone)
		}
		if fault.Kind != FaultKindZoneCut && len(s.FaultServers(fault)) == 0 {
			return fmt.Errorf("%s: fault %s meets no engine", s.PolicyPath, fault.Name)
		}
	}
	return nil
}

// ZoneCuts returns the faults that cut availability zones off.
func (s *Scenario) ZoneCuts() []Fault {
	var cuts []Fault
	for _, fault := range s.Faults {
		if fault.Kind == FaultKindZoneCut {
			cuts = append(cuts, fault)
		}
	}
	return cuts
}

// Callers returns the callers of a stream, ordered by name.
func (s *Scenario) Callers(stream Stream) []string {
	wanted := inifile.SplitList(stream.Callers)
	var callers []string
	for name, caller := range s.Policy.Callers {
		if caller.Organisation == stream.Organisation && (len(wanted) == 0 || slices.Contains(wanted, name)) {
			callers = append(callers, name)
		}
	}
	slices.Sort(callers)
	return callers
}

// Target returns the model or service of a stream.
func (s *Scenario) Target(stream Stream) string {
	if stream.Target != "" {
		return stream.Target
	}
	return slices.Sorted(maps.Keys(s.Policy.Models))[0]
}

// Engines returns the names of all engines, in order.
func (s *Scenario) Engines() []string {
	var names []string
	for name, server := range s.Policy.Servers {
		if server.Kind == policy.ServerKindEngine {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// FaultServers returns the engines that a fault meets; a zone_cut meets none.
func (s *Scenario) FaultServers(fault Fault) []string {
	if fault.Kind == FaultKindZoneCut {
		return nil
	}
	named := inifile.SplitList(fault.Servers)
	var met []string
	for i, name := range s.Engines() {
		if fault.Zone != "" && s.Policy.Servers[name].Zone != fault.Zone {
			continue
		}
		if len(named) > 0 && slices.Contains(named, name) || len(named) == 0 && i%fault.Every == 0 {
			met = append(met, name)
		}
	}
	return met
}

// Seconds converts a number of seconds to a duration.
func Seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
