package confsource

import (
	"context"
	"encoding/hex"
	"fmt"

	"mimosafront/internal/message"
	"mimosafront/internal/policy"
)

const (
	// maxSections is the largest accepted number of sections in a manifest.
	maxSections = 1024
	// maxPolicyBytes is the largest accepted total size of a manifest's sections.
	maxPolicyBytes = 16 << 20
)

// checkManifest rejects manifests that are malformed, that do not match their digest
// or whose sections exceed the limits above, before any section is fetched.
func checkManifest(m message.PolicyManifest) error {
	if m.Generation < 1 || len(m.Sections) == 0 || len(m.Sections) > maxSections {
		return fmt.Errorf("manifest: generation %d or number of sections %d is out of range", m.Generation, len(m.Sections))
	}
	if m.Digest != policy.ManifestDigest(m) {
		return fmt.Errorf("manifest: generation %d does not match its digest", m.Generation)
	}
	bytes := 0
	for _, ref := range m.Sections {
		if digest, err := hex.DecodeString(ref.Digest); err != nil || len(digest) != 32 {
			return fmt.Errorf("manifest: section %q has no valid digest", ref.Name)
		}
		bytes += max(ref.Bytes, 0)
	}
	if bytes > maxPolicyBytes {
		return fmt.Errorf("manifest: sections of %d bytes exceed the limit of %d", bytes, maxPolicyBytes)
	}
	return nil
}

// readSection reads a section and verifies its digest. It fails if the section is
// damaged or not published yet.
func (c *Client) readSection(ctx context.Context, digest string) (string, error) {
	value, err := c.read(ctx, KeySectionPrefix+digest)
	if err != nil {
		return "", err
	}
	if policy.SectionDigest(string(value.body)) != digest {
		return "", fmt.Errorf("section %.12s: its text does not match its digest", digest)
	}
	return string(value.body), nil
}
