#include "daemon/engine/engine.h"

#include "adapters/logging/log.h"
#include "adapters/loop/exchange_client.h"
#include "adapters/loop/http_server.h"
#include "adapters/loop/loop_server_channel.h"
#include "adapters/loop/wake_timer.h"
#include "adapters/peers/loop_peer_link.h"
#include "daemon/control/routes.h"
#include "daemon/engine/peer_service.h"
#include "daemon/engine/reports.h"
#include "daemon/engine/responses.h"
#include "daemon/engine/shutdown_sequence.h"
#include "daemon/peers/member_setup.h"
#include "platform/document_store.h"

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <cctype>
#include <csignal>

namespace goldcrestline::daemon::engine {

using core::TimePoint;

namespace {

constexpr adapters::logging::LogChannel log("engine:");

constexpr core::Duration statusPeriod = std::chrono::milliseconds(200);
constexpr core::Duration keyExpiryPeriod = std::chrono::seconds(5);
constexpr core::Duration serverTimeoutCheckPeriod = std::chrono::milliseconds(20);
constexpr core::Duration callerTimeoutCheckPeriod = std::chrono::milliseconds(250);

constexpr std::string_view queryPrefix = "/v1/query/";
constexpr std::string_view requestPrefix = "/v1/request/";

// Returns a function that returns a uniform number in [0, n).
std::function<unsigned(unsigned)> makeRandomBelow()
{
    auto generator = std::make_shared<std::mt19937>(std::random_device{}());
    return [generator](unsigned n) {
        return std::uniform_int_distribution<unsigned>(0, n - 1)(*generator);
    };
}

// Converts a request; the caller interface expects lower-case header names.
ports::HttpRequest toHttpRequest(ports::IncomingRequest from)
{
    ports::HttpRequest to;
    to.method = std::move(from.method);
    to.target = std::move(from.target);
    for (auto &it : from.headers) {
        for (auto &c : it.name)
            c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        to.headers[it.name] = std::move(it.value);
    }
    to.body = std::move(from.body);
    return to;
}

ports::OutgoingResponse toOutgoing(ports::HttpResponse from)
{
    ports::OutgoingResponse to;
    to.status = from.status;
    for (auto &it : from.headers)
        to.headers.push_back({it.first, std::move(it.second)});
    to.body = std::move(from.body);
    return to;
}

// Returns the response to a request that the HTTP server could not parse.
ports::OutgoingResponse invalidRequestResponse(int status, const std::string &why)
{
    return toOutgoing(responseFor(core::resultCodeForHttpStatus(status), why));
}

} // namespace

// The components of the engine, all on the thread of its event loop.
class Engine::Impl
{
public:
    Impl(const std::shared_ptr<const adapters::settings::Settings> &settings,
         const std::shared_ptr<const policy::idempotency::KeyIssuer> &keys)
        : m_timer(m_io, [this] { onTimer(); }), m_signals(m_io, SIGTERM, SIGINT),
          m_host(settings,
                 policy::membership::MemberTable(
                     peers::selfMember(*settings, keys->incarnation()), settings->peers.seeds.value,
                     peers::membershipTimings(*settings), makeRandomBelow()),
                 keys),
          m_client(m_io, clientOptions()), m_serverChannel(m_client, channelLimits()),
          m_platform(
              [this](ports::ExchangeRequest request, core::Millis timeout,
                     platform::DocumentStore::Done done) {
                  sendToPlatform(std::move(request), timeout, std::move(done));
              },
              settings->platform.timeoutMs.millis()),
          m_peerLink(m_io, settings->listen.peers.value,
                     [this](ports::PeerCall call) {
                         m_peerService.handle(std::move(call), core::Clock::now());
                     }),
          m_planLimiter(m_host, m_peerLink), m_admission(m_host, m_planLimiter),
          m_queries(m_host, m_admission, m_serverChannel),
          m_requests(m_host, m_admission, m_queries, m_serverChannel, m_peerLink, m_platform),
          m_documents(m_host, m_platform, m_peerLink,
                      [this](TimePoint now) { m_queries.onFleetUpdate(now); }),
          m_peerService(m_host, m_peerLink, m_documents, m_queries, m_requests, m_planLimiter),
          m_shutdown(
              m_host, m_peerService, m_queries, m_requests, m_peerLink,
              [this] { m_callers.disableKeepAlive(); }, [this] { m_io.stop(); }),
          m_routes(m_status, keys, static_cast<std::size_t>(settings->callers.entryPoints.value),
                   settings->callers.keyLifeMs.millis()),
          m_callers(m_io, settings->listen.callers.value, callerLimits(*settings), callerHooks()),
          m_control(m_io, settings->listen.control.value, {}, controlHooks())
    { }

    void run()
    {
        m_platform.setOnRestored([this] { m_requests.onStoreRestored(core::Clock::now()); });
        m_signals.async_wait([this](boost::system::error_code ec, int) {
            if (!ec)
                m_shutdown.start(core::Clock::now());
        });
        m_host.timers.setOnEarlierDeadline([this] { arm(core::Clock::now()); });
        startPeriodicTasks(core::Clock::now());
        m_io.run();
        publish(core::Clock::now());
    }

private:
    adapters::loop::ServerChannelOptions channelLimits()
    {
        adapters::loop::ServerChannelOptions limits;
        limits.cancelGracePeriod = m_host.settings->queries.cancelGraceMs.millis();
        limits.zone = m_host.settings->host.zone.value;
        limits.connectionLimit = [this](const std::string &id) {
            for (const auto &it : m_queries.services()) {
                if (const auto *record = it.second->servers.record(id))
                    return it.second->connectionLimit(*record);
            }
            return 1;
        };
        return limits;
    }

    adapters::loop::ExchangeOptions clientOptions() const
    {
        adapters::loop::ExchangeOptions options;
        options.idleTimeout = m_host.settings->queries.idleConnectionMs.millis();
        return options;
    }

    static adapters::loop::HttpServerLimits
    callerLimits(const adapters::settings::Settings &settings)
    {
        adapters::loop::HttpServerLimits limits;
        limits.maxBodyBytes = static_cast<std::uint64_t>(settings.callers.bodyBytes.value);
        limits.headerTimeout = settings.callers.readMs.millis();
        limits.idleTimeout = settings.callers.idleMs.millis();
        return limits;
    }

    adapters::loop::HttpServerHooks callerHooks()
    {
        return {[this](adapters::loop::HttpCall call, TimePoint now) {
                    ports::CallerRequest callerCall;
                    callerCall.id = call.id;
                    callerCall.request = toHttpRequest(std::move(call.request));
                    callerCall.respond =
                        [respond = std::move(call.respond)](ports::HttpResponse response) {
                            respond(toOutgoing(std::move(response)));
                        };
                    handleCallerRequest(callerCall, now);
                },
                [this](std::uint64_t id, TimePoint now) { m_queries.onCallerDisconnect(id, now); },
                invalidRequestResponse};
    }

    adapters::loop::HttpServerHooks controlHooks()
    {
        return {[this](adapters::loop::HttpCall call, TimePoint) {
                    auto request = toHttpRequest(std::move(call.request));
                    call.respond(toOutgoing(m_routes.handle(request)));
                },
                [](std::uint64_t, TimePoint) {}, invalidRequestResponse};
    }

    void sendToPlatform(ports::ExchangeRequest request, core::Millis timeout,
                        platform::DocumentStore::Done done)
    {
        const auto now = core::Clock::now();
        request.deadline = now + timeout;
        request.progressTimeout = timeout;
        m_client.send(m_host.settings->platform.address.value, std::move(request), now,
                      std::move(done));
    }

    void onTimer()
    {
        m_host.timers.runDue(core::Clock::now());
        arm(core::Clock::now());
    }

    // Sets the timer to the earliest due callback, unless it is set to an earlier time.
    void arm(TimePoint now) { m_timer.arm(m_host.timers.nextDue(), now); }

    void startPeriodicTasks(TimePoint now)
    {
        const auto &settings = *m_host.settings;
        schedulePeriodic(now, settings.peers.periodMs.millis(), [this](TimePoint at) {
            m_peerService.tick(at);
            m_documents.tick(at);
        });
        schedulePeriodic(now, settings.queries.pollMs.millis(),
                         [this](TimePoint at) { m_queries.pollServers(at); });
        schedulePeriodic(now, statusPeriod, [this](TimePoint at) { publish(at); });
        schedulePeriodic(now, keyExpiryPeriod,
                         [this](TimePoint) { m_requests.expire(core::wallNow()); });
        schedulePeriodic(now, serverTimeoutCheckPeriod, [this](TimePoint at) {
            m_serverChannel.tick(at);
            m_client.tick(at);
            m_peerLink.tick(at);
        });
        schedulePeriodic(now, callerTimeoutCheckPeriod, [this](TimePoint at) {
            m_callers.tick(at);
            m_control.tick(at);
        });
    }

    void schedulePeriodic(TimePoint at, core::Duration period, std::function<void(TimePoint)> task)
    {
        m_host.timers.schedule(at, [this, period, task = std::move(task)](TimePoint now) {
            task(now);
            schedulePeriodic(now + period, period, task);
        });
    }

    void handleCallerRequest(ports::CallerRequest &call, TimePoint now)
    {
        const auto path = call.request.target.substr(0, call.request.target.find('?'));
        const bool post = call.request.method == "POST";
        if (post && path.starts_with(queryPrefix))
            return m_queries.handle(path.substr(queryPrefix.size()), std::move(call), now);
        if (post && path.starts_with(requestPrefix))
            return m_requests.handle(path.substr(requestPrefix.size()), std::move(call), now);
        call.respond(responseFor(core::ResultCode::UnknownPath, call.request.method + " " + path));
    }

    void publish(TimePoint now)
    {
        HostStatus status;
        const auto &self = m_host.members.self();
        status.name = self.name;
        status.zone = self.zone;
        status.incarnation = self.incarnation;
        status.leaving = self.leaving;
        status.serving = m_host.lists && m_host.fleet && !m_host.hasStaleLists(now);
        status.listsVersion = m_host.listsDocument.version();
        status.fleetRevision = m_host.fleetDocument.version().revision;
        status.storeEra = m_platform.era();
        status.watching = m_documents.watching();
        status.confirmationAgeMs = core::toMillis(m_host.freshness.age(now));
        status.platformCalls = m_platform.calls();
        status.peerCalls = m_peerLink.calls();
        status.silentConnections = m_serverChannel.silentConnections();
        status.falseDeaths = m_host.members.falseDeaths();
        status.running = m_queries.running() + m_requests.running();
        status.keys = m_requests.keys();
        status.members = m_host.members.all();
        status.servicesJson = servicesJson(m_queries);
        status.serviceLevelsJson = serviceLevelsJson(m_queries, now);
        status.entryPointTtl = m_host.settings->callers.keepMs.millis();
        m_status.publish(std::move(status));
    }

    boost::asio::io_context m_io{1};
    adapters::loop::WakeTimer m_timer;
    boost::asio::signal_set m_signals;
    PublishedStatus m_status;
    HostState m_host;
    adapters::loop::ExchangeClient m_client;
    adapters::loop::LoopServerChannel m_serverChannel;
    platform::DocumentStore m_platform;
    adapters::peers::LoopPeerLink m_peerLink;
    PlanRateLimiter m_planLimiter;
    AdmissionController m_admission;
    QueryService m_queries;
    RequestService m_requests;
    DocumentSync m_documents;
    PeerService m_peerService;
    ShutdownSequence m_shutdown;
    control::Routes m_routes;
    adapters::loop::HttpServer m_callers;
    adapters::loop::HttpServer m_control;
};

Engine::Engine(const std::shared_ptr<const adapters::settings::Settings> &settings,
               const std::shared_ptr<const policy::idempotency::KeyIssuer> &keys)
    : m_impl(std::make_unique<Impl>(settings, keys))
{ }

Engine::~Engine() = default;

void Engine::run()
{
    m_impl->run();
}

} // namespace goldcrestline::daemon::engine
