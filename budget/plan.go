// Package budget gives out what a process may hold for its peers: connections, and bytes of
// memory. A plan divides what the platform gives among the kinds of peers, so that no kind
// takes what another one needs; a pool gives one share out, account by account. Where a
// share is used up, the account that holds much and moves little gives way first
// (docs/design.md section 7.6).
package budget

// Class is a kind of peers with a share of its own.
type Class int

// The kinds of peers of a process.
const (
	Clients   Class = iota // of the listener for requests
	Operators              // of the platform's control listener
	Readiness              // whoever asks whether the process is ready
	Own                    // of the project's own interface
	Nodes                  // other processes of the fleet
	Engines                // engines and the list of them, to which the process connects
	classes
)

// String names a class as counters and log events do.
func (c Class) String() string {
	return [...]string{"clients", "operators", "readiness", "own", "nodes", "engines"}[c]
}

// Limits are what the platform gives a process.
type Limits struct {
	Memory int64 // bytes
	Files  int   // open descriptors
	// Alone says that the project's own interface is the only one: it has the shares of
	// clients, operators and readiness too.
	Alone bool
}

// Share is what the peers of one class may hold together.
type Share struct {
	Connections int
	Bytes       int64 // beside what each connection costs
	Outgoing    int64 // bytes that wait to be sent to them
	Buffer      int   // bytes that the system may hold of a connection, each way; 0: as it likes
	Connection  int64 // bytes that the process holds of an open connection
}

// Plan is how the limits of a process are divided.
type Plan struct {
	// Runtime is the soft limit of the Go runtime, in bytes: heap, stacks, and what it keeps free.
	Runtime int64
	Shares  [classes]Share
}

const (
	// programBytes are outside of the runtime: the program's mapped text and data, and the C library.
	programBytes = 20 << 20
	// keptFiles are descriptors that no peer gets: those that the platform keeps for files
	// outside the data folder, the log's segments, listeners and the runtime's own.
	keptFiles = 200 + 56
	// Spare connections of a class are open for a moment while others that gave way close.
	Spare = 8
)

// part is a class's parts of the whole, in thousandths, and what one connection of it costs.
type part struct {
	files, system, memory int64
	outgoing              int64
	perSystem             int64 // bytes that the system holds of a connection: its buffers, and its own records
	perProcess            int64 // stacks, a buffer each way, what net/http keeps of a request
	buffer                int
}

// linkFiles is the part of the descriptors, in thousandths, for the connections that a process
// makes to other nodes: one to each, as they make one to it.
const linkFiles = 120

// parts are the shares of a process on the users' platform; those of files add up to 1000 with
// linkFiles. Connections to engines are as
// many as the requests in hand can use, and more to keep. What comes from other nodes and
// engines is read at once, so that little of it lies in the system's buffers.
var parts = [classes]part{
	Clients:   {files: 320, system: 110, memory: 140, perSystem: 64 << 10, perProcess: 32 << 10, buffer: 32 << 10},
	Operators: {files: 50, system: 15, memory: 40, perSystem: 64 << 10, perProcess: 32 << 10, buffer: 32 << 10},
	Readiness: {files: 40, system: 5, memory: 5, perSystem: 16 << 10, perProcess: 24 << 10, buffer: 4 << 10},
	Own:       {files: 50, system: 15, memory: 20, perSystem: 64 << 10, perProcess: 32 << 10, buffer: 32 << 10},
	Nodes:     {files: 120, system: 25, memory: 30, outgoing: 15, perSystem: 16 << 10, perProcess: 16 << 10},
	Engines:   {files: 300, system: 70, memory: 0, perSystem: 32 << 10, perProcess: 12 << 10, buffer: 64 << 10},
}

// reserve is the part of the memory that nobody is given, in thousandths.
const reserve = 30

// PlanFor divides what a process is given.
func PlanFor(l Limits) Plan {
	parts := parts
	if l.Alone {
		for _, class := range []Class{Clients, Operators, Readiness} {
			parts[Own].files += parts[class].files
			parts[Own].system += parts[class].system
			parts[Own].memory += parts[class].memory
			parts[class] = part{perSystem: 1}
		}
	}
	var p Plan
	system := int64(reserve)
	for class, part := range parts {
		system += part.system
		byFiles := int64(max(l.Files-keptFiles, 0))*part.files/1000 - Spare
		bySystem := l.Memory * part.system / 1000 / part.perSystem
		p.Shares[class] = Share{
			Connections: int(max(min(byFiles, bySystem), 0)), Bytes: l.Memory * part.memory / 1000, Buffer: part.buffer, Connection: part.perProcess,
			Outgoing: l.Memory * part.outgoing / 1000,
		}
	}
	p.Runtime = max(l.Memory-programBytes-l.Memory*system/1000, l.Memory/4)
	return p
}

// Held is what all peers can hold of the runtime's memory by a plan, in bytes.
func (p Plan) Held() (sum int64) {
	for _, s := range p.Shares {
		sum += s.Bytes + s.Outgoing + int64(s.Connections+Spare)*s.Connection
	}
	return sum
}

// Files is how many descriptors all peers can have by a plan.
func (p Plan) Files() (sum int) {
	for _, s := range p.Shares {
		sum += s.Connections + Spare
	}
	return sum
}
