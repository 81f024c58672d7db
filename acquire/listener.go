package acquire

import (
	"context"
	"errors"
	"net"
	"sync"
)

// Open opens the listener of a port; each call is one try.
type Open func() (net.Listener, error)

// Listener is a listener that is there from the start, and listens once its port is to be had. It
// goes on accepting after failures, such as a lack of descriptors. Safe for concurrent use.
type Listener struct {
	port   Resource
	open   Open
	addr   net.Addr
	ctx    context.Context // ends with Close
	cancel context.CancelFunc

	mu    sync.Mutex // innermost
	inner net.Listener
}

// Listen opens a port: it listens when this returns, or else from the moment on at which Accept
// finds the port free. addr is what Addr says until then.
func Listen(port Resource, addr net.Addr, open Open) *Listener {
	l := &Listener{port: port, open: open, addr: addr}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	_ = l.try() // a failure is told by Accept, which tries again
	return l
}

// try opens the port unless it is open.
func (l *Listener) try() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inner != nil {
		return nil
	}
	if err := l.ctx.Err(); err != nil {
		return err
	}
	inner, err := l.open()
	if err != nil {
		return err
	}
	l.inner = inner
	return nil
}

// Listening tells whether the port is open.
func (l *Listener) Listening() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inner != nil
}

// Accept implements net.Listener. Its only error is net.ErrClosed, once Close was called.
func (l *Listener) Accept() (net.Conn, error) {
	if !l.Listening() && l.port.Until(l.ctx, l.try) != nil {
		return nil, net.ErrClosed
	}
	l.mu.Lock()
	inner := l.inner
	l.mu.Unlock()
	conn, err := inner.Accept()
	if err != nil {
		return l.acceptAgain(inner, err)
	}
	return conn, nil
}

// acceptAgain goes on after an accept that failed.
func (l *Listener) acceptAgain(inner net.Listener, failure error) (conn net.Conn, err error) {
	accepting := l.port
	accepting.Name = "connections at " + l.port.Name
	err = accepting.Until(l.ctx, func() (err error) {
		if err = failure; err == nil {
			conn, err = inner.Accept()
		}
		failure = nil
		if errors.Is(err, net.ErrClosed) {
			l.cancel()
		}
		return err
	})
	if err != nil {
		return nil, net.ErrClosed
	}
	return conn, nil
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.cancel()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inner == nil {
		return nil
	}
	return l.inner.Close()
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inner == nil {
		return l.addr
	}
	return l.inner.Addr()
}
