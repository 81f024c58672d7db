package virtual

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"linedrum.example/linedrum/lifecycle"
	"linedrum.example/linedrum/once"
	"linedrum.example/linedrum/quorum"
	"linedrum.example/linedrum/register"
	"linedrum.example/linedrum/wal"
	"linedrum.example/linedrum/wire"
)

// diskLog is the acceptor's log over the real one, as a node has it.
type diskLog struct{ log *wal.Log }

func (d diskLog) Busy() bool { return false }
func (d diskLog) Append(rec register.Message, then func(error)) {
	b, err := wire.PackFrame("days", rec, wire.Cohort{})
	if err != nil {
		panic(err)
	}
	d.log.Append(b, then)
}
func (d diskLog) Barrier(then func(error)) { d.log.Barrier(then) }
func (d diskLog) Recover(state []register.Message, then func(error)) {
	d.log.Recover(func() ([][]byte, error) { return pack(state) }, then)
}

func pack(state []register.Message) (out [][]byte, err error) {
	for _, rec := range state {
		b, err := wire.PackFrame("days", rec, wire.Cohort{})
		if err != nil {
			return nil, err
		}
		out = append(out, b)
	}
	return out, nil
}

// TestKeysOnDisk keeps once-only keys at Dakar's rate on one disk, with a window
// every 150 s, and looks at how much the data folder and the acceptor hold: it must
// not grow. LINEDRUM_MINUTES=N is how long; half an hour without it.
func TestKeysOnDisk(t *testing.T) {
	minutes := 30
	if n, err := strconv.Atoi(os.Getenv("LINEDRUM_MINUTES")); err == nil {
		minutes = n
	}
	var held []int64 // bytes at the end of each quarter of the time
	keys := 0
	synctest.Test(t, func(*testing.T) {
		disk := NewDisk()
		work := lifecycle.New(context.Background())
		defer work.Stop()
		folder := disk.Folder(NewNet(1).Add("here").Boot())
		log, _, err := wal.Open(folder, 1<<30, nil)
		if err != nil {
			panic(err)
		}
		work.Start(log.Run)
		a := register.NewAcceptor("d", "here", diskLog{log})
		a.Replay(register.Message{Kind: register.KindSet, Set: quorum.VoterSet{Serial: 1, Disks: []quorum.Disk{{Identity: "d", Addr: "here"}}}})
		say := func(m register.Message) {
			m.Set.Serial = 1
			a.Handle(m, func(out register.Message) {
				if !out.Yes {
					panic(fmt.Sprintf("%+v", out))
				}
			})
		}
		reply := []byte(`{"choices":[{"index":0,"text":"` + strings.Repeat("yes ", 100) + `","finish_reason":"stop"}]}`)
		write := func(key string, serial, count uint64, value []byte) {
			epoch := register.Epoch{Count: count, Holder: "10.0.0.1:7000"}
			say(register.Message{Kind: register.KindAccept, Key: key, Epoch: epoch, Cell: register.Entry{Epoch: epoch, Serial: serial, Op: "10.0.0.1:7000#0123456789abcdef", Value: value}})
		}
		var windows register.Windows
		for second := range minutes * 60 {
			if second%150 == 0 {
				windows = windows.Next()
				write(register.KeyWindows, windows.Open, windows.Open, windows.Encode())
			}
			for i := range 35 {
				key := once.Key(windows.Open, fmt.Sprintf("%d.seat-%d-%d", windows.Open, second, i))
				epoch := register.Epoch{Count: 1, Holder: "10.0.0.1:7000"}
				claim := once.Claim{State: once.Claimed, Claim: "10.0.0.1:7000#0123456789abcdef", Request: "r-0123456789abcdef", Body: once.Digest(nil)}
				say(register.Message{Kind: register.KindPrepare, Key: key, Epoch: epoch})
				write(key, 1, 1, claim.Encode())
				claim.State, claim.Reply = once.Done, reply
				write(key, 2, 1, claim.Encode())
			}
			keys += 35 - a.Forgot()
			if log.Since() > 8<<20 {
				state := a.Snapshot()
				log.Cut(func() ([][]byte, error) { return pack(state) })
			}
			lifecycle.Pause(context.Background(), time.Second)
			if (second+1)%(minutes*15) == 0 {
				held = append(held, disk.Size())
			}
		}
	})
	t.Logf("%d minutes at 35 keys a second: %v bytes in the folder at each quarter, %d keys held of %d", minutes, held, keys, minutes*60*35)
	Convey("what is kept does not grow with the days", t, func() {
		So(len(held), ShouldEqual, 4)
		So(keys, ShouldBeLessThanOrEqualTo, 35*150*(register.KeptWindows+1))
		// A picture of what is held, and a log that is cut at 8 MiB, both of them twice
		// while a cut is under way.
		for _, bytes := range held {
			So(bytes, ShouldBeLessThan, int64(2*(keys*1500+(9<<20))))
		}
	})
}
