package sim

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"linedrum.example/linedrum/core"
	"linedrum.example/linedrum/register"
)

// Lines of machines, in bytes a second.
const (
	gigabit    = 1e9 / 8
	tenMegabit = 10e6 / 8
)

// packedDesk is how long a desk file of 1,502 routes is once packed (design.md section 4.3).
const packedDesk = 60_000

// deskOf is a value of that length that packs no further.
func deskOf(w *World, serial int) string {
	b := make([]byte, packedDesk)
	for i := range b {
		b[i] = byte(w.Rand.Uint32())
	}
	return fmt.Sprintf("%d %s", serial, b)
}

// behind is how long a machine takes to catch up, and how many bytes its line carries.
type behind struct {
	disk, permit time.Duration
	bytes        int64
}

// holds is the cell that a node's disk holds of a key.
func (n *Node) holds(key string) (cell register.Entry) {
	for _, rec := range n.Core.Acceptor.Snapshot() {
		if rec.Kind == register.KindAccept && rec.Key == key {
			cell = rec.Cell
		}
	}
	return cell
}

// catchUpAfter has a voter away for a number of changes, and back.
func catchUpAfter(seed uint64, changes int, rate float64, how begin) (took behind, why string) {
	w := calm(seed, small, 3)
	lost := w.voters()[0]
	w.Rate = rate
	lost.Crash(true)
	w.Run(3 * time.Second)
	newest := ""
	for serial := range changes {
		newest = deskOf(w, serial)
		if r := write(w, bare(w), core.KeyDesk, uint64(serial), newest); r.Outcome != register.Done {
			return took, fmt.Sprintf("change %d: %v", serial, r.Outcome)
		}
	}
	w.Run(time.Second)
	back := how(w, lost)
	began, carried := w.Now(), back.carried
	old := false
	back.OnAdopt = func(key string, cell register.Entry) {
		old = old || key == core.KeyDesk && string(cell.Value) != newest
	}
	holds := func() bool {
		set := w.Set()
		return string(back.holds(core.KeyDesk).Value) == newest && len(set.Next) == 0 && set.Has(back.Disk.Identity)
	}
	limit := 4 * w.Nodes[0].Settings.Bounds.CatchUp.D()
	if !w.Until(limit, func() bool {
		if took.permit == 0 && back.Core != nil && back.Core.Keeper.Held() {
			took.permit = w.Now() - began
		}
		return back.Core != nil && holds() && took.permit > 0
	}) {
		return took, fmt.Sprintf("not caught up after %v: its disk %v, a permit %v", limit, holds(), took.permit)
	}
	took.disk, took.bytes = w.Now()-began, back.carried-carried
	switch {
	case old:
		return took, "an old desk came in force on the machine that is back"
	case string(back.Core.Keeper.Cell(core.KeyDesk).Value) != newest:
		return took, "the permit is for another desk"
	}
	return took, ""
}

// stopped, wipedDisk and another are machines that were away: with their disk, with an
// empty one, and another machine in their place.
func stopped(_ *World, lost *Node) *Node   { lost.Start(); return lost }
func wipedDisk(_ *World, lost *Node) *Node { lost.NewDisk(); lost.Start(); return lost }
func another(w *World, lost *Node) *Node   { return comes(w, lost) }

func TestCatchUp(t *testing.T) {
	_, more := seeds(1)
	Convey("a machine that was away for many changes catches up within the bound, on thin lines too, and serves by no old desk", t, func() {
		bound := 4 * time.Second
		for _, line := range []struct {
			name string
			rate float64
		}{{"1 Gbit/s", gigabit}, {"10 Mbit/s", tenMegabit}} {
			for _, changes := range []int{10, 100, 500} {
				for _, c := range []struct {
					name string
					how  begin
				}{{"back with its disk", stopped}, {"back with an empty disk", wipedDisk}, {"another machine", another}} {
					if changes == 500 && more == 1 && (line.rate == gigabit || c.name == "another machine") {
						continue // by hand
					}
					took, why := catchUpAfter(1, changes, line.rate, c.how)
					t.Logf("| %s | %d | %s | %v | %v | %d |", line.name, changes, c.name, took.disk, took.permit, took.bytes)
					So(why, ShouldBeEmpty)
					So(max(took.disk, took.permit), ShouldBeLessThanOrEqualTo, bound)
				}
			}
		}
	})
}

// repairs has one of five voters return while another one is behind as well, and says
// how long its disk takes to hold what a bare majority holds.
func repairs(seed uint64) (took time.Duration, why string) {
	w := calm(seed, large, 5)
	voters := w.voters()
	lost, other := voters[0], voters[1]
	lost.Crash(true)
	w.Deafen(core.KeyDesk, other)
	if r := write(w, bare(w), core.KeyDesk, 0, "newest"); r.Outcome != register.Done {
		return 0, fmt.Sprintf("the write: %v", r.Outcome)
	}
	lost.Start()
	began := w.Now()
	if !w.Until(time.Minute, func() bool { return string(lost.holds(core.KeyDesk).Value) == "newest" }) {
		return 0, "its disk never holds it"
	}
	return w.Now() - began, ""
}

func TestRepairWithinBound(t *testing.T) {
	Convey("the disk of a voter that returns holds what a majority holds within the bound, whoever else is behind", t, func() {
		first, last := seeds(8)
		worst := time.Duration(0)
		for seed := first; seed <= last; seed++ {
			took, why := repairs(seed)
			So(why, ShouldBeEmpty)
			worst = max(worst, took)
		}
		t.Logf("at most %v", worst)
		So(worst, ShouldBeLessThanOrEqualTo, 4*time.Second)
	})
}
