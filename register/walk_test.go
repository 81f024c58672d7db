package register

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// A walk goes further than the explorer: several clients order one write or read after
// the other while replies are late, disks sync late, fail and restart, and the voters
// change. Its history must be linearizable, and the fleet must come back at its end.

// walkOp is one order of a walk and what its client was told.
type walkOp struct {
	client      int
	req         Request
	result      Result
	call, reply int64
}

// pick draws one of n.
type pick func(n int) int

type walker struct {
	m       *model
	ops     []*walkOp
	waiting map[int]*walkOp // client: its order
	seen    map[int]uint64
	now     int64
	trace   []string // what was done
}

const (
	walkClients = 3
	walkSteps   = 140
)

func newWalker(s *scenario) *walker {
	w := &walker{m: newModel(s), waiting: map[int]*walkOp{}, seen: map[int]uint64{}}
	for i := range walkClients {
		w.m.node(fmt.Sprintf("client%d", i), namedSet(1, s.voters, nil))
	}
	return w
}

// order has an idle client read, or write on top of what it last saw.
func (w *walker) order(client int, reads bool) {
	w.now++
	w.trace = append(w.trace, fmt.Sprintf("client %d orders, a read: %v", client, reads))
	op := &walkOp{client: client, call: w.now, reply: -1}
	op.req = Request{Key: modelKey, Read: reads, Patience: modelPatience}
	if !reads {
		op.req.Base, op.req.Op = w.seen[client], fmt.Sprintf("op%d", len(w.ops))
	}
	w.ops = append(w.ops, op)
	w.waiting[client] = op
	w.node(client).holder.Do(op.req, func(r Result) {
		w.now++
		op.result, op.reply = r, w.now
		w.seen[client] = max(w.seen[client], r.Cell.Serial)
		delete(w.waiting, client)
	})
}

func (w *walker) node(client int) *modelNode {
	name := fmt.Sprintf("client%d", client)
	for _, n := range w.m.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// faultEach is one in how many steps is a fault.
const faultEach = 8

// step takes one step: an order, or anything that the model may do.
func (w *walker) step(draw pick) {
	var idle []int
	for client := range walkClients {
		if w.waiting[client] == nil {
			idle = append(idle, client)
		}
	}
	var steps, faults []modelStep
	for _, s := range w.m.steps() {
		if s.fault {
			faults = append(faults, s)
		} else {
			steps = append(steps, s)
		}
	}
	if len(faults) > 0 && (draw(faultEach) == 0 || len(steps)+len(idle) == 0) {
		w.take(faults[draw(len(faults))])
		return
	}
	if len(steps)+len(idle) == 0 {
		return // nothing can happen any more: all that remains is to recover
	}
	if chosen := draw(len(steps) + len(idle)); chosen < len(steps) {
		w.take(steps[chosen])
	} else {
		w.order(idle[chosen-len(steps)], draw(3) == 0)
	}
}

func (w *walker) take(s modelStep) {
	w.trace = append(w.trace, s.name())
	s.take()
	w.m.prune()
}

// walk takes a walk, and names what does not hold.
func walk(s *scenario, draw pick) string { return newWalker(s).walk(draw) }

func (w *walker) walk(draw pick) string {
	for range walkSteps {
		w.step(draw)
		if why := w.m.Fault(); why != "" {
			return why
		}
	}
	w.m.left = faults{}
	if why := w.m.Recover(); why != "" {
		return why
	}
	if len(w.waiting) > 0 {
		return "an order is never answered"
	}
	w.order(0, true)
	if !w.m.settle(func() bool { return len(w.waiting) == 0 }) {
		return "nothing can be read at the end"
	}
	if porcupine.CheckOperationsTimeout(walkModel, w.history(), 10*time.Second) != porcupine.Ok {
		return "the history is not linearizable"
	}
	return ""
}

func (w *walker) history() (out []porcupine.Operation) {
	for _, op := range w.ops {
		reply := op.reply
		if reply < 0 {
			reply = math.MaxInt64
		}
		out = append(out, porcupine.Operation{ClientId: op.client, Input: op, Call: op.call, Return: reply})
	}
	return out
}

type walkState struct {
	serial uint64
	op     string
}

// walkModel is one register as its callers may see it.
var walkModel = porcupine.Model{
	Init: func() any { return walkState{} },
	Step: func(state, input, _ any) (bool, any) {
		s, op := state.(walkState), input.(*walkOp)
		seen := walkState{op.result.Cell.Serial, op.result.Cell.Op}
		if seen.op == recoveryOp {
			// The recovery's own write is not in the history: it comes on top of the last one.
			return op.req.Read && seen.serial == s.serial+1, s
		}
		switch {
		case op.req.Read:
			return op.result.Outcome == Done && s == seen, s
		case op.result.Outcome == Done:
			next := walkState{op.req.Base + 1, op.req.Op}
			return s.serial == op.req.Base && seen.serial == next.serial, next
		case op.result.Outcome == Conflict:
			return s == seen && s.serial != op.req.Base, s
		}
		if s.serial == op.req.Base {
			return true, walkState{op.req.Base + 1, op.req.Op}
		}
		return true, s
	},
}

// The scenarios of walks: everything at once.
var (
	walkQuiet    = scenario{voters: three, late: true, async: true, faults: faults{Duplicate: 6, Tick: 30, Power: 3, Kill: 3, FailSync: 2, Snapshot: 3}}
	walkReplaced = scenario{voters: three, next: []string{"d0", "d1", "d3"}, written: nil, changers: 2, late: true, async: true,
		faults: faults{Duplicate: 4, Tick: 30, Power: 3, Kill: 2, Snapshot: 2, Wipe: 1, LeaveOut: 1}}
	walkGrown = scenario{voters: three[:1], next: three, changers: 1, late: true, async: true,
		faults: faults{Duplicate: 4, Tick: 30, Power: 3, Kill: 2, Snapshot: 2, Wipe: 1}}
)

// walksEach is how many walks each scenario takes.
const walksEach = 300

// TestWalks draws the steps by rapid, which shrinks a walk that fails. Its seed is fixed,
// so that the same walks are taken each time; by hand more are.
func TestWalks(t *testing.T) {
	defer slackly()()
	setFlag(t, "rapid.seed", "1")
	setFlag(t, "rapid.checks", strconv.Itoa(walksEach*oftener()))
	for name, s := range map[string]scenario{"quiet": walkQuiet, "replaced": walkReplaced, "grown": walkGrown} {
		t.Run(name, rapid.MakeCheck(func(rt *rapid.T) {
			draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "step") }
			w := newWalker(&s)
			if why := w.walk(draw); why != "" {
				rt.Fatalf("%s:\n%s", why, strings.Join(w.trace, "\n"))
			}
		}))
	}
}

func setFlag(t *testing.T, name, value string) {
	was := flag.Lookup(name).Value.String()
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = flag.Set(name, was) })
}

// mostWalks is how many random walks may be needed to meet a planted fault.
const mostWalks = 2_000

func TestWalksPlanted(t *testing.T) {
	defer slackly()()
	Convey("walks meet the planted faults too", t, func() {
		for _, c := range []struct {
			name  string
			scene scenario
		}{
			{"a disk accepts below its promise", walkQuiet.planted(plantEpochUnchecked)},
			{"one disk's yes counts for all", walkQuiet.planted(plantMajoritySkipped)},
			{"a reply before the sync", walkQuiet.planted(plantRepliesUnsynced)},
			{"a failed sync is tried again", walkQuiet.planted(plantSyncRetried)},
			{"a snapshot without a sync of its folder", walkQuiet.planted(plantSnapshotUnsynced)},
			{"no joint set", walkGrown.planted(plantOneStep)},
			{"a copy is not awaited", walkGrown.planted(plantCopyNotAwaited)},
		} {
			why, taken := "", 0
			for seed := uint64(1); why == "" && taken < mostWalks; seed++ {
				r := rand.New(rand.NewPCG(seed, 0))
				why = walk(&c.scene, r.IntN)
				taken++
			}
			t.Logf("%s: %q on walk %d", c.name, why, taken)
			So(why, ShouldNotBeEmpty)
		}
	})
}
