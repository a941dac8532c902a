// Package settings reads the static settings of a process from an INI file.
//
// Settings are fixed while the process runs. Configuration that operators change at
// run time belongs to the policy.
package settings

import (
	"net"
	"strings"
	"time"

	"mimosafront/internal/inifile"
	"mimosafront/schema"
)

// maxFileBytes is the largest accepted settings file. A file with every setting takes
// a few kilobytes.
const maxFileBytes = 64 << 10

// Load reads and validates a settings file with overrides. If the file could be read but is
// invalid, the error is of type inifile.Problems.
func Load(path string, overrides ...Override) (*Settings, error) {
	text, err := inifile.Load(path, maxFileBytes)
	if err != nil {
		return nil, err
	}
	return Parse(path, text, overrides...)
}

// Parse validates settings with overrides and fills in the defaults. name is the file name
// used in errors. All problems are reported together, as inifile.Problems.
func Parse(name string, text []byte, overrides ...Override) (*Settings, error) {
	definitions, err := inifile.Definitions(schema.Settings)
	if err != nil {
		return nil, err
	}
	file, problems := inifile.Parse(name, text)
	if file == nil {
		return nil, problems
	}
	p := parser{file: file, definitions: definitions, problems: problems}
	p.override(overrides)
	s := p.parse()
	p.check(s)
	if len(p.problems) > 0 {
		p.problems.Sort()
		return nil, p.problems
	}
	return s, nil
}

type parser struct {
	file        *inifile.File
	definitions map[string]inifile.Definition
	problems    inifile.Problems
}

func (p *parser) parse() *Settings {
	s := &Settings{}
	targets := []struct {
		kind, definition string
		value            any
	}{
		{"node", "Node", &s.Node},
		{"front", "Front", &s.Front},
		{"peer", "Peer", &s.Peer},
		{"platform", "Platform", &s.Platform},
		{"scheduler", "Scheduler", &s.Scheduler},
		{"log", "Log", &s.Log},
	}
	sections := map[string]*inifile.Section{}
	for _, section := range p.file.Sections {
		title := strings.TrimSpace(section.Kind + " " + section.Name)
		if sections[title] != nil {
			p.report(section.Line, "section ["+title+"] stands twice")
			continue
		}
		sections[title] = section
	}
	for _, target := range targets {
		section := sections[target.kind]
		delete(sections, target.kind)
		if section == nil {
			section = &inifile.Section{Kind: target.kind, Line: 1}
		}
		problems := p.file.Decode(section, p.definitions[target.definition], target.value)
		p.problems = append(p.problems, problems...)
	}
	for title, section := range sections {
		p.report(section.Line, "unknown section ["+title+"]")
	}
	return s
}

func (p *parser) report(line int, reason string) {
	p.problems = append(p.problems, inifile.Problem{File: p.file.Name, Line: line, Reason: reason})
}

// lineOf returns the line of a key, to report a problem that involves two keys. It is
// 1 if the section is missing.
func (p *parser) lineOf(kind, key string) int {
	for _, section := range p.file.Sections {
		if section.Kind == kind {
			return section.LineOf(key)
		}
	}
	return 1
}

func (p *parser) check(s *Settings) {
	p.checkAddress("front", "listen", s.Front.Listen)
	p.checkAddress("front", "admin_listen", s.Front.AdminListen)
	p.checkAddress("peer", "listen", s.Peer.Listen)
	if s.Peer.Advertise != "" {
		p.checkAddress("peer", "advertise", s.Peer.Advertise)
	}
	for _, seed := range inifile.SplitList(s.Peer.Seeds) {
		p.checkAddress("peer", "seeds", seed)
	}
	if s.Platform.Address != "" {
		p.checkAddress("platform", "address", s.Platform.Address)
	}
	if s.Platform.Address == "" && s.Node.PolicyFile == "" {
		p.report(p.lineOf("node", "policy_file"), "neither [platform] address nor [node] policy_file is set")
	}
	if (s.Front.TlsCertificate == "") != (s.Front.TlsKey == "") {
		p.report(p.lineOf("front", "tls_certificate"), "tls_certificate and tls_key go together")
	}
	if s.Peer.SuspectMs <= s.Peer.HeartbeatMs {
		p.report(p.lineOf("peer", "suspect_ms"), "suspect_ms must exceed heartbeat_ms")
	}
	if s.Peer.DeadMs <= s.Peer.SuspectMs {
		p.report(p.lineOf("peer", "dead_ms"), "dead_ms must exceed suspect_ms")
	}
	p.checkPeerKeys(s)
}

func (p *parser) checkPeerKeys(s *Settings) {
	hasKeys := s.Peer.CaFile != "" && s.Peer.CertificateFile != "" && s.Peer.KeyFile != ""
	if !hasKeys && !s.Peer.Insecure {
		p.report(p.lineOf("peer", "ca_file"), "[peer] needs ca_file, certificate_file and key_file, or insecure = true")
	}
}

// checkAddress requires ip:port, since hosts are addressed by IP number, without name
// resolution.
func (p *parser) checkAddress(kind, key, address string) {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		p.report(p.lineOf(kind, key), key+" = "+address+" is not ip:port")
	}
}

// Milliseconds converts a setting in milliseconds to a duration.
func Milliseconds(ms int) time.Duration {
	return time.Duration(ms) * time.Millisecond
}
