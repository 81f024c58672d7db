package register

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"linedrum.example/linedrum/explore"
	"linedrum.example/linedrum/quorum"
)

// The model of this file is the register with real acceptors and real holders, and
// nothing else that is real: messages wait in a bag and are delivered in any order, late,
// twice or never; disks sync when a step says so; machines lose power, are killed or
// wiped. The change of the voters follows core/change.go step by step, with real records
// in the register; package sim runs that code itself.

// plant is a fault that the model must find.
type plant uint8

const (
	plantNone             plant = iota
	plantEpochUnchecked         // a disk accepts below its promise
	plantMajoritySkipped        // one disk's yes counts for all
	plantOneStep                // the new voters are recorded without a joint set
	plantCopyNotAwaited         // a new disk says that it is ready before it has copied
	plantSyncRetried            // a failed sync is tried again, and then said to be done
	plantRepliesUnsynced        // a disk replies before it has synced
	plantSnapshotUnsynced       // a snapshot's name is not synced before the old log goes
	plantSetUnchecked           // a disk answers whatever set of voters the asker has
)

// faults is how often each kind of trouble may happen on one way through the model.
type faults struct {
	Duplicate, LoseReply, Tick, Power, Kill, FailSync, Snapshot, Wipe int
	// LeaveOut gives a change up: the new disk is left out again.
	LeaveOut int
}

// scenario is what the model begins with.
type scenario struct {
	voters []string // the disks of the first set
	next   []string // the voters to come; none: they stay
	// written are the disks that hold a write acknowledged before the start.
	written []string
	silent  []string // disks that are lost from the start on
	writers []Request
	async   bool // disks sync by a step of their own
	// late replies wait in the bag like requests; otherwise they arrive as they leave,
	// or, as often as faults say, never.
	late bool
	// alike are disks that a state is not told apart by.
	alike []string
	// changers is how many nodes believe that the change is theirs to make.
	changers int
	faults   faults
	plant    plant
}

const (
	modelRound    = time.Second
	modelPatience = 100_000 * time.Hour
)

// modelKey stands in the range of the key "disks", so that one range holds all.
var modelKey = func() string {
	for n := 0; ; n++ {
		if key := fmt.Sprintf("key%d", n); rangeOf(key) == rangeOf(disksKey) {
			return key
		}
	}
}()

const disksKey = "disks"

// packet is a message on its way.
type packet struct {
	to string
	m  Message
}

// modelLog is a disk below an acceptor: what waits is lost with the power.
type modelLog struct {
	async   bool
	durable []Message
	waiting []Message
	replies []packet // they leave once what waits is synced
	before  []Message
}

func (l *modelLog) Busy() bool { return false }

// Append lets the continuation build its reply at once; the model holds that back.
func (l *modelLog) Append(rec Message, then func(error)) {
	if l.async {
		l.waiting = append(l.waiting, rec)
	} else {
		l.durable = append(l.durable, rec)
	}
	then(nil)
}

// Recover writes the whole state anew, at once.
func (l *modelLog) Recover(state []Message, then func(error)) {
	l.durable, l.waiting, l.replies = state, nil, nil
	then(nil)
}

func (l *modelLog) Barrier(then func(error)) { then(nil) }

func (l *modelLog) clone() *modelLog {
	return &modelLog{
		async: l.async, durable: slices.Clone(l.durable), waiting: slices.Clone(l.waiting),
		replies: slices.Clone(l.replies), before: slices.Clone(l.before),
	}
}

// modelDisk is a machine with its disk.
type modelDisk struct {
	addr     string
	acceptor *Acceptor
	log      *modelLog
	lost     bool // wiped: nobody serves this identity any more

	// What its node remembers, while its process lives, of being admitted.
	asked    map[string]bool
	taken    map[string]bool
	takenFor uint64
	readyFor uint64
}

// modelNode is a proposer, for a writer or for a change of the voters.
type modelNode struct {
	name     string
	holder   *Holder
	changing bool // it makes the change
	givesUp  bool // it wants the new disks left out again
	busy     bool // a record is being written
	ready    map[string]uint64
}

type model struct {
	scene   *scenario
	clock   *hand
	disks   []*modelDisk
	nodes   []*modelNode
	bag     []packet
	results map[string]Result
	sets    map[uint64]quorum.VoterSet // each set that somebody decided on
	left    faults
	losing  bool // replies are lost
	fault   string
}

func namedSet(serial uint64, voters, next []string) quorum.VoterSet {
	set := quorum.VoterSet{Serial: serial}
	for _, name := range voters {
		set.Disks = append(set.Disks, quorum.Disk{Identity: name, Addr: name})
	}
	for _, name := range next {
		set.Next = append(set.Next, quorum.Disk{Identity: name, Addr: name})
	}
	return set
}

// newModel makes the start: the first set is known to its disks, and each writer has
// handed its write to a holder of its own.
func newModel(s *scenario) *model {
	m := &model{scene: s, clock: &hand{}, results: map[string]Result{}, sets: map[uint64]quorum.VoterSet{}, left: s.faults}
	first := namedSet(1, s.voters, nil)
	m.sets[1] = first
	names := slices.Clone(s.voters)
	for _, name := range s.next {
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	for _, name := range names {
		d := &modelDisk{addr: name, log: &modelLog{async: s.async}}
		d.acceptor = NewAcceptor(name, name, d.log)
		if slices.Contains(s.voters, name) {
			rec := Message{Kind: KindSet, Set: first}
			d.acceptor.Replay(rec)
			d.log.durable = append(d.log.durable, rec)
		} else {
			d.acceptor.Late()
		}
		m.disks = append(m.disks, d)
	}
	if len(s.written) > 0 {
		m.begin(first)
	}
	for i, req := range s.writers {
		n := m.node(fmt.Sprintf("w%d", i), first)
		m.order(n, req)
	}
	for i := range s.changers {
		m.node(fmt.Sprintf("c%d", i), first).changing = true
	}
	m.settleStart()
	return m
}

// begin has one write acknowledged by a bare majority; what was sent to others is lost.
func (m *model) begin(set quorum.VoterSet) {
	n := m.node("begin", set)
	m.order(n, Request{Key: modelKey, Op: "zero", Value: []byte("zero")})
	for len(m.bag) > 0 {
		p := m.bag[0]
		m.bag = m.bag[1:]
		if d := m.disk(p.to); d == nil || slices.Contains(m.scene.written, p.to) {
			m.deliver(p)
		}
		for _, d := range m.disks {
			m.sync(d)
		}
	}
	if m.results["zero"].Outcome != Done {
		panic("the scenario does not begin")
	}
	m.nodes = nil
}

// settleStart loses the disks that are silent, with what was sent to them.
func (m *model) settleStart() {
	for _, name := range m.scene.silent {
		m.disk(name).lost = true
	}
	m.prune()
}

func (m *model) node(name string, set quorum.VoterSet) *modelNode {
	n := &modelNode{name: name, ready: map[string]uint64{}}
	n.holder = NewHolder(name, m.clock, modelNet{m}, evenly{}, modelRound, m.newSet(n))
	n.holder.Adopt(set)
	m.nodes = append(m.nodes, n)
	return n
}

func (m *model) newSet(n *modelNode) func(quorum.VoterSet) {
	return func(set quorum.VoterSet) { n.holder.Adopt(set) }
}

func (m *model) order(n *modelNode, req Request) {
	req.Patience = modelPatience
	n.holder.Do(req, m.told(n, req))
}

// told notes what a caller is told of its write.
func (m *model) told(n *modelNode, req Request) func(Result) {
	if req.Key == disksKey {
		return func(r Result) { m.recorded(n, req, r) }
	}
	return func(r Result) { m.results[req.Op] = r }
}

type modelNet struct{ m *model }

func (w modelNet) Send(to string, msg Message) { w.m.bag = append(w.m.bag, packet{to, msg}) }

func (m *model) disk(name string) *modelDisk {
	for _, d := range m.disks {
		if d.addr == name {
			return d
		}
	}
	return nil
}

// --- the change of the voters, as in core/change.go ---

func (m *model) joint(from quorum.VoterSet) quorum.VoterSet {
	next := namedSet(0, m.scene.next, nil).Disks
	if m.scene.plant == plantOneStep {
		return quorum.VoterSet{Serial: from.Serial + 1, Disks: next}
	}
	return quorum.VoterSet{Serial: from.Serial + 1, Disks: from.Disks, Next: next}
}

// wants is the set that a changer would record now, and whether there is one.
func (m *model) wants(n *modelNode) (quorum.VoterSet, bool) {
	set := n.holder.Set()
	if len(set.Next) == 0 {
		return m.joint(set), set.Serial == 1
	}
	if n.givesUp {
		return quorum.VoterSet{Serial: set.Serial + 1, Disks: set.Disks}, true
	}
	for _, d := range set.Next {
		if !set.Old(d.Identity) && n.ready[d.Identity] != set.Serial {
			return quorum.VoterSet{}, false
		}
	}
	return quorum.VoterSet{Serial: set.Serial + 1, Disks: set.Next}, true
}

// record reads the register of the voters first, as core does.
func (m *model) record(n *modelNode) {
	n.busy = true
	m.order(n, Request{Key: disksKey, Read: true})
}

func (m *model) recorded(n *modelNode, req Request, r Result) {
	if req.Read {
		m.looked(n, r)
		return
	}
	n.busy = false
	if r.Outcome != Done {
		return
	}
	var set quorum.VoterSet
	if err := json.Unmarshal(r.Cell.Value, &set); err != nil {
		panic(err)
	}
	m.decided(n, set)
}

func (m *model) looked(n *modelNode, r Result) {
	n.busy = false
	if r.Outcome != Done {
		return
	}
	var held quorum.VoterSet
	if r.Cell.Serial > 0 && json.Unmarshal(r.Cell.Value, &held) == nil && held.Serial > n.holder.Set().Serial {
		m.decided(n, held)
		return
	}
	next, ok := m.wants(n)
	if !ok {
		return
	}
	value, err := json.Marshal(next)
	if err != nil {
		panic(err)
	}
	n.busy = true
	m.order(n, Request{Key: disksKey, Base: r.Cell.Serial, Op: fmt.Sprintf("%s/%d", n.name, next.Serial), Value: value})
}

func (m *model) decided(n *modelNode, set quorum.VoterSet) {
	if other, had := m.sets[set.Serial]; had && !other.Equal(set) {
		m.fault = "two sets of voters under one serial"
	}
	m.sets[set.Serial] = set
	n.holder.Adopt(set)
	m.spread(n)
}

func (m *model) spread(n *modelNode) {
	set := n.holder.Set()
	for _, d := range m.disks {
		m.bag = append(m.bag, packet{d.addr, Message{Kind: KindSet, From: n.name, Set: set}})
	}
	for _, o := range m.nodes {
		if o != n {
			m.bag = append(m.bag, packet{o.name, Message{Kind: KindSet, From: n.name, Set: set}})
		}
	}
}

// admitted tells whether a disk is being admitted.
func (d *modelDisk) admitted() bool {
	set := d.acceptor.Set()
	return len(set.Next) > 0 && set.Has(d.addr) && !set.Old(d.addr)
}

// copies lists the old disks that one that is being admitted may ask for their cells.
func (m *model) copies(d *modelDisk) (out []string) {
	if d.lost || !d.admitted() || d.readyFor == d.acceptor.Set().Serial {
		return nil
	}
	for _, old := range d.acceptor.Set().Disks {
		if !d.asked[old.Addr] && !m.disk(old.Addr).lost {
			out = append(out, old.Addr)
		}
	}
	return out
}

func (m *model) copy(d *modelDisk, from string) {
	if d.asked == nil {
		d.asked = map[string]bool{}
	}
	d.asked[from] = true
	m.bag = append(m.bag, packet{from, Message{
		Kind: KindRange, From: d.addr, Range: rangeOf(disksKey), Set: quorum.VoterSet{Serial: d.acceptor.Set().Serial},
	}})
}

func (m *model) copied(d *modelDisk, in Message) {
	set := d.acceptor.Set()
	delete(d.asked, in.From)
	if !in.Yes || !d.admitted() || in.Base != set.Serial {
		return
	}
	for _, kc := range in.Entries {
		d.acceptor.Repair(kc, true)
	}
	if d.takenFor != set.Serial {
		d.takenFor, d.taken = set.Serial, map[string]bool{}
	}
	d.taken[in.From] = true
	old := quorum.VoterSet{Serial: set.Serial, Disks: set.Disks}
	if !old.Majority(func(id string) bool { return d.taken[id] }) {
		return
	}
	d.acceptor.Raise(0, func(error) {})
	m.getReady(d, set.Serial)
}

// getReady is told to every changer once all that was copied is synced.
func (m *model) getReady(d *modelDisk, serial uint64) {
	d.readyFor = serial
	for _, n := range m.nodes {
		if n.changing {
			m.leave(d, packet{n.name, Message{Kind: KindIAm, From: d.addr, Disk: d.addr, Base: serial}})
		}
	}
}

// leave sends what a disk replies, once what it rests on is synced.
func (m *model) leave(d *modelDisk, p packet) {
	if len(d.log.waiting) > 0 && m.scene.plant != plantRepliesUnsynced {
		d.log.replies = append(d.log.replies, p)
		return
	}
	m.send(p)
}

// send has a reply arrive at once, later or never.
func (m *model) send(p packet) {
	switch {
	case m.losing:
	case m.scene.late:
		m.bag = append(m.bag, p)
	default:
		m.deliver(p)
	}
}

// --- delivery ---

func (m *model) deliver(p packet) {
	if d := m.disk(p.to); d != nil {
		m.toDisk(d, p.m)
		return
	}
	for _, n := range m.nodes {
		if n.name == p.to {
			m.toNode(n, p.m)
		}
	}
}

func (m *model) toDisk(d *modelDisk, in Message) {
	if d.lost {
		return
	}
	if in.Kind == KindCells || in.Kind == KindReply {
		m.copied(d, in)
		return
	}
	switch {
	case m.scene.plant == plantEpochUnchecked && in.Kind == KindAccept:
		d.acceptor.slot(in.Key).promised = Epoch{}
	case m.scene.plant == plantSetUnchecked && in.Kind != KindSet && d.acceptor.Set().Formed():
		in.Set.Serial = d.acceptor.Set().Serial
	}
	was := d.acceptor.Set().Serial
	d.acceptor.Handle(in, func(out Message) {
		if in.Kind == KindSet {
			return
		}
		out.Base = in.Set.Serial // of a copy: the set that it was made under
		m.leave(d, packet{in.From, out})
	})
	if m.scene.plant == plantCopyNotAwaited && d.acceptor.Set().Serial != was && d.admitted() {
		m.getReady(d, d.acceptor.Set().Serial)
	}
}

func (m *model) toNode(n *modelNode, in Message) {
	switch in.Kind {
	case KindSet:
		n.holder.Adopt(in.Set)
	case KindIAm:
		n.ready[in.Disk] = in.Base
	default:
		if m.scene.plant == plantMajoritySkipped && in.Yes {
			m.forge(n, in)
			return
		}
		n.holder.Receive(in)
	}
}

// forge has one yes count for the yes of every disk.
func (m *model) forge(n *modelNode, in Message) {
	for _, d := range n.holder.Set().All() {
		in.Disk = d.Identity
		n.holder.Receive(in)
	}
}

// prune drops what can no longer have any effect: what is sent to lost disks, and
// replies to asks that are over.
func (m *model) prune() {
	m.bag = slices.DeleteFunc(m.bag, func(p packet) bool {
		if d := m.disk(p.to); d != nil {
			return d.lost
		}
		if p.m.Kind != KindReply || p.m.Reason == ReasonSetOld {
			return false
		}
		for _, n := range m.nodes {
			if n.name == p.to {
				return n.holder.asks[p.m.Ask] == nil
			}
		}
		return true
	})
}

// --- steps ---

type modelStep struct {
	name  func() string
	take  func()
	fault bool // it uses up one of the faults that may happen
}

func (m *model) steps() (out []modelStep) {
	add := func(name func() string, take func()) { out = append(out, modelStep{name: name, take: take}) }
	say := func(name string, take func()) { add(func() string { return name }, take) }
	trouble := func(name func() string, take func()) {
		out = append(out, modelStep{name: name, take: take, fault: true})
	}
	for i, p := range m.bag {
		add(func() string { return "deliver " + describe(p) }, func() {
			m.bag = slices.Delete(slices.Clone(m.bag), i, i+1)
			m.deliver(p)
		})
		if m.left.Duplicate > 0 && p.m.Kind != KindReply {
			trouble(func() string { return "duplicate " + describe(p) }, func() {
				m.left.Duplicate--
				m.deliver(p)
			})
		}
		if m.left.LoseReply > 0 && m.disk(p.to) != nil && !m.scene.late {
			trouble(func() string { return "lose the reply of " + describe(p) }, func() {
				m.left.LoseReply--
				m.bag = slices.Delete(slices.Clone(m.bag), i, i+1)
				m.losing = true
				m.deliver(p)
				m.losing = false
			})
		}
	}
	for _, n := range m.nodes {
		m.nodeSteps(n, say)
	}
	for _, d := range m.disks {
		m.diskSteps(d, say)
	}
	fault := func(name string, take func()) { trouble(func() string { return name }, take) }
	for _, n := range m.nodes {
		if m.left.Tick > 0 && waits(n.holder) {
			fault("time-out at "+n.name, func() { m.left.Tick--; m.tick(n) })
		}
	}
	for _, n := range m.nodes {
		if m.left.LeaveOut > 0 && n.changing && !n.busy && len(n.holder.Set().Next) > 0 {
			fault(n.name+" leaves the new disks out", func() {
				m.left.LeaveOut--
				n.givesUp = true
				m.record(n)
			})
		}
	}
	for _, d := range m.disks {
		if !d.lost {
			m.diskFaults(d, fault)
		}
	}
	return out
}

func (m *model) nodeSteps(n *modelNode, add func(string, func())) {
	if n.changing && !n.busy {
		if next, ok := m.wants(n); ok {
			add(n.name+" records set "+strconv.FormatUint(next.Serial, 10), func() { m.record(n) })
		}
	}
}

func waits(h *Holder) bool {
	for _, hd := range h.held {
		if len(hd.queue) > 0 {
			return true
		}
	}
	return false
}

// tick lets a round of a holder run out, and its pause after it: a new round begins.
func (m *model) tick(n *modelNode) {
	for range 2 {
		m.clock.now += 8 * modelRound
		n.holder.Tick()
		if runs(n.holder) {
			return
		}
	}
}

func runs(h *Holder) bool {
	for _, hd := range h.held {
		if hd.phase != 0 {
			return true
		}
	}
	return false
}

func (m *model) diskSteps(d *modelDisk, add func(string, func())) {
	if d.lost {
		return
	}
	for _, from := range m.copies(d) {
		add(d.addr+" copies "+from, func() { m.copy(d, from) })
	}
	if len(d.log.waiting) > 0 {
		add("sync "+d.addr, func() { m.sync(d) })
	}
	if d.acceptor.State() == DiskSuspect {
		add("recovery of "+d.addr, func() { d.acceptor.Recover(func(error) {}) })
	}
}

func (m *model) diskFaults(d *modelDisk, add func(string, func())) {
	may := func(left *int, name string, take func(*modelDisk)) {
		if *left > 0 {
			add(name+" "+d.addr, func() { *left--; take(d) })
		}
	}
	may(&m.left.Power, "power loss", m.power)
	may(&m.left.Kill, "kill", m.kill)
	may(&m.left.Snapshot, "snapshot", m.snapshot)
	if len(d.log.waiting) > 0 {
		may(&m.left.FailSync, "failed sync", m.failSync)
	}
	if m.mayLose(d) {
		may(&m.left.Wipe, "wipe", func(d *modelDisk) { d.lost = true })
	}
}

// mayLose says when one more disk may be lost: when a change is over, its set is known
// to each disk of it that is there, and all of these but one are.
func (m *model) mayLose(d *modelDisk) bool {
	set, _ := m.newest()
	if len(set.Next) > 0 || !set.Has(d.addr) {
		return false
	}
	if len(m.scene.next) > 0 && !set.Equal(quorum.VoterSet{Serial: set.Serial, Disks: namedSet(0, m.scene.next, nil).Disks}) {
		return false
	}
	there := 0
	for _, v := range set.Disks {
		if voter := m.disk(v.Addr); !voter.lost {
			there++
			if !voter.acceptor.Set().Equal(set) {
				return false
			}
		}
	}
	return there == len(set.Disks)
}

// newest is the newest set that was decided.
func (m *model) newest() (set quorum.VoterSet, known bool) {
	for _, s := range m.sets {
		if s.Serial > set.Serial {
			set = s
		}
	}
	return set, set.Formed()
}

func (m *model) sync(d *modelDisk) {
	replies := d.log.replies
	d.log.durable = append(d.log.durable, d.log.waiting...)
	d.log.waiting, d.log.replies = nil, nil
	for _, p := range replies {
		m.send(p)
	}
}

var errModelSync = errors.New("the sync failed")

// failSync fails one sync: nothing of it is on the disk.
func (m *model) failSync(d *modelDisk) {
	replies := d.log.replies
	d.log.waiting, d.log.replies = nil, nil
	if m.scene.plant != plantSyncRetried {
		d.acceptor.then(Message{}, func(Message) {})(errModelSync)
		return
	}
	for _, p := range replies {
		m.send(p)
	}
}

// power loses what was not synced; the process starts anew.
func (m *model) power(d *modelDisk) {
	if d.log.before != nil {
		d.log.durable = d.log.before // the name of the snapshot is lost
	}
	d.log.waiting, d.log.replies = nil, nil
	m.restart(d)
}

// kill ends the process, and its system still writes what waited.
func (m *model) kill(d *modelDisk) {
	d.log.durable = append(d.log.durable, d.log.waiting...)
	d.log.waiting, d.log.replies = nil, nil
	m.restart(d)
}

func (m *model) restart(d *modelDisk) {
	late := d.acceptor.late
	d.acceptor = NewAcceptor(d.addr, d.addr, d.log)
	d.acceptor.late = late
	for _, rec := range d.log.durable {
		d.acceptor.Replay(rec)
	}
	d.asked, d.taken, d.takenFor, d.readyFor = nil, nil, 0, 0
}

// snapshot takes the place of the log, after what waits was synced.
func (m *model) snapshot(d *modelDisk) {
	if !d.acceptor.Trusted() {
		return
	}
	m.sync(d)
	if m.scene.plant == plantSnapshotUnsynced {
		d.log.before = d.log.durable[:1] // the log that the snapshot covers is removed all the same
	}
	d.log.durable = d.acceptor.Snapshot()
}

// Steps implements explore.Model.
func (m *model) Steps() (out []string) {
	for _, s := range m.steps() {
		out = append(out, s.name())
	}
	return out
}

// Take implements explore.Model.
func (m *model) Take(step int) {
	m.steps()[step].take()
	m.prune()
}

// --- invariants ---

// Fault implements explore.Model: one write on one serial, one set under one serial.
func (m *model) Fault() string {
	if m.fault != "" {
		return m.fault
	}
	done := map[uint64]string{}
	for _, op := range slices.Sorted(maps.Keys(m.results)) {
		r := m.results[op]
		if r.Outcome != Done {
			continue
		}
		if done[r.Cell.Serial] != "" {
			return "two writes on one serial"
		}
		done[r.Cell.Serial] = op
	}
	return ""
}

// recoveryOp is the order that a fleet takes which is whole again.
const recoveryOp = "next"

// modelRounds is how many rounds a fleet that is whole again may take for everything.
const modelRounds = 60

// Recover implements explore.Model: what is on its way is lost, every disk that is not
// lost starts, all links are whole, all changes are finished; then what was acknowledged
// is read, and an order taken.
func (m *model) Recover() string {
	m.bag = nil
	for _, d := range m.disks {
		if d.lost {
			continue
		}
		d.acceptor.Recover(func(error) {})
	}
	m.settle(func() bool { return m.still() })
	if why := m.Fault(); why != "" {
		return why
	}
	newest, _ := m.newest()
	reader := m.node("z", newest)
	var found Result
	reader.holder.Do(Request{Key: modelKey, Read: true, Patience: modelPatience}, func(r Result) { found = r })
	if !m.settle(func() bool { return found.Outcome == Done }) {
		return "nothing can be read"
	}
	if why := m.survived(found.Cell); why != "" {
		return why
	}
	var next Result
	reader.holder.Do(Request{Key: modelKey, Base: found.Cell.Serial, Op: recoveryOp, Patience: modelPatience}, func(r Result) { next = r })
	if !m.settle(func() bool { return next.Outcome == Done }) {
		return "no order is taken"
	}
	if len(m.scene.next) > 0 && m.scene.changers > 0 {
		set, _ := m.newest()
		given := m.left.LeaveOut < m.scene.faults.LeaveOut
		if len(set.Next) > 0 || !given && !set.Has(m.scene.next[len(m.scene.next)-1]) {
			return "the change does not come to its end"
		}
	}
	return ""
}

// survived compares what is read with what callers were told.
func (m *model) survived(cell Entry) string {
	for _, op := range slices.Sorted(maps.Keys(m.results)) {
		r := m.results[op]
		switch {
		case r.Outcome == Done && cell.Serial < r.Cell.Serial,
			r.Outcome == Done && cell.Serial == r.Cell.Serial && cell.Op != op:
			return "a write that was acknowledged is gone"
		case r.Outcome == NotDone && cell.Op == op:
			return "a write that was denied is held"
		}
	}
	return ""
}

// still tells whether every order is done and every change at its end.
func (m *model) still() bool {
	for _, n := range m.nodes {
		if waits(n.holder) || n.changing && n.busy {
			return false
		}
		if n.changing && len(m.scene.next) > 0 && (n.holder.Set().Serial == 1 || len(n.holder.Set().Next) > 0) {
			return false
		}
	}
	return true
}

// settle delivers everything, round by round.
func (m *model) settle(until func() bool) bool {
	for round := range modelRounds {
		for _, d := range m.disks {
			for _, from := range m.copies(d) {
				m.copy(d, from)
			}
		}
		m.flow()
		for _, d := range m.disks {
			d.asked = nil
			if !d.lost && d.readyFor != 0 {
				m.getReady(d, d.readyFor) // it is asked again and again
			}
		}
		if until() {
			return true
		}
		// Rivals wait for different lengths of time, by their random pauses.
		for i, n := range m.nodes {
			if n.changing && !n.busy {
				m.spread(n)
				if _, ok := m.wants(n); ok {
					m.record(n)
				}
			}
			if (round+i)%len(m.nodes) == 0 {
				m.tick(n)
			}
		}
	}
	return until()
}

// flow delivers and syncs until nothing is on its way.
func (m *model) flow() {
	for {
		for _, d := range m.disks {
			if !d.lost {
				m.sync(d)
			}
		}
		m.prune()
		if len(m.bag) == 0 {
			return
		}
		p := m.bag[0]
		m.bag = m.bag[1:]
		m.deliver(p)
	}
}

// --- copies and descriptions ---

// Clone implements explore.Model.
func (m *model) Clone() explore.Model {
	out := &model{
		scene: m.scene, clock: &hand{m.clock.now}, bag: slices.Clone(m.bag), results: maps.Clone(m.results),
		sets: maps.Clone(m.sets), left: m.left, fault: m.fault, losing: m.losing,
	}
	for _, d := range m.disks {
		c := *d
		c.log = d.log.clone()
		c.acceptor = cloneAcceptor(d.acceptor, c.log)
		c.asked, c.taken = maps.Clone(d.asked), maps.Clone(d.taken)
		out.disks = append(out.disks, &c)
	}
	for _, n := range m.nodes {
		c := *n
		c.ready = maps.Clone(n.ready)
		out.nodes = append(out.nodes, &c)
		out.cloneHolder(&c, n.holder)
	}
	return out
}

func cloneAcceptor(a *Acceptor, log Log) *Acceptor {
	out := *a
	out.log = log
	out.slots, out.windows = map[string]*slot{}, map[uint64][]string{}
	out.ranges = [Ranges]map[string]*slot{}
	for key, s := range a.slots {
		c := *s
		out.slots[key] = &c
		at := rangeOf(key)
		if out.ranges[at] == nil {
			out.ranges[at] = map[string]*slot{}
		}
		out.ranges[at][key] = &c
	}
	for window, keys := range a.windows {
		out.windows[window] = slices.Clone(keys)
	}
	return &out
}

func (m *model) cloneHolder(n *modelNode, h *Holder) {
	c := *h
	c.clock, c.net, c.newSet = m.clock, modelNet{m}, m.newSet(n)
	c.held, c.asks = map[string]*holding{}, map[uint64]*holding{}
	for key, hd := range h.held {
		k := *hd
		k.yes, k.no, k.agree = maps.Clone(hd.yes), maps.Clone(hd.no), maps.Clone(hd.agree)
		k.queue = nil
		for _, j := range hd.queue {
			copied := *j
			copied.done = m.told(n, j.req)
			k.queue = append(k.queue, &copied)
		}
		c.held[key] = &k
		if h.asks[hd.ask] == hd {
			c.asks[hd.ask] = &k
		}
	}
	n.holder = &c
}

func describe(p packet) string {
	m := p.m
	names := map[Kind]string{
		KindPrepare: "prepare", KindAccept: "accept", KindSet: "set", KindReply: "reply",
		KindIAm: "ready", KindRange: "copy", KindCells: "cells",
	}
	return fmt.Sprintf("%s from %s to %s: epoch %d/%s serial %d set %d yes %v", names[m.Kind], m.From, p.to, m.Epoch.Count, m.Epoch.Holder, m.Cell.Serial, m.Set.Serial, m.Yes)
}

// writing builds the description of a state, with its disks renamed.
type writing struct {
	b  []byte
	as map[string]string
}

func (w *writing) text(s string) { w.b = append(append(w.b, s...), 0) }

func (w *writing) renamed(name string) string {
	if other, has := w.as[name]; has {
		return other
	}
	return name
}

func (w *writing) name(name string) { w.text(w.renamed(name)) }
func (w *writing) num(n uint64) {
	for n >= 0x80 {
		w.b = append(w.b, byte(n)|0x80)
		n >>= 7
	}
	w.b = append(w.b, byte(n))
}

func (w *writing) flag(b bool) {
	if b {
		w.b = append(w.b, 1)
		return
	}
	w.b = append(w.b, 0)
}

func (w *writing) epoch(e Epoch) { w.num(e.Count); w.text(e.Holder) }
func (w *writing) cell(c Entry)  { w.epoch(c.Epoch); w.num(c.Serial); w.text(c.Op) }
func (w *writing) set(s quorum.VoterSet) {
	w.num(s.Serial)
	w.num(uint64(len(s.Next)))
}

func (w *writing) names(set map[string]bool) {
	var names []string
	for name, in := range set {
		if in {
			names = append(names, w.renamed(name))
		}
	}
	slices.Sort(names)
	for _, name := range names {
		w.text(name)
	}
	w.num(0)
}

func (w *writing) message(m Message) {
	w.num(uint64(m.Kind))
	w.num(m.Ask)
	w.name(m.From)
	w.name(m.Disk)
	w.text(m.Key)
	w.epoch(m.Epoch)
	w.cell(m.Cell)
	w.flag(m.Yes)
	w.flag(m.Again)
	w.num(uint64(m.Reason))
	w.num(m.Base)
	w.set(m.Set)
	w.num(uint64(len(m.Entries)))
	for _, kc := range m.Entries {
		w.text(kc.Key)
		w.cell(kc.Entry)
	}
}

func (w *writing) messages(of []Message) {
	w.num(uint64(len(of)))
	for _, m := range of {
		w.message(m)
	}
}

// packets are in no order.
func (w *writing) packets(of []packet) {
	var parts []string
	for _, p := range of {
		one := writing{as: w.as}
		one.name(p.to)
		one.message(p.m)
		parts = append(parts, string(one.b))
	}
	slices.Sort(parts)
	w.text(strings.Join(parts, "|"))
}

func (w *writing) acceptor(a *Acceptor) {
	w.set(a.set)
	w.num(uint64(a.state))
	for _, key := range a.keys() {
		s := a.slots[key]
		w.text(key)
		w.epoch(s.promised)
		w.cell(s.cell)
	}
	w.num(0)
}

func (w *writing) holder(h *Holder) {
	w.set(h.set)
	w.num(h.nextAsk)
	for _, key := range h.sortedKeys() {
		hd := h.held[key]
		w.text(key)
		w.flag(hd.prepared)
		w.epoch(hd.epoch)
		w.num(hd.highest)
		w.cell(hd.cell)
		w.cell(hd.known)
		w.num(uint64(hd.phase))
		w.num(hd.ask)
		w.flag(hd.waitTo != 0)
		w.names(hd.yes)
		w.names(hd.no)
		w.cell(hd.adopted)
		w.agreed(hd.agree)
		w.cell(hd.writing)
		w.flag(hd.settles)
		w.num(uint64(len(hd.queue)))
		for _, j := range hd.queue {
			w.text(j.req.Op)
			w.flag(j.req.Read)
			w.flag(j.sent)
		}
	}
}

func (w *writing) agreed(agree map[string]Entry) {
	byName := map[string]Entry{}
	for name, cell := range agree {
		byName[w.renamed(name)] = cell
	}
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		w.text(name)
		w.cell(byName[name])
	}
	w.num(0)
}

// permutations lists every order of some names.
func permutations(names []string) (out [][]string) {
	if len(names) < 2 {
		return [][]string{names}
	}
	for i, first := range names {
		rest := slices.Delete(slices.Clone(names), i, i+1)
		for _, tail := range permutations(rest) {
			out = append(out, append([]string{first}, tail...))
		}
	}
	return out
}

// State implements explore.Model: the least description under any renaming of the disks
// that are alike. Times are left out: each step that looks at the clock moves it beyond
// every time that somebody waits for.
func (m *model) State() (least []byte) {
	for _, names := range permutations(m.scene.alike) {
		as := map[string]string{}
		for i, name := range names {
			as[m.scene.alike[i]] = name
		}
		if b := m.describedAs(as); least == nil || bytes.Compare(b, least) < 0 {
			least = b
		}
	}
	return least
}

func (m *model) describedAs(as map[string]string) []byte {
	w := &writing{b: make([]byte, 0, 2048), as: as}
	back := map[string]string{}
	for name, other := range as {
		back[other] = name
	}
	for _, d := range m.disks {
		if name, has := back[d.addr]; has {
			d = m.disk(name)
		}
		w.flag(d.lost)
		if !d.lost {
			w.disk(d)
		}
	}
	for _, n := range m.nodes {
		w.holder(n.holder)
		w.flag(n.busy)
		w.flag(n.givesUp)
		for _, d := range slices.Sorted(maps.Keys(n.ready)) {
			w.name(d)
			w.num(n.ready[d])
		}
	}
	w.packets(m.bag)
	for _, op := range slices.Sorted(maps.Keys(m.results)) {
		w.text(op)
		w.num(uint64(m.results[op].Outcome))
		w.num(m.results[op].Cell.Serial)
	}
	for _, serial := range slices.Sorted(maps.Keys(m.sets)) {
		w.num(serial)
		members := map[string]bool{}
		for _, d := range m.sets[serial].All() {
			members[d.Identity] = true
		}
		w.names(members)
	}
	w.text(fmt.Sprint(m.left))
	w.text(m.fault)
	return w.b
}

func (w *writing) disk(d *modelDisk) {
	w.acceptor(d.acceptor)
	w.logOf(d.log)
	w.names(d.asked)
	w.names(d.taken)
	w.num(d.takenFor)
	w.num(d.readyFor)
}

// logOf describes what a disk holds by the state that it would start with.
func (w *writing) logOf(l *modelLog) {
	var set uint64
	promised, cells := map[string]Epoch{}, map[string]Entry{}
	for _, rec := range l.durable {
		switch rec.Kind {
		case KindSet:
			set = rec.Set.Serial
		case KindPrepare:
			promised[rec.Key] = rec.Epoch
		case KindAccept:
			cells[rec.Key] = rec.Cell
			if promised[rec.Key].Less(rec.Epoch) {
				promised[rec.Key] = rec.Epoch
			}
		}
	}
	w.num(set)
	for _, key := range slices.Sorted(maps.Keys(promised)) {
		w.text(key)
		w.epoch(promised[key])
		w.cell(cells[key])
	}
	w.num(uint64(len(promised)))
	w.messages(l.waiting)
	w.packets(l.replies)
	w.flag(l.before != nil)
}
