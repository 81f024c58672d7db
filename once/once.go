// Package once is the value of a once-only key's register: who may run it, and
// what became of it (design.md section 5.7).
package once

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strconv"
	"strings"

	"linedrum.example/linedrum/register"
	"linedrum.example/linedrum/verdict"
)

// States of a claim.
const (
	Claimed  = "claimed"  // somebody runs it, or did and never said more
	Released = "released" // proved not to have run: free again
	Done     = "done"     // ran; Reply is kept if it was short enough
	Unclear  = "unclear"  // may have run; nobody will run it again
)

// Claim is the value.
type Claim struct {
	State   string          `json:"state"`
	Claim   string          `json:"claim"` // id of the one request that holds it
	Request string          `json:"request"`
	Body    string          `json:"body"` // digest of what was asked
	Reply   json.RawMessage `json:"reply,omitempty"`
}

// Key names the register of a caller's key: the key alone does, whatever desk
// files say, since they change while keys do not. A key begins with the window
// that it was made in, and is forgotten with it (section 3.7).
func Key(window uint64, key string) string {
	return register.PassingKey(window, Digest([]byte(key)))
}

// Window reads the window off a caller's key, "WINDOW.anything"; false when it
// has another form, under which nothing is ever taken.
func Window(key string) (uint64, bool) {
	number, rest, found := strings.Cut(key, ".")
	window, err := strconv.ParseUint(number, 10, 63)
	return window, found && rest != "" && err == nil && window > 0 && number == strconv.FormatUint(window, 10)
}

// Digest of what must be equal when a key is used again: what was asked, in the
// one form that its asker gives it, and not its spelling.
func Digest(meaning []byte) string {
	sum := sha256.Sum256(meaning)
	return hex.EncodeToString(sum[:16])
}

// Encode writes the value.
func (c Claim) Encode() []byte {
	b, err := json.Marshal(c)
	if err != nil {
		panic(err) // texts and one valid JSON value always encode
	}
	return b
}

// Decode reads a cell; nothing was ever claimed when its serial is 0.
func Decode(cell register.Entry) (Claim, error) {
	var c Claim
	if cell.Serial == 0 {
		return Claim{State: Released}, nil
	}
	err := json.Unmarshal(cell.Value, &c)
	return c, err
}

// Verdict is what a repeat of the same key is told.
func (c Claim) Verdict() verdict.Verdict {
	switch c.State {
	case Released:
		return verdict.NotRun
	case Done:
		return verdict.Ran
	}
	return verdict.MayHaveRun
}
