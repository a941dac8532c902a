package policy

import (
	"maps"
	"slices"
	"strings"

	"mimosafront/internal/inifile"
	"mimosafront/internal/message"
)

// sectionTitle identifies one section of a policy file.
type sectionTitle struct{ kind, name string }

// AssembleFrom is an incremental Assemble: it decodes only the sections that base
// lacks. base may be nil; sections need not include those that base has. A change of
// one organisation then costs a check of the references of the policy instead of a
// parse of its whole text.
func AssembleFrom(base *Policy, m message.PolicyManifest, sections map[string]string) (*Policy, error) {
	if base != nil {
		if p, ok := derive(base, m, sections); ok {
			return p, nil
		}
	}
	all := maps.Clone(sections)
	if base != nil {
		maps.Copy(all, base.bundle.Sections)
	}
	return Assemble(m, all)
}

// ParseFrom is an incremental Parse: it decodes only the sections in which the file
// differs from base, which may be nil. Small hosts need this to keep up with operators
// that publish several changes a second.
func ParseFrom(base *Policy, name string, text []byte) (*Policy, error) {
	if base != nil {
		if p, ok := deriveText(base, text); ok {
			return p, nil
		}
	}
	return Parse(name, text)
}

// deriveText derives the policy of a whole file from base. It reports false under the
// conditions of derive.
func deriveText(base *Policy, text []byte) (*Policy, bool) {
	chunks := splitText(text)
	header, ok := parseHeader(chunks)
	if !ok {
		return nil, false
	}
	b := bundleOf(header.Generation, chunks)
	p, ok := derive(base, b.Manifest, b.Sections)
	if ok {
		p.Text = text
	}
	return p, ok
}

// parseHeader decodes the [policy] section among chunks. It reports false if that section
// is missing or faulty.
func parseHeader(chunks []string) (Header, bool) {
	definitions, err := loadDefinitions()
	if err != nil {
		return Header{}, false
	}
	for _, chunk := range chunks {
		if kind, _ := parseTitle(chunk); kind != "policy" {
			continue
		}
		file, problems := inifile.Parse("header", []byte(chunk))
		if file == nil || len(problems) > 0 || len(file.Sections) != 1 {
			return Header{}, false
		}
		var header Header
		problems = file.Decode(file.Sections[0], definitions["Header"], &header)
		return header, len(problems) == 0
	}
	return Header{}, false
}

// derivation builds a policy incrementally: it copies the entries of base, removes
// those of sections that the manifest lacks and decodes the sections that base lacks.
type derivation struct {
	parser
	base *Policy
	// tables are the entries of the new policy by kind.
	tables   map[string]table
	manifest message.PolicyManifest
	sections map[string]string
	// added lists the sections of the manifest that base lacks.
	added []message.PolicySectionRef
}

// derive returns the policy of a manifest. It reports false for every fault, and for
// changes that need a full parse; the caller then runs Assemble or Parse, which
// reports faults with their lines.
func derive(base *Policy, m message.PolicyManifest, sections map[string]string) (*Policy, bool) {
	definitions, err := loadDefinitions()
	if err != nil || m.Digest != ManifestDigest(m) || !inCanonicalOrder(m) {
		return nil, false
	}
	d := &derivation{base: base, manifest: m, sections: sections}
	d.parser = parser{definitions: definitions, lines: map[string]int{}, policy: base.cloneEntries()}
	d.tables = d.policy.tables()
	if !d.sameFormat() || !d.diffSections() || !d.decodeAdded() || !d.checkBuckets() {
		return nil, false
	}
	for _, tier := range d.policy.Tiers {
		d.lines["tier "+tier.Name] = 1
	}
	d.checkReferences()
	if len(d.problems) > 0 || d.policy.Generation != m.Generation {
		return nil, false
	}
	d.policy.bundle = d.newBundle()
	d.policy.index()
	return d.policy, true
}

// inCanonicalOrder reports whether each section occurs once and in the order that
// bundleOf produces.
func inCanonicalOrder(m message.PolicyManifest) bool {
	digests := make(map[string]bool, len(m.Sections))
	for i, ref := range m.Sections {
		if digests[ref.Digest] || i > 0 && !lessSectionName(m.Sections[i-1].Name, ref.Name) {
			return false
		}
		digests[ref.Digest] = true
	}
	return true
}

// cloneEntries returns a policy with copies of the entries, which may be changed.
func (p *Policy) cloneEntries() *Policy {
	return &Policy{
		Header:        p.Header,
		Tiers:         slices.Clone(p.Tiers),
		Zones:         maps.Clone(p.Zones),
		Organisations: maps.Clone(p.Organisations),
		Callers:       maps.Clone(p.Callers),
		Hardware:      maps.Clone(p.Hardware),
		Models:        maps.Clone(p.Models),
		Services:      maps.Clone(p.Services),
		Servers:       maps.Clone(p.Servers),
		Routes:        maps.Clone(p.Routes),
	}
}

// sameFormat reports whether the new policy has the format of base. Sections with equal text
// mean the same only then.
func (d *derivation) sameFormat() bool {
	for _, ref := range d.manifest.Sections {
		if kind, _, _ := strings.Cut(ref.Name, "-"); kind != "policy" {
			continue
		}
		if d.base.bundle.Sections[ref.Digest] != "" {
			return true
		}
		header, ok := parseHeader(splitText([]byte(d.sections[ref.Digest])))
		return ok && header.Format == d.base.Format
	}
	return false
}

// diffSections lists in d.added the sections that base lacks and removes the entries
// of sections that the manifest lacks, including the header if it changed. It reports
// false if a section of base has another name in the manifest.
func (d *derivation) diffSections() bool {
	unmatched := make(map[string]string, len(d.base.bundle.Manifest.Sections))
	for _, ref := range d.base.bundle.Manifest.Sections {
		unmatched[ref.Digest] = ref.Name
	}
	for _, ref := range d.manifest.Sections {
		name, ok := unmatched[ref.Digest]
		if ok && name != ref.Name {
			return false
		}
		if !ok {
			d.added = append(d.added, ref)
		}
		delete(unmatched, ref.Digest)
	}
	for digest := range unmatched {
		for _, t := range parseTitles(d.base.bundle.Sections[digest], d.base.Format) {
			d.tables[t.kind].remove(t.name)
		}
	}
	return true
}

// parseTitles returns the titles of all file sections in a manifest section of a checked
// policy of a format.
func parseTitles(section string, format int) []sectionTitle {
	var titles []sectionTitle
	for _, chunk := range splitText([]byte(section)) {
		kind, name := parseTitle(chunk)
		if plain, err := inifile.Unquote(name); format >= FormatQuoted && err == nil {
			name = plain
		}
		titles = append(titles, sectionTitle{kind, name})
	}
	return titles
}

// table is a set of the entries of one kind.
type table interface {
	has(name string) bool
	remove(name string)
	size() int
}

// tables returns the sets of the policy's entries by kind. Changes to them change the
// policy.
func (p *Policy) tables() map[string]table {
	return map[string]table{
		"policy":       headerTable{&p.Header},
		"tier":         tierTable{&p.Tiers},
		"zone":         mapTable[Zone](p.Zones),
		"organisation": mapTable[Organisation](p.Organisations),
		"caller":       mapTable[Caller](p.Callers),
		"hardware":     mapTable[Hardware](p.Hardware),
		"model":        mapTable[Model](p.Models),
		"service":      mapTable[Service](p.Services),
		"server":       mapTable[Server](p.Servers),
		"route":        mapTable[Route](p.Routes),
	}
}

// mapTable holds entries by name.
type mapTable[T any] map[string]T

func (t mapTable[T]) has(name string) bool {
	_, ok := t[name]
	return ok
}

func (t mapTable[T]) remove(name string) { delete(t, name) }

func (t mapTable[T]) size() int { return len(t) }

// tierTable holds the tiers, which are ordered.
type tierTable struct{ tiers *[]Tier }

func (t tierTable) has(name string) bool {
	return slices.ContainsFunc(*t.tiers, func(tier Tier) bool { return tier.Name == name })
}

func (t tierTable) remove(name string) {
	*t.tiers = slices.DeleteFunc(*t.tiers, func(tier Tier) bool { return tier.Name == name })
}

func (t tierTable) size() int { return len(*t.tiers) }

// headerTable holds the single header, which has no name.
type headerTable struct{ header *Header }

func (t headerTable) has(string) bool { return t.header.Generation != 0 }

func (t headerTable) remove(string) { *t.header = Header{} }

func (t headerTable) size() int { return 1 }

// decodeAdded decodes the sections that base lacks. It reports false if one is
// missing, damaged or faulty, or repeats an entry.
func (d *derivation) decodeAdded() bool {
	for _, ref := range d.added {
		text, ok := d.sections[ref.Digest]
		if !ok || SectionDigest(text) != ref.Digest {
			return false
		}
		file, problems := inifile.Parse(ref.Name, []byte(text))
		if file == nil || len(problems) > 0 {
			return false
		}
		if d.base.Format >= FormatQuoted && len(file.Unquote()) > 0 {
			return false
		}
		d.file = file
		for _, section := range file.Sections {
			entries, known := d.tables[section.Kind]
			if !known || entries.has(section.Name) {
				return false
			}
			d.parseSection(section)
		}
	}
	return len(d.problems) == 0
}

// checkBuckets reports whether the sections equal those that bundleFile would
// produce. Only added sections are checked: sections that base has remain valid as
// long as the number of buckets of their kind is unchanged.
func (d *derivation) checkBuckets() bool {
	count := map[string]int{}
	for kind, before := range d.base.tables() {
		count[kind] = d.tables[kind].size()
		if bucketCount(count[kind]) != bucketCount(before.size()) {
			return false
		}
	}
	for _, ref := range d.added {
		text := d.sections[ref.Digest]
		chunks := splitText([]byte(text))
		slices.Sort(chunks)
		if strings.Join(chunks, "\n") != text {
			return false
		}
		for _, chunk := range chunks {
			if sectionName(chunk, count) != ref.Name {
				return false
			}
		}
	}
	return true
}

// newBundle returns the bundle of the derived policy. It takes the text of shared
// sections from base.
func (d *derivation) newBundle() Bundle {
	b := Bundle{Manifest: d.manifest, Sections: make(map[string]string, len(d.manifest.Sections))}
	b.Manifest.Sections = slices.Clone(d.manifest.Sections)
	for i, ref := range b.Manifest.Sections {
		text, ok := d.base.bundle.Sections[ref.Digest]
		if !ok {
			text = d.sections[ref.Digest]
		}
		b.Sections[ref.Digest] = text
		b.Manifest.Sections[i].Bytes = len(text)
	}
	return b
}
