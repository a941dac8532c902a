package inifile

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"unicode/utf8"
)

// Load reads a text file of at most limit bytes. It fails for directories, for larger
// files and for files that are not UTF-8 text.
func Load(path string, limit int64) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(text)) > limit {
		return nil, fmt.Errorf("%s: larger than %d bytes", path, limit)
	}
	return text, checkText(path, text)
}

// checkText returns a problem for the first line that is not UTF-8 or contains a NUL
// byte.
func checkText(name string, text []byte) error {
	for i, line := range bytes.Split(text, []byte("\n")) {
		if !utf8.Valid(line) || bytes.IndexByte(line, 0) >= 0 {
			return Problems{{File: name, Line: i + 1, Reason: "not text in UTF-8"}}
		}
	}
	return nil
}
