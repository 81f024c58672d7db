// Package link carries the cohort's messages: datagrams for membership, and one
// connection each way between two nodes for all else (design.md section 2.2).
// It may lose a message; whoever sent it tries again.
package link

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"linedrum.example/linedrum/budget"
	"linedrum.example/linedrum/calot"
	"linedrum.example/linedrum/lifecycle"
	"linedrum.example/linedrum/register"
	"linedrum.example/linedrum/wire"
)

// Handler takes what arrives. Its methods must not block for long.
type Handler interface {
	Datagram(m calot.Message)
	Frame(m register.Message, c wire.Cohort)
	BadFrame(from string, err error)
}

// Counts of what was dropped.
type Counts struct {
	BadDatagrams, ForeignDatagrams, BadFrames, Dropped, Sent, Bytes atomic.Uint64
}

// Link is one node's end of all its connections.
type Link struct {
	fleet   string
	form    uint16
	self    string
	net     Network
	udp     net.PacketConn
	tcp     net.Listener
	crew    *lifecycle.Crew
	handler Handler
	timeout time.Duration
	pool    *budget.Pool // of what other nodes may hold here
	queued  atomic.Int64 // bytes of all lines together

	mu    sync.Mutex // innermost: guards the tables below and nothing else
	lines map[string]chan []byte
	conns map[net.Conn]bool
	out   map[string]outgoing // the connection in use to each node
	loops chan looped

	Counts Counts
}

const lineDepth = 1024

// outgoing is the connection that frames to one node go over.
type outgoing struct {
	conn net.Conn
	old  bool // it has been in use for a timeout
}

// Open listens on one address for datagrams and connections. Messages are
// written in a form that is this release's own. What connects to here, and frames that are
// on their way, come from the pool.
func Open(fleet string, form uint16, addr string, timeout time.Duration, c *lifecycle.Crew, network Network, pool *budget.Pool) (*Link, error) {
	tcp, err := network.Listen(addr)
	if err != nil {
		return nil, errors.Annotate(err, "listen")
	}
	self := tcp.Addr().String()
	udp, err := network.ListenPacket(self)
	if err != nil {
		_ = tcp.Close()
		return nil, errors.Annotate(err, "listen for datagrams")
	}
	return &Link{
		fleet: fleet, form: form, self: self, net: network, udp: udp, tcp: tcp, crew: c, timeout: timeout, pool: pool,
		lines: map[string]chan []byte{}, conns: map[net.Conn]bool{}, out: map[string]outgoing{},
		loops: make(chan looped, lineDepth),
	}, nil
}

// Self is the address in use.
func (l *Link) Self() string { return l.self }

// Serve starts the duties that hand messages to the handler.
func (l *Link) Serve(handler Handler) {
	l.handler = handler
	l.crew.Start(l.readDatagrams)
	l.crew.Start(l.accept)
	l.crew.Start(l.readLoop)
	l.crew.Start(func(ctx context.Context) {
		<-ctx.Done()
		_ = l.udp.Close()
		_ = l.tcp.Close()
		l.mu.Lock()
		defer l.mu.Unlock()
		for conn := range l.conns {
			_ = conn.Close()
		}
	})
}

func (l *Link) readDatagrams(ctx context.Context) {
	buf := make([]byte, wire.MaxDatagram+1)
	for {
		n, _, err := l.udp.ReadFrom(buf)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			lifecycle.Pause(ctx, l.timeout/8) // a socket that keeps failing must not spin
			continue
		}
		m, err := wire.UnpackDatagram(l.fleet, buf[:n])
		switch {
		case errors.Is(err, wire.ErrForm):
			l.Counts.ForeignDatagrams.Add(1)
		case err != nil:
			l.Counts.BadDatagrams.Add(1)
		default:
			l.handler.Datagram(m)
		}
	}
}

// Datagram sends one membership message.
func (l *Link) Datagram(to string, m calot.Message) {
	b, err := wire.PackDatagramAs(l.form, l.fleet, m)
	if err != nil {
		l.Counts.Dropped.Add(1)
		return
	}
	at, err := netip.ParseAddrPort(to)
	if err != nil {
		l.Counts.Dropped.Add(1)
		return
	}
	if _, err := l.udp.WriteTo(b, net.UDPAddrFromAddrPort(at)); err != nil {
		l.Counts.Dropped.Add(1)
	}
}

func (l *Link) accept(ctx context.Context) {
	for {
		conn, err := l.tcp.Accept()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			lifecycle.Pause(ctx, l.timeout/8) // such as a lack of descriptors
			continue
		}
		account, ok := l.pool.Open(func(budget.Phase) { _ = conn.Close() })
		if !ok {
			_ = conn.Close()
			continue
		}
		l.hold(conn)
		l.crew.Start(func(ctx context.Context) {
			defer account.Close()
			l.readFrames(ctx, conn, account)
		})
	}
}

func (l *Link) hold(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[conn] = true
}

func (l *Link) drop(conn net.Conn) {
	_ = conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}

// readAtOnce is how much of a connection's bytes is read at once.
const readAtOnce = 8 << 10

// stalled is how many timeouts a frame that has begun may take.
const stalled = 8

func (l *Link) readFrames(ctx context.Context, conn net.Conn, account *budget.Account) {
	defer l.drop(conn)
	in := wire.NewReader(l.fleet, bufio.NewReaderSize(conn, readAtOnce))
	known := false
	for {
		size, err := in.Size()
		account.Enter(budget.Receiving)
		if err == nil {
			if account.Take(int64(size)) != nil {
				return // its sender tries again
			}
			_ = conn.SetReadDeadline(time.Now().Add(stalled * l.timeout))
		}
		m, c, err := in.Next()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			var netErr net.Error
			if !errors.As(err, &netErr) && !isEnd(err) {
				l.Counts.BadFrames.Add(1)
				l.handler.BadFrame(conn.RemoteAddr().String(), err)
			}
			return
		}
		if !known && m.From != "" {
			known = true
			l.renew(m.From)
		}
		_ = conn.SetReadDeadline(time.Time{})
		l.handler.Frame(m, c)
		account.Give(int64(size))
		account.Enter(budget.Resting)
	}
}

// isEnd tells a connection that ended from one that carried nonsense.
func isEnd(err error) bool {
	text := err.Error()
	return strings.Contains(text, "EOF") || strings.Contains(text, "closed") || strings.Contains(text, "reset")
}

// Frame queues one message for a node; it is dropped when too much waits already.
func (l *Link) Frame(to string, m register.Message, c wire.Cohort) {
	if to == l.self {
		// A node that is its own disk talks to itself by the same path, less the wire.
		l.loop(m, c)
		return
	}
	b, err := wire.PackFrameAs(l.form, l.fleet, m, c)
	if err != nil {
		l.Counts.Dropped.Add(1)
		return
	}
	l.mu.Lock()
	line := l.lines[to]
	if line == nil {
		line = make(chan []byte, lineDepth)
		l.lines[to] = line
		l.crew.Start(func(ctx context.Context) { l.write(ctx, to, line) })
	}
	l.mu.Unlock()
	if l.queued.Add(int64(len(b))) > l.pool.Share().Outgoing {
		l.queued.Add(-int64(len(b)))
		l.Counts.Dropped.Add(1)
		return
	}
	select {
	case line <- b:
	default:
		l.queued.Add(-int64(len(b)))
		l.Counts.Dropped.Add(1)
	}
}

type looped struct {
	m register.Message
	c wire.Cohort
}

// loop hands a node's messages to itself.
func (l *Link) loop(m register.Message, c wire.Cohort) {
	select {
	case l.loops <- looped{m, c}:
	default:
		l.Counts.Dropped.Add(1)
	}
}

func (l *Link) readLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case in := <-l.loops:
			l.handler.Frame(in.m, in.c)
		}
	}
}

// write owns the connection to one node: it dials when there is something to
// say, and throws away what it could not say in time.
func (l *Link) write(ctx context.Context, to string, line chan []byte) {
	var conn net.Conn
	idle := time.NewTimer(16 * l.timeout)
	defer idle.Stop()
	for {
		var b []byte
		idle.Reset(16 * l.timeout)
		select {
		case <-ctx.Done():
			return
		case <-idle.C:
			if l.retire(to, line) {
				if conn != nil {
					l.drop(conn)
				}
				return
			}
			continue
		case b = <-line:
			l.queued.Add(-int64(len(b)))
		}
		// A connection that the other side closed meanwhile is made anew, once.
		for range 2 {
			if conn == nil {
				if conn = l.dial(ctx, to); conn == nil {
					l.Counts.Dropped.Add(uint64(1 + l.drain(line)))
					lifecycle.Pause(ctx, l.timeout/32)
					break
				}
			}
			_ = conn.SetWriteDeadline(time.Now().Add(l.timeout))
			if _, err := conn.Write(b); err == nil {
				l.Counts.Sent.Add(1)
				l.Counts.Bytes.Add(uint64(len(b)))
				break
			}
			l.Counts.Dropped.Add(1)
			l.drop(conn)
			conn = nil
		}
	}
}

// dial connects to a node. A try that a machine without power swallowed is seen as
// lost by the system only long after that machine is back, so that further ones are
// begun beside it; the first to succeed is taken (section 2.2).
func (l *Link) dial(ctx context.Context, to string) net.Conn {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	type tried struct {
		conn net.Conn
		err  error
	}
	tries := make(chan tried)
	try := func(context.Context) {
		conn, err := l.net.Dial(ctx, to)
		select {
		case tries <- tried{conn, err}:
		case <-ctx.Done(): // another one was taken
			if err == nil {
				_ = conn.Close()
			}
		}
	}
	l.crew.Start(try)
	again := time.NewTicker(l.timeout / 8)
	defer again.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-again.C:
			l.crew.Start(try)
		case t := <-tries:
			if t.err != nil {
				return nil
			}
			l.took(to, t.conn)
			return t.conn
		}
	}
}

// took puts a connection into use.
func (l *Link) took(to string, conn net.Conn) {
	EndUnacknowledged(conn, l.timeout)
	l.hold(conn)
	l.mu.Lock()
	l.out[to] = outgoing{conn: conn}
	l.mu.Unlock()
	l.crew.Start(func(ctx context.Context) {
		if !lifecycle.Pause(ctx, l.timeout) {
			return
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.out[to].conn == conn {
			l.out[to] = outgoing{conn, true}
		}
	})
	// The other side never speaks on this connection: a read ends when it closes.
	l.crew.Start(func(context.Context) {
		var one [1]byte
		_, _ = conn.Read(one[:])
		l.drop(conn)
	})
}

// renew ends an old connection to a node that has just made one to here: after a loss
// of power there is nobody at the other end, which the system would find out late. The
// next frame makes a new one. A young one stays, or two nodes would renew each other's
// for good.
func (l *Link) renew(to string) {
	l.mu.Lock()
	old, had := l.out[to]
	if had = had && old.old; had {
		delete(l.out, to)
	}
	l.mu.Unlock()
	if had {
		l.drop(old.conn)
	}
}

// drain empties a line, and counts what was in it.
func (l *Link) drain(line chan []byte) int {
	n := 0
	for {
		select {
		case b := <-line:
			l.queued.Add(-int64(len(b)))
			n++
		default:
			return n
		}
	}
}

// retire forgets an idle line unless something was queued just now.
func (l *Link) retire(to string, line chan []byte) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(line) > 0 {
		return false
	}
	delete(l.lines, to)
	delete(l.out, to)
	return true
}
