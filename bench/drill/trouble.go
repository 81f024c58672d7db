package drill

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"linedrum.example/linedrum/bench/callers"
	"linedrum.example/linedrum/bench/fleet"
	"linedrum.example/linedrum/bench/standin"
	"linedrum.example/linedrum/lifecycle"
)

// refuse has half of the engines bounce every call, or be well.
func refuse(yes bool) func(*Run) error {
	return func(r *Run) error {
		for i, e := range r.Fleet.Engines {
			if i%2 == 0 {
				e.SetFaults(standin.Faults{Refuse: yes})
			}
		}
		return nil
	}
}

// Refusals has half of the engines bounce every call while they report that they
// are free, and restarts a third of the nodes, with empty counters, meanwhile.
func Refusals(span time.Duration) Drill {
	return Drill{Name: "refusals", About: "half of the engines bounce every call, and nodes restart with empty counters", Span: span, Steps: func(r *Run) []Step {
		return []Step{
			at(0.1, span, "half of the engines bounce every call", refuse(true)),
			at(0.4, span, "three nodes are killed and started again", func(r *Run) error {
				for _, n := range r.Fleet.Nodes[len(r.Fleet.Nodes)-3:] {
					n.Kill()
					if err := r.Fleet.StartNode(n); err != nil {
						return err
					}
				}
				return nil
			}),
			at(0.9, span, "the engines are well", refuse(false)),
		}
	}}
}

// Operators edit one serial at the same moment, through different nodes.
func Operators(span time.Duration) Drill {
	return Drill{Name: "operators", About: "two operators edit the same serial at the same moment, again and again", Span: span, Steps: func(r *Run) []Step {
		var steps []Step
		for i := range 8 {
			steps = append(steps, at(0.05+0.1*float64(i), span, fmt.Sprintf("race %d", i), func(r *Run) error {
				var status [2]int
				race := lifecycle.New(context.Background())
				for j := range 2 {
					n := r.Fleet.Nodes[(i+j*3)%len(r.Fleet.Nodes)]
					race.Start(func(context.Context) {
						status[j], _, _ = r.Fleet.Apply(n, r.desk, fmt.Sprintf("race-%d-%d", i, j), fleet.DeskFile(r.Fleet.Spec))
					})
				}
				race.Wait()
				if status[0]+status[1] != http.StatusOK+http.StatusConflict {
					return fmt.Errorf("the two heard %v", status)
				}
				r.desk++
				return nil
			}))
		}
		return steps
	}}
}

// Crowd sends a dispatch run all at once beside the people who wait.
func Crowd(span time.Duration) Drill {
	return Drill{Name: "crowd", About: "several hundred checks arrive at once, three times", Span: span, Steps: func(r *Run) []Step {
		checks, _ := fleet.Desks(r.Fleet.Spec)
		var steps []Step
		for i := range 3 {
			steps = append(steps, at(0.2+0.25*float64(i), span, "a crowd of 400 checks", func(r *Run) error {
				all := lifecycle.New(context.Background())
				shared := strings.Repeat("the crowd's own long policy. ", 250)
				for j := range 400 {
					all.Start(func(ctx context.Context) {
						r.Consumer.Do(ctx, callers.Call{
							Request: fmt.Sprintf("crowd-%d-%d", i, j), Node: r.Fleet.Nodes[j%len(r.Fleet.Nodes)].HTTP, Desk: checks, Kind: "check",
							Key: r.Consumer.Key(ctx, r.Fleet.Addresses(), fmt.Sprintf("crowd-%d-%d", i, j)), Prompt: shared + fmt.Sprint(j), MaxTokens: 3,
						})
					})
				}
				all.Wait()
				return nil
			}))
		}
		return steps
	}}
}

// NewMachine loses a disk machine for good; an empty one at a new address takes
// its place, and then another of the first three is lost.
func NewMachine(span time.Duration) Drill {
	return Drill{Name: "new-machine", About: "a core machine comes back empty at a new address, then another one is lost", Span: max(span, time.Minute), Steps: func(r *Run) []Step {
		span := max(span, time.Minute)
		var fresh *fleet.Node
		return []Step{
			at(0.05, span, "disk machine 0 is lost for good", func(r *Run) error { r.Fleet.Nodes[0].Kill(); return nil }),
			at(0.08, span, "an empty machine starts at a new address", func(r *Run) error {
				var err error
				fresh, err = r.Fleet.AddNode(r.Fleet.Nodes[0].Site, true)
				return err
			}),
			at(0.10, span, "its disk is to be admitted", func(r *Run) error {
				began := time.Now()
				err := fleet.Await(60*time.Second, "the new disk is in the set", func() bool {
					s, err := r.Fleet.Status(fresh)
					if err != nil {
						return false
					}
					b, _ := json.Marshal(s["disk_set"])
					return strings.Contains(string(b), fresh.Listen) && !strings.Contains(string(b), `"next"`)
				})
				r.Say("admitted after %.1f s", time.Since(began).Seconds())
				return err
			}),
			at(0.85, span, "disk machine 1 is lost too", func(r *Run) error { r.Fleet.Nodes[1].Kill(); return nil }),
			at(0.95, span, "all other nodes are to be ready", awaitServing),
		}
	}}
}
