package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"path/filepath"
	"slices"
	"strings"

	"mimosafront/internal/inifile"
	"mimosafront/schema"
)

// Docs writes the reference of the files from the schema.
var Docs = Command{Name: "docs", Summary: "write the reference of settings, policy and scenarios", Run: runDocs}

// reference describes one generated page.
type reference struct {
	file, title, intro string
	schema             []byte
	sections           []referenceSection
}

// referenceSection is a section of an INI file and the definition of its keys.
type referenceSection struct{ title, definition string }

var references = []reference{
	{
		file: "settings.md", title: "Settings", schema: schema.Settings,
		intro: "The settings file of one entry host. It is read once, at the start of the process. Every key may be left out unless it is marked as required.",
		sections: []referenceSection{
			{"node", "Node"}, {"front", "Front"}, {"peer", "Peer"}, {"platform", "Platform"}, {"scheduler", "Scheduler"}, {"log", "Log"},
		},
	},
	{
		file: "policy.md", title: "Policy", schema: schema.Policy,
		intro: "The policy file that operators publish for all entry hosts. It is applied as a whole or not at all. Every section but `[policy]` has a name, as in `[tier brief]`.",
		sections: []referenceSection{
			{"policy", "Header"}, {"zone NAME", "Zone"}, {"tier NAME", "Tier"}, {"organisation NAME", "Organisation"}, {"caller NAME", "Caller"},
			{"hardware NAME", "Hardware"}, {"model NAME", "Model"}, {"service NAME", "Service"}, {"server NAME", "Server"},
		},
	},
	{
		file: "scenario.md", title: "Scenario", schema: schema.Scenario,
		intro: "A scenario of `mimosactl load`, `emulate` and `experiment`; see [measures](../MEASURES.md).",
		sections: []referenceSection{
			{"scenario", "Header"}, {"stream NAME", "Stream"}, {"fault NAME", "Fault"},
		},
	},
}

func runDocs(_ context.Context, args []string, stdout, stderr io.Writer) int {
	flags := newFlags("docs", "DIRECTORY", stderr)
	if code, ok := parse(flags, args, 1, 1); !ok {
		return code
	}
	for _, page := range references {
		text, err := page.markdown()
		if err != nil {
			return fail(stderr, err)
		}
		path := filepath.Join(flags.Arg(0), page.file)
		if err := writeFile(path, []byte(text), publicMode); err != nil {
			return fail(stderr, err)
		}
		fmt.Fprintln(stdout, path)
	}
	return ExitOK
}

func (r reference) markdown() (string, error) {
	definitions, err := inifile.Definitions(r.schema)
	if err != nil {
		return "", err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "# %s\n\n%s\n\nGenerated from the schema by `mimosactl docs`; don't edit.\n", r.title, r.intro)
	for _, section := range r.sections {
		definition, ok := definitions[section.definition]
		if !ok {
			return "", fmt.Errorf("%s: no definition %s", r.file, section.definition)
		}
		fmt.Fprintf(&b, "\n## [%s]\n\n%s\n\n| key | type | default | bounds | meaning |\n|---|---|---|---|---|\n", section.title, definition.Description)
		for _, key := range slices.Sorted(maps.Keys(definition.Properties)) {
			if key == "name" && strings.HasSuffix(section.title, " NAME") {
				continue
			}
			writeKey(&b, key, definition)
		}
	}
	return b.String(), nil
}

func writeKey(b *strings.Builder, key string, definition inifile.Definition) {
	property := definition.Properties[key]
	value := "required"
	if property.Default != nil {
		text, _ := json.Marshal(property.Default)
		value = "`" + string(text) + "`"
	}
	fmt.Fprintf(b, "| `%s` | %s | %s | %s | %s |\n", key, property.Type, value, boundsOf(property), property.Description)
}

// boundsOf returns what values a key allows.
func boundsOf(p inifile.Property) string {
	switch {
	case len(p.Enum) > 0:
		return "`" + strings.Join(p.Enum, "`, `") + "`"
	case p.Pattern != "":
		return "`" + p.Pattern + "`"
	case p.Minimum != nil && p.Maximum != nil:
		return fmt.Sprintf("%s to %s", number(*p.Minimum), number(*p.Maximum))
	case p.Minimum != nil:
		return "at least " + number(*p.Minimum)
	}
	return ""
}

// number formats a bound without an exponent.
func number(v float64) string {
	return strings.TrimSuffix(strings.TrimRight(fmt.Sprintf("%.3f", v), "0"), ".")
}
