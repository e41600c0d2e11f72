#include "callers.h"

#include <catch2/catch.hpp>

using namespace harness;

namespace {

const std::string good = R"([host]
name = "h"
zone = "a"
[listen]
callers = "127.0.0.1:7001"
control = "127.0.0.1:7002"
peers = "127.0.0.1:7003"
[platform]
address = "127.0.0.1:7100"
)";

CommandResult check(const std::string &text)
{
    const auto path = scratchFolder() + "/settings.toml";
    writeFile(path, text);
    return runCommand({programPath("packages/daemon/goldcrestlined"), "--config", path, "--check"});
}

std::string replaced(const std::string &from, const std::string &to)
{
    auto text = good;
    return text.replace(text.find(from), from.size(), to);
}

void expectRefused(const std::string &text, const std::string &code, const std::string &part)
{
    const auto result = check(text);
    INFO(result.output);
    CHECK(result.exitCode == 2);
    CHECK(result.output.find(code) == 0);
    CHECK(result.output.find(part) != std::string::npos);
}

} // namespace

TEST_CASE("settings are checked with file, line, key and a numbered code", "[process][settings]")
{
    CHECK(check(good).exitCode == 0);
    expectRefused("[host\n", "4001", "settings.toml:1:");
    expectRefused(replaced("zone = \"a\"", "zone = \"a\"\ncolour = 1"), "4002",
                  ":4: key 'host.colour'");
    expectRefused(replaced("\"127.0.0.1:7100\"", "7100"), "4003", ":9: key 'platform.address'");
    expectRefused(replaced("127.0.0.1:7001", "localhost:7001"), "4004",
                  "an IP address with a port");
    expectRefused(replaced("name = \"h\"", "name = \"h.x\""), "4004", "host.name");
    expectRefused(replaced("address = \"127.0.0.1:7100\"", ""), "4005", "platform.address");
    expectRefused(good + "watch_ms = 5\n", "4004", "an integer from 100");
    expectRefused(good + "watch_ms = 5000\n", "4004", "peers.confirmation_ms");
    expectRefused(good + "[queries]\nhedge_share = 2.0\n", "4004", "queries.hedge_share");
    expectRefused(good + "[log]\nlevel = \"loud\"\n", "4004", "log.level");
    const auto missing = runCommand(
        {programPath("packages/daemon/goldcrestlined"), "--config", "/nowhere.toml", "--check"});
    CHECK(missing.output.find("4000") == 0);
    CHECK(runCommand({programPath("packages/daemon/goldcrestlined")}).output.find("4010") == 0);
}

TEST_CASE("the command line tells outcomes by exit code", "[process][cli]")
{
    ClusterShape shape;
    shape.hosts = 1;
    Cluster cluster(shape);
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
    CHECK(runCommand({cli, "config", "get", "--platform", cluster.platform()})
              .output.find("revision 1")
          == 0);
    CHECK(runCommand({cli, "config", "history", "--platform", cluster.platform()}).exitCode == 0);
    // The host's status is a fifth of a second old at most.
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
