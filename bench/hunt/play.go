package hunt

import (
	"context"
	"io"
	"slices"
	"testing"
	"testing/synctest"

	"linedrum.example/linedrum/bench/platform"
)

// Faults of a day that are no breach of the platform's rules: a process ended by
// itself, or a step of the day failed.
const (
	RuleEnded = "ENDED"
	RuleStep  = "STEP"
)

// Outcome is what a played day came to.
type Outcome struct {
	Breaches []platform.Breach
	Served   int
	Asked    int
}

// Rules lists what was broken, each once.
func (o Outcome) Rules() (out []string) {
	for _, b := range o.Breaches {
		if !slices.Contains(out, b.Rule) {
			out = append(out, b.Rule)
		}
	}
	slices.Sort(out)
	return out
}

// Player plays one day.
type Player func(d platform.Day) Outcome

// Bubble plays days on machines in memory, in virtual time: within a bubble of
// testing/synctest, which a running test alone can make. What happens is told to say.
func Bubble(t *testing.T, say io.Writer) Player { return bubble(t, say, false) }

// bubble may have disks lie about their syncs, so that a hunt has something to find.
func bubble(t *testing.T, say io.Writer, lies bool) Player {
	return func(d platform.Day) (out Outcome) {
		synctest.Test(t, func(*testing.T) {
			ground := platform.NewMemory(d.Seed, platform.Product)
			ground.Lies = lies
			defer ground.Stop()
			res, err := platform.Run(context.Background(), d, ground, say)
			out = outcome(res, err)
		})
		return out
	}
}

// outcome judges what a run gave.
func outcome(res platform.Result, err error) Outcome {
	out := Outcome{Breaches: res.Breaches, Served: res.Sum["all"].Served, Asked: res.Sum["all"].Asked}
	if len(res.Ends) > 0 {
		out.Breaches = append(out.Breaches, platform.Breach{Rule: RuleEnded, What: "ended by themselves: " + joined(res.Ends)})
	}
	if err != nil {
		out.Breaches = append(out.Breaches, platform.Breach{Rule: RuleStep, What: err.Error()})
	}
	return out
}

// Run plays all days within a running test, as many at once as its tests may run at
// once.
func (h Hunt) Run(t *testing.T, say io.Writer) Report {
	log := NewLog(h)
	t.Run("days", func(t *testing.T) {
		for _, d := range h.Days {
			t.Run(d.Name, func(t *testing.T) {
				t.Parallel()
				out, finding := h.One(d, Bubble(t, say))
				log.Add(d, out, finding)
			})
		}
	})
	return log.Report()
}
