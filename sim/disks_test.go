package sim

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"linedrum.example/linedrum/core"
	"linedrum.example/linedrum/register"
)

// refuses has a node's disk refuse writes for a while.
func (n *Node) refuses(span time.Duration) {
	disk := n.Disk
	disk.Fails = true
	n.World.At(span, func() { disk.Fails = false })
}

// trusted counts the voting disks that say yes.
func (w *World) trusted() (count int) {
	for _, n := range w.voters() {
		if n.Core.Acceptor.Trusted() {
			count++
		}
	}
	return count
}

// full is a machine whose disk refuses writes for a while; it is lost meanwhile.
func full(w *World, lost *Node) *Node {
	span := 500*time.Millisecond + time.Duration(w.Rand.Int64N(int64(3*time.Second)))
	lost.refuses(span)
	w.Run(span)
	return lost
}

// fullAndKilled loses its process while the disk refuses, at times with its power.
func fullAndKilled(w *World, lost *Node) *Node {
	lost.Disk.Fails = true
	w.Run(time.Duration(w.Rand.Int64N(int64(2 * time.Second))))
	lost.Crash(w.Rand.IntN(2) == 0)
	w.Run(time.Duration(w.Rand.Int64N(int64(time.Second))))
	lost.Start()
	return lost
}

func TestRefusedWrites(t *testing.T) {
	Convey("a disk that refused writes votes again soon after it takes them, and the next loss is borne", t, func() {
		first, last := seeds(4)
		for _, fleet := range []struct {
			name  string
			spec  Spec
			disks int
		}{{"small", small, 3}, {"large", large, 5}} {
			for seed := first; seed <= last; seed++ {
				for _, holder := range []bool{false, true} {
					if took, why := lose(seed, fleet.spec, fleet.disks, holder, full); why != "" {
						t.Errorf("%s, seed %d, the duty's holder %v: %s (%+v)", fleet.name, seed, holder, why, took)
					}
				}
			}
		}
	})
	Convey("two disks of three refuse, one after the other and with others lost in between: a majority is back in time", t, func() {
		first, last := seeds(4)
		for seed := first; seed <= last; seed++ {
			w := calm(seed, Spec{Nodes: 9, Disks: 3, Seeded: true, Machines: 1}, 3)
			bound := w.Nodes[0].Settings.Bounds.CatchUp.D()
			for round := range 6 {
				lost := w.Nodes[round%2]
				write(w, w.Nodes[4], core.KeyDesk, uint64(round), "before") // there is something to sync
				lost.refuses(2500 * time.Millisecond)
				w.Run(2500 * time.Millisecond)
				if !w.Until(bound/4, func() bool { return w.trusted() == 3 }) {
					t.Fatalf("seed %d, round %d: %d of 3 disks say yes", seed, round, w.trusted())
				}
				w.Run(bound)
				if set := w.Set(); set.Serial != 1 || len(set.Next) > 0 {
					t.Fatalf("seed %d, round %d: a disk was replaced though no other waited: %+v", seed, round, set)
				}
			}
		}
	})
}

func TestSuspectDiskReplaced(t *testing.T) {
	Convey("a voting disk that goes on refusing is replaced by one that waits, and waits in its turn afterwards", t, func() {
		first, last := seeds(4)
		for seed := first; seed <= last; seed++ {
			w := calm(seed, Spec{Nodes: 9, Disks: 4, Seeded: true, Machines: 1}, 3)
			lost := w.voters()[w.Rand.IntN(3)]
			identity := lost.Disk.Identity
			lost.Disk.Fails = true
			bound := lost.Settings.Bounds.CatchUp.D()
			replaced := func() bool { return len(w.voters()) == 3 && !w.Set().Has(identity) }
			So(w.Until(bound, replaced), ShouldBeTrue)
			So(w.trusted(), ShouldEqual, 3)
			So(write(w, w.Nodes[5], core.KeyDesk, 0, "next").Outcome, ShouldEqual, register.Done)
			// It is empty when it is back: what it held may be what nobody chose.
			lost.Disk.Fails = false
			So(w.Until(bound, func() bool { return lost.Core.Acceptor.Trusted() && lost.Core.Acceptor.Set().Equal(w.Set()) }), ShouldBeTrue)
			So(lost.Core.Acceptor.Digests(), ShouldResemble, register.NewAcceptor("", "", nil).Digests())
		}
	})
}

// admittedWhileRefusing has cells stand on one disk that is left and on one that is
// wiped, and the new disk in its place refuse writes while it copies. Once the new one
// votes, the disk that it had them from is lost: it says what is no longer known.
func admittedWhileRefusing(seed uint64) (why string) {
	w := calm(seed, Spec{Nodes: 9, Disks: 3, Seeded: true, Machines: 1}, 3)
	holds, missed, lost := w.Nodes[0], w.Nodes[1], w.Nodes[2]
	missed.Crash(false)
	for i := range 40 {
		write(w, w.Nodes[4], register.PassingKey(1, fmt.Sprint(i)), 0, "chosen")
	}
	lost.Crash(true)
	lost.NewDisk()
	w.MinDelay, w.MaxDelay = 10*time.Millisecond, 40*time.Millisecond // so that much happens between an ask and its answer
	missed.Start()
	lost.Start()
	identity, bound := lost.Disk.Identity, lost.Settings.Bounds.CatchUp.D()
	copying := func() bool { return len(lost.Core.Holder.Set().Next) > 0 }
	if !w.Until(2*bound, copying) {
		return "the new disk is not admitted"
	}
	w.Run(time.Duration(w.Rand.Int64N(int64(200 * time.Millisecond))))
	lost.refuses(time.Duration(w.Rand.Int64N(int64(300 * time.Millisecond))))
	ready := func() bool {
		set := w.Set()
		return len(set.Next) == 0 && set.Old(identity) && lost.Core.Acceptor.Trusted()
	}
	if !w.Until(2*bound, ready) {
		return "the new disk does not vote"
	}
	holds.Crash(true)
	for i := range 40 {
		if r := read(w, lost, register.PassingKey(1, fmt.Sprint(i))); r.Outcome != register.Done || r.Cell.Serial != 1 {
			return fmt.Sprintf("key %d: %v at serial %d", i, r.Outcome, r.Cell.Serial)
		}
	}
	return ""
}

// read performs one read from a node and runs until its outcome.
func read(w *World, n *Node, key string) register.Result {
	out := register.Result{Outcome: register.Unknown}
	done := false
	n.Do(register.Request{Key: key, Read: true, Patience: 4 * time.Second}, func(r register.Result) { out, done = r, true })
	w.Until(6*time.Second, func() bool { return done })
	return out
}

func TestRefusedWhileAdmitted(t *testing.T) {
	Convey("a new disk that refuses writes while it copies has asked for all cells again before it votes", t, func() {
		first, last := seeds(30)
		for seed := first; seed <= last; seed++ {
			if why := admittedWhileRefusing(seed); why != "" {
				t.Errorf("seed %d: %s", seed, why)
			}
		}
	})
}

func TestSecondLossWhileCopying(t *testing.T) {
	Convey("a second disk that is lost before the first one's replacement has copied: the fleet is back when it is", t, func() {
		first, last := seeds(6)
		for seed := first; seed <= last; seed++ {
			w := calm(seed, small, 3)
			voters := w.voters()
			So(write(w, w.Nodes[5], core.KeyDesk, 0, "acknowledged").Outcome, ShouldEqual, register.Done)
			replaced(w, voters[0])
			w.Run(time.Duration(w.Rand.Int64N(int64(600 * time.Millisecond))))
			voters[1].Crash(true)
			w.Run(3 * time.Second)
			voters[1].Start()
			bound := voters[1].Settings.Bounds.CatchUp.D()
			if !w.Until(bound, func() bool { return len(w.voters()) == 3 && w.Permits() == len(w.Nodes)-1 }) {
				t.Errorf("seed %d: %d voters, %d permits, set %+v", seed, len(w.voters()), w.Permits(), w.Set())
			}
			So(write(w, w.Nodes[5], core.KeyDesk, 1, "next").Outcome, ShouldEqual, register.Done)
		}
	})
}

// refusals has a fleet lose disks to refused writes, wipes, replacements, cuts and power
// losses in any order, each after the bound to catch up with the one before.
func refusals(seed uint64, spec Spec, disks int) (ok bool, count int) {
	w := calm(seed, spec, disks)
	w.Loss = 0.01
	end := w.Now() + 60*time.Second
	h := &History{World: w}
	for c := range 4 {
		h.Client(c, []string{"desk", "once/x"}, 100*time.Millisecond, end)
	}
	bound := w.Nodes[0].Settings.Bounds.CatchUp.D()
	for w.Now() < end {
		if !w.Until(bound, func() bool { return w.trusted() >= disks && w.trusted() == len(w.Set().Disks) }) {
			return false, count
		}
		how := []loss{full, fullAndKilled, full, replaced, wiped, closing, herd, cutOff}[w.Rand.IntN(8)]
		voters := w.voters()
		how(w, voters[w.Rand.IntN(len(voters))])
		count++
		w.Run(bound)
	}
	w.Run(5 * time.Second)
	return linearizable(h), count
}

// cutOff is a machine that nobody reaches for a while.
func cutOff(w *World, lost *Node) *Node {
	w.Split(lost)
	w.Run(3 * time.Second)
	w.Heal()
	return lost
}

func TestRefusalsLinearizable(t *testing.T) {
	Convey("keys stay linearizable under refused writes mixed with other losses, and all disks say yes within the bound", t, func() {
		first, last := seeds(4)
		for _, c := range []struct {
			spec  Spec
			disks int
		}{{small, 3}, {large, 5}} {
			sum := 0
			for seed := first; seed <= last; seed++ {
				ok, count := refusals(seed, c.spec, c.disks)
				if !ok {
					t.Errorf("%d disks, seed %d, after %d losses", c.disks, seed, count)
				}
				sum += count
			}
			t.Logf("%d disks: %d losses", c.disks, sum)
		}
	})
}

func TestSlowNewDisk(t *testing.T) {
	Convey("a new disk that takes long to sync is heard to be ready", t, func() {
		first, last := seeds(4)
		for seed := first; seed <= last; seed++ {
			w := calm(seed, small, 3)
			lost := w.voters()[w.Rand.IntN(3)]
			lost.Crash(true)
			lost.NewDisk()
			lost.Disk.Delay = 100 * time.Millisecond
			w.Run(300 * time.Millisecond)
			lost.Start()
			identity, bound := lost.Disk.Identity, lost.Settings.Bounds.CatchUp.D()
			if !w.Until(bound, func() bool { set := w.Set(); return len(set.Next) == 0 && set.Old(identity) }) {
				t.Errorf("seed %d: %+v", seed, w.Set())
			}
		}
	})
}

func TestCatchingUp(t *testing.T) {
	Convey("a disk that missed hundreds of changes holds them within the bound, and its node serves none of the old ones", t, func() {
		first, last := seeds(2)
		worst := time.Duration(0)
		for seed := first; seed <= last; seed++ {
			w := calm(seed, small, 3)
			lost := w.voters()[w.Rand.IntN(3)]
			other := w.voters()[0]
			if other == lost {
				other = w.voters()[1]
			}
			So(write(w, w.Nodes[5], core.KeyDesk, 0, "old").Outcome, ShouldEqual, register.Done)
			lost.Crash(false)
			for serial := range uint64(320) {
				So(write(w, w.Nodes[5], core.KeyDesk, serial+1, fmt.Sprint(serial)).Outcome, ShouldEqual, register.Done)
			}
			served := map[string]bool{}
			lost.OnAdopt = func(key string, cell register.Entry) { served[key+string(cell.Value)] = true }
			lost.Start()
			began, bound := w.Now(), lost.Settings.Bounds.CatchUp.D()
			So(w.Until(bound, func() bool {
				digests := lost.Core.Acceptor.Digests()
				for i, digest := range other.Core.Acceptor.Digests() {
					if digests[i] != digest {
						return false
					}
				}
				return lost.Core.Keeper.Held()
			}), ShouldBeTrue)
			worst = max(worst, w.Now()-began)
			So(served[core.KeyDesk+"old"], ShouldBeFalse)
			So(served[core.KeyDesk+"319"], ShouldBeTrue)
		}
		t.Logf("320 changes were held after at most %v", worst)
	})
}

func TestDutyCutFromDisks(t *testing.T) {
	Convey("a lost disk is replaced though the duty's holder reaches none of the others", t, func() {
		first, last := seeds(12)
		tried := 0
		for seed := first; seed <= last; seed++ {
			w := calm(seed, small, 3)
			voters := w.voters()
			holder := w.byAddr[w.Nodes[0].Core.Owner(core.KeyDisks)]
			if holder.Disk != nil {
				continue
			}
			tried++
			for _, voter := range voters {
				w.Cut(holder, voter)
				w.Cut(voter, holder)
			}
			back := replaced(w, voters[0])
			if !w.Until(2*bound(back), func() bool { return w.Set().Old(back.Disk.Identity) && len(w.Set().Next) == 0 }) {
				t.Errorf("seed %d: %+v", seed, w.Set())
			}
		}
		So(tried, ShouldBeGreaterThan, 2)
	})
}

func bound(n *Node) time.Duration { return n.Settings.Bounds.CatchUp.D() }
