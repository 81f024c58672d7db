// Package wal is the disk below an acceptor: a log in segments with pictures
// beside it (design.md section 3.4). One block holds all that was waiting when
// the disk came free, and is synced before any of it counts.
package wal

import (
	"context"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"slices"
	"strings"
	"sync"

	"github.com/juju/errors"
)

// Files is the folder below the log.
type Files interface {
	List() ([]string, error)
	Read(name string) ([]byte, error)
	Create(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	SyncDir() error
}

// File is one file being written.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// ErrDamaged is damage in the middle of the log: this disk must not vote.
const ErrDamaged = errors.ConstError("the log is damaged before its end")

// ErrStopped is given to what was waiting when the log was closed.
const ErrStopped = errors.ConstError("the log takes no more records")

// State is how far a log's disk can be relied on.
type State uint8

// States of a log.
const (
	StateTrusted    State = iota
	StateSuspect          // a write or sync failed: nothing is written until a recovery
	StateRecovering       // a snapshot is being written to files of its own
	StateLost             // the log was closed
)

// Endings of the names of files. A snapshot stands for all segments before its number
// and needs no segment of its own; a picture is the same once its segment is there too.
const (
	endSegment   = "seg"
	endPicture   = "pic"
	endSnapshot  = "snap"
	endTemporary = "tmp"
)

const (
	magic       = "linedrum-log-01\n"
	blockHeader = 8
	maxBlock    = 64 << 20
)

var table = crc32.MakeTable(crc32.Castagnoli)

// Report says what opening found.
type Report struct {
	Records  int
	Segments int
	Torn     int64 // bytes cut off the end of the last segment
	TornFile string
	// Suspect is why nothing could be written at opening: all that is there was read, and
	// the log takes records once a recovery has succeeded.
	Suspect error
	last    segmentFile // the last live segment
	// unfinished is the number of a snapshot that has no picture yet, 0 where there is none.
	unfinished uint64
}

// segmentFile is a segment as it was read: whole up to good.
type segmentFile struct {
	number uint64
	data   []byte
	good   int
}

type waiting struct {
	record  []byte
	picture func() ([][]byte, error) // of a cut: what is put beside the log
	cut     bool
	recover bool
	then    func(error)
}

// Log is an open log. Append and Barrier may be called from anywhere; the
// continuations run on the writer, in order.
type Log struct {
	files Files
	limit int

	mu      sync.Mutex // innermost lock: nothing is called under it (section 7.2)
	queue   []waiting
	queued  int
	since   int64
	failed  error // why the log is suspect; nil while it is trusted
	state   State
	wake    chan struct{}
	segment uint64
	file    File

	// Syncs and Blocks count for the figures of group commit.
	Syncs, Records uint64
}

func name(n uint64, ending string) string { return fmt.Sprintf("%016d.%s", n, ending) }

func number(file, ending string) (uint64, bool) {
	base, ok := strings.CutSuffix(file, "."+ending)
	if !ok || len(base) != 16 {
		return 0, false
	}
	var n uint64
	_, err := fmt.Sscanf(base, "%d", &n)
	return n, err == nil
}

// IsLogFile tells whether a file of a data folder is a part of its log.
func IsLogFile(file string) bool {
	for _, ending := range []string{endSegment, endPicture, endSnapshot} {
		if _, ok := number(file, ending); ok {
			return true
		}
	}
	return false
}

// Inspect replays a folder and changes nothing. A torn tail is reported.
func Inspect(files Files, replay func(record []byte) error) (Report, error) {
	return read(files, replay)
}

// Open replays a folder into replay and makes a log that goes on behind it.
// Records waiting beyond limit bytes make Busy true. Where the folder was read but
// cannot be written, the log begins suspect, and the report says why.
func Open(files Files, limit int, replay func(record []byte) error) (*Log, Report, error) {
	report, err := read(files, replay)
	if err != nil {
		return nil, report, err
	}
	l := &Log{files: files, limit: limit, wake: make(chan struct{}, 1), segment: report.last.number}
	if err := l.prepare(report); err != nil {
		report.Suspect = errors.Annotate(err, "opening")
		l.fail(report.Suspect)
	}
	return l, report, nil
}

// prepare makes what was read durable, and begins a segment behind it. A process that
// was killed may have left names and a last block that were never synced, and they
// were just read from the system's memory: so the folder is synced before another name
// rests on those in it, and the last segment is written anew, without its torn tail.
func (l *Log) prepare(report Report) error {
	if err := l.removeEnding(endTemporary); err != nil {
		return errors.Trace(err)
	}
	if err := l.files.SyncDir(); err != nil {
		return errors.Trace(err)
	}
	if at := report.unfinished; at > 0 {
		if report.Segments > 0 { // it was begun and is empty: it is made anew, as another file
			if err := l.files.Remove(name(at, endSegment)); err != nil {
				return errors.Trace(err)
			}
		}
		return l.finishSnapshot(at)
	}
	if report.Segments > 0 {
		if err := l.rewrite(report.last); err != nil {
			return errors.Trace(err)
		}
	}
	return l.nextSegment()
}

// rewrite puts a copy of a segment's whole blocks in the place of the segment.
func (l *Log) rewrite(old segmentFile) error {
	return l.replaceFile(old.number, endSegment, func(f File) error {
		_, err := f.Write(old.data[:old.good])
		return err
	})
}

// replaceFile writes a file under a temporary name, syncs it, and gives it its own name
// durably: after a power loss either the file of before is there or the new one, whole.
func (l *Log) replaceFile(number uint64, ending string, fill func(File) error) error {
	f, err := l.files.Create(name(number, endTemporary))
	if err != nil {
		return errors.Trace(err)
	}
	err = fill(f)
	if err == nil {
		err = f.Sync()
	}
	if closed := f.Close(); err == nil {
		err = closed
	}
	if err == nil {
		err = l.files.Rename(name(number, endTemporary), name(number, ending))
	}
	if err == nil {
		err = l.files.SyncDir()
	}
	return errors.Trace(err)
}

func (l *Log) removeEnding(ending string) error {
	names, err := l.files.List()
	if err != nil {
		return errors.Trace(err)
	}
	for _, file := range names {
		if !strings.HasSuffix(file, "."+ending) {
			continue
		}
		if err := l.files.Remove(file); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// numbered lists the numbers of the files of one ending, lowest first.
func numbered(names []string, ending string) (numbers []uint64) {
	for _, file := range names {
		if n, ok := number(file, ending); ok {
			numbers = append(numbers, n)
		}
	}
	slices.Sort(numbers)
	return numbers
}

// highestNumber of any file in a folder.
func highestNumber(names []string) (highest uint64) {
	for _, ending := range []string{endSegment, endPicture, endSnapshot, endTemporary} {
		if numbers := numbered(names, ending); len(numbers) > 0 {
			highest = max(highest, numbers[len(numbers)-1])
		}
	}
	return highest
}

// base is the newest picture or snapshot: all segments below its number are covered.
type base struct {
	number uint64
	ending string // empty: there is none
}

func newestBase(names []string) (newest base) {
	if pictures := numbered(names, endPicture); len(pictures) > 0 {
		newest = base{pictures[len(pictures)-1], endPicture}
	}
	snapshots := numbered(names, endSnapshot)
	if n := len(snapshots); n > 0 && snapshots[n-1] > newest.number {
		newest = base{snapshots[n-1], endSnapshot}
	}
	return newest
}

// read replays the newest picture or snapshot and the segments from there on.
func read(files Files, replay func(record []byte) error) (report Report, err error) {
	names, err := files.List()
	if err != nil {
		return report, errors.Annotate(err, "data folder")
	}
	each := func(r []byte) error { report.Records++; return replay(r) }
	from := newestBase(names)
	if from.ending != "" {
		if err := readBase(files, name(from.number, from.ending), each); err != nil {
			return report, err
		}
	}
	var live []uint64
	for _, n := range numbered(names, endSegment) {
		if n >= from.number {
			live = append(live, n)
		}
	}
	if from.ending == endSnapshot {
		// Its segment takes records only once the snapshot has become a picture.
		report.unfinished = from.number
		if len(live) == 0 {
			return report, nil
		}
	}
	if from.ending != "" && (len(live) == 0 || live[0] != from.number) {
		return report, errors.Annotatef(ErrDamaged, "segment %s is missing", name(from.number, endSegment))
	}
	return report, readSegments(files, live, each, &report)
}

// readBase replays a picture or snapshot. It is renamed into place only once synced, so
// a torn one is damage.
func readBase(files Files, file string, each func([]byte) error) error {
	b, err := files.Read(file)
	if err != nil {
		return errors.Trace(err)
	}
	ended := false
	_, whole, err := scan(b, func(r []byte) error {
		if ended = len(r) == 0; ended {
			return nil
		}
		return each(r)
	})
	if err != nil {
		return errors.Trace(err)
	}
	if !whole || !ended {
		return errors.Annotatef(ErrDamaged, "picture %s", file)
	}
	return nil
}

// readSegments replays segments, which must follow each other without a gap.
func readSegments(files Files, live []uint64, each func([]byte) error, report *Report) error {
	for i, n := range live {
		if i > 0 && n != live[i-1]+1 {
			return errors.Annotatef(ErrDamaged, "segment %s is missing", name(live[i-1]+1, endSegment))
		}
		b, err := files.Read(name(n, endSegment))
		if err != nil {
			return errors.Trace(err)
		}
		report.Segments++
		good, whole, err := scan(b, each)
		if err != nil {
			return errors.Trace(err)
		}
		if !whole {
			if i != len(live)-1 || validAfter(b, good) {
				return errors.Annotatef(ErrDamaged, "segment %s at byte %d", name(n, endSegment), good)
			}
			report.Torn, report.TornFile = int64(len(b)-good), name(n, endSegment)
		} else {
			good = len(b)
		}
		report.last = segmentFile{number: n, data: b, good: good}
	}
	return nil
}

// scan reads blocks until the end or the first bad one, and says where that is.
func scan(b []byte, each func([]byte) error) (good int, whole bool, err error) {
	if len(b) < len(magic) {
		return 0, len(b) == 0, nil
	}
	if string(b[:len(magic)]) != magic {
		return 0, false, nil
	}
	at := len(magic)
	for at < len(b) {
		block, size := blockAt(b, at)
		if block == nil {
			return at, false, nil
		}
		for len(block) > 0 {
			n, width := binary.Uvarint(block)
			if width <= 0 || n > uint64(len(block)-width) {
				return at, false, nil
			}
			if err := each(block[width : width+int(n)]); err != nil {
				return at, false, err
			}
			block = block[width+int(n):]
		}
		at += size
	}
	return at, true, nil
}

func blockAt(b []byte, at int) (block []byte, size int) {
	if len(b)-at < blockHeader {
		return nil, 0
	}
	sum, n := binary.LittleEndian.Uint32(b[at:]), binary.LittleEndian.Uint32(b[at+4:])
	if n == 0 || n > maxBlock || uint64(n) > uint64(len(b)-at-blockHeader) {
		return nil, 0
	}
	end := at + blockHeader + int(n)
	if crc32.Checksum(b[at+4:end], table) != sum {
		return nil, 0
	}
	return b[at+blockHeader : end], end - at
}

// validAfter tells damage from a torn tail: since a block is written only when
// the one before is synced, nothing whole can stand behind a torn one.
func validAfter(b []byte, bad int) bool {
	for at := bad + 1; at+blockHeader < len(b); at++ {
		if block, _ := blockAt(b, at); block != nil {
			return true
		}
	}
	return false
}

// nextSegment begins the segment behind the current one.
func (l *Log) nextSegment() error { return l.startSegment(l.segment + 1) }

// startSegment makes an empty segment, durably, and writes to it from now on.
func (l *Log) startSegment(n uint64) error {
	f, err := l.files.Create(name(n, endSegment))
	if err != nil {
		return err
	}
	_, err = f.Write([]byte(magic))
	if err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = l.files.SyncDir()
	}
	if err != nil {
		_ = f.Close()
		return err
	}
	l.segment, l.file = n, f
	return nil
}

// Append queues one record; then runs once it is synced, or with an error.
func (l *Log) Append(record []byte, then func(error)) { l.put(waiting{record: record, then: then}) }

// Barrier runs then once all that was queued before it is synced.
func (l *Log) Barrier(then func(error)) { l.put(waiting{then: then}) }

// Cut starts a new segment here and keeps a picture of all before it instead.
// The caller holds the lock under which it appends, and has copied the state that
// fits the place; packing it is done later, on the writer.
func (l *Log) Cut(picture func() ([][]byte, error)) {
	l.put(waiting{cut: true, picture: picture, then: func(error) {}})
}

// Recover writes the whole state anew, after a write or sync has failed. The caller
// appends nothing until then has run, so that the state is still the one that the
// snapshot holds. Nothing is written to a file that was there before; without an error,
// the log takes records again behind the snapshot.
func (l *Log) Recover(snapshot func() ([][]byte, error), then func(error)) {
	l.put(waiting{recover: true, picture: snapshot, then: then})
}

// State tells how far the disk can be relied on.
func (l *Log) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

func (l *Log) put(w waiting) {
	l.mu.Lock()
	l.queue = append(l.queue, w)
	l.queued += len(w.record)
	if w.cut || w.recover {
		l.since = 0
	}
	l.since += int64(len(w.record))
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Busy tells that the disk does not keep up; its acceptor then says so instead of queueing more.
func (l *Log) Busy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queued > l.limit
}

// Since is how many bytes were appended since the last cut.
func (l *Log) Since() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.since
}

// Run is the writer's duty; it returns when ctx ends, after failing what waits.
func (l *Log) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			l.stop()
			l.flush()
			l.closeFile()
			return
		case <-l.wake:
			l.flush()
		}
	}
}

// fail makes a trusted log suspect.
func (l *Log) fail(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state == StateTrusted {
		l.state, l.failed = StateSuspect, err
	}
}

// stop ends the log for good.
func (l *Log) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state, l.failed = StateLost, ErrStopped
}

func (l *Log) closeFile() {
	if l.file != nil {
		_ = l.file.Close()
		l.file = nil
	}
}

// next takes what waits up to the next cut or recovery off the queue, or one of these alone.
func (l *Log) next() (batch []waiting, failed error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch = l.queue
	for i, w := range batch {
		if w.cut || w.recover {
			batch = batch[:max(i, 1)]
			break
		}
	}
	l.queue = l.queue[len(batch):]
	return batch, l.failed
}

// flush writes one block for all that waits up to the next cut or recovery, syncs it,
// and only then lets the continuations run. A failed sync is never repeated as if it
// were clean: from then on everything fails until a recovery (section 3.4).
func (l *Log) flush() {
	for {
		batch, failed := l.next()
		if len(batch) == 0 {
			return
		}
		switch {
		case batch[0].recover:
			failed = l.recover(batch[0].picture)
		case failed == nil && batch[0].cut:
			failed = l.cut(batch[0].picture)
		case failed == nil:
			failed = l.write(batch)
		}
		if failed != nil {
			l.fail(failed)
		}
		l.written(batch)
		for _, w := range batch {
			w.then(failed)
		}
	}
}

// written takes what a batch weighed off what waits.
func (l *Log) written(batch []waiting) {
	size := 0
	for _, w := range batch {
		size += len(w.record)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queued -= size
}

func block(records [][]byte) []byte {
	out := make([]byte, blockHeader)
	for _, r := range records {
		out = binary.AppendUvarint(out, uint64(len(r)))
		out = append(out, r...)
	}
	if len(out) == blockHeader {
		return nil
	}
	binary.LittleEndian.PutUint32(out[4:], uint32(len(out)-blockHeader))
	binary.LittleEndian.PutUint32(out, crc32.Checksum(out[4:], table))
	return out
}

func (l *Log) write(batch []waiting) error {
	var records [][]byte
	for _, w := range batch {
		if len(w.record) > 0 {
			records = append(records, w.record)
		}
	}
	b := block(records)
	if b == nil {
		return nil
	}
	if _, err := l.file.Write(b); err != nil {
		return errors.Annotate(err, "write")
	}
	if err := l.file.Sync(); err != nil {
		return errors.Annotate(err, "sync")
	}
	l.mu.Lock()
	l.Syncs++
	l.Records += uint64(len(records))
	l.mu.Unlock()
	return nil
}

// Counts gives the number of syncs and of records they carried.
func (l *Log) Counts() (syncs, records uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Syncs, l.Records
}

// pictureBlock is about how much of a picture goes into one block.
const pictureBlock = 1 << 20

// writePicture writes records in blocks, and an empty record as the end mark.
func writePicture(f File, picture [][]byte) error {
	if _, err := f.Write([]byte(magic)); err != nil {
		return err
	}
	for len(picture) > 0 {
		n, size := 0, 0
		for n < len(picture) && (n == 0 || size+len(picture[n]) <= pictureBlock) {
			size += len(picture[n])
			n++
		}
		if _, err := f.Write(block(picture[:n])); err != nil {
			return err
		}
		picture = picture[n:]
	}
	_, err := f.Write(block([][]byte{{}}))
	return err
}

// cut starts the next segment, then puts the picture in place, then removes what it covers.
func (l *Log) cut(pack func() ([][]byte, error)) error {
	picture, err := pack()
	if err != nil {
		return nil // keep the log: a picture that misses a record is worse than a long one
	}
	old := l.file
	if err := l.nextSegment(); err != nil {
		return errors.Trace(err)
	}
	if err := old.Close(); err != nil {
		return errors.Trace(err)
	}
	at := l.segment
	err = l.replaceFile(at, endPicture, func(f File) error { return writePicture(f, picture) })
	if err != nil {
		return errors.Annotate(err, "picture")
	}
	return l.removeBelow(at)
}

// removeBelow removes what a durable picture covers.
func (l *Log) removeBelow(at uint64) error {
	names, err := l.files.List()
	if err != nil {
		return errors.Trace(err)
	}
	for _, file := range names {
		for _, ending := range []string{endSegment, endPicture, endSnapshot, endTemporary} {
			n, ok := number(file, ending)
			if !ok || n >= at {
				continue
			}
			if err := l.files.Remove(file); err != nil {
				return errors.Trace(err)
			}
		}
	}
	return nil
}

// recover writes a snapshot to files that no earlier try has used, and has the log go
// on behind it. Whatever an earlier life or try left is removed only after that.
func (l *Log) recover(pack func() ([][]byte, error)) error {
	if !l.beginRecovery() {
		return ErrStopped
	}
	err := l.writeSnapshot(pack)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.state != StateRecovering:
		return ErrStopped
	case err != nil:
		l.state, l.failed = StateSuspect, err
	default:
		l.state, l.failed = StateTrusted, nil
	}
	return err
}

func (l *Log) beginRecovery() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state == StateLost {
		return false
	}
	l.state = StateRecovering
	return true
}

func (l *Log) writeSnapshot(pack func() ([][]byte, error)) error {
	snapshot, err := pack()
	if err != nil {
		return errors.Annotate(err, "snapshot")
	}
	l.closeFile()
	names, err := l.files.List()
	if err != nil {
		return errors.Trace(err)
	}
	at := max(highestNumber(names), l.segment) + 1
	l.segment = at // even if this try fails, its number is not used again
	err = l.replaceFile(at, endSnapshot, func(f File) error { return writePicture(f, snapshot) })
	if err != nil {
		_ = l.files.Remove(name(at, endTemporary)) // gives its space back, where it can
		return errors.Annotate(err, "snapshot")
	}
	if err := l.finishSnapshot(at); err != nil {
		return errors.Annotate(err, "snapshot")
	}
	return l.removeBelow(at)
}

// finishSnapshot gives a durable snapshot its segment, and makes it a picture: in this
// order, so that at a power loss in between a snapshot without a segment is whole, and a
// picture without one is damage.
func (l *Log) finishSnapshot(at uint64) error {
	if err := l.startSegment(at); err != nil {
		return errors.Trace(err)
	}
	if err := l.files.Rename(name(at, endSnapshot), name(at, endPicture)); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(l.files.SyncDir())
}
