package wire

import (
	"bufio"
	"encoding/binary"
	"time"

	"capnproto.org/go/capnp/v3"
	"github.com/juju/errors"

	"linedrum.example/linedrum/calot"
	"linedrum.example/linedrum/quorum"
	"linedrum.example/linedrum/register"
	"linedrum.example/linedrum/ring"
)

// Form is the form of all messages between nodes, and of records on disk. A form
// may only add to the one before it, so a program reads its own and the next one,
// of which it passes over what it does not know: two releases that follow each
// other live in one fleet. Others are dropped (section 2.2). Form 1 had once-only
// keys without windows, and cannot be read along.
const (
	Form   uint16 = 2
	Oldest uint16 = 2
)

// reads tells whether a form is understood here.
func reads(form uint16) bool { return form >= Oldest && form <= Form+1 }

// Bounds on what is read from others (section 2.2).
const (
	MaxDatagram = 8 << 10
	MaxFrame    = 16 << 20
	maxEntries  = 1 << 16
)

// ErrForm is a message of another form or fleet: dropped and counted, never read further.
const ErrForm = errors.ConstError("message of another form or fleet")

// Cohort is the bulk table copy that rides in a frame.
type Cohort struct{ Alive, Departed []calot.Entry }

func putEntry(to Entry, e calot.Entry) error {
	to.SetIncarnation(e.Incarnation)
	return firstErr(to.SetAddr(e.Addr), to.SetHttp(e.HTTP), to.SetSite(e.Site), to.SetDisk(e.Disk))
}

func getEntry(from Entry, err error) (calot.Entry, error) {
	if err != nil {
		return calot.Entry{}, err
	}
	r := reader{}
	e := calot.Entry{Incarnation: from.Incarnation()}
	e.Addr = r.text(from.Addr())
	e.HTTP = r.text(from.Http())
	e.Site = r.text(from.Site())
	e.Disk = r.text(from.Disk())
	return e, r.err
}

// reader keeps the first error, so that a message is read in one sweep.
type reader struct{ err error }

func (r *reader) text(s string, err error) string {
	r.note(err)
	return s
}

func (r *reader) data(b []byte, err error) []byte {
	r.note(err)
	if len(b) == 0 {
		return nil
	}
	return append([]byte(nil), b...)
}

func (r *reader) entry(e Entry, err error) calot.Entry {
	out, err := getEntry(e, err)
	r.note(err)
	return out
}

func (r *reader) note(err error) {
	if r.err == nil && err != nil {
		r.err = err
	}
}

func firstErr(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// PackDatagram turns one membership message into bytes.
func PackDatagram(fleet string, m calot.Message) ([]byte, error) {
	return PackDatagramAs(Form, fleet, m)
}

// PackDatagramAs is PackDatagram in another form, as the next release writes it.
func PackDatagramAs(form uint16, fleet string, m calot.Message) ([]byte, error) {
	msg, seg, err := capnp.NewMessage(capnp.SingleSegment(nil))
	if err != nil {
		return nil, errors.Trace(err)
	}
	d, err := NewRootDatagram(seg)
	if err != nil {
		return nil, errors.Trace(err)
	}
	d.SetForm(form)
	d.SetKind(uint8(m.Kind))
	d.SetSeq(m.Seq)
	d.SetDeparted(m.Departed)
	d.SetLeft(m.Left)
	d.SetKnown(m.Known)
	d.SetHops(m.Hops)
	if err := firstErr(d.SetFleet(fleet), d.SetKey(m.Key[:])); err != nil {
		return nil, errors.Trace(err)
	}
	for _, part := range []struct {
		make func() (Entry, error)
		from calot.Entry
	}{{d.NewFrom, m.From}, {d.NewSubject, m.Subject}, {d.NewOther, m.Other}, {d.NewOrigin, m.Origin}} {
		if part.from.Addr == "" {
			continue
		}
		e, err := part.make()
		if err == nil {
			err = putEntry(e, part.from)
		}
		if err != nil {
			return nil, errors.Trace(err)
		}
	}
	return msg.Marshal()
}

// UnpackDatagram reads bytes from the network; it never trusts them.
func UnpackDatagram(fleet string, b []byte) (calot.Message, error) {
	var m calot.Message
	if len(b) > MaxDatagram {
		return m, errors.New("datagram too long")
	}
	msg, err := capnp.Unmarshal(b)
	if err != nil {
		return m, errors.Trace(err)
	}
	msg.ResetReadLimit(4 * MaxDatagram)
	d, err := ReadRootDatagram(msg)
	if err != nil {
		return m, errors.Trace(err)
	}
	r := reader{}
	if !reads(d.Form()) || r.text(d.Fleet()) != fleet {
		return m, ErrForm
	}
	m = calot.Message{
		Kind: calot.Kind(d.Kind()), Seq: d.Seq(), Departed: d.Departed(), Left: d.Left(),
		Known: d.Known(), Hops: d.Hops(),
	}
	m.From = r.entry(d.From())
	m.Subject = r.entry(d.Subject())
	m.Other = r.entry(d.Other())
	m.Origin = r.entry(d.Origin())
	key := r.data(d.Key())
	if r.err != nil {
		return m, errors.Trace(r.err)
	}
	if len(key) != len(ring.ID{}) || !m.Kind.Valid() || m.From.Addr == "" {
		return m, errors.New("datagram with a bad field")
	}
	copy(m.Key[:], key)
	return m, nil
}

func putEpoch(to Epoch, err error, e register.Epoch) error {
	if err != nil {
		return err
	}
	to.SetCount(e.Count)
	return to.SetHolder(e.Holder)
}

func putCell(to Cell, err error, c register.Entry) error {
	if err != nil {
		return err
	}
	to.SetSerial(c.Serial)
	epoch, err := to.NewEpoch()
	return firstErr(putEpoch(epoch, err, c.Epoch), to.SetOp(c.Op), to.SetValue(c.Value))
}

func putSet(to DiskSet, err error, s quorum.VoterSet) error {
	if err != nil {
		return err
	}
	to.SetSerial(s.Serial)
	for _, part := range []struct {
		make func(int32) (Disk_List, error)
		from []quorum.Disk
	}{{to.NewDisks, s.Disks}, {to.NewNext, s.Next}} {
		list, err := part.make(int32(len(part.from)))
		if err != nil {
			return err
		}
		for i, d := range part.from {
			if err := firstErr(list.At(i).SetIdentity(d.Identity), list.At(i).SetAddr(d.Addr)); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *reader) epoch(e Epoch, err error) register.Epoch {
	r.note(err)
	if err != nil {
		return register.Epoch{}
	}
	return register.Epoch{Count: e.Count(), Holder: r.text(e.Holder())}
}

func (r *reader) cell(c Cell, err error) register.Entry {
	r.note(err)
	if err != nil {
		return register.Entry{}
	}
	return register.Entry{Epoch: r.epoch(c.Epoch()), Serial: c.Serial(), Op: r.text(c.Op()), Value: r.data(c.Value())}
}

func (r *reader) set(s DiskSet, err error) quorum.VoterSet {
	r.note(err)
	if err != nil {
		return quorum.VoterSet{}
	}
	return quorum.VoterSet{Serial: s.Serial(), Disks: r.disks(s.Disks()), Next: r.disks(s.Next())}
}

func (r *reader) disks(list Disk_List, err error) []quorum.Disk {
	r.note(err)
	if err != nil || list.Len() == 0 || list.Len() > maxEntries {
		return nil
	}
	out := make([]quorum.Disk, list.Len())
	for i := range out {
		out[i] = quorum.Disk{Identity: r.text(list.At(i).Identity()), Addr: r.text(list.At(i).Addr())}
	}
	return out
}

func (r *reader) entries(list Entry_List, err error) []calot.Entry {
	r.note(err)
	if err != nil || list.Len() == 0 || list.Len() > maxEntries {
		return nil
	}
	out := make([]calot.Entry, list.Len())
	for i := range out {
		out[i] = r.entry(list.At(i), nil)
	}
	return out
}

// newFrame builds the message of one frame; PackFrame and the log share it.
func newFrame(form uint16, fleet string, m register.Message, c Cohort) (*capnp.Message, error) {
	msg, seg, err := capnp.NewMessage(capnp.SingleSegment(nil))
	if err != nil {
		return nil, errors.Trace(err)
	}
	f, err := NewRootFrame(seg)
	if err != nil {
		return nil, errors.Trace(err)
	}
	f.SetForm(form)
	f.SetKind(uint8(m.Kind))
	f.SetAsk(m.Ask)
	f.SetYes(m.Yes)
	f.SetReason(uint8(m.Reason))
	f.SetBase(m.Base)
	f.SetRead(m.Read)
	f.SetAgain(m.Again)
	f.SetOutcome(uint8(m.Outcome))
	f.SetPatience(int64(m.Patience))
	f.SetFloor(m.Floor)
	f.SetRange(m.Range)
	err = firstErr(f.SetFleet(fleet), f.SetFrom(m.From), f.SetDisk(m.Disk), f.SetKey(m.Key))
	if err == nil && m.Epoch != (register.Epoch{}) {
		e, err2 := f.NewEpoch()
		err = putEpoch(e, err2, m.Epoch)
	}
	if err == nil && (m.Cell.Serial > 0 || m.Cell.Op != "" || len(m.Cell.Value) > 0) {
		cell, err2 := f.NewCell()
		err = putCell(cell, err2, m.Cell)
	}
	if err == nil && m.Set.Serial > 0 {
		s, err2 := f.NewSet()
		err = putSet(s, err2, m.Set)
	}
	if err == nil && m.Pledge.Serial > 0 {
		s, err2 := f.NewPledge()
		err = putSet(s, err2, m.Pledge)
	}
	if err == nil && len(m.Entries) > 0 {
		err = putCells(f, m.Entries)
	}
	if err == nil && len(m.Digests) > 0 {
		var list capnp.UInt64List
		if list, err = f.NewDigests(int32(len(m.Digests))); err == nil {
			for i, d := range m.Digests {
				list.Set(i, d)
			}
		}
	}
	for _, part := range []struct {
		make func(int32) (Entry_List, error)
		from []calot.Entry
	}{{f.NewAlive, c.Alive}, {f.NewDeparted, c.Departed}} {
		if err != nil || len(part.from) == 0 {
			continue
		}
		var list Entry_List
		if list, err = part.make(int32(len(part.from))); err != nil {
			break
		}
		for i, e := range part.from {
			err = firstErr(err, putEntry(list.At(i), e))
		}
	}
	return msg, errors.Trace(err)
}

func putCells(f Frame, cells []register.KeyEntry) error {
	list, err := f.NewCells(int32(len(cells)))
	if err != nil {
		return err
	}
	for i, kc := range cells {
		at := list.At(i)
		at.SetBare(kc.Bare)
		promised, err1 := at.NewPromised()
		cell, err2 := at.NewCell()
		if err := firstErr(at.SetKey(kc.Key), putEpoch(promised, err1, kc.Promised), putCell(cell, err2, kc.Entry)); err != nil {
			return err
		}
	}
	return nil
}

func readFrame(fleet string, msg *capnp.Message) (register.Message, Cohort, error) {
	var m register.Message
	var c Cohort
	f, err := ReadRootFrame(msg)
	if err != nil {
		return m, c, errors.Trace(err)
	}
	r := reader{}
	if !reads(f.Form()) || r.text(f.Fleet()) != fleet {
		return m, c, ErrForm
	}
	m = register.Message{
		Kind: register.Kind(f.Kind()), Ask: f.Ask(), Yes: f.Yes(), Reason: register.Reason(f.Reason()),
		Base: f.Base(), Read: f.Read(), Again: f.Again(), Outcome: register.Outcome(f.Outcome()),
		Patience: time.Duration(f.Patience()), Floor: f.Floor(), Range: f.Range(),
	}
	m.From = r.text(f.From())
	m.Disk = r.text(f.Disk())
	m.Key = r.text(f.Key())
	m.Epoch = r.epoch(f.Epoch())
	m.Cell = r.cell(f.Cell())
	m.Set = r.set(f.Set())
	m.Pledge = r.set(f.Pledge())
	cells, err := f.Cells()
	r.note(err)
	if err == nil && cells.Len() > 0 && cells.Len() <= maxEntries {
		m.Entries = make([]register.KeyEntry, cells.Len())
		for i := range m.Entries {
			at := cells.At(i)
			m.Entries[i] = register.KeyEntry{
				Key: r.text(at.Key()), Promised: r.epoch(at.Promised()), Entry: r.cell(at.Cell()), Bare: at.Bare(),
			}
		}
	}
	digests, err := f.Digests()
	r.note(err)
	if err == nil && digests.Len() <= maxEntries {
		for i := 0; i < digests.Len(); i++ {
			m.Digests = append(m.Digests, digests.At(i))
		}
	}
	c.Alive = r.entries(f.Alive())
	c.Departed = r.entries(f.Departed())
	if r.err == nil && !m.Kind.Valid() {
		return m, c, errors.New("frame with an unknown kind")
	}
	return m, c, errors.Trace(r.err)
}

// PackFrame turns one control message into bytes; the log keeps its records so too.
func PackFrame(fleet string, m register.Message, c Cohort) ([]byte, error) {
	return PackFrameAs(Form, fleet, m, c)
}

// PackFrameAs is PackFrame in another form, as the next release writes it.
func PackFrameAs(form uint16, fleet string, m register.Message, c Cohort) ([]byte, error) {
	msg, err := newFrame(form, fleet, m, c)
	if err != nil {
		return nil, err
	}
	return msg.Marshal()
}

// UnpackFrame reads what PackFrame made; it never trusts it.
func UnpackFrame(fleet string, b []byte) (register.Message, Cohort, error) {
	msg, err := capnp.Unmarshal(b)
	if err != nil {
		return register.Message{}, Cohort{}, errors.Trace(err)
	}
	msg.ResetReadLimit(4 * MaxFrame)
	return readFrame(fleet, msg)
}

// Reader takes frames off a connection, each of bounded size.
type Reader struct {
	fleet string
	from  *bufio.Reader
	dec   *capnp.Decoder
}

// maxSegments is more than this program writes in one frame.
const maxSegments = 64

var errSegments = errors.New("the frame has too many segments")

// NewReader bounds every frame by MaxFrame.
func NewReader(fleet string, from *bufio.Reader) *Reader {
	dec := capnp.NewDecoder(from)
	dec.MaxMessageSize = MaxFrame
	return &Reader{fleet, from, dec}
}

// Size waits for the next frame's beginning and gives how many bytes it says that it has; Next
// judges whether that can be.
func (r *Reader) Size() (int, error) {
	const word = 8
	count, err := r.from.Peek(4)
	if err != nil {
		return 0, err
	}
	segments := int(min(binary.LittleEndian.Uint32(count), maxSegments)) + 1
	if segments > maxSegments {
		return 0, errSegments
	}
	head, err := r.from.Peek(4 + 4*segments)
	if err != nil {
		return 0, err
	}
	size := len(head)
	for i := range segments {
		size += word * int(min(binary.LittleEndian.Uint32(head[4+4*i:]), MaxFrame/word))
	}
	return size, nil
}

// Next waits for one frame. After an error the connection is of no more use.
func (r *Reader) Next() (register.Message, Cohort, error) {
	msg, err := r.dec.Decode()
	if err != nil {
		return register.Message{}, Cohort{}, err
	}
	defer msg.Release()
	return readFrame(r.fleet, msg)
}
