package contract

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"
)

// zeroTag marks the optional fields that may be written as zero. In the others
// zero stands for the default, so that writing it would not mean what it says.
const zeroTag = "zero"

var (
	textType     = reflect.TypeFor[encoding.TextUnmarshaler]()
	durationType = reflect.TypeFor[Duration]()
)

// walker compares a valid JSON document with the type it is for, in one pass,
// and records every unknown, doubled or wrongly typed field by its path.
type walker struct {
	*checker
	dec *json.Decoder
}

// walk reads the next value of the document.
func (k walker) walk(path string, typ reflect.Type, zeroIsDefault bool) {
	if typ.Kind() == reflect.Pointer {
		typ = typ.Elem()
	}
	switch {
	case reflect.PointerTo(typ).Implements(textType):
		k.leaf(path, typ, zeroIsDefault)
	case typ.Kind() == reflect.Struct:
		k.object(path, typ)
	case typ.Kind() == reflect.Slice:
		k.array(path, typ)
	default:
		k.leaf(path, typ, zeroIsDefault)
	}
}

// leaf reads a value that is neither object nor list.
func (k walker) leaf(path string, typ reflect.Type, zeroIsDefault bool) {
	var raw json.RawMessage
	_ = k.dec.Decode(&raw)
	switch {
	case string(raw) == "null":
		k.must(false, path, "null has no meaning here: write a value or remove the field")
	case reflect.PointerTo(typ).Implements(textType):
		k.text(path, raw, typ)
	default:
		k.scalar(path, raw, typ)
	}
	if zeroIsDefault && isZero(raw) {
		k.must(false, path, "%s would mean the default: leave the field out for the default, or write the value you want", clip(raw))
	}
}

func (k walker) text(path string, raw json.RawMessage, typ reflect.Type) {
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

func (k walker) scalar(path string, raw json.RawMessage, typ reflect.Type) {
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

// open reads the start of an object or list. If another value stands there it
// records that and skips it.
func (k walker) open(path string, want json.Delim, name string) bool {
	tok, _ := k.dec.Token()
	if tok == want {
		return true
	}
	if delim, ok := tok.(json.Delim); ok {
		k.skip()
		k.must(false, path, "%s...%s is wrong here: write %s", delim, closing[delim], name)
		return false
	}
	raw, _ := json.Marshal(tok)
	k.must(false, path, "%s is wrong here: write %s", clip(raw), name)
	return false
}

var closing = map[json.Delim]string{'{': "}", '[': "]"}

// skip reads to the end of the object or list that was opened.
func (k walker) skip() {
	for depth := 1; depth > 0; {
		tok, err := k.dec.Token()
		if err != nil {
			return
		}
		switch tok {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
	}
}

func (k walker) array(path string, typ reflect.Type) {
	if !k.open(path, '[', "a list in square brackets") {
		return
	}
	for i := 0; k.dec.More(); i++ {
		k.walk(path+"["+strconv.Itoa(i)+"]", typ.Elem(), false)
	}
	_, _ = k.dec.Token()
}

func (k walker) object(path string, typ reflect.Type) {
	if !k.open(path, '{', "an object in braces") {
		return
	}
	fields := jsonFields(typ)
	seen := make(map[string]bool, len(fields))
	for k.dec.More() {
		tok, _ := k.dec.Token()
		name, ok := tok.(string)
		if !ok {
			return
		}
		k.member(strings.TrimPrefix(path+"."+name, "."), name, fields, seen)
		seen[name] = true
	}
	_, _ = k.dec.Token()
}

func (k walker) member(path, name string, fields map[string]field, seen map[string]bool) {
	f, known := fields[name]
	if known && !seen[name] {
		k.walk(path, f.typ, f.zeroIsDefault)
		return
	}
	var ignored json.RawMessage
	_ = k.dec.Decode(&ignored)
	if known {
		k.must(false, path, "stands twice: remove one")
		return
	}
	k.must(false, path, "unknown field: did you mean %q?", nearest(name, fields))
}

type field struct {
	typ           reflect.Type
	zeroIsDefault bool
}

// knownFields caches jsonFields by type.
var knownFields sync.Map

func jsonFields(typ reflect.Type) map[string]field {
	if fields, ok := knownFields.Load(typ); ok {
		return fields.(map[string]field)
	}
	fields := make(map[string]field, typ.NumField())
	for i := range typ.NumField() {
		f := typ.Field(i)
		name, opts, _ := strings.Cut(f.Tag.Get("json"), ",")
		optional := opts == "omitempty" && f.Type.Kind() != reflect.Pointer
		fields[name] = field{f.Type, optional && f.Tag.Get(zeroTag) == ""}
	}
	knownFields.Store(typ, fields)
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
