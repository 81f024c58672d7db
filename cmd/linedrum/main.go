// Command linedrum is the whole product: its role is the subcommand.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

// Exit codes, beside 0 (docs/operations.md section 1).
const (
	exitFailed   = 1 // it was tried and did not work
	exitUsage    = 2 // flags, settings or a file are at fault
	exitConflict = 3 // an edit lost against another one
	exitUnknown  = 4 // the outcome is not known
	exitPanic    = 5 // the program is at fault: event 510 has the stack
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&nodeCommand{}, "")
	subcommands.Register(&platformCommand{}, "")
	subcommands.Register(&checkCommand{}, "operators")
	subcommands.Register(&applyCommand{}, "operators")
	subcommands.Register(&siteCommand{}, "operators")
	subcommands.Register(&statusCommand{}, "operators")
	subcommands.Register(&explainCommand{}, "operators")
	subcommands.Register(&planCommand{}, "operators")
	subcommands.Register(&replayCommand{}, "operators")
	subcommands.Register(&dataCommand{}, "operators")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
