@0xb3c1f0a57d2e4496;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("goldcrestline::adapters::peers::wire");

struct Member {
  name @0 :Text;
  zone @1 :Text;
  callersAddress @2 :Text;
  controlAddress @3 :Text;
  peersAddress @4 :Text;
  incarnation @5 :UInt64;
  refutation @6 :UInt32;
  state @7 :UInt8;
  leaving @8 :Bool;
  successor @9 :Text;
  load @10 :UInt32;
}

struct LeavingNote {
  serverId @0 :Text;
  startedAt @1 :Int64;
}

struct Gossip {
  from @0 :Text;
  members @1 :List(Member);
  wholeTable @2 :Bool;
  leavingServers @3 :List(LeavingNote);
  listsRevision @4 :UInt64;
  fleetRevision @5 :UInt64;
  confirmationAgeMs @6 :Int64;
}

struct Outcome {
  code @0 :Int32;
  detail @1 :Text;
  body @2 :Data;
}

struct LedgerEntry {
  key @0 :Text;
  bodyDigest @1 :Text;
  outcome @2 :Outcome;
  expiresAt @3 :Int64;
}

# Calls between entry hosts.
interface Peer {
  # Exchanges news; also the liveness probe.
  exchange @0 (message :Gossip) -> (reply :Gossip);
  # Probes another host on behalf of the caller.
  probe @1 (name :Text, address :Text) -> (reached :Bool);
  # Returns a replicated document.
  fetch @2 (kind :UInt8) -> (revision :UInt64, text :Data);
  # Runs a request whose key this host decides on.
  run @3 (customer :Text, service :Text, key :Text, body :Data, timeLeftMs :Int64) -> (outcome :Outcome);
  # Lends tokens of a plan's limit.
  borrow @4 (plan :Text, wanted :Int32) -> (tokens :Int32);
  # Hands over a sealed ledger.
  adopt @5 (host :Text, incarnation :UInt64, secret :Text, entries :List(LedgerEntry), latest :Int64) -> (adopted :Bool);
}

# One message of the membership protocol where it travels over UDP.
struct Datagram {
  # Names the question in its answer.
  id @0 :UInt64;
  union {
    exchange @1 :Gossip;
    exchanged @2 :Gossip;
    probe :group {
      name @3 :Text;
      address @4 :Text;
    }
    probed @5 :Bool;
  }
}
