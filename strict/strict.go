// Package strict reads JSON trees into structs and names every fault with its
// place: unknown and doubled keys, missing ones, wrong types, values out of
// bounds (design.md section 4.1). Settings, desk files, engine lists and
// request bodies all go through it.
package strict

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"reflect"
	"sort"
	"strconv"
	"strings"
	"time"

	kjson "github.com/knadh/koanf/parsers/json"
	"github.com/knadh/koanf/providers/rawbytes"
	"github.com/knadh/koanf/v2"
)

// Fault is one thing wrong, and where.
type Fault struct {
	Place  string `json:"place"`
	Reason string `json:"reason"`
}

// String is the line that people read.
func (f Fault) String() string { return f.Place + ": " + f.Reason }

// Missing is the reason given for a key that must be there.
const Missing = "is missing"

// Faults is all that is wrong with one file.
type Faults []Fault

// Error implements error.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "; ")
}

// Add notes one fault.
func (fs *Faults) Add(place, format string, args ...any) {
	if place == "" {
		place = "(top)"
	}
	*fs = append(*fs, Fault{place, fmt.Sprintf(format, args...)})
}

// Load reads a file's bytes strictly into out, a pointer to a struct. A sound text is
// read in one pass (scan.go); only one with faults is read again, to name them all.
func Load(b []byte, out any) Faults {
	if scanned(b, reflect.ValueOf(out).Elem()) {
		return nil
	}
	return load(b, out)
}

// load reads by koanf and names every fault.
func load(b []byte, out any) Faults {
	var faults Faults
	if doubled(b, &faults); len(faults) > 0 {
		return faults
	}
	k := koanf.New("\x00")
	if err := k.Load(rawbytes.Provider(b), kjson.Parser()); err != nil {
		faults.Add("", "not a JSON object: %v", err)
		return faults
	}
	Decode("", k.Raw(), reflect.ValueOf(out).Elem(), &faults)
	return faults
}

// doubled walks the tokens once, for what the decoders after it let pass:
// a key given twice, and text behind the end.
func doubled(b []byte, faults *Faults) {
	dec := json.NewDecoder(bytes.NewReader(b))
	if err := walk(dec, "", 0, faults); err != nil {
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			faults.Add("", "the text ends too early")
		} else {
			line, column := 1+bytes.Count(b[:min(int(dec.InputOffset()), len(b))], []byte("\n")), 0
			if at := bytes.LastIndexByte(b[:min(int(dec.InputOffset()), len(b))], '\n'); at >= 0 {
				column = int(dec.InputOffset()) - at
			} else {
				column = int(dec.InputOffset()) + 1
			}
			faults.Add(fmt.Sprintf("line %d column %d", line, column), "not JSON: %v", err)
		}
		return
	}
	if _, err := dec.Token(); err != io.EOF {
		faults.Add("", "there is text behind the end of the JSON object")
	}
}

const maxDepth = 64

func walk(dec *json.Decoder, place string, depth int, faults *Faults) error {
	if depth > maxDepth {
		return fmt.Errorf("nested more than %d deep", maxDepth)
	}
	tok, err := dec.Token()
	if err != nil {
		return err
	}
	switch tok {
	case json.Delim('{'):
		had := map[string]bool{}
		for dec.More() {
			key, err := dec.Token()
			if err != nil {
				return err
			}
			at := join(place, key.(string))
			if had[key.(string)] {
				faults.Add(at, "given twice")
			}
			had[key.(string)] = true
			if err := walk(dec, at, depth+1, faults); err != nil {
				return err
			}
		}
		_, err = dec.Token()
	case json.Delim('['):
		for i := 0; dec.More(); i++ {
			if err := walk(dec, fmt.Sprintf("%s[%d]", place, i), depth+1, faults); err != nil {
				return err
			}
		}
		_, err = dec.Token()
	}
	return err
}

func join(place, key string) string {
	if place == "" {
		return key
	}
	return place + "." + key
}

var durationType = reflect.TypeFor[Duration]()

// Duration is a time.Duration written as "250ms" or "8s".
type Duration time.Duration

// D is the plain form.
func (d Duration) D() time.Duration { return time.Duration(d) }

// MarshalJSON writes the form that Decode reads.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// UnmarshalJSON reads it back, where no strictness is asked for.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return err
	}
	v, err := time.ParseDuration(s)
	*d = Duration(v)
	return err
}

// Decode fills out from a tree. A field's tags: `json:"name"`, `need:"yes"` for
// keys that must be there, `min` and `max` for numbers, durations, and the
// lengths of texts and lists, `any:"of these words"` for texts.
func Decode(place string, tree any, out reflect.Value, faults *Faults) {
	switch {
	case out.Type() == durationType:
		text, ok := tree.(string)
		if !ok {
			faults.Add(place, "must be a duration such as \"250ms\", not %s", kind(tree))
			return
		}
		d, err := time.ParseDuration(text)
		if err != nil {
			faults.Add(place, "%q is not a duration such as \"250ms\"", text)
			return
		}
		out.SetInt(int64(d))
	case out.Kind() == reflect.Struct:
		decodeStruct(place, tree, out, faults)
	case out.Kind() == reflect.Slice:
		list, ok := tree.([]any)
		if !ok {
			faults.Add(place, "must be a list, not %s", kind(tree))
			return
		}
		made := reflect.MakeSlice(out.Type(), len(list), len(list))
		for i, item := range list {
			Decode(fmt.Sprintf("%s[%d]", place, i), item, made.Index(i), faults)
		}
		out.Set(made)
	case out.Kind() == reflect.String:
		text, ok := tree.(string)
		if !ok {
			faults.Add(place, "must be a text, not %s", kind(tree))
			return
		}
		out.SetString(text)
	case out.Kind() == reflect.Bool:
		yes, ok := tree.(bool)
		if !ok {
			faults.Add(place, "must be true or false, not %s", kind(tree))
			return
		}
		out.SetBool(yes)
	case out.CanInt() || out.CanUint():
		n, ok := tree.(float64)
		if !ok || n != math.Trunc(n) || math.Abs(n) > 1<<53 {
			faults.Add(place, "must be a whole number, not %s", kind(tree))
			return
		}
		if out.CanUint() {
			if n < 0 {
				faults.Add(place, "must not be negative")
				return
			}
			out.SetUint(uint64(n))
			return
		}
		out.SetInt(int64(n))
	case out.CanFloat():
		n, ok := tree.(float64)
		if !ok {
			faults.Add(place, "must be a number, not %s", kind(tree))
			return
		}
		out.SetFloat(n)
	case out.Kind() == reflect.Interface:
		if tree != nil {
			out.Set(reflect.ValueOf(tree))
		}
	case out.Kind() == reflect.Pointer:
		made := reflect.New(out.Type().Elem())
		Decode(place, tree, made.Elem(), faults)
		out.Set(made)
	default:
		panic("strict: no rule for " + out.Type().String())
	}
}

func decodeStruct(place string, tree any, out reflect.Value, faults *Faults) {
	object, ok := tree.(map[string]any)
	if !ok {
		faults.Add(place, "must be an object, not %s", kind(tree))
		return
	}
	known := map[string]bool{}
	for i := range out.NumField() {
		field := out.Type().Field(i)
		key, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if key == "" || key == "-" {
			continue
		}
		known[key] = true
		at := join(place, key)
		value, had := object[key]
		if !had {
			if field.Tag.Get("need") == "yes" {
				faults.Add(at, Missing)
			}
			continue
		}
		before := len(*faults)
		Decode(at, value, out.Field(i), faults)
		if len(*faults) == before {
			bounds(at, field, out.Field(i), faults)
		}
	}
	var unknown []string
	for key := range object {
		if !known[key] {
			unknown = append(unknown, key)
		}
	}
	sort.Strings(unknown)
	for _, key := range unknown {
		faults.Add(join(place, key), "is not a known key")
	}
}

func bounds(place string, field reflect.StructField, value reflect.Value, faults *Faults) {
	if words := field.Tag.Get("any"); words != "" && !contains(strings.Fields(words), value.String()) {
		faults.Add(place, "must be one of %s, not %q", strings.Join(strings.Fields(words), ", "), value.String())
	}
	for _, side := range []string{"min", "max"} {
		limit := field.Tag.Get(side)
		if limit == "" {
			continue
		}
		var have, want float64
		what := ""
		switch {
		case value.Type() == durationType:
			d, err := time.ParseDuration(limit)
			if err != nil {
				panic("strict: bad tag on " + field.Name)
			}
			have, want = float64(value.Int()), float64(d)
		case value.Kind() == reflect.Pointer:
			continue
		default:
			want, _ = strconv.ParseFloat(limit, 64)
			switch {
			case value.Kind() == reflect.String || value.Kind() == reflect.Slice:
				have, what = float64(value.Len()), " long"
			case value.CanInt():
				have = float64(value.Int())
			case value.CanUint():
				have = float64(value.Uint())
			default:
				have = value.Float()
			}
		}
		if side == "min" && have < want {
			faults.Add(place, "must be at least %s%s", limit, what)
		}
		if side == "max" && have > want {
			faults.Add(place, "must be at most %s%s", limit, what)
		}
	}
}

func contains(words []string, word string) bool {
	for _, w := range words {
		if w == word {
			return true
		}
	}
	return false
}

func kind(tree any) string {
	switch v := tree.(type) {
	case nil:
		return "null"
	case bool:
		return "true or false"
	case float64:
		return "the number " + strconv.FormatFloat(v, 'g', -1, 64)
	case string:
		return "a text"
	case []any:
		return "a list"
	}
	return "an object"
}
