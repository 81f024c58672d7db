package register

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// PassingPrefix marks keys that are forgotten with the window that they belong to.
const PassingPrefix = "once/"

// KeyWindows names the register of the windows (section 3.7).
const KeyWindows = "windows"

// Windows says which keys may be taken: those of the windows from Floor to Open.
// What lies below the floor is forgotten, and refused for good.
type Windows struct {
	Open  uint64 `json:"open"`
	Floor uint64 `json:"floor"`
}

// KeptWindows is how many closed windows are kept beside the open one.
const KeptWindows = 4

// Next opens one more window, and moves the floor behind it.
func (w Windows) Next() Windows {
	next := Windows{Open: w.Open + 1, Floor: w.Floor}
	if next.Open > KeptWindows {
		next.Floor = max(next.Floor, next.Open-KeptWindows)
	}
	return next
}

// Encode writes the register's value.
func (w Windows) Encode() []byte {
	b, err := json.Marshal(w)
	if err != nil {
		panic(err) // two numbers always encode
	}
	return b
}

// DecodeWindows reads the register; nothing is open before it was first written.
func DecodeWindows(c Entry) Windows {
	var w Windows
	if c.Serial > 0 {
		_ = json.Unmarshal(c.Value, &w)
	}
	return w
}

// PassingKey names a register that is forgotten with its window.
func PassingKey(window uint64, name string) string {
	return fmt.Sprintf("%s%d/%s", PassingPrefix, window, name)
}

// WindowOf reads the window off such a key; one without belongs to window 0.
func WindowOf(key string) (window uint64, passing bool) {
	rest, passing := strings.CutPrefix(key, PassingPrefix)
	if !passing {
		return 0, false
	}
	number, _, _ := strings.Cut(rest, "/")
	window, _ = strconv.ParseUint(number, 10, 64)
	return window, true
}
