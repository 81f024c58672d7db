package wal

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"testing"
	"testing/synctest"

	. "github.com/smartystreets/goconvey/convey"

	"linedrum.example/linedrum/lifecycle"
)

// memory is a folder that loses what was not synced.
type memory struct {
	durable, written map[string][]byte
	failSync         bool
	syncs            int
}

func newMemory() *memory { return &memory{durable: map[string][]byte{}, written: map[string][]byte{}} }

type memFile struct {
	m    *memory
	name string
}

func (m *memory) List() ([]string, error) {
	var out []string
	for name := range m.written {
		out = append(out, name)
	}
	sort.Strings(out)
	return out, nil
}
func (m *memory) Read(name string) ([]byte, error) {
	return append([]byte(nil), m.written[name]...), nil
}
func (m *memory) Create(name string) (File, error) {
	m.written[name] = nil
	return &memFile{m, name}, nil
}
func (m *memory) Rename(from, to string) error {
	m.written[to], m.durable[to] = m.written[from], m.durable[from]
	delete(m.written, from)
	delete(m.durable, from)
	return nil
}
func (m *memory) Remove(name string) error {
	delete(m.written, name)
	delete(m.durable, name)
	return nil
}
func (m *memory) SyncDir() error { return nil }
func (f *memFile) Write(b []byte) (int, error) {
	f.m.written[f.name] = append(f.m.written[f.name], b...)
	return len(b), nil
}
func (f *memFile) Sync() error {
	if f.m.failSync {
		return errors.New("the disk says no")
	}
	f.m.syncs++
	f.m.durable[f.name] = append([]byte(nil), f.m.written[f.name]...)
	return nil
}
func (f *memFile) Close() error { return nil }

// powerLoss leaves what was synced, and a part of what was only written.
func (m *memory) powerLoss(part int) *memory {
	out := newMemory()
	for name, b := range m.written {
		kept := append([]byte(nil), m.durable[name]...)
		if more := len(b) - len(kept); more > 0 {
			kept = append(kept, b[len(kept):len(kept)+min(part, more)]...)
		}
		out.written[name], out.durable[name] = kept, kept
	}
	return out
}

func replayed(m Files) ([]string, Report, error) {
	var got []string
	_, report, err := Open(m, 1<<20, func(r []byte) error { got = append(got, string(r)); return nil })
	return got, report, err
}

// use opens a log, runs it inside a bubble of virtual time, and stops it.
func use(m Files, do func(l *Log)) {
	l, _, err := Open(m, 1<<20, func([]byte) error { return nil })
	So(err, ShouldBeNil)
	c := lifecycle.New(context.Background())
	c.Start(l.Run)
	do(l)
	synctest.Wait()
	c.Stop()
}

func TestTornTail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("power lost at any byte of an unsynced block: what was synced is there, the tail is cut and reported", t, func() {
			m := newMemory()
			use(m, func(l *Log) {
				l.Append([]byte("one"), func(error) {})
				synctest.Wait()
				l.Append([]byte("two"), func(error) {})
			})
			whole := len(m.written["0000000000000001.seg"])
			synced := whole - len(block([][]byte{[]byte("two")}))
			for size := synced; size <= whole; size++ {
				cut := newMemory()
				cut.written["0000000000000001.seg"] = m.written["0000000000000001.seg"][:size]
				got, report, err := replayed(cut)
				So(err, ShouldBeNil)
				So(got[0], ShouldEqual, "one")
				So(len(got), ShouldEqual, map[bool]int{true: 2, false: 1}[size == whole])
				So(report.Torn > 0, ShouldEqual, size != synced && size != whole)
				again, report, err := replayed(cut)
				So(err, ShouldBeNil)
				So(again, ShouldResemble, got)
				So(report.Torn, ShouldEqual, 0)
			}
		})
	})
}

func TestDamage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("a flipped bit anywhere before the last block is damage, never a shorter log", t, func() {
			m := newMemory()
			use(m, func(l *Log) {
				for i := range 3 {
					l.Append([]byte(fmt.Sprintf("record %d", i)), func(error) {})
					synctest.Wait()
				}
			})
			file := "0000000000000001.seg"
			last := len(m.written[file]) - len(block([][]byte{[]byte("record 2")}))
			for at := range last {
				bad := newMemory()
				bad.written[file] = append([]byte(nil), m.written[file]...)
				bad.written[file][at] ^= 0x10
				_, _, err := replayed(bad)
				So(errors.Is(err, ErrDamaged), ShouldBeTrue)
			}
		})
		Convey("a missing segment is damage", t, func() {
			m := newMemory()
			use(m, func(l *Log) { l.Append([]byte("a"), func(error) {}) })
			use(m, func(l *Log) { l.Append([]byte("b"), func(error) {}) })
			use(m, func(l *Log) { l.Append([]byte("c"), func(error) {}) })
			delete(m.written, "0000000000000002.seg")
			_, _, err := replayed(m)
			So(errors.Is(err, ErrDamaged), ShouldBeTrue)
		})
	})
}

func TestFailedSync(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("after a failed sync everything fails, though the disk would say yes again", t, func() {
			m := newMemory()
			use(m, func(l *Log) {
				var first, second error
				m.failSync = true
				l.Append([]byte("a"), func(err error) { first = err })
				synctest.Wait()
				m.failSync = false
				l.Append([]byte("b"), func(err error) { second = err })
				synctest.Wait()
				So(first, ShouldNotBeNil)
				So(second, ShouldNotBeNil)
			})
		})
	})
}

func TestPictureAndGroupCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("a picture takes the place of what is before it, and power loss while it is made loses nothing", t, func() {
			m := newMemory()
			var during *memory
			use(m, func(l *Log) {
				l.Append([]byte("old"), func(error) {})
				l.Cut(func() ([][]byte, error) {
					during = m.powerLoss(0)
					return [][]byte{[]byte("sum")}, nil
				})
				l.Append([]byte("new"), func(error) {})
			})
			got, _, err := replayed(during)
			So(err, ShouldBeNil)
			So(got, ShouldResemble, []string{"old"})
			got, _, err = replayed(m.powerLoss(0))
			So(err, ShouldBeNil)
			So(got, ShouldResemble, []string{"sum", "new"})
			got, _, err = replayed(m)
			So(err, ShouldBeNil)
			So(got, ShouldResemble, []string{"sum", "new"})
			names, _ := m.List()
			So(names, ShouldNotContain, "0000000000000001.seg")
		})
		Convey("a picture larger than any block is written in many and read whole; cut short anywhere it is damage", t, func() {
			m := newMemory()
			var large [][]byte
			for i := range 70 {
				large = append(large, bytes.Repeat([]byte{byte(i + 1)}, 1<<20))
			}
			use(m, func(l *Log) { l.Cut(func() ([][]byte, error) { return large, nil }) })
			got, _, err := replayed(m)
			So(err, ShouldBeNil)
			So(got, ShouldHaveLength, len(large))
			pic := "0000000000000002.pic"
			whole := m.written[pic]
			ends := len(block([][]byte{{}}))
			for _, short := range []int{0, len(magic), len(magic) + len(block(large[:1])), len(whole) - ends, len(whole) - 1} {
				m.written[pic] = whole[:short]
				_, _, err := replayed(m)
				So(errors.Is(err, ErrDamaged), ShouldBeTrue)
			}
		})
		Convey("a picture that cannot be packed leaves the log as it is", t, func() {
			m := newMemory()
			use(m, func(l *Log) {
				l.Append([]byte("one"), func(error) {})
				l.Cut(func() ([][]byte, error) { return nil, errors.New("no") })
				l.Append([]byte("two"), func(error) {})
			})
			got, _, err := replayed(m)
			So(err, ShouldBeNil)
			So(got, ShouldResemble, []string{"one", "two"})
		})
		Convey("what waits together is synced together", t, func() {
			m := newMemory()
			l, _, err := Open(m, 1<<20, func([]byte) error { return nil })
			So(err, ShouldBeNil)
			order := []int{}
			for i := range 50 {
				l.Append([]byte("x"), func(error) { order = append(order, i) })
			}
			before := m.syncs
			c := lifecycle.New(context.Background())
			c.Start(l.Run)
			synctest.Wait()
			So(m.syncs-before, ShouldEqual, 1)
			So(order, ShouldHaveLength, 50)
			So(sort.IntsAreSorted(order), ShouldBeTrue)
			c.Stop()
		})
	})
}

func TestFolder(t *testing.T) {
	Convey("a data folder in use is refused to a second process", t, func() {
		path := filepath.Join(t.TempDir(), "data")
		first, err := OpenFolder(path)
		So(err, ShouldBeNil)
		_, err = OpenFolder(path)
		So(errors.Is(err, ErrInUse), ShouldBeTrue)
		first.Close()
		again, err := OpenFolder(path)
		So(err, ShouldBeNil)
		So(Put(again, "identity", []byte("me")), ShouldBeNil)
		b, err := os.ReadFile(filepath.Join(path, "identity"))
		So(err, ShouldBeNil)
		So(string(b), ShouldEqual, "me")
		again.Close()
	})
}

func FuzzOpen(f *testing.F) {
	f.Add([]byte(magic))
	f.Add(append([]byte(magic), block([][]byte{[]byte("one"), []byte("two")})...))
	f.Fuzz(func(t *testing.T, in []byte) {
		m := newMemory()
		m.written["0000000000000001.seg"] = in
		_, _, _ = replayed(m)
		m = newMemory()
		m.written["0000000000000001.seg"], m.written["0000000000000001.pic"] = []byte(magic), in
		_, _, _ = replayed(m)
	})
}
