package platform

import (
	"context"
	"time"

	"linedrum.example/linedrum/bench/virtual"
	"linedrum.example/linedrum/lifecycle"
)

// usualSync is how long a disk in memory takes for a sync, and slowDisk how many times
// as long a slow one takes at least.
const (
	usualSync = 2 * time.Millisecond
	slowDisk  = 25
)

// Disks has the disks of machines be in trouble for a while: full, stalled, or slow.
func (s *Site) Disks(ctx context.Context, nodes []*Node, e Event) error {
	g := s.memory()
	if g == nil {
		return errMemory
	}
	for _, n := range nodes {
		defer s.upset(n, "disk", false)()
		defer upsetDisk(g.Disk(n), e)()
	}
	lifecycle.Pause(ctx, e.For.D())
	return nil
}

// upsetDisk brings one disk into trouble; what it gives back ends that.
func upsetDisk(disk *virtual.Disk, e Event) (end func()) {
	switch e.Kind {
	case "disk_full":
		disk.Fill(int(e.X))
		return disk.Clear
	case "disk_stall":
		disk.Stall(true)
		return func() { disk.Stall(false) }
	default:
		disk.Slow(time.Duration(max(e.X, slowDisk)) * usualSync)
		return func() { disk.Slow(usualSync) }
	}
}
