#pragma once

#include "adapters/settings/node.h"
#include "core/result.h"

#include <memory>
#include <string>

namespace goldcrestline::adapters::settings {

// Settings of the daemon, as a tree of typed nodes.
struct Settings : Section
{
    Settings() : Section(nullptr, "") { }

    struct Host : Section
    {
        using Section::Section;
        TextNode name{this, "name", "", Presence::Required, TextFormat::Name};
        TextNode zone{this, "zone", "", Presence::Required, TextFormat::Name};
        TextNode region{this, "region", "", Presence::Optional};
        // Interface offered to callers: "plans", the product's own interface, or "routes", which
        // forwards requests according to the platform's routes.
        TextNode serves{this, "serves", "plans", Presence::Optional};
        // 1 at the first start of the whole deployment, when all hosts start together.
        IntegerNode firstStart{this, "first_start", 0, 0, 1};
        // Processor capacity of the host: its share of each core, and the number of cores.
        NumberNode coreShare{this, "core_share", 1, 0.001, 1000};
        IntegerNode cores{this, "cores", 1, 1, 10000};
    } host{this, "host"};

    struct Listen : Section
    {
        using Section::Section;
        TextNode callers{this, "callers", "", Presence::Required, TextFormat::Address};
        TextNode control{this, "control", "", Presence::Required, TextFormat::Address};
        TextNode peers{this, "peers", "", Presence::Required, TextFormat::Address};
        // For routes: addresses at which callers query the directory of entry points and the
        // platform checks readiness.
        TextNode directory{this, "directory", "", Presence::Optional};
        TextNode readiness{this, "readiness", "", Presence::Optional};
        // For routes: address at which other hosts relay requests while they reach no server.
        TextNode relay{this, "relay", "", Presence::Optional};
        // For routes: additional address that serves metrics. The control address always does.
        TextNode metrics{this, "metrics", "", Presence::Optional};
    } listen{this, "listen"};

    struct Platform : Section
    {
        using Section::Section;
        TextNode address{this, "address", "", Presence::Required, TextFormat::Address};
        // Longest duration of one watch request. A watch that ends without a change confirms that
        // the host has the newest lists.
        IntegerNode watchMs{this, "watch_ms", 1500, 100, 60000};
        IntegerNode timeoutMs{this, "timeout_ms", 1000, 10, 60000};
        // Interval between the heartbeats by which a server keeps its entry in the store.
        IntegerNode heartbeatMs{this, "heartbeat_ms", 1200, 10, 60000};
        IntegerNode watchers{this, "watchers", 3, 1, 1000};
    } platform{this, "platform"};

    struct Peers : Section
    {
        using Section::Section;
        TextListNode seeds{this, "seeds", TextFormat::Address};
        IntegerNode periodMs{this, "period_ms", 300, 50, 10000};
        IntegerNode suspicionMs{this, "suspicion_ms", 1500, 100, 60000};
        IntegerNode confirmationMs{this, "confirmation_ms", 4000, 500, 60000};
        // Upper bound of the number of hosts at any time. Each server's connections are divided by
        // it.
        IntegerNode hostsAtMost{this, "hosts_at_most", 12, 1, 10000};
        // For routes: control addresses of other hosts. Their peers addresses are assumed to have
        // the same port as this host's.
        TextListNode seedControls{this, "seed_controls", TextFormat::Address};
    } peers{this, "peers"};

    struct Callers : Section
    {
        using Section::Section;
        IntegerNode bodyBytes{this, "body_bytes", 1 << 20, 1024, 64 << 20};
        IntegerNode readMs{this, "read_ms", 5000, 100, 600000};
        IntegerNode idleMs{this, "idle_ms", 60000, 100, 3600000};
        IntegerNode keepMs{this, "keep_ms", 5000, 100, 600000};
        IntegerNode entryPoints{this, "entry_points", 4, 1, 100};
        IntegerNode keyLifeMs{this, "key_life_ms", 600000, 1000, 86400000};
        IntegerNode stopMs{this, "stop_ms", 60000, 100, 600000};
    } callers{this, "callers"};

    struct Queries : Section
    {
        using Section::Section;
        IntegerNode concurrent{this, "concurrent", 256, 1, 100000};
        NumberNode hedgeShare{this, "hedge_share", 0.04, 0, 1};
        NumberNode retryShare{this, "retry_share", 0.1, 0, 1};
        NumberNode hedgeQuantile{this, "hedge_quantile", 0.98, 0.5, 0.999};
        IntegerNode joinIdentical{this, "join_identical", 1, 0, 1};
        IntegerNode cancelGraceMs{this, "cancel_grace_ms", 250, 10, 60000};
        // Servers that responded to a query within this time are not polled.
        IntegerNode pollMs{this, "poll_ms", 3000, 100, 60000};
        IntegerNode idleConnectionMs{this, "idle_connection_ms", 20000, 100, 600000};
    } queries{this, "queries"};

    // Forwarding of routes.
    struct Forward : Section
    {
        using Section::Section;
        // Round-trip time between a host and its callers.
        IntegerNode callerTransitMs{this, "caller_transit_ms", 11, 0, 10000};
        // Limit of extra attempts (retries and hedges) that all hosts together may send to one
        // service: a ratio to first attempts, plus a constant number per measurement window of the
        // platform.
        NumberNode extraShare{this, "extra_share", 0.2, 0, 1};
        NumberNode extraSlack{this, "extra_slack", 50, 0, 100000};
        // Time for which callers may cache the addresses from the directory (TTL).
        IntegerNode keepMs{this, "keep_ms", 1000, 100, 600000};
        // Time between the platform's request to stop and the forced termination of the process.
        NumberNode graceS{this, "grace_s", 6, 0.5, 600};
    } forward{this, "forward"};

    // Keys of workspaces.
    struct Access : Section
    {
        using Section::Section;
        // 1: requests with a key are served only while the host can prove that its configuration
        // was the newest one at most `revoke_ms` ago.
        IntegerNode strictRevocation{this, "strict_revocation", 0, 0, 1};
        IntegerNode revokeMs{this, "revoke_ms", 5000, 500, 600000};
    } access{this, "access"};

    // Tolerances within which the hosts together keep the workspaces' quotas, in any window.
    struct Quota : Section
    {
        using Section::Section;
        NumberNode windowS{this, "window_s", 5, 0.1, 3600};
        // As a fraction of the quota, and in requests.
        NumberNode overshoot{this, "overshoot", 0.1, 0, 10};
        NumberNode slack{this, "slack", 20, 0, 1000000};
    } quota{this, "quota"};

    // Tolerances of the request rate of a cold server, in any second.
    struct Warmup : Section
    {
        using Section::Section;
        // As a factor of the rate that the server stands, and in requests.
        NumberNode overshoot{this, "overshoot", 1.5, 1, 10};
        NumberNode slack{this, "slack", 5, 0, 1000000};
    } warmup{this, "warmup"};

    struct Evacuation : Section
    {
        using Section::Section;
        // Time within which an evacuation of a zone is in force on all hosts. 0: zones are not
        // evacuated, and the store is not asked for evacuations.
        IntegerNode applyMs{this, "apply_ms", 0, 0, 600000};
    } evacuation{this, "evacuation"};

    struct Log : Section
    {
        using Section::Section;
        TextNode level{this, "level", "info", Presence::Optional};
    } log{this, "log"};
};

// Loads a TOML file over the defaults. Errors: 4000 to 4005 with file, line, key and the expected
// value. Thread-safe.
core::Result<std::shared_ptr<const Settings>> loadSettings(const std::string &path);

// Returns whether `text` is an IP address with a port other than 0, as in "127.0.0.1:80".
// Thread-safe.
bool isAddress(const std::string &text);

} // namespace goldcrestline::adapters::settings
