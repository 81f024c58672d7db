package register

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"linedrum.example/linedrum/interleave"
	"linedrum.example/linedrum/quorum"
)

// founding is a few seeds that found a fleet while their disks are wiped: every
// message, look and wipe is a choice.
type founding struct {
	clock  hand
	addrs  []string
	disks  map[string]*Acceptor
	queue  []func()
	formed map[string]bool // first sets that somebody took for formed
}

type founderPorts struct{ s *founding }

func (p founderPorts) NewSet(set quorum.VoterSet) {}
func (p founderPorts) Founded(set quorum.VoterSet) {
	p.s.formed[fmt.Sprint(set.Disks)] = true
}
func (p founderPorts) Stuck(string) {}

type founderNet struct {
	s *founding
	f *Founder
}

func (n *founderNet) Send(to string, m Message) {
	n.s.queue = append(n.s.queue, func() {
		if a := n.s.disks[to]; a != nil {
			a.Handle(m, func(r Message) {
				if n.f != nil && m.Kind != KindSet {
					n.f.Receive(r)
				}
			})
			return
		}
		if m.Kind == KindWho {
			n.f.Receive(Message{Kind: KindIAm, Ask: m.Ask, From: to, Reason: ReasonBare})
		}
	})
}

// seedsFound has seeds found a fleet: the first ones have disks, and some of them are
// wiped once in the course of it. A wiped disk was born late, unless the fault is planted.
func seedsFound(seeds, withDisk, proposers, wipes int, forgetful bool) func(pick func(int) int) string {
	return func(pick func(int) int) string {
		s := &founding{disks: map[string]*Acceptor{}, formed: map[string]bool{}}
		for i := range seeds {
			s.addrs = append(s.addrs, fmt.Sprintf("s%d", i))
		}
		founders := map[string]*Founder{}
		for i, addr := range s.addrs[:withDisk] {
			s.disks[addr] = NewAcceptor(fmt.Sprintf("d%d", i), addr, &disk{})
			if i >= proposers {
				continue
			}
			net := &founderNet{s: s}
			net.f = NewFounder(addr, s.addrs, nil, s.disks[addr], &s.clock, net, founderPorts{s}, time.Second, uint64(1000*i), func() []string { return nil })
			founders[addr] = net.f
			for range 2 {
				s.queue = append(s.queue, func() {
					s.clock.now += time.Minute
					if f := founders[addr]; f != nil {
						f.Tick(quorum.VoterSet{})
					}
				})
			}
		}
		for i, addr := range s.addrs[:wipes] {
			s.queue = append(s.queue, func() {
				s.disks[addr] = NewAcceptor(fmt.Sprintf("e%d", i), addr, &disk{})
				if !forgetful {
					s.disks[addr].Late()
					delete(founders, addr) // its process starts anew, and is told so
					return
				}
				net := &founderNet{s: s}
				net.f = NewFounder(addr, s.addrs, nil, s.disks[addr], &s.clock, net, founderPorts{s}, time.Second, uint64(1000*i+500), func() []string { return nil })
				founders[addr] = net.f
				s.queue = append(s.queue, func() { net.f.Tick(quorum.VoterSet{}) })
			})
		}
		for len(s.queue) > 0 {
			i := pick(len(s.queue))
			next := s.queue[i]
			s.queue = append(append([]func(){}, s.queue[:i]...), s.queue[i+1:]...)
			next()
		}
		for _, a := range s.disks {
			if a.set.Formed() {
				s.formed[fmt.Sprint(a.set.Disks)] = true
			}
		}
		if len(s.formed) > 1 {
			return "two first sets"
		}
		return ""
	}
}

// atRandom runs a scene that has too many courses for all of them.
func atRandom(courses int, scene func(pick func(int) int) string) map[string]int {
	bad := map[string]int{}
	for seed := range uint64(courses) {
		if why := scene(rand.New(rand.NewPCG(seed, 1)).IntN); why != "" {
			bad[why]++
		}
	}
	return bad
}

func TestFoundingInterleavings(t *testing.T) {
	Convey("seeds found one first set, whoever is wiped in the middle of it", t, func() {
		for _, scene := range [][4]int{{1, 1, 1, 1}, {2, 1, 1, 1}} {
			run := seedsFound(scene[0], scene[1], scene[2], scene[3], false)
			_, bad, all := interleave.Explore(20_000, func(c *interleave.Choices) string { return run(c.Pick) })
			So(bad, ShouldBeEmpty)
			So(all, ShouldBeTrue)
		}
		for _, scene := range [][4]int{{2, 2, 1, 2}, {2, 2, 2, 2}, {3, 2, 1, 2}, {3, 3, 2, 2}, {3, 3, 3, 3}} {
			So(atRandom(3_000, seedsFound(scene[0], scene[1], scene[2], scene[3], false)), ShouldBeEmpty)
		}
	})
	Convey("the checker catches a wiped disk that founds again", t, func() {
		So(atRandom(3_000, seedsFound(1, 1, 1, 1, true)), ShouldContainKey, "two first sets")
		So(atRandom(3_000, seedsFound(2, 2, 2, 2, true)), ShouldContainKey, "two first sets")
	})
}
