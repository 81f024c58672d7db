package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"linedrum.example/linedrum/event"
	"linedrum.example/linedrum/node"
	"linedrum.example/linedrum/platform"
	"linedrum.example/linedrum/platform/launch"
)

type platformCommand struct{ check, debug bool }

func (*platformCommand) Name() string     { return "platform" }
func (*platformCommand) Synopsis() string { return "run one process on the users' platform" }
func (*platformCommand) Usage() string {
	return `linedrum platform [-check]
  Runs one process as the users' platform starts it: by the settings file that the
  environment names (docs/platform.md). -check prints what it comes to, and ends.
`
}

func (c *platformCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.check, "check", false, "only check the settings file, and print the product's settings")
	f.BoolVar(&c.debug, "debug", false, "log every request")
}

func (c *platformCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		fmt.Fprint(os.Stderr, c.Usage())
		return exitUsage
	}
	if c.check {
		return printSettings()
	}
	return process{debug: c.debug, load: loadPlace}.run()
}

// printSettings checks the settings file, and prints what it comes to.
func printSettings() subcommands.ExitStatus {
	place, err := platform.Load()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	b, err := json.MarshalIndent(place.Settings, "", "  ")
	if err != nil {
		return exitFailed
	}
	fmt.Println(string(b))
	return subcommands.ExitSuccess
}

// loadPlace reads the settings file, and says how a process runs by it.
func loadPlace() (loaded, error) {
	place, err := platform.Load()
	if err != nil {
		return loaded{}, err
	}
	return loaded{
		logBytes: place.Settings.Limits.Log,
		limits:   node.PeerLimits(place.Settings, false),
		start: func(ctx context.Context, out *event.Log) (*node.Node, error) {
			return launch.Start(ctx, place, out, node.Machine())
		},
		reload: reread,
	}, nil
}

func reread(n *node.Node) error {
	fresh, err := platform.Load()
	if err != nil {
		return err
	}
	if faults := n.Reload(fresh.Settings); len(faults) > 0 {
		return faults
	}
	return nil
}
