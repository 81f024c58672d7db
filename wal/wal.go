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
	"sort"
	"strings"
	"sync"

	"github.com/juju/errors"
)

// Files is the folder below the log.
type Files interface {
	List() ([]string, error)
	Read(name string) ([]byte, error)
	Create(name string) (File, error)
	Truncate(name string, size int64) error
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

// ErrStopped is given to what was waiting when the log was closed or its disk failed.
const ErrStopped = errors.ConstError("the log takes no more records")

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
	tornAt   int64
}

type waiting struct {
	record  []byte
	picture func() ([][]byte, error) // of a cut: what is put beside the log
	cut     bool
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
	failed  error
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

// Inspect replays a folder and changes nothing. A torn tail is reported.
func Inspect(files Files, replay func(record []byte) error) (Report, error) {
	report, _, err := read(files, replay)
	return report, err
}

// Open replays a folder into replay and makes a log that goes on behind it.
// Records waiting beyond limit bytes make Busy true.
func Open(files Files, limit int, replay func(record []byte) error) (*Log, Report, error) {
	report, last, err := read(files, replay)
	if err != nil {
		return nil, report, err
	}
	names, err := files.List()
	if err != nil {
		return nil, report, errors.Trace(err)
	}
	for _, file := range names {
		if strings.HasSuffix(file, ".tmp") {
			if err := files.Remove(file); err != nil {
				return nil, report, errors.Trace(err)
			}
		}
	}
	if report.Torn > 0 {
		if err := files.Truncate(report.TornFile, report.tornAt); err != nil {
			return nil, report, errors.Trace(err)
		}
	}
	l := &Log{files: files, limit: limit, wake: make(chan struct{}, 1), segment: last}
	if err := l.nextSegment(); err != nil {
		return nil, report, errors.Trace(err)
	}
	return l, report, nil
}

// read replays the newest picture and the segments from there on, and says
// which segment is the last.
func read(files Files, replay func(record []byte) error) (report Report, last uint64, err error) {
	names, err := files.List()
	if err != nil {
		return report, 0, errors.Annotate(err, "data folder")
	}
	var segments, pictures []uint64
	for _, file := range names {
		if n, ok := number(file, "seg"); ok {
			segments = append(segments, n)
		}
		if n, ok := number(file, "pic"); ok {
			pictures = append(pictures, n)
		}
	}
	sort.Slice(segments, func(i, j int) bool { return segments[i] < segments[j] })
	sort.Slice(pictures, func(i, j int) bool { return pictures[i] < pictures[j] })
	each := func(r []byte) error { report.Records++; return replay(r) }
	if len(pictures) > 0 {
		last = pictures[len(pictures)-1]
		b, err := files.Read(name(last, "pic"))
		if err != nil {
			return report, 0, errors.Trace(err)
		}
		// A picture is renamed into place only once synced, so a torn one is damage.
		ended := false
		_, whole, err := scan(b, func(r []byte) error {
			if ended = len(r) == 0; ended {
				return nil
			}
			return each(r)
		})
		if err != nil {
			return report, 0, errors.Trace(err)
		}
		if !whole || !ended {
			return report, 0, errors.Annotatef(ErrDamaged, "picture %s", name(last, "pic"))
		}
	}
	var live []uint64
	for _, n := range segments {
		if n >= last {
			live = append(live, n)
		}
	}
	if len(pictures) > 0 && (len(live) == 0 || live[0] != last) {
		return report, 0, errors.Annotatef(ErrDamaged, "segment %s is missing", name(last, "seg"))
	}
	for i, n := range live {
		if i > 0 && n != live[i-1]+1 {
			return report, 0, errors.Annotatef(ErrDamaged, "segment %s is missing", name(live[i-1]+1, "seg"))
		}
		b, err := files.Read(name(n, "seg"))
		if err != nil {
			return report, 0, errors.Trace(err)
		}
		report.Segments++
		good, whole, err := scan(b, each)
		if err != nil {
			return report, 0, errors.Trace(err)
		}
		if !whole {
			if i != len(live)-1 || validAfter(b, good) {
				return report, 0, errors.Annotatef(ErrDamaged, "segment %s at byte %d", name(n, "seg"), good)
			}
			report.Torn, report.TornFile, report.tornAt = int64(len(b)-good), name(n, "seg"), int64(good)
		}
		last = n
	}
	return report, last, nil
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

func (l *Log) nextSegment() error {
	f, err := l.files.Create(name(l.segment+1, "seg"))
	if err != nil {
		return err
	}
	if _, err := f.Write([]byte(magic)); err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		return err
	}
	if err := l.files.SyncDir(); err != nil {
		return err
	}
	l.segment++
	l.file = f
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

func (l *Log) put(w waiting) {
	l.mu.Lock()
	l.queue = append(l.queue, w)
	l.queued += len(w.record)
	if w.cut {
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
			l.fail(ErrStopped)
			l.flush()
			_ = l.file.Close()
			return
		case <-l.wake:
			l.flush()
		}
	}
}

func (l *Log) fail(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed == nil {
		l.failed = err
	}
}

// flush writes one block for all that waits up to the next cut, syncs it, and
// only then lets the continuations run. A failed sync is never repeated as if
// it were clean: from then on everything fails (section 3.4).
func (l *Log) flush() {
	for {
		l.mu.Lock()
		batch := l.queue
		for i, w := range batch {
			if w.cut && i > 0 {
				batch = batch[:i]
				break
			}
			if w.cut {
				batch = batch[:1]
				break
			}
		}
		l.queue = l.queue[len(batch):]
		failed := l.failed
		l.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		if failed == nil {
			if batch[0].cut {
				failed = l.cut(batch[0].picture)
			} else {
				failed = l.write(batch)
			}
			if failed != nil {
				l.fail(failed)
			}
		}
		size := 0
		for _, w := range batch {
			size += len(w.record)
		}
		l.mu.Lock()
		l.queued -= size
		l.mu.Unlock()
		for _, w := range batch {
			w.then(failed)
		}
	}
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
	if err := l.file.Close(); err != nil {
		return errors.Trace(err)
	}
	if err := l.nextSegment(); err != nil {
		return errors.Trace(err)
	}
	at := l.segment
	f, err := l.files.Create(name(at, "tmp"))
	if err != nil {
		return errors.Trace(err)
	}
	err = writePicture(f, picture)
	if err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = f.Close()
	}
	if err == nil {
		err = l.files.Rename(name(at, "tmp"), name(at, "pic"))
	}
	if err == nil {
		err = l.files.SyncDir()
	}
	if err != nil {
		return errors.Annotate(err, "picture")
	}
	names, err := l.files.List()
	if err != nil {
		return errors.Trace(err)
	}
	for _, file := range names {
		seg, isSeg := number(file, "seg")
		pic, isPic := number(file, "pic")
		if isSeg && seg < at || isPic && pic < at {
			if err := l.files.Remove(file); err != nil {
				return errors.Trace(err)
			}
		}
	}
	return nil
}
