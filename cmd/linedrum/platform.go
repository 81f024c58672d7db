package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/apex/log"
	jsonlog "github.com/apex/log/handlers/json"
	"github.com/google/subcommands"

	"linedrum.example/linedrum/boot"
	"linedrum.example/linedrum/control"
	"linedrum.example/linedrum/desk"
	"linedrum.example/linedrum/event"
	"linedrum.example/linedrum/link"
	"linedrum.example/linedrum/node"
	"linedrum.example/linedrum/platform"
	"linedrum.example/linedrum/register"
	"linedrum.example/linedrum/verdict"
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
	place, err := platform.Load()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if c.check {
		b, err := json.MarshalIndent(place.Settings, "", "  ")
		if err != nil {
			return exitFailed
		}
		fmt.Println(string(b))
		return subcommands.ExitSuccess
	}
	logger := &log.Logger{Handler: jsonlog.New(os.Stderr), Level: log.InfoLevel}
	if c.debug {
		logger.Level = log.DebugLevel
	}
	out := event.New(logger)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	n, err := startOn(place, out)
	if err != nil {
		out.Say(event.StartBounced, event.Fields{"reason": err.Error()})
		return exitFailed
	}
	for sig := range signals {
		if sig != syscall.SIGHUP {
			break
		}
		if err := reread(n); err != nil {
			out.Say(event.ReloadBounced, event.Fields{"reason": err.Error()})
			continue
		}
		out.Say(event.Reloaded, nil)
	}
	n.Stop()
	return subcommands.ExitSuccess
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

// startOn brings a node up with the platform's faces, engines and list.
func startOn(place platform.Place, out *event.Log) (*node.Node, error) {
	bounds := place.Settings.Bounds
	list := platform.NewList(link.Sockets{}, boot.Clock{}, bounds, place.List, place.ListRate, place.ListLag)
	return node.Start(place.Settings, out, node.Machine(), node.Outside{
		Speech: platform.NewSpeech(link.Sockets{}, boot.Clock{}, bounds), Lister: list,
		Faces: []func(*node.Node) (node.Face, error){node.Own, func(n *node.Node) (node.Face, error) {
			return platform.NewFace(platform.Node{
				Place: place, Net: n.Net(), Server: n.Path(), Keeper: keeper{n.Control, out},
				NotReady: func() string {
					if n.Picture().EngineSerial == 0 {
						return "no list of engines"
					}
					return n.NotReady()
				},
				Source: func() (uint64, json.RawMessage) {
					p := n.Picture()
					return p.DeskSerial, p.DeskSource
				},
				Start: n.Background,
			}), nil
		}},
	})
}

// keeper is the control state as the platform's operators edit it.
type keeper struct {
	control *control.Control
	log     *event.Log
}

// Desk implements platform.Keeper.
func (k keeper) Desk(ctx context.Context) (desk.Stored, uint64, error) {
	stored, serial, fault := k.control.DeskInForce(ctx)
	return stored, serial, asError(fault)
}

// EditDesk implements platform.Keeper.
func (k keeper) EditDesk(ctx context.Context, base uint64, id string, next desk.Stored) error {
	// A file that this program could not read would stop the fleet.
	if _, faults := desk.Parse(next.File); len(faults) > 0 {
		k.log.Say(event.DeskBounced, event.Fields{"faults": len(faults), "first": faults[0].String()})
		return &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusBadRequest, Code: "faults", Reason: faults.Error(), Cause: faults}
	}
	done, fault := k.control.ApplyDesk(ctx, control.Edit{File: next.File, Source: next.Source, Edition: next.Edition, Base: base, ID: id})
	return outcome(done, fault)
}

// EmptySite implements platform.Keeper.
func (k keeper) EmptySite(ctx context.Context, site string, empty bool) error {
	done, _, fault := k.control.EmptySite(ctx, site, empty)
	return outcome(done, fault)
}

func outcome(done control.Outcome, fault *verdict.Error) error {
	switch {
	case fault != nil:
		return fault
	case done.Outcome == register.Done:
		return nil
	case done.Outcome == register.Conflict:
		return platform.ErrPassed
	case done.Outcome == register.NotDone:
		return &verdict.Error{Verdict: verdict.NotRun, Code: "no-majority", Reason: "no majority of the disks replied; nothing was changed", RetryAfter: time.Second}
	}
	return &verdict.Error{Verdict: verdict.MayHaveRun, Code: "outcome-unknown", Reason: "it may have been taken; send it again"}
}

// asError keeps a fault that is none from becoming an error that is one.
func asError(fault *verdict.Error) error {
	if fault == nil {
		return nil
	}
	return fault
}
