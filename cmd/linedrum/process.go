package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/google/subcommands"

	"linedrum.example/linedrum/event"
	"linedrum.example/linedrum/node"
)

// process is one process of the fleet, by either of the subcommands that run one.
type process struct {
	debug  bool // log every request
	start  func(out *event.Log) (*node.Node, error)
	reload func(n *node.Node) error // on SIGHUP
}

// run logs to standard error, and ends with the planned stop at SIGTERM or SIGINT.
func (p process) run() subcommands.ExitStatus {
	logger := &log.Logger{Handler: json.New(os.Stderr), Level: log.InfoLevel}
	if p.debug {
		logger.Level = log.DebugLevel
	}
	out := event.New(logger)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	n, err := p.start(out)
	if err != nil {
		out.Say(event.StartBounced, event.Fields{"reason": err.Error()})
		return exitFailed
	}
	for sig := range signals {
		if sig != syscall.SIGHUP {
			break
		}
		if err := p.reload(n); err != nil {
			out.Say(event.ReloadBounced, event.Fields{"reason": err.Error()})
			continue
		}
		out.Say(event.Reloaded, nil)
	}
	n.Stop()
	return subcommands.ExitSuccess
}
