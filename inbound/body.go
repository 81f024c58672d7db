package inbound

import (
	"errors"
	"io"
	"net/http"
	"slices"

	"linedrum.example/linedrum/budget"
)

// Body is a request's body, in the blocks that it was read into.
type Body [][]byte

// Len is how many bytes a body has.
func (b Body) Len() (sum int) {
	for _, block := range b {
		sum += len(block)
	}
	return sum
}

// Bytes is a body in one piece: its only block, or a copy.
func (b Body) Bytes() []byte {
	if len(b) == 1 {
		return b[0]
	}
	return slices.Concat(b...)
}

// ErrTooLong is a body that is longer than it may be.
var ErrTooLong = errors.New("the body is too long")

// Sizes of a body's blocks, in bytes; each is twice as long as the one before.
const (
	firstBlock = 2 << 10
	lastBlock  = 64 << 10
)

// ReadBody reads a request's body whole, of limit bytes at most. Its blocks come from the
// budget as bytes come, whatever length was told, and go back when the request has its
// answer. Errors are ErrTooLong, budget.ErrGaveWay and budget.ErrShort, where others need what
// it would hold, and those of the connection. copies is how many times the body is held while
// the request is in hand: 1, or more where it is read into other forms.
func ReadBody(r *http.Request, limit, copies int) (Body, error) {
	body := bodyReader{conn: ConnOf(r), request: r, limit: limit, copies: int64(copies)}
	out, err := body.read()
	if err != nil && body.conn != nil && body.conn.account.GaveWay() {
		return nil, budget.ErrGaveWay
	}
	if err == nil && !body.whole() {
		return nil, budget.ErrGaveWay
	}
	return out, err
}

// Crowded tells errors of bodies that were not read since others need what they would hold.
func Crowded(err error) bool {
	return errors.Is(err, budget.ErrGaveWay) || errors.Is(err, budget.ErrShort)
}

type bodyReader struct {
	conn    *Conn
	request *http.Request
	limit   int
	copies  int64
	total   int
}

func (b *bodyReader) read() (out Body, err error) {
	if b.request.ContentLength > int64(b.limit) {
		return nil, ErrTooLong
	}
	size := firstBlock
	for {
		if known := b.request.ContentLength; known >= 0 {
			size = min(size, int(known)-b.total)
		}
		if size == 0 {
			return out, nil
		}
		if err := b.take(int64(size)); err != nil {
			return nil, err
		}
		block, err := b.block(size)
		if len(block) > 0 {
			out = append(out, block)
		}
		switch {
		case b.total > b.limit:
			return nil, ErrTooLong
		case err == io.EOF:
			return out, nil
		case err != nil:
			return nil, err
		}
		size = min(2*size, lastBlock)
	}
}

// block reads one block full, or up to the body's end.
func (b *bodyReader) block(size int) ([]byte, error) {
	block := make([]byte, size)
	n := 0
	var err error
	for n < size && err == nil {
		var more int
		more, err = b.request.Body.Read(block[n:])
		n += more
	}
	b.total += n
	return block[:n], err
}

func (b *bodyReader) take(n int64) error {
	if b.conn == nil {
		return nil
	}
	return b.conn.hold(n * b.copies)
}

// whole notes that the request has come whole; false: it had given way by then.
func (b *bodyReader) whole() bool {
	if b.conn == nil {
		return true
	}
	b.conn.account.Enter(budget.Working)
	return !b.conn.account.GaveWay()
}

// Hold has a request hold more bytes until it has its answer; the errors are those of
// budget.Account.Take.
func Hold(r *http.Request, n int64) error {
	if c := ConnOf(r); c != nil {
		return c.hold(n)
	}
	return nil
}

// Share is how many bytes all peers of a request's listener may hold; 0: nothing bounds them.
func Share(r *http.Request) int64 {
	if c := ConnOf(r); c != nil {
		return c.account.Share().Bytes
	}
	return 0
}

// Shrink notes that of a request's head no more than so many bytes are still held.
func Shrink(r *http.Request, bytes int) {
	if c := ConnOf(r); c != nil {
		c.shrink(int64(bytes))
	}
}
