// Package boot reads boot time: it counts while the machine sleeps, and no
// setting of the clock moves it (design.md section 1.4).
package boot

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock is CLOCK_BOOTTIME.
type Clock struct{}

// Now is the time since the machine booted.
func (Clock) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // every Linux since 2.6.39 has it
	}
	return time.Duration(ts.Nano())
}
