package virtual

import (
	"errors"
	"syscall"
	"testing"
	"testing/synctest"

	. "github.com/smartystreets/goconvey/convey"
)

// TestFull fills a disk in the middle of a write, ends its process, and clears it.
func TestFull(t *testing.T) {
	var short, whole int
	var full, create, after error
	var held []byte
	synctest.Test(t, func(t *testing.T) {
		m := NewNet(1).Add("a")
		disk := NewDisk()
		folder := disk.Folder(m.Boot())
		f, _ := folder.Create("log")
		disk.Fill(3)
		short, full = f.Write([]byte("hello"))
		disk.Crash(false)
		folder = disk.Folder(m.Boot())
		_, create = folder.Create("other")
		held, _ = folder.Read("log")
		disk.Clear()
		if f, after = folder.Create("other"); after == nil {
			whole, after = f.Write([]byte("hello"))
		}
	})
	Convey("a full disk takes what fits, keeps it, and takes bytes again once it is cleared", t, func() {
		So(short, ShouldEqual, 3)
		So(errors.Is(full, syscall.ENOSPC), ShouldBeTrue)
		So(errors.Is(create, syscall.ENOSPC), ShouldBeTrue)
		So(string(held), ShouldEqual, "hel")
		So(after, ShouldBeNil)
		So(whole, ShouldEqual, 5)
	})
}
