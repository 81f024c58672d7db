package budget

import "time"

// Budget is all that a process may hold for its peers.
type Budget struct {
	Plan  Plan
	pools [classes]*Pool
}

// MovingRate is how many bytes a second a peer must move of what it has the process hold, to
// be spared when others need it.
const MovingRate = 64 << 10

// Make makes the budget of a process by its limits and its clock; grace is how long a peer
// that moves nothing is spared.
func Make(limits Limits, grace time.Duration, now func() time.Duration) *Budget {
	b := &Budget{Plan: PlanFor(limits)}
	for class := range b.pools {
		b.pools[class] = New(b.Plan.Shares[class], Pace{Grace: grace, Rate: MovingRate}, now)
	}
	return b
}

// Pool gives out the share of a class.
func (b *Budget) Pool(class Class) *Pool { return b.pools[class] }

// Counts tells how each class stands, by its name.
func (b *Budget) Counts() map[string]Counts {
	out := map[string]Counts{}
	for class, pool := range b.pools {
		out[Class(class).String()] = pool.Counts()
	}
	return out
}
