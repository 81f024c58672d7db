package register

import (
	"errors"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"linedrum.example/linedrum/quorum"
)

// disk is a log that syncs at once, or fails.
type disk struct {
	records []Message
	fails   bool
}

func (d *disk) Busy() bool { return false }
func (d *disk) Append(rec Message, then func(error)) {
	if d.fails {
		then(errors.New("no"))
		return
	}
	d.records = append(d.records, rec)
	then(nil)
}
func (d *disk) Barrier(then func(error)) {
	if d.fails {
		then(errors.New("no"))
		return
	}
	then(nil)
}

func (d *disk) Recover(state []Message, then func(error)) {
	if d.fails {
		then(errors.New("no"))
		return
	}
	d.records = append([]Message(nil), state...)
	then(nil)
}

func formed(d *disk) *Acceptor {
	a := NewAcceptor("a", "addr", d)
	a.Replay(Message{Kind: KindSet, Set: quorum.VoterSet{Serial: 1, Disks: []quorum.Disk{{Identity: "a", Addr: "addr"}}}})
	return a
}

func say(a *Acceptor, m Message) (out Message) {
	m.Set.Serial = 1
	a.Handle(m, func(r Message) { out = r })
	return out
}

func epoch(n uint64, holder string) Epoch { return Epoch{Count: n, Holder: holder} }

func TestForgetting(t *testing.T) {
	Convey("a key whose window is forgotten is refused for good: to ask, to write, to mend, after a restart", t, func() {
		d := &disk{}
		a := formed(d)
		passed, kept := PassingKey(3, "k"), PassingKey(4, "k")
		cell := Entry{Epoch: epoch(1, "h"), Serial: 1, Op: "done"}
		for _, key := range []string{passed, kept, "desk"} {
			So(say(a, Message{Kind: KindAccept, Key: key, Epoch: cell.Epoch, Cell: cell}).Yes, ShouldBeTrue)
		}
		floor := Entry{Epoch: epoch(1, "h"), Serial: 8, Value: Windows{Open: 8, Floor: 4}.Encode()}
		So(say(a, Message{Kind: KindAccept, Key: KeyWindows, Epoch: floor.Epoch, Cell: floor}).Yes, ShouldBeTrue)
		So(a.Forgot(), ShouldEqual, 1)
		// A cell that stands lower, as one that was never chosen may be followed by, lowers nothing.
		lower := Entry{Epoch: epoch(2, "i"), Serial: 8, Value: Windows{Open: 7, Floor: 3}.Encode()}
		So(say(a, Message{Kind: KindAccept, Key: KeyWindows, Epoch: lower.Epoch, Cell: lower}).Yes, ShouldBeTrue)
		refused := func(a *Acceptor) {
			for _, m := range []Message{
				{Kind: KindPrepare, Key: passed, Epoch: epoch(9, "z")},
				{Kind: KindAccept, Key: passed, Epoch: epoch(9, "z"), Cell: Entry{Epoch: epoch(9, "z"), Serial: 1}},
				{Kind: KindQuery, Entries: []KeyEntry{{Key: passed}}},
			} {
				out := say(a, m)
				So(out.Yes, ShouldBeFalse)
				So(out.Reason, ShouldEqual, ReasonPassed)
			}
			So(a.Repair(KeyEntry{Key: passed, Entry: cell}, true), ShouldBeFalse)
			So(say(a, Message{Kind: KindQuery, Entries: []KeyEntry{{Key: kept}}}).Entries[0].Entry, ShouldResemble, cell)
			So(say(a, Message{Kind: KindQuery, Entries: []KeyEntry{{Key: "desk"}}}).Entries[0].Entry, ShouldResemble, cell)
		}
		refused(a)
		// The same after a restart, from the records and from a picture.
		for _, records := range [][]Message{d.records, a.Snapshot()} {
			again := formed(&disk{})
			for _, rec := range records {
				again.Replay(rec)
			}
			refused(again)
		}
		// And on a new disk that was admitted by copying from this one.
		fresh := formed(&disk{})
		fresh.Raise(say(a, Message{Kind: KindDigest}).Floor, func(error) {})
		fresh.Repair(KeyEntry{Key: kept, Entry: cell}, true)
		fresh.Repair(KeyEntry{Key: "desk", Entry: cell}, true)
		refused(fresh)
	})
	Convey("windows open one by one, the floor behind them, and it never falls", t, func() {
		var w Windows
		for i := range uint64(20) {
			next := w.Next()
			So(next.Open, ShouldEqual, i+1)
			So(next.Floor, ShouldBeGreaterThanOrEqualTo, w.Floor)
			So(next.Open-next.Floor, ShouldBeLessThanOrEqualTo, KeptWindows)
			w = next
		}
		So(DecodeWindows(Entry{Serial: 1, Value: w.Encode()}), ShouldResemble, w)
	})
}

func TestUntrusted(t *testing.T) {
	Convey("after one failed sync the disk says no to everything, though it would sync again", t, func() {
		d := &disk{}
		a := formed(d)
		d.fails = true
		So(say(a, Message{Kind: KindPrepare, Key: "desk", Epoch: epoch(1, "h")}).Yes, ShouldBeFalse)
		d.fails = false
		out := say(a, Message{Kind: KindPrepare, Key: "desk", Epoch: epoch(2, "h")})
		So(out.Yes, ShouldBeFalse)
		So(out.Reason, ShouldEqual, ReasonDisk)
		So(a.Trusted(), ShouldBeFalse)
	})
}

// heldDisk is a log whose recovery ends when the test says so.
type heldDisk struct {
	disk
	state   []Message
	recover func(error)
}

func (d *heldDisk) Recover(state []Message, then func(error)) { d.state, d.recover = state, then }

func TestRecovery(t *testing.T) {
	Convey("a suspect disk votes again only once its whole state is durable, and nothing changes that state before", t, func() {
		d := &heldDisk{}
		a := NewAcceptor("a", "addr", d)
		set := quorum.VoterSet{Serial: 1, Disks: []quorum.Disk{{Identity: "a", Addr: "addr"}}}
		a.Replay(Message{Kind: KindSet, Set: set})
		said := Entry{Epoch: epoch(1, "h"), Serial: 1, Op: "said yes to"}
		So(say(a, Message{Kind: KindAccept, Key: "desk", Epoch: said.Epoch, Cell: said}).Yes, ShouldBeTrue)
		refused := Entry{Epoch: epoch(2, "h"), Serial: 2, Op: "refused"}
		d.fails = true
		So(say(a, Message{Kind: KindAccept, Key: "desk", Epoch: refused.Epoch, Cell: refused}).Reason, ShouldEqual, ReasonDisk)
		d.fails = false
		So(a.State(), ShouldEqual, DiskSuspect)
		before := a.Snapshot()
		messages := []Message{
			{Kind: KindPrepare, Key: "desk", Epoch: epoch(9, "z")},
			{Kind: KindAccept, Key: "desk", Epoch: epoch(9, "z"), Cell: Entry{Epoch: epoch(9, "z"), Serial: 3}},
			{Kind: KindQuery, Entries: []KeyEntry{{Key: "desk"}}},
			{Kind: KindDigest}, {Kind: KindRange}, {Kind: KindWho},
			{Kind: KindPledge, Pledge: set},
		}
		saysNo := func() {
			for _, m := range messages {
				out := say(a, m)
				So(out.Yes, ShouldBeFalse)
				So(out.Reason, ShouldEqual, ReasonDisk)
			}
			a.Handle(Message{Kind: KindSet, Set: quorum.VoterSet{Serial: 2, Disks: set.Disks}}, func(out Message) { So(out.Yes, ShouldBeFalse) })
			So(a.Repair(KeyEntry{Key: "sites", Entry: Entry{Epoch: epoch(9, "z"), Serial: 1}}, true), ShouldBeFalse)
			a.Raise(5, func(err error) { So(err, ShouldEqual, ErrSuspect) })
			So(a.Snapshot(), ShouldResemble, before)
		}
		saysNo()
		var ended error
		a.Recover(func(err error) { ended = err })
		So(a.State(), ShouldEqual, DiskRecovering)
		saysNo()
		d.recover(errors.New("still full"))
		So(ended, ShouldNotBeNil)
		So(a.State(), ShouldEqual, DiskSuspect)
		saysNo()
		a.Recover(func(err error) { ended = err })
		So(d.state, ShouldResemble, before)
		d.recover(nil)
		So(ended, ShouldBeNil)
		So(a.Trusted(), ShouldBeTrue)
		So(say(a, Message{Kind: KindPrepare, Key: "desk", Epoch: epoch(9, "z")}).Cell.Op, ShouldEqual, "refused")
		// What is on the disk rebuilds the same state, with what was said yes to meanwhile.
		again := NewAcceptor("a", "addr", &disk{})
		for _, rec := range append(d.state, Message{Kind: KindPrepare, Key: "desk", Epoch: epoch(9, "z")}) {
			again.Replay(rec)
		}
		So(again.Snapshot(), ShouldResemble, a.Snapshot())
	})
	Convey("each way to the log that is refused makes the disk suspect", t, func() {
		for name, do := range map[string]func(a *Acceptor){
			"prepare": func(a *Acceptor) { say(a, Message{Kind: KindPrepare, Key: "desk", Epoch: epoch(1, "h")}) },
			"accept": func(a *Acceptor) {
				say(a, Message{Kind: KindAccept, Key: "desk", Epoch: epoch(1, "h"), Cell: Entry{Epoch: epoch(1, "h"), Serial: 1}})
			},
			"query": func(a *Acceptor) { say(a, Message{Kind: KindQuery}) },
			"set": func(a *Acceptor) {
				a.Handle(Message{Kind: KindSet, Set: quorum.VoterSet{Serial: 2, Disks: a.Set().Disks}}, func(Message) {})
			},
			"mend": func(a *Acceptor) {
				a.Repair(KeyEntry{Key: "desk", Entry: Entry{Epoch: epoch(1, "h"), Serial: 1}}, false)
			},
			"raise": func(a *Acceptor) { a.Raise(3, func(error) {}) },
		} {
			d := &disk{fails: true}
			a := formed(d)
			do(a)
			SoMsg(name, a.State(), ShouldEqual, DiskSuspect)
			d.fails = false
			a.Recover(func(error) {})
			SoMsg(name, a.State(), ShouldEqual, DiskTrusted)
		}
	})
	Convey("a pledge that was refused stands after the recovery, and no other is given", t, func() {
		d := &disk{fails: true}
		a := NewAcceptor("a", "addr", d)
		mine := quorum.VoterSet{Serial: 1, Disks: []quorum.Disk{{Identity: "a", Addr: "addr"}}}
		other := quorum.VoterSet{Serial: 1, Disks: []quorum.Disk{{Identity: "a", Addr: "addr"}, {Identity: "b", Addr: "b"}}}
		So(say(a, Message{Kind: KindPledge, Pledge: mine}).Yes, ShouldBeFalse)
		d.fails = false
		a.Recover(func(error) {})
		So(say(a, Message{Kind: KindPledge, Pledge: other}).Yes, ShouldBeFalse)
		So(say(a, Message{Kind: KindPledge, Pledge: mine}).Yes, ShouldBeTrue)
	})
}

func TestPicture(t *testing.T) {
	Convey("a picture rebuilds promises above what was accepted, the floor, the set and the pledge", t, func() {
		a := formed(&disk{})
		So(say(a, Message{Kind: KindAccept, Key: "desk", Epoch: epoch(3, "h"), Cell: Entry{Epoch: epoch(3, "h"), Serial: 2, Value: []byte("v")}}).Yes, ShouldBeTrue)
		So(say(a, Message{Kind: KindPrepare, Key: "desk", Epoch: epoch(5, "i")}).Yes, ShouldBeTrue)
		again := NewAcceptor("a", "addr", &disk{})
		for _, rec := range a.Snapshot() {
			again.Replay(rec)
		}
		So(again.Digests(), ShouldResemble, a.Digests())
		So(say(again, Message{Kind: KindPrepare, Key: "desk", Epoch: epoch(4, "z")}).Yes, ShouldBeFalse)
		So(say(again, Message{Kind: KindPrepare, Key: "desk", Epoch: epoch(6, "z")}).Cell.Serial, ShouldEqual, 2)
	})
}

func TestDigests(t *testing.T) {
	Convey("equal cells have equal digests, whatever way they came; a forgotten key leaves none", t, func() {
		one, other := formed(&disk{}), formed(&disk{})
		cells := map[string]Entry{}
		for i := range 200 {
			key := PassingKey(1, fmt.Sprint(i))
			cells[key] = Entry{Epoch: epoch(2, "h"), Serial: 2, Op: key}
			say(one, Message{Kind: KindAccept, Key: key, Epoch: epoch(1, "h"), Cell: Entry{Epoch: epoch(1, "h"), Serial: 1}})
			say(one, Message{Kind: KindAccept, Key: key, Epoch: epoch(2, "h"), Cell: cells[key]})
		}
		So(other.Digests(), ShouldNotResemble, one.Digests())
		for i := range uint32(Ranges) {
			for _, kc := range say(one, Message{Kind: KindRange, Range: i}).Entries {
				So(kc.Entry, ShouldResemble, cells[kc.Key])
				So(other.Repair(kc, false), ShouldBeTrue)
			}
		}
		So(other.Digests(), ShouldResemble, one.Digests())
		one.Raise(2, func(error) {})
		So(one.Forgot(), ShouldEqual, 200)
		So(one.Digests(), ShouldResemble, make([]uint64, Ranges))
		So(say(one, Message{Kind: KindRange, Range: rangeOf(PassingKey(1, "1"))}).Entries, ShouldBeEmpty)
	})
}

// BenchmarkRange is one range of a disk that holds ten minutes of checks.
func BenchmarkRange(b *testing.B) {
	a := formed(&disk{})
	for i := range 21_000 {
		key := PassingKey(1, fmt.Sprint(i))
		say(a, Message{Kind: KindAccept, Key: key, Epoch: epoch(1, "h"), Cell: Entry{Epoch: epoch(1, "h"), Serial: 1, Value: make([]byte, 200)}})
	}
	for b.Loop() {
		say(a, Message{Kind: KindDigest})
		say(a, Message{Kind: KindRange, Range: 7})
	}
}

func TestTakenOut(t *testing.T) {
	Convey("a disk that is taken out of the set votes no more by what it held, though it is admitted again", t, func() {
		other := quorum.Disk{Identity: "b", Addr: "b"}
		mine := quorum.Disk{Identity: "a", Addr: "addr"}
		admitted := quorum.VoterSet{Serial: 5, Disks: []quorum.Disk{other}, Next: []quorum.Disk{mine, other}}
		cell := Entry{Epoch: epoch(9, "h"), Serial: 1, Op: "chosen by nobody"}
		for name, sets := range map[string][]quorum.VoterSet{
			"it learns that it is out":         {{Serial: 2, Disks: []quorum.Disk{other}}, admitted},
			"it first hears that it is wanted": {admitted},
		} {
			d := &disk{}
			a := formed(d)
			So(say(a, Message{Kind: KindAccept, Key: "desk", Epoch: cell.Epoch, Cell: cell}).Yes, ShouldBeTrue)
			for _, set := range sets {
				a.Handle(Message{Kind: KindSet, Set: set}, func(Message) {})
			}
			held := func(a *Acceptor) (out Message) {
				a.Handle(Message{Kind: KindQuery, Set: quorum.VoterSet{Serial: 5}, Entries: []KeyEntry{{Key: "desk"}}}, func(r Message) { out = r })
				return out
			}
			SoMsg(name, held(a).Yes, ShouldBeTrue)
			SoMsg(name, held(a).Entries[0].Entry.Serial, ShouldEqual, 0)
			So(a.Repair(KeyEntry{Key: "desk", Entry: Entry{Epoch: epoch(5, "g"), Serial: 1, Op: "chosen"}}, true), ShouldBeTrue)
			for _, records := range [][]Message{d.records, a.Snapshot()} {
				again := formed(&disk{})
				for _, rec := range records {
					again.Replay(rec)
				}
				SoMsg(name, held(again).Entries[0].Entry.Op, ShouldEqual, "chosen")
			}
			// As the change ends, it keeps what it has copied.
			a.Handle(Message{Kind: KindSet, Set: quorum.VoterSet{Serial: 6, Disks: admitted.Next}}, func(Message) {})
			a.Handle(Message{Kind: KindQuery, Set: quorum.VoterSet{Serial: 6}, Entries: []KeyEntry{{Key: "desk"}}}, func(r Message) {
				So(r.Entries[0].Entry.Op, ShouldEqual, "chosen")
			})
		}
	})
}
