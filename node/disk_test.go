package node

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	. "github.com/smartystreets/goconvey/convey"

	"linedrum.example/linedrum/bench/virtual"
	"linedrum.example/linedrum/event"
	"linedrum.example/linedrum/lifecycle"
	"linedrum.example/linedrum/register"
	"linedrum.example/linedrum/settings"
	"linedrum.example/linedrum/strict"
	"linedrum.example/linedrum/wire"
)

// lockedBuffer is a log that is written and read at once.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *lockedBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(b)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// testMachine is a machine in memory with a disk, and the node that runs on it.
type testMachine struct {
	machine  *virtual.Machine
	disk     *virtual.Disk
	settings settings.Settings
	said     *lockedBuffer
	node     *Node
	err      error
}

// testFleet is three machines with disks, which are the seeds.
type testFleet struct {
	work     *lifecycle.Crew
	machines []*testMachine
	lives    uint64
}

func newTestFleet() *testFleet {
	f := &testFleet{work: lifecycle.New(context.Background())}
	network := virtual.NewNet(1)
	var seeds []string
	for i := range 3 {
		m := network.Add(fmt.Sprintf("site%d", i))
		f.machines = append(f.machines, &testMachine{machine: m, disk: virtual.NewDisk(), said: &lockedBuffer{}})
		seeds = append(seeds, m.IP+":7000")
	}
	for i, m := range f.machines {
		s := settings.Default()
		s.Fleet, s.Listen, s.HTTP, s.Site = "test", seeds[i], m.machine.IP+":8000", m.machine.Site
		s.Seeds, s.Data = seeds, "data"
		s.Bounds.CatchUp = strict.Duration(4 * time.Second)
		m.settings = s
	}
	return f
}

// start begins a life of each machine and waits until its node serves.
func (f *testFleet) start(machines ...*testMachine) {
	f.startUntil(context.Background(), machines...)
}

// startUntil is start, of nodes that are told to stop when ctx ends.
func (f *testFleet) startUntil(ctx context.Context, machines ...*testMachine) {
	starting := lifecycle.New(ctx)
	for _, m := range machines {
		f.lives++
		random := rand.New(rand.NewPCG(7, f.lives))
		starting.Start(func(ctx context.Context) { m.start(ctx, random) })
	}
	starting.Wait()
}

func (m *testMachine) start(ctx context.Context, random *rand.Rand) {
	ports := m.machine.Boot()
	host := Host{
		Clock: m.machine.Clock(), Net: ports, Rand: random, Form: wire.Form,
		Folder: func(string) (Folder, error) { return m.disk.Folder(ports), nil },
	}
	out := event.New(&log.Logger{Handler: json.New(m.said), Level: log.InfoLevel})
	m.node, m.err = Start(ctx, m.settings, out, host, Outside{})
	m.settings.Later = true
}

// kill ends a life; with the power, what was not synced is gone.
func (m *testMachine) kill(power bool) {
	m.machine.Kill(power)
	m.disk.Crash(power)
	if m.node != nil {
		m.node.Kill()
	}
}

func (f *testFleet) stop() {
	for _, m := range f.machines {
		m.kill(false)
	}
	f.work.Stop()
}

func pass(span time.Duration) { lifecycle.Pause(context.Background(), span) }

// within waits until a condition holds.
func within(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); !holds(); {
		if time.Now().After(end) {
			return false
		}
		pass(10 * time.Millisecond)
	}
	return true
}

func (m *testMachine) state() (disk string, state register.DiskState) {
	m.node.mu.Lock()
	defer m.node.mu.Unlock()
	if m.node.core.Acceptor != nil {
		disk = m.node.core.Acceptor.Identity()
	}
	return disk, m.node.diskState()
}

// votes tells whether a machine's disk says yes, and is of the set in use.
func (m *testMachine) votes() bool {
	disk, state := m.state()
	m.node.mu.Lock()
	defer m.node.mu.Unlock()
	set := m.node.core.Holder.Set()
	return state == register.DiskTrusted && len(set.Next) == 0 && set.Old(disk) && m.node.core.Acceptor.Set().Equal(set)
}

func (f *testFleet) allVote() bool {
	for _, m := range f.machines {
		if !m.votes() || !m.node.Permit() {
			return false
		}
	}
	return true
}

func (m *testMachine) heard(number event.Number) bool {
	said, field := m.said.String(), fmt.Sprintf(`"event":%d`, number)
	return strings.Contains(said, field+",") || strings.Contains(said, field+"}")
}

// write has a node write a key that no node reads by itself.
func (m *testMachine) write(key string, base uint64) (outcome register.Outcome) {
	done := make(chan register.Outcome, 1)
	m.node.mu.Lock()
	m.node.core.Paths.Do(register.Request{
		Key: key, Base: base, Op: m.node.core.OpID(), Value: []byte("written"), Patience: 2 * time.Second,
	}, func(r register.Result) { done <- r.Outcome })
	m.node.mu.Unlock()
	return <-done
}

func TestDiskTroubles(t *testing.T) {
	const catchUp = 4 * time.Second
	for name, day := range map[string]func(f *testFleet){
		"writes are refused for a while: the disk votes again without a restart": func(f *testFleet) {
			f.start(f.machines...)
			So(within(catchUp, f.allVote), ShouldBeTrue)
			for round := range 4 {
				m := f.machines[round%2]
				m.disk.Fail(true)
				So(f.machines[2].write("key", uint64(round)), ShouldEqual, register.Done)
				So(within(time.Second, func() bool { _, state := m.state(); return state != register.DiskTrusted }), ShouldBeTrue)
				pass(2500 * time.Millisecond)
				So(f.machines[2].node.Permit(), ShouldBeTrue)
				m.disk.Fail(false)
				So(within(catchUp/4, f.allVote), ShouldBeTrue)
				So(m.heard(event.DiskFailed) && m.heard(event.DiskRecovered), ShouldBeTrue)
			}
		},
		"the disk refuses at the first start: the node runs, and the fleet is founded when it takes writes": func(f *testFleet) {
			f.machines[0].disk.Fail(true)
			f.start(f.machines...)
			So(f.machines[0].err, ShouldBeNil)
			So(f.machines[0].heard(event.DiskUnopened), ShouldBeTrue)
			So(f.machines[1].heard(event.DiskFounded), ShouldBeFalse)
			pass(2 * time.Second)
			f.machines[0].disk.Fail(false)
			So(within(catchUp, f.allVote), ShouldBeTrue)
		},
		"the disk hangs at a later start: the node serves without it until then": func(f *testFleet) {
			f.start(f.machines...)
			So(within(catchUp, f.allVote), ShouldBeTrue)
			So(f.machines[1].write("key", 0), ShouldEqual, register.Done)
			m := f.machines[0]
			before, _ := m.state()
			m.kill(false)
			m.disk.Stall(true)
			began := time.Now()
			f.start(m)
			So(m.err, ShouldBeNil)
			So(time.Since(began), ShouldBeLessThan, catchUp)
			So(m.node.Permit(), ShouldBeTrue)
			_, state := m.state()
			So(state, ShouldEqual, register.DiskLost)
			pass(3 * time.Second)
			m.disk.Stall(false)
			So(within(catchUp/2, f.allVote), ShouldBeTrue)
			after, _ := m.state()
			So(after, ShouldEqual, before)
		},
		"a damaged log comes back as an empty disk of another identity, and not before a majority is whole": func(f *testFleet) {
			f.start(f.machines...)
			So(within(catchUp, f.allVote), ShouldBeTrue)
			So(f.machines[1].write("key", 0), ShouldEqual, register.Done)
			m := f.machines[0]
			before, _ := m.state()
			for _, other := range f.machines {
				other.kill(false)
			}
			damage(m)
			f.start(m)
			So(m.heard(event.DiskDamaged), ShouldBeTrue)
			pass(10 * time.Second)
			So(m.heard(event.DiskReborn), ShouldBeFalse)
			f.start(f.machines[1:]...)
			So(within(2*catchUp, f.allVote), ShouldBeTrue)
			So(m.heard(event.DiskReborn), ShouldBeTrue)
			after, _ := m.state()
			So(after, ShouldNotEqual, before)
			m.kill(true)
			f.start(m)
			again, _ := m.state()
			So(again, ShouldEqual, after)
			So(within(catchUp, f.allVote), ShouldBeTrue)
			So(f.machines[1].write("key", 1), ShouldEqual, register.Done)
		},
		"an identity that cannot be read now is not taken for one that is gone": func(f *testFleet) {
			f.start(f.machines...)
			So(within(catchUp, f.allVote), ShouldBeTrue)
			m := f.machines[0]
			before, _ := m.state()
			m.kill(false)
			m.disk.Fail(true)
			f.start(m)
			pass(3 * time.Second)
			m.disk.Fail(false)
			So(within(catchUp/2, f.allVote), ShouldBeTrue)
			after, _ := m.state()
			So(after, ShouldEqual, before)
			So(m.heard(event.DiskDamaged), ShouldBeFalse)
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newTestFleet()
			defer f.stop()
			Convey(name, t, func() { day(f) })
		})
	}
}

// damage flips a bit in the first block of a machine's log, between two lives.
func damage(m *testMachine) {
	folder := m.disk.Folder(m.machine.Boot())
	names, err := folder.List()
	So(err, ShouldBeNil)
	for _, name := range names {
		if !strings.HasSuffix(name, ".seg") {
			continue
		}
		b, err := folder.Read(name)
		So(err, ShouldBeNil)
		if len(b) < 64 {
			continue
		}
		b[40] ^= 1
		file, err := folder.Create(name)
		So(err, ShouldBeNil)
		_, err = file.Write(b)
		So(err, ShouldBeNil)
		So(file.Sync(), ShouldBeNil)
	}
	m.disk.Crash(false)
}
