package slope

import (
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"linedrum.example/linedrum/event"
	"linedrum.example/linedrum/link"
)

// Counts of one hollow node since it was first started. Bytes are payload:
// headers of UDP, TCP and IP come on top. A message is one datagram, or one
// write to a connection.
type Counts struct {
	DatagramsOut, DatagramBytesOut, DatagramsIn, DatagramBytesIn uint64
	FramesOut, FrameBytesOut, FrameBytesIn                       uint64
	PollsOut, PollBytesOut, PollBytesIn                          uint64 // with engines
	CallBytesOut, CallBytesIn                                    uint64 // with operators
	Lines, LineBytes, Silent, PermitsLost                        uint64
	Table                                                        int // other members that it holds alive
	Desk                                                         uint64
	DeskAt                                                       int64 // wall clock, ns
}

// engineHost is where the stand-ins listen: no node does.
const engineHost = "127.0.0.1"

// counter is the network and the log of one node, counted.
type counter struct {
	link.Sockets
	listen string

	datagramsOut, datagramBytesOut, datagramsIn, datagramBytesIn atomic.Uint64
	frames, polls, calls                                         traffic

	mu    sync.Mutex
	held  Counts // what the log tells
	table map[string]bool
}

type traffic struct{ out, bytesOut, bytesIn atomic.Uint64 }

// begins a life of the node, at an address that may be new: its table is empty.
func (c *counter) begins(listen string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listen = listen
	clear(c.table)
}

func newCounter(listen string) *counter { return &counter{listen: listen, table: map[string]bool{}} }

// ListenPacket implements link.Network.
func (c *counter) ListenPacket(addr string) (net.PacketConn, error) {
	conn, err := c.Sockets.ListenPacket(addr)
	if err != nil {
		return nil, err
	}
	return &packets{conn, c}, nil
}

// Listen implements link.Network.
func (c *counter) Listen(addr string) (net.Listener, error) {
	l, err := c.Sockets.Listen(addr)
	if err != nil {
		return nil, err
	}
	if addr == c.listen {
		return &listener{l, &c.frames}, nil
	}
	return &listener{l, &c.calls}, nil
}

// Dial implements link.Network.
func (c *counter) Dial(ctx context.Context, addr string) (net.Conn, error) {
	conn, err := c.Sockets.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	if strings.HasPrefix(addr, engineHost+":") {
		return &stream{conn, &c.polls}, nil
	}
	return &stream{conn, &c.frames}, nil
}

type packets struct {
	net.PacketConn
	c *counter
}

func (p *packets) WriteTo(b []byte, to net.Addr) (int, error) {
	n, err := p.PacketConn.WriteTo(b, to)
	p.c.datagramsOut.Add(1)
	p.c.datagramBytesOut.Add(uint64(n))
	return n, err
}

func (p *packets) ReadFrom(b []byte) (int, net.Addr, error) {
	n, from, err := p.PacketConn.ReadFrom(b)
	if err == nil {
		p.c.datagramsIn.Add(1)
		p.c.datagramBytesIn.Add(uint64(n))
	}
	return n, from, err
}

type listener struct {
	net.Listener
	t *traffic
}

func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &stream{conn, l.t}, nil
}

type stream struct {
	net.Conn
	t *traffic
}

func (s *stream) Write(b []byte) (int, error) {
	n, err := s.Conn.Write(b)
	s.t.out.Add(1)
	s.t.bytesOut.Add(uint64(n))
	return n, err
}

func (s *stream) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b)
	s.t.bytesIn.Add(uint64(n))
	return n, err
}

// HandleLog implements log.Handler: the table and the desk file in force are
// read off the node's own events.
func (c *counter) HandleLog(e *log.Entry) error {
	number, _ := e.Fields["event"].(int)
	addr, _ := e.Fields["addr"].(string)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held.Lines++
	switch event.Number(number) {
	case event.CohortJoined:
		c.table[addr] = true
	case event.CohortGone:
		delete(c.table, addr)
	case event.DeskInForce:
		c.held.Desk, _ = e.Fields["serial"].(uint64)
		c.held.DeskAt = time.Now().UnixNano()
	case event.EngineSilent:
		c.held.Silent++
	case event.LeaseLost:
		c.held.PermitsLost++
	}
	return nil
}

// Write counts the bytes of the log's lines.
func (c *counter) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held.LineBytes += uint64(len(b))
	return len(b), nil
}

func (c *counter) counts() Counts {
	c.mu.Lock()
	out := c.held
	out.Table = len(c.table)
	c.mu.Unlock()
	out.DatagramsOut, out.DatagramBytesOut = c.datagramsOut.Load(), c.datagramBytesOut.Load()
	out.DatagramsIn, out.DatagramBytesIn = c.datagramsIn.Load(), c.datagramBytesIn.Load()
	out.FramesOut, out.FrameBytesOut, out.FrameBytesIn = c.frames.out.Load(), c.frames.bytesOut.Load(), c.frames.bytesIn.Load()
	out.PollsOut, out.PollBytesOut, out.PollBytesIn = c.polls.out.Load(), c.polls.bytesOut.Load(), c.polls.bytesIn.Load()
	out.CallBytesOut, out.CallBytesIn = c.calls.bytesOut.Load(), c.calls.bytesIn.Load()
	return out
}
