package policy

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// ChangeKind classifies how a section differs between two policies.
type ChangeKind string

// The kinds of changes.
const (
	// ChangeAdded is a section that only the later policy has.
	ChangeAdded ChangeKind = "added"
	// ChangeRemoved is a section that only the earlier policy has.
	ChangeRemoved ChangeKind = "removed"
	// ChangeChanged is a key whose value differs.
	ChangeChanged ChangeKind = "changed"
)

// Change is one difference between two policies.
type Change struct {
	Kind ChangeKind
	// Section is the kind of the file's section, Name its name; [policy] has no name.
	Section string
	Name    string
	// Key, Before and After are the key and its two values; they are set only for
	// ChangeChanged.
	Key    string
	Before string
	After  string
}

// String returns the change as one line of text.
func (c Change) String() string {
	title := strings.TrimSpace(c.Section + " " + c.Name)
	if c.Kind != ChangeChanged {
		return fmt.Sprintf("%s [%s]", c.Kind, title)
	}
	return fmt.Sprintf("%s [%s] %s: %s -> %s", c.Kind, title, c.Key, c.Before, c.After)
}

// Diff returns the changes from one policy to another, ordered by the kind of
// section and then by name.
func Diff(before, after *Policy) []Change {
	changes := diffFields("policy", "", before.Header, after.Header)
	changes = append(changes, diffMaps("zone", before.Zones, after.Zones)...)
	changes = append(changes, diffMaps("tier", before.tiersByName, after.tiersByName)...)
	changes = append(changes, diffMaps("organisation", before.Organisations, after.Organisations)...)
	changes = append(changes, diffMaps("caller", before.Callers, after.Callers)...)
	changes = append(changes, diffMaps("hardware", before.Hardware, after.Hardware)...)
	changes = append(changes, diffMaps("model", before.Models, after.Models)...)
	changes = append(changes, diffMaps("service", before.Services, after.Services)...)
	changes = append(changes, diffMaps("server", before.Servers, after.Servers)...)
	return append(changes, diffMaps("route", before.Routes, after.Routes)...)
}

// diffMaps returns the changes of one kind of section, ordered by name.
func diffMaps[T any](section string, before, after map[string]T) []Change {
	var names []string
	for name := range before {
		names = append(names, name)
	}
	for name := range after {
		if _, ok := before[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var changes []Change
	for _, name := range names {
		old, had := before[name]
		new, has := after[name]
		switch {
		case !had:
			changes = append(changes, Change{Kind: ChangeAdded, Section: section, Name: name})
		case !has:
			changes = append(changes, Change{Kind: ChangeRemoved, Section: section, Name: name})
		default:
			changes = append(changes, diffFields(section, name, old, new)...)
		}
	}
	return changes
}

// diffFields compares two values of the same generated type field by field. Changes
// are reported under the INI keys of the fields.
func diffFields(section, name string, before, after any) []Change {
	old, new := reflect.ValueOf(before), reflect.ValueOf(after)
	var changes []Change
	for i := range old.NumField() {
		a, b := old.Field(i).Interface(), new.Field(i).Interface()
		if a == b {
			continue
		}
		key, _, _ := strings.Cut(old.Type().Field(i).Tag.Get("ini"), ",")
		changes = append(changes, Change{
			Kind: ChangeChanged, Section: section, Name: name, Key: key, Before: fmt.Sprint(a), After: fmt.Sprint(b),
		})
	}
	return changes
}
