package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"testing"

	"github.com/google/subcommands"

	"linedrum.example/linedrum/bench/hunt"
	"linedrum.example/linedrum/bench/platform"
)

type huntCommand struct {
	from                        uint64
	seeds, jobs, shrinks, again int
	jsonFile, folder, replay    string
	say, draw                   bool
}

func (*huntCommand) Name() string { return "hunt" }
func (*huntCommand) Synopsis() string {
	return "play drawn days of all kinds of trouble in virtual time, and shrink those that break a rule"
}
func (*huntCommand) Usage() string {
	return `linedrum-bench hunt [-from N] [-seeds N] [-jobs N] [-json FILE] [-folder FOLDER]
linedrum-bench hunt -replay FILE [-say]
linedrum-bench hunt -draw [-from N]
  Draws a day for each seed (docs/days.md), plays it with the product's own code on
  machines in memory, in virtual time, and judges it by our auditor. A day that
  breaks a rule is shrunk to the fewest events and printed as a day file.
  Exit code 0: no rule was broken; 1: findings; 2: the arguments or a file are at fault.
  Example: linedrum-bench hunt -seeds 40 -jobs 2 -folder findings
`
}

func (c *huntCommand) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&c.from, "from", 1, "the first seed")
	f.IntVar(&c.seeds, "seeds", 20, "how many seeds")
	f.IntVar(&c.jobs, "jobs", 1, "days played at once")
	f.IntVar(&c.shrinks, "shrinks", 60, "plays that shrinking one day may take; 0: days are not shrunk")
	f.IntVar(&c.again, "again", 3, "plays of a shrunk day, to show whether it fails each time")
	f.StringVar(&c.jsonFile, "json", "", "where the report goes as JSON")
	f.StringVar(&c.folder, "folder", "", "where the days of findings go as files")
	f.StringVar(&c.replay, "replay", "", "play the day of a file instead, as it is")
	f.BoolVar(&c.draw, "draw", false, "print the day of the first seed, and play nothing")
	f.BoolVar(&c.say, "say", false, "tell what happens on a replayed day")
}

func (c *huntCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 0 || c.seeds < 1 || c.jobs < 1 || c.shrinks < 0 || c.again < 0 || c.from < 1 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	if c.draw {
		_, _ = os.Stdout.Write(hunt.Draw(c.from).File())
		return subcommands.ExitSuccess
	}
	h := hunt.Hunt{Shrinks: c.shrinks, Repeats: c.again, Progress: os.Stderr}
	var say io.Writer
	if c.replay != "" {
		day, ok := c.read()
		if !ok {
			return subcommands.ExitUsageError
		}
		h.Days, h.Shrinks = []platform.Day{day}, 0
		if c.say {
			say = os.Stderr
		}
	} else {
		for i := range uint64(c.seeds) {
			h.Days = append(h.Days, hunt.Draw(c.from+i))
		}
	}
	status := subcommands.ExitFailure
	asTest(c.jobs, func(t *testing.T) {
		status = c.finish(h.Run(t, say))
		os.Exit(int(status))
	})
	return status
}

func (c *huntCommand) read() (platform.Day, bool) {
	b, err := os.ReadFile(c.replay)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return platform.Day{}, false
	}
	day, faults := platform.ParseDay(b)
	for _, fault := range faults {
		fmt.Fprintln(os.Stderr, fault)
	}
	return day, len(faults) == 0
}

// finish writes the report.
func (c *huntCommand) finish(r hunt.Report) subcommands.ExitStatus {
	r.Print(os.Stdout)
	if err := c.files(r); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	if len(r.Findings) > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *huntCommand) files(r hunt.Report) error {
	if c.jsonFile != "" {
		out, err := os.Create(c.jsonFile)
		if err != nil {
			return err
		}
		defer out.Close()
		if err := r.JSON(out); err != nil {
			return err
		}
	}
	if c.folder == "" {
		return nil
	}
	if err := os.MkdirAll(c.folder, 0o755); err != nil {
		return err
	}
	for _, f := range r.Findings {
		if err := os.WriteFile(filepath.Join(c.folder, f.Shrunk.Name+".json"), f.Shrunk.File(), 0o644); err != nil {
			return err
		}
	}
	return nil
}

// asTest runs something as go test runs a test: virtual time is to be had within a
// running test alone (testing/synctest), and package testing keeps Main for programs
// that run tests themselves. It needs neither the sources nor a compiler. What runs
// ends the program itself, for Main would print a verdict of its own.
func asTest(jobs int, run func(t *testing.T)) {
	testing.Init()
	for name, value := range map[string]string{"test.parallel": strconv.Itoa(jobs), "test.timeout": "0"} {
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return
		}
	}
	all := func(string, string) (bool, error) { return true, nil }
	testing.Main(all, []testing.InternalTest{{Name: "hunt", F: run}}, nil, nil)
}
