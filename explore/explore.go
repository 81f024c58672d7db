// Package explore visits every state that a small model reaches within a number of
// steps (design.md section 8.3). Package interleave takes every order of a scene's
// choices; here two orders that lead to the same state are followed only once, so that
// scenes with crashes, late messages and changes of the voters stay within reach.
package explore

import "hash/maphash"

// Model is one state of a deterministic state machine.
type Model interface {
	// Steps names what may happen next.
	Steps() []string
	// Take makes the step of this index happen.
	Take(step int)
	// Clone copies the state; neither copy sees what happens to the other.
	Clone() Model
	// State describes the state in full: equal descriptions have equal futures.
	State() []byte
	// Fault names an invariant that does not hold in this state; empty when all hold.
	Fault() string
	// Recover mends every link and machine, and names what the system does not get
	// done from there; empty when it gets everything done. The state is not used after.
	Recover() string
}

// Bounds end an exploration.
type Bounds struct {
	Depth  int // most steps from the start
	States int // most states
}

// Report says what was visited.
type Report struct {
	States      int
	Transitions int
	Depth       int  // every state within so many steps was visited
	Complete    bool // that is as many as were asked for
	Exhausted   bool // no state at all lies beyond
	Fault       string
	Path        []string // the steps that lead to the fault, a shortest way
}

// visit is a state to be followed: the steps that lead to it.
type visit struct{ path []uint16 }

// Breadth visits states in the order of their distance from the start, and ends at the
// first fault, which is therefore reached by a shortest way.
func Breadth(start func() Model, bounds Bounds) Report {
	seed := maphash.MakeSeed()
	seen := map[uint64]bool{}
	first := start()
	seen[maphash.Bytes(seed, first.State())] = true
	report := Report{States: 1, Complete: true}
	if judge(&report, first, start, nil) {
		return report
	}
	frontier := []visit{{}}
	for len(frontier) > 0 && report.Depth < bounds.Depth {
		var next []visit
		report.Depth++
		for _, at := range frontier {
			from := replay(start, at.path)
			for step := range from.Steps() {
				model := from.Clone()
				model.Take(step)
				report.Transitions++
				sum := maphash.Bytes(seed, model.State())
				if seen[sum] {
					continue
				}
				if report.States >= bounds.States {
					report.Complete = false
					report.Depth--
					return report
				}
				seen[sum] = true
				report.States++
				path := append(append([]uint16(nil), at.path...), uint16(step))
				if judge(&report, model, start, path) {
					return report
				}
				next = append(next, visit{path})
			}
		}
		frontier = next
	}
	report.Exhausted = len(frontier) == 0
	return report
}

// judge notes the fault of a state, if it has one, and uses the state up.
func judge(report *Report, model Model, start func() Model, path []uint16) bool {
	fault := model.Fault()
	if fault == "" {
		fault = model.Recover()
	}
	if fault == "" {
		return false
	}
	report.Fault, report.Path = fault, names(start, path)
	return true
}

func replay(start func() Model, path []uint16) Model {
	model := start()
	for _, step := range path {
		model.Take(int(step))
	}
	return model
}

// names tells a path by the names of its steps.
func names(start func() Model, path []uint16) []string {
	var out []string
	model := start()
	for _, step := range path {
		out = append(out, model.Steps()[step])
		model.Take(int(step))
	}
	return out
}
