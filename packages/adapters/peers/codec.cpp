#include "adapters/peers/codec.h"

namespace goldcrestline::adapters::peers {

using policy::membership::Member;
using policy::membership::MemberState;

namespace {

void writeMember(const Member &from, wire::Member::Builder to)
{
    to.setName(from.name);
    to.setZone(from.zone);
    to.setCallersAddress(from.callersAddress);
    to.setControlAddress(from.controlAddress);
    to.setPeersAddress(from.peersAddress);
    to.setIncarnation(from.incarnation);
    to.setRefutation(from.refutation);
    to.setState(static_cast<std::uint8_t>(from.state));
    to.setLeaving(from.leaving);
    to.setSuccessor(from.successor);
    to.setLoad(from.load);
}

Member readMember(wire::Member::Reader from)
{
    Member member;
    member.name = asString(from.getName());
    member.zone = asString(from.getZone());
    member.callersAddress = asString(from.getCallersAddress());
    member.controlAddress = asString(from.getControlAddress());
    member.peersAddress = asString(from.getPeersAddress());
    member.incarnation = from.getIncarnation();
    member.refutation = from.getRefutation();
    member.state = from.getState() <= static_cast<std::uint8_t>(MemberState::Left)
        ? static_cast<MemberState>(from.getState())
        : MemberState::Dead;
    member.leaving = from.getLeaving();
    member.successor = asString(from.getSuccessor());
    member.load = from.getLoad();
    return member;
}

} // namespace

capnp::Data::Reader asData(const std::string &text)
{
    return {reinterpret_cast<const kj::byte *>(text.data()), text.size()};
}

std::string asString(capnp::Data::Reader data)
{
    return {reinterpret_cast<const char *>(data.begin()), data.size()};
}

std::string asString(capnp::Text::Reader text)
{
    return {text.begin(), text.size()};
}

void writeGossip(const ports::Gossip &from, wire::Gossip::Builder to)
{
    to.setFrom(from.from);
    to.setWholeTable(from.wholeTable);
    to.setListsRevision(from.listsRevision);
    to.setFleetRevision(from.fleetRevision);
    to.setConfirmationAgeMs(from.confirmationAge.count());
    auto members = to.initMembers(static_cast<unsigned>(from.members.size()));
    for (unsigned i = 0; i < members.size(); ++i)
        writeMember(from.members[i], members[i]);
    auto notes = to.initLeavingServers(static_cast<unsigned>(from.leavingServers.size()));
    for (unsigned i = 0; i < notes.size(); ++i) {
        notes[i].setServerId(from.leavingServers[i].serverId);
        notes[i].setStartedAt(from.leavingServers[i].startedAt);
    }
}

ports::Gossip readGossip(wire::Gossip::Reader from)
{
    ports::Gossip gossip;
    gossip.from = asString(from.getFrom());
    gossip.wholeTable = from.getWholeTable();
    gossip.listsRevision = from.getListsRevision();
    gossip.fleetRevision = from.getFleetRevision();
    gossip.confirmationAge = core::Millis(std::max<std::int64_t>(0, from.getConfirmationAgeMs()));
    for (const auto it : from.getMembers())
        gossip.members.push_back(readMember(it));
    for (const auto it : from.getLeavingServers())
        gossip.leavingServers.push_back({asString(it.getServerId()), it.getStartedAt()});
    return gossip;
}

void writeOutcome(const policy::once::Outcome &from, wire::Outcome::Builder to)
{
    to.setCode(static_cast<int>(from.code));
    to.setDetail(from.detail);
    to.setBody(asData(from.body));
}

policy::once::Outcome readOutcome(wire::Outcome::Reader from)
{
    policy::once::Outcome outcome;
    outcome.code = static_cast<core::ResultCode>(from.getCode());
    // A code that this build does not know proves nothing about the run.
    if (core::infoOf(outcome.code).code != outcome.code)
        outcome.code = core::ResultCode::OutcomeUnknown;
    outcome.detail = asString(from.getDetail());
    outcome.body = asString(from.getBody());
    return outcome;
}

void writeEntry(const policy::once::Entry &from, wire::LedgerEntry::Builder to)
{
    to.setKey(from.key);
    to.setBodyDigest(from.bodyDigest);
    to.setExpiresAt(from.expiresAt);
    writeOutcome(from.outcome, to.initOutcome());
}

policy::once::Entry readEntry(wire::LedgerEntry::Reader from)
{
    return {asString(from.getKey()), asString(from.getBodyDigest()),
            policy::once::EntryState::Ended, readOutcome(from.getOutcome()), from.getExpiresAt()};
}

} // namespace goldcrestline::adapters::peers
