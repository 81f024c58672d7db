package sim

import (
	"context"
	"encoding/json"
	"fmt"
	"iter"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"linedrum.example/linedrum/control"
	"linedrum.example/linedrum/core"
	"linedrum.example/linedrum/desk"
	"linedrum.example/linedrum/register"
	"linedrum.example/linedrum/verdict"
)

// Operators as the users have them: each sends an order to some node, to another one when
// that says nothing for a second, gives no clear answer, or its answer is lost, and goes
// on when it was acknowledged or refused. What a node was handed goes on there all the
// while, through a freeze and a cut too.

const (
	editors     = 8
	silence     = time.Second
	repeatsFor  = 4 * time.Second // of an evacuation order
	lostAnswers = 0.25
	patience    = 4 * time.Second
	keepApplies = 24 * time.Second
	thawCalm    = 500 * time.Millisecond
)

// handler is one order in the hands of one node. The product's code waits for its
// operations; here it is a coroutine that goes on when they end.
type handler struct {
	fleet *operated
	node  *Node
	yield func(register.Request) bool
	reply register.Result
}

type operated struct {
	*World
	thawed map[*Node]time.Duration
	keep   time.Duration
	open   []func() // ends handlers that never go on
}

func (h *handler) Do(_ context.Context, req register.Request) register.Result {
	h.yield(req)
	return h.reply
}

func (h *handler) OpID() string                   { return h.node.Core.OpID() }
func (h *handler) Hurry()                         { h.node.Core.Keeper.Hurry() }
func (h *handler) Seen(key string) register.Entry { return h.node.Core.Keeper.Cell(key) }
func (h *handler) Now() time.Duration             { return h.fleet.Now() + h.node.Offset }
func (h *handler) Awake() bool {
	at, froze := h.fleet.thawed[h.node]
	return !froze || h.fleet.Now()-at >= thawCalm
}

// answer is what a node says to an order; the zero value is no clear answer.
type answer int

const (
	unclear answer = iota
	acked
	refused
)

func answerOf(o control.Outcome, fault *verdict.Error) answer {
	switch {
	case fault != nil:
		return unclear
	case o.Outcome == register.Done:
		return acked
	case o.Outcome == register.Conflict:
		return refused
	}
	return unclear
}

// hand gives a node an order, and says what it answered if it ever does.
func (f *operated) hand(n *Node, order func(c *control.Control) answer, said func(answer)) {
	n.enter(func() {
		h := &handler{fleet: f, node: n}
		var out answer
		next, stop := iter.Pull(iter.Seq[register.Request](func(yield func(register.Request) bool) {
			h.yield = yield
			out = order(control.New(h, h, patience/2, f.keep))
		}))
		f.open = append(f.open, stop)
		var step func()
		step = func() {
			req, more := next()
			if !more {
				said(out)
				return
			}
			n.Do(req, func(r register.Result) {
				h.reply = r
				step()
			})
		}
		step()
	})
}

// send has an operator send an order until it is clear what became of it, or for so long.
func (f *operated) send(order func(c *control.Control) answer, limit time.Duration, heard func(a answer, at *Node), ended func(answer)) {
	until := f.Now() + limit
	var try func()
	try = func() {
		if f.Now() >= until {
			ended(unclear)
			return
		}
		n := f.Nodes[f.Rand.IntN(len(f.Nodes))]
		over := false
		again := func(pause time.Duration) {
			if !over {
				over = true
				f.At(pause, try)
			}
		}
		f.At(f.delay(), func() {
			f.hand(n, order, func(a answer) {
				heard(a, n)
				if f.Rand.Float64() < lostAnswers {
					return
				}
				f.At(f.delay(), func() {
					switch {
					case over:
					case a == unclear:
						again(100 * time.Millisecond)
					default:
						over = true
						ended(a)
					}
				})
			})
		})
		f.At(silence, func() { again(0) })
	}
	try()
}

func (f *operated) delay() time.Duration {
	return f.MinDelay + time.Duration(f.Rand.Int64N(int64(f.MaxDelay)))
}

// upset cuts, freezes and kills nodes one at a time, each for up to three seconds.
func (f *operated) upset(until time.Duration) {
	if f.Now() >= until {
		return
	}
	n := f.Nodes[f.Rand.IntN(len(f.Nodes))]
	span := 300*time.Millisecond + time.Duration(f.Rand.Int64N(int64(2700*time.Millisecond)))
	end := func() {}
	switch f.Rand.IntN(3) {
	case 0:
		n.Freeze()
		end = func() {
			f.thawed[n] = f.Now()
			n.Thaw()
		}
	case 1:
		f.Split(n)
		end = f.Heal
	case 2:
		n.Crash(f.Rand.IntN(2) == 0)
		end = n.Start
	}
	f.At(span, func() {
		end()
		f.At(time.Duration(f.Rand.Int64N(int64(time.Second))), func() { f.upset(until) })
	})
}

// change is one configuration that an operator sends.
type change struct {
	base           uint64
	acked, refused bool
}

type operatorsRun struct {
	wrong                  []string
	taken, repeats, orders int
}

// leftOut is what a run plays without.
type leftOut struct {
	fence  bool // of evacuations
	memory bool // of changes, by time
}

// operators plays editors of the desk file and one operator who empties a site and brings
// it back.
func operators(seed uint64, without leftOut) (out operatorsRun) {
	f := &operated{World: calm(seed, small, 3), thawed: map[*Node]time.Duration{}, keep: keepApplies}
	if without.memory {
		f.keep = 0
	}
	defer func() {
		for _, stop := range f.open {
			stop()
		}
	}()
	end := f.Now() + 16*time.Second
	wrong := func(format string, args ...any) { out.wrong = append(out.wrong, fmt.Sprintf(format, args...)) }
	changes := map[string]*change{}
	var version uint64
	var edit func(editor, i int)
	edit = func(editor, i int) {
		if f.Now() >= end {
			return
		}
		id := fmt.Sprintf("e%d-%d", editor, i)
		c := &change{base: version}
		changes[id] = c
		f.send(func(k *control.Control) answer {
			o, fault := k.ApplyDesk(context.Background(), control.Edit{File: []byte("{}"), Base: c.base, ID: id})
			if o.Repeated {
				out.repeats++
			}
			return answerOf(o, fault)
		}, time.Minute, func(a answer, _ *Node) {
			c.acked, c.refused = c.acked || a == acked, c.refused || a == refused
			if a == acked {
				version = max(version, c.base+1)
			}
		}, func(answer) {
			f.At(time.Duration(f.Rand.Int64N(int64(300*time.Millisecond))), func() { edit(editor, i+1) })
		})
	}
	for editor := range editors {
		edit(editor, 0)
	}
	var turn func(empty bool)
	turn = func(empty bool) {
		if f.Now() >= end {
			return
		}
		out.orders++
		f.send(func(k *control.Control) answer {
			if without.fence {
				o, fault := k.Change(context.Background(), core.KeySites, func(register.Entry) []byte {
					return []byte(fmt.Sprintf(`{"empty":{"z":%t}}`, empty))
				})
				return answerOf(o, fault)
			}
			o, _, fault := k.EmptySite(context.Background(), "z", empty)
			return answerOf(o, fault)
		}, repeatsFor, func(answer, *Node) {}, func(a answer) {
			// By then some permit shows it; and nobody orders anything meanwhile.
			calm := time.Second + time.Duration(f.Rand.Int64N(int64(2*time.Second)))
			f.At(calm, func() {
				if _, stands := sitesOf(f); a == acked && stands["z"] != empty {
					wrong("an order (empty: %t) was acknowledged, and is undone %v later", empty, calm)
				}
				turn(!empty)
			})
		})
	}
	turn(true)
	f.upset(end)
	f.Run(end - f.Now() + 8*time.Second)

	stored := storedOf(f)
	taken := map[uint64]string{}
	for _, a := range stored.Applied {
		if had, twice := taken[a.Serial]; twice {
			wrong("%s and %s were taken under one serial", had, a.ID)
		}
		taken[a.Serial] = a.ID
	}
	out.taken = len(stored.Applied)
	for id, c := range changes {
		_, had := stored.Find(id)
		switch {
		case c.acked && !had:
			wrong("%s was acknowledged, and is not there", id)
		case had && c.refused:
			wrong("%s was taken, and refused", id)
		}
	}
	return out
}

// newest is the newest cell of a key that any node's permit has shown: it is chosen.
func newest(f *operated, key string) (best register.Entry) {
	for _, n := range f.Nodes {
		if n.Core != nil && n.Core.Keeper.Cell(key).Newer(best) {
			best = n.Core.Keeper.Cell(key)
		}
	}
	return best
}

func sitesOf(f *operated) (uint64, map[string]bool) {
	cell := newest(f, core.KeySites)
	var state struct {
		Empty map[string]bool `json:"empty"`
	}
	_ = json.Unmarshal(cell.Value, &state)
	return cell.Serial, state.Empty
}

func storedOf(f *operated) desk.Stored {
	stored, _ := desk.DecodeStored(newest(f, core.KeyDesk).Value)
	return stored
}

func TestOperators(t *testing.T) {
	Convey("nine operators at once, with answers lost and nodes killed, cut and frozen", t, func() {
		first, last := seeds(12)
		taken, repeats, orders := 0, 0, 0
		for seed := first; seed <= last; seed++ {
			run := operators(seed, leftOut{})
			SoMsg(fmt.Sprint("seed ", seed), run.wrong, ShouldBeEmpty)
			taken, repeats, orders = taken+run.taken, repeats+run.repeats, orders+run.orders
		}
		t.Logf("%d changes taken, %d repeats known again, %d evacuation orders", taken, repeats, orders)
		So(repeats, ShouldBeGreaterThan, 0)
	})
	Convey("the check notices what is left out", t, func() {
		for name, without := range map[string]leftOut{
			"the fence of evacuations":      {fence: true},
			"the memory of changes by time": {memory: true},
		} {
			Convey(name, func() {
				first, last := seeds(60)
				var wrong []string
				for seed := first; seed <= last && len(wrong) == 0; seed++ {
					wrong = operators(seed, without).wrong
				}
				So(wrong, ShouldNotBeEmpty)
				t.Log(name, wrong[0])
			})
		}
	})
}
