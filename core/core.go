// Package core joins the state machines of one node - membership, registers,
// permits, duties, the change of disks - over ports for clock, network, disk
// and randomness. The process in package node and the simulator in package sim
// run this same code (design.md section 7). Nothing here blocks, starts
// anything, or is safe for concurrent use.
package core

import (
	"slices"
	"strconv"
	"time"

	"linedrum.example/linedrum/calot"
	"linedrum.example/linedrum/event"
	"linedrum.example/linedrum/freshness"
	"linedrum.example/linedrum/lease"
	"linedrum.example/linedrum/quorum"
	"linedrum.example/linedrum/register"
	"linedrum.example/linedrum/ring"
	"linedrum.example/linedrum/settings"
	"linedrum.example/linedrum/wire"
)

// Ports is everything outside a core.
type Ports interface {
	Now() time.Duration
	Uint64() uint64
	Datagram(to string, m calot.Message)
	Frame(to string, m register.Message, c wire.Cohort)
	Say(n event.Number, fields event.Fields)
	// TableChanged hears of each change to the membership.
	TableChanged(e calot.Entry, departed bool)
	// Adopted hears of each control cell that comes in force on this node.
	Adopted(key string, cell register.Entry)
}

// Keys of the control state that every node holds a permit for (section 3.1).
const (
	KeyDesk    = "desk"
	KeyEngines = "engines"
	KeySites   = "sites"
	KeyRoles   = "roles/" // and the pool's name
	KeyDisks   = "disks"
	KeyWindows = register.KeyWindows
)

// BaseKeys are covered by every permit; the pools' role tables come on top.
var BaseKeys = []string{KeyDesk, KeyEngines, KeySites, KeyWindows}

// Core is one node's state.
type Core struct {
	ports    Ports
	settings settings.Settings

	Member   *calot.Member
	Acceptor *register.Acceptor // nil without a disk
	Holder   *register.Holder
	Paths    *register.Paths
	Founder  *register.Founder
	Keeper   *lease.Keeper
	// Fresh is how old this node's knowledge of the list of engines is.
	Fresh *freshness.Watch
	Relay *lease.Relay

	settling map[string]time.Duration
	duties   map[string]*Duty
	looks    map[uint64]*look
	nextLook uint64
	mend     repairer
	change   reconfiguration
	recovery recovery
	had      bool // a permit was held at the last tick
	retiring bool // the node leaves in order, and its disk votes only until it is replaced
	fleet    struct {
		most int           // members alive at one time, in this life
		grew time.Duration // when that rose last
	}
}

// New makes a core; an acceptor that was replayed from this node's disk goes
// in, or nil. Nothing is sent before Start.
func New(s settings.Settings, acceptor *register.Acceptor, ports Ports) *Core {
	c := &Core{
		ports: ports, settings: s, Acceptor: acceptor,
		settling: map[string]time.Duration{}, duties: map[string]*Duty{}, looks: map[uint64]*look{},
		nextLook: ports.Uint64() >> 8,
	}
	identity := ""
	if acceptor != nil {
		if acceptor.Trusted() {
			identity = acceptor.Identity()
		}
		if len(s.FirstDisks()) == 0 {
			acceptor.Late()
		}
	}
	recovery, inForce := s.Bounds.Recovery.D(), s.Bounds.InForce.D()
	self := calot.Entry{Addr: s.Listen, HTTP: s.HTTP, Site: s.Site, Disk: identity}
	c.Member = calot.New(self, s.Seeds, calot.TimingFor(recovery), ports, datagrams{ports}, bulk{c}, ports, ports.Uint64()>>8)
	round := inForce / 8
	c.Holder = register.NewHolder(self.Addr, ports, frames{ports}, ports, round, c.newSet)
	c.Paths = register.NewPaths(self.Addr, ports, frames{ports}, nearest{c}, c.Holder, 4*round, ports.Uint64()>>8)
	c.Founder = register.NewFounder(self.Addr, s.FirstDisks(), s.Seeds, acceptor, ports, frames{ports}, founding{c}, recovery/24, ports.Uint64()>>8, c.diskNodes)
	// One permit serves three bounds: it is cut to the tightest (section 1.3).
	bound := min(inForce, s.Bounds.EngineLeave.D()*2/3, s.Bounds.SiteEmpty.D()*2/5)
	timing := lease.TimingFor(bound)
	ask := ports.Uint64() >> 8
	c.Keeper = lease.New(self.Addr, ports, frames{ports}, keeping{c}, timing, ask)
	c.Relay = lease.NewRelay(self.Addr, ports, frames{ports}, c.Holder.Set, timing, ask|1<<60)
	c.Holder.Known = c.Keeper.Cell
	c.Keeper.Want(BaseKeys)
	c.Fresh = freshness.New(freshness.TimingFor(s.Bounds.EngineLeave.D()), ports.Now())
	if acceptor != nil && acceptor.Set().Formed() {
		c.Holder.Adopt(acceptor.Set())
		c.reseed()
	}
	return c
}

// Start looks for the ring.
func (c *Core) Start() { c.Member.Join() }

// Self is this node's address.
func (c *Core) Self() string { return c.settings.Listen }

// TickEvery is how often Tick is to be called: a ratio to the in-force bound.
func (c *Core) TickEvery() time.Duration { return c.settings.Bounds.InForce.D() / 200 }

// Tick does what is due.
func (c *Core) Tick() {
	c.Member.Tick()
	c.Founder.Tick(c.Holder.Set())
	c.Holder.Tick()
	c.Paths.Tick()
	c.Keeper.Tick()
	c.Relay.Tick()
	c.tickLooks()
	now := c.ports.Now()
	if alive, _, _ := c.Member.Census(); alive > c.fleet.most {
		c.fleet.most, c.fleet.grew = alive, now
	}
	if c.Acceptor != nil {
		c.tickDisk(now)
		c.tickRepair(now)
	}
	c.tickChange(now)
	if held := c.Keeper.Held(); held != c.had {
		c.had = held
		if held {
			c.ports.Say(event.LeaseHeld, nil)
		} else {
			c.ports.Say(event.LeaseLost, nil)
		}
	}
}

// Fleet is this node's place in the whole fleet, for dealing out shares. Members that
// departed count too, so that the parts of a split fleet agree on the places, and the
// number never falls below the most that this life has seen alive at once: who is cut
// off must not take a larger share. Partial says that the place is not known for
// certain: fewer are in the table than the settings say, or this node has only just
// joined, its table has just grown, or a voting disk's node is not in it.
func (c *Core) Fleet() (nodes, rank int, partial bool) {
	alive, departed, rank := c.Member.Census()
	nodes = alive + departed
	partial = nodes < c.settings.Size || !c.Member.Joined()
	if c.settings.Size == 0 {
		partial = partial || c.ports.Now() < c.fleet.grew+c.settings.Bounds.Recovery.D()/4
		for _, d := range c.Holder.Set().Disks {
			_, alive, departed := c.Member.Known(d.Addr)
			partial = partial || !alive && !departed
		}
	}
	return max(nodes, c.fleet.most, c.settings.Size), rank, partial
}

// Datagram takes a membership message.
func (c *Core) Datagram(m calot.Message) { c.Member.Receive(m) }

// Frame takes any other message between nodes.
func (c *Core) Frame(m register.Message, t wire.Cohort) {
	switch m.Kind {
	case register.KindPrepare, register.KindAccept, register.KindPledge, register.KindWho,
		register.KindQuery, register.KindDigest, register.KindRange:
		c.disk(m)
	case register.KindSet:
		c.newSet(m.Set)
	case register.KindReply:
		if !c.Holder.Receive(m) && !c.Founder.Receive(m) {
			c.refused(m)
		}
	case register.KindIAm:
		if !c.Founder.Receive(m) {
			c.heardReady(m)
		}
	case register.KindLooked:
		c.Fresh.Heard(c.ports.Now()-m.Patience, m.Base)
	case register.KindQueried:
		if sent, ok := c.Keeper.Sent(m.Ask); ok && m.Patience > 0 {
			// Counted from when it was asked: an answer that is held up makes it only older.
			c.Fresh.Heard(sent-m.Patience, m.Base)
		}
		if !c.Keeper.Receive(m) && !c.Relay.Receive(m) {
			c.receiveLook(m)
		}
	case register.KindCarry:
		c.Relay.Carry(m)
	case register.KindDo, register.KindDone, register.KindTaken:
		c.Paths.Receive(m)
	case register.KindName:
		c.duty(m.Key).named = true
	case register.KindDigests, register.KindCells:
		c.receiveRepair(m)
	case register.KindCopy:
		c.ports.Frame(m.From, register.Message{Kind: register.KindTable, From: c.Self()}, wire.Cohort{
			Alive: c.Member.Alive(), Departed: c.Member.Departed(),
		})
	case register.KindTable:
		c.Member.Copied(m.From, t.Alive, t.Departed)
	}
}

// disk passes a message to this node's disk, or says that there is none.
func (c *Core) disk(m register.Message) {
	reply := func(out register.Message) {
		if m.From != "" {
			c.ports.Frame(m.From, out, wire.Cohort{})
		}
	}
	if c.Acceptor != nil {
		c.Acceptor.Handle(m, func(out register.Message) {
			switch out.Kind {
			case register.KindIAm:
				out.Base = c.change.readyFor
			case register.KindQueried:
				if at, serial, ok := c.Fresh.Newest(); ok {
					out.Base, out.Patience = serial, c.ports.Now()-at
				}
			}
			reply(out)
		})
		return
	}
	if m.Kind == register.KindWho {
		out := register.Message{Kind: register.KindIAm, Ask: m.Ask, From: c.Self(), Set: c.Holder.Set()}
		if c.settings.Data == "" {
			out.Reason = register.ReasonBare
		}
		reply(out)
	}
}

// refused takes a disk's no to a question of this node's keeper, looks or mending.
func (c *Core) refused(m register.Message) {
	set := c.Holder.Set()
	switch {
	case m.Reason == register.ReasonSetOld && m.Set.Serial > set.Serial:
		c.newSet(m.Set)
	case m.Reason == register.ReasonSetNew && m.Set.Serial < set.Serial:
		c.ports.Frame(m.From, register.Message{Kind: register.KindSet, From: c.Self(), Set: set}, wire.Cohort{})
	}
}

// newSet takes a disk set heard of, if it is newer, for asking and for this disk.
func (c *Core) newSet(set quorum.VoterSet) {
	if c.Holder.Adopt(set) {
		c.ports.Say(event.DiskSetTaken, event.Fields{"set": set.Serial, "disks": len(set.Disks), "next": len(set.Next)})
		c.Keeper.Void()
		c.reseed()
		c.mend.due = 0 // a disk that is admitted begins to copy at once
	}
	c.tellDisk(set)
}

// reseed has the membership look for the seeds, and for the nodes of the voting disks:
// seeds may be swapped for others that are down.
func (c *Core) reseed() {
	seeds := append([]string(nil), c.settings.Seeds...)
	for _, d := range c.Holder.Set().All() {
		if !slices.Contains(seeds, d.Addr) {
			seeds = append(seeds, d.Addr)
		}
	}
	c.Member.Reseed(seeds)
}

// diskNodes lists the nodes of the table that have a disk.
func (c *Core) diskNodes() []string {
	var out []string
	for _, e := range c.Member.Alive() {
		if e.Disk != "" {
			out = append(out, e.Addr)
		}
	}
	return out
}

// Holders lists the live nodes in the order in which they are handed a key's operations.
func (c *Core) Holders(key string) []string { return nearest{c}.Nearest(key) }

// Owner is the live node nearest to a key.
func (c *Core) Owner(key string) string {
	return c.Member.Owner(ring.Of(key))
}

// mostSettling bounds the keys that are being settled for this node's own disk: the others
// have their turn when it compares itself again.
const mostSettling = 16

// settle has a key's holder finish what stands on some disks only. Rewrite has it written
// under a new epoch though it is chosen, for a disk that promised more than it could take
// (section 3.6).
func (c *Core) settle(key string, rewrite bool) {
	now := c.ports.Now()
	if now < c.settling[key] || rewrite && len(c.settling) >= mostSettling {
		return
	}
	patience := c.settings.Bounds.InForce.D() / 2
	c.settling[key] = now + patience
	c.Paths.Do(register.Request{Key: key, Read: true, Again: rewrite, Patience: patience}, func(register.Result) {
		delete(c.settling, key)
		c.Keeper.Hurry()
	})
}

// Looked spreads that the list of engines was looked at, from when on, and that the
// register holds what was seen under a serial. It goes to the nodes of the voting disks:
// all others learn it with their permits (section 4.6).
func (c *Core) Looked(began time.Duration, serial uint64) {
	c.Fresh.Heard(began, serial)
	for _, d := range c.Holder.Set().All() {
		if d.Addr != c.Self() {
			c.ports.Frame(d.Addr, register.Message{
				Kind: register.KindLooked, From: c.Self(), Base: serial, Patience: c.ports.Now() - began,
			}, wire.Cohort{})
		}
	}
}

// LookDue tells whether this node is to look at the list of engines itself now. A look
// takes so many calls to the platform, which bears rate of them a second from all nodes.
func (c *Core) LookDue(calls int, rate float64) bool {
	now := c.ports.Now()
	if c.Fresh.Age(now) < c.Fresh.Timing().Stale {
		return false
	}
	nodes, _, _ := c.Fleet()
	return c.Fresh.Due(now, c.Member.Rank(ring.Of(KeyEngines)), nodes, calls, rate)
}

// OpID names one write, so that a repeat of it is recognized.
func (c *Core) OpID() string { return c.Self() + "#" + strconv.FormatUint(c.ports.Uint64(), 16) }

// Reload takes what may change while the node runs.
func (c *Core) Reload(s settings.Settings) {
	c.settings.Seeds, c.settings.Founders, c.settings.Size = s.Seeds, s.Founders, s.Size
	c.reseed()
	c.Founder.Reseed(append(append([]string(nil), s.Founders...), s.Seeds...))
}

// The cores' own ports.

type datagrams struct{ p Ports }

func (d datagrams) Send(to string, m calot.Message) { d.p.Datagram(to, m) }

type frames struct{ p Ports }

func (f frames) Send(to string, m register.Message) { f.p.Frame(to, m, wire.Cohort{}) }

type bulk struct{ c *Core }

func (b bulk) Copy(from string) {
	b.c.ports.Frame(from, register.Message{Kind: register.KindCopy, From: b.c.Self()}, wire.Cohort{})
}

type nearest struct{ c *Core }

// Nearest lists the live nodes by their distance to a key. Of the configuration's key those
// with a voting disk come first: its value is long and goes to every voter, and what is
// nearest otherwise may be on a line ten times as thin (section 3.1).
func (n nearest) Nearest(key string) []string {
	set := n.c.Holder.Set()
	var out, others []string
	for _, e := range n.c.Member.Nearest(ring.Of(key)) {
		if key == KeyDesk && !set.Has(e.Disk) {
			others = append(others, e.Addr)
			continue
		}
		out = append(out, e.Addr)
	}
	out = append(out, others...)
	if len(out) == 0 {
		// Not on a ring yet: this node performs its own operations, which is safe
		// by epochs wherever they are performed.
		out = append(out, n.c.Self())
	}
	return out
}

type founding struct{ c *Core }

func (f founding) NewSet(set quorum.VoterSet) { f.c.newSet(set) }

func (f founding) Founded(set quorum.VoterSet) {
	f.c.ports.Say(event.DiskFounded, event.Fields{"disks": len(set.Disks)})
	f.c.newSet(set)
}

func (f founding) Stuck(reason string) {
	f.c.ports.Say(event.FoundingStuck, event.Fields{"reason": reason})
}

type keeping struct{ c *Core }

func (k keeping) Set() quorum.VoterSet       { return k.c.Holder.Set() }
func (k keeping) NewSet(set quorum.VoterSet) { k.c.newSet(set) }
func (k keeping) Settle(key string)          { k.c.settle(key, false) }
func (k keeping) Adopt(key string, cell register.Entry) {
	if key == KeyEngines {
		k.c.Fresh.Holds(cell.Serial)
	}
	k.c.ports.Adopted(key, cell)
}

// Relays are the nodes without a voting disk, since those with one are asked themselves,
// and who is cut off from one of these may be from all; where there are none, all others.
func (k keeping) Relays() (relays []string) {
	var disks []string
	set := k.c.Holder.Set()
	for _, e := range k.c.Member.Alive() {
		switch {
		case e.Addr == k.c.Self():
		case set.Has(e.Disk):
			disks = append(disks, e.Addr)
		default:
			relays = append(relays, e.Addr)
		}
	}
	if len(relays) == 0 {
		return disks
	}
	return relays
}
