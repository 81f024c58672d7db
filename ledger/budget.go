package ledger

import "time"

// Budget is one node's part of the fleet's retry budget (design.md section 5.6).
// Its share of the fixed extra is that of the configured fleet, or of the table
// (core.Fleet) where that is larger, so that parts of a split fleet cannot exceed the whole.
// A node that has just started has no fixed share until one window has passed:
// its earlier life may have spent it.
type Budget struct {
	Share  float64
	Extra  int
	Window time.Duration
	Size   int // nodes of the whole fleet, at least; 0: as the table has it
	// Unsure says that the table may hold less than the fleet: where the size is not
	// given, there is no fixed share then.
	Unsure bool

	started time.Duration
	most    int // nodes, of all tables seen: a node cut off sees fewer, and may spend no more
	real    []time.Duration
	repeats []time.Duration
}

// NewBudget starts empty at the given boot time.
func NewBudget(share float64, extra int, window time.Duration, size int, now time.Duration) *Budget {
	return &Budget{Share: share, Extra: extra, Window: window, Size: size, started: now}
}

func (b *Budget) trim(now time.Duration) {
	// Real traffic is counted over a little less than the window, since it was
	// sent a little before it arrived here.
	b.real = since(b.real, now-b.Window*9/10)
	b.repeats = since(b.repeats, now-b.Window)
}

func since(times []time.Duration, from time.Duration) []time.Duration {
	i := 0
	for i < len(times) && times[i] <= from {
		i++
	}
	return times[i:]
}

// Real notes one request that arrived.
func (b *Budget) Real(now time.Duration) {
	b.trim(now)
	b.real = append(b.real, now)
}

// May tells whether one more repeated go is within the budget.
func (b *Budget) May(now time.Duration, table int) bool {
	b.trim(now)
	allowed := b.Share * float64(len(b.real))
	b.most = max(b.most, table)
	if now >= b.started+b.Window && (b.Size > 0 || !b.Unsure) {
		allowed += float64(b.Extra) / float64(max(b.Size, b.most, 1))
	}
	return float64(len(b.repeats)+1) <= allowed
}

// Spend notes one repeated go.
func (b *Budget) Spend(now time.Duration) { b.repeats = append(b.repeats, now) }
