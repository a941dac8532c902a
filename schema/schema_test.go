package schema_test

import (
	"encoding/json"
	"testing"

	"mimosafront/schema"
)

// TestEveryFieldIsDescribed guards against generated types and reference pages
// with undocumented fields.
func TestEveryFieldIsDescribed(t *testing.T) {
	type property struct {
		Description string `json:"description"`
	}
	type definition struct {
		Description string              `json:"description"`
		Properties  map[string]property `json:"properties"`
	}
	for name, text := range map[string][]byte{
		"settings": schema.Settings, "policy": schema.Policy, "messages": schema.Messages, "status": schema.Status,
	} {
		var document struct {
			definition
			Defs map[string]definition `json:"$defs"`
		}
		if err := json.Unmarshal(text, &document); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		document.Defs[name] = document.definition
		for title, each := range document.Defs {
			if each.Description == "" {
				t.Errorf("%s: %s has no description", name, title)
			}
			for key, field := range each.Properties {
				if field.Description == "" {
					t.Errorf("%s: %s.%s has no description", name, title, key)
				}
			}
		}
	}
}
