using Go = import "/go.capnp";
@0xb5f1c3a27d904e61;
$Go.package("wire");
$Go.import("linedrum.example/linedrum/wire");

# design.md section 2.2 and 3.3. Form is the message version: an unknown one is dropped.

struct Entry {
  addr @0 :Text;
  incarnation @1 :UInt64;
  http @2 :Text;
  site @3 :Text;
  disk @4 :Text;
}

struct Datagram {
  form @0 :UInt16;
  fleet @1 :Text;
  kind @2 :UInt8;
  seq @3 :UInt64;
  from @4 :Entry;
  subject @5 :Entry;
  other @6 :Entry;
  departed @7 :Bool;
  left @8 :Bool;
  key @9 :Data;
  origin @10 :Entry;
  known @11 :UInt64;
  hops @12 :UInt32;
}

struct Epoch {
  count @0 :UInt64;
  holder @1 :Text;
}

struct Cell {
  epoch @0 :Epoch;
  serial @1 :UInt64;
  op @2 :Text;
  value @3 :Data;
}

struct KeyCell {
  key @0 :Text;
  promised @1 :Epoch;
  cell @2 :Cell;
  bare @3 :Bool;
}

struct Disk {
  identity @0 :Text;
  addr @1 :Text;
}

struct DiskSet {
  serial @0 :UInt64;
  disks @1 :List(Disk);
  next @2 :List(Disk);
}

struct Frame {
  form @0 :UInt16;
  fleet @1 :Text;
  kind @2 :UInt8;
  ask @3 :UInt64;
  from @4 :Text;
  disk @5 :Text;
  key @6 :Text;
  epoch @7 :Epoch;
  cell @8 :Cell;
  yes @9 :Bool;
  reason @10 :UInt8;
  set @11 :DiskSet;
  pledge @12 :DiskSet;
  cells @13 :List(KeyCell);
  base @14 :UInt64;
  read @15 :Bool;
  again @16 :Bool;
  outcome @17 :UInt8;
  patience @18 :Int64;
  floor @19 :UInt64;
  range @20 :UInt32;
  digests @21 :List(UInt64);
  alive @22 :List(Entry);
  departed @23 :List(Entry);
}
