package sim

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"linedrum.example/linedrum/core"
	"linedrum.example/linedrum/quorum"
	"linedrum.example/linedrum/register"
	"linedrum.example/linedrum/wire"
)

// skipMajority plants a fault: what one disk says counts as said by all.
func skipMajority(w *World) {
	w.Tamper = func(from *Node, to string, m *register.Message) {
		n := w.byAddr[to]
		if m.Kind != register.KindQueried && m.Kind != register.KindReply || !m.Yes || n == nil {
			return
		}
		for _, d := range from.Core.Holder.Set().All() {
			forged := *m
			forged.Disk = d.Identity
			w.At(0, func() { n.enter(func() { n.Core.Frame(forged, wire.Cohort{}) }) })
		}
	}
}

// behindAlone has a voter come back, behind by five changes and cut off from all others,
// and says what it decides by itself.
func behindAlone(seed uint64, plant func(*World)) string {
	w := calm(seed, small, 3)
	lost, asked := w.voters()[0], bare(w)
	if write(w, asked, core.KeyDesk, 0, "old").Outcome != register.Done {
		return "the first write"
	}
	w.Run(time.Second)
	lost.Crash(true)
	for serial := uint64(1); serial <= 5; serial++ {
		if write(w, asked, core.KeyDesk, serial, fmt.Sprint("newer ", serial)).Outcome != register.Done {
			return "a further write"
		}
	}
	if plant != nil {
		plant(w)
	}
	var adopted []string
	lost.OnAdopt = func(key string, cell register.Entry) {
		if key == core.KeyDesk {
			adopted = append(adopted, string(cell.Value))
		}
	}
	w.Split(lost)
	lost.Start()
	if w.Until(10*time.Second, func() bool { return lost.Core.Keeper.Held() }) {
		return "a permit without a majority"
	}
	if got := read(w, lost, core.KeyDesk); got.Outcome == register.Done {
		return "it reads an old desk"
	}
	if r := write(w, lost, core.KeyDesk, 1, "on top of the old"); r.Outcome == register.Done {
		return "it writes on top of an old desk"
	}
	w.Heal()
	if !w.Until(lost.Settings.Bounds.CatchUp.D(), func() bool { return lost.Core.Keeper.Held() }) {
		return "no permit within the bound after the cut"
	}
	if len(adopted) != 1 || adopted[0] != "newer 5" {
		return fmt.Sprintf("in force on it: %q", adopted)
	}
	return ""
}

func TestBehindDecidesNothing(t *testing.T) {
	Convey("a machine that is behind and cut off reads, writes and serves nothing by its own disk", t, func() {
		first, last := seeds(4)
		for seed := first; seed <= last; seed++ {
			So(behindAlone(seed, nil), ShouldBeEmpty)
		}
	})
	Convey("the check catches a node that needs no majority", t, func() {
		So(behindAlone(1, skipMajority), ShouldEqual, "a permit without a majority")
	})
}

// holderReturns has the holder of a key restart while another node holds the key, and
// write on top of what it held, before it has heard anything.
func holderReturns(seed uint64) string {
	w := calm(seed, small, 3)
	asked := bare(w)
	if write(w, asked, core.KeyDesk, 0, "old").Outcome != register.Done {
		return "the first write"
	}
	holder := w.byAddr[asked.Core.Holders(core.KeyDesk)[0]]
	if _, _, held := holder.Core.Holder.Held(core.KeyDesk); !held {
		return "the first that is handed it does not hold the key"
	}
	holder.Crash(true)
	asked = bare(w)
	if write(w, asked, core.KeyDesk, 1, "newer").Outcome != register.Done {
		return "a further write"
	}
	holder.Start()
	var told *register.Result
	holder.Core.Holder.Do(register.Request{Key: core.KeyDesk, Base: 1, Op: "late", Value: []byte("late"), Patience: 4 * time.Second},
		func(r register.Result) { told = &r })
	if !w.Until(6*time.Second, func() bool { return told != nil }) {
		return "it is told nothing"
	}
	if told.Outcome == register.Done {
		return "it led with old state"
	}
	if got := read(w, asked, core.KeyDesk); string(got.Cell.Value) != "newer" {
		return fmt.Sprintf("%q stands", got.Cell.Value)
	}
	return ""
}

func TestRestartedHolder(t *testing.T) {
	Convey("a holder that restarts never writes on top of what it held before", t, func() {
		first, last := seeds(6)
		for seed := first; seed <= last; seed++ {
			So(holderReturns(seed), ShouldBeEmpty)
		}
	})
}

// notAwaited plants a fault: a new disk says that it is ready before it has copied.
func notAwaited(w *World) {
	w.Tamper = func(from *Node, _ string, m *register.Message) {
		if m.Kind == register.KindIAm && from.joining() {
			m.Base = from.Core.Holder.Set().Serial
		}
	}
}

// oneStep plants a fault: all but the node that makes a change hear of the new voters
// without a joint set.
func oneStep(w *World) {
	w.Tamper = func(_ *Node, _ string, m *register.Message) {
		m.Set = withoutJoint(m.Set)
		var held quorum.VoterSet
		if m.Key == core.KeyDisks && json.Unmarshal(m.Cell.Value, &held) == nil {
			m.Cell.Value, _ = json.Marshal(withoutJoint(held))
		}
	}
}

func withoutJoint(set quorum.VoterSet) quorum.VoterSet {
	if len(set.Next) == 0 {
		return set
	}
	return quorum.VoterSet{Serial: set.Serial, Disks: set.Next}
}

// copyHeldUp has a new disk hear no cell for long, while one disk alone holds what was
// acknowledged; then that one is lost for a while.
func copyHeldUp(seed uint64, plant func(*World)) string {
	w := calm(seed, small, 3)
	voters := w.voters()
	lost, behind, only := voters[0], voters[1], voters[2]
	asked := bare(w)
	bound := asked.Settings.Bounds.CatchUp.D()
	w.Deafen(core.KeyDesk, behind)
	if write(w, asked, core.KeyDesk, 0, "acknowledged").Outcome != register.Done {
		return "the first write"
	}
	if plant != nil {
		plant(w)
	}
	back := replacing(w, lost)
	w.Deafen(core.KeyDesk, behind, back)
	w.Run(2 * bound)
	only.Crash(true)
	if got := read(w, asked, core.KeyDesk); got.Outcome == register.Done && string(got.Cell.Value) != "acknowledged" {
		return fmt.Sprintf("%q is read", got.Cell.Value)
	}
	w.Hear()
	only.Start()
	if !w.Until(2*bound, func() bool { return len(w.voters()) == 3 }) {
		return "three disks do not vote again"
	}
	if got := read(w, asked, core.KeyDesk); string(got.Cell.Value) != "acknowledged" {
		return fmt.Sprintf("%v, %q at the end", got.Outcome, got.Cell.Value)
	}
	return ""
}

func TestCopyAwaited(t *testing.T) {
	Convey("a new disk that hears nothing is not waited out: what is acknowledged survives, and the fleet is back with the disk", t, func() {
		first, last := seeds(4)
		for seed := first; seed <= last; seed++ {
			So(copyHeldUp(seed, nil), ShouldBeEmpty)
		}
	})
	Convey("the check catches a copy that is not awaited, and a change without a joint set", t, func() {
		So(copyHeldUp(1, notAwaited), ShouldEqual, `"" is read`)
		So(copyHeldUp(1, oneStep), ShouldEqual, `"" is read`)
	})
}
