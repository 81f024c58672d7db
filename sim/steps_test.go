package sim

import (
	"fmt"
	"os"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"linedrum.example/linedrum/core"
	"linedrum.example/linedrum/event"
	"linedrum.example/linedrum/register"
)

// changeStep is a moment of a change of the voters, or of a repair.
type changeStep int

const (
	stepJointRecorded changeStep = iota // the joint set stands in the register
	stepJointSent                       // it leaves for the other nodes
	stepJointTaken                      // another node has taken it
	stepCopyFirst                       // a new disk asks the first old one for what it holds
	stepCopyFirstTold                   // and is told
	stepCopySecond                      // it asks the second
	stepReady                           // it says that it has copied everything
	stepNewRecorded                     // the new set alone stands in the register
	stepNewTaken                        // another node has taken it
	stepRepairAsked                     // a disk that was away asks another one for its digests
	stepRepairDiffers                   // it asks for a range that differs
	stepRepairTold                      // it is told
)

var stepNames = [...]string{
	"the joint set is recorded", "it is sent", "it is taken", "the first disk is asked for a copy", "it replies",
	"the second disk is asked", "the new disk is ready", "the new set is recorded", "it is taken",
	"a disk is asked for its digests", "it is asked for a range", "it replies",
}

// String names a step.
func (s changeStep) String() string { return stepNames[s] }

var (
	stepsOfChange = []changeStep{
		stepJointRecorded, stepJointSent, stepJointTaken, stepCopyFirst, stepCopyFirstTold,
		stepCopySecond, stepReady, stepNewRecorded, stepNewTaken,
	}
	stepsOfRepair = []changeStep{stepRepairAsked, stepRepairDiffers, stepRepairTold}
)

// watchChange has something done at the first moment of a step.
func (w *World) watchChange(step changeStep, back func() *Node, then func()) {
	reached := false
	at := func(s changeStep) {
		if s == step && !reached {
			reached = true
			w.At(0, then)
		}
	}
	w.OnSay = func(_ *Node, number event.Number, fields event.Fields) {
		next, _ := fields["next"].(int)
		serial, _ := fields["set"].(uint64)
		switch {
		case number == event.DiskSetDecided && next > 0:
			at(stepJointRecorded)
		case number == event.DiskSetDecided:
			at(stepNewRecorded)
		case number == event.DiskSetTaken && next > 0:
			at(stepJointTaken)
		case number == event.DiskSetTaken && serial > 1:
			at(stepNewTaken)
		}
	}
	asked := map[string]map[string]bool{} // new disk's node: whom it asked
	w.OnFrame = func(from *Node, to string, m register.Message) {
		switch m.Kind {
		case register.KindRange:
			if from == back() {
				at(stepRepairDiffers)
			}
		case register.KindCells:
			if n := back(); n != nil && to == n.Addr {
				at(stepRepairTold)
			}
		case register.KindSet:
			if len(m.Set.Next) > 0 {
				at(stepJointSent)
			}
		case register.KindDigest:
			if from == back() {
				at(stepRepairAsked)
			}
			if from.joining() {
				if asked[from.Addr] == nil {
					asked[from.Addr] = map[string]bool{}
				}
				asked[from.Addr][to] = true
				at(stepCopyFirst)
				if len(asked[from.Addr]) > 1 {
					at(stepCopySecond)
				}
			}
		case register.KindDigests:
			if asked[to] != nil {
				at(stepCopyFirstTold)
			}
		case register.KindIAm:
			if m.Base > 0 && m.Base == w.Set().Serial {
				at(stepReady)
			}
		}
	}
}

// joining tells whether a node's disk is being admitted.
func (n *Node) joining() bool {
	set := n.Core.Holder.Set()
	return n.Disk != nil && len(set.Next) > 0 && set.Has(n.Disk.Identity) && !set.Old(n.Disk.Identity)
}

// strike is one way to lose a machine for a while, or its disk for good.
type strike struct {
	name string
	hit  func(w *World, n *Node)
	// wipes tells that what the disk held is gone.
	wipes bool
}

var strikes = []strike{
	{name: "power", hit: func(w *World, n *Node) { n.Crash(true); w.At(time.Second, n.Start) }},
	{name: "kill", hit: func(w *World, n *Node) { n.Crash(false); w.At(300*time.Millisecond, n.Start) }},
	{name: "cut", hit: func(w *World, n *Node) { w.Split(n); w.At(1500*time.Millisecond, w.Heal) }},
	{name: "full disk", hit: func(w *World, n *Node) {
		if n.Disk == nil {
			return
		}
		disk := n.Disk
		disk.Fails = true
		w.At(time.Second, func() { disk.Fails = false })
	}},
	{name: "wipe", wipes: true, hit: func(w *World, n *Node) { n.Crash(true); n.NewDisk(); w.At(500*time.Millisecond, n.Start) }},
}

// strikeLasts is longer than any strike until its machine is back.
const strikeLasts = 1500 * time.Millisecond

// target says whom a strike hits.
type target int

const (
	hitOld   target = iota // a voter that stays
	hitNew                 // the machine that is admitted
	hitOwner               // whoever makes the change
	targets
)

var targetNames = [...]string{"a voter", "the new one", "the duty's holder"}

// String names a target.
func (t target) String() string { return targetNames[t] }

// begin begins a change of the voters, or a repair, and says which machine comes.
type begin func(w *World, lost *Node) *Node

// plan is one way that the voters change, with the steps that it takes.
type plan struct {
	name  string
	spec  Spec
	disks int // that vote at its end
	begin begin
	steps []changeStep
	// inOrder tells that nothing counts as lost meanwhile: one machine may be wiped.
	inOrder bool
}

// scene is one run of a plan, and what strikes at which step of it.
type scene struct {
	plan
	step   changeStep
	strike strike
	at     target
	tamper func(w *World) // the planted fault
}

// bearable tells whether a strike leaves what was acknowledged on some disks: beside the
// one that is lost already, no more may be wiped than the fleet bears at one time.
func (s scene) bearable() bool {
	return !s.strike.wipes || s.at == hitNew || s.bearsWipe()
}

// run says what did not hold; missed, where the step was never reached.
func (s scene) run(seed uint64) (why string, missed bool) {
	began := min(s.disks, s.spec.Disks)
	w := calm(seed, s.spec, began)
	voters := w.voters()
	first := w.Rand.IntN(len(voters))
	lost, behind := voters[first], voters[(first+1)%len(voters)]
	asked := w.Nodes[s.spec.Nodes-1]
	if s.tamper != nil {
		s.tamper(w)
	}
	// What was acknowledged stands on a bare majority: one voter heard nothing of it.
	w.Deafen(core.KeyDesk, behind)
	if r := write(w, asked, core.KeyDesk, 0, "acknowledged"); r.Outcome != register.Done {
		return fmt.Sprintf("the first write: %v", r.Outcome), false
	}
	struck := false
	var back *Node
	w.watchChange(s.step, func() *Node { return back }, func() {
		struck = true
		if n := s.victim(w, voters, lost, back); n != nil && n.Core != nil {
			s.strike.hit(w, n)
		}
	})
	back = s.begin(w, lost)
	bound := asked.Settings.Bounds.CatchUp.D()
	if !w.Until(2*bound, func() bool { return struck }) {
		return "", true
	}
	w.Hear()
	w.Run(strikeLasts)
	return s.after(w, asked, bound), false
}

func (s scene) victim(w *World, voters []*Node, lost, back *Node) *Node {
	switch s.at {
	case hitNew:
		return back
	case hitOwner:
		return w.byAddr[bare(w).Core.Owner(core.KeyDisks)]
	}
	for _, n := range voters {
		if n != lost && n != back {
			return n
		}
	}
	return nil
}

// bare is a node without a disk that is up.
func bare(w *World) *Node {
	for _, n := range w.Nodes {
		if n.Core != nil && n.Disk == nil {
			return n
		}
	}
	return nil
}

// whole tells whether as many machines as may be lost leave a majority of the voters.
func (s scene) whole(w *World) bool {
	there := len(w.voters())
	return there >= s.disks && there-s.spec.Machines > len(w.Set().Disks)/2
}

// after has the fleet catch up, lose one voter more for good, and take an order.
func (s scene) after(w *World, asked *Node, bound time.Duration) string {
	if !w.Until(bound, func() bool { return s.whole(w) }) {
		return fmt.Sprintf("%d of %d disks vote %v after the strike", len(w.voters()), len(w.Set().Disks), bound)
	}
	if got := read(w, asked, core.KeyDesk); string(got.Cell.Value) != "acknowledged" {
		return fmt.Sprintf("what was acknowledged is gone: %v, %q", got.Outcome, got.Cell.Value)
	}
	w.Run(bound)
	voters := w.voters()
	if !s.whole(w) {
		return fmt.Sprintf("the set does not stay: %d of %d disks vote", len(voters), len(w.Set().Disks))
	}
	voters[w.Rand.IntN(len(voters))].Crash(true)
	if r := write(w, asked, core.KeyDesk, 1, "next"); r.Outcome != register.Done {
		return fmt.Sprintf("a write after one more loss: %v, serial %d", r.Outcome, r.Cell.Serial)
	}
	return ""
}

// replacing, wiping: the machine goes for good, or its disk does.
func replacing(w *World, lost *Node) *Node { lost.Crash(true); return comes(w, lost) }

func wiping(w *World, lost *Node) *Node {
	lost.Crash(true)
	lost.NewDisk()
	w.At(300*time.Millisecond, lost.Start)
	return lost
}

// comes starts an empty machine at another address.
func comes(w *World, like *Node) *Node {
	s := like.Settings
	s.Listen, s.HTTP, s.Later = fmt.Sprintf("10.9.9.%d:7000", len(w.Nodes)), fmt.Sprintf("10.9.9.%d:70000", len(w.Nodes)), true
	s.Seeds = nil
	for _, n := range w.Nodes {
		if n.Core != nil && n != like && len(s.Seeds) < 3 {
			s.Seeds = append(s.Seeds, n.Addr)
		}
	}
	n := w.Add(s)
	n.NewDisk()
	n.Start()
	return n
}

// growingUp starts two more machines with disks, at two sites.
func growingUp(w *World, lost *Node) *Node {
	for _, n := range w.voters() {
		if n.Settings.Site != lost.Settings.Site {
			comes(w, n)
			break
		}
	}
	return comes(w, lost)
}

// returning is a voter that was away while changes were made.
func returning(w *World, lost *Node) *Node {
	lost.Crash(true)
	for serial := range uint64(5) {
		write(w, bare(w), core.KeyEngines, serial, "change")
	}
	w.At(0, lost.Start)
	return lost
}

var plans = []plan{
	{name: "replaced, 3 voters", spec: small, disks: 3, begin: replacing, steps: stepsOfChange},
	{name: "wiped, 3 voters", spec: small, disks: 3, begin: wiping, steps: stepsOfChange},
	{name: "replaced, 5 voters", spec: large, disks: 5, begin: replacing, steps: stepsOfChange},
	{name: "grown from 3 voters to 5", spec: small, disks: 5, begin: growingUp, steps: stepsOfChange, inOrder: true},
	{name: "left in order, 3 voters", spec: small, disks: 3, begin: leavingInOrder, steps: stepsOfChange, inOrder: true},
	{name: "repaired, 3 voters", spec: small, disks: 3, begin: returning, steps: stepsOfRepair},
	{name: "repaired, 5 voters", spec: large, disks: 5, begin: returning, steps: stepsOfRepair},
}

// tally counts the runs of a sweep.
type tally struct{ runs, bad, missed, beyond int }

// scenes lists every strike at every step: at one target each, in turn, or where more
// seeds are asked for at every target.
func (p plan) scenes(every bool) (out []scene, beyond int) {
	for i, step := range p.steps {
		for j, how := range strikes {
			for at := range targets {
				s := scene{plan: p, step: step, strike: how, at: at}
				switch {
				case !s.bearable():
					beyond++
				case every || int(at) == (i+j)%int(targets) || at == hitNew && how.wipes && !p.bearsWipe():
					out = append(out, s)
				}
			}
		}
	}
	return out, beyond
}

// bearsWipe tells whether one more disk may be wiped while the plan is carried out.
func (p plan) bearsWipe() bool { return p.inOrder || p.spec.Machines > 1 }

// sweep runs a plan's scenes.
func (p plan) sweep(t *testing.T) (sum tally) {
	first, last := seeds(1)
	scenes, beyond := p.scenes(last > 1)
	sum.beyond = beyond
	for seed := first; seed <= last; seed++ {
		for _, s := range scenes {
			why, missed := s.run(seed)
			sum.runs++
			if missed {
				sum.missed++
			}
			if why != "" {
				sum.bad++
				t.Errorf("%s, seed %d: %v, then %s at %v: %s", p.name, seed, s.step, s.strike.name, s.at, why)
			}
		}
	}
	return sum
}

// leavingInOrder has a successor come, catch up, and then the voter end as planned.
func leavingInOrder(w *World, lost *Node) *Node {
	back := comes(w, lost)
	w.Run(lost.Settings.Bounds.CatchUp.D())
	lost.Stop()
	return back
}

// TestLeaveInOrder has a voter leave in order, when its successor has had the time to
// catch up, and another machine be lost the moment after: it is within what may be lost.
func TestLeaveInOrder(t *testing.T) {
	Convey("a voter that leaves in order holds no only copy, and leaves a majority, when it goes", t, func() {
		first, last := seeds(2)
		worst := time.Duration(0)
		for seed := first; seed <= last; seed++ {
			for _, s := range []scene{
				{plan: plan{spec: small, disks: 3}, strike: strikes[0]},
				{plan: plan{spec: small, disks: 3}, strike: strike{name: "wipe", wipes: true}},
				{plan: plan{spec: large, disks: 5}, strike: strike{name: "wipe", wipes: true}},
			} {
				took, why := s.leave(seed)
				worst = max(worst, took)
				if why != "" {
					t.Errorf("%d voters, seed %d, %s the moment after: %s", s.disks, seed, s.strike.name, why)
				}
			}
		}
		t.Logf("a stop took at most %v; the bound to catch up is %v", worst, 4*time.Second)
	})
}

// leave is a scene that strikes a voter for good as soon as another one has left.
func (s scene) leave(seed uint64) (took time.Duration, why string) {
	w := calm(seed, s.spec, s.disks)
	voters := w.voters()
	lost, behind, next := voters[0], voters[1], voters[2]
	asked := bare(w)
	w.Deafen(core.KeyDesk, behind)
	if r := write(w, asked, core.KeyDesk, 0, "acknowledged"); r.Outcome != register.Done {
		return 0, fmt.Sprintf("the first write: %v", r.Outcome)
	}
	back := comes(w, lost)
	bound := asked.Settings.Bounds.CatchUp.D()
	w.Run(bound)
	w.Hear()
	began := w.Now()
	lost.Stop()
	if !w.Until(2*bound, func() bool { return lost.Core == nil }) {
		return 0, "the stop does not end"
	}
	took = w.Now() - began
	next.Crash(true)
	if s.strike.wipes {
		next.NewDisk()
	}
	if got := read(w, asked, core.KeyDesk); got.Outcome != register.Done || string(got.Cell.Value) != "acknowledged" {
		return took, fmt.Sprintf("what was acknowledged: %v, %q; %d of %d voters there", got.Outcome, got.Cell.Value, len(w.voters()), len(w.Set().Disks))
	}
	if r := write(w, back, core.KeyDesk, 1, "next"); r.Outcome != register.Done {
		return took, fmt.Sprintf("an order after it: %v", r.Outcome)
	}
	return took, ""
}

func TestStrikeAtEachStep(t *testing.T) {
	only := os.Getenv("LINEDRUM_PLAN") // one of the plans, by hand
	Convey("a second loss at each step of a change is got over, and the next one after it is borne", t, func() {
		for _, p := range plans {
			if only != "" && only != p.name {
				continue
			}
			sum := p.sweep(t)
			t.Logf("%s: %d runs, %d bad, %d did not reach their step, %d beyond what may be lost", p.name, sum.runs, sum.bad, sum.missed, sum.beyond)
			So(sum.bad, ShouldEqual, 0)
			So(sum.missed*4, ShouldBeLessThan, sum.runs)
		}
	})
}
