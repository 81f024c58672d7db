package lifecycle

import (
	"runtime/debug"
	"sync/atomic"
)

// PanicHandler is told of a panic and of the stack that it came from. It does not return: what the
// goroutine was working on is in an unknown state.
type PanicHandler func(value any, stack []byte)

var panicHandler atomic.Pointer[PanicHandler]

// OnPanic has a handler told of every panic that no goroutine of any crew recovers from. Without
// one, such a panic ends the process as the runtime does it.
func OnPanic(handler PanicHandler) { panicHandler.Store(&handler) }

// reportPanic is deferred by goroutines.
func reportPanic() {
	handler := panicHandler.Load()
	if handler == nil {
		return
	}
	if value := recover(); value != nil {
		(*handler)(value, debug.Stack())
	}
}
