// Package earlysignals takes the signals of a process of the fleet from as early on as a program
// can, so that none of them ends it by default: the C library ignores SIGHUP from before the Go
// runtime begins (ignore.go), and this package, which needs little, is initialized before those that
// take milliseconds. Other subcommands, which a person may interrupt, are left as they are.
package earlysignals

import (
	"os"
	"os/signal"
	"syscall"
)

var (
	// Stops takes SIGTERM and SIGINT: the process is to stop as planned. The first is kept.
	Stops = make(chan os.Signal, 1)
	// Reloads takes SIGHUP: the settings are to be read again. One is kept, since the settings
	// are read only after it was taken.
	Reloads = make(chan os.Signal, 1)
)

func init() {
	if len(os.Args) > 1 && (os.Args[1] == "platform" || os.Args[1] == "node") {
		Take()
	}
}

// Take begins to take the signals, until the process has gone. SIGPIPE is ignored: otherwise the
// runtime ends a process whose reader of standard error went away. It comes last, so that who sees
// it ignored knows that the others are taken.
func Take() {
	signal.Notify(Reloads, syscall.SIGHUP)
	signal.Notify(Stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Ignore(syscall.SIGPIPE)
}
