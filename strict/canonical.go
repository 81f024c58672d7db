package strict

import (
	"bytes"
	"encoding/json"
	"slices"
)

// Canonical is the one spelling of all JSON texts that say the same: as package json
// writes what it read, with keys in order and without blanks. A text that is not
// JSON says null.
func Canonical(b []byte) []byte {
	c := canon{scanner: scanner{b: b}}
	if out, ok := c.value(make([]byte, 0, len(b)), 0); ok && c.next() == 0 && c.at == len(b) {
		return out
	}
	var v any
	_ = json.Unmarshal(b, &v)
	out, err := json.Marshal(v)
	if err != nil {
		panic(err) // it came out of JSON a moment ago
	}
	return out
}

// canon spells a text anew in one pass; it gives up on whatever is out of the
// ordinary, as the scan does.
type canon struct {
	scanner
	members []member // of the objects that are open
	moved   []byte
}

// member is a key with where its value stands in the spelling.
type member struct {
	key      []byte // between its quotes
	from, to int    // of `"key":value`
}

func (c *canon) value(out []byte, depth int) ([]byte, bool) {
	if depth > maxDepth {
		return nil, false
	}
	switch c.next() {
	case '{':
		c.at++
		return c.object(out, depth)
	case '[':
		c.at++
		out = append(out, '[')
		if c.next() == ']' {
			c.at++
			return append(out, ']'), true
		}
		for ok := false; ; out = append(out, ',') {
			if out, ok = c.value(out, depth+1); !ok {
				return nil, false
			}
			if c.next() == ',' {
				c.at++
				continue
			}
			return append(out, ']'), c.take(']')
		}
	case '"':
		raw, plain, ok := c.quoted()
		if !ok {
			return nil, false
		}
		return c.text(out, raw, plain)
	case 't':
		return append(out, "true"...), c.word("true")
	case 'f':
		return append(out, "false"...), c.word("false")
	case 'n':
		return append(out, "null"...), c.word("null")
	}
	from := c.at
	n, ok := c.number()
	if !ok {
		return nil, false
	}
	if raw := c.b[from:c.at]; len(raw) < 16 && !bytes.ContainsAny(raw, "-.eE") {
		return append(out, raw...), true
	}
	spelled, err := json.Marshal(n)
	return append(out, spelled...), err == nil
}

// text spells a text; most mean themselves and need no escapes either way.
func (c *canon) text(out, raw []byte, plain bool) ([]byte, bool) {
	for i := 0; plain && i < len(raw); i++ {
		ch := raw[i]
		plain = ch < 0x7f && ch != '<' && ch != '>' && ch != '&'
	}
	if plain {
		return append(append(append(out, '"'), raw...), '"'), true
	}
	var text string
	if json.Unmarshal(c.b[c.at-len(raw)-2:c.at], &text) != nil {
		return nil, false
	}
	spelled, err := json.Marshal(text)
	return append(out, spelled...), err == nil
}

func (c *canon) object(out []byte, depth int) ([]byte, bool) {
	out = append(out, '{')
	if c.next() == '}' {
		c.at++
		return append(out, '}'), true
	}
	first, start := len(c.members), len(out)
	for {
		key, plain, ok := c.quoted()
		if !ok || !plain || !c.take(':') {
			return nil, false
		}
		from := len(out)
		if out, ok = c.text(out, key, plain); !ok {
			return nil, false
		}
		out = append(out, ':')
		if out, ok = c.value(out, depth+1); !ok {
			return nil, false
		}
		c.members = append(c.members, member{key, from, len(out)})
		out = append(out, ',')
		if c.next() == ',' {
			c.at++
			continue
		}
		if !c.take('}') {
			return nil, false
		}
		break
	}
	all := c.members[first:]
	byKey := func(a, b member) int { return bytes.Compare(a.key, b.key) }
	if !slices.IsSortedFunc(all, byKey) {
		c.moved = append(c.moved[:0], out[start:]...)
		slices.SortFunc(all, byKey)
		out = out[:start]
		for _, m := range all {
			out = append(append(out, c.moved[m.from-start:m.to-start]...), ',')
		}
	}
	for i := range all[1:] {
		if bytes.Equal(all[i].key, all[i+1].key) {
			return nil, false // the last one would count
		}
	}
	c.members = c.members[:first]
	out[len(out)-1] = '}'
	return out, true
}
