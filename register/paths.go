package register

import (
	"sort"
	"time"
)

// Table is the membership that every operation is sent by (design.md section 3.1).
type Table interface {
	// Nearest lists live nodes by distance to a key: the owner, then whom to try next.
	Nearest(key string) []string
}

// Paths sends operations to the nodes that hold their keys, and performs those
// that arrive. It is not safe for concurrent use.
type Paths struct {
	self    string
	clock   Clock
	net     Net
	table   Table
	holder  *Holder
	try     time.Duration // how long one node is waited for that has taken the operation
	ops     map[uint64]*op
	nextAsk uint64
}

type op struct {
	ask   uint64
	req   Request
	done  func(Result)
	tried map[string]bool
	sent  bool          // some other node may have started it
	node  string        // who was asked last
	since time.Duration // since when
	due   time.Duration
	until time.Duration
}

// NewPaths makes the sender; one try should outlast a few of the holder's rounds.
func NewPaths(self string, clock Clock, net Net, table Table, holder *Holder, try time.Duration, firstAsk uint64) *Paths {
	return &Paths{
		self: self, clock: clock, net: net, table: table, holder: holder, try: try,
		ops: map[uint64]*op{}, nextAsk: firstAsk,
	}
}

// Do performs one operation through the key's owner; done is called once.
func (p *Paths) Do(req Request, done func(Result)) {
	p.nextAsk++
	o := &op{
		ask: p.nextAsk, req: req, done: done, tried: map[string]bool{},
		sent: req.Again, until: p.clock.Now() + req.Patience,
	}
	p.ops[o.ask] = o
	p.send(o)
}

// send hands the operation to the nearest node not tried yet; when all were, it begins again.
func (p *Paths) send(o *op) {
	now := p.clock.Now()
	var chosenNode string
	for range 2 {
		for _, addr := range p.table.Nearest(o.req.Key) {
			if !o.tried[addr] {
				chosenNode = addr
				break
			}
		}
		if chosenNode != "" {
			break
		}
		o.tried = map[string]bool{}
	}
	left := o.until - now
	// A node that says nothing at all is passed over sooner: it may be dead, and to
	// perform an operation at two nodes is safe (section 3.3).
	o.due = min(now+p.try/4, o.until)
	o.node, o.since = chosenNode, now
	if chosenNode == "" || left <= 0 {
		return
	}
	o.tried[chosenNode] = true
	req := o.req
	req.Again = o.sent
	req.Patience = min(left, p.try)
	if chosenNode == p.self {
		o.due = o.until // the holder keeps to its patience by itself
		req.Patience = left
		p.holder.Do(req, func(r Result) { p.finish(o, r) })
		return
	}
	o.sent = o.sent || !req.Read
	p.net.Send(chosenNode, Message{
		Kind: KindDo, Ask: o.ask, From: p.self, Key: req.Key, Read: req.Read, Base: req.Base,
		Again: req.Again, Patience: req.Patience, Cell: Entry{Op: req.Op, Value: req.Value},
	})
}

func (p *Paths) finish(o *op, r Result) {
	if p.ops[o.ask] != o {
		return
	}
	if r.Outcome == NotDone && o.sent && !o.req.Read {
		r.Outcome = Unknown
	}
	delete(p.ops, o.ask)
	o.done(r)
}

// Receive takes an operation that another node sent here, or a reply to ours.
func (p *Paths) Receive(in Message) {
	if in.Kind == KindDo {
		p.net.Send(in.From, Message{Kind: KindTaken, Ask: in.Ask, From: p.self, Key: in.Key})
		req := Request{
			Key: in.Key, Read: in.Read, Base: in.Base, Op: in.Cell.Op, Value: in.Cell.Value,
			Again: in.Again, Patience: min(in.Patience, 16*p.try),
		}
		p.holder.Do(req, func(r Result) {
			p.net.Send(in.From, Message{Kind: KindDone, Ask: in.Ask, From: p.self, Key: in.Key, Outcome: r.Outcome, Cell: r.Cell})
		})
		return
	}
	o := p.ops[in.Ask]
	if o == nil || in.Key != o.req.Key {
		return
	}
	if in.Kind == KindTaken {
		if in.From == o.node {
			o.due = min(o.since+p.try, o.until)
		}
		return
	}
	if in.Outcome == NotDone || in.Outcome == Unknown {
		// That node could not finish it; another one may, and tells what stands.
		o.tried[in.From] = true
		if p.clock.Now() < o.until {
			p.send(o)
			return
		}
	}
	p.finish(o, Result{Outcome: in.Outcome, Cell: in.Cell})
}

// Tick tries the next node for operations that were not answered in time.
func (p *Paths) Tick() {
	now := p.clock.Now()
	var due []*op
	for _, o := range p.ops {
		if now >= o.due {
			due = append(due, o)
		}
	}
	sort.Slice(due, func(i, j int) bool { return due[i].ask < due[j].ask })
	for _, o := range due {
		if p.ops[o.ask] != o {
			continue
		}
		if now >= o.until {
			p.finish(o, Result{Outcome: NotDone})
			continue
		}
		p.send(o)
	}
}
