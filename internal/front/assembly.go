package front

import (
	"encoding/json"
	"maps"
	"slices"
)

// object is a JSON object in the protocol of the engine.
type object = map[string]any

// assembly builds a complete chat completion from the chunks of a streamed one.
type assembly struct {
	// topLevel holds all fields except the choices.
	topLevel object
	choices  map[int]object
}

// add merges the data of the next chunk.
func (a *assembly) add(data string) error {
	var chunk struct {
		Choices []object `json:"choices"`
	}
	var fields object
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return err
	}
	if err := json.Unmarshal([]byte(data), &fields); err != nil {
		return err
	}
	if a.choices == nil {
		a.topLevel, a.choices = object{}, map[int]object{}
	}
	delete(fields, "choices")
	for name, value := range fields {
		if value != nil {
			a.topLevel[name] = value
		}
	}
	for _, choice := range chunk.Choices {
		a.addChoice(choice)
	}
	return nil
}

// addChoice merges the delta of one choice into the choice with the same index.
func (a *assembly) addChoice(choice object) {
	index := indexOf(choice)
	whole, ok := a.choices[index]
	if !ok {
		whole = object{"index": index, "message": object{"role": "assistant"}}
		a.choices[index] = whole
	}
	if delta, ok := choice["delta"].(object); ok {
		mergeDelta(whole["message"].(object), delta)
	}
	delete(choice, "delta")
	delete(choice, "index")
	mergeDelta(whole, choice)
}

// indexOf returns the index field of an object, or 0 without one.
func indexOf(o object) int {
	index, _ := o["index"].(float64)
	return int(index)
}

// fixedFields are string fields that a later delta replaces; other strings are
// appended.
var fixedFields = []string{"role", "id", "type", "name", "finish_reason"}

// mergeDelta appends the strings and lists of a delta to those of an object and sets
// the other fields.
func mergeDelta(into, delta object) {
	for name, value := range delta {
		switch v := value.(type) {
		case nil:
			continue
		case string:
			before, _ := into[name].(string)
			if slices.Contains(fixedFields, name) {
				before = ""
			}
			into[name] = before + v
		case object:
			before, ok := into[name].(object)
			if !ok {
				before = object{}
				into[name] = before
			}
			mergeDelta(before, v)
		case []any:
			before, _ := into[name].([]any)
			into[name] = mergeList(before, v)
		default:
			into[name] = v
		}
	}
}

// mergeList appends items to a list. An item with an index is merged into the listed
// item of the same index.
func mergeList(before, items []any) []any {
	for _, item := range items {
		part, ok := item.(object)
		if _, indexed := part["index"]; !ok || !indexed {
			before = append(before, item)
			continue
		}
		position := slices.IndexFunc(before, func(other any) bool {
			o, ok := other.(object)
			return ok && indexOf(o) == indexOf(part)
		})
		if position < 0 {
			before = append(before, object{})
			position = len(before) - 1
		}
		mergeDelta(before[position].(object), part)
	}
	return before
}

// completion returns the complete chat completion.
func (a *assembly) completion() object {
	whole := maps.Clone(a.topLevel)
	whole["object"] = "chat.completion"
	list := make([]object, 0, len(a.choices))
	for _, index := range slices.Sorted(maps.Keys(a.choices)) {
		list = append(list, a.choices[index])
	}
	whole["choices"] = list
	return whole
}
