package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"linedrum.example/linedrum/desk"
	"linedrum.example/linedrum/explain"
	"linedrum.example/linedrum/pairing"
	"linedrum.example/linedrum/plan"
	"linedrum.example/linedrum/register"
	"linedrum.example/linedrum/wal"
	"linedrum.example/linedrum/wire"
)

type explainCommand struct{ target }

func (*explainCommand) Name() string     { return "explain" }
func (*explainCommand) Synopsis() string { return "say why a request went where it went" }
func (*explainCommand) Usage() string {
	return `linedrum explain [-node IP:PORT] [-json] REQUEST-ID
  Finds the request's record on whichever node has it, and shows its desk, the
  serials in force, every pairing with what each engine scored, and every go.
  Exit code 0: found; 1: no live node has it; 2: flags.
  Example: linedrum explain -node 127.0.0.1:8080 r-96b00ba91527cae
`
}
func (c *explainCommand) SetFlags(f *flag.FlagSet) { c.flags(f) }

func (c *explainCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		fmt.Fprint(os.Stderr, c.Usage())
		return exitUsage
	}
	status, body, err := c.call(http.MethodGet, "/linedrum/explain?"+url.Values{"id": {f.Arg(0)}}.Encode(), nil)
	if err != nil {
		return lost(err)
	}
	if c.json {
		fmt.Print(string(body))
	}
	if status == http.StatusNotFound {
		if !c.json {
			var out struct {
				Asked, Silent, Gone []string
				Records             int
			}
			_ = json.Unmarshal(body, &out)
			fmt.Fprintf(os.Stderr, "no live node has a record of %s: it was pruned (each node keeps its last %d), or its node is gone or was restarted\n", f.Arg(0), out.Records)
			fmt.Fprintf(os.Stderr, "asked: %s\n", strings.Join(out.Asked, " "))
			if len(out.Silent)+len(out.Gone) > 0 {
				fmt.Fprintf(os.Stderr, "did not reply: %s; departed: %s\n", strings.Join(out.Silent, " "), strings.Join(out.Gone, " "))
			}
		}
		return exitFailed
	}
	if status != http.StatusOK {
		return told(status, body)
	}
	if c.json {
		return subcommands.ExitSuccess
	}
	r, err := explain.Read(body)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	show(os.Stdout, r)
	return subcommands.ExitSuccess
}

func show(out io.Writer, r explain.Record) {
	since := func(d time.Duration) string { return (d - r.Arrived).Round(100 * time.Microsecond).String() }
	fmt.Fprintf(out, "request %s on node %s\n", r.Request, r.Node)
	fmt.Fprintf(out, "desk %s, kind %s, pool %s; in force: desk %d, engines %d, zones %d, roles %d by %s\n",
		r.Desk, r.Kind, r.Pool, r.Serials.Desk, r.Serials.Engines, r.Serials.Sites, r.Serials.Roles.Serial, r.Serials.Roles.Holder)
	fmt.Fprintf(out, "once-only %v, stream %v, patience %v\n", r.Once, r.Stream, (r.Expiry - r.Arrived).Round(time.Millisecond))
	if r.Repeat {
		fmt.Fprintln(out, "answered from the record of an earlier request with its key")
	}
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	for i, p := range r.Pairs {
		fmt.Fprintf(table, "\npairing %d: %s\n", i+1, paired(p))
		for _, side := range []struct {
			role string
			list []pairing.Score
		}{{"reader", p.Readers}, {"writer", p.Writers}} {
			for _, s := range side.list {
				score := fmt.Sprintf("%.3f", s.Score)
				if s.Why != "" {
					score = "out: " + s.Why
				}
				fmt.Fprintf(table, "  %s\t%s\t%s\n", side.role, s.Server, score)
			}
		}
	}
	fmt.Fprintln(table)
	for i, g := range r.Goes {
		fmt.Fprintf(table, "go %d\t%s\t%s\tfrom %s to %s\t%s\t%s\n", i+1, g.Name, g.Server, since(g.Began), since(g.Ended), g.Word, g.Code)
	}
	_ = table.Flush()
	fmt.Fprintf(out, "replied %d %s %s after %s\n", r.Status, r.Verdict, r.Code, since(r.Ended))
}

// paired says who does what of a nomination.
func paired(p explain.Nomination) string {
	switch {
	case p.View.Plain:
		return p.Writer + " takes the request whole"
	case p.Direct:
		return p.Writer + " reads and writes"
	}
	return p.Reader + " reads, " + p.Writer + " writes"
}

type replayCommand struct {
	target
	fetch bool
}

func (*replayCommand) Name() string { return "replay" }
func (*replayCommand) Synopsis() string {
	return "take recorded decisions again and list those that differ"
}
func (*replayCommand) Usage() string {
	return `linedrum replay [-json] FILE
linedrum replay -fetch [-node IP:PORT] > FILE
  Takes every recorded move and pairing again by this program's code. With
  -fetch, writes a node's records out, one a line.
  Exit code 0: all the same; 1: some differ; 2: the file is at fault.
  Example: linedrum replay records.jsonl
`
}
func (c *replayCommand) SetFlags(f *flag.FlagSet) {
	c.flags(f)
	f.BoolVar(&c.fetch, "fetch", false, "fetch a node's records")
}

func (c *replayCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.fetch {
		body, code := c.get("/linedrum/records")
		if body == nil {
			return code
		}
		_, _ = os.Stdout.Write(body)
		return subcommands.ExitSuccess
	}
	if f.NArg() != 1 {
		fmt.Fprint(os.Stderr, c.Usage())
		return exitUsage
	}
	file, err := os.Open(f.Arg(0))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	defer file.Close()
	in := bufio.NewScanner(file)
	in.Buffer(nil, 16<<20)
	records, decisions, faults := 0, 0, 0
	differences := []explain.Difference{}
	for line := 1; in.Scan(); line++ {
		if len(bytes.TrimSpace(in.Bytes())) == 0 {
			continue
		}
		r, err := explain.Read(in.Bytes())
		if err != nil {
			fmt.Fprintf(os.Stderr, "%s:%d: %v\n", f.Arg(0), line, err)
			faults++
			continue
		}
		n, diff := explain.Replay(r)
		records, decisions, differences = records+1, decisions+n, append(differences, diff...)
	}
	if err := in.Err(); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", f.Arg(0), err)
		faults++
	}
	if c.json {
		b, _ := json.Marshal(map[string]any{"records": records, "decisions": decisions, "differences": differences, "faults": faults})
		fmt.Println(string(b))
	} else {
		for _, d := range differences {
			fmt.Printf("%s, %s: was %s, is %s\n", d.Request, d.What, d.Recorded, d.Now)
		}
		fmt.Printf("%d records, %d decisions, %d differ\n", records, decisions, len(differences))
	}
	switch {
	case faults > 0 || records == 0:
		if records == 0 {
			fmt.Fprintln(os.Stderr, "the file holds no record")
		}
		return exitUsage
	case len(differences) > 0:
		return exitFailed
	}
	return subcommands.ExitSuccess
}

type planCommand struct {
	target
	empty string
}

func (*planCommand) Name() string     { return "plan" }
func (*planCommand) Synopsis() string { return "say what a desk file or an emptied zone would change" }
func (*planCommand) Usage() string {
	return `linedrum plan [-node IP:PORT] [-empty ZONE] [-json] [FILE]
  Compares a desk file, and an emptied zone, with what the fleet has now: desks,
  places, shares, kinds, pools and rules. Warns of shadowed prefixes, and shows the
  capacity left after losing each zone. Nothing is changed.
  Exit code 0: no warning; 1: warnings, or no reply; 2: the file is at fault.
  Example: linedrum plan -node 127.0.0.1:8080 desks.json
`
}
func (c *planCommand) SetFlags(f *flag.FlagSet) {
	c.flags(f)
	f.StringVar(&c.empty, "empty", "", "a zone that would be emptied")
}

func (c *planCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 1 || f.NArg() == 0 && c.empty == "" {
		fmt.Fprint(os.Stderr, c.Usage())
		return exitUsage
	}
	body, code := c.get("/linedrum/desk")
	if body == nil {
		return code
	}
	var held struct {
		Serial uint64
		File   json.RawMessage
	}
	_ = json.Unmarshal(body, &held)
	old, _ := desk.Parse(held.File)
	next := old
	if f.NArg() == 1 {
		b, err := os.ReadFile(f.Arg(0))
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitUsage
		}
		parsed, found := desk.Parse(b)
		if len(found) > 0 {
			printFaults(found)
			return exitUsage
		}
		next = parsed
	}
	if body, code = c.get("/linedrum/status"); body == nil {
		return code
	}
	var s struct {
		Engines []plan.Engine
		Empty   []string `json:"empty_sites"`
	}
	_ = json.Unmarshal(body, &s)
	empty := map[string]bool{}
	for _, site := range s.Empty {
		empty[site] = true
	}
	if c.empty != "" {
		empty[c.empty] = true
	}
	report := plan.Compare(old, next, s.Engines, empty)
	if c.json {
		b, _ := json.Marshal(report)
		fmt.Println(string(b))
	} else {
		fmt.Printf("against desk serial %d\n", held.Serial)
		if len(report.Changes) == 0 {
			fmt.Println("no desk or pool changes")
		}
		for _, line := range report.Changes {
			fmt.Println("change:", line)
		}
		for _, line := range report.Warnings {
			fmt.Println("warning:", line)
		}
		for _, k := range report.Capacity {
			without := "with every zone"
			if k.Without != "" {
				without = "without " + k.Without
			}
			fmt.Printf("pool %s %s: %d engines, %d slots, %d %%\n", k.Pool, without, k.Engines, k.Slots, k.Share)
		}
	}
	if len(report.Warnings) > 0 {
		return exitFailed
	}
	return subcommands.ExitSuccess
}

type dataCommand struct {
	fleet string
	json  bool
}

func (*dataCommand) Name() string     { return "data" }
func (*dataCommand) Synopsis() string { return "check a data folder offline, changing nothing" }
func (*dataCommand) Usage() string {
	return `linedrum data -fleet NAME [-json] FOLDER
  Reads a stopped node's data folder as the node would, and changes nothing.
  Exit code 0: sound; 1: damaged, or in use; 2: flags.
  Example: linedrum data -fleet kettleby /var/lib/linedrum
`
}
func (c *dataCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.fleet, "fleet", "", "the fleet's name, as in its settings")
	f.BoolVar(&c.json, "json", false, "print the findings as JSON")
}

func (c *dataCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 || c.fleet == "" {
		fmt.Fprint(os.Stderr, c.Usage())
		return exitUsage
	}
	if info, err := os.Stat(f.Arg(0)); err != nil || !info.IsDir() {
		fmt.Fprintf(os.Stderr, "%s is no folder\n", f.Arg(0))
		return exitFailed
	}
	folder, err := wal.LockFolder(f.Arg(0))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer folder.Close()
	kinds := map[string]int{}
	keys := map[string]bool{}
	set := register.Message{}
	report, err := wal.Inspect(folder, func(b []byte) error {
		rec, _, err := wire.UnpackFrame(c.fleet, b)
		if err != nil {
			return errors.Annotatef(wal.ErrDamaged, "a record cannot be read: %v", err)
		}
		switch rec.Kind {
		case register.KindAccept:
			kinds["accepted"]++
			keys[rec.Key] = true
		case register.KindPrepare:
			kinds["promised"]++
		case register.KindSet:
			kinds["disk sets"]++
			set = rec
		}
		return nil
	})
	identity, _ := folder.Read("identity")
	if c.json {
		why := ""
		if err != nil {
			why = err.Error()
		}
		b, _ := json.Marshal(map[string]any{
			"sound": err == nil, "reason": why, "identity": string(bytes.TrimSpace(identity)), "records": report.Records,
			"segments": report.Segments, "torn_bytes": report.Torn, "kinds": kinds, "keys": len(keys), "disk_set": set.Set,
		})
		fmt.Println(string(b))
	} else {
		fmt.Printf("disk %s: %d records in %d segments, %d keys, disk set %d\n", bytes.TrimSpace(identity), report.Records, report.Segments, len(keys), set.Set.Serial)
		if report.Torn > 0 {
			fmt.Printf("a torn tail of %d bytes in %s will be cut at the next start\n", report.Torn, report.TornFile)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}
	if err != nil {
		return exitFailed
	}
	return subcommands.ExitSuccess
}
