package main

import (
	"context"
	"time"

	"github.com/juju/errors"

	"linedrum.example/linedrum/acquire"
	"linedrum.example/linedrum/boot"
	"linedrum.example/linedrum/event"
	"linedrum.example/linedrum/settings"
)

// settled is how long a fault must stay in a settings file to be one: before that, whoever writes
// the file may not be done.
const settled = time.Second

// settingsPauses are those between two readings of a settings file that is not whole, or at fault.
var settingsPauses = acquire.Pauses{First: 50 * time.Millisecond, Longest: time.Second}

// awaitSettings loads the settings once they are whole. Its error says that stop ended first, or
// what fault stayed in them.
func (p process) awaitSettings(stop context.Context, out *event.Log) (loaded, error) {
	var (
		l     loaded
		fault error
		since time.Duration
	)
	clock := boot.Clock{}
	file := acquire.Resource{Name: "settings file", Pauses: settingsPauses, Log: out, Now: clock.Now}
	err := file.Until(stop, func() error {
		read, err := p.load()
		if err == nil || errors.Is(err, settings.ErrNotWhole) {
			l, fault = read, nil
			return err
		}
		if fault == nil || fault.Error() != err.Error() {
			fault, since = err, clock.Now()
		}
		if clock.Now()-since >= settled {
			return acquire.Hopeless(err)
		}
		return err
	})
	return l, err
}
