# Protocol between entry instances.
@0xd1f6c2a4b79e3085;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("plantaintiller::instances::wire");

struct Value {
  union {
    null @0 :Void;
    text @1 :Data;
  }
}

struct Position {
  entryTerm @0 :UInt64;
  offset @1 :UInt64;
}

struct Transaction {
  executor @0 :UInt32;
  number @1 :UInt64;
  incarnation @2 :UInt64;
}

struct Statement {
  kind @0 :UInt8;
  database @1 :UInt32;
  slot @2 :UInt8;
  isWrite @3 :Bool;
  priority @4 :UInt8;
  idempotent @5 :Bool;
  hasKey @6 :Bool;
  keyHigh @7 :UInt64;
  keyLow @8 :UInt64;
  fingerprint @9 :UInt64;
  token @10 :Position;
  maxStalenessMs @11 :UInt64;
  # Times are sent as durations because the instances' clocks differ.
  ageUs @12 :UInt64;
  remainingUs @13 :UInt64;
  transaction @14 :Transaction;
  sql @15 :Data;
  params @16 :List(Value);
  requestId @17 :Text;
}

struct Row {
  cells @0 :List(Value);
}

struct Outcome {
  refusal @0 :UInt8;
  effect @1 :UInt8;
  retryAfterMs @2 :UInt32;
  database @3 :UInt32;
  slot @4 :UInt8;
  term @5 :UInt64;
  position @6 :Position;
  alreadyDone @7 :Bool;
  transaction @8 :Transaction;
  hasResult @9 :Bool;
  columns @10 :List(Text);
  rows @11 :List(Row);
  affectedRows @12 :UInt64;
  sqlstate @13 :Text;
  message @14 :Text;
  knownTerm @15 :UInt64;
  knownPrimary @16 :UInt8;
  atPrimary @17 :Bool;
}

struct ServerReport {
  database @0 :UInt32;
  slot @1 :UInt8;
  heardAgoMs @2 :UInt32;
}

struct Heartbeat {
  from @0 :UInt32;
  leaving @1 :Bool;
  configurationVersion @2 :UInt64;
  reports @3 :List(ServerReport);
  zone @4 :UInt32;
  host @5 :Text;
  port @6 :UInt16;
}

interface Instance {
  # Runs a statement on the receiver's backend connections.
  execute @0 (from :UInt32, work :Statement) -> (outcome :Outcome);
  beat @1 (beat :Heartbeat);
  # The receiver's configuration as JSON; empty if it has none.
  configuration @2 () -> (json :Text);
}
