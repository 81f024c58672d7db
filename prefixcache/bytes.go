package prefixcache

import (
	"encoding/binary"
	"time"
)

// mostTokens of one part that is believed.
const mostTokens = 1 << 30

// wholeMS is a time as it is told.
func wholeMS(d time.Duration) uint64 { return uint64(min(max(d, 0), longest) / time.Millisecond) }

// appendKeys writes a chain, without its end beyond mostKeys parts.
func appendKeys(b []byte, keys []Key) []byte {
	keys = keys[:min(len(keys), mostKeys)]
	b = binary.AppendUvarint(b, uint64(len(keys)))
	for _, k := range keys {
		b = binary.BigEndian.AppendUint64(b, k.Hash)
		b = binary.AppendUvarint(b, uint64(max(k.Tokens, 0)))
	}
	return b
}

// reader takes what was told off bytes; once failed it gives zeros.
type reader struct {
	rest   []byte
	failed bool
}

// take gives the next bytes; nil where there are not so many.
func (r *reader) take(size int) []byte {
	if r.failed || len(r.rest) < size {
		r.failed = true
		return nil
	}
	out := r.rest[:size]
	r.rest = r.rest[size:]
	return out
}

func (r *reader) fixed(size int) (v uint64) {
	for _, b := range r.take(size) {
		v = v<<8 | uint64(b)
	}
	return v
}

func (r *reader) varint(most uint64) uint64 {
	v, size := binary.Uvarint(r.rest)
	if r.failed || size <= 0 || v > most {
		r.failed = true
		return 0
	}
	r.rest = r.rest[size:]
	return v
}

func (r *reader) text() string { return string(r.take(int(r.varint(mostText)))) }

func (r *reader) ms() time.Duration {
	return time.Duration(r.varint(uint64(longest/time.Millisecond))) * time.Millisecond
}

func (r *reader) keys() (keys []Key) {
	for range r.varint(mostKeys) {
		keys = append(keys, Key{r.fixed(8), int(r.varint(mostTokens))})
	}
	return keys
}
