package tenure_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"linedrum.example/linedrum/lease"
	"linedrum.example/linedrum/quorum"
	"linedrum.example/linedrum/register"
	"linedrum.example/linedrum/tenure"
)

// The model: three disks and three nodes, each with the product's own proposer, permit
// and tenure, that take a duty from one another at any moment, while messages are lost
// and held up, nodes are cut off from the disks, and nodes freeze between any two steps, also between the making of an
// order and its writing. A node that is not the holder may settle the register's cell.

const (
	modelKey    = "roles/p"
	modelLease  = 3 * time.Second
	modelBound  = 2 * time.Second
	modelSteps  = 4000
	modelRuns   = 120
	modelQueue  = 200 // messages that wait for frozen nodes
	plantedRuns = 400 // at most, until the fault shows
)

// planted is what a run leaves out, to see that the check notices.
type planted struct {
	serialAsFence bool // the fence is the cell's serial, the holder its epoch's
	noWait        bool // a new holder does not wait
	leaseOnly     bool // it waits for a lease, and not for the former holder's permit
	noCheck       bool // nothing is asked right before an order is written
}

type sure struct{}

func (sure) Busy() bool                                     { return false }
func (sure) Append(_ register.Message, then func(error))    { then(nil) }
func (sure) Barrier(then func(error))                       { then(nil) }
func (sure) Recover(_ []register.Message, then func(error)) { then(nil) }

type message struct {
	to      string
	deliver func()
}

type order struct {
	at     time.Duration
	holder string
	fence  uint64
}

type model struct {
	rand    *rand.Rand
	now     time.Duration
	planted planted
	set     quorum.VoterSet
	disks   map[string]*register.Acceptor
	nodes   []*modelNode
	queue   []message
	orders  []order
}

func (m *model) Now() time.Duration { return m.now }

func (m *model) Uint64() uint64 { return m.rand.Uint64() }

type modelNode struct {
	m       *model
	addr    string
	frozen  bool
	cut     bool // it reaches no disk, and none reaches it
	holder  *register.Holder
	keeper  *lease.Keeper
	tenure  *tenure.Tenure
	written register.Entry
	writing bool
	drafts  []draft
}

// draft is an order that was made and not written yet.
type draft struct {
	term, serial uint64
	order        order
}

// Send implements the nets of proposer and permit: replies come back as messages too.
func (n *modelNode) Send(to string, in register.Message) {
	if n.cut {
		return
	}
	disk := n.m.disks[to]
	n.m.queue = append(n.m.queue, message{to, func() {
		disk.Handle(in, func(out register.Message) {
			n.m.queue = append(n.m.queue, message{n.addr, func() {
				if !n.cut && !n.holder.Receive(out) {
					n.keeper.Receive(out)
				}
			}})
		})
	}})
}

func (n *modelNode) Set() quorum.VoterSet         { return n.m.set }
func (n *modelNode) NewSet(quorum.VoterSet)       {}
func (n *modelNode) Relays() []string             { return nil }
func (n *modelNode) Adopt(string, register.Entry) {}
func (n *modelNode) Settle(key string)            { n.read(key) }
func (n *modelNode) read(key string) {
	n.holder.Do(register.Request{Key: key, Read: true, Patience: time.Second}, func(register.Result) {})
}

func newModel(seed uint64, p planted) *model {
	m := &model{rand: rand.New(rand.NewPCG(seed, 7)), now: time.Hour, planted: p, set: quorum.VoterSet{Serial: 1}, disks: map[string]*register.Acceptor{}}
	for i := range 3 {
		id := fmt.Sprintf("d%d", i)
		m.set.Disks = append(m.set.Disks, quorum.Disk{Identity: id, Addr: id})
	}
	for _, d := range m.set.Disks {
		a := register.NewAcceptor(d.Identity, d.Addr, sure{})
		a.Replay(register.Message{Kind: register.KindSet, Set: m.set})
		m.disks[d.Addr] = a
	}
	for i := range 3 {
		n := &modelNode{m: m, addr: fmt.Sprintf("n%d", i)}
		n.holder = register.NewHolder(n.addr, m, n, m, modelBound/8, func(quorum.VoterSet) {})
		n.holder.Adopt(m.set)
		n.keeper = lease.New(n.addr, m, n, n, lease.TimingFor(modelBound), uint64(i+1)<<40)
		n.keeper.Want([]string{modelKey})
		wait := tenure.Wait(n.keeper.Longest(), modelLease)
		switch {
		case p.noWait:
			wait = 0
		case p.leaseOnly:
			wait = modelLease
		}
		n.tenure = tenure.New(n.addr, wait)
		m.nodes = append(m.nodes, n)
	}
	return m
}

func baseOf(cell register.Entry) tenure.Base {
	base := tenure.Base{Serial: cell.Serial, Epoch: cell.Epoch.Count}
	if cell.Serial > 0 {
		_ = json.Unmarshal(cell.Value, &base.Record)
	}
	return base
}

// duty is one turn of a node that believes the duty to be its own.
func (n *modelNode) duty() {
	if !n.keeper.Held() || n.writing {
		return
	}
	cell := n.keeper.Cell(modelKey)
	if n.written.Serial > cell.Serial {
		cell = n.written
	}
	base := baseOf(cell)
	if n.m.planted.serialAsFence {
		if cell.Serial > 0 && cell.Epoch.Holder == n.addr {
			n.drafts = append(n.drafts, draft{base.Record.Term, cell.Serial, order{0, n.addr, cell.Serial}})
			return
		}
	} else if n.tenure.May(base.Record, n.m.now) {
		n.drafts = append(n.drafts, draft{base.Record.Term, cell.Serial, order{0, n.addr, base.Record.Term}})
	}
	if base.Record.Holder == n.addr && n.m.rand.IntN(4) > 0 {
		return
	}
	value, _ := json.Marshal(base.Next(n.addr))
	n.writing = true
	n.holder.Do(register.Request{Key: modelKey, Base: cell.Serial, Op: fmt.Sprint(n.addr, n.m.rand.Uint64()), Value: value, Patience: time.Second}, func(r register.Result) {
		n.writing = false
		if r.Outcome == register.Done {
			n.written = r.Cell
		}
	})
}

// write writes the oldest order that was made, if it may still be written.
func (n *modelNode) write() {
	if len(n.drafts) == 0 {
		return
	}
	d := n.drafts[0]
	n.drafts = n.drafts[1:]
	if !n.m.planted.noCheck && (!n.keeper.Held() || !tenure.Still(d.term, d.serial, baseOf(n.keeper.Cell(modelKey)))) {
		return
	}
	d.order.at = n.m.now
	n.m.orders = append(n.m.orders, d.order)
}

func (m *model) node(addr string) *modelNode {
	for _, n := range m.nodes {
		if n.addr == addr {
			return n
		}
	}
	return nil
}

// deliver delivers one message, or loses it.
func (m *model) deliver() {
	if len(m.queue) == 0 {
		return
	}
	i := 0
	if m.rand.IntN(4) == 0 {
		i = m.rand.IntN(len(m.queue)) // overtakes
	}
	next := m.queue[i]
	if i > 0 {
		m.queue[i] = m.queue[0]
	}
	m.queue = m.queue[1:]
	if to := m.node(next.to); to != nil && to.frozen {
		// It waits behind all others, and is lost where there are too many.
		if len(m.queue) < modelQueue {
			m.queue = append(m.queue, next)
		}
		return
	}
	if m.rand.IntN(60) > 0 {
		next.deliver()
	}
}

// step does one thing out of all that may come next.
func (m *model) step() {
	n := m.nodes[m.rand.IntN(len(m.nodes))]
	switch pick := m.rand.IntN(100); {
	case pick < 60:
		for range m.rand.IntN(24) {
			m.deliver()
		}
	case pick < 75:
		m.now += time.Duration(m.rand.Int64N(int64(40 * time.Millisecond)))
		for _, n := range m.nodes {
			if !n.frozen {
				n.holder.Tick()
				n.keeper.Tick()
			}
		}
	case pick < 77:
		m.now += time.Duration(m.rand.Int64N(int64(time.Second)))
	case pick < 78:
		n.frozen = !n.frozen && m.rand.IntN(4) == 0
	case pick < 79:
		n.cut = !n.cut && m.rand.IntN(3) == 0
	case n.frozen:
	case pick < 84 && (m.rand.IntN(8) == 0 || n == m.nodes[int(m.now/(8*time.Second))%len(m.nodes)]):
		n.duty()
	case pick < 86 && m.rand.IntN(6) == 0:
		n.read(modelKey)
	case pick > 88:
		n.write()
	}
}

// wrong says which rule the orders break.
func (m *model) wrong() string {
	holders := map[uint64]string{}
	for i, o := range m.orders {
		if had, ok := holders[o.fence]; ok && had != o.holder {
			return "two holders with one fence"
		}
		holders[o.fence] = o.holder
		if i == 0 {
			continue
		}
		before := m.orders[i-1]
		if o.fence < before.fence {
			return "a lower fence after a higher one"
		}
		if o.holder != before.holder && o.at-before.at < modelLease {
			return "holders that take turns within a lease"
		}
	}
	return ""
}

// play counts what is wrong with so many runs, and the turns of holders that they saw.
func play(runs int, p planted, until string) (wrong map[string]int, turns int) {
	wrong = map[string]int{}
	for seed := range runs {
		m := newModel(uint64(seed), p)
		for range modelSteps {
			m.step()
		}
		if why := m.wrong(); why != "" {
			wrong[why]++
			if why == until {
				return wrong, turns
			}
		}
		for i := 1; i < len(m.orders); i++ {
			if m.orders[i].holder != m.orders[i-1].holder {
				turns++
			}
		}
	}
	return wrong, turns
}

func TestModel(t *testing.T) {
	Convey("One fence has one holder, fences rise, and holders keep a lease between them", t, func() {
		wrong, turns := play(modelRuns, planted{}, "")
		t.Logf("%d turns of holders in %d runs", turns, modelRuns)
		So(wrong, ShouldBeEmpty)
		So(turns, ShouldBeGreaterThan, modelRuns/4)
	})
	Convey("The check notices", t, func() {
		for _, c := range []struct {
			name string
			p    planted
			why  string
		}{
			{"a serial that is a fence", planted{serialAsFence: true}, "two holders with one fence"},
			{"a lease that is not waited for", planted{noWait: true}, "holders that take turns within a lease"},
			{"a permit that is not waited for", planted{leaseOnly: true}, "holders that take turns within a lease"},
			{"an order that is written unasked", planted{noCheck: true}, "a lower fence after a higher one"},
		} {
			Convey(c.name, func() {
				wrong, _ := play(plantedRuns, c.p, c.why)
				t.Log(c.name, wrong)
				So(wrong[c.why], ShouldBeGreaterThan, 0)
			})
		}
	})
}
