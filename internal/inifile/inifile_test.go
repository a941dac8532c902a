package inifile

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const testLimit = 1 << 10

// write creates a file with the text and returns its path.
func write(t *testing.T, text []byte) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file.ini")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestLoadRejectsNonText(t *testing.T) {
	directory := t.TempDir()
	for name, test := range map[string]struct{ path, want string }{
		"missing":     {filepath.Join(directory, "none.ini"), "no such file"},
		"a directory": {directory, "is a directory"},
		"too large":   {write(t, bytes.Repeat([]byte("a"), testLimit+1)), "larger than 1024 bytes"},
		"binary":      {write(t, []byte("[a]\nkey = \x00\xff\n")), "file.ini:2: not text in UTF-8"},
		"latin-1":     {write(t, []byte("[a]\n\nkey = caf\xe9\n")), "file.ini:3: not text in UTF-8"},
	} {
		if _, err := Load(test.path, testLimit); err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%s: error %v, want %q", name, err, test.want)
		}
	}
	for _, text := range []string{"", "[a]\nkey = Пловдив\n", strings.Repeat("a", testLimit)} {
		if got, err := Load(write(t, []byte(text)), testLimit); err != nil || string(got) != text {
			t.Errorf("%d bytes: read %d, error %v", len(text), len(got), err)
		}
	}
}

// Guards against an error message as long as the file: problems beyond a maximum are
// counted instead of printed.
func TestManyProblemsAreCounted(t *testing.T) {
	var text strings.Builder
	for i := range 5000 {
		fmt.Fprintf(&text, "key%d = 1\n", i)
	}
	_, problems := Parse("file.ini", []byte(text.String()))
	if len(problems) != 5000 {
		t.Fatalf("Parse reported %d problems, want 5000", len(problems))
	}
	lines := strings.Split(problems.Error(), "\n")
	if len(lines) != maxPrintedProblems+1 || lines[maxPrintedProblems] != fmt.Sprintf("and %d more", 5000-maxPrintedProblems) {
		t.Errorf("the error has %d lines, the last is %q", len(lines), lines[len(lines)-1])
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("[a]\nkey = 1\n[b name]\nother: x ; comment\n"))
	f.Add([]byte("key = 1\n[a\n]\n=\n[a]\nkey\n"))
	f.Add([]byte("\xff\x00[a]\r\nk=v"))
	f.Fuzz(func(t *testing.T, text []byte) {
		file, problems := Parse("file.ini", text)
		if file == nil && len(problems) == 0 {
			t.Error("Parse returned neither a file nor a problem")
		}
		for _, p := range problems {
			if p.Line < 1 || p.Reason == "" {
				t.Errorf("problem without a line or a reason: %+v", p)
			}
		}
		if err := checkText("file.ini", text); err != nil {
			var listed Problems
			if !errors.As(err, &listed) {
				t.Errorf("checkText returned %v, want Problems", err)
			}
		}
	})
}
