package register

import (
	"sort"
	"time"

	"linedrum.example/linedrum/quorum"
)

// Net carries messages between nodes; it may lose them.
type Net interface{ Send(to string, m Message) }

// Rand spreads repeated tries.
type Rand interface{ Uint64() uint64 }

// Holder is a node's proposer side: it performs operations on the keys that it
// is asked to perform. Being the right node to ask matters for speed and quiet
// alone; any number of holders at once are safe by their epochs (section 3.3).
// It is not safe for concurrent use.
type Holder struct {
	self  string
	clock Clock
	net   Net
	rand  Rand
	round time.Duration // how long one round may take before it is tried anew

	set     quorum.VoterSet
	held    map[string]*holding
	asks    map[uint64]*holding
	nextAsk uint64
	newSet  func(quorum.VoterSet)

	// Known is what this node knows of a key otherwise; nil: nothing. Disks that hold
	// the same leave its value out of their promises.
	Known func(key string) Entry
}

type holding struct {
	key      string
	prepared bool // our epoch was promised by a majority and nobody refused it since
	epoch    Epoch
	highest  uint64 // highest count seen anywhere
	cell     Entry
	known    Entry // its value need not be sent by disks that hold the same
	late     uint  // rounds of this operation that did not end in time
	refusals uint  // rounds of this operation that were given up or refused
	queue    []*job
	used     time.Duration

	phase   Kind // KindPrepare or KindAccept while a round runs
	ask     uint64
	due     time.Duration
	waitTo  time.Duration // between tries
	yes     map[string]bool
	no      map[string]bool
	adopted Entry
	agree   map[string]Entry
	writing Entry
	settles bool // the accept round rewrites what was found
}

type job struct {
	req    Request
	done   func(Result)
	until  time.Duration
	sent   bool // an accept of ours may stand somewhere
	opened time.Duration
}

// NewHolder makes a proposer. The first ask number should be random.
func NewHolder(self string, clock Clock, net Net, rand Rand, round time.Duration, newSet func(quorum.VoterSet)) *Holder {
	return &Holder{
		self: self, clock: clock, net: net, rand: rand, round: round, newSet: newSet,
		held: map[string]*holding{}, asks: map[uint64]*holding{}, nextAsk: rand.Uint64() >> 8,
	}
}

// Adopt takes a newer disk set; rounds under the older one start again.
func (h *Holder) Adopt(set quorum.VoterSet) bool {
	if set.Serial <= h.set.Serial {
		return false
	}
	h.set = set
	for _, key := range h.sortedKeys() {
		hd := h.held[key]
		hd.prepared = false
		if hd.phase != 0 {
			h.again(hd)
		}
	}
	return true
}

// Set is the disk set that this proposer works with.
func (h *Holder) Set() quorum.VoterSet { return h.set }

// Held is the epoch under which this node holds a key, if it does.
func (h *Holder) Held(key string) (Epoch, Entry, bool) {
	hd := h.held[key]
	if hd == nil || !hd.prepared {
		return Epoch{}, Entry{}, false
	}
	return hd.epoch, hd.cell, true
}

// Drop lets go of a key, for its named successor.
func (h *Holder) Drop(key string) {
	if hd := h.held[key]; hd != nil {
		hd.prepared = false
	}
}

// Do performs one operation; done is called once, under the owner's lock.
func (h *Holder) Do(req Request, done func(Result)) {
	now := h.clock.Now()
	hd := h.held[req.Key]
	if hd == nil {
		hd = &holding{key: req.Key}
		h.held[req.Key] = hd
	}
	hd.queue = append(hd.queue, &job{req: req, done: done, until: now + req.Patience, sent: req.Again, opened: now})
	hd.used = now
	if hd.phase == 0 && len(hd.queue) == 1 {
		h.start(hd)
	}
}

func (h *Holder) start(hd *holding) {
	if len(hd.queue) == 0 || !h.set.Formed() {
		return
	}
	j := hd.queue[0]
	if hd.prepared && !j.req.Read && hd.cell.Serial == j.req.Base {
		h.write(hd, Entry{Epoch: hd.epoch, Serial: j.req.Base + 1, Op: j.req.Op, Value: j.req.Value}, false)
		return
	}
	hd.prepared = false
	hd.highest = max(hd.highest, hd.epoch.Count) + 1
	hd.epoch = Epoch{Count: hd.highest, Holder: h.self}
	hd.adopted, hd.agree = Entry{}, map[string]Entry{}
	hd.known = hd.cell
	if h.Known != nil {
		if c := h.Known(hd.key); c.Newer(hd.known) {
			hd.known = c
		}
	}
	h.open(hd, KindPrepare, Message{Kind: KindPrepare, Key: hd.key, Epoch: hd.epoch, Cell: Entry{Epoch: hd.known.Epoch, Serial: hd.known.Serial}})
}

func (h *Holder) write(hd *holding, cell Entry, settles bool) {
	hd.writing, hd.settles = cell, settles
	if !settles {
		hd.queue[0].sent = true
	}
	h.open(hd, KindAccept, Message{Kind: KindAccept, Key: hd.key, Epoch: hd.epoch, Cell: cell})
}

func (h *Holder) open(hd *holding, phase Kind, m Message) {
	delete(h.asks, hd.ask)
	h.nextAsk++
	hd.ask, hd.phase = h.nextAsk, phase
	hd.due = h.clock.Now() + h.round<<min(hd.late, mostDoublings) + h.transfer(m)
	hd.yes, hd.no = map[string]bool{}, map[string]bool{}
	h.asks[hd.ask] = hd
	m.Ask, m.From, m.Set = hd.ask, h.self, quorum.VoterSet{Serial: h.set.Serial}
	for _, d := range h.set.All() {
		h.net.Send(d.Addr, m)
	}
}

// Receive takes a disk's reply. It reports false when the ask is not ours.
func (h *Holder) Receive(in Message) bool {
	hd := h.asks[in.Ask]
	if hd == nil || hd.ask != in.Ask {
		return false
	}
	if in.Reason == ReasonSetOld && in.Set.Serial > h.set.Serial {
		h.newSet(in.Set)
		return true
	}
	if in.Reason == ReasonSetNew && in.Set.Serial < h.set.Serial {
		h.net.Send(in.From, Message{Kind: KindSet, From: h.self, Set: h.set})
	}
	if !h.set.Has(in.Disk) {
		return true
	}
	if in.Reason == ReasonPassed {
		// One disk's word is enough: it never forgets what the others still could take,
		// and who is refused here has done nothing that this could undo.
		h.passed(hd)
		return true
	}
	if hd.phase == KindPrepare && in.Yes && in.Again {
		if !in.Cell.Same(hd.known) {
			return true // its value was left out, and is not known here
		}
		in.Cell.Value = hd.known.Value
	}
	if in.Yes {
		hd.yes[in.Disk] = true
	} else {
		hd.no[in.Disk] = true
		hd.highest = max(hd.highest, in.Epoch.Count)
	}
	if hd.phase == KindPrepare && in.Yes {
		hd.agree[in.Disk] = in.Cell
		if in.Cell.Newer(hd.adopted) {
			hd.adopted = in.Cell
		}
	}
	if h.set.Majority(func(d string) bool { return hd.yes[d] }) {
		if hd.phase == KindPrepare {
			h.promised(hd)
		} else {
			h.accepted(hd)
		}
		return true
	}
	if !h.set.Majority(func(d string) bool { return !hd.no[d] }) {
		h.again(hd)
	}
	return true
}

// promised runs the first job on the newest cell that the majority showed.
func (h *Holder) promised(hd *holding) {
	delete(h.asks, hd.ask)
	hd.phase = 0
	hd.prepared = true
	hd.cell = hd.adopted
	if len(hd.queue) == 0 {
		return
	}
	j, cur := hd.queue[0], hd.adopted
	chosen := cur.Serial == 0 || h.set.Majority(func(d string) bool { return hd.agree[d].Same(cur) && hd.yes[d] })
	mine := !j.req.Read && j.req.Op != "" && cur.Op == j.req.Op
	if !j.req.Read && !mine && cur.Serial == j.req.Base {
		h.write(hd, Entry{Epoch: hd.epoch, Serial: j.req.Base + 1, Op: j.req.Op, Value: j.req.Value}, false)
		return
	}
	rewrite := j.req.Read && j.req.Again && cur.Serial > 0
	if chosen && !rewrite {
		h.reply(hd, h.verdict(j, cur))
		return
	}
	cur.Epoch = hd.epoch
	h.write(hd, cur, true)
}

func (h *Holder) verdict(j *job, cur Entry) Result {
	switch {
	case j.req.Read, j.req.Op != "" && cur.Op == j.req.Op:
		return Result{Outcome: Done, Cell: cur}
	case j.sent && cur.Serial > j.req.Base+1:
		return Result{Outcome: Unknown, Cell: cur}
	}
	return Result{Outcome: Conflict, Cell: cur}
}

func (h *Holder) accepted(hd *holding) {
	delete(h.asks, hd.ask)
	hd.phase = 0
	hd.cell = hd.writing
	if hd.settles {
		h.reply(hd, h.verdict(hd.queue[0], hd.cell))
		return
	}
	h.reply(hd, Result{Outcome: Done, Cell: hd.cell})
}

func (h *Holder) reply(hd *holding, r Result) {
	j := hd.queue[0]
	hd.queue = hd.queue[1:]
	hd.late, hd.refusals = 0, 0
	hd.used = h.clock.Now()
	j.done(r)
	if hd.phase == 0 && hd.waitTo == 0 {
		h.start(hd)
	}
}

// passed answers all that waits for a key whose window is forgotten.
func (h *Holder) passed(hd *holding) {
	delete(h.asks, hd.ask)
	hd.phase, hd.prepared, hd.waitTo = 0, false, 0
	queue := hd.queue
	hd.queue = nil
	for _, j := range queue {
		j.done(Result{Outcome: Passed})
	}
}

// again gives the running round up and tries anew after a short, spread wait.
func (h *Holder) again(hd *holding) {
	delete(h.asks, hd.ask)
	hd.phase, hd.prepared = 0, false
	spread := h.round / 2 << min(hd.refusals, mostDoublings)
	hd.refusals++
	hd.waitTo = h.clock.Now() + h.round/8 + time.Duration(h.rand.Uint64()%uint64(spread))
}

// mostDoublings bounds how often a round's time, and the spread of the pause between two
// tries, is doubled. Both begin anew with each operation, not with each promise: else an
// accept with a long value would never get more than one round's time, and holders that
// outbid each other would keep on doing so.
const mostDoublings = 2

// transferPerByte is how long a byte takes on the thinnest line that nodes have, 10 Mbit/s.
const transferPerByte = 800 * time.Nanosecond

// transfer is how long the line of this node takes for the values of a round's messages.
func (h *Holder) transfer(m Message) time.Duration {
	return time.Duration(len(m.Cell.Value)*len(h.set.All())) * transferPerByte
}

// Tick gives up rounds and operations whose time is over.
func (h *Holder) Tick() {
	now := h.clock.Now()
	for _, key := range h.sortedKeys() {
		hd := h.held[key]
		if hd.phase != 0 && now >= hd.due {
			hd.late++
			h.again(hd)
		}
		if len(hd.queue) > 0 && now >= hd.queue[0].until {
			h.expire(hd, now)
		}
		if len(hd.queue) > 0 && hd.phase == 0 && now >= hd.waitTo {
			hd.waitTo = 0
			h.start(hd)
		}
		if len(hd.queue) == 0 && hd.phase == 0 && now >= hd.used+64*h.round {
			delete(h.held, key)
		}
	}
}

// expire answers the jobs whose patience is over: not done when no accept of
// theirs left this node, unknown otherwise.
func (h *Holder) expire(hd *holding, now time.Duration) {
	if hd.phase != 0 {
		delete(h.asks, hd.ask)
		hd.phase, hd.prepared = 0, false
	}
	hd.waitTo = 0
	var kept []*job
	queue := hd.queue
	hd.queue = nil
	for _, j := range queue {
		if now < j.until {
			kept = append(kept, j)
			continue
		}
		r := Result{Outcome: NotDone}
		if j.sent {
			r.Outcome = Unknown
		}
		j.done(r)
	}
	hd.queue = append(kept, hd.queue...)
}

func (h *Holder) sortedKeys() []string {
	out := make([]string, 0, len(h.held))
	for key := range h.held {
		out = append(out, key)
	}
	sort.Strings(out)
	return out
}
