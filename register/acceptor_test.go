package register

import (
	"errors"
	"fmt"
	"testing"
	"time"

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

type hand struct{ now time.Duration }

func (h *hand) Now() time.Duration { return h.now }

func formed(d *disk, clock *hand) *Acceptor {
	a := NewAcceptor("a", "addr", d, clock, time.Minute)
	a.Replay(Message{Kind: KindSet, Set: quorum.Set{Serial: 1, Disks: []quorum.Disk{{Identity: "a", Addr: "addr"}}}})
	return a
}

func say(a *Acceptor, m Message) (out Message) {
	m.Set.Serial = 1
	a.Handle(m, func(r Message) { out = r })
	return out
}

func epoch(n uint64, holder string) Epoch { return Epoch{Count: n, Holder: holder} }

func TestForgetting(t *testing.T) {
	Convey("a proposer that slept through the forgetting of a once-only key cannot write it", t, func() {
		d, clock := &disk{}, &hand{}
		a := formed(d, clock)
		key := PassingPrefix + "k"
		So(say(a, Message{Kind: KindPrepare, Key: key, Epoch: epoch(1, "sleeper")}).Yes, ShouldBeTrue)
		So(say(a, Message{Kind: KindPrepare, Key: key, Epoch: epoch(2, "other")}).Yes, ShouldBeTrue)
		So(say(a, Message{Kind: KindAccept, Key: key, Epoch: epoch(2, "other"), Cell: Cell{Epoch: epoch(2, "other"), Serial: 1, Op: "done"}}).Yes, ShouldBeTrue)
		clock.now = 2 * time.Minute
		So(a.Prune(), ShouldEqual, 1)
		late := Message{Kind: KindAccept, Key: key, Epoch: epoch(1, "sleeper"), Cell: Cell{Epoch: epoch(1, "sleeper"), Serial: 1, Op: "again"}}
		So(say(a, late).Yes, ShouldBeFalse)
		So(say(a, Message{Kind: KindPrepare, Key: key, Epoch: epoch(2, "zzz")}).Yes, ShouldBeFalse)
		So(say(a, Message{Kind: KindPrepare, Key: key, Epoch: epoch(3, "new")}).Yes, ShouldBeTrue)
		// The same after a restart, from the records and from a picture.
		for _, records := range [][]Message{d.records, a.Picture()} {
			again := formed(&disk{}, clock)
			for _, rec := range records {
				again.Replay(rec)
			}
			So(say(again, late).Yes, ShouldBeFalse)
		}
	})
	Convey("keys of other kinds are never forgotten", t, func() {
		clock := &hand{}
		a := formed(&disk{}, clock)
		So(say(a, Message{Kind: KindAccept, Key: "desk", Epoch: epoch(1, "h"), Cell: Cell{Epoch: epoch(1, "h"), Serial: 1}}).Yes, ShouldBeTrue)
		clock.now = time.Hour
		So(a.Prune(), ShouldEqual, 0)
	})
}

func TestUntrusted(t *testing.T) {
	Convey("after one failed sync the disk says no to everything, though it would sync again", t, func() {
		d := &disk{}
		a := formed(d, &hand{})
		d.fails = true
		So(say(a, Message{Kind: KindPrepare, Key: "desk", Epoch: epoch(1, "h")}).Yes, ShouldBeFalse)
		d.fails = false
		out := say(a, Message{Kind: KindPrepare, Key: "desk", Epoch: epoch(2, "h")})
		So(out.Yes, ShouldBeFalse)
		So(out.Reason, ShouldEqual, ReasonDisk)
		So(a.Trusted(), ShouldBeFalse)
	})
}

func TestPicture(t *testing.T) {
	Convey("a picture rebuilds promises above what was accepted, the floor, the set and the pledge", t, func() {
		d, clock := &disk{}, &hand{}
		a := formed(d, clock)
		So(say(a, Message{Kind: KindAccept, Key: "desk", Epoch: epoch(3, "h"), Cell: Cell{Epoch: epoch(3, "h"), Serial: 2, Value: []byte("v")}}).Yes, ShouldBeTrue)
		So(say(a, Message{Kind: KindPrepare, Key: "desk", Epoch: epoch(5, "i")}).Yes, ShouldBeTrue)
		again := NewAcceptor("a", "addr", &disk{}, clock, time.Minute)
		for _, rec := range a.Picture() {
			again.Replay(rec)
		}
		So(again.Digests(), ShouldResemble, a.Digests())
		So(say(again, Message{Kind: KindPrepare, Key: "desk", Epoch: epoch(4, "z")}).Yes, ShouldBeFalse)
		So(say(again, Message{Kind: KindPrepare, Key: "desk", Epoch: epoch(6, "z")}).Cell.Serial, ShouldEqual, 2)
	})
}

func TestDigests(t *testing.T) {
	Convey("equal cells have equal digests, whatever way they came; a forgotten key leaves none", t, func() {
		clock := &hand{}
		one, other := formed(&disk{}, clock), formed(&disk{}, clock)
		cells := map[string]Cell{}
		for i := range 200 {
			key := fmt.Sprintf("%sk%d", PassingPrefix, i)
			cells[key] = Cell{Epoch: epoch(2, "h"), Serial: 2, Op: key}
			say(one, Message{Kind: KindAccept, Key: key, Epoch: epoch(1, "h"), Cell: Cell{Epoch: epoch(1, "h"), Serial: 1}})
			say(one, Message{Kind: KindAccept, Key: key, Epoch: epoch(2, "h"), Cell: cells[key]})
		}
		So(other.Digests(), ShouldNotResemble, one.Digests())
		for i := range uint32(Ranges) {
			for _, kc := range say(one, Message{Kind: KindRange, Range: i}).Cells {
				So(kc.Cell, ShouldResemble, cells[kc.Key])
				So(other.Mend(kc, false), ShouldBeTrue)
			}
		}
		So(other.Digests(), ShouldResemble, one.Digests())
		clock.now = 2 * time.Minute
		So(one.Prune(), ShouldEqual, 200)
		So(one.Digests(), ShouldResemble, make([]uint64, Ranges))
		So(say(one, Message{Kind: KindRange, Range: rangeOf(PassingPrefix + "k1")}).Cells, ShouldBeEmpty)
	})
}

// BenchmarkRange is one range of a disk that holds ten minutes of checks.
func BenchmarkRange(b *testing.B) {
	a := formed(&disk{}, &hand{})
	for i := range 21_000 {
		key := fmt.Sprintf("%sk%d", PassingPrefix, i)
		say(a, Message{Kind: KindAccept, Key: key, Epoch: epoch(1, "h"), Cell: Cell{Epoch: epoch(1, "h"), Serial: 1, Value: make([]byte, 200)}})
	}
	for b.Loop() {
		say(a, Message{Kind: KindDigest})
		say(a, Message{Kind: KindRange, Range: 7})
	}
}
