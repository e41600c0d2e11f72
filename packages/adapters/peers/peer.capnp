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
  capacity @11 :UInt32;
  strained @12 :Bool;
  region @13 :Text;
  cutOff @14 :Bool;
  relayAddress @15 :Text;
  unproven @16 :Bool;
}

struct LeavingNote {
  serverId @0 :Text;
  startedAt @1 :Int64;
}

# A server process that ended while it ran a request.
struct CrashNote {
  request @0 :Text;
  serverId @1 :Text;
  startedAt @2 :Int64;
  repeated @3 :Bool;
  refuted @4 :Bool;
  ageMs @5 :Int64;
  # Position in the order of crashes; 0 from hosts of earlier versions.
  number @6 :UInt64;
}

struct Gossip {
  from @0 :Text;
  members @1 :List(Member);
  comparison @2 :Bool;
  leavingServers @3 :List(LeavingNote);
  listsRevision @4 :UInt64;
  fleetRevision @5 :UInt64;
  confirmationAgeMs @6 :Int64;
  tableDigest @7 :UInt64;
  # Era of the store in which the lists were written.
  listsEra @8 :UInt64;
  # Newest era of the store that the sender knows.
  storeEra @9 :UInt64;
  # Comparison of member tables: hashes of the sender's records, and of those that it asks for.
  summary @10 :List(UInt64);
  wanted @11 :List(UInt64);
  # Digest of the sender's server list at fleetRevision.
  serverDigest @12 :UInt64;
  # Rate of requests of the sender's callers.
  requestsPerSecond @13 :Float32;
  crashes @14 :List(CrashNote);
  # Digest of all crash notes of the sender.
  crashDigest @15 :UInt64;
  # Age in ms of the last response of a server to the sender, plus 1; 0 if there was none.
  serverResponseAge @16 :UInt64;
  # Proof that proofVersion was the newest configuration that many ms ago, minus 1; 0 without one.
  proofAgeMs @17 :UInt64;
  proofVersion @18 :UInt64;
  # Digest of that configuration.
  proofDigest @19 :UInt64;
  # Revision of the store at which proofVersion was the newest configuration; 0 if unknown.
  proofRevision @20 :UInt64;
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

# One message between entry hosts: a request or the response to it.
struct Message {
  # Matches a response to its request.
  id @0 :UInt64;
  union {
    # Exchanges membership updates and document revisions. Also serves as the liveness probe.
    exchange @1 :Gossip;
    exchanged @2 :Gossip;
    # Asks the receiver to probe another host on behalf of the sender (indirect probe).
    probe :group {
      name @3 :Text;
      address @4 :Text;
    }
    probed @5 :Bool;
    # Requests a replicated document by its kind.
    fetch @6 :UInt8;
    fetched :group {
      kind @7 :UInt8;
      revision @8 :UInt64;
      text @9 :Data;
    }
    # Executes a request whose idempotency key the receiver owns.
    run :group {
      customer @10 :Text;
      service @11 :Text;
      key @12 :Text;
      body @13 :Data;
      timeLeftMs @14 :Int64;
    }
    ran @15 :Outcome;
    # Borrows tokens of a plan's rate limit.
    borrow :group {
      plan @16 :Text;
      wanted @17 :Int32;
    }
    borrowed @18 :Int32;
    # Transfers the idempotency ledger of a stopping host to its successor. The host no longer changes
    # the ledger.
    adopt :group {
      host @19 :Text;
      incarnation @20 :UInt64;
      secret @21 :Text;
      entries @22 :List(LedgerEntry);
      latest @23 :Int64;
    }
    adopted @24 :Bool;
    # Requests the changes of the receiver's server list since a version, and how recent its copies
    # are.
    follow :group {
      era @25 :UInt64;
      revision @26 :UInt64;
    }
    followed :group {
      era @27 :UInt64;
      revision @28 :UInt64;
      whole @29 :Bool;
      changes @30 :Data;
      configVersion @31 :UInt64;
      confirmationAgeMs @32 :Int64;
      # Zones whose servers get no requests.
      evacuatedZones @33 :List(Text);
    }
    # Borrows tokens of a workspace's quota from its lender, and returns unused ones.
    borrowQuota :group {
      workspace @34 :Text;
      wanted @35 :Int32;
      returned @36 :Int32;
      # The sender passes on the request of another host.
      passedOn @39 :Bool;
    }
    # waitMs: time until the lender has a further token; without one only.
    lentQuota :group {
      tokens @37 :Int32;
      waitMs @38 :Int64;
    }
    # Requests the receiver's configuration, by what the sender has.
    copyConfiguration :group {
      version @40 :UInt64;
      digest @41 :UInt64;
    }
    # delta: compressed changes of the configuration with the digest baseDigest, or of the empty
    # document if that is 0; empty if the sender of the request is up to date.
    copiedConfiguration :group {
      version @42 :UInt64;
      digest @43 :UInt64;
      baseDigest @44 :UInt64;
      delta @45 :Data;
    }
  }
}
