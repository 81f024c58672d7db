// Package roles plans which engines of a pool read and which write (design.md
// section 4.5). The plan is pure; one owner per pool records it, then orders it.
package roles

import (
	"sort"
	"time"

	"linedrum.example/linedrum/engine"
)

// State is one engine as the owner sees it.
type State struct {
	Name   string
	Site   string
	Usable bool // listed live, its site not emptied, and it reports
	Use    float64
	// Plays is the role that the engine plays already, where orders are dear; empty
	// where it plays none before it is told to.
	Plays string
}

// Use is how busy an engine is, 1 for one that keeps its requests waiting for about
// half of an aim: a writer by its slots, a reader by the prompts before it, which it
// reads one after the other whatever its slots are.
func Use(role string, load engine.Load, slots int) float64 {
	n := float64(load.Running + load.Waiting)
	if role == engine.Prefill {
		return n / readerFull
	}
	return n / float64(max(slots, 1))
}

// readerFull prompts of the mean rest of 1600 tokens, at 57 tokens a ms, take 225 ms.
const readerFull = 8

// Timing of shifts: an imbalance must last, and shifts keep a distance.
type Timing struct{ Lasts, Apart time.Duration }

// Planner remembers how long the present imbalance lasts.
type Planner struct {
	timing  Timing
	leaning string // the role that wants one more engine
	since   time.Duration
	shifted time.Duration
	started bool
	missing time.Duration // since when no engine reads
	misses  bool
}

// New makes a planner.
func New(timing Timing) *Planner { return &Planner{timing: timing} }

// tilt is how much busier one role must be before an engine changes over: its
// inverse is the band in which nothing moves.
const tilt = 1.6

// worthIt is how busy a role must be before engines that play roles already are
// ordered over: below it nobody waits, and an order costs as much as a tenth of a
// request and an engine for a second and a half.
const worthIt = 0.5

// Plan derives the next table from the one in force; changed is false when it stands.
func (p *Planner) Plan(now time.Duration, old map[string]string, states []State, minPrefill, minDecode int) (next map[string]string, changed bool) {
	sort.Slice(states, func(i, j int) bool { return states[i].Name < states[j].Name })
	next = map[string]string{}
	listed := map[string]bool{}
	usable, dear := 0, false
	for _, s := range states {
		listed[s.Name] = true
		if s.Usable {
			usable++
		}
		dear = dear || s.Plays != ""
		switch role := old[s.Name]; {
		case role != "":
			next[s.Name] = role
		case s.Plays != "":
			// It goes on as it is: no order is needed.
			next[s.Name] = s.Plays
			changed = true
		}
	}
	for name := range old {
		if !listed[name] {
			changed = true
		}
	}
	// Fewer engines than the minima ask for: each role keeps one while two live.
	if minPrefill+minDecode > usable {
		minPrefill, minDecode = min(minPrefill, 1), min(minDecode, 1)
	}
	for _, s := range states {
		if next[s.Name] == "" && s.Usable {
			next[s.Name] = p.place(next, states, s)
			changed = true
		}
	}
	for _, role := range []string{engine.Prefill, engine.Decode} {
		need := minPrefill
		if role == engine.Decode {
			need = minDecode
		}
		if dear && role == engine.Prefill && !p.lacking(now, count(next, states, role, "") < need) {
			continue
		}
		for count(next, states, role, "") < need && p.move(next, states, other(role), role, 2) {
			changed = true
			p.shifted, p.started = now, true
		}
	}
	if dear && p.spare(now, next, states, minDecode, len(old) == 0) {
		changed = true
	}
	if changed {
		return next, true
	}
	return next, p.shift(now, next, states, minPrefill, minDecode, dear)
}

// Ratios of writers to all engines, where engines begin in roles that nobody planned.
const (
	oneWrites = 3   // one in three writes: a stream takes a slot of 64, a prompt an engine
	lightUse  = 0.4 // of their slots, for what the others have to bear
)

// spare turns writers into readers while a third of the engines, and one in each site,
// can write for all: at the beginning at once, later one at a time. Reading is what
// replies wait for, and writers are hardly busy (section 4.5).
func (p *Planner) spare(now time.Duration, next map[string]string, states []State, minDecode int, first bool) bool {
	usable, sites := 0, map[string]bool{}
	for _, s := range states {
		if s.Usable {
			usable++
			sites[s.Site] = true
		}
	}
	if count(next, states, engine.Prefill, "") == 0 {
		return false // readers are lacking: that waits out a crash (lacking)
	}
	keep := max(minDecode, len(sites), (usable+oneWrites-1)/oneWrites)
	done := false
	for {
		writers := count(next, states, engine.Decode, "")
		if writers <= keep || !first && (done || now-p.shifted < p.timing.Lasts || use(next, states, engine.Decode)*float64(writers)/float64(writers-1) > lightUse) {
			return done
		}
		if !p.move(next, states, engine.Decode, engine.Prefill, keep+1) {
			return done
		}
		done, p.shifted, p.started = true, now, true
	}
}

// lacking tells whether readers have been too few for long enough. Writers read by
// themselves meanwhile, and most engines that fell silent are back sooner.
func (p *Planner) lacking(now time.Duration, lacks bool) bool {
	if lacks != p.misses {
		p.misses, p.missing = lacks, now
	}
	return lacks && now-p.missing >= p.timing.Lasts
}

// shift moves one engine when one role has been the busier one for long enough.
func (p *Planner) shift(now time.Duration, next map[string]string, states []State, minPrefill, minDecode int, dear bool) bool {
	reading, writing := use(next, states, engine.Prefill), use(next, states, engine.Decode)
	leaning := ""
	switch {
	case reading > tilt*writing+0.1:
		leaning = engine.Prefill
	case writing > tilt*reading+0.1:
		leaning = engine.Decode
	}
	if dear && max(reading, writing) < worthIt {
		leaning = ""
	}
	if leaning != p.leaning {
		p.leaning, p.since = leaning, now
	}
	if leaning == "" || now-p.since < p.timing.Lasts || p.started && now-p.shifted < p.timing.Apart {
		return false
	}
	from, floor := other(leaning), minDecode
	if from == engine.Prefill {
		floor = minPrefill
	}
	n := count(next, states, from, "")
	// What leaves the quieter role must not make it the busier one at once.
	quiet, busy := writing, reading
	if leaning == engine.Decode {
		quiet, busy = reading, writing
	}
	m := count(next, states, leaning, "")
	if n <= floor || n < 2 || quiet*float64(n)/float64(n-1) > busy*float64(m)/float64(m+1) {
		return false
	}
	if !p.move(next, states, from, leaning, floor+1) {
		return false
	}
	p.shifted, p.started, p.since = now, true, now
	return true
}

func other(role string) string {
	if role == engine.Prefill {
		return engine.Decode
	}
	return engine.Prefill
}

func use(table map[string]string, states []State, role string) float64 {
	sum, n := 0.0, 0
	for _, s := range states {
		if s.Usable && table[s.Name] == role {
			sum += s.Use
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

func count(table map[string]string, states []State, role, site string) int {
	n := 0
	for _, s := range states {
		if s.Usable && table[s.Name] == role && (site == "" || s.Site == site) {
			n++
		}
	}
	return n
}

// place gives a newcomer the role that its site lacks, and a third of all the reading.
func (p *Planner) place(table map[string]string, states []State, s State) string {
	readers, writers := count(table, states, engine.Prefill, ""), count(table, states, engine.Decode, "")
	switch {
	case readers == 0:
		return engine.Prefill
	case writers == 0:
		return engine.Decode
	case count(table, states, engine.Prefill, s.Site) == 0 && 2*readers <= writers+2:
		return engine.Prefill
	case 2*readers < writers:
		return engine.Prefill
	}
	return engine.Decode
}

// move turns one usable engine over, out of the site that has the most of its
// role, the least busy first; it keeps at least keep-1 behind.
func (p *Planner) move(table map[string]string, states []State, from, to string, keep int) bool {
	if count(table, states, from, "") < keep {
		return false
	}
	var chosen *State
	for i := range states {
		s := &states[i]
		if !s.Usable || table[s.Name] != from {
			continue
		}
		if chosen == nil {
			chosen = s
			continue
		}
		a, b := count(table, states, from, s.Site), count(table, states, from, chosen.Site)
		if a > b || a == b && s.Use < chosen.Use {
			chosen = s
		}
	}
	if chosen == nil {
		return false
	}
	table[chosen.Name] = to
	return true
}

// Steady is a plan less what it needs orders for, while none may be given: engines keep
// their roles, and new ones go on with what they play.
func Steady(old, next map[string]string, states []State) map[string]string {
	plays := map[string]string{}
	for _, s := range states {
		plays[s.Name] = s.Plays
	}
	out := make(map[string]string, len(next))
	for name, role := range next {
		switch {
		case old[name] != "":
			role = old[name]
		case plays[name] != "":
			role = plays[name]
		}
		out[name] = role
	}
	return out
}
