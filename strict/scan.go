package strict

import (
	"encoding/json"
	"math"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"time"
	"unicode/utf8"
)

// The scan reads a sound file in one pass. It names no fault: where anything is not
// as it should be it gives up, and the slow way (doubled, Decode) reads the text anew
// to say what is wrong. So it must never take what the slow way faults, and what it
// takes must come out the same (FuzzLoad).

// shape is what the scan knows of one type.
type shape struct {
	kind   shapeKind
	elem   *shape  // of a list or a pointer
	fields []field // of a struct
	byKey  map[string]int
}

type shapeKind uint8

const (
	shapeNone shapeKind = iota // left to the slow way
	shapeStruct
	shapeList
	shapePointer
	shapeText
	shapeBool
	shapeInt
	shapeUint
	shapeFloat
	shapeDuration
	shapeAny
)

type field struct {
	index            int
	shape            *shape
	need             bool
	bounded          bool
	lowest, greatest float64
	words            []string
}

// maxFields bounds a struct's keys to the bits that note which were given.
const maxFields = 64

var shapes sync.Map // reflect.Type to *shape

func shapeOf(t reflect.Type) *shape {
	if s, ok := shapes.Load(t); ok {
		return s.(*shape)
	}
	s, _ := shapes.LoadOrStore(t, makeShape(t, 0))
	return s.(*shape)
}

func makeShape(t reflect.Type, depth int) *shape {
	s := &shape{}
	switch {
	case depth > maxDepth: // a type that holds itself
	case t == durationType:
		s.kind = shapeDuration
	case t.Kind() == reflect.Struct:
		s.fillStruct(t, depth)
	case t.Kind() == reflect.Slice || t.Kind() == reflect.Pointer:
		s.kind, s.elem = shapeList, makeShape(t.Elem(), depth+1)
		if t.Kind() == reflect.Pointer {
			s.kind = shapePointer
		}
		if s.elem.kind == shapeNone {
			return &shape{}
		}
	case t.Kind() == reflect.String:
		s.kind = shapeText
	case t.Kind() == reflect.Bool:
		s.kind = shapeBool
	case t.Kind() >= reflect.Int && t.Kind() <= reflect.Int64:
		s.kind = shapeInt
	case t.Kind() >= reflect.Uint && t.Kind() <= reflect.Uintptr:
		s.kind = shapeUint
	case t.Kind() == reflect.Float32 || t.Kind() == reflect.Float64:
		s.kind = shapeFloat
	case t.Kind() == reflect.Interface && t.NumMethod() == 0:
		s.kind = shapeAny
	}
	return s
}

func (s *shape) fillStruct(t reflect.Type, depth int) {
	s.byKey = map[string]int{}
	for i := range t.NumField() {
		f := t.Field(i)
		key, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if key == "" || key == "-" {
			continue
		}
		made := field{
			index: i, shape: makeShape(f.Type, depth+1), need: f.Tag.Get("need") == "yes",
			lowest: math.Inf(-1), greatest: math.Inf(1), words: strings.Fields(f.Tag.Get("any")),
		}
		_, twice := s.byKey[key]
		if made.shape.kind == shapeNone || twice || len(s.fields) == maxFields || !made.limits(f) {
			return // as shapeNone
		}
		s.byKey[key] = len(s.fields)
		s.fields = append(s.fields, made)
	}
	s.kind = shapeStruct
}

// limits reads a field's tags once. False leaves the type to the slow way.
func (f *field) limits(of reflect.StructField) bool {
	if len(f.words) > 0 && f.shape.kind != shapeText {
		return false
	}
	for _, side := range []struct {
		tag  string
		into *float64
	}{{"min", &f.lowest}, {"max", &f.greatest}} {
		limit := of.Tag.Get(side.tag)
		if limit == "" {
			continue
		}
		f.bounded = true
		var err error
		switch f.shape.kind {
		case shapeDuration:
			var d time.Duration
			d, err = time.ParseDuration(limit)
			*side.into = float64(d)
		case shapeText, shapeList, shapeInt, shapeUint, shapeFloat:
			*side.into, err = strconv.ParseFloat(limit, 64)
		default:
			return false
		}
		if err != nil {
			return false
		}
	}
	return true
}

// within tells whether a value that was read keeps the field's bounds.
func (f *field) within(value reflect.Value) bool {
	if len(f.words) > 0 && !contains(f.words, value.String()) {
		return false
	}
	if !f.bounded {
		return true
	}
	var have float64
	switch f.shape.kind {
	case shapeText, shapeList:
		have = float64(value.Len())
	case shapeUint:
		have = float64(value.Uint())
	case shapeFloat:
		have = value.Float()
	default:
		have = float64(value.Int())
	}
	return have >= f.lowest && have <= f.greatest
}

// scanned reads b into out, a struct, and tells whether it did. Where it did not,
// out is as it was.
func scanned(b []byte, out reflect.Value) bool {
	s := shapeOf(out.Type())
	if s.kind != shapeStruct {
		return false
	}
	made := reflect.New(out.Type()).Elem()
	made.Set(out)
	c := scanner{b: b}
	if !c.value(s, made, 0) || c.next() != 0 || c.at != len(b) {
		return false
	}
	out.Set(made)
	return true
}

type scanner struct {
	b  []byte
	at int
}

// next skips blanks and tells the byte that follows; 0 at the end.
func (c *scanner) next() byte {
	for ; c.at < len(c.b); c.at++ {
		switch c.b[c.at] {
		case ' ', '\t', '\n', '\r':
		default:
			return c.b[c.at]
		}
	}
	return 0
}

func (c *scanner) take(want byte) bool {
	if c.next() != want || c.at == len(c.b) {
		return false
	}
	c.at++
	return true
}

func (c *scanner) word(word string) bool {
	if c.next(); len(c.b)-c.at < len(word) || string(c.b[c.at:c.at+len(word)]) != word {
		return false
	}
	c.at += len(word)
	return true
}

func (c *scanner) value(s *shape, out reflect.Value, depth int) bool {
	if depth > maxDepth {
		return false
	}
	switch s.kind {
	case shapeStruct:
		return c.object(s, out, depth)
	case shapeList:
		return c.list(s, out, depth)
	case shapePointer:
		made := reflect.New(out.Type().Elem())
		if !c.value(s.elem, made.Elem(), depth) {
			return false
		}
		out.Set(made)
	case shapeText:
		text, ok := c.text()
		if !ok {
			return false
		}
		out.SetString(text)
	case shapeBool:
		switch c.next() {
		case 't':
			out.SetBool(true)
			return c.word("true")
		case 'f':
			out.SetBool(false)
			return c.word("false")
		}
		return false
	case shapeInt, shapeUint:
		n, ok := c.number()
		if !ok || n != math.Trunc(n) || math.Abs(n) > 1<<53 || s.kind == shapeUint && n < 0 {
			return false
		}
		if s.kind == shapeUint {
			out.SetUint(uint64(n))
		} else {
			out.SetInt(int64(n))
		}
	case shapeFloat:
		n, ok := c.number()
		if !ok {
			return false
		}
		out.SetFloat(n)
	case shapeDuration:
		text, ok := c.text()
		if !ok {
			return false
		}
		d, err := time.ParseDuration(text)
		if err != nil {
			return false
		}
		out.SetInt(int64(d))
	case shapeAny:
		tree, ok := c.tree(depth)
		if !ok {
			return false
		}
		if tree != nil {
			out.Set(reflect.ValueOf(tree))
		}
	default:
		return false
	}
	return true
}

func (c *scanner) object(s *shape, out reflect.Value, depth int) bool {
	if !c.take('{') {
		return false
	}
	var had uint64
	if c.next() == '}' {
		c.at++
	} else {
		for {
			key, plain, ok := c.quoted()
			if !ok || !plain || !c.take(':') {
				return false
			}
			i, known := s.byKey[string(key)]
			if !known || had&(1<<i) != 0 {
				return false
			}
			had |= 1 << i
			f := &s.fields[i]
			into := out.Field(f.index)
			if !c.value(f.shape, into, depth+1) || !f.within(into) {
				return false
			}
			if c.next() == ',' {
				c.at++
				continue
			}
			if !c.take('}') {
				return false
			}
			break
		}
	}
	for i := range s.fields {
		if s.fields[i].need && had&(1<<i) == 0 {
			return false
		}
	}
	return true
}

func (c *scanner) list(s *shape, out reflect.Value, depth int) bool {
	if !c.take('[') {
		return false
	}
	made := reflect.MakeSlice(out.Type(), 0, 0)
	if c.next() == ']' {
		c.at++
		out.Set(made)
		return true
	}
	room := reflect.New(out.Type()).Elem() // so that it can grow in place
	room.Set(made)
	for n := 0; ; n++ {
		if n == room.Cap() {
			room.Grow(1)
		}
		room.SetLen(n + 1)
		room.Index(n).SetZero()
		if !c.value(s.elem, room.Index(n), depth+1) {
			return false
		}
		if c.next() == ',' {
			c.at++
			continue
		}
		if !c.take(']') {
			return false
		}
		out.Set(room)
		return true
	}
}

// tree reads any value as package json would.
func (c *scanner) tree(depth int) (any, bool) {
	if depth > maxDepth {
		return nil, false
	}
	switch c.next() {
	case '{':
		c.at++
		made := map[string]any{}
		if c.next() == '}' {
			c.at++
			return made, true
		}
		for {
			key, ok := c.text()
			if !ok || !c.take(':') {
				return nil, false
			}
			if _, twice := made[key]; twice {
				return nil, false
			}
			value, ok := c.tree(depth + 1)
			if !ok {
				return nil, false
			}
			made[key] = value
			if c.next() == ',' {
				c.at++
				continue
			}
			return made, c.take('}')
		}
	case '[':
		c.at++
		made := []any{}
		if c.next() == ']' {
			c.at++
			return made, true
		}
		for {
			value, ok := c.tree(depth + 1)
			if !ok {
				return nil, false
			}
			made = append(made, value)
			if c.next() == ',' {
				c.at++
				continue
			}
			return made, c.take(']')
		}
	case '"':
		return c.text()
	case 't':
		return true, c.word("true")
	case 'f':
		return false, c.word("false")
	case 'n':
		return nil, c.word("null")
	}
	return c.number()
}

func (c *scanner) text() (string, bool) {
	raw, plain, ok := c.quoted()
	if !ok || plain {
		return string(raw), ok
	}
	var text string
	err := json.Unmarshal(c.b[c.at-len(raw)-2:c.at], &text)
	return text, err == nil
}

// quoted passes over a text and gives what stands between its quotes. Plain is a text
// that means itself, with no escapes.
func (c *scanner) quoted() (raw []byte, plain, ok bool) {
	if !c.take('"') {
		return nil, false, false
	}
	plain, wide := true, false
	for from := c.at; c.at < len(c.b); c.at++ {
		switch ch := c.b[c.at]; {
		case ch == '"':
			raw = c.b[from:c.at]
			c.at++
			return raw, plain, !wide || utf8.Valid(raw)
		case ch == '\\':
			plain = false
			c.at++
		case ch < ' ':
			return nil, false, false
		case ch >= utf8.RuneSelf:
			wide = true
		}
	}
	return nil, false, false
}

func (c *scanner) number() (float64, bool) {
	raw, ok := c.digits()
	if !ok {
		return 0, false
	}
	if len(raw) < 16 { // most are short and whole
		whole, n := true, int64(0)
		for _, ch := range raw {
			if ch < '0' || ch > '9' {
				whole = false
				break
			}
			n = 10*n + int64(ch-'0')
		}
		if whole {
			return float64(n), true
		}
	}
	n, err := strconv.ParseFloat(string(raw), 64)
	return n, err == nil
}

// digits passes over a number as JSON spells it.
func (c *scanner) digits() ([]byte, bool) {
	c.next()
	from := c.at
	some := func() bool {
		start := c.at
		for c.at < len(c.b) && c.b[c.at] >= '0' && c.b[c.at] <= '9' {
			c.at++
		}
		return c.at > start
	}
	is := func(chars string) bool {
		if c.at < len(c.b) && strings.IndexByte(chars, c.b[c.at]) >= 0 {
			c.at++
			return true
		}
		return false
	}
	is("-")
	if !is("0") && !some() {
		return nil, false
	}
	if is(".") && !some() {
		return nil, false
	}
	if is("eE") {
		is("+-")
		if !some() {
			return nil, false
		}
	}
	return c.b[from:c.at], true
}
