package node

import (
	"context"
	"fmt"
	"io/fs"
	"strings"

	"github.com/juju/errors"

	"linedrum.example/linedrum/acquire"
	"linedrum.example/linedrum/event"
	"linedrum.example/linedrum/lifecycle"
	"linedrum.example/linedrum/register"
	"linedrum.example/linedrum/wal"
	"linedrum.example/linedrum/wire"
)

const (
	identityFile = "identity"
	foundersFile = "founders"
	diskLimit    = 8 << 20 // bytes waiting before a disk says that it is busy
	cutAfter     = 8 << 20 // bytes of log before the next picture
)

// diskLog is the acceptor's log port over the real log.
type diskLog struct {
	n        *Node
	log      *wal.Log
	acceptor *register.Acceptor
}

func (d *diskLog) Busy() bool { return d.log.Busy() }

func (d *diskLog) Append(rec register.Message, then func(error)) {
	b, err := wire.PackFrame(d.n.settings.Fleet, rec, wire.Cohort{})
	if err != nil {
		then(err)
		return
	}
	d.log.Append(b, d.locked(then))
}

func (d *diskLog) Barrier(then func(error)) { d.log.Barrier(d.locked(then)) }

func (d *diskLog) Recover(state []register.Message, then func(error)) {
	d.log.Recover(func() ([][]byte, error) { return d.n.packRecords(state) }, d.locked(then))
}

// locked brings a continuation from the log's writer back under the core lock.
func (d *diskLog) locked(then func(error)) func(error) {
	return func(err error) {
		d.n.mu.Lock()
		defer d.n.mu.Unlock()
		trusted := d.acceptor.Trusted()
		then(err)
		if trusted && err != nil && !errors.Is(err, wal.ErrStopped) {
			d.n.log.Say(event.DiskFailed, event.Fields{"reason": err.Error()})
		}
	}
}

// openedDisk is a data folder that was opened and replayed.
type openedDisk struct {
	folder   Folder
	log      *wal.Log
	acceptor *register.Acceptor
	founders []string // who was to found the fleet when the disk was born
}

// awaitDisk begins to open the data folder, and waits for it, but not long: a node
// whose disk hangs, refuses or is still in use by the process before serves without it, and
// takes it when it can be opened.
func (n *Node) awaitDisk(ctx context.Context) {
	first := make(chan struct{})
	n.crew.Start(func(ctx context.Context) { n.keepOpening(ctx, first) })
	ctx, cancel := context.WithTimeout(ctx, n.settings.Bounds.InForce.D()/2)
	defer cancel()
	select {
	case <-first:
	case <-ctx.Done():
	}
}

// keepOpening tries to open the disk until it is open, with pauses that double up to a
// bound; first is closed after the first try. A damaged log is given up once the
// fleet has what it held.
func (n *Node) keepOpening(ctx context.Context, first chan<- struct{}) {
	catchUp := n.settings.Bounds.CatchUp.D()
	pause, said := acquire.Pauses{First: catchUp / 64, Longest: catchUp / 8}.Begin(), ""
	for try := 0; ; try++ {
		disk, err := n.openDisk()
		if err == nil {
			n.takeDisk(disk)
		}
		if try == 0 {
			close(first)
		}
		if err == nil {
			return
		}
		damaged := errors.Is(err, wal.ErrDamaged)
		if reason := err.Error(); reason != said {
			said = reason
			n.sayUnopened(damaged, reason)
		}
		if damaged && n.awaitMajority(ctx) {
			n.giveUpLog()
		}
		if !lifecycle.Pause(ctx, pause()) {
			return
		}
	}
}

func (n *Node) sayUnopened(damaged bool, reason string) {
	number := event.DiskUnopened
	if damaged {
		number = event.DiskDamaged
	}
	n.log.Say(number, event.Fields{"data": n.settings.Data, "reason": reason})
}

// awaitMajority waits until this node holds a permit: a majority of the disks, of which
// this one is none, then shows the same state. False when the node ends before that.
func (n *Node) awaitMajority(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	whole := false
	lifecycle.Every(ctx, n.settings.Bounds.CatchUp.D()/64, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.core != nil && n.core.Keeper.Held() {
			whole = true
			cancel()
		}
	})
	return whole
}

// giveUpLog empties the folder, so that the next opening makes a disk of another
// identity that never founds. In this order, each step durable before the next, since a
// part of the old log must never be read under the old identity.
func (n *Node) giveUpLog() {
	folder, err := n.host.Folder(n.settings.Data)
	if err == nil {
		err = emptyFolder(folder)
		folder.Close()
	}
	if err != nil {
		n.sayUnopened(false, err.Error())
		return
	}
	n.log.Say(event.DiskReborn, event.Fields{"data": n.settings.Data})
}

func emptyFolder(folder Folder) error {
	if err := wal.Put(folder, foundersFile, []byte("\n")); err != nil {
		return errors.Trace(err)
	}
	if err := removeFiles(folder, func(name string) bool { return name == identityFile }); err != nil {
		return errors.Trace(err)
	}
	return removeFiles(folder, wal.IsLogFile)
}

func removeFiles(folder Folder, which func(name string) bool) error {
	names, err := folder.List()
	if err != nil {
		return errors.Trace(err)
	}
	for _, name := range names {
		if !which(name) {
			continue
		}
		if err := folder.Remove(name); err != nil {
			return errors.Trace(err)
		}
	}
	return errors.Trace(folder.SyncDir())
}

// takeDisk hands an open disk to the core, or keeps it for the core that is being made.
func (n *Node) takeDisk(disk *openedDisk) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disk, n.folder, n.opened = disk.log, disk.folder, disk
	n.crew.Start(disk.log.Run)
	if n.core != nil {
		n.core.Attach(disk.acceptor, n.settings.BornBy(disk.founders).FirstDisks())
	}
}

// openDisk opens the data folder and replays it. Nothing of it is in use yet.
func (n *Node) openDisk() (disk *openedDisk, err error) {
	folder, err := n.host.Folder(n.settings.Data)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() {
		if err != nil {
			folder.Close()
		}
	}()
	identity, founders, err := n.diskIdentity(folder)
	if err != nil {
		return nil, errors.Trace(err)
	}
	port := &diskLog{n: n}
	port.acceptor = register.NewAcceptor(identity, n.settings.Listen, port)
	log, report, err := wal.Open(folder, diskLimit, func(record []byte) error {
		rec, _, err := wire.UnpackFrame(n.settings.Fleet, record)
		if err != nil {
			return errors.Annotatef(wal.ErrDamaged, "a record cannot be read: %v", err)
		}
		port.acceptor.Replay(rec)
		return nil
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	port.log = log
	if report.Torn > 0 {
		n.log.Say(event.DiskTorn, event.Fields{"file": report.TornFile, "bytes": report.Torn})
	}
	n.log.Say(event.DiskOpened, event.Fields{"disk": identity, "records": report.Records, "set": port.acceptor.Set().Serial})
	if report.Suspect != nil {
		n.log.Say(event.DiskFailed, event.Fields{"reason": report.Suspect.Error()})
		port.acceptor.Suspect()
	}
	return &openedDisk{folder: folder, log: log, acceptor: port.acceptor, founders: founders}, nil
}

// diskIdentity is born with the folder. Beside it stands for good who was to found the
// fleet then, none in a later life of the fleet (section 3.5).
func (n *Node) diskIdentity(folder Folder) (identity string, first []string, err error) {
	b, err := folder.Read(identityFile)
	if err == nil {
		names, err := folder.Read(foundersFile)
		if errors.Is(err, fs.ErrNotExist) {
			err = nil // an older release made the folder: its founders are named in the settings
		}
		return strings.TrimSpace(string(b)), strings.Fields(string(names)), err
	}
	if !errors.Is(err, fs.ErrNotExist) {
		return "", nil, err
	}
	names, err := folder.List()
	if err != nil {
		return "", nil, err
	}
	for _, name := range names {
		if wal.IsLogFile(name) {
			return "", nil, errors.Annotate(wal.ErrDamaged, "the folder has a log but no identity")
		}
	}
	identity, first = n.newIdentity(), n.settings.FirstDisks()
	if b, err := folder.Read(foundersFile); err == nil {
		first = strings.Fields(string(b)) // an earlier life came as far as this
	} else if !errors.Is(err, fs.ErrNotExist) {
		return "", nil, err
	} else if err = wal.Put(folder, foundersFile, []byte(strings.Join(first, "\n")+"\n")); err != nil {
		return "", nil, err
	}
	return identity, first, wal.Put(folder, identityFile, []byte(identity+"\n"))
}

func (n *Node) newIdentity() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return fmt.Sprintf("%016x", n.rand.Uint64())
}

func (n *Node) packRecords(records []register.Message) (packed [][]byte, err error) {
	for _, rec := range records {
		b, err := wire.PackFrame(n.settings.Fleet, rec, wire.Cohort{})
		if err != nil {
			return nil, errors.Trace(err)
		}
		packed = append(packed, b)
	}
	return packed, nil
}

// cutLog keeps the log short: a picture of the state takes the place of what is
// before it. Called under mu.
func (n *Node) cutLog() {
	acceptor := n.core.Acceptor
	if acceptor == nil || !acceptor.Trusted() || n.disk.Since() <= cutAfter {
		return
	}
	state := acceptor.Snapshot() // copied here; packed on the log's writer
	n.disk.Cut(func() ([][]byte, error) { return n.packRecords(state) })
}
