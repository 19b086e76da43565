@0xa6e2c1d49b7f3085;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("plantaintiller::instances::wire");

# Message between two instances about remote sessions: sessions that one
# instance serves for callers of the other.
struct FrameBatch {
  # Version of the sender's active configuration.
  configurationVersion @0 :UInt64;
  # Ping: asks the receiver to send a batch at once, as a heartbeat.
  ping @1 :Bool;
  frames @2 :List(SessionFrame);
}

struct SessionFrame {
  # Chosen by the caller's instance; unique on the connection.
  session @0 :UInt64;
  kind @1 :Kind;
  # open: name of the database. openWithAccount: a SessionOpening as a message
  # of its own. data: bytes from the caller, or to the caller.
  bytes @2 :Data;
  # Set by the serving instance: number of the caller's bytes that have been
  # answered so far.
  settled @3 :UInt64;
  # Set by the serving instance: whether a transaction is open.
  inTransaction @4 :Bool;

  enum Kind {
    open @0;
    data @1;
    # The caller has disconnected.
    gone @2;
    # Asks the serving instance to send nothing more of the session to a server.
    abandon @3;
    # The session ended.
    closed @4;
    # The session was rejected; the sender should try another instance.
    refused @5;
    # As open, where there are client accounts. A kind of its own, so that all
    # other frames stay as short as they were.
    openWithAccount @6;
  }
}

# Session of a caller that may belong to a client account.
struct SessionOpening {
  database @0 :Data;
  # Name of the account; empty if the key belongs to none.
  account @1 :Data;
  # Digest of the key that the caller presented.
  keyDigest @2 :Data;
}
