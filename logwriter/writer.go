// Package logwriter keeps a log from holding up the process that writes it: lines wait in a
// bounded queue, and whoever reads them late, or not at all, costs lines and nothing else
// (docs/design.md section 7.4).
package logwriter

import (
	"context"
	"io"
	"sync"
	"time"
)

// atomicBytes is how many bytes a pipe takes whole or not at all (PIPE_BUF on Linux): lines of
// several processes that share a pipe are not torn.
const atomicBytes = 4096

// reportPause is the least time between two reports of lost lines.
const reportPause = time.Second

// Config is what a Writer is made of.
type Config struct {
	Out   io.Writer
	Limit int // bytes that wait at most
	// Now is the process's clock.
	Now func() time.Duration
	// Report is told of lines that were lost, once lines are taken again: how many since the last
	// report, and how many in all. It may write.
	Report func(lost, inAll uint64)
}

// Writer hands lines on to another writer, one Write a line. Write never waits and never fails.
// Safe for concurrent use.
type Writer struct {
	config Config
	wake   chan struct{}

	mu       sync.Mutex // innermost
	limit    int
	queue    []entry
	waiting  int    // bytes in the queue
	lost     uint64 // lines, in all
	reported uint64 // of these
	last     time.Duration
	told     bool // there was a report, at last
}

// entry is a line, or the mark of a flush.
type entry struct {
	line    []byte
	flushed chan struct{} // nil: a line
}

// New makes a writer; lines go on while Run runs.
func New(c Config) *Writer {
	return &Writer{config: c, limit: c.Limit, wake: make(chan struct{}, 1)}
}

// SetLimit changes how many bytes may wait.
func (w *Writer) SetLimit(bytes int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limit = bytes
}

// Lost counts the lines that nobody took in time, or whose writing failed.
func (w *Writer) Lost() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lost
}

// Write implements io.Writer for one line. A line for which there is no room is lost.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if w.waiting+len(line) > w.limit {
		w.lost++
		w.mu.Unlock()
		return len(line), nil
	}
	w.put(entry{line: append([]byte(nil), line...)})
	w.mu.Unlock()
	return len(line), nil
}

// put queues an entry. Called under mu.
func (w *Writer) put(e entry) {
	w.queue = append(w.queue, e)
	w.waiting += len(e.line)
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Flush waits until all lines so far have gone on; false means that ctx ended first.
func (w *Writer) Flush(ctx context.Context) bool {
	flushed := make(chan struct{})
	w.mu.Lock()
	w.put(entry{flushed: flushed})
	w.mu.Unlock()
	select {
	case <-flushed:
		return true
	case <-ctx.Done():
		return false
	}
}

// Run hands lines on until ctx ends.
func (w *Writer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		}
		for batch, lines, flushed := w.next(); lines > 0 || flushed != nil; batch, lines, flushed = w.next() {
			w.pass(batch, lines)
			if flushed != nil {
				close(flushed)
			}
		}
	}
}

// next takes lines off the queue that go on together, up to the mark of a flush.
func (w *Writer) next() (batch []byte, lines int, flushed chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	taken := 0
	for _, e := range w.queue {
		if e.flushed == nil && lines > 0 && len(batch)+len(e.line) > atomicBytes {
			break
		}
		taken++
		if e.flushed != nil {
			flushed = e.flushed
			break
		}
		batch = append(batch, e.line...)
		lines++
	}
	clear(w.queue[:taken])
	w.queue = w.queue[taken:]
	if len(w.queue) == 0 {
		w.queue = nil // gives the room of a long queue back
	}
	w.waiting -= len(batch)
	return batch, lines, flushed
}

// pass hands lines on, and reports what was lost before them.
func (w *Writer) pass(batch []byte, lines int) {
	if lines == 0 {
		return
	}
	if _, err := w.config.Out.Write(batch); err != nil {
		w.mu.Lock()
		w.lost += uint64(lines)
		w.mu.Unlock()
		return
	}
	if since, inAll := w.unreported(); since > 0 {
		w.config.Report(since, inAll)
	}
}

// unreported takes what was lost since the last report; 0 where that was only just.
func (w *Writer) unreported() (since, inAll uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.config.Now()
	if w.lost == w.reported || w.told && now-w.last < reportPause {
		return 0, 0
	}
	since = w.lost - w.reported
	w.reported, w.last, w.told = w.lost, now, true
	return since, w.lost
}
