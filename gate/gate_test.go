package gate

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"linedrum.example/linedrum/crew"
)

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
			g.Enter("dispatch", 1, 200, try("dispatch"))
		}
		for range 10 {
			g.Enter("people", 2, 200, try("people"))
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
		first, ok, _ := g.Enter("a", 1, 1, no)
		So(ok, ShouldBeTrue)
		_, ok, comeBack := g.Enter("a", 1, 1, no)
		So(ok, ShouldBeFalse)
		So(comeBack, ShouldBeGreaterThanOrEqualTo, time.Second)
		So(g.Leave(first), ShouldBeFalse)
		_, ok, _ = g.Enter("a", 1, 1, no)
		So(ok, ShouldBeTrue)
	})
	Convey("with a bound of nought nobody waits, but whoever finds room goes in", t, func() {
		g := New(still{})
		_, ok, _ := g.Enter("a", 1, 0, func() bool { return true })
		So(ok, ShouldBeTrue)
		_, ok, _ = g.Enter("a", 1, 0, func() bool { return false })
		So(ok, ShouldBeFalse)
	})
}

// act is one step of one thread.
type act func(s *state)

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

// interleave runs every order of the threads' steps on fresh states.
func interleave(threads [][]act, fresh func() *state, check func(s *state) string) (orders int, bad map[string]int) {
	bad = map[string]int{}
	var walk func(order []int, at []int)
	walk = func(order, at []int) {
		done := true
		for i, steps := range threads {
			if at[i] < len(steps) {
				done = false
				next := append([]int(nil), at...)
				next[i]++
				walk(append(append([]int(nil), order...), i), next)
			}
		}
		if !done {
			return
		}
		orders++
		s, at2 := fresh(), make([]int, len(threads))
		for _, i := range order {
			threads[i][at2[i]](s)
			at2[i]++
		}
		if why := check(s); why != "" {
			bad[why]++
		}
	}
	walk(nil, make([]int, len(threads)))
	return orders, bad
}

// TestInterleavings: a waiter that gives up against the pump that lets it in,
// with two others; a reservation is neither lost nor used twice.
func TestInterleavings(t *testing.T) {
	threads := [][]act{
		{
			func(s *state) { s.first, _, _ = s.g.Enter("a", 1, 4, s.try) },
			func(s *state) {
				if s.g.Leave(s.first) {
					s.free++ // the caller gives back what it was granted
					s.gave = true
				}
			},
			func(s *state) { s.g.Pump() },
		},
		{
			func(s *state) { s.g.Enter("b", 1, 4, s.try) },
			func(s *state) { s.g.Pump() },
		},
		{
			func(s *state) { s.free++ },
			func(s *state) { s.g.Pump() },
		},
	}
	fresh := func() *state { return &state{g: New(still{})} }
	balance := func(s *state) string {
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
	Convey("in all orders of the steps, one place goes to one waiter that stays", t, func() {
		orders, bad := interleave(threads, fresh, balance)
		So(orders, ShouldEqual, 210)
		So(bad, ShouldBeEmpty)
	})
	Convey("the checker catches a waiter that forgets what it was granted", t, func() {
		planted := [][]act{append([]act(nil), threads[0]...), threads[1], threads[2]}
		planted[0][1] = func(s *state) { s.gave = s.g.Leave(s.first) }
		_, bad := interleave(planted, fresh, balance)
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
			threads := crew.New(context.Background())
			for range 4 {
				threads.Start(func(context.Context) {
					w, ok, _ := s.g.Enter("a", 1, 4, try)
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
