// Package calot is the membership of design.md section 2: 1h-Calot as a state
// machine over ports, with the exceptions that docs/calot.md lists.
package calot

import (
	"time"

	"linedrum.example/linedrum/ring"
)

// Entry is what the table says of one cohort member.
type Entry struct {
	Addr        string // ip:port for datagrams and for the cohort's connections
	Incarnation uint64 // 0 while the sender has not joined yet
	HTTP        string // ip:port for callers and operators
	Site        string
	Disk        string // identity of its disk, empty without one
}

// ID is the member's place on the ring.
func (e Entry) ID() ring.ID { return ring.Of(e.Addr) }

// Kind names a datagram.
type Kind uint8

// The datagrams of section 2.2.
const (
	KindAck Kind = iota + 1
	KindBeat
	KindBeatReply
	KindNotice
	KindLookup
	KindFound
	KindLeave
	KindProbe
	KindProbeReply
	KindProbeRequest // a neighbour is silent to me: probe it for me
	KindVouch        // it replied to my probe
	kindEnd
)

// Valid tells whether this is a kind that we know.
func (k Kind) Valid() bool { return k >= KindAck && k < kindEnd }

// Message is one datagram. Fields that a kind does not need stay zero.
type Message struct {
	Kind     Kind
	Seq      uint64 // what an acknowledgement names
	From     Entry
	Subject  Entry   // notice, probe request and vouch: whom it is about; found: predecessor
	Other    Entry   // found and beat reply: successor
	Departed bool    // notice: the subject is gone
	Left     bool    // notice: it said so itself
	Key      ring.ID // lookup and found: the key; notice: end of the range to cover
	Origin   Entry   // lookup: who asks
	Known    uint64  // found: last incarnation known of the asker; probe: the one we hold departed; beat and its reply: digest of the sender's table
	Hops     uint32
}

// Timing holds every interval; section 2.5 gives each as a ratio to a bound.
type Timing struct {
	Beat     time.Duration // T of the paper
	Silent   time.Duration // no sign of a neighbour for this long: gone
	Ack      time.Duration // wait for an acknowledgement
	Tries    int           // sends of one message before its child is replaced
	Expire   time.Duration // h of the paper
	Announce time.Duration // own re-announcement
	Keep     time.Duration // a departed entry stays known for this long
	Probe    time.Duration // between probes of seeds and departed entries
}

// TimingFor derives all intervals from the recovery bound (section 2.5).
func TimingFor(recovery time.Duration) Timing {
	beat := recovery / 30
	return Timing{
		Beat:     beat,
		Silent:   4 * beat,
		Ack:      beat / 4,
		Tries:    3,
		Expire:   10 * recovery,
		Announce: 10 * recovery / 3,
		Keep:     30 * recovery,
		Probe:    2 * beat,
	}
}
