package contract

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Difference is one field in which two contracts differ.
type Difference struct {
	// Path is the field, as "routes[prices].deadline"; services and routes
	// go by their names.
	Path string `json:"path"`
	// Old and New are the values in JSON; empty where the field is missing.
	Old string `json:"old"`
	New string `json:"new"`
}

// String returns "path: old -> new".
func (d Difference) String() string {
	const missing = "(none)"
	old, cur := d.Old, d.New
	if old == "" {
		old = missing
	}
	if cur == "" {
		cur = missing
	}
	return fmt.Sprintf("%s: %s -> %s", d.Path, old, cur)
}

// Differences lists the fields in which b differs from a, in the order of
// their paths.
func Differences(a, b *Contract) []Difference {
	olds, news := leaves(a), leaves(b)
	paths := maps.Clone(olds)
	maps.Copy(paths, news)
	var out []Difference
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		if olds[path] != news[path] {
			out = append(out, Difference{Path: path, Old: olds[path], New: news[path]})
		}
	}
	return out
}

// leaves returns the values of a contract by their paths.
func leaves(c *Contract) map[string]string {
	doc, err := json.Marshal(c)
	if err != nil {
		panic(err) // no field of a Contract can fail to marshal
	}
	var tree any
	if err := json.Unmarshal(doc, &tree); err != nil {
		panic(err) // as above
	}
	out := make(map[string]string)
	addLeaves(out, "", tree)
	return out
}

func addLeaves(out map[string]string, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for name, member := range v {
			p := name
			if path != "" {
				p = path + "." + name
			}
			addLeaves(out, p, member)
		}
	case []any:
		for i, item := range v {
			addLeaves(out, fmt.Sprintf("%s[%s]", path, itemName(i, item)), item)
		}
	default:
		doc, _ := json.Marshal(v)
		out[path] = string(doc)
	}
}

// itemName returns the name of a named item, else its index.
func itemName(i int, item any) string {
	if m, ok := item.(map[string]any); ok {
		if name, ok := m["name"].(string); ok {
			return name
		}
	}
	return fmt.Sprint(i)
}
