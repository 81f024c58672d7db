package lease

import "time"

// Grant is a value that was in force when the grant was made, and the lease that says
// so. The value cannot be had without one: only Give makes a grant that holds, and the
// zero Grant never does. A decision that rests on the value is good as long as the
// grant holds, so whoever writes it down asks Held right before (design.md section 4.2).
type Grant[T any] struct {
	clock Clock
	until time.Duration
	value T
}

// Give makes a grant of a value under a lease that runs out at a moment of the clock;
// false, and a grant that does not hold, when it ran out before.
func Give[T any](clock Clock, until time.Duration, value T) (Grant[T], bool) {
	if clock.Now() >= until {
		return Grant[T]{}, false
	}
	return Grant[T]{clock: clock, until: until, value: value}, true
}

// Held tells whether the lease still holds.
func (g Grant[T]) Held() bool { return g.clock != nil && g.clock.Now() < g.until }

// Until is when the lease runs out.
func (g Grant[T]) Until() time.Duration { return g.until }

// Value is what was in force when the grant was made; the zero value for the zero grant.
func (g Grant[T]) Value() T { return g.value }

// Holder is a lease without its value, for those who confirm a decision.
type Holder interface{ Held() bool }
