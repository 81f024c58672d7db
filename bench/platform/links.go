package platform

import (
	"context"
	"time"

	"github.com/juju/errors"

	"linedrum.example/linedrum/bench/virtual"
	"linedrum.example/linedrum/lifecycle"
)

// errMemory is given where machines in memory are needed.
const errMemory = errors.ConstError("this can be done on machines in memory alone")

// engineUpset records that the ways to an engine are cut, until it is told otherwise.
func (s *Site) engineUpset(e *Engine) func() {
	u := &Upset{From: time.Now(), Node: e.ID, What: "engine_cut"}
	s.Evidence.add(func() { s.Evidence.Upsets = append(s.Evidence.Upsets, u) })
	return func() { s.Evidence.add(func() { u.To = time.Now() }) }
}

// CutZone cuts a zone's nodes and engines off from those of the other zones for a
// while; clients still reach its nodes.
func (s *Site) CutZone(ctx context.Context, zone string, span time.Duration) error {
	g := s.memory()
	if g == nil {
		return errMemory
	}
	var inside, outside []*virtual.Machine
	place := func(ip, at string) (within bool) {
		if at == zone {
			inside = append(inside, g.Machine(ip))
			return true
		}
		outside = append(outside, g.Machine(ip))
		return false
	}
	var ends []func()
	for _, n := range s.Nodes() {
		if place(n.IP, n.Zone) {
			ends = append(ends, s.upset(n, "cut", false))
		}
	}
	for _, e := range s.living() {
		if place(ipOf(e.Addr), e.Zone) {
			ends = append(ends, s.engineUpset(e))
		}
	}
	each := func(do func(from, to *virtual.Machine)) {
		for _, a := range inside {
			for _, b := range outside {
				do(a, b)
				do(b, a)
			}
		}
	}
	each(g.Network.Cut)
	lifecycle.Pause(ctx, span)
	each(g.Network.Mend)
	for _, end := range ends {
		end()
	}
	return nil
}

// Reset resets a share of the connections of machines.
func (s *Site) Reset(nodes []*Node, share float64) error {
	g := s.memory()
	if g == nil {
		return errMemory
	}
	for _, n := range nodes {
		end := s.upset(n, "reset", false)
		g.Machine(n.IP).Reset(share)
		end()
	}
	return nil
}
