// Package virtual is machines in memory: a network that delays, loses, cuts and
// splits, disks that lose what was not synced, and clocks of their own. Inside a
// bubble of testing/synctest whole processes run on it in virtual time (docs/design.md
// section 8.2).
package virtual

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"linedrum.example/linedrum/lifecycle"
)

// Net joins machines by IP number.
type Net struct {
	seed     uint64
	loss     float64    // share of datagrams lost
	mu       sync.Mutex // of everything on the network
	machines map[string]*Machine
	cut      map[[2]string]bool
	counts   map[[2]string]uint64 // deliveries between two machines, for their delays
	bytes    map[[2]string]uint64 // sent between two machines
	next     int
}

// NewNet makes a network without machines.
func NewNet(seed uint64) *Net {
	return &Net{seed: seed, machines: map[string]*Machine{}, cut: map[[2]string]bool{}, counts: map[[2]string]uint64{}, bytes: map[[2]string]uint64{}}
}

// Machine is one host. Its clock began at a moment of its own; what runs on it
// reaches others through it alone, and nothing after it was killed.
type Machine struct {
	net       *Net
	IP, Site  string
	offset    time.Duration
	life      int
	dark      bool // the machine is gone too: nobody even hears a refusal
	frozen    bool
	since     time.Time // it was frozen
	Frozen    []Span    // when it was, over and done
	port      int
	resets    uint64 // connections that Reset looked at, for its draws
	listeners map[string]*listener
	packets   map[string]*packets
	ends      map[*end]bool
	held      []func() // datagrams of a frozen machine
	trap      func(to *Machine, data []byte) bool
	thawed    *sync.Cond
}

// Span is a stretch of time.
type Span struct{ From, To time.Time }

// freeze and go on. Called under mu.
func (m *Machine) freeze() {
	if !m.frozen {
		m.frozen, m.since = true, time.Now()
	}
}

func (m *Machine) goOn() {
	if m.frozen {
		m.frozen = false
		m.Frozen = append(m.Frozen, Span{m.since, time.Now()})
	}
}

// Add makes a machine.
func (n *Net) Add(site string) *Machine {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.next++
	m := &Machine{
		net: n, IP: fmt.Sprintf("10.%d.%d.%d", n.next>>16, n.next>>8&255, n.next&255), Site: site, port: 30000,
		listeners: map[string]*listener{}, packets: map[string]*packets{}, ends: map[*end]bool{}, thawed: sync.NewCond(&n.mu),
	}
	m.offset = time.Duration(n.draw(m.IP, "clock", 1) * float64(time.Hour))
	n.machines[m.IP] = m
	return m
}

// draw is a number below 1 that the seed fixes, whatever order others are drawn in.
func (n *Net) draw(from, to string, count uint64) float64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, n.seed, from, to, count)
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return float64(x>>11) / (1 << 53)
}

// delay of one delivery. Called under mu.
func (n *Net) delay(from, to *Machine) time.Duration {
	if from == to {
		return 0
	}
	key := [2]string{from.IP, to.IP}
	n.counts[key]++
	least, spread := 100*time.Microsecond, 300*time.Microsecond
	if from.Site != to.Site {
		least, spread = time.Millisecond, 2*time.Millisecond
	}
	return least + time.Duration(n.draw(from.IP, to.IP, n.counts[key])*float64(spread))
}

// Cut breaks the way from one machine to another: what is sent waits, as it
// would for its sender's repeats; datagrams are lost.
func (n *Net) Cut(from, to *Machine) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{from.IP, to.IP}] = true
}

// Mend mends one way.
func (n *Net) Mend(from, to *Machine) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cut, [2]string{from.IP, to.IP})
	from.wake()
	to.wake()
}

// Lose sets the share of datagrams that are lost.
func (n *Net) Lose(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss = share
}

// Heal mends all ways.
func (n *Net) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = map[[2]string]bool{}
	for _, m := range n.machines {
		m.wake()
	}
}

// Across sums up the bytes that machines of two different sites sent each other,
// those that count names.
func (n *Net) Across(count func(from, to *Machine) bool) (sum uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for key, b := range n.bytes {
		from, to := n.machines[key[0]], n.machines[key[1]]
		if from.Site != to.Site && count(from, to) {
			sum += b
		}
	}
	return sum
}

// wake has everyone on a machine look again. Called under mu.
func (m *Machine) wake() {
	for e := range m.ends {
		e.cond.Broadcast()
		e.peer.cond.Broadcast()
	}
	for _, p := range m.packets {
		p.cond.Broadcast()
	}
	for _, l := range m.listeners {
		l.cond.Broadcast()
	}
	m.thawed.Broadcast()
}

// Freeze stops every way in and out, until Thaw. What goes on inside meanwhile is
// what a process could have done at the last moment before.
func (m *Machine) Freeze() {
	m.net.mu.Lock()
	defer m.net.mu.Unlock()
	m.freeze()
}

// Trap freezes the machine at the moment when it writes a text to one of some
// machines, before any of that is sent.
func (m *Machine) Trap(what string, to []*Machine) {
	m.net.mu.Lock()
	defer m.net.mu.Unlock()
	m.trap = func(other *Machine, data []byte) bool {
		return slices.Contains(to, other) && other != m && bytes.Contains(data, []byte(what))
	}
}

// Thaw lets everything go on, at the time that it is by then.
func (m *Machine) Thaw() {
	m.net.mu.Lock()
	held := m.held
	m.goOn()
	m.held, m.trap = nil, nil
	m.wake()
	m.net.mu.Unlock()
	for _, send := range held {
		send()
	}
}

// Kill ends what runs on the machine. Others hear of it at once, unless the
// machine itself is gone.
func (m *Machine) Kill(gone bool) {
	m.net.mu.Lock()
	defer m.net.mu.Unlock()
	m.life++
	m.goOn()
	m.dark, m.held, m.trap = gone, nil, nil
	for _, l := range m.listeners {
		l.closed = true
	}
	for _, p := range m.packets {
		p.closed = true
	}
	for e := range m.ends {
		e.broken = true
		if !gone {
			e.peer.put(segment{at: time.Now().Add(m.net.delay(m, e.peer.machine)), reset: true})
		}
	}
	m.wake()
	m.listeners, m.packets, m.ends = map[string]*listener{}, map[string]*packets{}, map[*end]bool{}
}

// Boot gives the machine's network to one process, until the next Kill.
func (m *Machine) Boot() *Ports {
	m.net.mu.Lock()
	defer m.net.mu.Unlock()
	m.dark = false
	return &Ports{m, m.life}
}

// Clock is the machine's boot time.
func (m *Machine) Clock() Clock { return Clock{m.offset} }

// Clock counts from a moment of its own machine.
type Clock struct{ offset time.Duration }

var origin = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// Now implements the node's clock.
func (c Clock) Now() time.Duration { return time.Since(origin) + c.offset }

// Ports is one life's network on a machine.
type Ports struct {
	m    *Machine
	life int
}

var errDead = errors.New("the machine is down")

func fail(op string, err error) error { return &net.OpError{Op: op, Net: "tcp", Err: err} }

// gone tells that this life is over. Called under mu.
func (p *Ports) gone() bool { return p.m.life != p.life }

// Wait blocks while the machine is frozen; false when its life is over.
func (p *Ports) Wait() bool {
	p.m.net.mu.Lock()
	defer p.m.net.mu.Unlock()
	for p.m.frozen && !p.gone() {
		p.m.thawed.Wait()
	}
	return !p.gone()
}

type addr string

func (addr) Network() string  { return "tcp" }
func (a addr) String() string { return string(a) }

// Listen implements link.Network.
func (p *Ports) Listen(at string) (net.Listener, error) {
	p.m.net.mu.Lock()
	defer p.m.net.mu.Unlock()
	if p.gone() {
		return nil, fail("listen", errDead)
	}
	if p.m.listeners[at] != nil {
		return nil, fail("listen", syscall.EADDRINUSE)
	}
	l := &listener{ports: p, at: at, cond: sync.NewCond(&p.m.net.mu)}
	p.m.listeners[at] = l
	return l, nil
}

type listener struct {
	ports  *Ports
	at     string
	cond   *sync.Cond
	queue  []*end
	closed bool
}

func (l *listener) Accept() (net.Conn, error) {
	l.ports.m.net.mu.Lock()
	defer l.ports.m.net.mu.Unlock()
	for !l.closed && (len(l.queue) == 0 || l.ports.m.frozen) {
		l.cond.Wait()
	}
	if l.closed {
		return nil, fail("accept", net.ErrClosed)
	}
	e := l.queue[0]
	l.queue = l.queue[1:]
	return e, nil
}

func (l *listener) Addr() net.Addr { return addr(l.at) }

func (l *listener) Close() error {
	l.ports.m.net.mu.Lock()
	defer l.ports.m.net.mu.Unlock()
	l.closed = true
	if l.ports.m.listeners[l.at] == l {
		delete(l.ports.m.listeners, l.at)
	}
	for _, e := range l.queue { // never accepted
		e.shut()
	}
	l.cond.Broadcast()
	return nil
}

// Dial implements link.Network: it waits for its context's end when nobody hears it.
func (p *Ports) Dial(ctx context.Context, at string) (net.Conn, error) {
	n := p.m.net
	host, _, err := net.SplitHostPort(at)
	if err != nil {
		return nil, fail("dial", err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	wake := context.AfterFunc(ctx, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		p.m.thawed.Broadcast()
	})
	defer wake()
	for tried := false; ; tried = true {
		if tried {
			// The way there and back, or a repeat of it.
			n.mu.Unlock()
			lifecycle.Pause(ctx, 5*time.Millisecond)
			n.mu.Lock()
		}
		for p.m.frozen && !p.gone() && ctx.Err() == nil {
			p.m.thawed.Wait()
		}
		switch {
		case p.gone():
			return nil, fail("dial", errDead)
		case ctx.Err() != nil:
			return nil, fail("dial", os.ErrDeadlineExceeded)
		case !tried:
			continue
		}
		to := n.machines[host]
		if to == nil || to.dark || n.cut[[2]string{p.m.IP, host}] || n.cut[[2]string{host, p.m.IP}] {
			continue
		}
		l := to.listeners[at]
		if l == nil {
			return nil, fail("dial", syscall.ECONNREFUSED)
		}
		p.m.port++
		here := &end{machine: p.m, local: addr(fmt.Sprintf("%s:%d", p.m.IP, p.m.port)), remote: addr(at), cond: sync.NewCond(&n.mu)}
		there := &end{machine: to, local: here.remote, remote: here.local, cond: sync.NewCond(&n.mu)}
		here.peer, there.peer = there, here
		p.m.ends[here], to.ends[there] = true, true
		l.queue = append(l.queue, there)
		l.cond.Broadcast()
		return here, nil
	}
}

// after acts under the network's lock when a while is over, at once if it is over
// already: a timer due at once would run within its own making, where the race
// detector of a bubble cannot follow it (docs/design.md section 8.2). Called under mu.
func (n *Net) after(d time.Duration, act func()) *time.Timer {
	if d <= 0 {
		act()
		return nil
	}
	return time.AfterFunc(d, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		act()
	})
}

// segment is what is under way on a connection.
type segment struct {
	at    time.Time
	data  []byte
	fin   bool
	reset bool
}

// window is how much may be under way before a sender waits.
const window = 256 << 10

// end is one side of a connection. All is guarded by the network's lock.
type end struct {
	machine       *Machine
	peer          *end
	local, remote addr
	cond          *sync.Cond
	in            []segment
	size          int
	last          time.Time // no segment overtakes another
	broken        bool      // its machine was killed, or it was reset
	closed        bool
	readBy        time.Time
	writeBy       time.Time
	timers        [2]*time.Timer
}

// put queues a segment for this side. Called under mu.
func (e *end) put(s segment) {
	if s.at.Before(e.last) {
		s.at = e.last
	}
	e.last = s.at
	e.in = append(e.in, s)
	e.size += len(s.data)
	e.machine.net.after(time.Until(s.at), e.cond.Broadcast)
}

// ended says why nothing more can be done on this side.
func (e *end) ended(op string, broken error, by time.Time) error {
	switch {
	case e.closed:
		return fail(op, net.ErrClosed)
	case e.broken:
		return fail(op, broken)
	case !by.IsZero() && !time.Now().Before(by):
		return fail(op, os.ErrDeadlineExceeded)
	}
	return nil
}

func (e *end) Read(b []byte) (int, error) {
	n := e.machine.net
	n.mu.Lock()
	defer n.mu.Unlock()
	for {
		if err := e.ended("read", syscall.ECONNRESET, e.readBy); err != nil {
			return 0, err
		}
		ready := len(e.in) > 0 && !e.machine.frozen && !n.cut[[2]string{e.peer.machine.IP, e.machine.IP}]
		if ready && !time.Now().Before(e.in[0].at) {
			s := &e.in[0]
			switch {
			case s.reset:
				e.broken = true
				continue
			case s.fin:
				return 0, io.EOF
			}
			k := copy(b, s.data)
			s.data = s.data[k:]
			e.size -= k
			if len(s.data) == 0 {
				e.in = e.in[1:]
			}
			e.peer.cond.Broadcast()
			return k, nil
		}
		e.cond.Wait()
	}
}

func (e *end) Write(b []byte) (int, error) {
	n := e.machine.net
	n.mu.Lock()
	defer n.mu.Unlock()
	for {
		if err := e.ended("write", syscall.EPIPE, e.writeBy); err != nil {
			return 0, err
		}
		if e.machine.trap != nil && e.machine.trap(e.peer.machine, b) {
			e.machine.freeze()
			e.machine.trap = nil
		}
		if !e.machine.frozen && e.peer.size < window {
			break
		}
		e.cond.Wait()
	}
	n.bytes[[2]string{e.machine.IP, e.peer.machine.IP}] += uint64(len(b))
	if (e.peer.broken || e.peer.closed) && !e.peer.machine.dark {
		// Nobody is there any more: its system says so.
		e.put(segment{at: time.Now().Add(n.delay(e.machine, e.peer.machine)), reset: true})
		return len(b), nil
	}
	e.peer.put(segment{at: time.Now().Add(n.delay(e.machine, e.peer.machine)), data: append([]byte(nil), b...)})
	return len(b), nil
}

// shut ends a side. Called under mu.
func (e *end) shut() {
	if e.closed {
		return
	}
	e.closed = true
	delete(e.machine.ends, e)
	if !e.broken {
		at := time.Now().Add(e.machine.net.delay(e.machine, e.peer.machine))
		e.peer.put(segment{at: at, fin: true})
		// What is still written to a closed side is answered with a reset.
		if len(e.in) > 0 {
			e.peer.put(segment{at: at, reset: true})
		}
	}
	e.cond.Broadcast()
}

func (e *end) Close() error {
	e.machine.net.mu.Lock()
	defer e.machine.net.mu.Unlock()
	e.shut()
	return nil
}

// Abort resets the connection, whatever is under way.
func (e *end) Abort() {
	e.machine.net.mu.Lock()
	defer e.machine.net.mu.Unlock()
	if e.closed || e.broken {
		return
	}
	e.broken = true
	e.peer.put(segment{at: time.Now().Add(e.machine.net.delay(e.machine, e.peer.machine)), reset: true})
	e.cond.Broadcast()
}

// Reset resets a share of the machine's connections, whatever is under way on them.
func (m *Machine) Reset(share float64) {
	m.net.mu.Lock()
	defer m.net.mu.Unlock()
	var open []*end
	for e := range m.ends {
		open = append(open, e)
	}
	slices.SortFunc(open, func(a, b *end) int {
		return cmp.Or(cmp.Compare(a.local, b.local), cmp.Compare(a.remote, b.remote))
	})
	for _, e := range open {
		m.resets++
		if m.net.draw(m.IP, "reset", m.resets) >= share || e.closed || e.broken {
			continue
		}
		e.broken = true
		e.peer.put(segment{at: time.Now().Add(m.net.delay(m, e.peer.machine)), reset: true})
		e.cond.Broadcast()
	}
}

func (e *end) LocalAddr() net.Addr  { return e.local }
func (e *end) RemoteAddr() net.Addr { return e.remote }

func (e *end) SetDeadline(t time.Time) error {
	_ = e.SetReadDeadline(t)
	return e.SetWriteDeadline(t)
}

func (e *end) SetReadDeadline(t time.Time) error  { return e.limit(&e.readBy, 0, t) }
func (e *end) SetWriteDeadline(t time.Time) error { return e.limit(&e.writeBy, 1, t) }

func (e *end) limit(which *time.Time, at int, t time.Time) error {
	e.machine.net.mu.Lock()
	defer e.machine.net.mu.Unlock()
	*which = t
	if e.timers[at] != nil {
		e.timers[at].Stop()
		e.timers[at] = nil
	}
	if !t.IsZero() {
		e.timers[at] = e.machine.net.after(time.Until(t), e.cond.Broadcast)
	}
	e.cond.Broadcast()
	return nil
}

// packets is a datagram socket.
type packets struct {
	ports  *Ports
	at     string
	cond   *sync.Cond
	queue  []packet
	closed bool
}

type packet struct {
	from addr
	data []byte
}

// ListenPacket implements link.Network.
func (p *Ports) ListenPacket(at string) (net.PacketConn, error) {
	p.m.net.mu.Lock()
	defer p.m.net.mu.Unlock()
	if p.gone() || p.m.packets[at] != nil {
		return nil, fail("listen", syscall.EADDRINUSE)
	}
	s := &packets{ports: p, at: at, cond: sync.NewCond(&p.m.net.mu)}
	p.m.packets[at] = s
	return s, nil
}

func (s *packets) ReadFrom(b []byte) (int, net.Addr, error) {
	s.ports.m.net.mu.Lock()
	defer s.ports.m.net.mu.Unlock()
	for !s.closed && (len(s.queue) == 0 || s.ports.m.frozen) {
		s.cond.Wait()
	}
	if s.closed {
		return 0, nil, fail("read", net.ErrClosed)
	}
	p := s.queue[0]
	s.queue = s.queue[1:]
	return copy(b, p.data), p.from, nil
}

// WriteTo never waits: a frozen machine's datagrams go when it thaws.
func (s *packets) WriteTo(b []byte, to net.Addr) (int, error) {
	data := append([]byte(nil), b...)
	s.send(data, to.String())
	return len(b), nil
}

func (s *packets) send(data []byte, to string) {
	m, n := s.ports.m, s.ports.m.net
	n.mu.Lock()
	defer n.mu.Unlock()
	if m.frozen {
		if len(m.held) < 4096 {
			m.held = append(m.held, func() { s.send(data, to) })
		}
		return
	}
	host, _, _ := net.SplitHostPort(to)
	target := n.machines[host]
	if s.ports.gone() || target == nil || n.cut[[2]string{m.IP, host}] {
		return
	}
	n.bytes[[2]string{m.IP, host}] += uint64(len(data))
	delay := n.delay(m, target)
	if n.loss > 0 && n.draw(host, m.IP, n.counts[[2]string{m.IP, host}]) < n.loss {
		return
	}
	n.after(delay, func() {
		if there := target.packets[to]; there != nil && len(there.queue) < 4096 {
			there.queue = append(there.queue, packet{addr(s.at), data})
			there.cond.Broadcast()
		}
	})
}

func (s *packets) LocalAddr() net.Addr { return addr(s.at) }

func (s *packets) Close() error {
	s.ports.m.net.mu.Lock()
	defer s.ports.m.net.mu.Unlock()
	s.closed = true
	if s.ports.m.packets[s.at] == s {
		delete(s.ports.m.packets, s.at)
	}
	s.cond.Broadcast()
	return nil
}

func (s *packets) SetDeadline(time.Time) error      { return nil }
func (s *packets) SetReadDeadline(time.Time) error  { return nil }
func (s *packets) SetWriteDeadline(time.Time) error { return nil }
