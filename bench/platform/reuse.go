package platform

import (
	"context"
	"time"

	"linedrum.example/linedrum/lifecycle"
)

// otherService is the one that takes the addresses of ended engines over.
const otherService = "other-service"

// Reuse has engines end for good; later their addresses are given to engines of
// another service. They crash, or drain before, or fall silent (how).
func (s *Site) Reuse(ctx context.Context, engines []*Engine, how string) error {
	group := lifecycle.New(ctx)
	defer group.Stop()
	failed := make(chan error, len(engines))
	for _, e := range engines {
		group.Start(func(ctx context.Context) {
			s.retire(ctx, e, how)
			lifecycle.Pause(ctx, time.Duration(s.Spec.Bounds.ReuseAfter)*time.Second)
			other := s.Spec.Service
			other.Name = otherService
			if _, err := s.raise(other, e.Zone, e.Addr, e.Version, StageGenerate, true); err != nil {
				failed <- err
			}
		})
	}
	group.Wait()
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}

// retire has an engine end for good, and returns when it has ended.
func (s *Site) retire(ctx context.Context, e *Engine, how string) {
	const look = 100 * time.Millisecond
	switch how {
	case "drain":
		s.Leave(e)
		for _, over := e.now(); !over; _, over = e.now() {
			if !lifecycle.Pause(ctx, look) {
				return
			}
		}
	case "dark":
		if g := s.memory(); g != nil {
			g.Machine(ipOf(e.Addr)).Kill(true)
		}
		s.Crash(e)
	default:
		s.Crash(e)
	}
}
