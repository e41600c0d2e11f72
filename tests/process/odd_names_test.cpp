#include "routed_cluster.h"

#include <catch2/catch.hpp>

// Objects in the platform's store that other writers created, with names of their choice.

using namespace harness;

namespace {

// Time after a restart of all hosts within which they must serve again.
constexpr double recoverySeconds = 12;

const std::vector<std::string> oddNames{
    "copy of b1",       "a b",  "a&b=c", "a+b", "a%20b",    "a%b", "a/b",  "a?b", "a#b",
    "a\r\nX-Header: b", "a\tb", "\"",    "\\",  "\xc3\xbc", "~",   "zz zz"};

bool allServe(const RoutedCluster &cluster)
{
    return eventually(
        [&] {
            for (std::size_t n = 0; n < cluster.size(); ++n) {
                const auto id = "r" + std::to_string(n);
                if (!cluster.ready(n) || cluster.sendRequest(n, "/all/x", id).status != 200)
                    return false;
            }
            return true;
        },
        recoverySeconds);
}

} // namespace

// Guards against a list that stops at a name with characters that a request line cannot hold, so
// that no host becomes ready.
TEST_CASE("hosts serve after a restart beside objects with odd names", "[process][store]")
{
    RoutedCluster cluster(3);
    for (const auto &it : oddNames) {
        for (const char *kind : {"servers", "goldcrestline-hosts"})
            cluster.createStored(kind, it, {{"text", "x"}});
    }
    // Each name is the last one of a page.
    cluster.setPlatform({{"page_size", 1}});
    cluster.restartAll();
    CHECK(allServe(cluster));
}

// Guards against a call that the store rejects for good and that is repeated as it was, so that the
// servers behind the name are never known.
TEST_CASE("hosts serve after a restart if the store rejects a name that it listed",
          "[process][store]")
{
    RoutedCluster cluster(3);
    for (const char *kind : {"servers", "goldcrestline-hosts", "config"})
        cluster.createStored(kind, "copy of b1", {{"text", "x"}});
    cluster.setPlatform({{"page_size", 1}, {"reject_after", " "}});
    cluster.restartAll();
    CHECK(allServe(cluster));
}
