// Package inifile parses INI files, checks their sections against JSON Schema
// definitions and reports all problems with their lines.
package inifile

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"sort"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"
)

// Problem is one fault of a file.
type Problem struct {
	File string
	// Line counts from 1.
	Line   int
	Reason string
}

// String returns the problem as file:line: reason.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Reason)
}

// Problems are the faults of a file. As an error they print one line each.
type Problems []Problem

// maxPrintedProblems bounds the problems that an error prints. It is larger than the
// number that a person corrects at once.
const maxPrintedProblems = 100

// Error returns one line for each problem, up to maxPrintedProblems, and the number of
// those omitted.
func (p Problems) Error() string {
	var lines []string
	for _, problem := range p[:min(len(p), maxPrintedProblems)] {
		lines = append(lines, problem.String())
	}
	if more := len(p) - maxPrintedProblems; more > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", more))
	}
	return strings.Join(lines, "\n")
}

// Sort orders the problems by line.
func (p Problems) Sort() {
	sort.SliceStable(p, func(i, j int) bool { return p[i].Line < p[j].Line })
}

// Section is one section of a file with its values and the lines of its keys.
type Section struct {
	// Kind is the first word of the section's title, Name the rest.
	Kind string
	Name string
	// Line is the line of the section's title.
	Line int
	// values is nil if the file has no values for the section.
	values *ini.Section
	lineOf map[string]int
	// quoted holds, as in the file, the values that begin with a double quote.
	quoted map[string]string
}

// LineOf returns the line of a key, or the line of the section if it lacks the key.
func (s *Section) LineOf(key string) int {
	if line, ok := s.lineOf[key]; ok {
		return line
	}
	return s.Line
}

// Set sets the value of a key in place of the file's. It reports whether the section can
// hold values, which one without any key can't.
func (s *Section) Set(key, value string) bool {
	if s.values == nil {
		return false
	}
	s.values.Key(key).SetValue(value)
	if _, known := s.lineOf[key]; !known {
		s.lineOf[key] = s.Line
	}
	return true
}

// File is a parsed file with its sections in order.
type File struct {
	Name     string
	Sections []*Section
}

// Patterns of the title line of a section and of the key in a key line.
var (
	titlePattern = regexp.MustCompile(`^\s*\[([^\]]*)\]`)
	keyPattern   = regexp.MustCompile(`^\s*([^#;=:\[\s][^=:]*?)\s*[=:]`)
)

// Parse parses a file; name is used in problems. Syntax errors, keys outside a section
// and duplicate keys are reported together. The file is nil if it can't be parsed at
// all.
func Parse(name string, text []byte) (*File, Problems) {
	options := ini.LoadOptions{
		AllowNonUniqueSections:   true,
		IgnoreContinuation:       true,
		SkipUnrecognizableLines:  true,
		SpaceBeforeInlineComment: true,
	}
	file := &File{Name: name}
	problems := file.scanLines(text)
	parsed, err := ini.LoadSources(options, text)
	if err != nil {
		if len(problems) == 0 {
			problems = Problems{{File: name, Line: 1, Reason: "not an INI file: " + err.Error()}}
		}
		return nil, problems
	}
	file.attachValues(parsed)
	return file, problems
}

// scanLines records the line numbers of sections and keys, which the INI library does
// not provide.
func (f *File) scanLines(text []byte) Problems {
	var problems Problems
	report := func(line int, format string, args ...any) {
		problems = append(problems, Problem{File: f.Name, Line: line, Reason: fmt.Sprintf(format, args...)})
	}
	var current *Section
	for i, raw := range bytes.Split(text, []byte("\n")) {
		line := i + 1
		content := strings.TrimSpace(string(raw))
		if content == "" || content[0] == '#' || content[0] == ';' {
			continue
		}
		if match := titlePattern.FindStringSubmatch(content); match != nil {
			current = newSection(match[1], line)
			f.Sections = append(f.Sections, current)
			continue
		}
		match := keyPattern.FindStringSubmatch(content)
		switch {
		case match == nil:
			report(line, "expected [section] or key = value")
		case current == nil:
			report(line, "key %q stands before the first section", match[1])
		case startsMultiLine(content[len(match[0]):]):
			report(line, "key %q: values can't begin with \"\"\" or a backquote", match[1])
		case current.lineOf[match[1]] != 0:
			report(line, "key %q stands twice, first on line %d", match[1], current.lineOf[match[1]])
		default:
			current.lineOf[match[1]] = line
			if value := strings.TrimSpace(content[len(match[0]):]); strings.HasPrefix(value, `"`) {
				current.setQuoted(match[1], value)
			}
		}
	}
	return problems
}

// setQuoted records a value that begins with a double quote.
func (s *Section) setQuoted(key, value string) {
	if s.quoted == nil {
		s.quoted = map[string]string{}
	}
	s.quoted[key] = value
}

// startsMultiLine reports whether a value begins with a quote that lets it span lines.
// Such values are rejected so that each line can be parsed independently.
func startsMultiLine(value string) bool {
	value = strings.TrimSpace(value)
	return strings.HasPrefix(value, `"""`) || strings.HasPrefix(value, "`")
}

// newSection returns an empty section for a title, which is a kind and a name.
func newSection(title string, line int) *Section {
	kind, name, _ := strings.Cut(strings.TrimSpace(title), " ")
	return &Section{Kind: kind, Name: strings.TrimSpace(name), Line: line, lineOf: map[string]int{}}
}

// attachValues assigns the parsed values to the sections. Both lists are in the order
// of the file.
func (f *File) attachValues(parsed *ini.File) {
	rest := parsed.Sections()
	if len(rest) > 0 && rest[0].Name() == ini.DefaultSection {
		rest = rest[1:]
	}
	for i, section := range f.Sections {
		if i < len(rest) {
			section.values = rest[i]
		}
	}
}

// Value returns the unconverted value of a key and whether the section has it.
func (s *Section) Value(key string) (string, bool) {
	if s.values == nil || !s.values.HasKey(key) {
		return "", false
	}
	return s.values.Key(key).Value(), true
}

// Definition holds the keywords of a JSON Schema object that are checked.
type Definition struct {
	Description string              `json:"description"`
	Required    []string            `json:"required"`
	Properties  map[string]Property `json:"properties"`
}

// Property holds the keywords of a JSON Schema property that are checked.
type Property struct {
	Type        string   `json:"type"`
	Description string   `json:"description"`
	Enum        []string `json:"enum"`
	Pattern     string   `json:"pattern"`
	Minimum     *float64 `json:"minimum"`
	Maximum     *float64 `json:"maximum"`
	Default     any      `json:"default"`

	// pattern is the compiled Pattern; nil if there is none.
	pattern *regexp.Regexp
}

// Definitions decodes the definitions ($defs) of a JSON Schema by name.
func Definitions(schema []byte) (map[string]Definition, error) {
	var document struct {
		Defs map[string]Definition `json:"$defs"`
	}
	if err := json.Unmarshal(schema, &document); err != nil {
		return nil, fmt.Errorf("schema: %w", err)
	}
	for title, definition := range document.Defs {
		if err := definition.compilePatterns(); err != nil {
			return nil, fmt.Errorf("schema: %s: %w", title, err)
		}
	}
	return document.Defs, nil
}

// compilePatterns compiles the patterns of the properties once, because each is matched
// against many values.
func (d Definition) compilePatterns() error {
	for key, property := range d.Properties {
		if property.Pattern == "" {
			continue
		}
		pattern, err := regexp.Compile(property.Pattern)
		if err != nil {
			return fmt.Errorf("%s: %w", key, err)
		}
		property.pattern = pattern
		d.Properties[key] = property
	}
	return nil
}

// Decode checks a section against its definition and stores its values, or the
// defaults, in the struct that target points to. The ini tags of its fields name the
// keys.
func (f *File) Decode(s *Section, def Definition, target any) Problems {
	d := decoder{file: f, section: s, def: def}
	d.checkKeys()
	d.decodeFields(reflect.ValueOf(target).Elem())
	return d.problems
}

// decoder checks and stores the values of one section and collects problems.
type decoder struct {
	file     *File
	section  *Section
	def      Definition
	problems Problems
}

// report adds a problem at the line of a key.
func (d *decoder) report(key, format string, args ...any) {
	reason := fmt.Sprintf(format, args...)
	d.problems = append(d.problems, Problem{File: d.file.Name, Line: d.section.LineOf(key), Reason: reason})
}

// checkKeys reports unknown and missing keys. The key "name" is unknown in a section
// whose title holds the name.
func (d *decoder) checkKeys() {
	for key := range d.section.lineOf {
		if _, ok := d.def.Properties[key]; !ok || key == "name" && d.section.Name != "" {
			d.report(key, "unknown key %q in [%s]", key, d.section.Kind)
		}
	}
	for _, key := range d.def.Required {
		if _, ok := d.section.lineOf[key]; !ok {
			d.report(key, "[%s] lacks the key %q", strings.TrimSpace(d.section.Kind+" "+d.section.Name), key)
		}
	}
}

// decodeFields stores the name from the title, the defaults and the values of the
// section in the fields of target.
func (d *decoder) decodeFields(target reflect.Value) {
	for i := range target.NumField() {
		key, _, _ := strings.Cut(target.Type().Field(i).Tag.Get("ini"), ",")
		property, ok := d.def.Properties[key]
		if !ok {
			continue
		}
		field := target.Field(i)
		if key == "name" && d.section.Name != "" {
			field.SetString(d.section.Name)
			continue
		}
		if property.Default != nil {
			setDefault(field, property.Default)
		}
		if text, ok := d.section.Value(key); ok {
			d.decodeValue(field, key, text, property)
		}
	}
}

// setDefault stores a default value, as decoded from JSON.
func setDefault(field reflect.Value, value any) {
	switch v := value.(type) {
	case string:
		field.SetString(v)
	case bool:
		field.SetBool(v)
	case float64:
		setNumber(field, v)
	}
}

// setNumber stores a number in a field of floating-point or integer type.
func setNumber(field reflect.Value, v float64) {
	if field.Kind() == reflect.Float64 {
		field.SetFloat(v)
		return
	}
	field.SetInt(int64(v))
}

// decodeValue parses a value by the type of its property and stores it if it is valid.
func (d *decoder) decodeValue(field reflect.Value, key, text string, property Property) {
	switch property.Type {
	case "integer":
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			d.report(key, "%s = %q is not a whole number", key, text)
			return
		}
		if d.inRange(key, float64(n), property) {
			field.SetInt(n)
		}
	case "number":
		n, err := strconv.ParseFloat(text, 64)
		if err != nil || n != n {
			d.report(key, "%s = %q is not a number", key, text)
			return
		}
		if d.inRange(key, n, property) {
			field.SetFloat(n)
		}
	case "boolean":
		b, err := strconv.ParseBool(text)
		if err != nil {
			d.report(key, "%s = %q is neither true nor false", key, text)
			return
		}
		field.SetBool(b)
	default:
		d.decodeString(field, key, text, property)
	}
}

// inRange reports whether a number is within the bounds of its property, and reports a
// problem otherwise.
func (d *decoder) inRange(key string, n float64, property Property) bool {
	if property.Minimum != nil && n < *property.Minimum {
		d.report(key, "%s = %v is below %v", key, n, *property.Minimum)
		return false
	}
	if property.Maximum != nil && n > *property.Maximum {
		d.report(key, "%s = %v is above %v", key, n, *property.Maximum)
		return false
	}
	return true
}

// decodeString stores a string that matches the enumeration and the pattern of its
// property.
func (d *decoder) decodeString(field reflect.Value, key, text string, property Property) {
	if len(property.Enum) > 0 && !slices.Contains(property.Enum, text) {
		d.report(key, "%s = %q is none of %s", key, text, strings.Join(property.Enum, ", "))
		return
	}
	if property.pattern != nil && !property.pattern.MatchString(text) {
		d.report(key, "%s = %q does not match %s", key, text, property.Pattern)
		return
	}
	field.SetString(text)
}

// SplitList splits a value at commas, trims white space and drops empty parts.
func SplitList(value string) []string {
	var parts []string
	for part := range strings.SplitSeq(value, ",") {
		if part = strings.TrimSpace(part); part != "" {
			parts = append(parts, part)
		}
	}
	return parts
}
