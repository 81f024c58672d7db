package desk

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"

	"github.com/juju/errors"
)

// The register's value is JSON, and packed where it is long: a file of 1,500 desks says
// nearly the same of each, and a node with a thin line would not get it to the disks
// within the link's patience (design.md 4.3).
const (
	packFrom  = 4 << 10
	packed    = byte(1) // never begins JSON
	maxStored = 64 << 20
)

// ErrStored is a register's value that cannot be read.
const ErrStored = errors.ConstError("the stored desk file cannot be read")

// Encode gives the register's value.
func (s Stored) Encode() ([]byte, error) {
	b, err := json.Marshal(s)
	if err != nil || len(b) < packFrom {
		return b, errors.Trace(err)
	}
	var out bytes.Buffer
	out.WriteByte(packed)
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if _, err = w.Write(b); err == nil {
		err = w.Close()
	}
	return out.Bytes(), errors.Trace(err)
}

// DecodeStored reads a register's value, packed or plain. The error is ErrStored.
func DecodeStored(value []byte) (Stored, error) {
	var s Stored
	if len(value) > 0 && value[0] == packed {
		plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(value[1:])), maxStored))
		if err != nil {
			return s, errors.WithType(err, ErrStored)
		}
		value = plain
	}
	if err := json.Unmarshal(value, &s); err != nil {
		return s, errors.WithType(err, ErrStored)
	}
	return s, nil
}
