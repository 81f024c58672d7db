package main

import (
	"context"
	"os"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"

	"linedrum.example/linedrum/boot"
	"linedrum.example/linedrum/event"
	"linedrum.example/linedrum/lifecycle"
	"linedrum.example/linedrum/logwriter"
	"linedrum.example/linedrum/settings"
)

// flushWithin is how long a process that ends waits for whoever reads its last lines.
const flushWithin = 250 * time.Millisecond

// processLog is the log of a process: on standard error, which holds nobody up.
type processLog struct {
	*event.Log
	lines *logwriter.Writer
}

// startLog begins to write the log.
func startLog(debug bool) *processLog {
	l := &processLog{}
	l.lines = logwriter.New(logwriter.Config{
		Out: os.Stderr, Limit: settings.DefaultLog, Now: boot.Clock{}.Now,
		Report: func(lost, inAll uint64) { l.Say(event.LogLost, event.Fields{"lost": lost, "lost_in_all": inAll}) },
	})
	logger := &log.Logger{Handler: json.New(l.lines), Level: log.InfoLevel}
	if debug {
		logger.Level = log.DebugLevel
	}
	l.Log = event.New(logger)
	l.CountLost(l.lines.Lost)
	lifecycle.New(context.Background()).Start(l.lines.Run)
	return l
}

// flush waits for what was written so far to go on, but not long.
func (l *processLog) flush() {
	ctx, cancel := context.WithTimeout(context.Background(), flushWithin)
	defer cancel()
	l.lines.Flush(ctx)
}
