package slope

import (
	"context"
	"crypto/sha256"
	"runtime"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"linedrum.example/linedrum/lifecycle"
)

// yardstick is a fixed piece of work, done twice a second beside a window: what
// it costs tells how much slower a busy machine's cores were than a quiet one's.
type yardstick struct{ spent, pieces atomic.Int64 }

func (y *yardstick) run(ctx context.Context) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	block := make([]byte, 1<<20)
	for lifecycle.Pause(ctx, 500*time.Millisecond) {
		before := threadTime()
		sha256.Sum256(block)
		y.spent.Add(threadTime() - before)
		y.pieces.Add(1)
	}
}

// piece is the mean processor time of one, in seconds.
func (y *yardstick) piece() float64 {
	return float64(y.spent.Load()) / 1e9 / float64(max(1, y.pieces.Load()))
}

func threadTime() int64 {
	var use unix.Rusage
	if unix.Getrusage(unix.RUSAGE_THREAD, &use) != nil {
		return 0
	}
	return use.Utime.Nano() + use.Stime.Nano()
}
