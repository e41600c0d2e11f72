#include "daemon/forward/evacuation_sync.h"
#include "loop_helpers.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace goldcrestline;
using namespace goldcrestline::policy::forward;
using daemon::forward::EvacuationSync;
using namespace std::chrono_literals;
using core::TimePoint;

namespace {

const TimePoint start = TimePoint{} + 1h;

struct SilentLink : ports::PeerLink
{
    void call(const std::string &, ports::PeerRequest, core::Millis, ports::PeerHandler) override {
    }
};

struct Fixture
{
    unsigned draws = 0;
    BackendTable backends{"a",
                          {},
                          [](const std::string &) { return 1000; },
                          [this] { return static_cast<double>(++draws * 7919 % 1000) / 1000; }};
    boost::asio::io_context io;
    adapters::loop::ExchangeClient client{io, {}};
    SilentLink link;

    Fixture()
    {
        for (const char *zone : {"a", "b"})
            put("wide", zone);
        put("single", "a");
    }

    void put(const std::string &service, const std::string &zone)
    {
        BackendRecord record;
        record.id = service + "-" + zone;
        record.service = service;
        record.zone = zone;
        record.slots = 1000;
        backends.put(record);
    }

    // Returns the fraction of the requests in `time` that zone a gets.
    double fractionInZone(TimePoint from, core::Duration time)
    {
        int inZone = 0;
        int all = 0;
        for (auto now = from; now < from + time; now += 10ms, ++all)
            inZone += backends.pick("wide", {}, now)->record.zone == "a" ? 1 : 0;
        return static_cast<double>(inZone) / all;
    }

    EvacuationSync sync(core::Millis applyTime)
    {
        return {applyTime,
                client,
                backends,
                link,
                {{}, [] { return 0.5; }},
                {[](auto) { return policy::mirror::EraOrder::Current; },
                 [] { return std::string("127.0.0.1:1"); }, [](TimePoint) {}}};
    }
};

} // namespace

// Guards against full traffic to servers that may be cold, right after an evacuation.
TEST_CASE("traffic returns gradually to a zone after its evacuation")
{
    Fixture f;
    CHECK(f.fractionInZone(start, 100ms) == 1);
    f.backends.setEvacuated({"a"}, start);
    CHECK(f.fractionInZone(start, 5s) == 0);
    CHECK_FALSE(f.backends.hasUsable("single", {}, start));
    const auto end = start + 5s;
    f.backends.setEvacuated({}, end);
    CHECK(f.fractionInZone(end, 600ms) < 0.3);
    CHECK(f.fractionInZone(end + 1s, 1s) == Approx(0.5).margin(0.25));
    CHECK(f.fractionInZone(end + 3s, 1s) == 1);
    // No other zone could serve these requests meanwhile.
    CHECK(f.backends.pick("single", {}, end + 1ms));
    f.backends.setEvacuated({"a", "b"}, end + 5s);
    CHECK_FALSE(f.backends.pick("wide", {}, end + 5s));
}

// Guards against requests of a host that starts while it does not know the evacuated zones.
TEST_CASE("no server is used before the evacuated zones are known")
{
    Fixture f;
    auto sync = f.sync(5000ms);
    CHECK_FALSE(sync.known());
    CHECK_FALSE(f.backends.hasUsable("wide", {}, start));
    SECTION("they are learned from a followed host")
    {
        sync.onFollowed({"a"}, "watcher", start);
        CHECK(f.backends.pick("wide", {}, start)->record.zone == "b");
    }
    SECTION("the wait is limited for a host that reaches nobody")
    {
        sync.tick(true, start);
        sync.tick(true, start + 2s);
        CHECK_FALSE(sync.known());
        sync.tick(true, start + 3s);
        CHECK(f.backends.hasUsable("wide", {}, start + 3s));
    }
}

// Guards against an evacuation that comes and goes while one of two followed hosts is outdated, and
// against one that ends when the followed hosts are lost.
TEST_CASE("a zone stays evacuated until all followed hosts report its end")
{
    Fixture f;
    auto sync = f.sync(5000ms);
    sync.onFollowed({"a"}, "one", start);
    sync.onFollowed({}, "two", start + 700ms);
    CHECK(sync.zones() == std::vector<std::string>{"a"});
    sync.setWatching(true, start + 1s);
    sync.setWatching(false, start + 1s);
    sync.onFollowed({}, "two", start + 1400ms);
    CHECK(sync.zones() == std::vector<std::string>{"a"});
    sync.onFollowed({}, "one", start + 2s);
    sync.onFollowed({}, "two", start + 3500ms);
    CHECK(sync.zones().empty());
}

// Guards against a dependence on the kind where it is not configured.
TEST_CASE("without an apply time no zone is evacuated and no call is made")
{
    Fixture f;
    auto sync = f.sync(0ms);
    CHECK(sync.known());
    sync.setWatching(true, start);
    sync.tick(true, start);
    sync.onStoreRestored(start);
    sync.checkWatch(start);
    sync.onFollowed({"a"}, "watcher", start);
    CHECK(sync.zones().empty());
    CHECK(sync.calls() == 0);
    CHECK(f.backends.hasUsable("single", {}, start));
}
