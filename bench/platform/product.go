package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/apex/log"
	jsonlog "github.com/apex/log/handlers/json"

	"linedrum.example/linedrum/control"
	"linedrum.example/linedrum/desk"
	"linedrum.example/linedrum/event"
	"linedrum.example/linedrum/node"
	product "linedrum.example/linedrum/platform"
	"linedrum.example/linedrum/register"
	"linedrum.example/linedrum/verdict"
)

// Product starts the product's own process on a machine in memory, as the subcommand
// does on a real one.
func Product(settings []byte, host node.Host, out io.Writer) (Life, error) {
	place, err := product.Parse(settings)
	if err != nil {
		return nil, err
	}
	says := event.New(&log.Logger{Handler: jsonlog.New(out), Level: log.InfoLevel})
	bounds := place.Settings.Bounds
	started, err := node.Start(place.Settings, says, host, node.Outside{
		Speech: product.NewSpeech(host.Net, host.Clock, bounds), Lister: product.NewList(host.Net, host.Clock, bounds, place.List, place.ListRate, place.ListLag),
		Faces: []func(*node.Node) (node.Face, error){node.Own, func(n *node.Node) (node.Face, error) {
			return product.NewFace(product.Node{
				Place: place, Net: n.Net(), Server: n.Path(), Keeper: keeper{n.Control},
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
	if err != nil {
		return nil, err
	}
	return started, nil
}

// keeper is the control state as the platform's operators edit it.
type keeper struct{ control *control.Control }

func (k keeper) Desk(ctx context.Context) (desk.Stored, uint64, error) {
	stored, serial, fault := k.control.DeskInForce(ctx)
	return stored, serial, asError(fault)
}

func (k keeper) EditDesk(ctx context.Context, base uint64, id string, next desk.Stored) error {
	if _, faults := desk.Parse(next.File); len(faults) > 0 {
		return &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusBadRequest, Code: "faults", Reason: faults.Error(), Cause: faults}
	}
	done, fault := k.control.ApplyDesk(ctx, control.Edit{File: next.File, Source: next.Source, Edition: next.Edition, Base: base, ID: id})
	return outcome(done, fault)
}

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
		return product.ErrPassed
	case done.Outcome == register.NotDone:
		return &verdict.Error{Verdict: verdict.NotRun, Code: "no-majority", Reason: "no majority of the disks replied; nothing was changed", RetryAfter: time.Second}
	}
	return &verdict.Error{Verdict: verdict.MayHaveRun, Code: "outcome-unknown", Reason: "it may have been taken; send it again"}
}

func asError(fault *verdict.Error) error {
	if fault == nil {
		return nil
	}
	return fault
}
