package main

import (
	"context"
	"os"

	"linedrum.example/linedrum/earlysignals"
	"linedrum.example/linedrum/lifecycle"
)

// stopSignal is a signal that tells the process to stop, as the cause of its context's end.
type stopSignal struct{ os.Signal }

// Error implements error.
func (s stopSignal) Error() string { return "signal " + s.String() }

// untilStopped is a context that ends at SIGTERM or SIGINT; its cause is a stopSignal.
func untilStopped() context.Context {
	stop, cancel := context.WithCancelCause(context.Background())
	lifecycle.New(context.Background()).Start(func(context.Context) { cancel(stopSignal{<-earlysignals.Stops}) })
	return stop
}

// signalName is the signal that ended a context; empty: none did.
func signalName(ctx context.Context) string {
	if s, ok := context.Cause(ctx).(stopSignal); ok {
		return s.String()
	}
	return ""
}
