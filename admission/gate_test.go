package admission

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"linedrum.example/linedrum/interleave"
	"linedrum.example/linedrum/lifecycle"
)

type hand struct{ now time.Duration }

func (h *hand) Now() time.Duration { return h.now }

type still struct{}

func (still) Now() time.Duration { return time.Second }

func TestTurns(t *testing.T) {
	Convey("a crowd at one desk does not starve the people at another", t, func() {
		g := New(still{})
		free := 0
		served := map[string]int{}
		try := func(key string) func() bool {
			return func() bool {
				if free == 0 {
					return false
				}
				free--
				served[key]++
				return true
			}
		}
		for range 100 {
			g.Enter("dispatch", 1, 200, time.Hour, try("dispatch"))
		}
		for range 10 {
			g.Enter("people", 2, 200, time.Hour, try("people"))
		}
		for range 15 {
			free++
			g.Pump()
		}
		So(served["people"], ShouldEqual, 10)
		So(served["dispatch"], ShouldEqual, 5)
	})
	Convey("a full queue says so at once, and a place given up is free again", t, func() {
		g := New(still{})
		no := func() bool { return false }
		first, ok, _ := g.Enter("a", 1, 1, time.Hour, no)
		So(ok, ShouldBeTrue)
		_, ok, comeBack := g.Enter("a", 1, 1, time.Hour, no)
		So(ok, ShouldBeFalse)
		So(comeBack, ShouldBeGreaterThanOrEqualTo, time.Second)
		So(g.Leave(first), ShouldBeFalse)
		_, ok, _ = g.Enter("a", 1, 1, time.Hour, no)
		So(ok, ShouldBeTrue)
	})
	Convey("who would wait for more than half of its time is told so at once, and who comes to is given up then", t, func() {
		clock := &hand{}
		g := New(clock)
		free := false
		try := func() bool { return free }
		var waiters []*Waiter
		// One turn a second is the pace of those who wait.
		for range 40 {
			w, ok, _ := g.Enter("a", 1, 100, time.Hour, try)
			So(ok, ShouldBeTrue)
			waiters = append(waiters, w)
		}
		for range 30 {
			clock.now += time.Second
			free = true
			w := waiters[0]
			waiters = waiters[1:]
			w.try = func() bool { ok := free; free = false; return ok }
			g.Pump()
			<-w.Granted()
		}
		full, comeBack := g.Full("a", 100, 10*time.Second)
		So(full, ShouldBeTrue)
		So(comeBack, ShouldBeBetween, 5*time.Second, 11*time.Second)
		_, ok, _ := g.Enter("a", 1, 100, 10*time.Second, try)
		So(ok, ShouldBeFalse)
		late, ok, _ := g.Enter("a", 1, 100, 30*time.Second, try)
		So(ok, ShouldBeTrue)
		clock.now += 10 * time.Second
		g.Pump()
		<-late.Granted()
		gaveUp, comeBack := late.GaveUp()
		So(gaveUp, ShouldBeTrue)
		So(comeBack, ShouldBeGreaterThanOrEqualTo, time.Second)
		So(g.Leave(late), ShouldBeFalse)
	})
	Convey("with a bound of nought nobody waits, but whoever finds room goes in", t, func() {
		g := New(still{})
		_, ok, _ := g.Enter("a", 1, 0, time.Hour, func() bool { return true })
		So(ok, ShouldBeTrue)
		_, ok, _ = g.Enter("a", 1, 0, time.Hour, func() bool { return false })
		So(ok, ShouldBeFalse)
	})
}

func TestAim(t *testing.T) {
	no := func() bool { return false }
	terms := Terms{Share: 1, Bound: 100, Left: 3 * time.Second, Aim: 400 * time.Millisecond}
	// paced is a gate where somebody got a turn every so often, and n still wait.
	paced := func(clock *hand, pace time.Duration, n int) *Gate {
		g := New(clock)
		free := false
		try := func() bool { ok := free; free = false; return ok }
		for range 40 + n {
			_, _, _ = g.Enter("a", 1, 1000, time.Hour, try)
		}
		for range 40 {
			clock.now += pace
			free = true
			g.Pump()
		}
		So(g.Waiting()["a"], ShouldEqual, n)
		return g
	}
	Convey("who would not get a turn within half of its aim is told so at once, and when to come back", t, func() {
		g := paced(&hand{}, 100*time.Millisecond, 3)
		_, ok, comeBack := g.Admit("a", terms, no)
		So(ok, ShouldBeFalse)
		So(comeBack, ShouldBeBetween, 200*time.Millisecond, 751*time.Millisecond)
		g = paced(&hand{}, 100*time.Millisecond, 1)
		_, ok, _ = g.Admit("a", terms, no)
		So(ok, ShouldBeTrue)
	})
	Convey("not while at least half of the places are free", t, func() {
		g := paced(&hand{}, 100*time.Millisecond, 30)
		room := terms
		room.Free = func() bool { return true }
		_, ok, _ := g.Admit("a", room, no)
		So(ok, ShouldBeTrue)
		room.Free = func() bool { return false }
		_, ok, _ = g.Admit("a", room, no)
		So(ok, ShouldBeFalse)
	})
	Convey("a refusal comes within a quarter of the aim, or only when half of the time is over", t, func() {
		for _, late := range []time.Duration{90 * time.Millisecond, 150 * time.Millisecond} {
			clock := &hand{}
			g := paced(clock, 100*time.Millisecond, 1)
			w, ok, _ := g.Admit("a", terms, no)
			So(ok, ShouldBeTrue)
			g.lines["a"].pace = 300 * time.Millisecond // the engines turned slow
			clock.now += late
			g.Pump()
			gaveUp, _ := w.GaveUp()
			select {
			case <-w.Granted():
			default:
				gaveUp = false
			}
			So(gaveUp, ShouldEqual, late < 100*time.Millisecond)
			if !gaveUp {
				clock.now += 1350*time.Millisecond - late
				g.Pump()
				<-w.Granted()
				gaveUp, _ = w.GaveUp()
				So(gaveUp, ShouldBeTrue)
			}
		}
	})
}

type state struct {
	g       *Gate
	free    int
	granted int
	first   *Waiter
	gave    bool
}

func (s *state) try() bool {
	if s.free == 0 {
		return false
	}
	s.free--
	s.granted++
	return true
}

// TestInterleavings: a waiter that gives up against the pump that lets it in,
// with two others; a reservation is neither lost nor used twice.
func TestInterleavings(t *testing.T) {
	// scene is one course; a planted waiter forgets what it was granted.
	scene := func(planted bool) func(c *interleave.Choices) string {
		return func(c *interleave.Choices) string {
			s := &state{g: New(still{})}
			interleave.Threads(c,
				[]func(){
					func() { s.first, _, _ = s.g.Enter("a", 1, 4, time.Hour, s.try) },
					func() {
						s.gave = s.g.Leave(s.first)
						if s.gave && !planted {
							s.free++ // the caller gives back what it was granted
						}
					},
					s.g.Pump,
				},
				[]func(){func() { s.g.Enter("b", 1, 4, time.Hour, s.try) }, s.g.Pump},
				[]func(){func() { s.free++ }, s.g.Pump})
			returned := 0
			if s.gave {
				returned = 1
			}
			if s.free+s.granted-returned != 1 {
				return "a reservation was lost or made up"
			}
			if s.granted-returned != 1 {
				return "room is free and somebody waits"
			}
			return ""
		}
	}
	Convey("in all orders of the steps, one place goes to one waiter that stays", t, func() {
		courses, bad, all := interleave.Explore(1000, scene(false))
		So(courses, ShouldEqual, 210)
		So(all, ShouldBeTrue)
		So(bad, ShouldBeEmpty)
	})
	Convey("the checker catches a waiter that forgets what it was granted", t, func() {
		_, bad, _ := interleave.Explore(1000, scene(true))
		So(bad, ShouldNotBeEmpty)
	})
	Convey("under real threads the same holds", t, func() {
		for range 200 {
			s := &state{g: New(still{}), free: 1}
			var mu sync.Mutex
			grants := 0
			try := func() bool {
				mu.Lock()
				defer mu.Unlock()
				if s.free == 0 {
					return false
				}
				s.free--
				grants++
				return true
			}
			threads := lifecycle.New(context.Background())
			for range 4 {
				threads.Start(func(context.Context) {
					w, ok, _ := s.g.Enter("a", 1, 4, time.Hour, try)
					if ok && s.g.Leave(w) {
						mu.Lock()
						s.free++
						mu.Unlock()
					}
					s.g.Pump()
				})
			}
			threads.Wait()
			So(s.free, ShouldEqual, 1)
			So(grants, ShouldBeGreaterThanOrEqualTo, 1)
		}
	})
}
