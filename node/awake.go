package node

import "time"

// awake notices that the process did not run for a while, as when its machine was frozen.
type awake struct {
	gap  time.Duration // no two ticks lie further apart while it runs
	calm time.Duration // what came meanwhile is read within that time after it
	last time.Duration // tick
	woke time.Duration // when a break was noticed last
	had  bool          // there was one
}

// tick is called all the time, and whenever it matters.
func (a *awake) tick(now time.Duration) {
	if a.last > 0 && now-a.last > a.gap {
		a.woke, a.had = now, true
	}
	a.last = now
}

// calmAt tells that the process has run without a break for a moment.
func (a *awake) calmAt(now time.Duration) bool {
	a.tick(now)
	return !a.had || now-a.woke >= a.calm
}
