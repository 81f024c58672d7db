// Package sim is the seeded simulator of design.md section 8.1: virtual time, a
// network that delays, loses and splits, disks that lose what was not synced,
// and whole nodes running the real core. The same seed gives the same run.
package sim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"linedrum.example/linedrum/calot"
	"linedrum.example/linedrum/core"
	"linedrum.example/linedrum/event"
	"linedrum.example/linedrum/quorum"
	"linedrum.example/linedrum/register"
	"linedrum.example/linedrum/settings"
	"linedrum.example/linedrum/strict"
	"linedrum.example/linedrum/wire"
)

type occurrence struct {
	at  time.Duration
	seq uint64
	do  func()
}

type timeline []occurrence

func (t timeline) Len() int { return len(t) }
func (t timeline) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}
func (t timeline) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timeline) Push(x any)   { *t = append(*t, x.(occurrence)) }
func (t *timeline) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// World is one simulated fleet.
type World struct {
	Rand  *rand.Rand
	Nodes []*Node

	// MinDelay and MaxDelay bound a message's way; Loss is the share of datagrams lost.
	MinDelay, MaxDelay time.Duration
	Loss               float64
	// Rate is how many bytes a second each node's line carries, each way; 0: any number.
	Rate float64
	// Codec sends every message through its packed form, as the wire would.
	Codec bool
	// Lying disks say that a record is synced before it is: the planted fault.
	Lying bool
	// OnFrame sees each message as it leaves.
	OnFrame func(from *Node, to string, m register.Message)
	// OnSay hears of each event of a node.
	OnSay func(n *Node, number event.Number, fields event.Fields)
	// Tamper is a planted fault: it changes messages as they leave.
	Tamper func(from *Node, to string, m *register.Message)

	now       time.Duration
	queue     timeline
	seq       uint64
	byAddr    map[string]*Node
	deaf      func(to string, m register.Message) bool
	cut       map[[2]string]bool // from, to
	Datagrams uint64
	Frames    uint64
}

// NewWorld makes an empty one.
func NewWorld(seed uint64) *World {
	return &World{
		Rand: rand.New(rand.NewPCG(seed, 0x6c696e656472756d)), MinDelay: 200 * time.Microsecond, MaxDelay: 3 * time.Millisecond,
		byAddr: map[string]*Node{}, cut: map[[2]string]bool{},
	}
}

// Now is the world's time.
func (w *World) Now() time.Duration { return w.now }

// At has something done at a later time.
func (w *World) At(in time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, occurrence{w.now + in, w.seq, do})
}

// Run lets a span of time pass.
func (w *World) Run(span time.Duration) {
	end := w.now + span
	for len(w.queue) > 0 && w.queue[0].at <= end {
		next := heap.Pop(&w.queue).(occurrence)
		w.now = next.at
		next.do()
	}
	w.now = end
}

// Until runs until a condition holds, looking every few milliseconds; false when the limit came first.
func (w *World) Until(limit time.Duration, holds func() bool) bool {
	end := w.now + limit
	for !holds() {
		if w.now >= end {
			return false
		}
		w.Run(10 * time.Millisecond)
	}
	return true
}

// Cut breaks the way from one node to another; Heal mends all ways.
func (w *World) Cut(from, to *Node) { w.cut[[2]string{from.Addr, to.Addr}] = true }

// Heal mends all ways.
func (w *World) Heal() { w.cut = map[[2]string]bool{} }

// Split cuts every way between a group and the others.
func (w *World) Split(group ...*Node) {
	for _, a := range group {
		for _, b := range w.Nodes {
			if !slices.Contains(group, b) {
				w.Cut(a, b)
				w.Cut(b, a)
			}
		}
	}
}

// Deafen has nodes' disks miss every write of a key, and all that other disks tell them
// to mend that, until Hear: messages may be lost.
func (w *World) Deafen(key string, nodes ...*Node) {
	w.deaf = func(to string, m register.Message) bool {
		misses := m.Kind == register.KindAccept && m.Key == key || m.Kind == register.KindCells
		return misses && slices.ContainsFunc(nodes, func(n *Node) bool { return n.Addr == to })
	}
}

// Hear has all messages arrive again.
func (w *World) Hear() { w.deaf = nil }

func (w *World) carry(from *Node, to string, loss float64, deliver func(n *Node)) {
	if w.cut[[2]string{from.Addr, to}] || loss > 0 && w.Rand.Float64() < loss {
		return
	}
	delay := w.MinDelay + time.Duration(w.Rand.Int64N(int64(w.MaxDelay-w.MinDelay)+1))
	w.At(delay, func() {
		if w.cut[[2]string{from.Addr, to}] {
			return
		}
		if n := w.byAddr[to]; n != nil {
			n.enter(func() { deliver(n) })
		}
	})
}

// Node is one simulated process with its machine.
type Node struct {
	World    *World
	Addr     string
	Settings settings.Settings
	Core     *core.Core // nil while down
	Disk     *Disk      // nil without one
	Offset   time.Duration
	Log      []string
	Adopted  map[string]register.Entry
	// OnAdopt hears of each cell that comes in force.
	OnAdopt func(key string, cell register.Entry)
	// Rejoins counts table changes, for figures of quiet.
	Changes int

	life    int
	frozen  bool
	backlog []func()
	lastFor map[string]time.Duration // frames keep their order on one connection
	carried int64                    // bytes of frames on its line, both ways, while a rate is set
	sending time.Duration            // until when its line sends what it was given
	taking  time.Duration
}

// Spec of a fleet to add. Without named founders the seeds found it, at its first
// start only, and Machines and one site may be lost at one time.
type Spec struct {
	Nodes, Disks, Seeds, Sites int
	Seeded                     bool
	Machines                   int
}

// AddFleet lays out a fleet: the first nodes have disks and are the founders.
func (w *World) AddFleet(spec Spec) {
	var addrs []string
	for i := range spec.Nodes {
		addrs = append(addrs, fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1))
	}
	seeds := spec.Seeds
	if seeds == 0 {
		seeds = 3
	}
	for i, addr := range addrs {
		s := settings.Default()
		s.Fleet, s.Listen, s.HTTP, s.Site = "sim", addr, addr+"0", fmt.Sprintf("site%d", i%max(spec.Sites, 3))
		s.Seeds = addrs[:min(seeds, len(addrs))]
		if spec.Seeded {
			s.Bounds.CatchUp, s.CanLose = D(4*time.Second), settings.CanLose{Machines: spec.Machines, Sites: 1}
		} else {
			s.Founders, s.Size = addrs[:spec.Disks], spec.Nodes
		}
		n := w.Add(s)
		if i < spec.Disks {
			n.NewDisk()
		}
	}
}

// Add makes one node that is down.
func (w *World) Add(s settings.Settings) *Node {
	n := &Node{World: w, Addr: s.Listen, Settings: s, Offset: time.Duration(w.Rand.Int64N(int64(time.Hour))), Adopted: map[string]register.Entry{}}
	w.Nodes = append(w.Nodes, n)
	w.byAddr[n.Addr] = n
	return n
}

// NewDisk gives the node's machine an empty disk.
func (n *Node) NewDisk() {
	n.Disk = &Disk{node: n, Identity: fmt.Sprintf("disk-%016x", n.World.Rand.Uint64()), Delay: 2 * time.Millisecond}
	n.Settings.Data = "data"
}

// Up tells whether the process runs.
func (n *Node) Up() bool { return n.Core != nil }

// Start starts the process.
func (n *Node) Start() {
	if n.Core != nil {
		return
	}
	n.life++
	n.frozen, n.backlog, n.lastFor = false, nil, map[string]time.Duration{}
	var acceptor *register.Acceptor
	s := n.Settings
	if n.Disk != nil {
		if !n.Disk.born {
			n.Disk.born, n.Disk.first = true, s.FirstDisks()
		}
		s = s.BornBy(n.Disk.first)
		n.Disk.restart()
		acceptor = register.NewAcceptor(n.Disk.Identity, n.Addr, n.Disk)
		for _, rec := range n.Disk.durable {
			acceptor.Replay(rec)
		}
	}
	n.Adopted = map[string]register.Entry{}
	n.Core = core.New(s, acceptor, ports{n})
	if len(s.Founders) == 0 || n.Settings.Size == 0 {
		n.Settings.Later = true // from its second life on
	}
	n.Core.Start()
	n.tick(n.life)
}

func (n *Node) tick(life int) {
	n.World.At(n.Core.TickEvery(), func() {
		if n.life != life || n.Core == nil {
			return
		}
		n.enter(func() { n.Core.Tick() })
		n.tick(life)
	})
}

// enter runs something inside the process: not while it is down, later while it is frozen.
func (n *Node) enter(do func()) {
	switch {
	case n.Core == nil:
	case n.frozen:
		if len(n.backlog) < 4096 {
			n.backlog = append(n.backlog, do)
		}
	default:
		do()
	}
}

// Crash ends the process; with power loss, what its disk had not synced is gone.
func (n *Node) Crash(power bool) {
	if n.Core == nil {
		return
	}
	n.life++
	n.Core, n.backlog = nil, nil
	if n.Disk != nil {
		n.Disk.crash(power)
	}
}

// Stop ends the process as planned, as package node does: its disk's vote and its duties
// are handed over, it leaves the ring, and it ends; each is waited for within a bound.
func (n *Node) Stop() {
	n.enter(func() { n.Core.Retire() })
	n.await(n.Settings.Bounds.CatchUp.D(), func() bool { return n.Core.Retired() }, func() {
		n.enter(func() { n.Core.Leave() })
		n.await(n.Settings.Bounds.Recovery.D()/12, func() bool { return n.Core.Member.Left() }, func() { n.Crash(false) })
	})
}

// await does something in this life once a condition holds, or after a limit.
func (n *Node) await(limit time.Duration, holds func() bool, then func()) {
	life, end := n.life, n.World.now+limit
	var look func()
	look = func() {
		switch {
		case n.life != life || n.Core == nil:
		case holds() || n.World.now >= end:
			then()
		default:
			n.World.At(n.Settings.Bounds.InForce.D()/100, look)
		}
	}
	look()
}

// Freeze stops the process between two steps; Thaw lets it go on, with time gone by.
func (n *Node) Freeze() { n.frozen = true }

// Thaw lets a frozen process go on.
func (n *Node) Thaw() {
	if !n.frozen {
		return
	}
	n.frozen = false
	backlog := n.backlog
	n.backlog = nil
	for _, do := range backlog {
		n.enter(do)
	}
}

// Do performs an operation from this node, as its callers would.
func (n *Node) Do(req register.Request, done func(register.Result)) {
	life := n.life
	n.enter(func() {
		n.Core.Paths.Do(req, func(r register.Result) {
			if n.life == life {
				done(r)
			}
		})
	})
}

// ports of a simulated core.
type ports struct{ n *Node }

func (p ports) Now() time.Duration { return p.n.World.now + p.n.Offset }
func (p ports) Uint64() uint64     { return p.n.World.Rand.Uint64() }

func (p ports) Datagram(to string, m calot.Message) {
	w := p.n.World
	w.Datagrams++
	if w.Codec {
		b, err := wire.PackDatagram("sim", m)
		if err == nil {
			m, err = wire.UnpackDatagram("sim", b)
		}
		if err != nil {
			panic(err)
		}
	}
	w.carry(p.n, to, w.Loss, func(n *Node) { n.Core.Datagram(m) })
}

// Frame keeps the order of one connection, and loses nothing but by a cut or a crash.
func (p ports) Frame(to string, m register.Message, c wire.Cohort) {
	w := p.n.World
	w.Frames++
	if w.Tamper != nil {
		w.Tamper(p.n, to, &m)
	}
	if w.OnFrame != nil {
		w.OnFrame(p.n, to, m)
	}
	if w.deaf != nil && w.deaf(to, m) {
		return
	}
	if w.Codec {
		b, err := wire.PackFrame("sim", m, c)
		if err == nil {
			m, c, err = wire.UnpackFrame("sim", b)
		}
		if err != nil {
			panic(err)
		}
	}
	if w.cut[[2]string{p.n.Addr, to}] {
		return
	}
	from := p.n
	delay := w.MinDelay + time.Duration(w.Rand.Int64N(int64(w.MaxDelay-w.MinDelay)+1))
	arrives := max(w.now+delay, from.lastFor[to])
	if w.Rate > 0 {
		arrives = max(w.lines(from, w.byAddr[to], frameSize(m, c), delay), from.lastFor[to])
	}
	from.lastFor[to] = arrives
	w.At(arrives-w.now, func() {
		if n := w.byAddr[to]; n != nil && !w.cut[[2]string{from.Addr, to}] {
			n.enter(func() { n.Core.Frame(m, c) })
		}
	})
}

// lines has two nodes' lines carry a number of bytes, after what they carry already.
func (w *World) lines(from, to *Node, size int, delay time.Duration) (arrives time.Duration) {
	span := time.Duration(float64(size) / w.Rate * float64(time.Second))
	if to == from {
		return w.now + delay
	}
	from.sending = max(from.sending, w.now) + span
	from.carried += int64(size)
	if to == nil {
		return from.sending + delay
	}
	to.taking = max(to.taking, from.sending+delay-span) + span
	to.carried += int64(size)
	return to.taking
}

func frameSize(m register.Message, c wire.Cohort) int {
	b, err := wire.PackFrame("sim", m, c)
	if err != nil {
		panic(err)
	}
	return len(b)
}

func (p ports) Say(number event.Number, fields event.Fields) {
	p.n.Log = append(p.n.Log, fmt.Sprintf("%v %d %s %v", p.n.World.now, number, event.Catalogue[number], fields))
	if p.n.World.OnSay != nil {
		p.n.World.OnSay(p.n, number, fields)
	}
}

func (p ports) TableChanged(calot.Entry, bool) { p.n.Changes++ }

func (p ports) Adopted(key string, cell register.Entry) {
	p.n.Adopted[key] = cell
	if p.n.OnAdopt != nil {
		p.n.OnAdopt(key, cell)
	}
}

// Disk is a machine's disk: records wait, are synced together, and only then count.
type Disk struct {
	node     *Node
	Identity string
	Delay    time.Duration
	Stalled  bool
	Fails    bool // writes and syncs fail

	born     bool
	first    []string // who was to found the fleet when it was born
	durable  []register.Message
	waiting  []pendingRecord
	syncing  bool
	doubtful []pendingRecord // of the block that failed: it may be there after a restart
	failed   bool
	life     int
	Syncs    int
	Records  int
	FailedAt time.Duration
}

type pendingRecord struct {
	rec  *register.Message
	then func(error)
}

// Busy implements register.Log.
func (d *Disk) Busy() bool { return len(d.waiting) > 4096 }

// Append implements register.Log.
func (d *Disk) Append(rec register.Message, then func(error)) { d.put(pendingRecord{&rec, then}) }

// Barrier implements register.Log.
func (d *Disk) Barrier(then func(error)) { d.put(pendingRecord{nil, then}) }

func (d *Disk) put(p pendingRecord) {
	if d.node.World.Lying {
		then := p.then
		p.then = func(error) {}
		life := d.life
		d.node.World.At(0, func() {
			if life == d.life {
				d.node.enter(func() { then(nil) })
			}
		})
	}
	d.waiting = append(d.waiting, p)
	d.sync()
}

func (d *Disk) sync() {
	if d.syncing || len(d.waiting) == 0 {
		return
	}
	d.syncing = true
	batch := d.waiting
	d.waiting = nil
	life := d.life
	d.node.World.At(d.Delay+time.Duration(d.node.World.Rand.Int64N(int64(d.Delay)+1)), func() { d.synced(life, batch) })
}

func (d *Disk) synced(life int, batch []pendingRecord) {
	if life != d.life {
		return
	}
	if d.Stalled {
		d.node.World.At(10*time.Millisecond, func() { d.synced(life, batch) })
		return
	}
	d.syncing = false
	var err error
	if d.Fails || d.failed {
		if !d.failed {
			d.doubtful = batch
		}
		d.failed = true
		err = fmt.Errorf("the disk failed")
	}
	wrote := false
	for _, p := range batch {
		if p.rec != nil && err == nil {
			d.durable = append(d.durable, *p.rec)
			d.Records++
			wrote = true
		}
	}
	if wrote {
		d.Syncs++
	}
	for _, p := range batch {
		d.node.enter(func() { p.then(err) })
	}
	d.sync()
}

// Recover implements register.Log: what waits fails first, then the state takes the
// place of all records at one moment, or of none where the disk fails.
func (d *Disk) Recover(state []register.Message, then func(error)) {
	life := d.life
	d.node.World.At(2*d.Delay, func() { d.recover(life, state, then) })
}

func (d *Disk) recover(life int, state []register.Message, then func(error)) {
	switch {
	case life != d.life:
		return
	case d.Stalled || d.syncing:
		d.node.World.At(10*time.Millisecond, func() { d.recover(life, state, then) })
		return
	}
	var err error
	if d.Fails {
		err = fmt.Errorf("the disk failed")
	} else {
		d.durable, d.doubtful, d.failed = slices.Clone(state), nil, false
	}
	d.node.enter(func() { then(err) })
}

// crash loses what waited; without power loss the system may still have written
// a part of it, in order.
func (d *Disk) crash(power bool) {
	d.life++
	if !power && !d.failed && len(d.waiting) > 0 {
		for _, p := range d.waiting[:d.node.World.Rand.IntN(len(d.waiting)+1)] {
			if p.rec != nil {
				d.durable = append(d.durable, *p.rec)
			}
		}
	}
	if len(d.doubtful) > 0 && d.node.World.Rand.IntN(2) == 0 {
		for _, p := range d.doubtful {
			if p.rec != nil {
				d.durable = append(d.durable, *p.rec)
			}
		}
	}
	d.waiting, d.doubtful, d.syncing = nil, nil, false
}

func (d *Disk) restart() { d.life++; d.failed, d.Fails, d.Stalled = false, false, false }

// Permits counts the nodes that hold one.
func (w *World) Permits() int {
	held := 0
	for _, n := range w.Nodes {
		if n.Core != nil && n.Core.Keeper.Held() {
			held++
		}
	}
	return held
}

// Set is the newest disk set that any node knows.
func (w *World) Set() quorum.VoterSet {
	var out quorum.VoterSet
	for _, n := range w.Nodes {
		if n.Core != nil && n.Core.Holder.Set().Serial > out.Serial {
			out = n.Core.Holder.Set()
		}
	}
	return out
}

// StartAll starts every node that is down.
func (w *World) StartAll() {
	for _, n := range w.Nodes {
		n.Start()
	}
}

// Converged tells whether every live node's table holds exactly the live nodes.
func (w *World) Converged() bool {
	var live []string
	for _, n := range w.Nodes {
		if n.Core != nil {
			live = append(live, n.Addr)
		}
	}
	slices.Sort(live)
	for _, n := range w.Nodes {
		if n.Core == nil {
			continue
		}
		var seen []string
		for _, e := range n.Core.Member.Alive() {
			seen = append(seen, e.Addr)
		}
		slices.Sort(seen)
		if !slices.Equal(seen, live) {
			return false
		}
	}
	return true
}

// Bounds shortens the settings' bounds of every node, for runs that need it.
func (w *World) Bounds(change func(*settings.Bounds)) {
	for _, n := range w.Nodes {
		change(&n.Settings.Bounds)
	}
}

// D is a duration for settings.
func D(d time.Duration) strict.Duration { return strict.Duration(d) }
