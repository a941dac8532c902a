package confsource

import (
	"context"
	"encoding/hex"
	"fmt"

	"mimosafront/internal/message"
	"mimosafront/internal/policy"
)

const (
	// maxSections bounds the sections of a manifest.
	maxSections = 1024
	// maxPolicyBytes bounds the sections of a manifest together.
	maxPolicyBytes = 16 << 20
)

// checkManifest refuses manifests that would cost too much to follow.
func checkManifest(m message.PolicyManifest) error {
	if m.Generation < 1 || len(m.Sections) == 0 || len(m.Sections) > maxSections {
		return fmt.Errorf("manifest: generation %d with %d sections", m.Generation, len(m.Sections))
	}
	if m.Digest != policy.ManifestDigest(m) {
		return fmt.Errorf("manifest: generation %d does not match its digest", m.Generation)
	}
	bytes := 0
	for _, ref := range m.Sections {
		if digest, err := hex.DecodeString(ref.Digest); err != nil || len(digest) != 32 {
			return fmt.Errorf("manifest: section %q has no digest", ref.Name)
		}
		bytes += max(ref.Bytes, 0)
	}
	if bytes > maxPolicyBytes {
		return fmt.Errorf("manifest: %d bytes exceed %d", bytes, maxPolicyBytes)
	}
	return nil
}

// readSection reads a section, which may come damaged or not be there yet.
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
