package cli

import (
	"os"
	"path/filepath"
)

// Modes of the files that mimosactl writes.
const (
	publicMode    os.FileMode = 0o644
	secretMode    os.FileMode = 0o600
	directoryMode os.FileMode = 0o755
)

// writeFile writes a whole file or none of it, and makes its directory.
func writeFile(path string, content []byte, mode os.FileMode) error {
	if err := os.MkdirAll(filepath.Dir(path), directoryMode); err != nil {
		return err
	}
	partial, err := os.CreateTemp(filepath.Dir(path), ".partial-*")
	if err != nil {
		return err
	}
	defer os.Remove(partial.Name())
	_, err = partial.Write(content)
	if closeErr := partial.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Chmod(partial.Name(), mode)
	}
	if err != nil {
		return err
	}
	return os.Rename(partial.Name(), path)
}
