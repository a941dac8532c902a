package policy

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"

	"mimosafront/internal/inifile"
	"mimosafront/internal/message"
)

// Sections of the file are grouped by kind; a kind with many sections is
// partitioned into buckets by a hash of their names. Both constants are part of
// the format, because hosts compare digests of manifests.
const (
	// namesPerBucket is the minimum average number of file sections in a bucket.
	namesPerBucket = 8
	// maxBuckets bounds the number of buckets of one kind, and with it the size of
	// the manifest.
	maxBuckets = 32
)

// kindOrder is the order of section kinds in manifests and in assembled files.
var kindOrder = []string{"policy", "zone", "tier", "organisation", "caller", "hardware", "model", "service", "server", "route"}

// Bundle is a policy split into content-addressed sections, so that a change
// transfers only the sections that differ. Policies that differ only in comments,
// blank lines or the order of sections have equal bundles.
type Bundle struct {
	// Manifest lists the sections in canonical order with their digests.
	Manifest message.PolicyManifest
	// Sections maps the digest of each section to its text.
	Sections map[string]string
}

// Bundle returns the manifest and sections of the policy. Callers must not
// change them.
func (p *Policy) Bundle() Bundle { return p.bundle }

// bundleFile builds the bundle of a checked policy file.
func bundleFile(generation int, text []byte) Bundle { return bundleOf(generation, splitText(text)) }

// bundleOf builds the bundle of a file from its sections.
func bundleOf(generation int, all []string) Bundle {
	count := map[string]int{}
	for _, chunk := range all {
		kind, _ := parseTitle(chunk)
		count[kind]++
	}
	chunks := map[string][]string{}
	for _, chunk := range all {
		name := sectionName(chunk, count)
		chunks[name] = append(chunks[name], chunk)
	}
	b := Bundle{Sections: map[string]string{}}
	b.Manifest.Generation = generation
	for _, name := range sortedSectionNames(chunks) {
		slices.Sort(chunks[name])
		section := strings.Join(chunks[name], "\n")
		digest := SectionDigest(section)
		b.Sections[digest] = section
		b.Manifest.Sections = append(b.Manifest.Sections, message.PolicySectionRef{Name: name, Digest: digest, Bytes: len(section)})
	}
	b.Manifest.Digest = ManifestDigest(b.Manifest)
	return b
}

// splitText returns the sections of a file, each with its title line and its
// key lines, without comments and blank lines.
func splitText(text []byte) []string {
	var chunks []string
	var chunk strings.Builder
	flush := func() {
		if chunk.Len() > 0 {
			chunks = append(chunks, chunk.String())
			chunk.Reset()
		}
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' || line[0] == ';' {
			continue
		}
		if line[0] == '[' {
			flush()
		}
		chunk.WriteString(line)
		chunk.WriteByte('\n')
	}
	flush()
	return chunks
}

// sectionName returns the name of the manifest section that holds a file section,
// such as tier or caller-07. count is the number of file sections by kind.
func sectionName(chunk string, count map[string]int) string {
	kind, name := parseTitle(chunk)
	n := bucketCount(count[kind])
	if n == 1 {
		return kind
	}
	return fmt.Sprintf("%s-%02d", kind, xxhash.Sum64String(name)%n)
}

// bucketCount returns the number of buckets for a kind with so many file sections.
// It is a power of two, so that it seldom changes as a policy grows.
func bucketCount(sections int) uint64 {
	n := uint64(1)
	for n < maxBuckets && int(2*n)*namesPerBucket <= sections {
		n *= 2
	}
	return n
}

// parseTitle returns the kind and the name in the title of a file section; the name
// may be empty.
func parseTitle(chunk string) (kind, name string) {
	title, _, _ := strings.Cut(strings.TrimPrefix(chunk, "["), "]")
	kind, name, _ = strings.Cut(strings.TrimSpace(title), " ")
	return kind, strings.TrimSpace(name)
}

// sortedSectionNames returns the keys of chunks in manifest order.
func sortedSectionNames(chunks map[string][]string) []string {
	names := make([]string, 0, len(chunks))
	for name := range chunks {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return lessSectionName(names[i], names[j]) })
	return names
}

// lessSectionName reports whether section a precedes section b in a manifest: by
// kind, then by name.
func lessSectionName(a, b string) bool {
	if a, b := kindRank(a), kindRank(b); a != b {
		return a < b
	}
	return a < b
}

// kindRank returns the index in kindOrder of a manifest section's kind, or -1.
func kindRank(name string) int {
	kind, _, _ := strings.Cut(name, "-")
	return slices.Index(kindOrder, kind)
}

// SectionDigest returns the SHA-256 digest of a section's text, in hex.
func SectionDigest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// ManifestDigest computes the SHA-256 digest of a manifest, in hex. It covers the
// generation and the names and digests of all sections, so that policies with the
// same manifest digest are equal.
func ManifestDigest(m message.PolicyManifest) string {
	var text strings.Builder
	fmt.Fprintf(&text, "generation %d\n", m.Generation)
	for _, ref := range m.Sections {
		fmt.Fprintf(&text, "%q %s\n", ref.Name, ref.Digest)
	}
	return SectionDigest(text.String())
}

// BundleError reports a manifest whose sections are missing, damaged or
// inconsistent with each other.
type BundleError struct {
	// Generation is that of the manifest.
	Generation int
	// Section is the name of the faulty section; it is empty if the fault concerns
	// the whole manifest.
	Section string
	Reason  string
}

// Error returns the generation, the section and the reason.
func (e *BundleError) Error() string {
	if e.Section == "" {
		return fmt.Sprintf("policy generation %d: %s", e.Generation, e.Reason)
	}
	return fmt.Sprintf("policy generation %d, section %s: %s", e.Generation, e.Section, e.Reason)
}

// Assemble verifies the sections of a manifest and returns their policy. The error
// is a *BundleError, or inifile.Problems whose files are the names of the sections.
// The policy has the digest of the manifest, which rules out a mix of sections from
// two generations.
func Assemble(m message.PolicyManifest, sections map[string]string) (*Policy, error) {
	if m.Digest != ManifestDigest(m) {
		return nil, &BundleError{Generation: m.Generation, Reason: "the manifest does not match its digest"}
	}
	var text strings.Builder
	var starts []sectionStart
	line := 1
	for _, ref := range m.Sections {
		section, ok := sections[ref.Digest]
		if !ok {
			return nil, &BundleError{Generation: m.Generation, Section: ref.Name, Reason: "missing"}
		}
		if SectionDigest(section) != ref.Digest {
			return nil, &BundleError{Generation: m.Generation, Section: ref.Name, Reason: "its text does not match its digest"}
		}
		starts = append(starts, sectionStart{name: ref.Name, line: line})
		text.WriteString(section)
		text.WriteByte('\n')
		line += strings.Count(section, "\n") + 1
	}
	p, err := Parse("policy", []byte(text.String()))
	if err != nil {
		return nil, mapProblemLines(err, starts)
	}
	if p.Generation != m.Generation {
		return nil, &BundleError{Generation: m.Generation, Section: "policy", Reason: fmt.Sprintf("it holds generation %d", p.Generation)}
	}
	if p.Digest != m.Digest {
		return nil, &BundleError{Generation: m.Generation, Reason: "the sections are not split as mimosactl policy bundle splits them"}
	}
	return p, nil
}

// sectionStart is the first line of a manifest section in the assembled file.
type sectionStart struct {
	name string
	line int
}

// mapProblemLines converts the positions of problems from lines of the assembled
// file to sections and their lines.
func mapProblemLines(err error, starts []sectionStart) error {
	problems, ok := err.(inifile.Problems)
	if !ok {
		return err
	}
	for i := range problems {
		at := sort.Search(len(starts), func(n int) bool { return starts[n].line > problems[i].Line }) - 1
		if at >= 0 {
			problems[i].File = "section " + starts[at].name
			problems[i].Line -= starts[at].line - 1
		}
	}
	return problems
}
