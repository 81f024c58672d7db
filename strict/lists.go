package strict

import "encoding/json"

// Lists gives the items of the lists in a JSON object that Load took, by key, each as
// it is spelled. They share the bytes of b.
func Lists(b []byte) map[string][]json.RawMessage {
	c, out := scanner{b: b}, map[string][]json.RawMessage{}
	for sep := byte('{'); c.take(sep) && c.next() != '}'; sep = ',' {
		key, ok := c.text()
		if !ok || !c.take(':') {
			return nil
		}
		if c.next() != '[' {
			if !c.skip() {
				return nil
			}
			continue
		}
		items := []json.RawMessage{}
		for sep := byte('['); c.take(sep) && c.next() != ']'; sep = ',' {
			from := c.at
			if !c.skip() {
				return nil
			}
			items = append(items, b[from:c.at:c.at])
		}
		if !c.take(']') {
			return nil
		}
		out[key] = items
	}
	return out
}

// skip passes over one value of a text that is known to be JSON.
func (c *scanner) skip() bool {
	for depth := 0; ; {
		switch c.next() {
		case '{', '[':
			depth++
			c.at++
		case '}', ']':
			depth--
			c.at++
		case ',', ':':
			c.at++
		case '"':
			if _, _, ok := c.quoted(); !ok {
				return false
			}
		case 't', 'n':
			c.at += len("true")
		case 'f':
			c.at += len("false")
		default:
			if _, ok := c.digits(); !ok {
				return false
			}
		}
		if depth == 0 {
			return c.at <= len(c.b)
		}
	}
}
