package drill

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"time"

	"linedrum.example/linedrum/bench/audit"
	"linedrum.example/linedrum/bench/fleet"
	"linedrum.example/linedrum/bench/standin"
	"linedrum.example/linedrum/bench/virtual"
	"linedrum.example/linedrum/engine"
)

// Fault is something that can be done to a fleet, alone or among others. Begin
// does it and says how it is undone.
type Fault struct {
	Name   string
	Memory bool // it needs machines in memory
	Begin  func(w *world) (undo func())
}

// world is what a fault acts on; the dice are the seed's.
type world struct {
	*Run
	*rand.Rand
	ground *fleet.Memory
	alone  bool
}

func (w *world) nodes() []*fleet.Node { return slices.Clone(w.Fleet.Nodes[:w.Fleet.Spec.Nodes]) }

func (w *world) disks() []*fleet.Node { return w.nodes()[:w.Fleet.Spec.Disks] }

func (w *world) site() string { return w.Fleet.Spec.Sites[w.IntN(len(w.Fleet.Spec.Sites))] }

// some gives n of a list, by the dice.
func some[T any](w *world, list []T, n int) []T {
	list = slices.Clone(list)
	w.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

func (w *world) machines(nodes []*fleet.Node) (out []*virtual.Machine) {
	for _, n := range nodes {
		out = append(out, w.ground.Machine(n.Listen))
	}
	return out
}

// engineMachines are those of the engines that live now.
func (w *world) engineMachines() (out []*virtual.Machine) {
	for _, e := range w.engines() {
		out = append(out, w.ground.Machine(e.Addr()))
	}
	return out
}

func (w *world) engines() []*standin.Engine {
	var out []*standin.Engine
	for _, site := range w.Fleet.Spec.Sites {
		out = append(out, w.Fleet.EnginesAt(site)...)
	}
	return out
}

// down ends nodes, by a kill or a power loss; undone, they start again.
func (w *world) down(nodes []*fleet.Node, power bool) func() {
	for _, n := range nodes {
		if power && n.Running() {
			w.ground.PowerLoss(n)
		} else {
			n.Kill()
		}
	}
	return func() {
		if w.alone && len(nodes) == len(w.nodes()) {
			w.Fleet.Control.Add(audit.ControlRecord{Act: "back", Began: time.Now().UnixNano()})
		}
		for _, n := range nodes {
			if !n.Running() {
				_ = w.Fleet.StartNode(n)
			}
		}
	}
}

// afterNext takes the power of two disk machines when a count has risen.
func (w *world) afterNext(count func() int) func() {
	before := count()
	_ = fleet.Await(5*time.Second, "the next one", func() bool { return count() > before })
	return w.down(some(w, w.disks(), 2), true)
}

func count[T any](list []T, holds func(T) bool) (n int) {
	for _, one := range list {
		if holds(one) {
			n++
		}
	}
	return n
}

// crash ends engines; undone, they start anew, fresh and without a role.
func (w *world) crash(engines []*standin.Engine, power bool) func() {
	for _, e := range engines {
		if power {
			w.ground.Machine(e.Addr()).Kill(true)
		}
		e.Crash()
	}
	return func() {
		for _, e := range engines {
			_, _ = w.Fleet.RestartEngine(e)
		}
	}
}

// list has the platform say that engines are leaving, or live again.
func (w *world) list(engines []*standin.Engine, leaving bool) {
	for _, e := range engines {
		w.Fleet.Leaving(e.Name, leaving)
	}
	if leaving {
		_, _ = w.Fleet.SendEngines(w.anyNode())
	} else {
		_ = sendEngines(w.Run)
	}
}

// back has the operator bring a zone back in, until some node takes it.
func (w *world) back(site string) error {
	return fleet.Await(20*time.Second, "the zone is back in", func() bool {
		status, _ := w.Fleet.Site(w.anyNode(), site, false)
		return status == http.StatusOK
	})
}

// at lists the nodes of a site.
func (w *world) at(site string) []*fleet.Node {
	return slices.DeleteFunc(w.nodes(), func(n *fleet.Node) bool { return n.Site != site })
}

// signal freezes nodes wherever they are; undone, they wake.
func (w *world) signal(nodes []*fleet.Node) func() {
	for _, n := range nodes {
		n.Signal(syscall.SIGSTOP)
	}
	return w.wake(nodes)
}

func (w *world) wake(nodes []*fleet.Node) func() {
	return func() {
		for _, n := range nodes {
			n.Signal(syscall.SIGCONT)
		}
	}
}

// part cuts the ways from one group to another, and back too unless one way only.
func (w *world) part(from, to []*virtual.Machine, oneWay bool) func() {
	each := func(do func(a, b *virtual.Machine)) {
		for _, a := range from {
			for _, b := range to {
				if a == b {
					continue
				}
				do(a, b)
				if !oneWay {
					do(b, a)
				}
			}
		}
	}
	each(w.ground.Network.Cut)
	return func() { each(w.ground.Network.Mend) }
}

// others are the nodes' machines that are not of a group.
func (w *world) others(group []*virtual.Machine) (out []*virtual.Machine) {
	for _, m := range append(w.machines(w.nodes()), w.engineMachines()...) {
		if !slices.Contains(group, m) {
			out = append(out, m)
		}
	}
	return out
}

// trap has nodes freeze when they write something to one of some machines.
func (w *world) trap(nodes []*fleet.Node, what string, to []*virtual.Machine) func() {
	for _, n := range nodes {
		w.ground.Machine(n.Listen).Trap(what, to)
	}
	return w.wake(nodes)
}

// faulty switches faults of engines on.
func (w *world) faulty(n int, f standin.Faults) func() {
	chosen := some(w, w.engines(), n)
	for _, e := range chosen {
		e.SetFaults(f)
	}
	return func() {
		for _, e := range chosen {
			e.SetFaults(standin.Faults{})
		}
	}
}

// anyNode is a running node by the dice; operators ask whom they like.
func (w *world) anyNode() *fleet.Node {
	for _, n := range some(w, w.nodes(), w.Fleet.Spec.Nodes) {
		if n.Running() {
			return n
		}
	}
	return w.nodes()[0]
}

// edit applies a desk file on what is in force; under faults it may fail.
func (w *world) edit(file []byte) bool {
	based := w.desk
	status, body, _ := w.Fleet.Apply(w.anyNode(), based, fmt.Sprintf("edit-%x", w.Uint64()), file)
	var out struct {
		Serial uint64
		Error  struct{ Serial uint64 }
	}
	_ = json.Unmarshal(body, &out)
	switch status {
	case http.StatusOK:
		w.desk = out.Serial
	case http.StatusConflict:
		w.desk = out.Error.Serial
	}
	return status == http.StatusOK
}

// variant is the deployment's desk file with another word in it.
func (w *world) variant() []byte {
	var file map[string]any
	_ = json.Unmarshal(fleet.DeskFile(w.Fleet.Spec), &file)
	desks, _ := file["desks"].([]any)
	for i := range 1 + w.IntN(3) {
		desks = append(desks, map[string]any{"name": fmt.Sprintf("extra-%d-%x", i, w.Uint32()), "pool": w.Fleet.Spec.Pool, "kinds": []any{
			map[string]any{"name": "k", "expiry": "5s", "queue": 4},
		}})
	}
	file["desks"] = desks
	b, _ := json.Marshal(file)
	return b
}

// Faults lists them; each is run alone, and any may meet any other.
func Faults() []Fault {
	return []Fault{
		{"lose-disk", false, func(w *world) func() { return w.down(some(w, w.disks(), 1), false) }},
		{"lose-all", false, func(w *world) func() { return w.down(w.nodes(), false) }},
		{"lose-zone", false, func(w *world) func() {
			// The platform takes the lost engines off its list, and puts them on again.
			site := w.site()
			lost := w.Fleet.EnginesAt(site)
			engines, down := w.crash(lost, false), w.down(w.at(site), false)
			w.list(lost, true)
			return func() {
				engines()
				down()
				w.list(lost, false)
			}
		}},
		{"kill-one", false, func(w *world) func() { return w.down(some(w, w.nodes(), 1), false) }},
		{"kill-many", false, func(w *world) func() { return w.down(some(w, w.nodes(), 5), false) }},
		{"kill-disks", false, func(w *world) func() { return w.down(w.disks(), false) }},
		{"power-disk", true, func(w *world) func() { return w.down(some(w, w.disks(), 1), true) }},
		{"power-disks", true, func(w *world) func() { return w.down(w.disks(), true) }},
		{"power-nodes", true, func(w *world) func() { return w.down(w.nodes(), true) }},
		{"power-all", true, func(w *world) func() {
			engines, nodes := w.crash(w.engines(), true), w.down(w.nodes(), true)
			return func() { engines(); nodes() }
		}},
		{"power-after-yes", true, func(w *world) func() {
			// An edit was answered with yes: a majority of the disks loses power at once.
			w.edit(w.variant())
			return w.down(some(w, w.disks(), 2), true)
		}},
		{"power-after-claim", true, func(w *world) func() {
			// A key was claimed, and its prompt is being read.
			return w.afterNext(func() int {
				return count(w.Fleet.Book.All(), func(e audit.EngineRecord) bool { return e.Event == audit.EventRun && e.Phase == engine.Prefill })
			})
		}},
		{"power-after-done", true, func(w *world) func() {
			// A check's end was recorded, and its caller has the reply.
			return w.afterNext(func() int {
				return count(w.Fleet.Callers.All(), func(c audit.CallerRecord) bool { return c.Key != "" && c.Whole })
			})
		}},
		{"stall-disk", true, func(w *world) func() {
			d := w.ground.Disk(some(w, w.disks(), 1)[0])
			d.Stall(true)
			return func() { d.Stall(false) }
		}},
		{"stall-disks", true, func(w *world) func() {
			chosen := some(w, w.disks(), 2)
			for _, n := range chosen {
				w.ground.Disk(n).Stall(true)
			}
			return func() {
				for _, n := range chosen {
					w.ground.Disk(n).Stall(false)
				}
			}
		}},
		{"slow-disks", true, func(w *world) func() {
			for _, n := range w.disks() {
				w.ground.Disk(n).Slow(40 * time.Millisecond)
			}
			return func() {
				for _, n := range w.disks() {
					w.ground.Disk(n).Slow(2 * time.Millisecond)
				}
			}
		}},
		{"fail-disk", true, func(w *world) func() {
			n := some(w, w.disks(), 1)[0]
			w.ground.Disk(n).Fail(true)
			return func() {
				n.Kill() // while its disk still refuses
				_ = w.Fleet.StartNode(n)
			}
		}},
		{"freeze-one", false, func(w *world) func() { return w.signal(some(w, w.nodes(), 1)) }},
		{"freeze-many", false, func(w *world) func() { return w.signal(some(w, w.nodes(), 4)) }},
		{"freeze-at-go", true, func(w *world) func() { return w.trap(w.nodes(), "POST /v1/completions", w.engineMachines()) }},
		{"freeze-at-order", true, func(w *world) func() {
			// Some engines restart, so that there is something to order.
			back := w.crash(some(w, w.engines(), 3), false)
			undo := w.trap(w.nodes(), "POST /linedrum/role", w.engineMachines())
			back()
			return undo
		}},
		{"freeze-at-disk", true, func(w *world) func() {
			return w.trap(some(w, w.nodes(), 4), "", w.machines(w.disks()))
		}},
		{"isolate-one", true, func(w *world) func() {
			m := w.machines(some(w, w.nodes(), 1))
			return w.part(m, w.others(m), false)
		}},
		{"core-apart", true, func(w *world) func() { d := w.machines(w.disks()); return w.part(d, d, false) }},
		{"core-off", true, func(w *world) func() {
			d := w.machines(w.disks())
			return w.part(d, w.others(d), false)
		}},
		{"core-split", true, func(w *world) func() {
			side := append(w.machines(some(w, w.disks(), 1)), w.machines(some(w, w.nodes()[3:], 3))...)
			return w.part(side, w.others(side), false)
		}},
		{"one-way", true, func(w *world) func() {
			m := w.machines(some(w, w.nodes(), 2))
			return w.part(m, w.others(m), true)
		}},
		{"zone-cut", true, func(w *world) func() {
			site := w.site()
			var side []*virtual.Machine
			for _, m := range w.others(nil) {
				if m.Site == site {
					side = append(side, m)
				}
			}
			return w.part(side, w.others(side), false)
		}},
		{"zone-power", true, func(w *world) func() {
			site := w.site()
			engines, down := w.crash(w.Fleet.EnginesAt(site), true), w.down(w.at(site), true)
			return func() { engines(); down() }
		}},
		{"lossy", true, func(w *world) func() {
			w.ground.Network.Lose(0.2)
			return func() { w.ground.Network.Lose(0) }
		}},
		{"engines-crash", false, func(w *world) func() { return w.crash(some(w, w.engines(), 2), false) }},
		{"engines-power", true, func(w *world) func() { return w.crash(some(w, w.engines(), 2), true) }},
		{"engines-cut", true, func(w *world) func() {
			m := some(w, w.engineMachines(), 3)
			return w.part(m, w.others(m), false)
		}},
		{"engine-dark", false, func(w *world) func() { return w.faulty(1, standin.Faults{Dark: true}) }},
		{"engine-breaks", false, func(w *world) func() { return w.faulty(2, standin.Faults{CutAfter: 2}) }},
		{"engines-refuse", false, func(w *world) func() { return w.faulty(len(w.engines())/2, standin.Faults{Refuse: true}) }},
		{"slow-links", false, func(w *world) func() { return w.faulty(3, standin.Faults{SlowLink: 300 * time.Millisecond}) }},
		{"lapse", false, func(w *world) func() { return w.faulty(len(w.engines()), standin.Faults{Lapse: true}) }},
		{"desk-edit", false, func(w *world) func() { w.edit(w.variant()); return func() { w.edit(w.variant()) } }},
		{"desk-burst", false, func(w *world) func() {
			for range 6 {
				w.edit(w.variant())
			}
			return func() {}
		}},
		{"zone-emptied", false, func(w *world) func() {
			site := w.site()
			_, _ = w.Fleet.Site(w.anyNode(), site, true)
			return func() { _ = w.back(site) }
		}},
		{"engines-leave", false, func(w *world) func() {
			chosen := some(w, w.engines(), 3)
			w.list(chosen, true)
			return func() { w.list(chosen, false) }
		}},
		{"planned-stop", false, func(w *world) func() {
			n := some(w, w.nodes(), 1)[0]
			if !n.Running() {
				return func() {}
			}
			done := make(chan struct{})
			w.Fleet.Crew().Start(func(context.Context) {
				_ = w.Fleet.StopNode(n)
				close(done)
			})
			return func() {
				n.Signal(syscall.SIGCONT) // another fault may have frozen it meanwhile
				<-done
				if !n.Running() {
					_ = w.Fleet.StartNode(n)
				}
			}
		}},
	}
}

// Alone is the drill of one fault.
func (f Fault) Alone(span time.Duration, seed uint64) Drill {
	return Drill{Name: f.Name, About: "one fault, begun and undone", Span: span, Steps: func(r *Run) []Step {
		ground, _ := r.Fleet.Ground.(*fleet.Memory)
		w := &world{r, rand.New(rand.NewPCG(seed, 3)), ground, true}
		var undo func()
		return []Step{
			at(0.20, span, f.Name, func(*Run) error { undo = f.Begin(w); return nil }),
			at(0.55, span, "it is over", func(*Run) error { undo(); return nil }),
			at(0.97, span, "all nodes are to be ready", awaitServing),
		}
	}}
}

// Mixture has several faults, which the seed picks, begin and end in any order.
func Mixture(span time.Duration, seed uint64) Drill {
	return Drill{Name: "mixture", About: "several faults at once, picked by the seed", Span: span, Steps: func(r *Run) []Step {
		w := &world{r, rand.New(rand.NewPCG(seed, 5)), r.Fleet.Ground.(*fleet.Memory), false}
		steps := []Step{at(0.97, span, "all nodes are to be ready", awaitServing)}
		for _, f := range some(w, Faults(), 6) {
			begin := 0.1 + 0.4*w.Float64()
			end := min(begin+0.05+0.3*w.Float64(), 0.75)
			undo := func() {}
			steps = append(steps,
				at(begin, span, f.Name, func(*Run) error { undo = f.Begin(w); return nil }),
				at(end, span, f.Name+" is over", func(*Run) error { undo(); return nil }))
		}
		// Nothing stays frozen or down by a fault that another one hid.
		return append(steps, at(0.8, span, "everything is well", func(*Run) error {
			w.ground.Network.Heal()
			for _, n := range w.nodes() {
				n.Signal(syscall.SIGCONT)
				if !n.Running() {
					if err := w.Fleet.StartNode(n); err != nil {
						return err
					}
				}
			}
			for _, site := range r.Fleet.Spec.Sites {
				if err := w.back(site); err != nil {
					return err
				}
			}
			return sendEngines(r)
		}))
	}}
}
