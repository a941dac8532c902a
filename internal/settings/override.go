package settings

import (
	"fmt"
	"strings"
)

// Override replaces one setting of a file.
type Override struct{ Section, Key, Value string }

// ParseOverride reads SECTION.KEY=VALUE. An empty value leaves the setting as it is, so
// that a platform which lacks the field that fills it starts the process all the same.
func ParseOverride(text string) (Override, error) {
	name, value, ok := strings.Cut(text, "=")
	section, key, named := strings.Cut(name, ".")
	if !ok || !named || section == "" || key == "" {
		return Override{}, fmt.Errorf("%q is not of the form SECTION.KEY=VALUE", text)
	}
	return Override{Section: section, Key: key, Value: value}, nil
}

// override applies overrides to the file.
func (p *parser) override(overrides []Override) {
	for _, o := range overrides {
		if o.Value != "" && !p.set(o) {
			p.report(1, "section ["+o.Section+"] of the override "+o.Section+"."+o.Key+" holds no settings")
		}
	}
}

func (p *parser) set(o Override) bool {
	for _, section := range p.file.Sections {
		if section.Kind == o.Section && section.Name == "" {
			return section.Set(o.Key, o.Value)
		}
	}
	return false
}
