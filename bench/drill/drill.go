// Package drill brings failures about on a whole fleet under load, and has the
// auditor judge what both ends recorded.
package drill

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sort"
	"time"

	"linedrum.example/linedrum/bench/audit"
	"linedrum.example/linedrum/bench/callers"
	"linedrum.example/linedrum/bench/fleet"
	"linedrum.example/linedrum/bench/virtual"
	"linedrum.example/linedrum/lifecycle"
)

// Run is one drill under way.
type Run struct {
	Fleet    *fleet.Fleet
	Consumer *callers.Consumer
	Out      io.Writer
	Bounds   audit.Bounds
	began    time.Time
	span     time.Duration
	desk     uint64
}

// Step is something done at a time of the drill.
type Step struct {
	At   time.Duration
	What string
	Do   func(r *Run) error
}

// Drill is a named course of steps under load.
type Drill struct {
	Name  string
	About string
	Span  time.Duration
	Steps func(r *Run) []Step
	// Change, where there is one, makes the deployment and its callers other ones.
	Change func(spec *fleet.Spec, streams []callers.Stream) []callers.Stream
}

// On is the drill's deployment and callers.
func (d Drill) On(spec fleet.Spec, streams []callers.Stream) (fleet.Spec, []callers.Stream) {
	if d.Change != nil {
		streams = d.Change(&spec, streams)
	}
	return spec, streams
}

// Result is what a drill came to.
type Result struct {
	Breaches []audit.Breach
	Summary  map[string]int
	Repeats  float64 // worst window, as a share of the budget
	Calls    int
	Whole    int
	Checks   map[string]float64 // figures against bounds, as ratios
}

// Say writes one line of the drill's course.
func (r *Run) Say(format string, args ...any) {
	fmt.Fprintf(r.Out, "%7.2fs %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Begin lays a fleet out, starts it, and hands it its desk file and engines.
func Begin(spec fleet.Spec, folder string, ground fleet.Ground, out io.Writer) (*Run, error) {
	f, err := fleet.New(spec, folder, ground)
	if err != nil {
		return nil, err
	}
	r := &Run{Fleet: f, Out: out, Bounds: audit.DefaultBounds(), began: time.Now()}
	r.Consumer = callers.New(f.Callers, ground.Net(""))
	if err := f.Start(); err != nil {
		r.Stop()
		return nil, err
	}
	if err := r.setUp(); err != nil {
		r.Stop()
		return nil, err
	}
	return r, nil
}

// Stop ends everything.
func (r *Run) Stop() {
	r.Fleet.Stop()
	r.Consumer.Close()
}

func (r *Run) setUp() error {
	f := r.Fleet
	err := fleet.Await(20*time.Second, "the desk file is taken", func() bool {
		status, _, _ := f.Apply(f.Nodes[0], 0, "first", fleet.DeskFile(f.Spec))
		return status == http.StatusOK
	})
	if err != nil {
		return err
	}
	r.desk = 1
	if err := sendEngines(r); err != nil {
		return err
	}
	return f.AwaitReady(30 * time.Second)
}

// AnyNode is a node that runs, for operators and the platform.
func (r *Run) AnyNode() *fleet.Node {
	for i := len(r.Fleet.Nodes) - 1; i >= 0; i-- {
		if r.Fleet.Nodes[i].Running() {
			return r.Fleet.Nodes[i]
		}
	}
	return r.Fleet.Nodes[0]
}

// Course runs load and steps to their end and audits.
func (r *Run) Course(d Drill, streams []callers.Stream, seed uint64) (Result, error) {
	r.began, r.span = time.Now(), d.Span
	r.Say("drill %s on %s, seed %d: %s", d.Name, r.Fleet.Spec.Name, seed, d.About)
	ctx, cancel := context.WithTimeout(context.Background(), d.Span+90*time.Second)
	defer cancel()
	steps := d.Steps(r)
	sort.SliceStable(steps, func(i, j int) bool { return steps[i].At < steps[j].At })
	failed := make(chan error, 1)
	r.Fleet.Crew().Start(func(context.Context) {
		for _, s := range steps {
			lifecycle.Pause(ctx, time.Until(r.began.Add(s.At)))
			r.Say("%s", s.What)
			if err := s.Do(r); err != nil {
				failed <- fmt.Errorf("%s: %w", s.What, err)
				return
			}
		}
		failed <- nil
	})
	mix := callers.Mix{Streams: streams, Nodes: r.Fleet.Addresses, Seed: seed, Prefix: fmt.Sprintf("%s-%d-", d.Name, seed)}
	mix.Run(ctx, r.Consumer, d.Span)
	if err := <-failed; err != nil {
		return Result{}, err
	}
	return r.Audit(), nil
}

// Audit judges what has been recorded so far.
func (r *Run) Audit() Result {
	ev := r.Fleet.Evidence()
	bounds := r.Bounds
	res := Result{Breaches: audit.Audit(ev, bounds), Summary: callers.Summary(ev.Callers), Calls: len(ev.Callers), Checks: map[string]float64{}}
	res.Repeats, _, _, _ = audit.Goes(ev, bounds)
	for _, c := range ev.Callers {
		if c.Whole {
			res.Whole++
		}
	}
	reads, cached, memory, across := 0, 0, 0, 0
	sites := map[string]string{}
	for _, e := range r.Fleet.Engines {
		sites[e.Name] = e.Site
	}
	for _, e := range ev.Engines {
		if e.Event != audit.EventRun {
			continue
		}
		if e.Phase == "prefill" && e.Bytes > 1024 {
			reads++
			if e.Cached {
				cached++
			}
		}
		if e.Phase == "decode" {
			memory++
			if sites[e.Reader] != e.Site {
				across++
			}
		}
	}
	res.Checks["repeated goes sent, worst window, of the budget"], _, _ = audit.Sent(ev, bounds)
	res.Checks["an older desk file in force, of the bound"] = float64(audit.InForce(ev)) / float64(bounds.InForce)
	engines, zones := audit.Late(ev)
	res.Checks["work at leaving engines, of the bound"] = float64(engines) / float64(bounds.EngineLeave)
	res.Checks["work in emptied zones, of the bound"] = float64(zones) / float64(bounds.SiteEmpty)
	res.Checks["changes of hands"] = float64(max(len(audit.Hands(ev))-1, 0))
	for _, took := range audit.Back(ev) {
		res.Checks["back after a total loss, of the bound"] = max(res.Checks["back after a total loss, of the bound"], float64(took)/float64(bounds.Recovery))
	}
	if g, ok := r.Fleet.Ground.(*fleet.Memory); ok && r.span > 0 {
		nodes := map[*virtual.Machine]bool{}
		for _, n := range r.Fleet.Nodes {
			nodes[g.Machine(n.Listen)] = true
		}
		across := func(a, b bool) float64 {
			return float64(g.Network.Across(func(from, to *virtual.Machine) bool {
				return nodes[from] == a && nodes[to] == b && from.Site != "callers" && to.Site != "callers"
			})) / time.Since(r.began).Seconds()
		}
		res.Checks["bytes a second between zones, among nodes"] = across(true, true)
		res.Checks["bytes a second between zones, nodes and engines"] = across(true, false) + across(false, true)
		res.Checks["bytes a second between zones, among engines"] = across(false, false)
	}
	var waits []float64
	asked, whole := map[string]int{}, map[string]int{}
	inTime := 0
	for _, c := range ev.Callers {
		if c.Whole && c.Repeat == "" && c.Ended < r.began.Add(r.span).UnixNano() {
			inTime++
		}
		if c.Verdict == "not-run" && c.ExpiryMS > 0 {
			waits = append(waits, float64(c.Ended-c.Began)/float64(c.ExpiryMS)/1e6)
		}
		asked[c.Kind]++
		if c.Whole {
			whole[c.Kind]++
		}
	}
	if len(waits) > 0 {
		res.Checks["whole replies a second while the load ran"] = float64(inTime) / r.span.Seconds()
		slices.Sort(waits)
		res.Checks["bounced after, median, of the expiry"] = waits[len(waits)/2]
		res.Checks["bounced after, worst, of the expiry"] = waits[len(waits)-1]
		for kind := range asked {
			res.Checks["whole of the calls of a "+kind] = float64(whole[kind]) / float64(asked[kind])
		}
	}
	if reads > 0 {
		res.Checks["shared prefix read before"] = float64(cached) / float64(reads)
	}
	if memory > 0 {
		res.Checks["hand-overs between sites"] = float64(across) / float64(memory)
	}
	return res
}

// Print shows a result.
func (res Result) Print(out io.Writer) {
	var keys []string
	for key := range res.Summary {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	fmt.Fprintf(out, "calls %d, whole replies %d (%.4f)\n", res.Calls, res.Whole, float64(res.Whole)/float64(max(res.Calls, 1)))
	for _, key := range keys {
		fmt.Fprintf(out, "  %-60s %d\n", key, res.Summary[key])
	}
	fmt.Fprintf(out, "repeated goes, worst window, of the budget: %.3f\n", res.Repeats)
	var checks []string
	for key := range res.Checks {
		checks = append(checks, key)
	}
	sort.Strings(checks)
	for _, key := range checks {
		fmt.Fprintf(out, "%s: %.3f\n", key, res.Checks[key])
	}
	if len(res.Breaches) == 0 {
		fmt.Fprintln(out, "the auditor found no breach")
		return
	}
	fmt.Fprintf(out, "the auditor found %d breaches:\n", len(res.Breaches))
	for i, b := range res.Breaches {
		if i == 20 {
			fmt.Fprintln(out, "  ...")
			break
		}
		fmt.Fprintf(out, "  %s: %s\n", b.Line, b.Evidence)
	}
}
