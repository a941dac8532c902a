package policy

import (
	"fmt"
	"net"
	"strconv"
	"sync"

	"mimosafront/internal/inifile"
	"mimosafront/schema"
)

// maxFileBytes bounds the size of a policy file. The largest designed policy has
// 0.74 MB, about a third of it.
const maxFileBytes = 2 << 20

// loadDefinitions returns the definitions of the policy schema, which are decoded
// once.
var loadDefinitions = sync.OnceValues(func() (map[string]inifile.Definition, error) {
	return inifile.Definitions(schema.Policy)
})

// Load reads and parses a policy file.
func Load(path string) (*Policy, error) {
	text, err := inifile.Load(path, maxFileBytes)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse decodes and checks a policy file; name is used in problems. All faults are
// reported together, as inifile.Problems.
func Parse(name string, text []byte) (*Policy, error) {
	definitions, err := loadDefinitions()
	if err != nil {
		return nil, err
	}
	file, problems := inifile.Parse(name, text)
	if file == nil {
		return nil, problems
	}
	if fileFormat(file) >= FormatQuoted {
		problems = append(problems, file.Unquote()...)
	}
	p := parser{file: file, definitions: definitions, problems: problems, lines: map[string]int{}}
	p.policy = newPolicy(text)
	p.parse()
	p.checkReferences()
	if len(p.problems) > 0 {
		p.problems.Sort()
		return nil, p.problems
	}
	p.policy.bundle = bundleFile(p.policy.Generation, text)
	p.policy.index()
	return p.policy, nil
}

// FormatQuoted is the first format of policy files in which names and values may be quoted.
const FormatQuoted = 2

// fileFormat returns the format that a file states in its [policy] section, or 0. Decode
// reports an invalid one.
func fileFormat(file *inifile.File) int {
	for _, section := range file.Sections {
		if section.Kind == "policy" {
			text, _ := section.Value("format")
			format, _ := strconv.Atoi(text)
			return format
		}
	}
	return 0
}

// newPolicy returns an empty policy for the text of a file.
func newPolicy(text []byte) *Policy {
	return &Policy{
		Text:          text,
		Zones:         map[string]Zone{},
		Organisations: map[string]Organisation{},
		Callers:       map[string]Caller{},
		Hardware:      map[string]Hardware{},
		Models:        map[string]Model{},
		Services:      map[string]Service{},
		Servers:       map[string]Server{},
		Routes:        map[string]Route{},
	}
}

// parser decodes the sections of a file into a policy and collects problems.
type parser struct {
	file        *inifile.File
	definitions map[string]inifile.Definition
	problems    inifile.Problems
	policy      *Policy
	// lines maps the title of each section, its kind and name, to its line.
	lines map[string]int
}

// report adds a problem at a line of the file.
func (p *parser) report(line int, format string, args ...any) {
	reason := fmt.Sprintf(format, args...)
	p.problems = append(p.problems, inifile.Problem{File: p.file.Name, Line: line, Reason: reason})
}

// parse decodes all sections.
func (p *parser) parse() {
	for _, section := range p.file.Sections {
		title := section.Kind
		if section.Name != "" {
			title += " " + section.Name
		}
		if first, ok := p.lines[title]; ok {
			p.report(section.Line, "section [%s] stands twice, first on line %d", title, first)
			continue
		}
		p.lines[title] = section.Line
		p.parseSection(section)
	}
	if _, ok := p.lines["policy"]; !ok {
		p.report(1, "section [policy] is missing")
	}
}

// parseSection decodes one section into the entries of its kind.
func (p *parser) parseSection(s *inifile.Section) {
	if (s.Kind == "policy") != (s.Name == "") {
		p.report(s.Line, "section [%s %s]: every section but [policy] needs a name", s.Kind, s.Name)
		return
	}
	switch s.Kind {
	case "policy":
		p.decode(s, "Header", &p.policy.Header)
	case "tier":
		var tier Tier
		p.decode(s, "Tier", &tier)
		p.policy.Tiers = append(p.policy.Tiers, tier)
	case "zone":
		decodeInto(p, s, "Zone", p.policy.Zones)
	case "organisation":
		decodeInto(p, s, "Organisation", p.policy.Organisations)
	case "caller":
		decodeInto(p, s, "Caller", p.policy.Callers)
	case "hardware":
		decodeInto(p, s, "Hardware", p.policy.Hardware)
	case "model":
		decodeInto(p, s, "Model", p.policy.Models)
	case "service":
		decodeInto(p, s, "Service", p.policy.Services)
	case "server":
		decodeInto(p, s, "Server", p.policy.Servers)
	case "route":
		decodeInto(p, s, "Route", p.policy.Routes)
	default:
		p.report(s.Line, "unknown section [%s %s]", s.Kind, s.Name)
	}
}

// decode checks a section against a definition of the schema and stores its values in
// target.
func (p *parser) decode(s *inifile.Section, definition string, target any) {
	p.problems = append(p.problems, p.file.Decode(s, p.definitions[definition], target)...)
}

// decodeInto decodes a section and stores it under its name.
func decodeInto[T any](p *parser, s *inifile.Section, definition string, into map[string]T) {
	var value T
	p.decode(s, definition, &value)
	into[s.Name] = value
}

// checkReferences checks the names by which sections refer to each other, and
// constraints between keys and between sections.
func (p *parser) checkReferences() {
	p.checkTiers()
	for name, organisation := range p.policy.Organisations {
		p.checkOrganisation(name, organisation)
	}
	keys := map[string]string{}
	for name, caller := range p.policy.Callers {
		p.checkCaller(name, caller)
		if other, ok := keys[caller.KeySha256]; ok {
			p.report(p.lines["caller "+name], "callers %s and %s have the same key", min(name, other), max(name, other))
		}
		keys[caller.KeySha256] = name
	}
	for name := range p.policy.Services {
		if _, ok := p.policy.Models[name]; ok {
			p.report(p.lines["service "+name], "%s is both a model and a service", name)
		}
	}
	for name, model := range p.policy.Models {
		p.checkModel(name, model)
	}
	for name, server := range p.policy.Servers {
		p.checkServer(name, server)
	}
	for name, route := range p.policy.Routes {
		p.checkRoute(name, route)
	}
}

// checkTiers checks the deadlines and ranks of tiers: ranks are unique, and there is
// at least one tier.
func (p *parser) checkTiers() {
	ranks := map[int]string{}
	for _, tier := range p.policy.Tiers {
		line := p.lines["tier "+tier.Name]
		if other, ok := ranks[tier.Rank]; ok {
			p.report(line, "tiers %s and %s have the same rank %d", other, tier.Name, tier.Rank)
		}
		ranks[tier.Rank] = tier.Name
		if tier.DeadlineMs > tier.MaxDeadlineMs {
			p.report(line, "tier %s: deadline_ms exceeds max_deadline_ms", tier.Name)
		}
	}
	if len(ranks) == 0 {
		p.report(1, "no [tier NAME] is defined")
	}
}

// hasTier reports whether the file has a section of that tier.
func (p *parser) hasTier(name string) bool {
	_, ok := p.lines["tier "+name]
	return ok
}

// checkOrganisation checks that the tiers and targets of an organisation exist.
func (p *parser) checkOrganisation(name string, organisation Organisation) {
	line := p.lines["organisation "+name]
	for _, tier := range inifile.SplitList(organisation.Tiers) {
		if !p.hasTier(tier) {
			p.report(line, "organisation %s: no tier %q", name, tier)
		}
	}
	for _, target := range inifile.SplitList(organisation.Targets) {
		_, model := p.policy.Models[target]
		_, service := p.policy.Services[target]
		if !model && !service {
			p.report(line, "organisation %s: no model or service %q", name, target)
		}
	}
}

// checkCaller checks that the organisation and tier of a caller exist.
func (p *parser) checkCaller(name string, caller Caller) {
	line := p.lines["caller "+name]
	if _, ok := p.policy.Organisations[caller.Organisation]; !ok && caller.Organisation != "" {
		p.report(line, "caller %s: no organisation %q", name, caller.Organisation)
	}
	if caller.Tier != "" && !p.hasTier(caller.Tier) {
		p.report(line, "caller %s: no tier %q", name, caller.Tier)
	}
}

// checkServer checks the address of a server and that its zone, hardware and targets
// exist.
func (p *parser) checkServer(name string, server Server) {
	line := p.lines["server "+name]
	if _, ok := p.policy.Zones[server.Zone]; !ok && server.Zone != "" {
		p.report(line, "server %s: no zone %q", name, server.Zone)
	}
	if host, port, err := net.SplitHostPort(server.Address); err != nil || net.ParseIP(host) == nil || port == "" {
		p.report(line, "server %s: address %q is not ip:port", name, server.Address)
	}
	if _, ok := p.policy.Hardware[server.Hardware]; !ok && server.Hardware != "" {
		p.report(line, "server %s: no hardware %q", name, server.Hardware)
	}
	if server.HoldsStreams && server.Kind != ServerKindEngine {
		p.report(line, "server %s: only an engine can hold streams", name)
	}
	for _, target := range server.Targets() {
		_, model := p.policy.Models[target]
		_, service := p.policy.Services[target]
		if server.Kind == ServerKindEngine && !model || server.Kind == ServerKindService && !service {
			p.report(line, "server %s: no %s %q", name, targetKind(server.Kind), target)
		}
	}
}

// targetKind returns the kind of section that a server's targets refer to.
func targetKind(kind ServerKind) string {
	if kind == ServerKindService {
		return "service"
	}
	return "model"
}
