package hunt

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"linedrum.example/linedrum/bench/platform"
)

// KindCount is how often a kind of event came.
type KindCount struct {
	Kind  string `json:"kind"`
	Count int    `json:"count"`
}

// count adds a day's events.
func (r *Report) count(d platform.Day) {
	for _, e := range d.Events {
		r.one(e.Kind)
	}
	if d.Closing != "none" && d.Closing != "" {
		r.one("closing " + d.Closing)
	}
}

func (r *Report) one(kind string) {
	at, found := slices.BinarySearchFunc(r.Events, kind, func(c KindCount, kind string) int { return strings.Compare(c.Kind, kind) })
	if !found {
		r.Events = slices.Insert(r.Events, at, KindCount{Kind: kind})
	}
	r.Events[at].Count++
}

// Print writes the report for people; each finding with its shrunk day file.
func (r Report) Print(w io.Writer) {
	fmt.Fprintf(w, "%d days, %d of %d requests served, %.0f s; %d findings\n", r.Days, r.Served, r.Asked, r.Took.Seconds(), len(r.Findings))
	for _, c := range r.Events {
		fmt.Fprintf(w, "  %-20s %d\n", c.Kind, c.Count)
	}
	for _, f := range r.Findings {
		f.print(w)
	}
}

func (f Finding) print(w io.Writer) {
	fmt.Fprintf(w, "\nseed %d broke %s; shrunk to %d of %d events in %d plays, fails in %d of %d\n",
		f.Seed, joined(f.Rules), len(f.Shrunk.Events), len(f.Drawn.Events), f.Plays, f.Failed, f.Repeats)
	for _, b := range f.Breaches {
		fmt.Fprintf(w, "  %s\n", b)
	}
	_, _ = w.Write(f.Shrunk.File())
}

// JSON writes the report for programs.
func (r Report) JSON(w io.Writer) error {
	if r.Findings == nil {
		r.Findings = []Finding{}
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}
