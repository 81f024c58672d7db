package event

import (
	"log"
	"strings"
)

// libraryLog turns what libraries write to the standard log into events.
type libraryLog struct{ out *Log }

// Write implements io.Writer: one call is one message.
func (l libraryLog) Write(message []byte) (int, error) {
	l.out.Say(LibrarySays, Fields{"text": strings.TrimSpace(string(message))})
	return len(message), nil
}

// TakeLibraries has what libraries write to the standard log become events.
func TakeLibraries(out *Log) {
	log.SetFlags(0)
	log.SetOutput(libraryLog{out})
}
