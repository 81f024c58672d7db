package platform

import (
	"context"
	"io"

	"github.com/apex/log"
	jsonlog "github.com/apex/log/handlers/json"

	"linedrum.example/linedrum/bench/process"
	"linedrum.example/linedrum/event"
	"linedrum.example/linedrum/node"
	product "linedrum.example/linedrum/platform"
	"linedrum.example/linedrum/platform/launch"
)

// Product starts the product's own process on a machine in memory, as the subcommand
// does on a real one.
func Product(ctx context.Context, settings []byte, host node.Host, out io.Writer) (process.Life, error) {
	place, err := product.Parse(settings)
	if err != nil {
		return nil, err
	}
	started, err := launch.Start(ctx, place, event.New(&log.Logger{Handler: jsonlog.New(out), Level: log.InfoLevel}), host)
	if err != nil {
		return nil, err
	}
	return started, nil
}
