// Package admission holds the bounded queues of a node, one a kind of caller, and
// lets the head of each in by turns, so that a crowd at one desk does not starve
// the people at another (design.md section 5.3).
package admission

import (
	"sync"
	"time"
)

// Waiter is one request in a queue.
type Waiter struct {
	grant   chan struct{}
	line    *line
	granted bool
	given   bool // it was given up
	entered time.Duration
	until   time.Duration // past which a turn is of no use
	aim     time.Duration // 0: none
	left    time.Duration
	free    func() bool
	gaveUp  time.Duration // when to come back, once it was given up
	try     func() bool   // reserves engines; true when it got them
}

// Granted is closed once the waiter's turn came and its try succeeded, or once it
// was given up.
func (w *Waiter) Granted() <-chan struct{} { return w.grant }

// GaveUp tells, once Granted is closed, whether the waiter was given up, and when
// to come back.
func (w *Waiter) GaveUp() (bool, time.Duration) { return !w.granted, w.gaveUp }

type line struct {
	key     string
	share   int
	pass    float64
	queue   []*Waiter
	granted time.Duration // last grant
	behind  bool          // somebody was left waiting by it
	pace    time.Duration // smoothed time between grants to those who wait
}

// wait is how long a place in the line is likely to take.
func (l *line) wait(place int) time.Duration { return time.Duration(place) * l.pace }

// Clock is boot time.
type Clock interface{ Now() time.Duration }

// Gate is safe for concurrent use. Its lock is taken before the engine table's (section 7.2).
type Gate struct {
	mu    sync.Mutex
	clock Clock
	lines map[string]*line
	pass  float64
}

// New makes a gate without waiters.
func New(clock Clock) *Gate { return &Gate{clock: clock, lines: map[string]*line{}} }

// Full says whether a kind's queue takes no more, and when to come back.
func (g *Gate) Full(key string, bound int, left time.Duration) (bool, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.lines[key]
	full := l != nil && len(l.queue) > 0 && bound > 0 && (len(l.queue) >= bound || l.wait(len(l.queue)) > left/2)
	return full, g.comeBack(l)
}

func (g *Gate) comeBack(l *line) time.Duration {
	if l == nil {
		return time.Second
	}
	return min(max(l.wait(len(l.queue)), time.Second), 30*time.Second)
}

// Enter queues a waiter, or lets it in at once. A bound of 0 lets nobody wait, and
// nobody waits for longer than half of the time that is left to it: who would is
// told so now, and who turns out to would is given up then, not at its expiry.
// False means that the queue is full: come back after the time given.
func (g *Gate) Enter(key string, share, bound int, left time.Duration, try func() bool) (*Waiter, bool, time.Duration) {
	return g.Admit(key, Terms{Share: share, Bound: bound, Left: left}, try)
}

// Terms of a waiter.
type Terms struct {
	Share int           // turns beside other kinds
	Bound int           // of the queue; 0: nobody waits
	Left  time.Duration // to the request's expiry
	// Aim is what is left of the time within which a first piece is in time; 0: none.
	// Who would come too late for it is turned away at once, or within a quarter of
	// it, and comes back as a new request; past that quarter it is kept, since to be
	// late is worth more than to be refused late (section 5.3).
	Aim time.Duration
	// Free tells that at least half of the places of the engines are free and nothing
	// waits there; nobody is turned away then, whatever the pace was. nil: never. It
	// is called under the gate's lock.
	Free func() bool
}

// Ratios to the aim.
const (
	cheapPart = 4 // a refusal within this part of the aim costs nothing
	startPart = 2 // whoever gets its turn within this part can still be in time
)

// useful is until when a turn is of use, for one that entered then. Where an aim is
// given, holding a request without an offer for half of its time costs as much as
// losing it: it is given up a little before, since its time began before it came here.
func (t Terms) useful(now time.Duration) time.Duration {
	if t.Aim > 0 {
		return now + t.Left*9/20
	}
	return now + t.Left/2
}

// Admit is Enter with all terms.
func (g *Gate) Admit(key string, t Terms, try func() bool) (*Waiter, bool, time.Duration) {
	share, bound, left := t.Share, t.Bound, t.Left
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.lines[key]
	if l == nil {
		l = &line{key: key, pace: 50 * time.Millisecond}
		g.lines[key] = l
	}
	l.share = max(share, 1)
	if len(l.queue) == 0 {
		// A kind that was idle does not save its turns up.
		l.pass = max(l.pass, g.pass)
	}
	now := g.clock.Now()
	w := &Waiter{grant: make(chan struct{}), line: l, entered: now, until: t.useful(now), aim: t.Aim, left: left, free: t.Free, try: try}
	l.queue = append(l.queue, w)
	g.pump()
	if w.given {
		return nil, false, w.gaveUp
	}
	if place := len(l.queue); !w.granted && (place > bound || place > 1 && l.wait(place-1) > left/2 || w.tooLate(now, place-1)) && !w.room() {
		g.remove(w)
		return nil, false, g.comeBackFor(l, t)
	}
	return w, true, 0
}

// room tells that there are places enough, so that the pace says nothing.
func (w *Waiter) room() bool { return w.free != nil && w.free() }

// tooLate tells, while a refusal is cheap, that the turn will not come in time for the aim.
func (w *Waiter) tooLate(now time.Duration, before int) bool {
	if w.aim <= 0 {
		return false
	}
	waited := now - w.entered
	return waited <= w.aim/cheapPart && waited+w.line.wait(before) > w.aim/startPart
}

// comeBackFor is comeBack for those who wait for less than a second at all.
func (g *Gate) comeBackFor(l *line, t Terms) time.Duration {
	if t.Aim <= 0 {
		return g.comeBack(l)
	}
	// Callers come back as told up to a third of the time that is left to them.
	return min(max(l.wait(len(l.queue)), t.Aim/startPart), max(t.Left/4, t.Aim/startPart))
}

// Leave takes a waiter out; true means that it had been let in, and its
// reservation is the caller's to give back.
func (g *Gate) Leave(w *Waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !w.granted {
		g.remove(w)
	}
	return w.granted
}

func (g *Gate) remove(w *Waiter) {
	for i, o := range w.line.queue {
		if o == w {
			w.line.queue = append(w.line.queue[:i], w.line.queue[i+1:]...)
			break
		}
	}
	if len(w.line.queue) == 0 && w.line.pass <= g.pass {
		delete(g.lines, w.line.key)
	}
}

// Pump lets in whoever can be; it is called when capacity may have come free.
func (g *Gate) Pump() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pump()
}

// shed gives up those whose turn would come too late.
func (g *Gate) shed() {
	now := g.clock.Now()
	for _, l := range g.lines {
		var kept []*Waiter
		for _, w := range l.queue {
			late := now+l.wait(len(kept)) > w.until || w.tooLate(now, len(kept))
			if !late || now <= w.until && w.room() {
				kept = append(kept, w)
				continue
			}
			w.gaveUp = g.comeBackFor(l, Terms{Aim: w.aim, Left: w.left})
			w.given = true
			close(w.grant)
		}
		l.queue = kept
	}
}

// pump gives turns by stride: the line with the lowest pass goes first, and pays 1/share.
func (g *Gate) pump() {
	g.shed()
	blocked := map[*line]bool{}
	for {
		var next *line
		for _, l := range g.lines {
			if len(l.queue) == 0 || blocked[l] {
				continue
			}
			if next == nil || l.pass < next.pass || l.pass == next.pass && l.key < next.key {
				next = l
			}
		}
		if next == nil {
			return
		}
		w := next.queue[0]
		if !w.try() {
			blocked[next] = true
			continue
		}
		next.queue = next.queue[1:]
		g.pass = max(g.pass, next.pass)
		next.pass += 1 / float64(next.share)
		now := g.clock.Now()
		// Without somebody waiting the pace is that of arrivals, which says nothing.
		if next.behind {
			next.pace += (now - next.granted - next.pace) / 8
		}
		next.granted, next.behind = now, len(next.queue) > 0
		w.granted = true
		close(w.grant)
	}
}

// Waiting counts each line, for the status page.
func (g *Gate) Waiting() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[string]int{}
	for key, l := range g.lines {
		out[key] = len(l.queue)
	}
	return out
}
