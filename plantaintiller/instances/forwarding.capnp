@0xa6e2c1d49b7f3085;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("plantaintiller::instances::wire");

# What two instances tell each other of the sessions that one serves for callers
# of the other.
struct FrameBatch {
  # Version of the configuration that the sender has in force.
  configurationVersion @0 :UInt64;
  # Asks for a batch at once, as a sign of life.
  ping @1 :Bool;
  frames @2 :List(SessionFrame);
}

struct SessionFrame {
  # Drawn by the caller's instance, unique on the connection.
  session @0 :UInt64;
  kind @1 :Kind;
  # kOpen: name of the database. kData: bytes of the caller, or for it.
  bytes @2 :Data;
  # From the serving instance: bytes of the caller that were answered so far.
  settled @3 :UInt64;
  # From the serving instance: whether a transaction is open.
  inTransaction @4 :Bool;

  enum Kind {
    open @0;
    data @1;
    # The caller has left.
    gone @2;
    # An open transaction is to be given up.
    abandon @3;
    # The session ended.
    closed @4;
    # The session was not taken; another instance should be asked.
    refused @5;
  }
}
