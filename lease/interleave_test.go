package lease

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"linedrum.example/linedrum/interleave"
	"linedrum.example/linedrum/quorum"
	"linedrum.example/linedrum/register"
)

type clock struct{ now time.Duration }

func (c *clock) Now() time.Duration { return c.now }

// sure is a log that syncs at once.
type sure struct{}

func (sure) Busy() bool                                     { return false }
func (sure) Append(_ register.Message, then func(error))    { then(nil) }
func (sure) Barrier(then func(error))                       { then(nil) }
func (sure) Recover(_ []register.Message, then func(error)) { then(nil) }

type evenly struct{}

func (evenly) Uint64() uint64 { return 0 }

// scene is three disks, a holder that changes the desk, and a keeper that asks
// for its permit meanwhile. Every message and every reply is a choice.
type scene struct {
	clock  clock
	set    quorum.VoterSet
	asked  quorum.VoterSet // the set that the keeper counts by: a planted keeper's is wrong
	disks  map[string]*register.Acceptor
	queue  []func()
	keeper *Keeper
	relay  *Relay
	relays []string
	cut    bool // no disk hears the keeper
	holder *register.Holder
	wrong  string
}

type toDisks struct {
	s     *scene
	reply func(register.Message)
}

func (w toDisks) Send(to string, m register.Message) {
	w.s.queue = append(w.s.queue, func() {
		w.s.disks[to].Handle(m, func(r register.Message) {
			w.s.queue = append(w.s.queue, func() { w.reply(r) })
		})
	})
}

// fromKeeper carries what the keeper sends, to disks and to the relay.
type fromKeeper struct{ s *scene }

func (w fromKeeper) Send(to string, m register.Message) {
	switch {
	case to == "r":
		w.s.queue = append(w.s.queue, func() { w.s.relay.Carry(m) })
	case !w.s.cut:
		toDisks{w.s, func(r register.Message) { w.s.keeper.Receive(r) }}.Send(to, m)
	}
}

// fromRelay carries what the relay sends, to disks and back to the keeper.
type fromRelay struct{ s *scene }

func (w fromRelay) Send(to string, m register.Message) {
	if to == "k" {
		w.s.queue = append(w.s.queue, func() { w.s.keeper.Receive(m) })
		return
	}
	toDisks{w.s, func(r register.Message) { w.s.relay.Receive(r) }}.Send(to, m)
}

func (s *scene) Set() quorum.VoterSet   { return s.asked }
func (s *scene) NewSet(quorum.VoterSet) {}
func (s *scene) Relays() []string       { return s.relays }
func (s *scene) Settle(string)          {}

// Adopt judges: what comes in force must stand on a majority by then.
func (s *scene) Adopt(_ string, cell register.Entry) {
	held := 0
	for _, d := range s.disks {
		d.Handle(register.Message{Kind: register.KindQuery, Set: quorum.VoterSet{Serial: 1}, Entries: []register.KeyEntry{{Key: "desk"}}}, func(r register.Message) {
			if r.Entries[0].Entry.Serial >= cell.Serial {
				held++
			}
		})
	}
	if held < 2 {
		s.wrong = "a desk in force that no majority holds"
	}
}

func (s *scene) drain() {
	for len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		next()
	}
}

func begin(planted bool) *scene {
	s := &scene{clock: clock{time.Hour}, disks: map[string]*register.Acceptor{}, set: quorum.VoterSet{Serial: 1}}
	for i := range 3 {
		id := fmt.Sprintf("d%d", i)
		s.set.Disks = append(s.set.Disks, quorum.Disk{Identity: id, Addr: id})
	}
	s.asked = s.set
	if planted {
		s.asked.Disks = s.set.Disks[:1]
	}
	for _, d := range s.set.Disks {
		a := register.NewAcceptor(d.Identity, d.Addr, sure{})
		a.Replay(register.Message{Kind: register.KindSet, Set: s.set})
		s.disks[d.Addr] = a
	}
	s.holder = register.NewHolder("h", &s.clock, toDisks{s, func(m register.Message) { s.holder.Receive(m) }}, evenly{}, time.Second, func(quorum.VoterSet) {})
	s.holder.Adopt(s.set)
	s.keeper = New("k", &s.clock, fromKeeper{s}, s, TimingFor(2*time.Second), 1)
	s.relay = NewRelay("r", &s.clock, fromRelay{s}, func() quorum.VoterSet { return s.set }, TimingFor(2*time.Second), 1<<32)
	s.holder.Do(register.Request{Key: "desk", Op: "one", Value: []byte("one"), Patience: time.Minute}, func(register.Result) {})
	s.drain()
	s.keeper.Want([]string{"desk"})
	s.keeper.Tick()
	s.drain()
	return s
}

// course changes the desk once while the keeper renews its permit once.
func course(planted bool) func(c *interleave.Choices) string {
	return func(c *interleave.Choices) string {
		s := begin(planted)
		if !s.keeper.Held() || s.keeper.Cell("desk").Serial != 1 {
			return "the scene does not begin"
		}
		s.clock.now += time.Minute // that permit is long over
		accepted, askedAfter := false, false
		s.holder.Do(register.Request{Key: "desk", Base: 1, Op: "two", Value: []byte("two"), Patience: time.Hour}, func(r register.Result) {
			accepted = r.Outcome == register.Done
		})
		asks := func() {
			askedAfter = accepted
			s.keeper.Tick()
		}
		s.queue = append(s.queue, asks)
		for len(s.queue) > 0 {
			i := c.Pick(len(s.queue))
			next := s.queue[i]
			s.queue = append(append([]func(){}, s.queue[:i]...), s.queue[i+1:]...)
			next()
			if askedAfter && s.keeper.Held() && s.keeper.Cell("desk").Serial < 2 {
				return "a permit for a desk that was passed before it was asked for"
			}
		}
		return s.wrong
	}
}

// carriedCourse changes the desk once while a keeper that no disk hears has its permit
// through a relay.
func carriedCourse(c *interleave.Choices) string {
	s := begin(false)
	s.clock.now += time.Minute
	s.cut, s.relays = true, []string{"r"}
	accepted, askedAfter := false, false
	s.holder.Do(register.Request{Key: "desk", Base: 1, Op: "two", Value: []byte("two"), Patience: time.Hour}, func(r register.Result) {
		accepted = r.Outcome == register.Done
	})
	s.queue = append(s.queue, func() {
		askedAfter = accepted
		s.keeper.Tick()
		s.queue = append(s.queue, func() {
			s.clock.now += s.keeper.timing.Renew / 8
			s.keeper.Tick()
		})
	})
	for len(s.queue) > 0 {
		i := c.Pick(len(s.queue))
		next := s.queue[i]
		s.queue = append(append([]func(){}, s.queue[:i]...), s.queue[i+1:]...)
		next()
		if askedAfter && s.keeper.Held() && s.keeper.Cell("desk").Serial < 2 {
			return "a permit for a desk that was passed before it was asked for"
		}
		if s.keeper.Until() > s.keeper.sent+s.keeper.timing.Lease {
			return "a permit that counts from later than it was asked for"
		}
	}
	return s.wrong
}

func TestPermitInterleavings(t *testing.T) {
	Convey("a permit asked for while the desk changes, in many orders of all messages", t, func() {
		courses, bad, _ := interleave.Explore(60_000, course(false))
		t.Logf("%d courses", courses)
		So(bad, ShouldBeEmpty)
	})
	Convey("a permit through a relay while the desk changes, in many orders of all messages", t, func() {
		courses, bad, _ := interleave.Explore(4_000, carriedCourse)
		t.Logf("%d courses", courses)
		So(bad, ShouldBeEmpty)
	})
	Convey("the checker catches a keeper that counts one disk as a majority", t, func() {
		_, bad, _ := interleave.Explore(60_000, course(true))
		So(bad, ShouldNotBeEmpty)
	})
}

func TestAskedAgain(t *testing.T) {
	Convey("without a permit a disk that comes back is asked again at once, and the permit counts from the first ask", t, func() {
		s := begin(false)
		s.clock.now += time.Minute // the permit is over
		asked := s.clock.now
		s.keeper.Tick()
		s.queue = s.queue[:1] // two of the three are away
		s.drain()
		So(s.keeper.Held(), ShouldBeFalse)
		s.clock.now += s.keeper.timing.Renew / 8
		s.keeper.Tick()
		So(len(s.queue), ShouldEqual, 2) // whoever replied is not asked again
		s.drain()
		So(s.keeper.Held(), ShouldBeTrue)
		So(s.keeper.Until(), ShouldEqual, asked+s.keeper.timing.Lease)
		s.clock.now += s.keeper.timing.Renew / 2
		s.keeper.Tick()
		So(s.queue, ShouldBeEmpty) // with a permit there is no hurry
	})
}

func TestLateReplies(t *testing.T) {
	Convey("replies that were held up while the process was frozen give no permit, though it is in a hurry as it wakes", t, func() {
		s := begin(false)
		s.clock.now += time.Minute
		s.keeper.Tick()
		for range 3 { // the disks have replied
			next := s.queue[0]
			s.queue = s.queue[1:]
			next()
		}
		s.clock.now += time.Minute
		s.keeper.Hurry()
		s.drain()
		So(s.keeper.Held(), ShouldBeFalse)
		s.keeper.Tick()
		s.drain()
		So(s.keeper.Held(), ShouldBeTrue)
	})
}

func TestCarried(t *testing.T) {
	Convey("a node that no disk hears keeps its permit through a relay, counted from its own ask", t, func() {
		s := begin(false)
		s.cut, s.relays = true, []string{"r"}
		for range 40 {
			s.clock.now += s.keeper.timing.Renew / 8
			s.keeper.Tick()
			s.drain()
			So(s.keeper.Held(), ShouldBeTrue)
			So(s.keeper.Until(), ShouldBeLessThanOrEqualTo, s.keeper.sent+s.keeper.timing.Lease)
		}
		s.relays = nil
		s.clock.now += s.keeper.timing.Lease
		s.keeper.Tick()
		s.drain()
		So(s.keeper.Held(), ShouldBeFalse)
	})
}
