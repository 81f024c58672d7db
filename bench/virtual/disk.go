package virtual

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sort"
	"sync"
	"syscall"
	"time"

	"linedrum.example/linedrum/lifecycle"
	"linedrum.example/linedrum/wal"
)

// Disk is a machine's disk: what was written lasts once it is synced, and names
// last once their folder is.
type Disk struct {
	mu      sync.Mutex
	now     map[string]*content // as a process sees it
	lasting map[string]*content // as it is after a power loss
	life    int
	delay   time.Duration // of a sync
	stalled bool
	fails   bool
	full    bool
	room    int  // bytes that it still takes while it is full
	lies    bool // the planted fault: a sync is said to be done, and is not
	changed *sync.Cond
	Syncs   int
	Written int64
}

type content struct {
	data   []byte
	synced int
}

// NewDisk makes an empty one.
func NewDisk() *Disk {
	d := &Disk{now: map[string]*content{}, lasting: map[string]*content{}, delay: 2 * time.Millisecond}
	d.changed = sync.NewCond(&d.mu)
	return d
}

// Stall has all syncs wait, until it is told otherwise.
func (d *Disk) Stall(stalled bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stalled = stalled
	d.changed.Broadcast()
}

// Slow sets how long a sync takes.
func (d *Disk) Slow(sync time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = sync
}

// Lie has syncs do nothing and say that they are done.
func (d *Disk) Lie(lies bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lies = lies
}

// Fail has every write and sync fail, until it is told otherwise.
func (d *Disk) Fail(fails bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fails = fails
}

// Fill has the disk take so many more bytes and then none: a write ends short, with
// ENOSPC. Reads, syncs, renames and removals go on. It stays full when a process ends.
func (d *Disk) Fill(room int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full, d.room = true, room
}

// Clear has the disk take bytes again.
func (d *Disk) Clear() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = false
}

// take is how many of some bytes the disk takes. Called under mu.
func (d *Disk) take(count int) int {
	if !d.full {
		return count
	}
	taken := min(count, d.room)
	d.room -= taken
	return taken
}

// Crash ends the life of whoever had the disk open. A power loss takes with it
// what was not synced.
func (d *Disk) Crash(power bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.life++
	d.fails, d.stalled, d.delay = false, false, 2*time.Millisecond
	if power {
		d.now = map[string]*content{}
		for name, c := range d.lasting {
			c.data = c.data[:c.synced]
			d.now[name] = c
		}
	} else {
		d.last()
	}
	d.changed.Broadcast()
}

// last makes names last. Called under mu.
func (d *Disk) last() {
	d.lasting = map[string]*content{}
	for name, c := range d.now {
		d.lasting[name] = c
	}
}

// Folder opens the disk for one life on a machine.
func (d *Disk) Folder(p *Ports) *Folder {
	d.mu.Lock()
	defer d.mu.Unlock()
	return &Folder{d, p, d.life}
}

// Folder is the disk as one process has it.
type Folder struct {
	disk  *Disk
	ports *Ports
	life  int
}

var errFailed = errors.New("the disk failed")

// enter locks the disk, unless this process's life is over.
func (f *Folder) enter() error {
	alive := f.ports.Wait()
	f.disk.mu.Lock()
	switch {
	case !alive || f.life != f.disk.life:
		f.disk.mu.Unlock()
		return errDead
	case f.disk.fails:
		f.disk.mu.Unlock()
		return errFailed
	}
	return nil
}

func (f *Folder) open(name string) (*content, error) {
	c := f.disk.now[name]
	if c == nil {
		return nil, fmt.Errorf("%s: %w", name, os.ErrNotExist)
	}
	return c, nil
}

// List implements wal.Files.
func (f *Folder) List() ([]string, error) {
	if err := f.enter(); err != nil {
		return nil, err
	}
	defer f.disk.mu.Unlock()
	var out []string
	for name := range f.disk.now {
		out = append(out, name)
	}
	sort.Strings(out)
	return out, nil
}

// Read implements wal.Files.
func (f *Folder) Read(name string) ([]byte, error) {
	if err := f.enter(); err != nil {
		return nil, err
	}
	defer f.disk.mu.Unlock()
	c, err := f.open(name)
	if err != nil {
		return nil, err
	}
	return append([]byte(nil), c.data...), nil
}

// Create implements wal.Files.
func (f *Folder) Create(name string) (wal.File, error) {
	if err := f.enter(); err != nil {
		return nil, err
	}
	defer f.disk.mu.Unlock()
	if f.disk.full && f.disk.room == 0 {
		return nil, &os.PathError{Op: "open", Path: name, Err: syscall.ENOSPC}
	}
	c := &content{}
	f.disk.now[name] = c
	return &file{f, c}, nil
}

// Rename implements wal.Files.
func (f *Folder) Rename(from, to string) error {
	if err := f.enter(); err != nil {
		return err
	}
	defer f.disk.mu.Unlock()
	c, err := f.open(from)
	if err == nil {
		f.disk.now[to] = c
		delete(f.disk.now, from)
	}
	return err
}

// Remove implements wal.Files.
func (f *Folder) Remove(name string) error {
	if err := f.enter(); err != nil {
		return err
	}
	defer f.disk.mu.Unlock()
	_, err := f.open(name)
	delete(f.disk.now, name)
	return err
}

// SyncDir implements wal.Files.
func (f *Folder) SyncDir() error {
	if err := f.enter(); err != nil {
		return err
	}
	defer f.disk.mu.Unlock()
	f.disk.last()
	return nil
}

// Close lets go of the folder.
func (f *Folder) Close() {}

type file struct {
	f *Folder
	c *content
}

func (w *file) Write(b []byte) (int, error) {
	if err := w.f.enter(); err != nil {
		return 0, err
	}
	defer w.f.disk.mu.Unlock()
	taken := w.f.disk.take(len(b))
	w.c.data = append(w.c.data, b[:taken]...)
	w.f.disk.Written += int64(taken)
	if taken < len(b) {
		return taken, fmt.Errorf("write: %w", syscall.ENOSPC)
	}
	return taken, nil
}

// Sync takes its time; what was written before it began lasts when it ends.
func (w *file) Sync() error {
	if err := w.f.enter(); err != nil {
		return err
	}
	d := w.f.disk
	upTo, delay := len(w.c.data), d.delay
	d.mu.Unlock()
	lifecycle.Pause(context.Background(), delay)
	if err := w.f.enter(); err != nil {
		return err
	}
	defer d.mu.Unlock()
	for d.stalled && d.life == w.f.life {
		d.changed.Wait()
	}
	if d.life != w.f.life {
		return errDead
	}
	if !d.lies {
		w.c.synced = max(w.c.synced, min(upTo, len(w.c.data)))
	}
	d.Syncs++
	return nil
}

func (w *file) Close() error { return nil }

// Size is how many bytes the disk holds.
func (d *Disk) Size() (sum int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.now {
		sum += int64(len(c.data))
	}
	return sum
}
