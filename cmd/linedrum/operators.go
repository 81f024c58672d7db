package main

import (
	"bytes"
	"context"
	crand "crypto/rand"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"linedrum.example/linedrum/desk"
	"linedrum.example/linedrum/lifecycle"
)

// target is the flag set shared by commands that speak to a node.
type target struct {
	node string
	wait time.Duration
	json bool
}

func (t *target) flags(f *flag.FlagSet) {
	f.StringVar(&t.node, "node", "127.0.0.1:8080", "ip:port of any node's HTTP side")
	f.DurationVar(&t.wait, "wait", 10*time.Second, "how long to wait for the reply")
	f.BoolVar(&t.json, "json", false, "print the reply as JSON")
}

// call sends one request and gives the reply's body; a missing reply is no status.
func (t *target) call(method, path string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), t.wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+t.node+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.GetBody = nil
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(io.LimitReader(res.Body, 64<<20))
	return res.StatusCode, b, err
}

// told prints a reply that is not a success and finds the exit code.
func told(status int, body []byte) subcommands.ExitStatus {
	var p struct {
		Error struct {
			Code, Message, Verdict string
			Serial                 *uint64
			Faults                 []struct{ Place, Reason string }
		}
	}
	if json.Unmarshal(body, &p) != nil || p.Error.Code == "" {
		fmt.Fprintf(os.Stderr, "the node replied %d: %s\n", status, bytes.TrimSpace(body))
		return exitFailed
	}
	for _, f := range p.Error.Faults {
		fmt.Fprintf(os.Stderr, "%s: %s\n", f.Place, f.Reason)
	}
	fmt.Fprintf(os.Stderr, "%s (%s)\n", p.Error.Message, p.Error.Code)
	switch {
	case status == http.StatusConflict:
		return exitConflict
	case status == http.StatusUnprocessableEntity || status == http.StatusBadRequest || status == http.StatusNotFound:
		return exitUsage
	case status == http.StatusGatewayTimeout:
		return exitUnknown
	}
	return exitFailed
}

// get fetches a path; a reply that is not a success is told, with its exit code.
func (t *target) get(path string) ([]byte, subcommands.ExitStatus) {
	status, body, err := t.call(http.MethodGet, path, nil)
	switch {
	case err != nil:
		return nil, lost(err)
	case status != http.StatusOK:
		return nil, told(status, body)
	}
	return body, subcommands.ExitSuccess
}

func lost(err error) subcommands.ExitStatus {
	fmt.Fprintf(os.Stderr, "no reply: %v\n", err)
	return exitFailed
}

type checkCommand struct{ json bool }

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "find every fault of a desk file, offline" }
func (*checkCommand) Usage() string {
	return `linedrum check [-json] FILE
  Reads a desk file by the same code as the fleet and names every fault with its place.
  Exit code 0: sound; 2: faults.
  Example: linedrum check desks.json
`
}
func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.json, "json", false, "print the faults as JSON")
}

func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		fmt.Fprint(os.Stderr, c.Usage())
		return exitUsage
	}
	b, err := os.ReadFile(f.Arg(0))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	file, faults := desk.Parse(b)
	if c.json {
		out, _ := json.Marshal(map[string]any{"sound": len(faults) == 0, "faults": faults})
		fmt.Println(string(out))
	} else if len(faults) > 0 {
		printFaults(faults)
	} else {
		fmt.Printf("sound: %d pools, %d desks\n", len(file.Pools), len(file.Desks))
	}
	if len(faults) > 0 {
		return exitUsage
	}
	return subcommands.ExitSuccess
}

type applyCommand struct {
	target
	basedOn int64
	id      string
	outcome bool
}

func (*applyCommand) Name() string     { return "apply" }
func (*applyCommand) Synopsis() string { return "hand a whole desk file to the fleet" }
func (*applyCommand) Usage() string {
	return `linedrum apply [-node IP:PORT] -based-on SERIAL [-id ID] FILE
linedrum apply [-node IP:PORT] -outcome -id ID
  Sends a desk file that was made from the given serial (0 for the first one). It is
  taken whole, by a majority of the disks, or not at all.
  Exit code 0: accepted; 2: the file is at fault; 3: another edit came first;
  4: the outcome is not known: ask with -outcome, or send it again with the same -id.
  Example: linedrum apply -node 127.0.0.1:8080 -based-on 0 desks.json
`
}

func (c *applyCommand) SetFlags(f *flag.FlagSet) {
	c.flags(f)
	f.Int64Var(&c.basedOn, "based-on", -1, "the serial that this file was made from")
	f.StringVar(&c.id, "id", "", "a name for this apply, to ask for its outcome by; made up without one")
	f.BoolVar(&c.outcome, "outcome", false, "ask what became of an earlier apply")
}

func (c *applyCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.outcome {
		return c.ask()
	}
	if f.NArg() != 1 || c.basedOn < 0 {
		fmt.Fprint(os.Stderr, c.Usage())
		return exitUsage
	}
	b, err := os.ReadFile(f.Arg(0))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if _, faults := desk.Parse(b); len(faults) > 0 {
		printFaults(faults)
		return exitUsage
	}
	if c.id == "" {
		var id [8]byte
		_, _ = crand.Read(id[:])
		c.id = hex.EncodeToString(id[:])
	}
	query := url.Values{"based_on": {strconv.FormatInt(c.basedOn, 10)}, "id": {c.id}}
	status, body, err := c.call(http.MethodPut, "/linedrum/desk?"+query.Encode(), b)
	if err != nil {
		fmt.Fprintf(os.Stderr, "no reply, so the outcome is not known: %v\nask for it: linedrum apply -node %s -outcome -id %s\n", err, c.node, c.id)
		return exitUnknown
	}
	if status != http.StatusOK {
		code := told(status, body)
		if code == exitUnknown {
			fmt.Fprintf(os.Stderr, "ask for it: linedrum apply -node %s -outcome -id %s\n", c.node, c.id)
		}
		return code
	}
	if c.json {
		fmt.Print(string(body))
		return subcommands.ExitSuccess
	}
	var out struct{ Serial uint64 }
	_ = json.Unmarshal(body, &out)
	fmt.Printf("accepted as serial %d\n", out.Serial)
	return subcommands.ExitSuccess
}

func (c *applyCommand) ask() subcommands.ExitStatus {
	body, code := c.get("/linedrum/desk/outcome?" + url.Values{"id": {c.id}}.Encode())
	if body == nil {
		return code
	}
	if c.json {
		fmt.Print(string(body))
		return subcommands.ExitSuccess
	}
	var out struct {
		Accepted bool
		Serial   uint64
		InForce  uint64 `json:"serial_in_force"`
	}
	_ = json.Unmarshal(body, &out)
	if out.Accepted {
		fmt.Printf("accepted as serial %d; serial %d is in force\n", out.Serial, out.InForce)
		return subcommands.ExitSuccess
	}
	fmt.Printf("not accepted; serial %d is in force\n", out.InForce)
	return exitFailed
}

type siteCommand struct{ target }

func (*siteCommand) Name() string     { return "zone" }
func (*siteCommand) Synopsis() string { return "empty a zone, or bring it back" }
func (*siteCommand) Usage() string {
	return `linedrum zone [-node IP:PORT] empty|in NAME
  An emptied zone's engines get no new work. Exit code 0: recorded on a majority.
  Example: linedrum zone -node 127.0.0.1:8080 empty north
`
}
func (c *siteCommand) SetFlags(f *flag.FlagSet) { c.flags(f) }

func (c *siteCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 2 || f.Arg(0) != "empty" && f.Arg(0) != "in" {
		fmt.Fprint(os.Stderr, c.Usage())
		return exitUsage
	}
	b, _ := json.Marshal(map[string]string{"state": f.Arg(0), "site": f.Arg(1)})
	status, body, err := c.call(http.MethodPost, "/linedrum/sites", b)
	if err != nil {
		fmt.Fprintf(os.Stderr, "no reply, so the outcome is not known; it is safe to send this again: %v\n", err)
		return exitUnknown
	}
	if status != http.StatusOK {
		return told(status, body)
	}
	if c.json {
		fmt.Print(string(body))
	} else {
		fmt.Printf("zone %s is recorded as %s\n", f.Arg(1), f.Arg(0))
	}
	return subcommands.ExitSuccess
}

type statusCommand struct{ target }

func (*statusCommand) Name() string     { return "status" }
func (*statusCommand) Synopsis() string { return "show the fleet as one node sees it" }
func (*statusCommand) Usage() string {
	return `linedrum status [-node IP:PORT] [-json]
  Shows members, keys with owners and epochs, serials in force, and engines.
  Example: linedrum status -node 127.0.0.1:8080
`
}
func (c *statusCommand) SetFlags(f *flag.FlagSet) { c.flags(f) }

type member struct {
	Addr, HTTP, Site, Disk string
	Incarnation            uint64
	Departed               bool
}

// everyone asks each live member for the desk serial in force on it.
func (c *statusCommand) everyone(members []member) map[string]string {
	out := map[string]string{}
	var mu sync.Mutex
	asking := lifecycle.New(context.Background())
	for _, m := range members {
		if m.Departed {
			continue
		}
		asking.Start(func(context.Context) {
			told := "no reply"
			t := target{node: m.HTTP, wait: min(c.wait, 2*time.Second)}
			if status, body, err := t.call(http.MethodGet, "/linedrum/status", nil); err == nil && status == http.StatusOK {
				var s struct {
					Node    struct{ Permit bool }
					InForce struct{ Desk uint64 } `json:"in_force"`
				}
				_ = json.Unmarshal(body, &s)
				told = strconv.FormatUint(s.InForce.Desk, 10)
				if !s.Node.Permit {
					told += ", no permit"
				}
			}
			mu.Lock()
			defer mu.Unlock()
			out[m.Addr] = told
		})
	}
	asking.Wait()
	return out
}

func (c *statusCommand) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	body, code := c.get("/linedrum/status")
	if body == nil {
		return code
	}
	if c.json {
		fmt.Print(string(body))
		return subcommands.ExitSuccess
	}
	var s struct {
		Node    map[string]any
		InForce struct{ Desk, Engines, Sites uint64 } `json:"in_force"`
		Empty   []string                              `json:"empty_sites"`
		Members []member
		Keys    []struct {
			Key, Owner, Holder string
			Epoch, Serial      uint64
		}
		Engines []struct {
			Name, Addr, Site, Pool, State, Role, Reports string
			Running, Slots                               int
			AgeMS                                        int64 `json:"age_ms"`
			Silent                                       bool
		}
	}
	if err := json.Unmarshal(body, &s); err != nil {
		return lost(err)
	}
	fmt.Printf("node %v in zone %v, incarnation %v, permit %v\n", s.Node["addr"], s.Node["site"], s.Node["incarnation"], s.Node["permit"])
	fmt.Printf("in force: desk %d, engines %d, zones %d; emptied zones: %v\n\n", s.InForce.Desk, s.InForce.Engines, s.InForce.Sites, s.Empty)
	out := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(out, "MEMBER\tHTTP\tZONE\tINCARNATION\tDISK\tSTATE\tDESK IN FORCE")
	inForce := c.everyone(s.Members)
	for _, m := range s.Members {
		state := "live"
		if m.Departed {
			state = "departed"
		}
		fmt.Fprintf(out, "%s\t%s\t%s\t%d\t%s\t%s\t%s\n", m.Addr, m.HTTP, m.Site, m.Incarnation, m.Disk, state, inForce[m.Addr])
	}
	fmt.Fprintln(out, "\nKEY\tOWNER\tEPOCH\tHOLDER\tSERIAL\t")
	for _, k := range s.Keys {
		fmt.Fprintf(out, "%s\t%s\t%d\t%s\t%d\t\n", k.Key, k.Owner, k.Epoch, k.Holder, k.Serial)
	}
	fmt.Fprintln(out, "\nENGINE\tADDR\tZONE\tPOOL\tSTATE\tROLE\tREPORTS\tLOAD\tAGE")
	for _, e := range s.Engines {
		state := e.State
		if e.Silent {
			state += ", silent"
		}
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d/%d\t%s\n", e.Name, e.Addr, e.Site, e.Pool, state, e.Role, e.Reports,
			e.Running, e.Slots, (time.Duration(e.AgeMS) * time.Millisecond).Round(time.Second))
	}
	_ = out.Flush()
	return subcommands.ExitSuccess
}
