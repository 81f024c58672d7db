// Package ring is the identifier space of design.md section 2.1: 160-bit
// identifiers on a circle, made by SHA-1, with clockwise and absolute distance.
package ring

import (
	"crypto/sha1"
	"encoding/hex"
	"math/bits"
)

// Bits is the width of an identifier.
const Bits = 160

// ID is one point of the ring, most significant byte first.
type ID [Bits / 8]byte

// Of hashes an address or a key onto the ring.
func Of(name string) ID { return sha1.Sum([]byte(name)) }

// String gives the first half-dozen hexadecimal digits, enough for logs.
func (a ID) String() string { return hex.EncodeToString(a[:3]) }

// Cmp orders identifiers as numbers.
func (a ID) Cmp(b ID) int {
	for i := range a {
		if a[i] != b[i] {
			if a[i] < b[i] {
				return -1
			}
			return 1
		}
	}
	return 0
}

// Clockwise is the way from one point to another, going clockwise.
func Clockwise(from, to ID) ID {
	var gap ID
	var borrow uint
	for i := len(gap) - 1; i >= 0; i-- {
		d := uint(to[i]) - uint(from[i]) - borrow
		gap[i] = byte(d)
		borrow = (d >> 8) & 1
	}
	return gap
}

// Distance is the shorter of the two ways round.
func Distance(a, b ID) ID {
	there, back := Clockwise(a, b), Clockwise(b, a)
	if there.Cmp(back) <= 0 {
		return there
	}
	return back
}

// PlusPower is a+2^i on the ring.
func (a ID) PlusPower(i int) ID {
	at := len(a) - 1 - i/8
	carry := uint(1) << (i % 8)
	for ; at >= 0 && carry != 0; at-- {
		sum := uint(a[at]) + carry
		a[at] = byte(sum)
		carry = sum >> 8
	}
	return a
}

// Between tells whether x lies strictly inside the clockwise range (a, b).
// The range (a, a) is the whole ring but a.
func Between(a, x, b ID) bool {
	if x == a || x == b {
		return false
	}
	if a == b {
		return true
	}
	return Clockwise(a, x).Cmp(Clockwise(a, b)) < 0
}

// Log2 is the place of the highest set bit, -1 for zero.
func (a ID) Log2() int {
	for i, b := range a {
		if b != 0 {
			return (len(a)-1-i)*8 + bits.Len8(b) - 1
		}
	}
	return -1
}
