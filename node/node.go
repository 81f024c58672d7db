// Package node puts the cores together into one process: it holds the one lock
// around them, drives their ticks, and joins them to network, disk and HTTP
// (design.md section 7).
package node

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"

	"linedrum.example/linedrum/boot"
	"linedrum.example/linedrum/bus"
	"linedrum.example/linedrum/calot"
	"linedrum.example/linedrum/crew"
	"linedrum.example/linedrum/engine"
	"linedrum.example/linedrum/event"
	"linedrum.example/linedrum/gate"
	"linedrum.example/linedrum/inforce"
	"linedrum.example/linedrum/ledger"
	"linedrum.example/linedrum/link"
	"linedrum.example/linedrum/quorum"
	"linedrum.example/linedrum/register"
	"linedrum.example/linedrum/ring"
	"linedrum.example/linedrum/settings"
	"linedrum.example/linedrum/wal"
	"linedrum.example/linedrum/wire"
)

// Node is one process of the fleet.
type Node struct {
	settings settings.Settings
	log      *event.Log
	clock    boot.Clock
	crew     *crew.Crew
	bus      *bus.Bus
	link     *link.Link
	cleanup  crew.Cleanup

	// mu is the core lock: every core is called under it, and it is held for
	// short steps only. Order: gate, mu, engines, innermost locks (section 7.2).
	mu       sync.Mutex
	rand     *rand.Rand
	member   *calot.Member
	acceptor *register.Acceptor // nil without a disk
	disk     *wal.Log
	folder   *wal.Folder
	holder   *register.Holder
	paths    *register.Paths
	founder  *register.Founder
	keeper   *inforce.Keeper
	picture  Picture
	settling map[string]time.Duration
	duties   map[string]*duty
	looks    map[uint64]*look
	nextLook uint64
	had      bool // a permit was held at the last tick
	mend     mender

	engines *engines
	gate    *gate.Gate
	client  *engine.Client
	front   *front
	budget  *ledger.Budget // under mu
	bad     badCounts
}

type badCounts struct{ datagrams, foreign uint64 }

// newRand seeds from the system: ask numbers must differ from those of this
// address's earlier life.
func newRand() *rand.Rand {
	var seed [16]byte
	_, _ = crand.Read(seed[:])
	return rand.New(rand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:])))
}

// Start brings a node up; Stop takes it down.
func Start(s settings.Settings, log *event.Log) (_ *Node, err error) {
	n := &Node{
		settings: s, log: log, rand: newRand(),
		settling: map[string]time.Duration{}, duties: map[string]*duty{}, looks: map[uint64]*look{},
	}
	defer func() {
		if err != nil {
			n.cleanup.Run()
		}
	}()
	n.crew = crew.New(context.Background())
	n.cleanup.Add(func() {
		n.crew.Stop()
		if n.folder != nil {
			n.folder.Close()
		}
	})
	n.bus = bus.New(n.crew)
	n.cleanup.Add(n.bus.Close)
	recovery := s.Bounds.Recovery.D()
	if n.link, err = link.Open(s.Fleet, s.Listen, recovery/12, n.crew); err != nil {
		return nil, errors.Trace(err)
	}
	identity := ""
	if s.Data != "" {
		if identity, err = n.openDisk(); err != nil {
			return nil, errors.Trace(err)
		}
	}
	self := calot.Entry{Addr: n.link.Self(), HTTP: s.HTTP, Site: s.Site, Disk: identity}
	n.member = calot.New(self, s.Seeds, calot.TimingFor(recovery), n.clock, datagrams{n}, bulk{n}, tableWatch{n}, n.rand.Uint64()>>8)
	round := s.Bounds.InForce.D() / 8
	n.holder = register.NewHolder(self.Addr, n.clock, frames{n}, n.rand, round, n.newSet)
	n.paths = register.NewPaths(self.Addr, n.clock, frames{n}, nearest{n}, n.holder, 4*round, n.rand.Uint64()>>8)
	n.founder = register.NewFounder(self.Addr, s.Founders, n.acceptor, n.clock, frames{n}, founding{n}, recovery/24, n.rand.Uint64()>>8, n.diskNodes)
	n.keeper = inforce.New(self.Addr, n.clock, frames{n}, keeping{n}, inforce.TimingFor(min(s.Bounds.InForce.D(), s.Bounds.EngineLeave.D()*2/3, s.Bounds.SiteEmpty.D()*2/5)), n.rand.Uint64()>>8)
	n.keeper.Want(baseKeys)
	n.budget = ledger.NewBudget(s.Bounds.RetryShare, s.Bounds.RetryExtra, s.Bounds.RetryWindow.D(), s.Size, n.clock.Now())
	n.mend.rand = n.rand
	n.client = engine.NewClient(s.Bounds.InForce.D()/4, int64(s.Limits.Body))
	n.engines = newEngines(s.Site, recovery)
	n.gate = gate.New(n.clock)
	if n.acceptor != nil && n.acceptor.Set().Formed() {
		n.holder.Adopt(n.acceptor.Set())
	}
	if n.front, err = newFront(n); err != nil {
		return nil, errors.Trace(err)
	}
	n.link.Serve(handler{n})
	n.mu.Lock()
	n.member.Join()
	n.mu.Unlock()
	n.crew.Start(n.tickCores)
	n.crew.Start(n.tickDuties)
	n.crew.Start(n.pollEngines)
	if err = n.front.serve(); err != nil {
		return nil, errors.Trace(err)
	}
	n.log.Say(event.Started, event.Fields{"listen": self.Addr, "http": s.HTTP, "site": s.Site, "disk": identity})
	return n, nil
}

// Kill ends the node at once, as a crash would but for what the process itself holds.
func (n *Node) Kill() {
	n.front.kill()
	n.cleanup.Run()
}

func every(ctx context.Context, d time.Duration, step func()) {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			step()
		}
	}
}

// tickCores drives everything that waits for time under the core lock.
func (n *Node) tickCores(ctx context.Context) {
	every(ctx, n.settings.Bounds.InForce.D()/200, func() {
		n.mu.Lock()
		n.member.Tick()
		n.founder.Tick(n.holder.Set())
		n.holder.Tick()
		n.paths.Tick()
		n.keeper.Tick()
		n.tickLooks()
		n.tickDisk()
		held := n.keeper.Held()
		changed := held != n.had
		n.had = held
		n.mu.Unlock()
		if changed && held {
			n.log.Say(event.PermitHeld, nil)
		} else if changed {
			n.log.Say(event.PermitLost, nil)
		}
	})
}

// handler takes what the link brings.
type handler struct{ n *Node }

func (h handler) Datagram(m calot.Message) {
	h.n.mu.Lock()
	defer h.n.mu.Unlock()
	h.n.member.Receive(m)
}

func (h handler) BadFrame(from string, err error) {
	h.n.log.Say(event.FrameBad, event.Fields{"from": from, "reason": err.Error()})
}

func (h handler) Frame(m register.Message, c wire.Cohort) {
	n := h.n
	n.mu.Lock()
	defer n.mu.Unlock()
	switch m.Kind {
	case register.KindPrepare, register.KindAccept, register.KindPledge, register.KindWho,
		register.KindQuery, register.KindDigest, register.KindRange, register.KindSet:
		if m.Kind == register.KindSet {
			n.holder.Adopt(m.Set)
		}
		n.handleDisk(m)
	case register.KindReply:
		if !n.holder.Receive(m) {
			n.founder.Receive(m)
		}
	case register.KindIAm:
		n.founder.Receive(m)
	case register.KindQueried:
		if !n.keeper.Receive(m) {
			n.receiveLook(m)
		}
	case register.KindDo, register.KindDone:
		n.paths.Receive(m)
	case register.KindName:
		n.named(m)
	case register.KindDigests, register.KindCells:
		n.receiveMend(m)
	case register.KindCopy:
		n.link.Frame(m.From, register.Message{Kind: register.KindTable, From: n.member.Self().Addr}, wire.Cohort{
			Alive: n.member.Alive(), Departed: n.member.Departed(),
		})
	case register.KindTable:
		n.member.Copied(m.From, c.Alive, c.Departed)
	}
}

// handleDisk passes a message to this node's disk, or says that there is none.
func (n *Node) handleDisk(m register.Message) {
	reply := func(out register.Message) {
		if m.From != "" && m.Kind != register.KindSet {
			n.link.Frame(m.From, out, wire.Cohort{})
		}
	}
	if n.acceptor != nil {
		n.acceptor.Handle(m, reply)
		return
	}
	if m.Kind == register.KindWho {
		reply(register.Message{Kind: register.KindIAm, Ask: m.Ask, From: n.member.Self().Addr, Set: n.holder.Set()})
	}
}

// The ports of the cores. All are called under mu.

type datagrams struct{ n *Node }

func (p datagrams) Send(to string, m calot.Message) { p.n.link.Datagram(to, m) }

type frames struct{ n *Node }

func (p frames) Send(to string, m register.Message) { p.n.link.Frame(to, m, wire.Cohort{}) }

type bulk struct{ n *Node }

func (p bulk) Copy(from string) {
	p.n.link.Frame(from, register.Message{Kind: register.KindCopy, From: p.n.member.Self().Addr}, wire.Cohort{})
}

type nearest struct{ n *Node }

func (p nearest) Nearest(key string) []string {
	var out []string
	for _, e := range p.n.member.Nearest(ring.Of(key)) {
		out = append(out, e.Addr)
	}
	return out
}

type tableWatch struct{ n *Node }

func (p tableWatch) TableChanged(e calot.Entry, departed bool) {
	number := event.CohortJoined
	if departed {
		number = event.CohortGone
	}
	if e.Addr == p.n.link.Self() {
		number = event.RingJoined
	}
	p.n.log.Say(number, event.Fields{"addr": e.Addr, "incarnation": e.Incarnation, "site": e.Site})
	p.n.bus.Publish(bus.TopicTable, e)
}

type founding struct{ n *Node }

func (p founding) NewSet(set quorum.Set) { p.n.newSet(set) }

func (p founding) Founded(set quorum.Set) {
	p.n.log.Say(event.DiskFounded, event.Fields{"disks": len(set.Disks)})
	p.n.newSet(set)
}

func (p founding) Stuck(reason string) {
	p.n.log.Say(event.FoundingStuck, event.Fields{"reason": reason})
}

// newSet takes a disk set heard of, if it is newer, for this node's asking and its disk.
func (n *Node) newSet(set quorum.Set) {
	if n.holder.Adopt(set) {
		n.log.Say(event.DiskSetTaken, event.Fields{"set": set.Serial, "disks": len(set.Disks), "next": len(set.Next)})
		n.keeper.Hurry()
	}
	if n.acceptor != nil {
		n.acceptor.Handle(register.Message{Kind: register.KindSet, Set: set}, func(register.Message) {})
	}
}

// diskNodes lists the nodes of the table that have a disk.
func (n *Node) diskNodes() []string {
	var out []string
	for _, e := range n.member.Alive() {
		if e.Disk != "" {
			out = append(out, e.Addr)
		}
	}
	return out
}
