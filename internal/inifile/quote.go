package inifile

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"unicode"
)

// errNotQuoted is returned for a text that doesn't begin with a double quote.
var errNotQuoted = errors.New("not in double quotes")

// Quote returns a text as a string in JSON that an INI file can hold in a title or as a
// value: everything but letters, digits, spaces and a few marks is escaped, so that it
// contains no line break, bracket or comment.
func Quote(text string) string {
	var quoted strings.Builder
	quoted.WriteByte('"')
	for _, r := range text {
		switch {
		case r == ' ', strings.ContainsRune("-_./", r), unicode.IsLetter(r), unicode.IsDigit(r):
			quoted.WriteRune(r)
		case r > 0xffff:
			// JSON escapes have four digits; other runes stand as they are.
			quoted.WriteRune(r)
		default:
			fmt.Fprintf(&quoted, `\u%04x`, r)
		}
	}
	quoted.WriteByte('"')
	return quoted.String()
}

// Unquote returns the text of a string in JSON. It fails if the text isn't quoted, if the
// string is malformed, or if more than a comment follows it.
func Unquote(quoted string) (string, error) {
	if !strings.HasPrefix(quoted, `"`) {
		return "", errNotQuoted
	}
	decoder := json.NewDecoder(strings.NewReader(quoted))
	var text string
	if err := decoder.Decode(&text); err != nil {
		return "", err
	}
	rest := strings.TrimSpace(quoted[decoder.InputOffset():])
	if rest != "" && rest[0] != '#' && rest[0] != ';' {
		return "", fmt.Errorf("%.20q follows the closing quote", rest)
	}
	return text, nil
}

// Unquote replaces the names and values that begin with a double quote by the texts that
// they stand for, and reports those that are malformed.
func (f *File) Unquote() Problems {
	var problems Problems
	for _, s := range f.Sections {
		if strings.HasPrefix(s.Name, `"`) {
			name, err := Unquote(s.Name)
			if err != nil {
				problems = append(problems, Problem{File: f.Name, Line: s.Line, Reason: fmt.Sprintf("name %s: %v", s.Name, err)})
			}
			s.Name = name
		}
		for key, quoted := range s.quoted {
			value, err := Unquote(quoted)
			if err != nil {
				problems = append(problems, Problem{File: f.Name, Line: s.LineOf(key), Reason: fmt.Sprintf("%s = %s: %v", key, quoted, err)})
			}
			s.Set(key, value)
		}
	}
	problems.Sort()
	return problems
}
