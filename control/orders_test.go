package control

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"linedrum.example/linedrum/core"
	"linedrum.example/linedrum/desk"
	"linedrum.example/linedrum/register"
)

// fleet is registers that are chosen at once, as several nodes reach them.
type fleet struct {
	now   time.Duration
	cells map[string]register.Entry
	ops   int
}

// node is one node's way there: what it knows may be old, and its operations may hang.
type node struct {
	fleet  *fleet
	seen   map[string]register.Entry
	frozen bool   // lately
	hold   func() // runs once, before the next operation
}

func newFleet() *fleet { return &fleet{now: time.Hour, cells: map[string]register.Entry{}} }

func (f *fleet) node() *node { return &node{fleet: f, seen: map[string]register.Entry{}} }

// renew brings what a node knows up to date, as its permit does.
func (n *node) renew() *node {
	for key, cell := range n.fleet.cells {
		n.seen[key] = cell
	}
	return n
}

func (n *node) Do(_ context.Context, req register.Request) register.Result {
	if hold := n.hold; hold != nil {
		n.hold = nil
		hold()
	}
	cell := n.fleet.cells[req.Key]
	if req.Read {
		return register.Result{Outcome: register.Done, Cell: cell}
	}
	if cell.Serial != req.Base {
		return register.Result{Outcome: register.Conflict, Cell: cell}
	}
	cell = register.Entry{Serial: req.Base + 1, Op: req.Op, Value: req.Value}
	n.fleet.cells[req.Key] = cell
	return register.Result{Outcome: register.Done, Cell: cell}
}

func (n *node) OpID() string {
	n.fleet.ops++
	return fmt.Sprint(n.fleet.ops)
}

func (n *node) Hurry()                         {}
func (n *node) Seen(key string) register.Entry { return n.seen[key] }
func (n *node) Now() time.Duration             { return n.fleet.now }
func (n *node) Awake() bool                    { return !n.frozen }

// order sends an evacuation, or takes it back, and tells whether it was acknowledged.
func (n *node) order(empty bool) bool {
	out, _, fault := New(n, n, 2*time.Second, 24*time.Second).EmptySite(context.Background(), "z", empty)
	if fault != nil {
		So(fault.Status, ShouldEqual, http.StatusServiceUnavailable)
		return false
	}
	return out.Outcome == register.Done
}

func (f *fleet) empty() bool { return siteState(f.cells[core.KeySites]).Empty["z"] }

func TestRepeats(t *testing.T) {
	Convey("A repeat is known again, at any node, after more changes than are always remembered", t, func() {
		f := newFleet()
		var nodes []*Control
		for range 2 {
			n := f.node()
			nodes = append(nodes, New(n, n, 2*time.Second, 24*time.Second))
		}
		edit := func(i int, base uint64) Edit {
			return Edit{File: []byte("{}"), Base: base, ID: fmt.Sprint("change-", i)}
		}
		for i := range 2 * desk.KeepApplied {
			done, fault := nodes[i%2].ApplyDesk(context.Background(), edit(i, uint64(i)))
			So(fault, ShouldBeNil)
			So(done.Outcome, ShouldEqual, register.Done)
			f.now += 100 * time.Millisecond
		}
		for _, c := range nodes {
			done, fault := c.ApplyDesk(context.Background(), edit(0, 0))
			So(fault, ShouldBeNil)
			So(done.Outcome, ShouldEqual, register.Done)
			So(done.Serial, ShouldEqual, 1)
			So(done.Repeated, ShouldBeTrue)
			So(done.Shown.Held(), ShouldBeTrue)
		}
	})
}

func TestLateOrders(t *testing.T) {
	Convey("An order that was held up is not carried out when the operator has gone on", t, func() {
		f := newFleet()
		a, b := f.node(), f.node()
		goOn := func() {
			So(b.renew().order(true), ShouldBeTrue)
			So(b.renew().order(false), ShouldBeTrue)
		}
		Convey("in the handler, before it reads", func() {
			a.hold = goOn
			So(a.order(true), ShouldBeFalse)
			So(f.empty(), ShouldBeFalse)
			Convey("and sent again it is taken", func() {
				So(a.renew().order(true), ShouldBeTrue)
				So(f.empty(), ShouldBeTrue)
			})
		})
		Convey("between its read and its write", func() {
			a.hold = func() { a.hold = goOn }
			So(a.order(true), ShouldBeFalse)
			So(f.empty(), ShouldBeFalse)
		})
		Convey("though the repeat never arrived, and the taking back changed nothing", func() {
			a.hold = func() { So(b.renew().order(false), ShouldBeTrue) }
			So(a.order(true), ShouldBeFalse)
			So(f.empty(), ShouldBeFalse)
		})
		Convey("in the socket of a frozen machine, whose permit was renewed first", func() {
			goOn()
			a.renew().frozen = true
			So(a.order(true), ShouldBeFalse)
			So(f.empty(), ShouldBeFalse)
		})
		Convey("for a long time, though nobody else ordered anything", func() {
			a.hold = func() { f.now += 3 * time.Second }
			So(a.order(true), ShouldBeFalse)
			So(f.empty(), ShouldBeFalse)
		})
	})
	Convey("A repeat is acknowledged by a node that has not heard of the first, and other sites are in nobody's way", t, func() {
		f := newFleet()
		a, b := f.node(), f.node()
		So(a.order(true), ShouldBeTrue)
		So(b.order(true), ShouldBeTrue)
		_, _, fault := New(b, b, 2*time.Second, 24*time.Second).EmptySite(context.Background(), "y", true)
		So(fault, ShouldBeNil)
		So(f.empty(), ShouldBeTrue)
		So(siteState(f.cells[core.KeySites]).Empty["y"], ShouldBeTrue)
	})
}
