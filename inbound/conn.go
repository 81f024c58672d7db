package inbound

import (
	"errors"
	"net"
	"sync"
	"time"

	"linedrum.example/linedrum/budget"
)

// Conn is a connection that a listener has accepted. What it holds stands in an account, which
// ends with Close.
type Conn struct {
	net.Conn
	account *budget.Account
	slow    time.Duration // a peer that moves no byte for so long is cut

	follow framing // of whoever reads

	mu        sync.Mutex // innermost but for the pool's
	gone      bool       // it gave way: nothing more is read
	ambiguous bool       // a request came whose end cannot be told
	heads     []int64    // costs of the heads of requests that have come, oldest first
	body      int64      // what the request in hand holds beside its head
	timed     bool       // the deadline for reads is that of a body
}

// errGone ends the reads of a connection that gave way. net/http closes such a connection
// without a word, so that its client knows that nothing was read.
var errGone = &net.OpError{Op: "read", Net: "tcp", Err: budget.ErrGaveWay}

// past is a deadline that was missed.
var past = time.Unix(3, 0)

// writeAtOnce bounds one write to the peer, in bytes, so that each part has time of its own.
const writeAtOnce = 64 << 10

// Read implements net.Conn. It fails where the connection gave way, or where
// what its head costs is not to be had.
func (c *Conn) Read(b []byte) (int, error) {
	if !c.arm() {
		return 0, errGone
	}
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	c.account.Moved(int64(n))
	if !c.follow.inBody() {
		c.account.Begin()
	}
	brought := c.follow.feed(b[:n])
	c.note(brought)
	if brought.cost > 0 && c.account.Take(brought.cost) != nil {
		return 0, errGone
	}
	return n, err
}

// arm sets the deadline of a read from a body; it reports false once the connection gave way.
func (c *Conn) arm() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gone {
		return false
	}
	if c.follow.inBody() {
		c.timed = true
		_ = c.Conn.SetReadDeadline(time.Now().Add(c.slow))
	}
	return true
}

// note takes down what came.
func (c *Conn) note(brought fed) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ambiguous = c.ambiguous || brought.ambiguous
	c.heads = append(c.heads, brought.heads...)
	if c.timed && !c.follow.inBody() && !c.gone {
		c.timed = false
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
}

// Write implements net.Conn. A peer that takes nothing for a while fails it.
func (c *Conn) Write(b []byte) (written int, err error) {
	before := c.account.Enter(budget.Sending)
	defer c.account.Enter(before)
	for {
		part := b[:min(len(b), writeAtOnce)]
		c.armWrite()
		n, err := c.Conn.Write(part)
		written += n
		c.account.Moved(int64(n))
		if b = b[len(part):]; err != nil || len(b) == 0 {
			return written, err
		}
	}
}

// lastWords is how long the refusal of a connection that gave way may take.
const lastWords = 100 * time.Millisecond

func (c *Conn) armWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	within := c.slow
	if c.gone {
		within = min(within, lastWords)
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(within))
}

// evict has the connection end, in the phase that it is in.
func (c *Conn) evict(phase budget.Phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gone = true
	_ = c.Conn.SetReadDeadline(past)
	if phase == budget.Sending {
		_ = c.Conn.SetWriteDeadline(past)
	}
}

// SetReadDeadline implements net.Conn; that of a connection that gave way stays missed.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gone {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn. Each write has a time of its own, so that an earlier
// end alone counts.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	if t.IsZero() {
		return nil
	}
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// CloseWrite ends what is sent, where the connection can.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn and ends the account.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.account.Close()
	return err
}

// Ambiguous tells that a request came whose end cannot be told; the connection is good for
// nothing more.
func (c *Conn) Ambiguous() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ambiguous
}

// hold has the request in hand hold more bytes.
func (c *Conn) hold(n int64) error {
	if err := c.account.Take(n); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.body += n
	return nil
}

// shrink brings what the head of the request in hand costs down to so many bytes.
func (c *Conn) shrink(to int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.heads) > 0 && c.heads[0] > to {
		c.account.Give(c.heads[0] - to)
		c.heads[0] = to
	}
}

// finished gives back what the request in hand held; the connection rests.
func (c *Conn) finished() {
	c.mu.Lock()
	back := c.body
	c.body = 0
	if len(c.heads) > 0 {
		back += c.heads[0]
		c.heads = c.heads[1:]
	}
	c.mu.Unlock()
	c.account.Give(back)
	c.account.Enter(budget.Resting)
}
