package register

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"linedrum.example/linedrum/interleave"
	"linedrum.example/linedrum/quorum"
)

type hand struct{ now time.Duration }

func (h *hand) Now() time.Duration { return h.now }

// scene is a few disks and holders with every message in hand: a choice says
// which one is delivered next, with its reply.
type scene struct {
	clock   hand
	disks   map[string]*Acceptor
	queue   []func()
	forgets bool // the planted fault: a disk that has forgotten its promises
}

func newScene(disks int) (*scene, quorum.VoterSet) {
	s := &scene{disks: map[string]*Acceptor{}}
	set := quorum.VoterSet{Serial: 1}
	for i := range disks {
		id := fmt.Sprintf("d%d", i)
		set.Disks = append(set.Disks, quorum.Disk{Identity: id, Addr: id})
	}
	for _, d := range set.Disks {
		a := NewAcceptor(d.Identity, d.Addr, &disk{})
		a.Replay(Message{Kind: KindSet, Set: set})
		s.disks[d.Addr] = a
	}
	return s, set
}

// wire is one holder's way to the disks.
type wire struct {
	s *scene
	h *Holder
}

func (w *wire) Send(to string, m Message) {
	w.s.queue = append(w.s.queue, func() {
		a := w.s.disks[to]
		if w.s.forgets && m.Kind == KindAccept {
			a.slot(m.Key).promised = Epoch{}
		}
		a.Handle(m, func(r Message) { w.h.Receive(r) })
	})
}

type evenly struct{}

func (evenly) Uint64() uint64 { return 0 }

func (s *scene) holder(name string, set quorum.VoterSet) *Holder {
	w := &wire{s: s}
	w.h = NewHolder(name, &s.clock, w, evenly{}, 100*time.Millisecond, func(quorum.VoterSet) {})
	w.h.Adopt(set)
	return w.h
}

// run delivers messages in a chosen order until there are none.
func (s *scene) run(c *interleave.Choices) {
	for len(s.queue) > 0 {
		i := c.Pick(len(s.queue))
		next := s.queue[i]
		s.queue = append(append([]func(){}, s.queue[:i]...), s.queue[i+1:]...)
		next()
	}
}

func put(h *Holder, base uint64, op string, out *Result) {
	h.Do(Request{Key: "once/k", Base: base, Op: op, Value: []byte(op), Patience: time.Minute}, func(r Result) { *out = r })
}

// claims has two nodes claim one key at the same moment; after the messages of
// the first tries the time of both is over.
func claims(disks int, forgets bool) func(c *interleave.Choices) string {
	return func(c *interleave.Choices) string {
		s, set := newScene(disks)
		s.forgets = forgets
		var a, b Result
		first, second := s.holder("a", set), s.holder("b", set)
		put(first, 0, "claim-a", &a)
		put(second, 0, "claim-b", &b)
		s.run(c)
		s.clock.now += 2 * time.Minute
		first.Tick()
		second.Tick()
		if a.Outcome == Done && b.Outcome == Done {
			return "both hold the claim"
		}
		// Whoever reads afterwards must find what somebody was promised.
		var seen Result
		reader := s.holder("z", set)
		reader.Do(Request{Key: "once/k", Read: true, Patience: time.Hour}, func(r Result) { seen = r })
		for range 40 {
			for len(s.queue) > 0 {
				next := s.queue[0]
				s.queue = s.queue[1:]
				next()
			}
			s.clock.now += time.Second
			reader.Tick()
		}
		for op, r := range map[string]Result{"claim-a": a, "claim-b": b} {
			if r.Outcome == Done && seen.Cell.Op != op {
				return "a claim that was promised is gone"
			}
			if r.Outcome == NotDone && seen.Cell.Op == op {
				return "a claim that was denied is held"
			}
		}
		return ""
	}
}

func TestClaimInterleavings(t *testing.T) {
	Convey("two claims of one key, every order of all messages at one disk and two", t, func() {
		for disks, least := range map[int]int{1: 4, 2: 400} {
			courses, bad, all := interleave.Explore(2_000_000, claims(disks, false))
			t.Logf("%d disks: %d courses", disks, courses)
			So(bad, ShouldBeEmpty)
			So(all, ShouldBeTrue)
			So(courses, ShouldBeGreaterThan, least)
		}
	})
	Convey("and the first twenty thousand orders at three", t, func() {
		_, bad, _ := interleave.Explore(20_000, claims(3, false))
		So(bad, ShouldBeEmpty)
	})
	Convey("the checker catches a disk that forgets its promises", t, func() {
		_, bad, _ := interleave.Explore(2_000_000, claims(2, true))
		So(bad, ShouldNotBeEmpty)
	})
}

// handOver has the holder of a key write on while its successor takes the key
// and writes too, both on the serial that stands.
func handOver(forgets bool) func(c *interleave.Choices) string {
	return func(c *interleave.Choices) string {
		s, set := newScene(2)
		old, next := s.holder("old", set), s.holder("successor", set)
		var zero, a, b Result
		put(old, 0, "zero", &zero)
		for len(s.queue) > 0 {
			deliver := s.queue[0]
			s.queue = s.queue[1:]
			deliver()
		}
		if zero.Outcome != Done {
			return "the scene does not begin"
		}
		s.forgets = forgets
		put(old, 1, "old", &a) // under the epoch that it holds
		put(next, 1, "new", &b)
		s.run(c)
		if a.Outcome == Done && b.Outcome == Done {
			return "two writes on one serial"
		}
		return ""
	}
}

func TestHandOverInterleavings(t *testing.T) {
	Convey("a key handed over while it is written: one write on one serial, in every order", t, func() {
		courses, bad, all := interleave.Explore(1_000_000, handOver(false))
		t.Logf("%d courses", courses)
		So(all, ShouldBeTrue)
		So(bad, ShouldBeEmpty)
		So(courses, ShouldBeGreaterThan, 50)
	})
	Convey("the checker catches a disk that forgets its promises", t, func() {
		_, bad, _ := interleave.Explore(1_000_000, handOver(true))
		So(bad, ShouldContainKey, "two writes on one serial")
	})
}
