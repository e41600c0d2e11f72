#include "query_load.h"

#include <catch2/catch.hpp>

using namespace harness;

namespace {

const std::string validSettings = R"([host]
name = "h"
zone = "a"
[listen]
callers = "127.0.0.1:7001"
control = "127.0.0.1:7002"
peers = "127.0.0.1:7003"
[platform]
address = "127.0.0.1:7100"
)";

CommandResult checkSettings(const std::string &text)
{
    const auto path = scratchFolder() + "/settings.toml";
    writeFile(path, text);
    return runCommand({programPath("packages/daemon/goldcrestlined"), "--config", path, "--check"});
}

std::string withReplacement(const std::string &from, const std::string &to)
{
    auto text = validSettings;
    return text.replace(text.find(from), from.size(), to);
}

void expectRejected(const std::string &text, const std::string &code, const std::string &part)
{
    const auto result = checkSettings(text);
    INFO(result.output);
    CHECK(result.exitCode == 2);
    CHECK(result.output.find(code) == 0);
    CHECK(result.output.find(part) != std::string::npos);
}

} // namespace

TEST_CASE("errors in settings are reported with file, line, key and result code",
          "[process][settings]")
{
    CHECK(checkSettings(validSettings).exitCode == 0);
    expectRejected("[host\n", "4001", "settings.toml:1:");
    expectRejected(withReplacement("zone = \"a\"", "zone = \"a\"\ncolour = 1"), "4002",
                   ":4: key 'host.colour'");
    expectRejected(withReplacement("\"127.0.0.1:7100\"", "7100"), "4003",
                   ":9: key 'platform.address'");
    expectRejected(withReplacement("127.0.0.1:7001", "localhost:7001"), "4004",
                   "an IP address with a port");
    expectRejected(withReplacement("name = \"h\"", "name = \"h.x\""), "4004", "host.name");
    expectRejected(withReplacement("address = \"127.0.0.1:7100\"", ""), "4005", "platform.address");
    expectRejected(validSettings + "watch_ms = 5\n", "4004", "an integer from 100");
    expectRejected(validSettings + "watch_ms = 5000\n", "4004", "peers.confirmation_ms");
    expectRejected(validSettings + "[queries]\nhedge_share = 2.0\n", "4004", "queries.hedge_share");
    expectRejected(validSettings + "[log]\nlevel = \"loud\"\n", "4004", "log.level");
    const auto missing = runCommand(
        {programPath("packages/daemon/goldcrestlined"), "--config", "/nowhere.toml", "--check"});
    CHECK(missing.output.find("4000") == 0);
    CHECK(runCommand({programPath("packages/daemon/goldcrestlined")}).output.find("4010") == 0);
}

TEST_CASE("the exit code of the command line reflects the outcome", "[process][cli]")
{
    ClusterOptions options;
    options.hosts = 1;
    Cluster cluster(options);
    const auto cli = programPath("packages/cli/goldcrestline");
    const auto &host = cluster.host(0);
    CHECK(runCommand({cli, "--help"}).exitCode == 0);
    CHECK(runCommand({cli, "query", "--help"}).exitCode == 0);
    CHECK(runCommand({cli, "nonsense"}).exitCode == 2);
    CHECK(runCommand({cli, "query", "doorstep-search"}).exitCode == 2);
    const auto query = [&](const std::string &customer) {
        return runCommand({cli, "query", "doorstep-search", "--host", host.callers, "--customer",
                           customer, "--json"});
    };
    const auto answered = query("app");
    CHECK(answered.exitCode == 0);
    CHECK(json::parse(answered.output).at("code") == 1000);
    CHECK(query("nobody").exitCode == 1);
    const auto lists = scratchFolder() + "/lists.json";
    writeFile(lists, R"({"customers": {"x": {"plan": "none"}}})");
    const auto checked = runCommand({cli, "config", "check", lists});
    CHECK(checked.exitCode == 1);
    CHECK(checked.output.find("5004") == 0);
    CHECK(runCommand({cli, "config", "get", "--platform", cluster.platformAddress()})
              .output.find("revision 1")
          == 0);
    CHECK(runCommand({cli, "config", "history", "--platform", cluster.platformAddress()}).exitCode
          == 0);
    // The host publishes its status periodically, so the answered query appears after up to 200 ms.
    const auto burn = [&] {
        return json::parse(
            runCommand({cli, "report", "burn", "--host", host.control, "--json"}).output);
    };
    REQUIRE(eventually([&] { return !burn().empty(); }));
    CHECK(burn().at(0).at("plan") == "doorstep");
    CHECK(burn().at(0).at("short").at("total") == 1);
    CHECK(burn().at(0).at("short").at("late_burn") == 0);
    const auto page = scratchFolder() + "/burn.html";
    CHECK(runCommand({cli, "report", "burn", "--host", host.control, "--html", page}).exitCode
          == 0);
    CHECK(readFile(page).find("<svg") != std::string::npos);
    CHECK(get(host.control + "/v1/metrics").body.find("goldcrestline_serving 1") == 0);
    CHECK(runCommand({cli, "status", "--host", host.control}).exitCode == 0);
    CHECK(runCommand({cli, "entry-points", "--host", host.control}).output.find(host.callers) == 0);
    CHECK(runCommand({cli, "keys", "--host", host.control, "--customer", "app"}).exitCode == 0);
}
