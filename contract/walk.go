package contract

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strings"
)

// zeroTag marks the optional fields that may be written as zero. In the others
// zero stands for the default, so that writing it would not mean what it says.
const zeroTag = "zero"

var (
	textType     = reflect.TypeFor[encoding.TextUnmarshaler]()
	durationType = reflect.TypeFor[Duration]()
)

// walk compares a document with the type it is for, and records every unknown,
// doubled or wrongly typed field by its path.
func (k *checker) walk(path string, raw json.RawMessage, typ reflect.Type) {
	if string(raw) == "null" {
		k.must(false, path, "null has no meaning here: write a value or remove the field")
		return
	}
	switch {
	case reflect.PointerTo(typ).Implements(textType):
		k.text(path, raw, typ)
	case typ.Kind() == reflect.Pointer:
		k.walk(path, raw, typ.Elem())
	case typ.Kind() == reflect.Struct:
		k.object(path, raw, typ)
	case typ.Kind() == reflect.Slice:
		k.array(path, raw, typ)
	default:
		k.scalar(path, raw, typ)
	}
}

func (k *checker) text(path string, raw json.RawMessage, typ reflect.Type) {
	var s string
	if json.Unmarshal(raw, &s) != nil {
		want := "a string"
		if typ == durationType {
			want = `a duration with its unit in quotes, as "800ms" or "2s"`
		}
		k.must(false, path, "%s is wrong here: write %s", clip(raw), want)
		return
	}
	v := reflect.New(typ).Interface().(encoding.TextUnmarshaler)
	if err := v.UnmarshalText([]byte(s)); err != nil {
		k.must(false, path, "%s", err)
	}
}

func (k *checker) scalar(path string, raw json.RawMessage, typ reflect.Type) {
	if json.Unmarshal(raw, reflect.New(typ).Interface()) == nil {
		return
	}
	want := "a number"
	switch typ.Kind() {
	case reflect.String:
		want = "a string"
	case reflect.Int, reflect.Int64:
		want = "a whole number without unit or quotes"
	}
	k.must(false, path, "%s is wrong here: write %s", clip(raw), want)
}

func (k *checker) array(path string, raw json.RawMessage, typ reflect.Type) {
	var items []json.RawMessage
	if json.Unmarshal(raw, &items) != nil {
		k.must(false, path, "%s is wrong here: write a list in square brackets", clip(raw))
		return
	}
	for i, item := range items {
		k.walk(fmt.Sprintf("%s[%d]", path, i), item, typ.Elem())
	}
}

func (k *checker) object(path string, raw json.RawMessage, typ reflect.Type) {
	if len(raw) == 0 || raw[0] != '{' {
		k.must(false, path, "%s is wrong here: write an object in braces", clip(raw))
		return
	}
	fields := jsonFields(typ)
	seen := make(map[string]bool, len(fields))
	for name, value := range members(raw) {
		p := strings.TrimPrefix(path+"."+name, ".")
		f, known := fields[name]
		switch {
		case !known:
			k.must(false, p, "unknown field: did you mean %q?", nearest(name, fields))
		case seen[name]:
			k.must(false, p, "stands twice: remove one")
		default:
			k.walk(p, value, f.typ)
			k.must(!f.zeroIsDefault || !isZero(value), p, "%s would mean the default: leave the field out for the default, or write the value you want", clip(value))
		}
		seen[name] = true
	}
}

// members yields the members of a valid JSON object in order, doubled names
// included.
func members(raw json.RawMessage) func(yield func(string, json.RawMessage) bool) {
	return func(yield func(string, json.RawMessage) bool) {
		dec := json.NewDecoder(bytes.NewReader(raw))
		_, _ = dec.Token()
		for dec.More() {
			name, err := dec.Token()
			if err != nil {
				return
			}
			var value json.RawMessage
			if dec.Decode(&value) != nil || !yield(name.(string), value) {
				return
			}
		}
	}
}

type field struct {
	typ           reflect.Type
	zeroIsDefault bool
}

func jsonFields(typ reflect.Type) map[string]field {
	fields := make(map[string]field, typ.NumField())
	for i := range typ.NumField() {
		f := typ.Field(i)
		name, opts, _ := strings.Cut(f.Tag.Get("json"), ",")
		optional := opts == "omitempty" && f.Type.Kind() != reflect.Pointer
		fields[name] = field{f.Type, optional && f.Tag.Get(zeroTag) == ""}
	}
	return fields
}

// isZero tells whether a scalar is written as 0, "0s" or the like.
func isZero(raw json.RawMessage) bool {
	var n float64
	if json.Unmarshal(raw, &n) == nil {
		return n == 0
	}
	var d Duration
	return json.Unmarshal(raw, &d) == nil && d == 0
}

// nearest returns the known name that differs least from name.
func nearest(name string, fields map[string]field) string {
	best, least := "", len(name)+64
	names := make([]string, 0, len(fields))
	for known := range fields {
		names = append(names, known)
	}
	slices.Sort(names)
	for _, known := range names {
		if d := unlikeness(strings.ToLower(name), known); d < least {
			best, least = known, d
		}
	}
	return best
}

// unlikeness is the distance of two names; one that contains the other is
// near it.
func unlikeness(a, b string) int {
	if a != "" && (strings.Contains(a, b) || strings.Contains(b, a)) {
		return 1
	}
	return distance(a, b)
}

// distance is the Levenshtein distance of two strings, in bytes.
func distance(a, b string) int {
	const longest = 64
	a, b = a[:min(len(a), longest)], b[:min(len(b), longest)]
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			replaced := diagonal
			if a[i] != b[j] {
				replaced++
			}
			diagonal = row[j+1]
			row[j+1] = min(replaced, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}

// clip shortens a value for a message.
func clip(raw json.RawMessage) string {
	const most = 40
	if len(raw) <= most {
		return string(raw)
	}
	return string(raw[:most]) + "..."
}

// document reads the one JSON value of data, or says where it breaks off.
func document(data []byte) (json.RawMessage, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	var raw json.RawMessage
	if err := dec.Decode(&raw); err != nil {
		line := 1 + bytes.Count(data[:min(int(dec.InputOffset()), len(data))], []byte("\n"))
		if s, ok := err.(*json.SyntaxError); ok {
			line = 1 + bytes.Count(data[:min(int(s.Offset), len(data))], []byte("\n"))
		}
		return nil, fmt.Errorf("line %d: %w", line, err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, fmt.Errorf("text follows the document: remove it")
	}
	return raw, nil
}
