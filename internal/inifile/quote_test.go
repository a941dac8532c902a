package inifile

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestQuotedTextsAreKept checks that any text stands on one line of a file, as a title and as
// a value, and is read as it was.
func TestQuotedTextsAreKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.String().Draw(t, "text")
		quoted := Quote(text)
		if strings.ContainsAny(quoted, "\n\r[]#;`=") {
			t.Fatalf("%s isn't a plain line", quoted)
		}
		f, problems := Parse("quoted", []byte("[caller "+quoted+"]\nname = "+quoted+" # comment\n"))
		if f == nil || len(problems) > 0 {
			t.Fatalf("%s: %v", quoted, problems)
		}
		if problems := f.Unquote(); len(problems) > 0 {
			t.Fatal(problems)
		}
		if value, _ := f.Sections[0].Value("name"); f.Sections[0].Name != text || value != text {
			t.Fatalf("%q is read as name %q and value %q", text, f.Sections[0].Name, value)
		}
	})
}

func TestMalformedQuotesAreReported(t *testing.T) {
	for _, value := range []string{`"`, `"a`, `"a" b`, `"a","b"`, `"\x"`} {
		f, problems := Parse("quoted", []byte("[caller c]\nname = "+value+"\n"))
		if f == nil || len(problems) > 0 {
			t.Fatalf("%s: %v", value, problems)
		}
		if problems := f.Unquote(); len(problems) != 1 || problems[0].Line != 2 {
			t.Errorf("%s: problems %v, want one on line 2", value, problems)
		}
	}
	f, _ := Parse("quoted", []byte("[caller \"a\" b]\nname = c\n"))
	if problems := f.Unquote(); len(problems) != 1 || problems[0].Line != 1 {
		t.Errorf("problems %v, want one on line 1", problems)
	}
}
