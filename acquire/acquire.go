// Package acquire takes what a process needs of its machine however long it is not to be had: a
// port, a file, a folder, a descriptor. It tries with growing pauses, says what is waited for and
// why, and says when it is there (docs/design.md section 7.7).
package acquire

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"linedrum.example/linedrum/event"
	"linedrum.example/linedrum/lifecycle"
)

// Pauses are those between tries: each is twice the one before, from First to Longest.
type Pauses struct{ First, Longest time.Duration }

// Begin gives the pauses of one wait, one after the other.
func (p Pauses) Begin() func() time.Duration {
	const doubled = 2
	pauses := &backoff.ExponentialBackOff{InitialInterval: p.First, MaxInterval: p.Longest, Multiplier: doubled}
	pauses.Reset()
	return pauses.NextBackOff
}

// sayAgain is the least time between two lines about a wait whose reason is the same.
const sayAgain = 10 * time.Second

// Resource is something that a process needs.
type Resource struct {
	Name   string // as the log names it
	Pauses Pauses
	Log    *event.Log // nil: nothing is logged
	Now    func() time.Duration
}

// Hopeless marks the error of a try after which no other one is to follow.
func Hopeless(err error) error { return backoff.Permanent(err) }

// Until tries until a try succeeds, and then returns nil, or until ctx ends or a try is Hopeless, and
// then returns its error. The first try follows at once.
func (r Resource) Until(ctx context.Context, try func() error) error {
	pause := r.Pauses.Begin()
	wait := wait{resource: r, began: r.Now()}
	for {
		err := try()
		if err == nil {
			wait.over()
			return nil
		}
		if hopeless := (*backoff.PermanentError)(nil); errors.As(err, &hopeless) {
			return hopeless.Unwrap()
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		wait.goesOn(err.Error())
		if !lifecycle.Pause(ctx, pause()) {
			return ctx.Err()
		}
	}
}

// wait is one wait for a resource, as the log has it.
type wait struct {
	resource Resource
	began    time.Duration
	reason   string // that was said last; empty: nothing was
	said     time.Duration
}

// goesOn says why the wait goes on: when it begins, at each new reason, and now and then.
func (w *wait) goesOn(reason string) {
	now := w.resource.Now()
	if reason == w.reason && now-w.said < sayAgain {
		return
	}
	w.reason, w.said = reason, now
	w.say(event.Awaited, event.Fields{"reason": reason})
}

// over says that the wait is over, if it was said that there is one.
func (w *wait) over() {
	if w.reason != "" {
		w.say(event.Acquired, event.Fields{})
	}
}

func (w *wait) say(number event.Number, fields event.Fields) {
	if w.resource.Log == nil {
		return
	}
	fields["resource"] = w.resource.Name
	fields["waited_ms"] = (w.resource.Now() - w.began).Milliseconds()
	w.resource.Log.Say(number, fields)
}
