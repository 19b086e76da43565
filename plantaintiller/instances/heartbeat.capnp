@0xd3b1f0a7c9e24f61;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("plantaintiller::instances::wire");

# Heartbeat of an entry instance to the other instances, in one datagram.
struct Heartbeat {
  instance @0 :Text;
  zone @1 :Text;
  host @2 :Text;
  configurationVersion @3 :UInt64;
  # Store version that the sender's list of servers was read at.
  listVersion @4 :UInt64;
  leaders @5 :List(Leader);
  # Servers that refuse the sender's connections because all are in use.
  full @6 :List(ServerName);
  # Some of the instances that the sender knows.
  members @7 :List(Member);
  # CPU share of the sender, in thousandths of a core.
  capacity @8 :UInt32;
  # Age of the sender's newest information from the store, in milliseconds.
  storeAgeMs @9 :UInt32;
  # Hash of the sender's list of servers; equal for lists of the same servers.
  listHash @10 :UInt64;
  # Number of other instances that the sender considers alive.
  memberCount @11 :UInt32;
}

struct Leader {
  group @0 :Text;
  server @1 :Text;
  term @2 :UInt64;
  # Whether the sender is changing the group's leader now.
  changing @3 :Bool;
}

struct ServerName {
  group @0 :Text;
  server @1 :Text;
}

struct Member {
  instance @0 :Text;
  zone @1 :Text;
  host @2 :Text;
  capacity @3 :UInt32;
  # Time in milliseconds since the member was last known to be alive, from its
  # own heartbeats or from those of others.
  ageMs @4 :UInt32;
}

# Requests the receiver's state if it is newer than the sender's versions.
struct StateRequest {
  configurationVersion @0 :UInt64;
  listVersion @1 :UInt64;
  # Hash of the sender's list of servers, which the answer may build on; 0 to
  # request the whole list.
  listHash @2 :UInt64;
}

struct StateAnswer {
  # Empty if the answering instance has no newer one.
  configuration @0 :Text;
  listVersion @1 :UInt64;
  # All servers, or the new and changed ones if baseHash is set.
  servers @2 :List(ServerState);
  # Hash of the list that the answer results in; 0 if the list is not newer.
  listHash @3 :UInt64;
  # Hash of the list that the changes apply to; 0 for a whole list.
  baseHash @4 :UInt64;
  # Ids of the servers that are no longer listed.
  removed @5 :List(Text);
}

struct ServerState {
  id @0 :Text;
  group @1 :Text;
  address @2 :Text;
  zone @3 :Text;
  slots @4 :UInt32;
  draining @5 :Bool;
  reportsLeader @6 :Bool;
  bornMs @7 :Int64;
}
