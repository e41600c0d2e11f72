#include "daemon/forward/forward_host.h"

#include "adapters/logging/log.h"
#include "adapters/loop/exchange_client.h"
#include "adapters/loop/front_server.h"
#include "adapters/loop/wake_timer.h"
#include "adapters/peers/loop_peer_link.h"
#include "core/result_code.h"
#include "daemon/forward/fleet_share.h"
#include "daemon/forward/forward_service.h"
#include "daemon/forward/host_registry.h"
#include "daemon/forward/metrics.h"
#include "daemon/forward/platform_copy.h"
#include "daemon/peers/member_setup.h"
#include "daemon/peers/membership.h"
#include "platform/dialect.h"
#include "policy/entrypoints/entry_points.h"
#include "policy/entrypoints/strain.h"

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <filesystem>
#include <random>

namespace goldcrestline::daemon::forward {

namespace asio = boost::asio;
using adapters::loop::ExchangeClient;
using adapters::loop::ExchangeOptions;
using adapters::loop::FrontCall;
using adapters::loop::FrontLimits;
using adapters::loop::FrontServer;
using core::ResultCode;
using core::TimePoint;

namespace {

constexpr adapters::logging::LogChannel log("host:");

// Period of checks on time-outs and on the store.
constexpr core::Millis housekeeping{100};
// Idle time after which the kernel probes a connection to the store.
constexpr int storeProbeSeconds = 1;
// Callers may keep addresses for three times as long as they are told.
constexpr int keptAtMost = 3;
// Time before the forced end by which a stopping host is gone.
constexpr core::Millis exitMargin{700};
// Period of checks on the settings file, which may change without a signal.
constexpr core::Millis settingsCheck{2000};
constexpr std::string_view metricsPath = "/v1/metrics";
// Period of checks on how busy this host is.
constexpr core::Millis strainCheck{1000};
constexpr double percent = 100;
// Time for which idle connections to servers are kept on a host that callers are not sent to: each
// server takes fewer connections than there are hosts.
constexpr core::Millis spareIdleTime{600};
// Hosts that a caller is told of.
constexpr std::size_t addressesAtMost = 8;
// Addresses that a caller is told of at least, if there are as many hosts.
constexpr std::size_t fewestAddresses = 2;

ports::Outgoing unreadable(int status, const std::string &why)
{
    const auto code = core::refusalFor(status);
    return platform::ownAnswer(status, static_cast<int>(code),
                               std::string(core::infoOf(code).text) + " " + why);
}

class Host
{
public:
    Host(std::shared_ptr<const adapters::settings::Settings> settings, std::string path)
        : m_settings(std::move(settings)), m_path(std::move(path)), m_signals(m_io),
          m_timer(m_io, [this] { onTimer(); }), m_share(*m_settings), m_backendClient(m_io, {}),
          m_storeClient(m_io, storeOptions()),
          m_backends(
              m_settings->host.zone.value, {},
              [this](const std::string &service) { return connectionShare(service); },
              [this] { return uniform(); }),
          m_forward(
              forwardLimits(), m_backends, m_backendClient, [this] { return uniform(); },
              [this] { return m_copy.serversKnown(); }),
          m_link(m_io, m_settings->listen.peers.value,
                 [this](ports::PeerCall call) { onPeer(std::move(call)); }),
          m_copy(m_storeClient, m_backends, m_link, copyHooks()), m_members(memberTable()),
          m_membership(m_members, m_settings->peers.periodMs.millis(), m_link, membershipHooks()),
          m_strain(peers::availableCores(*m_settings)),
          m_registry(m_members.self(), m_storeClient, registryHooks()),
          m_callers(m_io, m_settings->listen.callers.value, {}, callerHooks()),
          m_directory(m_io, m_settings->listen.directory.value, {}, plainHooks()),
          m_readiness(m_io, m_settings->listen.readiness.value, {}, plainHooks()),
          m_control(m_io, m_settings->listen.control.value, {}, plainHooks())
    {
        if (!m_settings->listen.metrics.value.empty())
            m_metrics.emplace(m_io, m_settings->listen.metrics.value, FrontLimits(), plainHooks());
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
        options.probeAfterSeconds = storeProbeSeconds;
        return options;
    }

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    unsigned below(unsigned n)
    {
        return std::uniform_int_distribution<unsigned>(0, n - 1)(m_random);
    }

    ForwardLimits forwardLimits() const
    {
        const auto &forward = m_settings->forward;
        ForwardLimits limits;
        limits.callerTransit = forward.callerTransitMs.millis();
        limits.extraShare = budgetShare * forward.extraShare.value;
        limits.extraBurst = m_share.extraBurst();
        return limits;
    }

    // Divides the fleet's allowances among the hosts as they are now.
    void divideAllowances(TimePoint now)
    {
        m_share.update(m_members, now);
        m_forward.setExtraBurst(m_share.extraBurst());
        m_backendClient.setIdleTime(m_share.carriesCallers() ? ExchangeOptions().idleTime
                                                             : spareIdleTime);
    }

    int connectionShare(const std::string &service) const
    {
        const auto &routes = m_forward.routes();
        if (!routes)
            return 1;
        const auto it = routes->services().find(service);
        const int all = it == routes->services().end() ? 1 : it->second.connections;
        return m_share.connections(all);
    }

    policy::membership::MemberTable memberTable()
    {
        auto self = peers::selfMember(*m_settings, static_cast<std::uint64_t>(core::wallNow()));
        return {std::move(self), seeds(), peers::membershipTimings(*m_settings),
                [this](unsigned n) { return below(n); }};
    }

    // Hosts of a deployment listen for peers on the same port.
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
                [this](policy::forward::RouteTablePtr table) { setRoutes(std::move(table)); }};
    }

    HostRegistry::Hooks registryHooks()
    {
        return {
            [this] { return m_settings->platform.address.value; },
            [this](const std::vector<std::string> &addresses) { m_members.addSeeds(addresses); }};
    }

    peers::Membership::Hooks membershipHooks()
    {
        return {[this](ports::Gossip &gossip, TimePoint) { m_copy.describe(gossip); },
                [this](const ports::Gossip &news, const policy::membership::Member &from,
                       std::optional<TimePoint>,
                       TimePoint now) { m_copy.takeNews(news, from.peersAddress, now); }};
    }

    void setRoutes(policy::forward::RouteTablePtr table)
    {
        const auto &bounds = table->callerLimits();
        m_callers.setLimits(
            {bounds.maxHeaderBytes, bounds.maxBodyBytes, bounds.headerTimeout, bounds.idleTimeout});
        m_forward.setRoutes(std::move(table));
    }

    void onPeer(ports::PeerCall call)
    {
        if (const auto *fetch = std::get_if<ports::FetchRequest>(&call.request))
            return call.reply(m_copy.answer(fetch->kind));
        m_membership.handle(std::move(call), core::Clock::now());
    }

    adapters::loop::FrontHooks callerHooks()
    {
        return {[this](FrontCall call, TimePoint now) {
                    m_forward.handle(std::move(call), now);
                    arm(now);
                },
                [this](std::uint64_t id, TimePoint now) { m_forward.onGone(id, now); }, unreadable};
    }

    adapters::loop::FrontHooks plainHooks()
    {
        return {[this](const FrontCall &call, TimePoint) { call.respond(answer(call.request)); },
                [](std::uint64_t, TimePoint) {}, unreadable};
    }

    ports::Outgoing answer(const ports::Incoming &request)
    {
        if (platform::isReadiness(request))
            return platform::readinessAnswer(ready());
        if (const auto question = platform::readResolve(request))
            return resolve(*question);
        if (request.method == "GET" && request.target == metricsPath)
            return metrics();
        const auto &info = core::infoOf(ResultCode::UnknownPath);
        return platform::ownAnswer(info.httpStatus, static_cast<int>(info.code),
                                   std::string(info.text));
    }

    ports::Outgoing metrics() const
    {
        HostGauges gauges;
        gauges.version = m_copy.version();
        gauges.members = m_members.live().size();
        gauges.running = m_forward.running();
        gauges.storeCalls = m_copy.storeCalls();
        gauges.storeReached = m_copy.storeReached();
        gauges.connectionsOpened = m_backendClient.opened();
        gauges.logLinesLeftOut = adapters::logging::linesLeftOut();
        gauges.usePercent = static_cast<std::uint64_t>(percent * m_strain.use());
        gauges.stopping = m_stopping;
        return {200, {{"Content-Type", "text/plain"}}, printMetrics(gauges, m_forward.counters())};
    }

    bool ready() const
    {
        return !m_stopping && m_forward.routes() != nullptr && m_copy.serversKnown();
    }

    ports::Outgoing resolve(const platform::ResolveQuestion &question)
    {
        const auto chosen =
            policy::entrypoints::choose(m_members.all(), {question.zone, question.region},
                                        addressesAtMost, [this](unsigned n) { return below(n); });
        std::vector<std::string> addresses;
        for (const auto &it : chosen) {
            // Callers choose at random, so other zones only fill up to the fewest that a caller
            // needs to get past a dead host.
            if (it.zone == question.zone || addresses.size() < fewestAddresses)
                addresses.push_back(it.callersAddress);
        }
        if (addresses.empty()) {
            const auto &info = core::infoOf(ResultCode::HostStopping);
            return platform::ownAnswer(info.httpStatus, static_cast<int>(info.code),
                                       std::string(info.text));
        }
        return platform::resolveAnswer(addresses, m_settings->forward.keepMs.millis());
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
        // A file that cannot be seen is read again when it can.
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
        m_callers.finishConnections();
        m_drainedAt = now + keptAtMost * m_settings->forward.keepMs.millis();
        const std::chrono::duration<double> grace(m_settings->forward.graceS.value);
        m_exitAt = now + std::chrono::duration_cast<core::Duration>(grace) - exitMargin;
    }

    void checkStopped(TimePoint now)
    {
        if (!m_stopping || now < m_drainedAt)
            return;
        if (!m_closedIdle) {
            m_closedIdle = true;
            m_callers.closeIdle();
        }
        if (m_callers.busy() == 0 || now >= m_exitAt) {
            if (m_callers.busy() != 0)
                log.warning("cut off running=" + std::to_string(m_forward.running()));
            m_io.stop();
        }
    }

    void onTimer()
    {
        const auto now = core::Clock::now();
        m_forward.tick(now);
        m_link.tick(now);
        if (now >= m_housekeepingAt) {
            m_housekeepingAt = now + housekeeping;
            keepHouse(now);
        }
        arm(now);
    }

    void keepHouse(TimePoint now)
    {
        m_backendClient.tick(now);
        m_storeClient.tick(now);
        m_copy.tick(now);
        m_registry.tick(now);
        for (auto *it : {&m_callers, &m_directory, &m_readiness, &m_control})
            it->tick(now);
        if (m_metrics)
            m_metrics->tick(now);
        if (now >= m_memberTickAt) {
            m_memberTickAt = now + m_settings->peers.periodMs.millis();
            m_membership.tick(now);
            divideAllowances(now);
        }
        if (now >= m_strainCheckAt) {
            m_strainCheckAt = now + strainCheck;
            checkStrain(now);
        }
        if (now >= m_settingsCheckAt) {
            m_settingsCheckAt = now + settingsCheck;
            checkSettings();
        }
        checkStopped(now);
    }

    void checkStrain(TimePoint now)
    {
        const bool strained = m_strain.update(m_forward.counters().attempts, now);
        if (strained == m_members.self().strained)
            return;
        log.info(std::string(strained ? "strained" : "calm")
                 + " use=" + std::to_string(m_strain.use()));
        m_members.setStrained(strained);
    }

    // Sets the timer to the next work if that comes before the time that is set.
    void arm(TimePoint now) { m_timer.arm(std::min(m_housekeepingAt, m_forward.nextAt()), now); }

    std::shared_ptr<const adapters::settings::Settings> m_settings;
    std::string m_path;
    std::mt19937 m_random{std::random_device{}()};
    asio::io_context m_io{1};
    asio::signal_set m_signals;
    adapters::loop::WakeTimer m_timer;
    FleetShare m_share;
    ExchangeClient m_backendClient;
    ExchangeClient m_storeClient;
    policy::forward::BackendTable m_backends;
    ForwardService m_forward;
    adapters::peers::LoopPeerLink m_link;
    PlatformCopy m_copy;
    policy::membership::MemberTable m_members;
    peers::Membership m_membership;
    policy::entrypoints::StrainGauge m_strain;
    HostRegistry m_registry;
    FrontServer m_callers;
    FrontServer m_directory;
    FrontServer m_readiness;
    FrontServer m_control;
    // A port of its own for metrics, where the platform reads them.
    std::optional<FrontServer> m_metrics;
    TimePoint m_housekeepingAt{};
    TimePoint m_memberTickAt{};
    TimePoint m_strainCheckAt{};
    TimePoint m_settingsCheckAt{};
    std::filesystem::file_time_type m_settingsTime{};
    bool m_stopping = false;
    bool m_closedIdle = false;
    TimePoint m_drainedAt{};
    TimePoint m_exitAt{};
};

} // namespace

void runHost(std::shared_ptr<const adapters::settings::Settings> settings, const std::string &path)
{
    Host host(std::move(settings), path);
    host.run();
}

} // namespace goldcrestline::daemon::forward
