#include "daemon/forward/forward_host.h"

#include "adapters/logging/log.h"
#include "adapters/loop/exchange_client.h"
#include "adapters/loop/http_server.h"
#include "adapters/loop/wake_timer.h"
#include "adapters/peers/loop_peer_link.h"
#include "core/hash.h"
#include "core/result_code.h"
#include "daemon/forward/configuration_prover.h"
#include "daemon/forward/fleet_quota.h"
#include "daemon/forward/forward_service.h"
#include "daemon/forward/host_registry.h"
#include "daemon/forward/metrics.h"
#include "daemon/forward/platform_copy.h"
#include "daemon/forward/quarantine_sync.h"
#include "daemon/forward/reach_checker.h"
#include "daemon/forward/request_admission.h"
#include "daemon/forward/request_relay.h"
#include "daemon/forward/workspace_quota.h"
#include "daemon/peers/member_setup.h"
#include "daemon/peers/membership.h"
#include "platform/http_messages.h"
#include "policy/entrypoints/entry_points.h"
#include "policy/entrypoints/processor_load_estimator.h"
#include "policy/routing/note_rotation.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <filesystem>
#include <functional>
#include <random>

namespace goldcrestline::daemon::forward {

namespace asio = boost::asio;
using adapters::loop::ExchangeClient;
using adapters::loop::ExchangeOptions;
using adapters::loop::HttpCall;
using adapters::loop::HttpServer;
using adapters::loop::HttpServerLimits;
using core::ResultCode;
using core::TimePoint;

namespace {

constexpr adapters::logging::LogChannel log("host:");

// Interval between maintenance runs, which check time-outs and make due calls to the store.
constexpr core::Millis maintenancePeriod{100};
// Idle time after which TCP keep-alive probes a connection to the store.
constexpr int storeKeepAliveIdleSeconds = 1;
// Callers may cache resolved addresses for up to this multiple of the TTL that they received.
constexpr int maxTtlMultiple = 3;
// A stopping host exits this long before the end of its grace period, at which it would be killed.
constexpr core::Millis exitMargin{700};
// Time before that at which the last requests are answered, for the responses to be sent.
constexpr core::Millis flushTime{300};
// Interval between checks of the settings file's modification time, for changes without SIGHUP.
constexpr core::Millis settingsCheckPeriod{2000};
// Time in which a host that starts waits for copies of other hosts, at the first start of the
// deployment and later: callers wait for it then.
constexpr core::Millis firstStartDelay{2500};
constexpr core::Millis startupDelay{150};
constexpr core::Millis trafficLogPeriod{10000};
constexpr std::string_view metricsPath = "/v1/metrics";
// Interval between estimates of the processor utilization.
constexpr core::Millis processorCheckPeriod{1000};
constexpr double percentPerUnit = 100;
constexpr double permillePerUnit = 1000;
// Idle time-out of connections to servers on a host to which no callers are directed. A server
// accepts fewer connections than there are hosts, so such a host has to release them quickly.
constexpr core::Millis standbyIdleTimeout{600};
// Heartbeats after which the store removes the entry of a silent server, and the time that this may
// take.
constexpr int missedHeartbeats = 3;
constexpr core::Millis heartbeatMargin{1000};
// Shortest interval between messages to all hosts about crashes.
constexpr core::Millis crashNewsInterval{250};
// Timeout for opening a connection to another host that is to relay a request.
constexpr core::Millis relayConnectTimeout{200};
// Room in the head of a relayed request for the headers that the other host adds.
constexpr std::uint64_t relayHeaderBytes = 256;
// Distinguishes the ids of relayed calls from those of callers' own connections.
constexpr std::uint64_t relayedCallBit = std::uint64_t(1) << 63;
// Connections to servers are dropped when the host is cut off and had no response for this long.
constexpr core::Millis staleConnectionTime{300};
constexpr std::size_t maxLeavingNotesPerMessage = 16;
// Upper bound on the addresses in a resolve response.
constexpr std::size_t maxAddresses = 8;
// Number of addresses up to which a resolve response is filled with hosts of other zones.
constexpr std::size_t minAddresses = 2;

ports::OutgoingResponse malformedRequestResponse(int status, const std::string &why)
{
    const auto code = core::resultCodeForHttpStatus(status);
    return platform::errorResponse(status, static_cast<int>(code),
                                   std::string(core::infoOf(code).text) + " " + why);
}

class Host
{
public:
    Host(std::shared_ptr<const adapters::settings::Settings> settings, std::string path)
        : m_settings(std::move(settings)), m_path(std::move(path)), m_signals(m_io),
          m_timer(m_io, [this] { onTimer(); }), m_quota(*m_settings), m_backendClient(m_io, {}),
          m_storeClient(m_io, storeOptions()),
          m_backends(
              m_settings->host.zone.value, {},
              [this](const std::string &service) { return connectionLimit(service); },
              [this] { return uniform(); }),
          m_quarantine({}, [this](const std::string &request) { return rankFor(request); }),
          m_reach(m_backends, m_backendClient,
                  [this](bool cutOff, TimePoint now) { onReachChanged(cutOff, now); }),
          m_forward(forwardLimits(), m_backends, m_backendClient, m_quarantine, forwardHooks()),
          m_admission(admissionHooks()), m_relayClient(m_io, relayOptions()),
          m_relay(m_settings->host.zone.value, m_relayClient,
                  {[this] { return otherHosts(); }, [this] { return uniform(); }}),
          m_link(m_io, m_settings->listen.peers.value,
                 [this](ports::PeerCall call) { onPeer(std::move(call)); }),
          m_workspaceQuota(WorkspaceQuota::parametersOf(*m_settings), m_link,
                           {[this] { return uniform(); }, core::Clock::now}),
          m_quarantineSync(m_quarantine, m_link),
          m_copy(m_storeClient, m_backends, m_link, entryLifetime(),
                 m_settings->evacuation.applyMs.millis(), copyHooks()),
          m_members(makeMemberTable()), m_prover(*m_settings, m_storeClient, m_copy, proverHooks()),
          m_membership(m_members, m_settings->peers.periodMs.millis(), m_link, membershipHooks()),
          m_processorLoad(peers::availableCores(*m_settings)),
          m_registry(m_members.self(), m_settings->host.firstStart.value != 0, m_storeClient,
                     registryHooks()),
          m_callers(m_io, m_settings->listen.callers.value, {}, callerHooks()),
          m_directory(m_io, m_settings->listen.directory.value, {}, infoHooks()),
          m_readiness(m_io, m_settings->listen.readiness.value, {}, infoHooks()),
          m_control(m_io, m_settings->listen.control.value, {}, infoHooks())
    {
        if (!m_settings->listen.relay.value.empty()) {
            m_relayServer.emplace(m_io, m_settings->listen.relay.value, relayLimits({}),
                                  relayHooks());
        }
        if (!m_settings->listen.metrics.value.empty()) {
            m_metrics.emplace(m_io, m_settings->listen.metrics.value, HttpServerLimits(),
                              infoHooks());
        }
    }

    void run()
    {
        log.info("start name=" + m_settings->host.name.value + " zone="
                 + m_settings->host.zone.value + " callers=" + m_settings->listen.callers.value);
        m_signals.add(SIGTERM);
        m_signals.add(SIGINT);
        m_signals.add(SIGHUP);
        awaitSignal();
        m_settingsTime = settingsTime();
        onTimer();
        m_io.run();
        log.info("stopped");
    }

private:
    static ExchangeOptions storeOptions()
    {
        ExchangeOptions options;
        options.keepAliveIdleSeconds = storeKeepAliveIdleSeconds;
        return options;
    }

    static ExchangeOptions relayOptions()
    {
        ExchangeOptions options;
        options.connectTimeout = relayConnectTimeout;
        return options;
    }

    // Returns the limits of relayed requests for callers' limits.
    static HttpServerLimits relayLimits(HttpServerLimits limits)
    {
        limits.maxHeaderBytes += relayHeaderBytes;
        // The other hosts decide how long their connections are kept.
        limits.idleTimeout = 2 * ExchangeOptions().idleTimeout;
        return limits;
    }

    std::vector<policy::membership::Member> otherHosts() const
    {
        auto out = m_members.live();
        std::erase_if(out, [this](const auto &it) { return it.name == m_members.self().name; });
        return out;
    }

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    unsigned randomBelow(unsigned n)
    {
        return std::uniform_int_distribution<unsigned>(0, n - 1)(m_random);
    }

    ForwardLimits forwardLimits() const
    {
        const auto &forward = m_settings->forward;
        ForwardLimits limits;
        limits.callerRoundTrip = forward.callerTransitMs.millis();
        limits.extraAttemptShare = extraBudgetFraction * forward.extraShare.value;
        limits.extraBurst = m_quota.extraBurst();
        return limits;
    }

    ForwardHooks forwardHooks()
    {
        return {
            [this] { return uniform(); },
            [this] { return m_copy.serversKnown(); },
            [this] { onCrashRecorded(); },
            [this](const std::string &keyDigest) { return m_admission.accessAllowed(keyDigest); },
            std::bind_front(&WorkspaceQuota::giveBack, &m_workspaceQuota),
            [this](const policy::forward::Backend &backend, bool responded, TimePoint now) {
                m_reach.onAttempt(backend, responded, now);
            },
            [this](const std::string &workspace, policy::forward::CallOutcome outcome,
                   TimePoint now) { m_admission.onCallEnded(workspace, outcome, now); }};
    }

    RequestAdmission::Hooks admissionHooks()
    {
        RequestAdmission::Hooks hooks;
        hooks.random = [this] { return uniform(); };
        hooks.configurationProven = [this] { return m_prover.proven(core::BootClock::now()); };
        hooks.describeProof = [this] { return m_prover.describe(core::BootClock::now()); };
        hooks.admitQuota = std::bind_front(&WorkspaceQuota::admit, &m_workspaceQuota);
        hooks.returnQuota = std::bind_front(&WorkspaceQuota::giveBack, &m_workspaceQuota);
        hooks.forward = [this](AdmittedRequest request, TimePoint now) {
            m_forward.handle(std::move(request), now);
        };
        return hooks;
    }

    // Tells the other hosts, which name this one to callers.
    void onReachChanged(bool cutOff, TimePoint now)
    {
        m_members.setCutOff(cutOff);
        m_membership.exchangeWithAll(now);
        m_backends.resetMeasurements();
        if (cutOff && now - m_reach.respondedAt() > staleConnectionTime)
            m_backendClient.closeIdle();
    }

    // Returns the time after which the store removes the entry of a silent server.
    core::Duration entryLifetime() const
    {
        return missedHeartbeats * m_settings->platform.heartbeatMs.millis() + heartbeatMargin;
    }

    // Recomputes this host's share of the fleet-wide limits from the current members.
    void updateQuota(TimePoint now)
    {
        m_quota.update(m_members, m_admission.counters().requests, now);
        m_workspaceQuota.setMembers(m_members.all(), now);
        m_backends.setLimitShare(m_quota.demandShare());
        m_backends.setWarmupShare(m_quota.warmupShare(), now);
        m_forward.setExtraBurst(m_quota.extraBurst());
        m_backendClient.setIdleTimeout(
            m_quota.receivesCallerTraffic() ? ExchangeOptions().idleTimeout : standbyIdleTimeout);
    }

    // Returns this host's place among the live hosts by rendezvous hashing.
    std::size_t rankFor(const std::string &key) const
    {
        const auto &self = m_members.self().name;
        const auto own = core::rendezvousWeight(self, key);
        const auto live = m_members.live();
        return static_cast<std::size_t>(
            std::count_if(live.begin(), live.end(), [&](const auto &it) {
                return it.name != self && core::rendezvousWeight(it.name, key) > own;
            }));
    }

    // Returns how many connections this host may have to one server of the service.
    int connectionLimit(const std::string &service) const
    {
        const auto &routes = m_admission.routes();
        if (!routes)
            return 1;
        const auto it = routes->services().find(service);
        const int serverLimit = it == routes->services().end() ? 1 : it->second.connections;
        return m_quota.connectionLimit(serverLimit);
    }

    policy::membership::MemberTable makeMemberTable()
    {
        auto self = peers::selfMember(*m_settings, static_cast<std::uint64_t>(core::wallNow()));
        return {std::move(self), seeds(), peers::membershipTimings(*m_settings),
                [this](unsigned n) { return randomBelow(n); }};
    }

    // Returns the configured peer addresses, and those derived from control addresses: all hosts of
    // a deployment listen for peers on the same port.
    std::vector<std::string> seeds() const
    {
        auto out = m_settings->peers.seeds.value;
        const auto &own = m_settings->listen.peers.value;
        const auto port = own.substr(own.rfind(':'));
        for (const auto &it : m_settings->peers.seedControls.value)
            out.push_back(it.substr(0, it.rfind(':')) + port);
        return out;
    }

    PlatformCopy::Hooks copyHooks()
    {
        return {[this] { return m_settings->platform.address.value; }, [this] { return uniform(); },
                [this](policy::forward::RouteTablePtr table) { setRoutes(std::move(table)); },
                [this](TimePoint now) { m_registry.onStoreRestored(now); }};
    }

    ConfigurationProver::Hooks proverHooks()
    {
        return {[this] { return m_settings->platform.address.value; }, [this] { return uniform(); },
                [this](bool unproven) { m_members.setUnproven(unproven); }};
    }

    HostRegistry::Hooks registryHooks()
    {
        return {
            [this] { return m_settings->platform.address.value; },
            [this](std::optional<std::uint64_t> era) {
                return m_copy.observeEra(era, core::Clock::now());
            },
            [this](const std::vector<policy::membership::Member> &hosts) { onRegistered(hosts); }};
    }

    peers::Membership::Hooks membershipHooks()
    {
        return {[this](ports::Gossip &gossip, TimePoint now) {
                    m_copy.fillGossip(gossip, now);
                    m_prover.fillGossip(gossip, core::BootClock::now());
                    gossip.leavingServers = m_leavingNotes.next(m_backends.recentLeavingNotes(now),
                                                                maxLeavingNotesPerMessage);
                    m_quarantineSync.fillGossip(gossip, now);
                    if (m_reach.respondedAt() != TimePoint{}) {
                        gossip.serverResponseAge =
                            std::chrono::ceil<core::Millis>(now - m_reach.respondedAt());
                    }
                    gossip.requestsPerSecond = static_cast<float>(m_quota.requestsPerSecond());
                },
                [this](const ports::Gossip &gossip, const policy::membership::Member &from,
                       std::optional<TimePoint>, TimePoint now) {
                    m_copy.onGossip(gossip, from, now);
                    m_prover.onGossip(gossip, core::BootClock::now());
                    noteLeavingServers(gossip, now);
                    m_quarantineSync.onGossip(gossip, from.peersAddress, now);
                    if (gossip.serverResponseAge) {
                        m_reach.onPeerNews(*gossip.serverResponseAge, now);
                        m_relay.onPeerNews(from.name, *gossip.serverResponseAge, now);
                    }
                    m_quota.onRequestRate(from.name, gossip.requestsPerSecond, now);
                },
                [this](const ports::Gossip &reply, core::BootTimePoint requestedAt) {
                    m_prover.onReply(reply, requestedAt);
                }};
    }

    void onRegistered(const std::vector<policy::membership::Member> &hosts)
    {
        std::vector<std::string> addresses;
        for (const auto &it : hosts) {
            addresses.push_back(it.peersAddress);
            m_zoneHostsRegistered += it.zone == m_members.self().zone ? 1 : 0;
        }
        m_members.addSeeds(addresses);
        m_workspaceQuota.setRegisteredHosts(hosts.size());
    }

    void updateRole(TimePoint now)
    {
        if (m_startedAt == TimePoint{})
            m_startedAt = now;
        // The registry tells whether this host will find others to follow.
        const bool alone = m_registry.hostsRead()
            && m_zoneHostsRegistered < policy::mirror::WatchRoleTimings().minSharedHosts;
        if (m_settings->host.firstStart.value != 0) {
            m_copy.setStartupDelay(firstStartDelay);
        } else {
            m_copy.setStartupDelay(alone ? core::Millis(0) : startupDelay);
        }
        m_copy.updateRole(m_members.live(), m_members.self(), now);
    }

    void noteLeavingServers(const ports::Gossip &gossip, TimePoint now)
    {
        for (const auto &it : gossip.leavingServers) {
            if (m_backends.noteLeaving(it, now))
                log.info("server leaving id=" + it.serverId + " from=" + gossip.from);
        }
    }

    void setRoutes(policy::forward::RouteTablePtr table)
    {
        const auto &from = table->callerLimits();
        const HttpServerLimits limits{from.maxHeaderBytes, from.maxBodyBytes, from.headerTimeout,
                                      from.idleTimeout};
        m_callers.setLimits(limits);
        if (m_relayServer)
            m_relayServer->setLimits(relayLimits(limits));
        m_workspaceQuota.setWorkspaces(table->workspaces(), core::Clock::now());
        m_backends.setWarmupRates(table->warmupRates(), core::Clock::now());
        m_admission.setRoutes(std::move(table));
    }

    void onPeer(ports::PeerCall call)
    {
        const auto now = core::Clock::now();
        if (const auto *fetch = std::get_if<ports::FetchRequest>(&call.request)) {
            return call.reply(fetch->kind == ports::DocumentKind::Crashes
                                  ? m_quarantineSync.handleFetch(now)
                                  : m_copy.handleFetch(fetch->kind));
        }
        if (const auto *copy = std::get_if<ports::ConfigurationRequest>(&call.request))
            return call.reply(m_copy.handleConfiguration(*copy));
        if (std::holds_alternative<ports::QuotaRequest>(call.request)) {
            m_workspaceQuota.handle(call, now);
            return arm(now);
        }
        if (const auto *follower = std::get_if<ports::CopyRequest>(&call.request))
            return call.reply(m_copy.handleFollower(*follower, now));
        m_membership.handle(std::move(call), now);
    }

    // Relays a request if this host reaches no server; returns whether it did.
    bool relay(HttpCall &call, TimePoint now)
    {
        const auto &routes = m_admission.routes();
        if (!m_reach.cutOff() || !routes)
            return false;
        const auto metadata = platform::readRequestMetadata(call.request);
        const auto *route = routes->find(metadata.host, metadata.path);
        return route != nullptr && route->usable && m_relay.relay(call, *route, now);
    }

    adapters::loop::HttpServerHooks callerHooks()
    {
        return {[this](HttpCall call, TimePoint now) {
                    if (!relay(call, now))
                        m_admission.handle(std::move(call), now);
                    arm(now);
                },
                [this](std::uint64_t id, TimePoint now) {
                    if (!m_relay.onCallerDisconnect(id) && !m_admission.onCallerDisconnect(id))
                        m_forward.onCallerDisconnect(id, now);
                },
                malformedRequestResponse};
    }

    // Requests that another host relayed are not relayed on.
    adapters::loop::HttpServerHooks relayHooks()
    {
        return {[this](HttpCall call, TimePoint now) {
                    call.id |= relayedCallBit;
                    receiveRelayed(call);
                    m_admission.handle(std::move(call), now);
                    arm(now);
                },
                [this](std::uint64_t id, TimePoint now) {
                    if (!m_admission.onCallerDisconnect(id | relayedCallBit))
                        m_forward.onCallerDisconnect(id | relayedCallBit, now);
                },
                malformedRequestResponse};
    }

    adapters::loop::HttpServerHooks infoHooks()
    {
        return {
            [this](const HttpCall &call, TimePoint) { call.respond(makeResponse(call.request)); },
            [](std::uint64_t, TimePoint) {}, malformedRequestResponse};
    }

    ports::OutgoingResponse makeResponse(const ports::IncomingRequest &request)
    {
        if (platform::isReadinessRequest(request))
            return platform::readinessResponse(ready());
        if (const auto resolveRequest = platform::readResolveRequest(request))
            return resolve(*resolveRequest);
        if (request.method == "GET" && request.target == metricsPath)
            return metrics();
        const auto &info = core::infoOf(ResultCode::UnknownPath);
        return platform::errorResponse(info.httpStatus, static_cast<int>(info.code),
                                       std::string(info.text));
    }

    ports::OutgoingResponse metrics() const
    {
        HostGauges gauges;
        gauges.version = m_copy.version();
        gauges.configurationPartsLeftOut = m_copy.partsLeftOut();
        gauges.configurationRejected = m_copy.rejected();
        gauges.configurationWatchAgeMs =
            static_cast<std::uint64_t>(core::wholeMillis(m_copy.configSyncAge(core::Clock::now())));
        gauges.documentFetches = m_copy.fetches();
        gauges.failedDocumentFetches = m_copy.failedFetches();
        gauges.members = m_members.live().size();
        gauges.running = m_forward.running();
        gauges.proof = m_prover.status(core::BootClock::now());
        gauges.storeCalls = m_copy.storeCalls() + m_registry.calls() + gauges.proof.reads;
        gauges.storeWatching = m_copy.watching();
        gauges.storeEra = m_copy.storeEra().newest();
        gauges.storeRestores = m_copy.storeEra().rises();
        gauges.storeReached = m_copy.storeReached(core::Clock::now());
        gauges.connectionsOpened = m_backendClient.connectionsOpened();
        gauges.peerBytes = m_link.traffic();
        gauges.storeBytes = m_storeClient.bytesReceived();
        gauges.serverBytes = m_backendClient.bytesReceived();
        gauges.logLinesLeftOut = adapters::logging::droppedLines();
        gauges.processorUsePercent =
            static_cast<std::uint64_t>(percentPerUnit * m_processorLoad.utilization());
        gauges.stopping = m_stopping;
        gauges.limitSharePermille =
            static_cast<std::uint64_t>(permillePerUnit * m_quota.demandShare());
        gauges.cutOff = m_reach.cutOff();
        gauges.requestsRelayed = m_relay.relayed();
        gauges.requestsSuspected = m_quarantine.requestCount();
        gauges.requestsBlocked = m_quarantine.blockedCount(core::Clock::now());
        return {200,
                {{"Content-Type", "text/plain"}},
                formatMetrics(gauges, m_forward.counters(), m_admission.counters(),
                              m_admission.workspaceCounters(), core::Clock::now())
                    + m_workspaceQuota.metrics()};
    }

    bool ready() const
    {
        return !m_stopping && m_admission.routes() != nullptr && m_copy.serversKnown();
    }

    ports::OutgoingResponse resolve(const platform::ResolveRequest &request)
    {
        const auto chosen = policy::entrypoints::selectEntryPoints(
            m_members.confirmed(core::Clock::now()), {request.zone, request.region}, maxAddresses,
            [this](unsigned n) { return randomBelow(n); });
        std::vector<std::string> addresses;
        for (const auto &it : chosen) {
            // Callers choose an address at random, so hosts of other zones are added only up to the
            // number that a caller needs to fail over from a dead host.
            if (it.zone == request.zone || addresses.size() < minAddresses)
                addresses.push_back(it.callersAddress);
        }
        if (addresses.empty()) {
            const auto &info = core::infoOf(ResultCode::HostStopping);
            return platform::errorResponse(info.httpStatus, static_cast<int>(info.code),
                                           std::string(info.text));
        }
        return platform::resolveResponse(addresses, m_settings->forward.keepMs.millis());
    }

    void awaitSignal()
    {
        m_signals.async_wait([this](boost::system::error_code ec, int signal) {
            if (ec)
                return;
            if (signal == SIGHUP) {
                reload();
            } else {
                stop(core::Clock::now());
            }
            awaitSignal();
        });
    }

    std::filesystem::file_time_type settingsTime() const
    {
        std::error_code ec;
        const auto time = std::filesystem::last_write_time(m_path, ec);
        // If the file is inaccessible, it is reloaded once it is accessible again and has changed.
        return ec ? m_settingsTime : time;
    }

    void checkSettings()
    {
        if (settingsTime() != m_settingsTime)
            reload();
    }

    void reload()
    {
        m_settingsTime = settingsTime();
        auto settings = adapters::settings::loadSettings(m_path);
        if (!settings.has_value()) {
            log.error("settings refused, the old ones stay: " + settings.error().text());
            return;
        }
        m_settings = std::move(settings.value());
        m_members.addSeeds(seeds());
        log.info("settings reloaded");
    }

    void stop(TimePoint now)
    {
        if (m_stopping)
            return;
        m_stopping = true;
        log.info("stopping running=" + std::to_string(m_forward.running()));
        m_members.setLeaving();
        m_membership.exchangeWithAll(now);
        m_callers.disableKeepAlive();
        if (m_relayServer)
            m_relayServer->disableKeepAlive();
        m_drainUntil = now + maxTtlMultiple * m_settings->forward.keepMs.millis();
        const std::chrono::duration<double> grace(m_settings->forward.graceS.value);
        m_exitAt = now + std::chrono::duration_cast<core::Duration>(grace) - exitMargin;
        m_forward.shutDown(m_exitAt - flushTime, now);
    }

    void logTraffic()
    {
        const auto &peers = m_link.traffic();
        log.info("traffic gossip=" + std::to_string(peers.gossip)
                 + " comparisons=" + std::to_string(peers.comparisons)
                 + " documents=" + std::to_string(peers.documents)
                 + " store=" + std::to_string(m_storeClient.bytesReceived())
                 + " servers=" + std::to_string(m_backendClient.bytesReceived())
                 + " store_calls=" + std::to_string(m_copy.storeCalls() + m_registry.calls()));
    }

    void checkShutdown(TimePoint now)
    {
        if (!m_stopping || now < m_drainUntil)
            return;
        if (!m_acceptStopped) {
            m_acceptStopped = true;
            // Requests that have just arrived are read before the next check.
            m_callers.stopAccepting();
            if (m_relayServer)
                m_relayServer->stopAccepting();
            return;
        }
        const auto active = m_callers.activeConnections()
            + (m_relayServer ? m_relayServer->activeConnections() : 0);
        if (active == 0 || now >= m_exitAt) {
            if (active != 0)
                log.warning("aborted at exit running=" + std::to_string(m_forward.running()));
            m_io.stop();
        }
    }

    void onCrashRecorded()
    {
        m_crashNewsPending = true;
        // Several servers may end together.
        asio::post(m_io, [this] { sendCrashNews(core::Clock::now()); });
    }

    // Tells all hosts of new crashes at once, since their callers may repeat the request there.
    void sendCrashNews(TimePoint now)
    {
        if (!m_crashNewsPending || now < m_crashNewsAt)
            return;
        m_crashNewsPending = false;
        m_crashNewsAt = now + crashNewsInterval;
        m_membership.exchangeWithAll(now);
    }

    void onTimer()
    {
        const auto now = core::Clock::now();
        m_forward.tick(now);
        m_link.tick(now);
        m_workspaceQuota.tick(now);
        if (now >= m_maintenanceAt) {
            m_maintenanceAt = now + maintenancePeriod;
            runMaintenance(now);
        }
        arm(now);
    }

    void runMaintenance(TimePoint now)
    {
        m_backendClient.tick(now);
        m_relayClient.tick(now);
        m_reach.tick(now);
        sendCrashNews(now);
        m_storeClient.tick(now);
        if (!m_copy.serversKnown())
            updateRole(now);
        m_copy.tick(now);
        m_prover.tick(now, core::BootClock::now());
        m_registry.tick(now);
        for (auto *it : {&m_callers, &m_directory, &m_readiness, &m_control})
            it->tick(now);
        if (m_metrics)
            m_metrics->tick(now);
        if (m_relayServer)
            m_relayServer->tick(now);
        if (now >= m_memberTickAt) {
            m_memberTickAt = now + m_settings->peers.periodMs.millis();
            m_membership.tick(now);
            m_quarantineSync.tick(now);
            updateQuota(now);
            updateRole(now);
        }
        if (now >= m_processorCheckAt) {
            m_processorCheckAt = now + processorCheckPeriod;
            checkProcessorLoad(now);
        }
        if (now >= m_trafficLogAt) {
            m_trafficLogAt = now + trafficLogPeriod;
            logTraffic();
        }
        if (now >= m_settingsCheckAt) {
            m_settingsCheckAt = now + settingsCheckPeriod;
            checkSettings();
        }
        checkShutdown(now);
    }

    void checkProcessorLoad(TimePoint now)
    {
        const bool strained = m_processorLoad.update(m_forward.counters().attempts, now);
        if (strained == m_members.self().strained)
            return;
        log.info(std::string(strained ? "strained" : "calm")
                 + " use=" + std::to_string(m_processorLoad.utilization()));
        m_members.setStrained(strained);
    }

    // Sets the timer to the next event, unless it is already set to an earlier time.
    void arm(TimePoint now)
    {
        m_timer.arm(
            std::min({m_maintenanceAt, m_forward.nextTickAt(), m_workspaceQuota.nextTickAt()}),
            now);
    }

    std::shared_ptr<const adapters::settings::Settings> m_settings;
    std::string m_path;
    std::mt19937 m_random{std::random_device{}()};
    asio::io_context m_io{1};
    asio::signal_set m_signals;
    adapters::loop::WakeTimer m_timer;
    FleetQuota m_quota;
    ExchangeClient m_backendClient;
    ExchangeClient m_storeClient;
    policy::forward::BackendTable m_backends;
    policy::quarantine::RequestQuarantine m_quarantine;
    ReachChecker m_reach;
    ForwardService m_forward;
    RequestAdmission m_admission;
    ExchangeClient m_relayClient;
    RequestRelay m_relay;
    adapters::peers::LoopPeerLink m_link;
    WorkspaceQuota m_workspaceQuota;
    QuarantineSync m_quarantineSync;
    policy::routing::NoteRotation m_leavingNotes;
    PlatformCopy m_copy;
    policy::membership::MemberTable m_members;
    ConfigurationProver m_prover;
    peers::Membership m_membership;
    policy::entrypoints::ProcessorLoadEstimator m_processorLoad;
    HostRegistry m_registry;
    HttpServer m_callers;
    HttpServer m_directory;
    HttpServer m_readiness;
    HttpServer m_control;
    // Port for requests of hosts that reach no server.
    std::optional<HttpServer> m_relayServer;
    // Separate port from which the platform scrapes metrics.
    std::optional<HttpServer> m_metrics;
    TimePoint m_startedAt{};
    // Hosts of this host's zone that were registered at the start.
    std::size_t m_zoneHostsRegistered = 0;
    TimePoint m_maintenanceAt{};
    TimePoint m_memberTickAt{};
    TimePoint m_processorCheckAt{};
    TimePoint m_settingsCheckAt{};
    TimePoint m_trafficLogAt{};
    std::filesystem::file_time_type m_settingsTime{};
    // This host recorded crashes that it has not sent to the others yet, and when it may.
    bool m_crashNewsPending = false;
    TimePoint m_crashNewsAt{};
    bool m_stopping = false;
    bool m_acceptStopped = false;
    TimePoint m_drainUntil{};
    TimePoint m_exitAt{};
};

} // namespace

void runHost(std::shared_ptr<const adapters::settings::Settings> settings, const std::string &path)
{
    Host host(std::move(settings), path);
    host.run();
}

} // namespace goldcrestline::daemon::forward
