package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"linedrum.example/linedrum/event"
	"linedrum.example/linedrum/node"
	"linedrum.example/linedrum/settings"
	"linedrum.example/linedrum/strict"
)

type nodeCommand struct {
	file, listen, http, site, seeds, data string
	debug, test                           bool
}

func (*nodeCommand) Name() string     { return "node" }
func (*nodeCommand) Synopsis() string { return "run one process of the fleet" }
func (*nodeCommand) Usage() string {
	return `linedrum node -settings FILE [-listen IP:PORT] [-http IP:PORT] [-site NAME] [-seeds A,B,C] [-data FOLDER]
  Runs one process of the fleet until SIGTERM or SIGINT; SIGHUP reads the settings anew.
  Flags stand over the settings file. Logs go to standard error, one JSON object a line.
  Example: linedrum node -settings /etc/linedrum/node.json
`
}

func (c *nodeCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "settings", "", "the settings file (docs/settings.md)")
	f.StringVar(&c.listen, "listen", "", "ip:port between nodes")
	f.StringVar(&c.http, "http", "", "ip:port for callers and operators")
	f.StringVar(&c.site, "site", "", "the site, or zone, of this machine")
	f.StringVar(&c.seeds, "seeds", "", "addresses of other nodes, with commas")
	f.StringVar(&c.data, "data", "", "folder of this machine's disk")
	f.BoolVar(&c.debug, "debug", false, "log every request")
	f.BoolVar(&c.test, "test", false, "only check the settings")
}

// load reads the settings with the flags over them. Its error is strict.Faults, or
// settings.ErrNotWhole.
func (c *nodeCommand) load() (settings.Settings, error) {
	b, err := settings.ReadFile(c.file)
	if err != nil {
		return settings.Settings{}, errors.Trace(err)
	}
	s, faults := settings.ParseOver(b, c.overwrite)
	if len(faults) > 0 {
		return s, faults
	}
	return s, nil
}

// overwrite has the flags stand over the file.
func (c *nodeCommand) overwrite(s *settings.Settings) {
	for _, flagged := range []struct {
		value string
		into  *string
	}{{c.listen, &s.Listen}, {c.http, &s.HTTP}, {c.site, &s.Site}, {c.data, &s.Data}} {
		if flagged.value != "" {
			*flagged.into = flagged.value
		}
	}
	if c.seeds != "" {
		s.Seeds = strings.Split(c.seeds, ",")
	}
}

func (c *nodeCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 || c.file == "" {
		fmt.Fprint(os.Stderr, c.Usage())
		return exitUsage
	}
	if c.test {
		return c.testSettings()
	}
	return process{debug: c.debug, load: c.loadNode}.run()
}

func printFaults(faults strict.Faults) {
	for _, f := range faults {
		fmt.Fprintln(os.Stderr, f)
	}
}

// testSettings checks the settings only.
func (c *nodeCommand) testSettings() subcommands.ExitStatus {
	_, err := c.load()
	var faults strict.Faults
	switch {
	case errors.As(err, &faults):
		printFaults(faults)
		return exitUsage
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	fmt.Println("the settings are sound")
	return subcommands.ExitSuccess
}

// loadNode reads the settings, and says how a process runs by them.
func (c *nodeCommand) loadNode() (loaded, error) {
	s, err := c.load()
	if err != nil {
		return loaded{}, err
	}
	return loaded{
		logBytes: s.Limits.Log,
		limits:   node.PeerLimits(s, true),
		start: func(ctx context.Context, out *event.Log) (*node.Node, error) {
			return node.Start(ctx, s, out, node.Machine(), node.Outside{})
		},
		reload: c.reload,
	}, nil
}

// reload has a node go on by the settings read anew.
func (c *nodeCommand) reload(n *node.Node) error {
	fresh, err := c.load()
	if err != nil {
		return err
	}
	if faults := n.Reload(fresh); len(faults) > 0 {
		return faults
	}
	return nil
}
