#include "adapters/peers/codec.h"

#include "adapters/peers/generated/peer.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

namespace goldcrestline::adapters::peers {

using policy::membership::Member;
using policy::membership::MemberState;

namespace {

// Bound on the unpacked size of a message, which a malformed one could claim to be far larger. The
// ledger of a stopping host exceeds the library's default limit.
constexpr std::uint64_t minTraversalWords = 1024;
constexpr std::uint64_t maxWordsPerByte = 2;

capnp::Data::Reader asData(const std::string &text)
{
    return {reinterpret_cast<const kj::byte *>(text.data()), text.size()};
}

// Keeps characters behind a NUL, which a conversion by kj::StringPtr would drop.
capnp::Text::Reader asText(const std::string &text)
{
    return {text.data(), text.size()};
}

std::string asString(capnp::Data::Reader data)
{
    return {reinterpret_cast<const char *>(data.begin()), data.size()};
}

std::string asString(capnp::Text::Reader text)
{
    return {text.begin(), text.size()};
}

void writeMember(const Member &from, wire::Member::Builder to)
{
    to.setName(asText(from.name));
    to.setZone(asText(from.zone));
    to.setRegion(asText(from.region));
    to.setCallersAddress(asText(from.callersAddress));
    to.setControlAddress(asText(from.controlAddress));
    to.setPeersAddress(asText(from.peersAddress));
    to.setIncarnation(from.incarnation);
    to.setRefutation(from.refutation);
    to.setState(static_cast<std::uint8_t>(from.state));
    to.setLeaving(from.leaving);
    to.setSuccessor(asText(from.successor));
    to.setLoad(from.load);
    to.setCapacity(from.capacity);
    to.setStrained(from.strained);
    to.setCutOff(from.cutOff);
    to.setUnproven(from.unproven);
    to.setRelayAddress(asText(from.relayAddress));
}

Member readMember(wire::Member::Reader from)
{
    Member member;
    member.name = asString(from.getName());
    member.zone = asString(from.getZone());
    member.region = asString(from.getRegion());
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
    member.capacity = from.getCapacity();
    member.strained = from.getStrained();
    member.cutOff = from.getCutOff();
    member.unproven = from.getUnproven();
    member.relayAddress = asString(from.getRelayAddress());
    return member;
}

void writeHashes(const std::vector<std::uint64_t> &from, capnp::List<std::uint64_t>::Builder to)
{
    for (unsigned i = 0; i < to.size(); ++i)
        to.set(i, from[i]);
}

void writeCrash(const policy::quarantine::CrashNote &from, wire::CrashNote::Builder to)
{
    to.setRequest(asText(from.request));
    to.setServerId(asText(from.server.id));
    to.setStartedAt(from.server.startedAt);
    to.setRepeated(from.repeated);
    to.setRefuted(from.refuted);
    to.setAgeMs(from.age.count());
    to.setNumber(from.number);
}

policy::quarantine::CrashNote readCrash(wire::CrashNote::Reader from)
{
    return {asString(from.getRequest()),
            {asString(from.getServerId()), from.getStartedAt()},
            from.getRepeated(),
            from.getRefuted(),
            core::Millis(std::max<std::int64_t>(0, from.getAgeMs())),
            from.getNumber()};
}

void writeGossip(const ports::Gossip &from, wire::Gossip::Builder to)
{
    to.setFrom(asText(from.from));
    to.setComparison(from.comparison);
    writeHashes(from.summary, to.initSummary(static_cast<unsigned>(from.summary.size())));
    writeHashes(from.wanted, to.initWanted(static_cast<unsigned>(from.wanted.size())));
    to.setTableDigest(from.tableDigest);
    to.setListsEra(from.listsVersion.era);
    to.setListsRevision(from.listsVersion.revision);
    to.setStoreEra(from.storeEra);
    to.setServerDigest(from.serverDigest);
    to.setRequestsPerSecond(from.requestsPerSecond);
    to.setFleetRevision(from.fleetRevision);
    to.setConfirmationAgeMs(from.confirmationAge.count());
    auto members = to.initMembers(static_cast<unsigned>(from.members.size()));
    for (unsigned i = 0; i < members.size(); ++i)
        writeMember(from.members[i], members[i]);
    auto notes = to.initLeavingServers(static_cast<unsigned>(from.leavingServers.size()));
    for (unsigned i = 0; i < notes.size(); ++i) {
        notes[i].setServerId(asText(from.leavingServers[i].serverId));
        notes[i].setStartedAt(from.leavingServers[i].startedAt);
    }
    to.setCrashDigest(from.crashDigest);
    if (from.serverResponseAge)
        to.setServerResponseAge(static_cast<std::uint64_t>(from.serverResponseAge->count()) + 1);
    if (from.proofAge)
        to.setProofAgeMs(static_cast<std::uint64_t>(from.proofAge->count()) + 1);
    to.setProofVersion(from.proofVersion);
    to.setProofDigest(from.proofDigest);
    to.setProofRevision(from.proofRevision);
    auto crashes = to.initCrashes(static_cast<unsigned>(from.crashes.size()));
    for (unsigned i = 0; i < crashes.size(); ++i)
        writeCrash(from.crashes[i], crashes[i]);
}

ports::Gossip readGossip(wire::Gossip::Reader from)
{
    ports::Gossip gossip;
    gossip.from = asString(from.getFrom());
    gossip.comparison = from.getComparison();
    for (const auto it : from.getSummary())
        gossip.summary.push_back(it);
    for (const auto it : from.getWanted())
        gossip.wanted.push_back(it);
    gossip.tableDigest = from.getTableDigest();
    gossip.listsVersion = {from.getListsEra(), from.getListsRevision()};
    gossip.storeEra = from.getStoreEra();
    gossip.serverDigest = from.getServerDigest();
    gossip.requestsPerSecond = from.getRequestsPerSecond();
    gossip.fleetRevision = from.getFleetRevision();
    gossip.confirmationAge = core::Millis(std::max<std::int64_t>(0, from.getConfirmationAgeMs()));
    for (const auto it : from.getMembers())
        gossip.members.push_back(readMember(it));
    for (const auto it : from.getLeavingServers())
        gossip.leavingServers.push_back({asString(it.getServerId()), it.getStartedAt()});
    gossip.crashDigest = from.getCrashDigest();
    if (from.getServerResponseAge() != 0)
        gossip.serverResponseAge = core::Millis(from.getServerResponseAge() - 1);
    if (from.getProofAgeMs() != 0)
        gossip.proofAge = core::Millis(from.getProofAgeMs() - 1);
    gossip.proofVersion = from.getProofVersion();
    gossip.proofDigest = from.getProofDigest();
    gossip.proofRevision = from.getProofRevision();
    for (const auto it : from.getCrashes())
        gossip.crashes.push_back(readCrash(it));
    return gossip;
}

void writeOutcome(const policy::idempotency::Outcome &from, wire::Outcome::Builder to)
{
    to.setCode(static_cast<int>(from.code));
    to.setDetail(asText(from.detail));
    to.setBody(asData(from.body));
}

policy::idempotency::Outcome readOutcome(wire::Outcome::Reader from)
{
    policy::idempotency::Outcome outcome;
    outcome.code = static_cast<core::ResultCode>(from.getCode());
    // A result code that this version does not know, from a host with a newer version, leaves the
    // outcome of the request unknown.
    if (core::infoOf(outcome.code).code != outcome.code)
        outcome.code = core::ResultCode::OutcomeUnknown;
    outcome.detail = asString(from.getDetail());
    outcome.body = asString(from.getBody());
    return outcome;
}

void writeEntry(const policy::idempotency::Entry &from, wire::LedgerEntry::Builder to)
{
    to.setKey(asText(from.key));
    to.setBodyDigest(asText(from.bodyDigest));
    to.setExpiresAt(from.expiresAt);
    writeOutcome(from.outcome, to.initOutcome());
}

policy::idempotency::Entry readEntry(wire::LedgerEntry::Reader from)
{
    return {asString(from.getKey()), asString(from.getBodyDigest()),
            policy::idempotency::EntryState::Completed, readOutcome(from.getOutcome()),
            from.getExpiresAt()};
}

void writeContent(const ports::Gossip &from, wire::Message::Builder to)
{
    writeGossip(from, to.initExchange());
}

void writeContent(const ports::ProbeRequest &from, wire::Message::Builder to)
{
    auto probe = to.initProbe();
    probe.setName(asText(from.name));
    probe.setAddress(asText(from.address));
}

void writeContent(const ports::FetchRequest &from, wire::Message::Builder to)
{
    to.setFetch(static_cast<std::uint8_t>(from.kind));
}

void writeContent(const ports::RunRequest &from, wire::Message::Builder to)
{
    auto run = to.initRun();
    run.setCustomer(asText(from.customer));
    run.setService(asText(from.service));
    run.setKey(asText(from.key));
    run.setBody(asData(from.body));
    run.setTimeLeftMs(from.timeLeft.count());
}

void writeContent(const ports::BorrowRequest &from, wire::Message::Builder to)
{
    auto borrow = to.initBorrow();
    borrow.setPlan(asText(from.plan));
    borrow.setWanted(from.wanted);
}

void writeContent(const ports::AdoptRequest &from, wire::Message::Builder to)
{
    auto adopt = to.initAdopt();
    adopt.setHost(asText(from.host));
    adopt.setIncarnation(from.incarnation);
    adopt.setSecret(asText(from.secret));
    adopt.setLatest(from.latest);
    auto entries = adopt.initEntries(static_cast<unsigned>(from.entries.size()));
    for (unsigned i = 0; i < entries.size(); ++i)
        writeEntry(from.entries[i], entries[i]);
}

void writeContent(const ports::CopyRequest &from, wire::Message::Builder to)
{
    auto follow = to.initFollow();
    follow.setEra(from.since.era);
    follow.setRevision(from.since.revision);
}

void writeContent(const ports::QuotaRequest &from, wire::Message::Builder to)
{
    auto borrow = to.initBorrowQuota();
    borrow.setWorkspace(asText(from.workspace));
    borrow.setWanted(from.wanted);
    borrow.setReturned(from.returned);
    borrow.setPassedOn(from.passedOn);
}

void writeContent(const ports::ConfigurationRequest &from, wire::Message::Builder to)
{
    auto copy = to.initCopyConfiguration();
    copy.setVersion(from.version);
    copy.setDigest(from.digest);
}

void writeAnswer(const ports::ConfigurationResponse &from, wire::Message::Builder to)
{
    auto copied = to.initCopiedConfiguration();
    copied.setVersion(from.version);
    copied.setDigest(from.digest);
    copied.setBaseDigest(from.baseDigest);
    copied.setDelta(asData(from.delta));
}

ports::ConfigurationResponse readConfiguration(wire::Message::CopiedConfiguration::Reader from)
{
    return {from.getVersion(), from.getDigest(), from.getBaseDigest(), asString(from.getDelta())};
}

void writeAnswer(const ports::QuotaResponse &from, wire::Message::Builder to)
{
    auto lent = to.initLentQuota();
    lent.setTokens(from.tokens);
    lent.setWaitMs(from.wait.count());
}

void writeAnswer(const ports::CopyResponse &from, wire::Message::Builder to)
{
    auto followed = to.initFollowed();
    followed.setEra(from.version.era);
    followed.setRevision(from.version.revision);
    followed.setWhole(from.whole);
    followed.setChanges(asData(from.changes));
    followed.setConfigVersion(from.configVersion);
    followed.setConfirmationAgeMs(from.confirmationAge.count());
    const auto &zones = from.evacuatedZones;
    auto evacuated = followed.initEvacuatedZones(static_cast<unsigned>(zones.size()));
    for (unsigned i = 0; i < evacuated.size(); ++i)
        evacuated.set(i, asText(zones[i]));
}

ports::CopyResponse readCopyResponse(wire::Message::Followed::Reader from)
{
    ports::CopyResponse response;
    response.version = {from.getEra(), from.getRevision()};
    response.whole = from.getWhole();
    response.changes = asString(from.getChanges());
    response.configVersion = from.getConfigVersion();
    response.confirmationAge = core::Millis(std::max<std::int64_t>(0, from.getConfirmationAgeMs()));
    for (const auto it : from.getEvacuatedZones())
        response.evacuatedZones.push_back(asString(it));
    return response;
}

void writeAnswer(const ports::Gossip &from, wire::Message::Builder to)
{
    writeGossip(from, to.initExchanged());
}

void writeAnswer(const ports::ProbeResponse &from, wire::Message::Builder to)
{
    to.setProbed(from.reached);
}

void writeAnswer(const ports::FetchResponse &from, wire::Message::Builder to)
{
    auto fetched = to.initFetched();
    fetched.setKind(static_cast<std::uint8_t>(from.kind));
    fetched.setRevision(from.revision);
    fetched.setText(asData(from.text));
}

void writeAnswer(const ports::RunResponse &from, wire::Message::Builder to)
{
    writeOutcome(from.outcome, to.initRan());
}

void writeAnswer(const ports::BorrowResponse &from, wire::Message::Builder to)
{
    to.setBorrowed(from.tokens);
}

void writeAnswer(const ports::AdoptResponse &from, wire::Message::Builder to)
{
    to.setAdopted(from.adopted);
}

ports::DocumentKind kindOf(std::uint8_t number)
{
    switch (number) {
    case 0:
        return ports::DocumentKind::Lists;
    case 2:
        return ports::DocumentKind::Crashes;
    default:
        return ports::DocumentKind::Fleet;
    }
}

ports::RunRequest readRun(wire::Message::Run::Reader from)
{
    return {asString(from.getCustomer()), asString(from.getService()), asString(from.getKey()),
            asString(from.getBody()), core::Millis(from.getTimeLeftMs())};
}

ports::AdoptRequest readAdopt(wire::Message::Adopt::Reader from)
{
    ports::AdoptRequest request{asString(from.getHost()),
                                from.getIncarnation(),
                                asString(from.getSecret()),
                                {},
                                from.getLatest()};
    for (const auto it : from.getEntries())
        request.entries.push_back(readEntry(it));
    return request;
}

using Content = std::variant<ports::PeerRequest, ports::PeerResponse>;

Content readContent(wire::Message::Reader from)
{
    using ports::PeerRequest;
    using ports::PeerResponse;
    switch (from.which()) {
    case wire::Message::EXCHANGE:
        return PeerRequest(readGossip(from.getExchange()));
    case wire::Message::EXCHANGED:
        return PeerResponse(readGossip(from.getExchanged()));
    case wire::Message::PROBE:
        return PeerRequest(ports::ProbeRequest{asString(from.getProbe().getName()),
                                               asString(from.getProbe().getAddress())});
    case wire::Message::PROBED:
        return PeerResponse(ports::ProbeResponse{from.getProbed()});
    case wire::Message::FETCH:
        return PeerRequest(ports::FetchRequest{kindOf(from.getFetch())});
    case wire::Message::FETCHED:
        return PeerResponse(ports::FetchResponse{kindOf(from.getFetched().getKind()),
                                                 from.getFetched().getRevision(),
                                                 asString(from.getFetched().getText())});
    case wire::Message::RUN:
        return PeerRequest(readRun(from.getRun()));
    case wire::Message::RAN:
        return PeerResponse(ports::RunResponse{readOutcome(from.getRan())});
    case wire::Message::BORROW:
        return PeerRequest(ports::BorrowRequest{asString(from.getBorrow().getPlan()),
                                                from.getBorrow().getWanted()});
    case wire::Message::BORROWED:
        return PeerResponse(ports::BorrowResponse{from.getBorrowed()});
    case wire::Message::ADOPT:
        return PeerRequest(readAdopt(from.getAdopt()));
    case wire::Message::ADOPTED:
        return PeerResponse(ports::AdoptResponse{from.getAdopted()});
    case wire::Message::FOLLOW:
        return PeerRequest(
            ports::CopyRequest{{from.getFollow().getEra(), from.getFollow().getRevision()}});
    case wire::Message::FOLLOWED:
        return PeerResponse(readCopyResponse(from.getFollowed()));
    case wire::Message::BORROW_QUOTA:
        return PeerRequest(ports::QuotaRequest{
            asString(from.getBorrowQuota().getWorkspace()), from.getBorrowQuota().getWanted(),
            from.getBorrowQuota().getReturned(), from.getBorrowQuota().getPassedOn()});
    case wire::Message::COPY_CONFIGURATION:
        return PeerRequest(ports::ConfigurationRequest{from.getCopyConfiguration().getVersion(),
                                                       from.getCopyConfiguration().getDigest()});
    case wire::Message::COPIED_CONFIGURATION:
        return PeerResponse(readConfiguration(from.getCopiedConfiguration()));
    case wire::Message::LENT_QUOTA:
        return PeerResponse(ports::QuotaResponse{from.getLentQuota().getTokens(),
                                                 core::Millis(from.getLentQuota().getWaitMs())});
    }
    KJ_FAIL_REQUIRE("unknown message type");
}

// Messages are packed: most of their numbers are small, and bytes between zones are billed.
std::string toBytes(capnp::MessageBuilder &message)
{
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, message);
    const auto bytes = out.getArray();
    return {reinterpret_cast<const char *>(bytes.begin()), bytes.size()};
}

} // namespace

std::string encode(std::uint64_t id, const ports::PeerRequest &request)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::Message>();
    root.setId(id);
    std::visit([&](const auto &it) { writeContent(it, root); }, request);
    return toBytes(message);
}

std::string encode(std::uint64_t id, const ports::PeerResponse &answer)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::Message>();
    root.setId(id);
    std::visit([&](const auto &it) { writeAnswer(it, root); }, answer);
    return toBytes(message);
}

std::optional<DecodedMessage> decode(std::string_view bytes)
{
    try {
        kj::ArrayInputStream in({reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()});
        capnp::ReaderOptions options;
        options.traversalLimitInWords = std::max<std::uint64_t>(
            minTraversalWords, maxWordsPerByte * static_cast<std::uint64_t>(bytes.size()));
        capnp::PackedMessageReader message(in, options);
        const auto root = message.getRoot<wire::Message>();
        return DecodedMessage{root.getId(), readContent(root)};
    } catch (const kj::Exception &) {
        return std::nullopt;
    }
}

} // namespace goldcrestline::adapters::peers
