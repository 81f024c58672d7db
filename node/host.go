package node

import (
	crand "crypto/rand"
	"encoding/binary"
	"math/rand/v2"

	"linedrum.example/linedrum/boot"
	"linedrum.example/linedrum/link"
	"linedrum.example/linedrum/serve"
	"linedrum.example/linedrum/wal"
	"linedrum.example/linedrum/wire"
)

// Host is the machine below a process, which is joined to nothing else of it
// (section 7.5): whole fleets run on machines that are in memory alone.
type Host struct {
	Clock  Clock
	Net    link.Network
	Folder func(path string) (Folder, error)
	Rand   *rand.Rand
	Form   uint16 // of the messages that it writes: wire.Form
}

// Clock is boot time.
type Clock = serve.Clock

// Folder is a data folder that this process has for itself until Close.
type Folder interface {
	wal.Files
	Close()
}

// Machine is the one that this process runs on. Its randomness is seeded from
// the system: ask numbers must differ from those of this address's earlier life.
func Machine() Host {
	var seed [16]byte
	_, _ = crand.Read(seed[:])
	return Host{
		Form: wire.Form, Clock: boot.Clock{}, Net: link.Sockets{},
		Folder: func(path string) (Folder, error) { return wal.OpenFolder(path) },
		Rand:   rand.New(rand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:]))),
	}
}
