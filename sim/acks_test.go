package sim

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"linedrum.example/linedrum/core"
	"linedrum.example/linedrum/register"
)

// ack measures how long an operator waits for one desk's acknowledgement who begins at
// a random moment after something has happened; the operator asks one node, and another
// one after a second of silence, as the users' operators do.
func ack(seed uint64, spec Spec, disks int, happens func(w *World, owner *Node)) (time.Duration, string) {
	w := calm(seed, spec, disks)
	w.Run(time.Duration(w.Rand.Int64N(int64(2 * time.Second))))
	owner := w.byAddr[w.Nodes[0].Core.Holders(core.KeyDesk)[0]]
	if r := write(w, owner, core.KeyDesk, 0, "first"); r.Outcome != register.Done {
		return 0, "the first write was not done"
	}
	happens(w, owner)
	w.Run(time.Duration(w.Rand.Int64N(int64(500 * time.Millisecond))))
	began := w.Now()
	op := fmt.Sprintf("op%d", seed)
	done := false
	for w.Now() < began+10*time.Second && !done {
		n := w.Nodes[w.Rand.IntN(len(w.Nodes))]
		if n.Core == nil || n.frozen {
			w.Run(20 * time.Millisecond)
			continue
		}
		n.Do(register.Request{Key: core.KeyDesk, Base: 1, Op: op, Value: []byte("second"), Again: w.Now() > began, Patience: 2 * time.Second}, func(r register.Result) {
			done = done || r.Outcome == register.Done
		})
		w.Until(time.Second, func() bool { return done })
	}
	if !done {
		return 0, "never"
	}
	return w.Now() - began, ""
}

func TestAcks(t *testing.T) {
	Convey("a desk is acknowledged within its bound whenever over half of the disks are up", t, func() {
		first, last := seeds(8)
		for _, c := range []struct {
			name    string
			happens func(w *World, owner *Node)
			two     bool // two disks are struck, the owner's among them: more than three can bear
		}{
			{"nothing", func(*World, *Node) {}, false},
			{"the key's owner is killed", func(_ *World, owner *Node) { owner.Crash(true) }, false},
			{"the owner and a disk are killed", func(w *World, owner *Node) {
				disk := w.voters()[0]
				if disk == owner {
					disk = w.voters()[1]
				}
				owner.Crash(true)
				disk.Crash(true)
			}, true},
			{"the owner is frozen", func(_ *World, owner *Node) { owner.Freeze() }, false},
			{"the owner and the next one are killed", func(w *World, owner *Node) {
				next := w.byAddr[w.Nodes[0].Core.Holders(core.KeyDesk)[1]]
				owner.Crash(true)
				next.Crash(true)
			}, true},
			{"all are killed, and come back within a second", func(w *World, _ *Node) { herd(w, nil) }, false},
			{"all lose power, and come back within a second", func(w *World, _ *Node) {
				for _, n := range w.Nodes {
					n.Crash(true)
					w.At(time.Duration(w.Rand.Int64N(int64(time.Second))), n.Start)
				}
				w.Run(time.Second)
			}, false},
			{"a disk stalls", func(w *World, _ *Node) { w.Nodes[1].Disk.Stalled = true }, false},
			{"all disks are slow", func(w *World, _ *Node) {
				for _, n := range w.Nodes[:3] {
					n.Disk.Delay = 100 * time.Millisecond
				}
			}, false},
		} {
			for _, fleet := range []struct {
				spec  Spec
				disks int
			}{{small, 3}, {large, 5}} {
				if c.two && fleet.disks == 3 {
					continue
				}
				worst, sum := time.Duration(0), time.Duration(0)
				for seed := first; seed <= last; seed++ {
					took, why := ack(seed, fleet.spec, fleet.disks, c.happens)
					if why != "" {
						t.Errorf("%s, %d disks, seed %d: %s", c.name, fleet.disks, seed, why)
					}
					worst, sum = max(worst, took), sum+took
				}
				t.Logf("%s, %d disks: at most %v, %v in the mean", c.name, fleet.disks, worst, sum/time.Duration(last))
				So(worst, ShouldBeLessThan, 4*time.Second)
			}
		}
	})
}
