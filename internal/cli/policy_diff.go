package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"mimosafront/internal/confsource"
	"mimosafront/internal/policy"
)

func runPolicyDiff(_ context.Context, args []string, stdout, stderr io.Writer) int {
	flags := newFlags("policy diff", "BEFORE AFTER", stderr)
	if code, ok := parse(flags, args, 2, 2); !ok {
		return code
	}
	before, err := policy.Load(flags.Arg(0))
	if err != nil {
		return fail(stderr, err)
	}
	after, err := policy.Load(flags.Arg(1))
	if err != nil {
		return fail(stderr, err)
	}
	changes := policy.Diff(before, after)
	for _, change := range changes {
		fmt.Fprintln(stdout, change)
	}
	if len(changes) > 0 && after.Generation <= before.Generation {
		return fail(stderr, fmt.Errorf("%s: generation %d must be higher than %d", flags.Arg(1), after.Generation, before.Generation))
	}
	return ExitOK
}

func runPolicyBundle(_ context.Context, args []string, stdout, stderr io.Writer) int {
	flags := newFlags("policy bundle", "FILE DIRECTORY", stderr)
	if code, ok := parse(flags, args, 2, 2); !ok {
		return code
	}
	p, err := policy.Load(flags.Arg(0))
	if err != nil {
		return fail(stderr, err)
	}
	written, err := writeBundle(p.Bundle(), flags.Arg(1))
	if err != nil {
		return fail(stderr, err)
	}
	fmt.Fprintf(stdout, "generation %d: %d sections, %d of them new; publish %s last\n",
		p.Generation, len(p.Bundle().Manifest.Sections), written, confsource.KeyManifest)
	return ExitOK
}

// writeBundle writes the sections and then the manifest, each under its key. It
// returns the number of sections that were not there yet.
func writeBundle(b policy.Bundle, directory string) (int, error) {
	written := 0
	for digest, text := range b.Sections {
		path := filepath.Join(directory, filepath.FromSlash(confsource.KeySectionPrefix+digest))
		if _, err := os.Stat(path); err == nil {
			continue
		}
		if err := writeFile(path, []byte(text), publicMode); err != nil {
			return written, err
		}
		written++
	}
	manifest, err := json.MarshalIndent(b.Manifest, "", "  ")
	if err != nil {
		return written, err
	}
	return written, writeFile(filepath.Join(directory, filepath.FromSlash(confsource.KeyManifest)), append(manifest, '\n'), publicMode)
}
