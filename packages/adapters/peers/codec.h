#pragma once

#include "adapters/peers/generated/peer.capnp.h"
#include "ports/peer_link.h"

#include <string>
#include <vector>

// Conversion between the port's messages and Cap'n Proto structs. Pure and thread-safe.
namespace goldcrestline::adapters::peers {

void writeGossip(const ports::Gossip &from, wire::Gossip::Builder to);
ports::Gossip readGossip(wire::Gossip::Reader from);

void writeOutcome(const policy::once::Outcome &from, wire::Outcome::Builder to);
policy::once::Outcome readOutcome(wire::Outcome::Reader from);

void writeEntry(const policy::once::Entry &from, wire::LedgerEntry::Builder to);
policy::once::Entry readEntry(wire::LedgerEntry::Reader from);

capnp::Data::Reader asData(const std::string &text);
std::string asString(capnp::Data::Reader data);
std::string asString(capnp::Text::Reader text);

} // namespace goldcrestline::adapters::peers
