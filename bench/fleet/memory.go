package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"

	"linedrum.example/linedrum/bench/process"
	"linedrum.example/linedrum/bench/virtual"
	"linedrum.example/linedrum/event"
	"linedrum.example/linedrum/lifecycle"
	"linedrum.example/linedrum/link"
	"linedrum.example/linedrum/node"
	"linedrum.example/linedrum/settings"
	"linedrum.example/linedrum/wire"
)

// Memory is machines in memory, for whole fleets in virtual time: the same node,
// on a network, disks and clocks that do as they are told.
type Memory struct {
	Network *virtual.Net
	seed    uint64
	crew    *lifecycle.Crew
	callers *virtual.Machine

	mu       sync.Mutex
	machines map[string]*virtual.Machine
	disks    map[string]*virtual.Disk // by machine and folder
	logs     map[int]*process.Log
	lives    uint64
	forms    map[int]uint16 // of nodes that are of another release
}

// NewMemory makes one. It must be made, used and ended inside one bubble.
func NewMemory(seed uint64) *Memory {
	g := &Memory{
		Network: virtual.NewNet(seed), seed: seed, crew: lifecycle.New(context.Background()),
		machines: map[string]*virtual.Machine{}, forms: map[int]uint16{}, disks: map[string]*virtual.Disk{}, logs: map[int]*process.Log{},
	}
	g.callers = g.Network.Add("callers")
	return g
}

// Machine is the one of an address.
func (g *Memory) Machine(addr string) *virtual.Machine {
	host, _, _ := net.SplitHostPort(addr)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machines[host]
}

// Disk is a node's.
func (g *Memory) Disk(n *Node) *virtual.Disk {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.disks[n.Listen+n.Data] == nil {
		g.disks[n.Listen+n.Data] = virtual.NewDisk()
	}
	return g.disks[n.Listen+n.Data]
}

// Spot implements Ground.
func (g *Memory) Spot(site string, addrs int) ([]string, error) {
	m := g.Network.Add(site)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.machines[m.IP] = m
	var out []string
	for i := range addrs {
		out = append(out, fmt.Sprintf("%s:%d", m.IP, 7000+1000*i))
	}
	return out, nil
}

// Net implements Ground.
func (g *Memory) Net(addr string) link.Network {
	if addr == "" {
		return g.callers.Boot()
	}
	return g.Machine(addr).Boot()
}

// Log implements Ground.
func (g *Memory) Log(n *Node) string { return g.logOf(n).String() }

func (g *Memory) logOf(n *Node) *process.Log {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.logs[n.Index] == nil {
		g.logs[n.Index] = &process.Log{}
	}
	return g.logs[n.Index]
}

// Launch implements Ground: one life of a node, on its machine.
func (g *Memory) Launch(n *Node) (Process, error) {
	s, faults := settings.Parse(n.config)
	if len(faults) > 0 {
		return nil, faults
	}
	g.mu.Lock()
	g.lives++
	random := rand.New(rand.NewPCG(g.seed, g.lives))
	g.mu.Unlock()
	m := g.Machine(n.Listen)
	ports := m.Boot()
	host := node.Host{Clock: m.Clock(), Net: ports, Rand: random, Form: g.form(n)}
	var disk *virtual.Disk
	if n.Data != "" {
		disk = g.Disk(n)
		host.Folder = func(string) (node.Folder, error) { return disk.Folder(ports), nil }
	}
	out := event.New(&log.Logger{Handler: json.New(g.logOf(n)), Level: log.InfoLevel})
	return process.StartMemory(g.crew, m, disk, func(ctx context.Context) (process.Life, error) {
		started, err := node.Start(ctx, s, out, host, node.Outside{})
		if err != nil {
			out.Say(event.StartBounced, event.Fields{"reason": err.Error()})
			return nil, err
		}
		return started, nil
	}), nil
}

// Release has a node write another form from its next start on, as a program of
// another release does.
func (g *Memory) Release(n *Node, form uint16) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.forms[n.Index] = form
}

func (g *Memory) form(n *Node) uint16 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if form, ok := g.forms[n.Index]; ok {
		return form
	}
	return wire.Form
}

// PowerLoss takes a node's machine down with all that was not synced; nobody is told.
func (g *Memory) PowerLoss(n *Node) {
	if p, ok := n.process.(*process.Memory); ok {
		p.PowerLoss()
	}
}
