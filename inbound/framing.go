package inbound

import (
	"bytes"
	"strconv"
)

type framingState uint8

const (
	inHead framingState = iota
	inBody
	inSize
	inChunk
	inTrailer
	lost // what follows cannot be told; net/http refuses it by itself
)

// framing follows what a client sends just far enough to know where a head and a body end, and to
// find a request whose end two readers could see at two places: its head gives both a length and
// chunks, or has a line that goes on with the one before. net/http reads such a request by the
// chunks, drops the length and joins the lines, so that nobody above could tell.
type framing struct {
	state framingState
	line  []byte // the beginning of the line being read, without its end
	left  int64  // bytes of the body or chunk
	head  struct{ first, length, chunks, folded bool }
	size  int64
	cost  int64 // of the head under way
}

// maxLine is how much of a line is kept, in bytes: more than net/http takes of a line between
// chunks. keptLine is the most that is kept when the line has ended.
const (
	maxLine  = 5 << 10
	keptLine = 256
)

// What a head costs while it is read: net/http keeps a copy of its text, and a name, a value and
// a place in a map for each line.
const (
	costOfByte = 2
	costOfLine = 256
)

// fed is what a series of bytes brought.
type fed struct {
	ambiguous bool    // the head of an ambiguous request was among them
	cost      int64   // of the bytes and lines of heads
	heads     []int64 // the costs of the heads that ended
}

// inBody tells that a body, or what belongs to its chunks, is under way.
func (f *framing) inBody() bool { return f.state != inHead && f.state != lost }

// feed takes the next bytes.
func (f *framing) feed(b []byte) (out fed) {
	for len(b) > 0 {
		switch f.state {
		case lost:
			return out
		case inBody, inChunk:
			n := min(int64(len(b)), f.left)
			b, f.left = b[n:], f.left-n
			if f.left == 0 && f.state == inBody {
				f.state = inHead
			} else if f.left == 0 {
				f.state = inSize
			}
		default:
			at := bytes.IndexByte(b, '\n')
			part := b
			if at >= 0 {
				part = b[:at]
			}
			f.charge(&out, int64(len(part))*costOfByte)
			whole := f.add(part)
			if at < 0 {
				return out
			}
			b = b[at+1:]
			f.end(&out, whole)
		}
	}
	return out
}

// charge notes the cost of a part of a head; what stands between chunks costs nothing.
func (f *framing) charge(out *fed, cost int64) {
	if f.state == inHead {
		f.cost += cost
		out.cost += cost
	}
}

// add keeps a part of a line, as far as lines are kept; it tells whether all of the line is there.
func (f *framing) add(part []byte) (whole bool) {
	room := maxLine - len(f.line)
	f.line = append(f.line, part[:min(len(part), room)]...)
	return len(part) <= room
}

// end takes a line that has ended.
func (f *framing) end(out *fed, whole bool) {
	line := bytes.TrimSuffix(f.line, []byte("\r"))
	if f.line = f.line[:0]; cap(f.line) > keptLine {
		f.line = nil
	}
	head := f.state == inHead
	f.charge(out, costOfLine)
	if !whole && f.decides(line) {
		// net/http refuses such a line between chunks; of one in a head nobody can tell.
		out.ambiguous = out.ambiguous || head
		f.state = lost
		return
	}
	ended := head && f.head.first && len(line) == 0
	out.ambiguous = f.took(line) || out.ambiguous
	if ended {
		out.heads = append(out.heads, f.cost)
		f.cost = 0
	}
}

// decides tells that a line, of which the beginning is known, says where a body ends.
func (f *framing) decides(line []byte) bool {
	switch f.state {
	case inSize:
		return true
	case inHead:
		name, _, _ := bytes.Cut(line, []byte(":"))
		name = bytes.TrimSpace(name)
		return f.head.first && (bytes.EqualFold(name, []byte("Content-Length")) || bytes.EqualFold(name, []byte("Transfer-Encoding")))
	}
	return false
}

func (f *framing) took(line []byte) (ambiguous bool) {
	switch f.state {
	case inHead:
		return f.tookHead(line)
	case inSize:
		size, _, _ := bytes.Cut(line, []byte(";"))
		n, err := strconv.ParseInt(string(bytes.TrimSpace(size)), 16, 62)
		switch {
		case err != nil || n < 0:
			f.state = lost
		case n == 0:
			f.state = inTrailer
		default:
			f.state, f.left = inChunk, n+2 // and the line end behind it
		}
	case inTrailer:
		if len(line) == 0 {
			f.state = inHead
		}
	}
	return false
}

func (f *framing) tookHead(line []byte) (ambiguous bool) {
	if len(line) > 0 {
		if !f.head.first {
			f.head.first = true // the request line
			return false
		}
		if line[0] == ' ' || line[0] == '\t' {
			f.head.folded = true
			return false
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.EqualFold(bytes.TrimSpace(name), []byte("Content-Length")):
			f.head.length = true
			n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 62)
			if err != nil || n < 0 {
				f.state = lost
			}
			f.size = n
		case bytes.EqualFold(bytes.TrimSpace(name), []byte("Transfer-Encoding")):
			f.head.chunks = true
		}
		return false
	}
	if !f.head.first {
		return false // empty lines before a request
	}
	ambiguous = f.head.length && f.head.chunks || f.head.folded
	switch {
	case f.head.chunks:
		f.state = inSize
	case f.size > 0:
		f.state, f.left = inBody, f.size
	}
	f.head.first, f.head.length, f.head.chunks, f.head.folded, f.size = false, false, false, false, 0
	return ambiguous
}
