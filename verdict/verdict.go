// Package verdict is the error type of the project: every failure of a request
// says whether the request may have run (design.md section 5.2).
package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Verdict says whether a request ran.
type Verdict uint8

// The three verdicts. NotRun is a promise; MayHaveRun is the absence of one.
const (
	NotRun Verdict = iota + 1
	Ran
	MayHaveRun
)

// Header carries the verdict towards callers, and from engines.
const Header = "X-Linedrum-Verdict"

// String is the form used in headers and bodies.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	case MayHaveRun:
		return "may-have-run"
	}
	return "none"
}

// Parse reads the form that String writes.
func Parse(s string) (Verdict, bool) {
	for _, v := range []Verdict{NotRun, Ran, MayHaveRun} {
		if v.String() == s {
			return v, true
		}
	}
	return 0, false
}

// Error is a failed request, or a failed go.
type Error struct {
	Verdict    Verdict
	Status     int           // the HTTP status for the caller
	Code       string        // short and stable, for programs
	Reason     string        // one sentence, for people
	Field      string        // which field of the input is at fault, if one is
	RetryAfter time.Duration // when to come back; zero: no use in coming back
	Cause      error
}

// Error implements error.
func (e *Error) Error() string {
	out := fmt.Sprintf("%s (%s): %s", e.Code, e.Verdict, e.Reason)
	if e.Cause != nil {
		out += ": " + e.Cause.Error()
	}
	return out
}

// Unwrap gives the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Of finds the verdict of any error; an error that says nothing may have run.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}
