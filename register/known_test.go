package register

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"linedrum.example/linedrum/quorum"
)

// around is all that a holder needs of its node.
type around struct {
	now time.Duration
	say func(m Message)
}

func (t *around) Now() time.Duration       { return t.now }
func (t *around) Send(_ string, m Message) { t.say(m) }
func (t *around) Uint64() uint64           { return 1 << 20 }

func TestKnown(t *testing.T) {
	set := quorum.VoterSet{Serial: 1}
	long := strings.Repeat("desk ", 2000)
	cell := Entry{Epoch: epoch(1, "g"), Serial: 1, Op: "one", Value: []byte(long)}
	begin := func() (*Acceptor, *around, *Holder) {
		a, net := formed(&disk{}), &around{}
		So(say(a, Message{Kind: KindAccept, Key: "desk", Epoch: cell.Epoch, Cell: cell}).Yes, ShouldBeTrue)
		h := NewHolder("h", net, net, net, time.Second, func(quorum.VoterSet) {})
		set.Disks = []quorum.Disk{{Identity: a.Identity(), Addr: "d"}}
		h.Adopt(set)
		return a, net, h
	}
	read := func(h *Holder) (value string) {
		h.Do(Request{Key: "desk", Read: true, Patience: time.Minute}, func(r Result) { value = string(r.Cell.Value) })
		return value
	}
	Convey("A promise leaves out a value that the holder knows, from before or otherwise", t, func() {
		for _, known := range []bool{false, true} {
			a, net, h := begin()
			sent := 0
			net.say = func(m Message) {
				a.Handle(m, func(r Message) { sent += len(r.Cell.Value); h.Receive(r) })
			}
			if known {
				h.Known = func(string) Entry { return cell }
			} else {
				So(read(h) == long, ShouldBeTrue)
				So(sent, ShouldEqual, len(long))
				sent = 0
			}
			So(read(h) == long, ShouldBeTrue)
			So(sent, ShouldEqual, 0)
		}
	})
	Convey("A round that is too short for a long value is followed by a longer one", t, func() {
		a, net, h := begin()
		type reply struct {
			at time.Duration
			m  Message
		}
		var under []reply
		net.say = func(m Message) {
			a.Handle(m, func(r Message) { under = append(under, reply{net.now + 1800*time.Millisecond, r}) })
		}
		value := ""
		h.Do(Request{Key: "desk", Read: true, Patience: time.Minute}, func(r Result) { value = string(r.Cell.Value) })
		for net.now < 6*time.Second {
			net.now += 10 * time.Millisecond
			h.Tick()
			for len(under) > 0 && under[0].at <= net.now {
				h.Receive(under[0].m)
				under = under[1:]
			}
		}
		So(value == long, ShouldBeTrue)
	})
}
