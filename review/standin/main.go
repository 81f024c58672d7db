// Command standin plays one case of the review: a small deployment of the built program as
// processes on loopback addresses, with the project's own stand-ins of engines, their list,
// clients and the operator. It exits with 1 if the rule of the case was broken, with 0 if
// it held, and with 2 if the case could not run.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"sync"
	"time"

	"linedrum.example/linedrum/bench/platform"
	"linedrum.example/linedrum/boot"
	"linedrum.example/linedrum/lifecycle"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// stage is what a case plays on.
type stage struct {
	site    *platform.Site
	load    *platform.Load
	trouble bool
	began   time.Duration
	say     io.Writer
}

// since is the time of the run.
func (s *stage) since() time.Duration { return boot.Clock{}.Now() - s.began }

// note writes a line with the time of the run.
func (s *stage) note(format string, args ...any) {
	fmt.Fprintf(s.say, "%7.2fs %s\n", s.since().Seconds(), fmt.Sprintf(format, args...))
}

// until waits until a moment of the run.
func (s *stage) until(ctx context.Context, at time.Duration) { lifecycle.Pause(ctx, at-s.since()) }

// play is one case: what it changes of the deployment, and what happens; it gives an exit code.
type play struct {
	spec func(*platform.Spec)
	run  func(ctx context.Context, s *stage) int
}

var plays = map[string]play{
	"last-engine": {lastEngineSpec, lastEngine},
	"founding":    {nil, founding},
	"rollback":    {nil, rollback},
	"many-routes": {nil, manyRoutes},
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "which case")
	binary := flag.String("binary", "target/linedrum", "the built program")
	record := flag.String("record", "record.txt", "where to write what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "with the disruption")
	limit := flag.Duration("limit", 110*time.Second, "how long it may take")
	flag.Parse()
	chosen, ok := plays[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return failed
	}
	path, err := filepath.Abs(*binary)
	if err == nil {
		_, err = os.Stat(path)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer os.RemoveAll(folder)
	out, err := os.Create(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer out.Close()
	ctx, cancel := context.WithTimeout(context.Background(), *limit)
	defer cancel()
	spec := platform.Desk(1)
	if chosen.spec != nil {
		chosen.spec(&spec)
	}
	say := &both{to: []io.Writer{os.Stdout, out}}
	s := &stage{trouble: *trouble, say: say, began: boot.Clock{}.Now()}
	s.note("case %s, trouble %v", *name, *trouble)
	// Another program may have taken an address: then others are tried.
	for range 5 {
		if s.site, err = platform.Begin(spec, &platform.Loopback{Folder: folder, Binary: path}, say); err == nil {
			break
		}
		s.note("%v", err)
	}
	if err != nil {
		return failed
	}
	defer s.site.Stop()
	s.load = platform.NewLoad(s.site)
	code := chosen.run(ctx, s)
	if ctx.Err() != nil {
		s.note("the case took too long")
		code = failed
	}
	for _, n := range s.site.Ends {
		s.note("ended by itself: %s", n)
	}
	s.site.Stop()
	dump(out, s.site.Evidence)
	fmt.Fprintf(say, "exit %d\n", code)
	return code
}

// both writes to several writers, from any goroutine.
type both struct {
	mu sync.Mutex
	to []io.Writer
}

func (b *both) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, w := range b.to {
		if _, err := w.Write(p); err != nil {
			return 0, err
		}
	}
	return len(p), nil
}

// dump writes what was sent, answered and run, in the order of time.
func dump(out io.Writer, e *platform.Evidence) {
	type line struct {
		at   time.Time
		text string
	}
	var lines []line
	for _, u := range e.Upsets {
		lines = append(lines, line{u.From, fmt.Sprintf("trouble: %s at %s, until %s", u.What, u.Node, u.To.Format("15:04:05.000"))})
	}
	for _, s := range e.Shown {
		lines = append(lines, line{s.At, fmt.Sprintf("list: %s is %s", s.Engine, s.State)})
	}
	for _, a := range e.Acts {
		lines = append(lines, line{a.Sent, fmt.Sprintf("operator: %s version %d on top of %d %s: answer %d of %s, all answers %v, %d bytes", a.Kind, a.Version, a.Based, a.Invalid, a.Status, a.Node, a.Tried, len(a.Body))})
	}
	for _, o := range e.Orders {
		lines = append(lines, line{o.At, fmt.Sprintf("order: %s by %s, fence %d: %d", o.Engine, o.Holder, o.Fence, o.Status)})
	}
	for _, t := range e.Tries {
		lines = append(lines, line{t.Sent, fmt.Sprintf("client: %s %s of %s to %s: status %d, whole %v, %d events", t.Class, t.Attempt, t.Request, t.Node, t.Status, t.Whole, len(t.Pieces))})
	}
	for _, a := range e.Arrivals {
		ran := !a.Ran.IsZero()
		lines = append(lines, line{a.At, fmt.Sprintf("engine: %s got %s of %s, stage %q, ran %v, whole %v", a.Engine, a.Attempt, a.Machine, a.Stage, ran, a.Whole)})
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].at.Before(lines[j].at) })
	for _, l := range lines {
		fmt.Fprintf(out, "%s %s\n", l.at.Format("15:04:05.000"), l.text)
	}
}
