#include "adapters/peers/codec.h"

#include <catch2/catch.hpp>
#include <random>

using namespace goldcrestline;
using adapters::peers::decode;
using adapters::peers::encode;

namespace {

policy::membership::Member makeMember(int n)
{
    policy::membership::Member it;
    it.name = "front-zone-a-" + std::to_string(n);
    it.zone = "zone-a";
    it.region = "region";
    it.callersAddress = it.controlAddress = it.peersAddress = "10.100.200.30:17001";
    it.incarnation = 1796352189942;
    it.refutation = static_cast<std::uint32_t>(n);
    return it;
}

} // namespace

TEST_CASE("messages between hosts are unchanged after encoding and decoding")
{
    ports::Gossip gossip;
    gossip.from = "front-zone-a-1";
    gossip.members = {makeMember(1), makeMember(2)};
    gossip.comparison = true;
    gossip.summary = {1, 0, ~std::uint64_t{0}};
    gossip.wanted = {7};
    gossip.listsVersion = {3, 9};
    gossip.storeEra = 4;
    gossip.members[1].unproven = true;
    gossip.proofAge = core::Millis(0);
    gossip.proofVersion = 8;
    gossip.proofDigest = 99;
    gossip.proofRevision = 4711;
    gossip.leavingServers = {{"server", 5}};
    gossip.requestsPerSecond = 12.5F;
    gossip.crashes = {{"digest", {"server", 5}, true, false, core::Millis(70), 1ULL << 40}};
    const auto decoded = decode(encode(11, ports::PeerRequest(gossip)));
    REQUIRE(decoded);
    CHECK(decoded->id == 11);
    const auto &copy = std::get<ports::Gossip>(std::get<ports::PeerRequest>(decoded->content));
    CHECK(copy.members.size() == 2);
    CHECK(copy.members[1].refutation == 2);
    CHECK(copy.comparison);
    CHECK(copy.summary == gossip.summary);
    CHECK(copy.wanted == gossip.wanted);
    CHECK(copy.listsVersion == gossip.listsVersion);
    CHECK(copy.storeEra == 4);
    CHECK_FALSE(copy.members[0].unproven);
    CHECK(copy.members[1].unproven);
    CHECK(copy.proofAge == core::Millis(0));
    CHECK(copy.proofVersion == 8);
    CHECK(copy.proofDigest == 99);
    CHECK(copy.proofRevision == 4711);
    CHECK(copy.requestsPerSecond == 12.5F);
    CHECK(copy.leavingServers.at(0).serverId == "server");
    CHECK(copy.crashes.at(0).repeated);
    CHECK(copy.crashes.at(0).number == 1ULL << 40);
    ports::CopyResponse response;
    response.version = {2, 40};
    response.whole = true;
    response.changes = std::string(100000, 'x');
    response.configVersion = 6;
    response.confirmationAge = core::Millis(70);
    const auto answer = decode(encode(12, ports::PeerResponse(response)));
    REQUIRE(answer);
    const auto &followed =
        std::get<ports::CopyResponse>(std::get<ports::PeerResponse>(answer->content));
    CHECK(followed.version == response.version);
    CHECK(followed.whole);
    CHECK(followed.changes == response.changes);
    CHECK(followed.configVersion == 6);
    CHECK(followed.confirmationAge == core::Millis(70));
}

// Guards against names chosen by other writers that are cut or changed on their way.
TEST_CASE("names of any bytes are unchanged in messages between hosts")
{
    for (const auto &name : {std::string("a b\r\n\"\\"), std::string("a\0b", 3),
                             std::string("\xff\xc3"), std::string(300, 'n')}) {
        ports::Gossip gossip;
        gossip.leavingServers = {{name, 5}};
        gossip.crashes = {{"digest", {name, 5}, false, false, core::Millis(70), 1}};
        const auto decoded = decode(encode(1, ports::PeerRequest(gossip)));
        REQUIRE(decoded);
        const auto &copy = std::get<ports::Gossip>(std::get<ports::PeerRequest>(decoded->content));
        CHECK(copy.leavingServers.at(0).serverId == name);
        CHECK(copy.crashes.at(0).server.id == name);
        ports::CopyResponse response;
        response.evacuatedZones = {name};
        const auto answer = decode(encode(2, ports::PeerResponse(response)));
        REQUIRE(answer);
        CHECK(std::get<ports::CopyResponse>(std::get<ports::PeerResponse>(answer->content))
                  .evacuatedZones
              == response.evacuatedZones);
    }
}

TEST_CASE("malformed messages between hosts are rejected without large allocations")
{
    // A packed run of zeros that claims to unpack to 256 words for each two bytes.
    CHECK_FALSE(decode(std::string(60000, '\0')));
    std::string claim("\x70\xff\xff\xff\x7f", 5);
    CHECK_FALSE(decode(claim));
    ports::Gossip gossip;
    gossip.from = "host";
    gossip.members = {makeMember(1)};
    const auto valid = encode(1, ports::PeerRequest(gossip));
    std::mt19937 random(5);
    for (int i = 0; i < 3000; ++i) {
        auto bytes = valid;
        bytes.resize(random() % (bytes.size() + 1));
        if (!bytes.empty())
            bytes[random() % bytes.size()] = static_cast<char>(random());
        decode(bytes);
    }
}
