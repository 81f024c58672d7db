package main

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"linedrum.example/linedrum/boot"
	"linedrum.example/linedrum/budget"
	"linedrum.example/linedrum/earlysignals"
	"linedrum.example/linedrum/event"
	"linedrum.example/linedrum/lifecycle"
	"linedrum.example/linedrum/node"
)

// process is one process of the fleet, by either of the subcommands that run one.
type process struct {
	debug bool // log every request
	load  func() (loaded, error)
}

// loaded is what a process does by the settings that it was given.
type loaded struct {
	limits   budget.Limits // of what the machine gives
	logBytes int           // of the log that wait at most
	start    func(ctx context.Context, out *event.Log) (*node.Node, error)
	reload   func(n *node.Node) error // on SIGHUP
}

// ending is how and why a process ends.
type ending struct {
	code subcommands.ExitStatus
	why  string
}

// run logs to standard error, and ends with the planned stop at SIGTERM or SIGINT, also
// while it starts. Its last line says why it ends.
func (p process) run() subcommands.ExitStatus {
	began := boot.Clock{}.Now()
	earlysignals.Take()
	stop := untilStopped()
	out := startLog(p.debug)
	event.TakeLibraries(out.Log)
	lifecycle.OnPanic(func(value any, stack []byte) {
		out.Say(event.Ended, event.Fields{
			"why": fmt.Sprintf("panic: %v", value), "code": exitPanic, "stack": string(stack), "uptime_ms": uptime(began).Milliseconds(),
		})
		out.flush()
		os.Exit(exitPanic)
	})
	ends := make(chan ending, 1)
	lifecycle.New(context.Background()).Start(func(context.Context) { ends <- p.live(stop, out) }) // so that its panics are told, too
	end := <-ends
	fields := event.Fields{"why": end.why, "code": int(end.code), "uptime_ms": uptime(began).Milliseconds()}
	if name := signalName(stop); name != "" {
		fields["signal"] = name
	}
	out.Say(event.Ended, fields)
	out.flush()
	return end.code
}

func uptime(began time.Duration) time.Duration { return boot.Clock{}.Now() - began }

// live runs the process from its settings to its end.
func (p process) live(stop context.Context, out *processLog) ending {
	l, err := p.awaitSettings(stop, out.Log)
	switch {
	case stop.Err() != nil:
		return ending{subcommands.ExitSuccess, context.Cause(stop).Error()}
	case err != nil:
		out.Say(event.StartBounced, event.Fields{"reason": err.Error()})
		return ending{exitUsage, err.Error()}
	}
	out.lines.SetLimit(l.logBytes)
	limitRuntime(l.limits)
	n, err := l.start(stop, out.Log)
	switch {
	case errors.Is(err, node.ErrStopped):
		return ending{subcommands.ExitSuccess, context.Cause(stop).Error() + ", " + err.Error()}
	case err != nil:
		out.Say(event.StartBounced, event.Fields{"reason": err.Error()})
		return ending{exitFailed, err.Error()}
	}
	for {
		select {
		case <-stop.Done():
			n.Stop()
			return ending{subcommands.ExitSuccess, context.Cause(stop).Error()}
		case <-earlysignals.Reloads:
			l.reloadInto(n, out.Log)
		}
	}
}

// limitRuntime has the runtime collect more often rather than hold more than its part of the
// memory, unless the environment says otherwise.
func limitRuntime(limits budget.Limits) {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(budget.PlanFor(limits).Runtime)
	}
}

// reloadInto has a node go on by the settings read anew, or by the old ones.
func (l loaded) reloadInto(n *node.Node, out *event.Log) {
	if err := l.reload(n); err != nil {
		out.Say(event.ReloadBounced, event.Fields{"reason": err.Error()})
		return
	}
	out.Say(event.Reloaded, nil)
}
