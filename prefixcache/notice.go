package prefixcache

import (
	"encoding/binary"
	"time"

	"github.com/juju/errors"

	"linedrum.example/linedrum/engine"
)

// Notice tells other nodes of a go as it is sent: which engine reads which chain and
// for how long, and which one fetches it. A notice that is lost costs a guess, no
// more, so it goes by datagram and is not repeated.
type Notice struct {
	Server, Life string
	Takes        time.Duration // of reading; whole ms are told
	Writer       string        // fetches what was read; empty for a direct go
	WriterLife   string
	Keys         []Key
}

// NoticeOf makes the notice of a chain's go; the caller fills in the engines.
func NoticeOf(parts []engine.Part) Notice { return Notice{Keys: chain(parts)} }

// noticeForm is the first byte; others are refused.
const noticeForm = 1

// ErrNotice is a notice that this program cannot read.
const ErrNotice = errors.ConstError("not a notice")

// Most of what a notice holds, so that it fits a datagram.
const (
	mostKeys = 32
	mostText = 128
)

// Encode is the bytes of a notice, about a hundred. A chain beyond 32 parts is told
// without its end.
func (n Notice) Encode() []byte {
	b := make([]byte, 0, 128)
	b = append(b, noticeForm)
	for _, text := range []string{n.Server, n.Life, n.Writer, n.WriterLife} {
		text = text[:min(len(text), mostText)]
		b = binary.AppendUvarint(b, uint64(len(text)))
		b = append(b, text...)
	}
	b = binary.AppendUvarint(b, wholeMS(n.Takes))
	return appendKeys(b, n.Keys)
}

// DecodeNotice reads them; anything else is ErrNotice.
func DecodeNotice(b []byte) (n Notice, err error) {
	if len(b) == 0 || b[0] != noticeForm {
		return n, ErrNotice
	}
	r := reader{rest: b[1:]}
	for _, text := range []*string{&n.Server, &n.Life, &n.Writer, &n.WriterLife} {
		*text = r.text()
	}
	n.Takes = r.ms()
	n.Keys = r.keys()
	if r.failed || len(r.rest) > 0 || n.Server == "" {
		return Notice{}, ErrNotice
	}
	return n, nil
}

// Take believes a notice, this node's own or another's, of engines that are listed.
// Memory is the engines' whole one, since all nodes' goes are noted.
func (b *Book) Take(n Notice, memory int, now time.Duration, listed func(server string) bool) {
	if !listed(n.Server) {
		return
	}
	b.note(n.Server, n.Life, n.Keys, memory)
	b.Reads(n.Server, n.Life, n.Takes, now)
	if n.Writer != "" && listed(n.Writer) {
		b.note(n.Writer, n.WriterLife, n.Keys, memory)
	}
}
