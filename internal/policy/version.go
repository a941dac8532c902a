package policy

import (
	"slices"

	"mimosafront/internal/inifile"
)

// AcceptsVersion reports whether a server with that version of the model loaded may
// serve its requests. version is empty if the engine reports none.
func (m Model) AcceptsVersion(version string) bool {
	if m.Version == "" || m.Accepts == "" || version == m.Version {
		return true
	}
	return slices.Contains(inifile.SplitList(m.Accepts), version)
}

// checkModel reports version keys without effect, and a max_unavailable above the
// number of replicas.
func (p *parser) checkModel(name string, model Model) {
	line := p.lines["model "+name]
	if model.Version != "" && model.Replicas == 0 {
		p.report(line, "model %s: version %q is rolled out only with replicas", name, model.Version)
	}
	if model.Version == "" && model.Accepts != "" {
		p.report(line, "model %s: accepts needs a version", name)
	}
	if model.Replicas > 0 && model.MaxUnavailable > model.Replicas {
		p.report(line, "model %s: max_unavailable %d exceeds replicas %d", name, model.MaxUnavailable, model.Replicas)
	}
}
