@0xb7d4c2e9a1f05836;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("plantaintiller::instances::wire");

# Use of the rate limits of client accounts, in one datagram of less than 1,400
# bytes.
struct UsageMessage {
  reports @0 :List(UsageReport);
  # From relays only.
  zones @1 :List(ZoneLiveness);
}

struct UsageReport {
  # Hash of the instance's name.
  instance @0 :UInt64;
  # Hash of the name of its availability zone.
  zone @1 :UInt32;
  # Rises with each start of the process.
  incarnation @2 :UInt32;
  # Rises with each report of an incarnation.
  sequence @3 :UInt32;
  # Whether the sender needs the use by all others, because it has just started.
  joining @4 :Bool;
  # Whether an account is close to its limit.
  urgent @5 :Bool;
  # Whether the sender stops to admit operations.
  leaving @6 :Bool;
  # Accounts whose use has changed.
  accounts @7 :List(AccountUsage);
}

# One word, because there are many.
struct AccountUsage {
  # Hash of the account's name.
  account @0 :UInt32;
  # Operations admitted since the start of the process, modulo 2^16.
  admitted @1 :UInt16;
  # Operations that callers ask for, in sixteenths of an operation a second.
  demand @2 :UInt16;
}

struct ZoneLiveness {
  zone @0 :UInt32;
  # Time since a relay of the zone sent this.
  ageMs @1 :UInt32;
  # Hashes of the instances that the relay has not heard from in time.
  silent @2 :List(UInt64);
}
