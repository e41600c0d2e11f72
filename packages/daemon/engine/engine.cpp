#include "daemon/engine/engine.h"

#include "adapters/curl/http_client.h"
#include "adapters/curl/http_platform_store.h"
#include "adapters/curl/http_server_channel.h"
#include "adapters/logging/log.h"
#include "daemon/engine/answers.h"
#include "daemon/engine/peer_link_client.h"
#include "daemon/engine/peer_service.h"
#include "daemon/engine/reports.h"
#include "daemon/engine/stop_sequence.h"

#include <algorithm>

namespace goldcrestline::daemon::engine {

using core::TimePoint;

namespace {

constexpr adapters::logging::LogChannel log("engine:");

constexpr core::Millis longestWait{50};
constexpr core::Duration statusPeriod = std::chrono::milliseconds(200);
constexpr core::Duration expiryPeriod = std::chrono::seconds(5);
constexpr core::Duration silenceCheck = std::chrono::milliseconds(20);

constexpr std::string_view queryPrefix = "/v1/query/";
constexpr std::string_view requestPrefix = "/v1/request/";

policy::membership::Member selfOf(const adapters::settings::Settings &settings,
                                  const policy::once::KeyIssuer &keys)
{
    policy::membership::Member self;
    self.name = settings.host.name.value;
    self.zone = settings.host.zone.value;
    self.callersAddress = settings.listen.callers.value;
    self.controlAddress = settings.listen.control.value;
    self.peersAddress = settings.listen.peers.value;
    self.incarnation = keys.incarnation();
    return self;
}

policy::membership::MembershipTimes timesOf(const adapters::settings::Settings &settings)
{
    policy::membership::MembershipTimes times;
    times.period = settings.peers.periodMs.millis();
    times.suspicion = settings.peers.suspicionMs.millis();
    times.handoverMemory = settings.callers.keyLifeMs.millis();
    return times;
}

std::function<unsigned(unsigned)> makeRandom()
{
    auto generator = std::make_shared<std::mt19937>(std::random_device{}());
    return [generator](unsigned n) {
        return std::uniform_int_distribution<unsigned>(0, n - 1)(*generator);
    };
}

} // namespace

// Everything that lives on the engine's thread.
class Engine::Loop
{
public:
    Loop(const std::shared_ptr<const adapters::settings::Settings> &settings,
         const std::shared_ptr<const policy::once::KeyIssuer> &keys, StatusBoard &board,
         core::Mailbox<EngineMessage> &mailbox)
        : m_board(board), m_mailbox(mailbox),
          m_host(settings,
                 policy::membership::MemberTable(selfOf(*settings, *keys),
                                                 settings->peers.seeds.value, timesOf(*settings),
                                                 makeRandom()),
                 keys),
          m_channel(m_client, channelLimits()),
          m_platform(m_client, settings->platform.address.value,
                     settings->platform.timeoutMs.millis()),
          m_limits(m_host, m_link), m_gate(m_host, m_limits), m_queries(m_host, m_gate, m_channel),
          m_requests(m_host, m_gate, m_queries, m_channel, m_link, m_platform),
          m_documents(m_host, m_platform, m_link,
                      [this](TimePoint now) { m_queries.onFleet(now); }),
          m_peers(m_host, m_link, m_documents, m_queries, m_requests, m_limits),
          m_stop(
              m_host, m_peers, m_queries, m_requests, m_link,
              [this] { m_callers->finishConnections(); }, [this] { m_ended = true; })
    { }

    void wake() { m_client.wake(); }

    void attach(adapters::callers::CallerServer &callers, adapters::peers::PeerThread &peers)
    {
        m_callers = &callers;
        m_link.attach(peers);
    }

    void run()
    {
        startPeriodicWork(core::Clock::now());
        while (!m_ended) {
            auto now = core::Clock::now();
            for (auto &message : m_mailbox.drain())
                std::visit([&](auto &it) { handle(it, now); }, message);
            now = core::Clock::now();
            m_host.timers.runDue(now);
            m_client.run(waitFor(core::Clock::now()));
        }
        publish(core::Clock::now());
    }

private:
    adapters::curl::ChannelLimits channelLimits()
    {
        adapters::curl::ChannelLimits limits;
        limits.cancelGrace = m_host.settings->queries.cancelGraceMs.millis();
        limits.idleConnection = m_host.settings->queries.idleConnectionMs.millis();
        limits.zone = m_host.settings->host.zone.value;
        limits.connectionShare = [this](const std::string &id) {
            for (const auto &it : m_queries.services()) {
                if (const auto *record = it.second->servers.record(id))
                    return it.second->connectionShare(*record);
            }
            return 1;
        };
        return limits;
    }

    core::Millis waitFor(TimePoint now) const
    {
        const auto next = m_host.timers.next();
        if (next <= now)
            return core::Millis(0);
        return std::min(longestWait, std::chrono::ceil<core::Millis>(next - now));
    }

    void startPeriodicWork(TimePoint now)
    {
        const auto &settings = *m_host.settings;
        repeat(now, settings.peers.periodMs.millis(), [this](TimePoint at) {
            m_peers.tick(at);
            m_documents.tick(at);
        });
        repeat(now, settings.queries.pollMs.millis(),
               [this](TimePoint at) { m_queries.pollServers(at); });
        repeat(now, statusPeriod, [this](TimePoint at) { publish(at); });
        repeat(now, expiryPeriod, [this](TimePoint) { m_requests.expire(core::wallNow()); });
        repeat(now, silenceCheck, [this](TimePoint at) { m_channel.tick(at); });
    }

    void repeat(TimePoint at, core::Duration period, std::function<void(TimePoint)> work)
    {
        m_host.timers.at(at, [this, period, work = std::move(work)](TimePoint now) {
            work(now);
            repeat(now + period, period, work);
        });
    }

    void handle(ports::CallerCall &call, TimePoint now)
    {
        const auto path = call.request.target.substr(0, call.request.target.find('?'));
        const bool post = call.request.method == "POST";
        if (post && path.starts_with(queryPrefix))
            return m_queries.handle(path.substr(queryPrefix.size()), std::move(call), now);
        if (post && path.starts_with(requestPrefix))
            return m_requests.handle(path.substr(requestPrefix.size()), std::move(call), now);
        call.respond(answerFor(core::ResultCode::UnknownPath, call.request.method + " " + path));
    }

    void handle(ports::CallerGone &gone, TimePoint now) { m_queries.callerGone(gone.id, now); }
    void handle(ports::PeerCall &call, TimePoint now) { m_peers.handle(std::move(call), now); }
    void handle(adapters::peers::PeerDone &done, TimePoint) { m_link.onDone(std::move(done)); }
    void handle(StopRequested &, TimePoint now) { m_stop.begin(now); }

    void publish(TimePoint now)
    {
        HostStatus status;
        const auto &self = m_host.members.self();
        status.name = self.name;
        status.zone = self.zone;
        status.incarnation = self.incarnation;
        status.leaving = self.leaving;
        status.serving = m_host.lists && m_host.fleet && !m_host.behind(now);
        status.listsRevision = m_host.listsDocument.revision();
        status.fleetRevision = m_host.fleetDocument.revision();
        status.watching = m_documents.watching();
        status.confirmationAgeMs = core::toMillis(m_host.freshness.age(now));
        status.platformCalls = m_platform.calls();
        status.peerCalls = m_link.calls();
        status.silentConnections = m_channel.silentConnections();
        status.falseDeaths = m_host.members.falseDeaths();
        status.running = m_queries.running() + m_requests.running();
        status.keys = m_requests.keys();
        status.members = m_host.members.all();
        status.servicesJson = servicesJson(m_queries);
        status.levelsJson = levelsJson(m_queries, now);
        status.keepFor = m_host.settings->callers.keepMs.millis();
        m_board.publish(std::move(status));
    }

    StatusBoard &m_board;
    core::Mailbox<EngineMessage> &m_mailbox;
    HostState m_host;
    adapters::curl::HttpClient m_client;
    adapters::curl::HttpServerChannel m_channel;
    adapters::curl::HttpPlatformStore m_platform;
    PeerLinkClient m_link;
    PlanLimits m_limits;
    AdmissionGate m_gate;
    QueryService m_queries;
    RequestService m_requests;
    DocumentSync m_documents;
    PeerService m_peers;
    StopSequence m_stop;
    adapters::callers::CallerServer *m_callers = nullptr;
    bool m_ended = false;
};

Engine::Engine(std::shared_ptr<const adapters::settings::Settings> settings,
               std::shared_ptr<const policy::once::KeyIssuer> keys, StatusBoard &board)
    : m_settings(std::move(settings)), m_keys(std::move(keys)), m_board(board),
      m_loop(std::make_unique<Loop>(m_settings, m_keys, m_board, m_mailbox))
{
    m_mailbox.setWake([this] { m_loop->wake(); });
}

Engine::~Engine()
{
    if (m_thread.joinable())
        m_thread.join();
}

void Engine::post(EngineMessage message)
{
    m_mailbox.post(std::move(message));
}

void Engine::start(adapters::callers::CallerServer &callers, adapters::peers::PeerThread &peers)
{
    m_loop->attach(callers, peers);
    m_thread = std::thread([this] {
        pthread_setname_np(pthread_self(), "engine");
        log.info("started host=" + m_settings->host.name.value);
        m_loop->run();
        m_stopped.set_value();
    });
}

void Engine::waitUntilStopped()
{
    m_stopped.get_future().wait();
}

} // namespace goldcrestline::daemon::engine
