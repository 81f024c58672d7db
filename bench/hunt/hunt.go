package hunt

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"linedrum.example/linedrum/bench/platform"
)

// Hunt is a search through days.
type Hunt struct {
	Days     []platform.Day
	Shrinks  int       // plays that shrinking one day may take; 0: it is not shrunk
	Repeats  int       // plays of a shrunk day, to show whether it fails each time
	Progress io.Writer // a line for each day
}

// Finding is a day on which a rule was broken.
type Finding struct {
	Seed     uint64            `json:"seed"`
	Rules    []string          `json:"rules"`
	Breaches []platform.Breach `json:"breaches"`
	Drawn    platform.Day      `json:"drawn"`
	Shrunk   platform.Day      `json:"shrunk"`
	Plays    int               `json:"plays"`   // that shrinking took
	Repeats  int               `json:"repeats"` // plays of the shrunk day
	Failed   int               `json:"failed"`  // of these
}

// Report is what a hunt came to.
type Report struct {
	Days     int           `json:"days"`
	Asked    int           `json:"asked"`
	Served   int           `json:"served"`
	Events   []KindCount   `json:"events"`
	Took     time.Duration `json:"took_ns"`
	Findings []Finding     `json:"findings"`
}

// One plays a day; one that breaks a rule is shrunk, and played again.
func (h Hunt) One(d platform.Day, play Player) (Outcome, *Finding) {
	out := play(d)
	rules := out.Rules()
	if len(rules) == 0 {
		return out, nil
	}
	f := &Finding{Seed: d.Seed, Rules: rules, Breaches: first(out.Breaches), Drawn: d, Shrunk: d}
	if h.Shrinks == 0 {
		return out, f
	}
	f.Shrunk, f.Plays = Shrink(d, rules, h.Shrinks, play)
	for range h.Repeats {
		f.Repeats++
		if again := play(f.Shrunk); len(again.Rules()) > 0 {
			f.Failed++
			f.Breaches = first(again.Breaches)
		}
	}
	return out, f
}

// mostBreaches are kept of each finding.
const mostBreaches = 8

func first(list []platform.Breach) []platform.Breach { return list[:min(len(list), mostBreaches)] }

// Log gathers what days came to, as they end, and tells of the progress.
type Log struct {
	hunt   Hunt
	began  time.Time
	mu     sync.Mutex
	report Report
}

// NewLog begins the record of a hunt.
func NewLog(h Hunt) *Log { return &Log{hunt: h, began: time.Now()} }

// Add records one day.
func (l *Log) Add(d platform.Day, out Outcome, f *Finding) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &l.report
	r.Days++
	r.Asked += out.Asked
	r.Served += out.Served
	r.Took = time.Since(l.began)
	r.count(d)
	verdict := "no rule broken"
	if f != nil {
		r.Findings = append(r.Findings, *f)
		verdict = "BROKEN " + joined(f.Rules)
	}
	if l.hunt.Progress != nil {
		fmt.Fprintf(l.hunt.Progress, "%d/%d %s: %d events, %d of %d served, %s (%d findings, %.0f s)\n",
			r.Days, len(l.hunt.Days), d.Name, len(d.Events), out.Served, out.Asked, verdict, len(r.Findings), r.Took.Seconds())
		if f != nil {
			f.print(l.hunt.Progress)
		}
	}
}

// Report is what came so far.
func (l *Log) Report() Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.report
}

func joined(list []string) string { return strings.Join(list, ", ") }
