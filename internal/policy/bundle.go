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

// The sections of the file are grouped by kind, and those of a kind that has
// many are spread over buckets by the hash of their name. The numbers are part
// of the format: hosts compare digests of manifests.
const (
	// namesPerBucket is the least number of sections that a bucket holds on
	// average.
	namesPerBucket = 8
	// maxBuckets bounds the size of the manifest.
	maxBuckets = 32
)

// kindOrder is the order of the kinds in a reassembled file.
var kindOrder = []string{"policy", "zone", "tier", "organisation", "caller", "hardware", "model", "service", "server", "route"}

// Bundle is a policy cut into content-addressed sections. Equal policies have
// equal bundles: comments, blank lines and the order of sections don't count.
type Bundle struct {
	Manifest message.PolicyManifest
	// Sections holds the text of each section by its digest.
	Sections map[string]string
}

// Bundle returns the sections of the policy.
func (p *Policy) Bundle() Bundle { return p.bundle }

// bundleFile cuts a checked policy file into sections.
func bundleFile(generation int, text []byte) Bundle {
	return bundleSections(generation, splitSections(text))
}

// bundleSections groups the sections of a file.
func bundleSections(generation int, all []string) Bundle {
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

// splitSections returns the file's sections, each as its title line and its key lines.
func splitSections(text []byte) []string {
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

// sectionName returns the manifest section that a file section belongs to, such
// as tier or caller-07, given how many sections each kind has.
func sectionName(chunk string, count map[string]int) string {
	kind, name := parseTitle(chunk)
	n := bucketCount(count[kind])
	if n == 1 {
		return kind
	}
	return fmt.Sprintf("%s-%02d", kind, xxhash.Sum64String(name)%n)
}

// bucketCount returns over how many buckets the sections of a kind are spread: a
// power of two, so that the number seldom changes as a policy grows.
func bucketCount(sections int) uint64 {
	n := uint64(1)
	for n < maxBuckets && int(2*n)*namesPerBucket <= sections {
		n *= 2
	}
	return n
}

func parseTitle(chunk string) (kind, name string) {
	title, _, _ := strings.Cut(strings.TrimPrefix(chunk, "["), "]")
	kind, name, _ = strings.Cut(strings.TrimSpace(title), " ")
	return kind, strings.TrimSpace(name)
}

func sortedSectionNames(chunks map[string][]string) []string {
	names := make([]string, 0, len(chunks))
	for name := range chunks {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return lessSectionName(names[i], names[j]) })
	return names
}

// lessSectionName orders the names of sections in a manifest.
func lessSectionName(a, b string) bool {
	if a, b := kindRank(a), kindRank(b); a != b {
		return a < b
	}
	return a < b
}

func kindRank(name string) int {
	kind, _, _ := strings.Cut(name, "-")
	return slices.Index(kindOrder, kind)
}

// SectionDigest returns the digest of a section's text, hex.
func SectionDigest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// ManifestDigest computes the digest of a manifest, hex. It covers the
// generation and the digests of all sections, so that two policies with the
// same manifest digest are the same.
func ManifestDigest(m message.PolicyManifest) string {
	var text strings.Builder
	fmt.Fprintf(&text, "generation %d\n", m.Generation)
	for _, ref := range m.Sections {
		fmt.Fprintf(&text, "%q %s\n", ref.Name, ref.Digest)
	}
	return SectionDigest(text.String())
}

// BundleError is a manifest whose sections are missing, damaged or don't belong
// together.
type BundleError struct {
	Generation int
	Section    string
	Reason     string
}

// Error returns generation, section and reason.
func (e *BundleError) Error() string {
	if e.Section == "" {
		return fmt.Sprintf("policy generation %d: %s", e.Generation, e.Reason)
	}
	return fmt.Sprintf("policy generation %d, section %s: %s", e.Generation, e.Section, e.Reason)
}

// Assemble checks the sections of a manifest and returns their policy. The
// error is a *BundleError, or inifile.Problems whose files are the sections'
// names. The result has the digest of the manifest: a policy mixed from two
// generations can't arise.
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

type sectionStart struct {
	name string
	line int
}

// mapProblemLines names the sections that problems stand in, in place of lines of the
// assembled file.
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
