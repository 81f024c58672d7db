package platform

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"

	"linedrum.example/linedrum/bench/fleet"
	"linedrum.example/linedrum/bench/virtual"
	"linedrum.example/linedrum/crew"
	"linedrum.example/linedrum/link"
	"linedrum.example/linedrum/node"
	"linedrum.example/linedrum/wire"
)

// Life is a process of the system that runs inside this one.
type Life interface {
	// Stop is SIGTERM; it returns when the process would have ended.
	Stop()
	// Kill ends it at once.
	Kill()
}

// Starter starts the system's process on a machine in memory, with a settings file.
type Starter func(settings []byte, host node.Host, log io.Writer) (Life, error)

// Memory is machines in memory. It must be made, used and ended inside one bubble.
type Memory struct {
	Network *virtual.Net
	Lies    bool // the planted fault: its disks say that syncs are done, and they are not
	seed    uint64
	starter Starter
	crew    *crew.Crew

	mu       sync.Mutex
	machines map[string]*virtual.Machine
	disks    map[string]*virtual.Disk // by IP number
	logs     map[string]*text
	lives    uint64
}

// NewMemory makes a ground in memory.
func NewMemory(seed uint64, starter Starter) *Memory {
	return &Memory{
		Network: virtual.NewNet(seed), seed: seed, starter: starter, crew: crew.New(context.Background()),
		machines: map[string]*virtual.Machine{}, disks: map[string]*virtual.Disk{}, logs: map[string]*text{},
	}
}

// Place implements Ground.
func (g *Memory) Place(zone string) (string, error) {
	m := g.Network.Add(zone)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.machines[m.IP] = m
	return m.IP, nil
}

// Machine is the one of an IP number.
func (g *Memory) Machine(ip string) *virtual.Machine {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machines[ip]
}

// Net implements Ground.
func (g *Memory) Net(ip string) link.Network { return g.Machine(ip).Boot() }

// Data implements Ground.
func (g *Memory) Data(n *Node) string {
	g.Wipe(n)
	return "/data/node"
}

// Wipe implements Ground.
func (g *Memory) Wipe(n *Node) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.disks[n.IP] = virtual.NewDisk()
	g.disks[n.IP].Lie(g.Lies)
}

// Disk is a node's.
func (g *Memory) Disk(n *Node) *virtual.Disk {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.disks[n.IP]
}

// text is a log that is written and read at once.
type text struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *text) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(b)
}

// Log is what a node's processes have logged.
func (g *Memory) Log(n *Node) string {
	l := g.log(n)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

func (g *Memory) log(n *Node) *text {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.logs[n.IP] == nil {
		g.logs[n.IP] = &text{}
	}
	return g.logs[n.IP]
}

// Stop ends what the machines still do.
func (g *Memory) Stop() { g.crew.Stop() }

// Launch implements Ground.
func (g *Memory) Launch(n *Node, settings []byte) (fleet.Process, error) {
	m := g.Machine(n.IP)
	ports := m.Boot()
	g.mu.Lock()
	g.lives++
	random := rand.New(rand.NewPCG(g.seed, g.lives))
	g.mu.Unlock()
	p := &life{machine: m, exited: make(chan struct{}), crew: g.crew}
	host := node.Host{Clock: m.Clock(), Net: ports, Rand: random, Form: wire.Form}
	if n.Disk {
		p.disk = g.Disk(n)
		host.Folder = func(string) (node.Folder, error) { return p.disk.Folder(ports), nil }
	}
	log := g.log(n)
	g.crew.Start(func(context.Context) {
		started, err := g.starter(settings, host, log)
		if err != nil {
			fmt.Fprintln(log, "start:", err)
			p.end(1)
			return
		}
		p.mu.Lock()
		p.node = started
		over := p.over
		p.mu.Unlock()
		if over {
			started.Kill()
			p.end(-1)
		}
	})
	return p, nil
}

// life is a process in memory.
type life struct {
	machine *virtual.Machine
	disk    *virtual.Disk
	crew    *crew.Crew
	exited  chan struct{}

	mu    sync.Mutex
	node  Life // nil while it starts
	over  bool
	code  int
	ended sync.Once
}

func (p *life) end(code int) {
	p.ended.Do(func() {
		p.mu.Lock()
		p.code = code
		p.mu.Unlock()
		close(p.exited)
	})
}

func (p *life) Exited() <-chan struct{} { return p.exited }

func (p *life) ExitCode() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.code
}

// Kill implements Process: the system and the disk live on.
func (p *life) Kill() { p.cut(false) }

func (p *life) cut(power bool) {
	select {
	case <-p.exited:
		return
	default:
	}
	p.machine.Kill(power)
	if p.disk != nil {
		p.disk.Crash(power)
	}
	p.mu.Lock()
	p.over = true
	started := p.node
	p.mu.Unlock()
	if started != nil {
		started.Kill()
		p.end(-1)
	}
	<-p.exited
}

// Signal implements Process.
func (p *life) Signal(sig syscall.Signal) {
	switch sig {
	case syscall.SIGSTOP:
		p.machine.Freeze()
	case syscall.SIGCONT:
		p.machine.Thaw()
	case syscall.SIGTERM:
		p.mu.Lock()
		started := p.node
		p.mu.Unlock()
		if started == nil {
			return
		}
		p.crew.Start(func(context.Context) {
			started.Stop()
			p.machine.Kill(false)
			p.end(0)
		})
	}
}

// Loopback runs a built program as processes on loopback addresses of their own.
type Loopback struct {
	Folder, Binary string
	places         atomic.Uint32
}

// Place implements Ground.
func (g *Loopback) Place(string) (string, error) {
	for range 64 {
		i := g.places.Add(1)
		ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, i/250%250, i%250+1)
		l, err := net.Listen("tcp", ip+":8080")
		if err == nil {
			_ = l.Close()
			return ip, nil
		}
	}
	return "", fmt.Errorf("no free address")
}

// Net implements Ground.
func (g *Loopback) Net(string) link.Network { return link.Sockets{} }

// Data implements Ground.
func (g *Loopback) Data(n *Node) string { return filepath.Join(g.Folder, "data-"+n.Name) }

// Wipe implements Ground.
func (g *Loopback) Wipe(n *Node) { _ = os.RemoveAll(g.Data(n)) }

// Log is what a node's processes have logged.
func (g *Loopback) Log(n *Node) string {
	b, _ := os.ReadFile(filepath.Join(g.Folder, n.Name+".log"))
	return string(b)
}

// Launch implements Ground.
func (g *Loopback) Launch(n *Node, settings []byte) (fleet.Process, error) {
	path := filepath.Join(g.Folder, n.Name+".yaml")
	if err := os.WriteFile(path, settings, 0o644); err != nil {
		return nil, err
	}
	if n.data != "" {
		if err := os.MkdirAll(n.data, 0o755); err != nil {
			return nil, err
		}
	}
	log, err := os.OpenFile(filepath.Join(g.Folder, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(g.Binary, "platform")
	cmd.Env = append(os.Environ(), "LINEDRUM_NODE_FILE="+path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return nil, err
	}
	p := &process{cmd: cmd, exited: make(chan struct{})}
	crew.New(context.Background()).Start(func(context.Context) {
		_ = cmd.Wait()
		_ = log.Close()
		close(p.exited)
	})
	return p, nil
}

type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

func (p *process) Exited() <-chan struct{}   { return p.exited }
func (p *process) ExitCode() int             { return p.cmd.ProcessState.ExitCode() }
func (p *process) Signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) }
func (p *process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}
