#include "daemon/engine/request_service.h"

#include "core/hash.h"
#include "daemon/engine/answers.h"
#include "daemon/engine/request_record.h"

namespace goldcrestline::daemon::engine {

using core::ResultCode;
using core::TimePoint;
using policy::once::Outcome;
using policy::once::Verdict;
using policy::routing::AttemptOutcome;

namespace {

constexpr std::size_t mostServersTried = 3;
constexpr std::size_t longestKey = 256;
// Time left for the way back from the host that decides.
constexpr core::Millis forwardMargin{5};

constexpr int statusOk = 200;
constexpr int lowestClientError = 400;
constexpr int lowestServerError = 500;

std::string digestOf(const std::string &customer, const std::string &service,
                     const std::string &body)
{
    return core::sha256Hex(customer + "\n" + service + "\n" + body);
}

// Returns the outcome of one attempt, or nothing if the server certainly did not start it.
std::optional<Outcome> outcomeOf(ports::ServerResult &result)
{
    if (result.end == AttemptOutcome::Shed || result.end == AttemptOutcome::Draining
        || !result.sent)
        return std::nullopt;
    if (result.status == statusOk && result.end == AttemptOutcome::Answered)
        return Outcome{ResultCode::Ok, "", std::move(result.body)};
    const bool rejected = result.status >= lowestClientError && result.status < lowestServerError;
    if (rejected)
        return Outcome{ResultCode::ServerRejected, "status " + std::to_string(result.status), ""};
    return Outcome{ResultCode::OutcomeUnknown, "the server's answer did not arrive", ""};
}

} // namespace

RequestService::RequestService(HostState &host, AdmissionGate &gate, QueryService &queries,
                               ports::ServerChannel &channel, ports::PeerLink &peers,
                               ports::PlatformStore &platform)
    : m_host(host), m_gate(gate), m_queries(queries), m_channel(channel), m_peers(peers),
      m_platform(platform), m_recorded{*host.keys, {}, {}}
{
    const IssuerId own{host.keys->host(), host.keys->incarnation()};
    m_ledgers.emplace(own, LedgerState{*host.keys, {}, {}});
}

void RequestService::handle(const std::string &service, ports::CallerCall call, TimePoint now)
{
    auto shared = std::make_shared<ports::CallerCall>(std::move(call));
    const auto key = shared->request.header("idempotency-key");
    if (key.size() > longestKey)
        return shared->respond(answerFor(ResultCode::KeyMalformed, "a key has at most 256 bytes"));
    m_gate.pass(
        service, shared->request, now,
        [this, service, key, shared](const Admitted &admitted, TimePoint) {
            Work work{admitted.customer, service, key, std::move(shared->request.body),
                      admitted.deadline, false};
            ++m_running;
            run(work, [this, shared](const Outcome &outcome) {
                --m_running;
                shared->respond(answerFor(outcome));
            });
        },
        [shared](ports::HttpResponse response) { shared->respond(std::move(response)); });
}

void RequestService::handleForwarded(ports::RunRequest request, TimePoint now, Reply reply)
{
    Work work{std::move(request.customer), std::move(request.service), std::move(request.key),
              std::move(request.body),     now + request.timeLeft,     true};
    run(work, std::move(reply));
}

void RequestService::run(const Work &work, Reply reply)
{
    auto *service = m_queries.find(work.service);
    if (service == nullptr || service->sharded())
        return reply({ResultCode::UnknownService, work.service, ""});
    if (work.key.empty())
        return dispatch(work, {}, std::move(reply));
    if (const auto owned = policy::once::parseOwnedKey(work.key))
        return runOwned(work, *owned, std::move(reply));
    runRecorded(work, std::move(reply));
}

void RequestService::runOwned(const Work &work, const policy::once::OwnedKey &key, Reply reply)
{
    const auto ledger = m_ledgers.find({key.host, key.incarnation});
    if (ledger != m_ledgers.end()) {
        auto &state = ledger->second;
        const auto fits = state.issuer.check(key, work.customer);
        if (!fits.has_value())
            return reply({fits.error().code, fits.error().detail, ""});
        if (!decide(state, work, key.expiresAt, reply))
            return;
        return dispatch(work, {},
                        [this, issuer = ledger->first, name = work.key](const Outcome &outcome) {
                            complete(m_ledgers.at(issuer), name, outcome);
                        });
    }
    const auto decider = m_host.members.deciderOf(key.host, key.incarnation);
    if (work.forwarded || decider.empty() || decider == m_host.keys->host())
        return reply({ResultCode::IssuerGone, key.host, ""});
    forward(work, *m_host.members.find(decider), std::move(reply));
}

bool RequestService::decide(LedgerState &state, const Work &work, core::WallMillis expiresAt,
                            Reply &reply)
{
    const auto digest = digestOf(work.customer, work.service, work.body);
    switch (state.ledger.decide(work.key, digest, expiresAt, core::wallNow())) {
    case Verdict::Run:
        state.waiting.emplace(work.key, std::move(reply));
        return true;
    case Verdict::Join:
        state.waiting.emplace(work.key, std::move(reply));
        return false;
    case Verdict::Replay:
        reply(state.ledger.outcome(work.key));
        return false;
    case Verdict::OtherBody:
        reply({ResultCode::KeyReusedWithOtherBody, "", ""});
        return false;
    case Verdict::Expired:
        reply({ResultCode::KeyExpired, "", ""});
        return false;
    case Verdict::Sealed:
        reply({ResultCode::HostStopping, "the issuer is handing over", ""});
        return false;
    }
    return false;
}

void RequestService::complete(LedgerState &state, const std::string &key, const Outcome &outcome)
{
    state.ledger.complete(key, outcome);
    const auto range = state.waiting.equal_range(key);
    std::vector<Reply> replies;
    for (auto it = range.first; it != range.second; ++it)
        replies.push_back(std::move(it->second));
    state.waiting.erase(key);
    for (auto &it : replies)
        it(outcome);
}

void RequestService::forward(const Work &work, const policy::membership::Member &to, Reply reply)
{
    const auto left = std::chrono::floor<core::Millis>(work.deadline - core::Clock::now());
    if (left <= 2 * forwardMargin)
        return reply({ResultCode::DeadlineTooShort, "no time left to forward the request", ""});
    ports::RunRequest request{work.customer, work.service, work.key, work.body,
                              left - forwardMargin};
    m_peers.call(to.peersAddress, std::move(request), left,
                 [host = to.name, reply = std::move(reply)](ports::PeerResult result) {
                     if (result.end == ports::PeerEnd::Answered)
                         return reply(std::get<ports::RunAnswer>(std::move(result.answer)).outcome);
                     if (result.end == ports::PeerEnd::NotReached)
                         return reply({ResultCode::IssuerGone, host, ""});
                     reply({ResultCode::IssuerTimeout, host, ""});
                 });
}

void RequestService::dispatch(const Work &work, std::set<std::string> tried, Reply done)
{
    const auto now = core::Clock::now();
    auto &service = *m_queries.find(work.service);
    if (now >= work.deadline)
        return done({ResultCode::NoServerAvailable, "the deadline passed before dispatch", ""});
    const auto server = tried.size() < mostServersTried
        ? service.servers.pick(0, tried, std::nullopt, now)
        : std::nullopt;
    if (!server)
        return done({ResultCode::NoServerAvailable, "", ""});
    service.servers.onSent(*server);
    ports::ExecuteCall call{*server, service.servers.record(*server)->address, work.key,
                            work.deadline, work.body};
    m_channel.execute(std::move(call),
                      [this, work, tried = std::move(tried), id = *server, now,
                       done = std::move(done)](ports::ServerResult result) {
                          onDispatched(work, tried, id, now, std::move(result), done);
                      });
}

void RequestService::onDispatched(const Work &work, std::set<std::string> tried,
                                  const std::string &server, TimePoint sentAt,
                                  ports::ServerResult result, Reply done)
{
    auto &service = *m_queries.find(work.service);
    service.servers.onEnded(server, result.end, sentAt, core::Clock::now());
    auto outcome = outcomeOf(result);
    if (outcome)
        return done(std::move(*outcome));
    tried.insert(server);
    dispatch(work, std::move(tried), std::move(done));
}

void RequestService::runRecorded(const Work &work, Reply reply)
{
    const auto expiresAt = core::wallNow() + m_host.settings->callers.keyLifeMs.value;
    // Customers may choose the same key; the ledger keeps them apart.
    Work scoped = work;
    scoped.key = work.customer + "\n" + work.key;
    if (!decide(m_recorded, scoped, expiresAt, reply))
        return;
    const auto name =
        "once/" + core::sha256Hex(work.customer + "\n" + work.service + "\n" + work.key);
    writeRecord(work, name, expiresAt, [this, key = scoped.key](const Outcome &outcome) {
        complete(m_recorded, key, outcome);
    });
}

void RequestService::writeRecord(const Work &work, const std::string &name,
                                 core::WallMillis expiresAt, Reply done)
{
    RequestRecord record{m_host.keys->host(), m_host.keys->incarnation(),
                         digestOf(work.customer, work.service, work.body), expiresAt, std::nullopt};
    auto text = printRecord(record);
    m_platform.write(name, 0, text,
                     [this, work, name, text, done = std::move(done)](ports::WriteEnd end,
                                                                      std::uint64_t version) {
                         switch (end) {
                         case ports::WriteEnd::Written:
                             return judgeRecord(work, name, {version, text}, done);
                         case ports::WriteEnd::Refused:
                             return done({ResultCode::PlatformUnconfirmed, "", ""});
                         case ports::WriteEnd::Conflict:
                             return readRecord(work, name, false, done);
                         case ports::WriteEnd::Unknown:
                             return readRecord(work, name, true, done);
                         }
                     });
}

void RequestService::readRecord(const Work &work, const std::string &name, bool unconfirmed,
                                Reply done)
{
    m_platform.read(
        name,
        [this, work, name, unconfirmed,
         done = std::move(done)](core::Result<ports::StoredObject> object) {
            const bool found = object.has_value() && object.value().version != 0;
            if (!found && !unconfirmed && object.has_value())
                return done({ResultCode::PlatformUnconfirmed, "the record is gone", ""});
            if (!found)
                return done({ResultCode::PlatformUnconfirmed, "", ""});
            judgeRecord(work, name, object.value(), done);
        });
}

void RequestService::judgeRecord(const Work &work, const std::string &name,
                                 const ports::StoredObject &object, Reply done)
{
    const auto record = parseRecord(object.text);
    if (!record)
        return done({ResultCode::PlatformUnconfirmed, "the record cannot be read", ""});
    if (record->bodyDigest != digestOf(work.customer, work.service, work.body))
        return done({ResultCode::KeyReusedWithOtherBody, "", ""});
    if (record->outcome)
        return done(*record->outcome);
    const bool ours =
        record->host == m_host.keys->host() && record->incarnation == m_host.keys->incarnation();
    if (!ours) {
        const auto *owner = m_host.members.find(record->host);
        const bool lives = owner != nullptr && owner->incarnation == record->incarnation
            && owner->state != policy::membership::MemberState::Dead
            && owner->state != policy::membership::MemberState::Left;
        if (!lives || work.forwarded)
            return done({ResultCode::RecordedElsewhere, record->host, ""});
        return forward(work, *owner, std::move(done));
    }
    // After this time the ledger may have forgotten that the key ran.
    if (std::max(m_recorded.ledger.latest(), core::wallNow()) >= record->expiresAt)
        return done({ResultCode::KeyExpired, "", ""});
    dispatch(work, {}, [this, name, object, done = std::move(done)](const Outcome &outcome) {
        recordOutcome(name, object, outcome);
        done(outcome);
    });
}

void RequestService::recordOutcome(const std::string &name, const ports::StoredObject &object,
                                   const Outcome &outcome)
{
    // A refusal leaves the record as it is: this host may still run the key.
    if (core::infoOf(outcome.code).resultClass == core::ResultClass::RefusedNotRun)
        return;
    auto record = parseRecord(object.text);
    record->outcome = outcome;
    m_platform.write(name, object.version, printRecord(*record),
                     [](ports::WriteEnd, std::uint64_t) {});
}

bool RequestService::adopt(ports::AdoptRequest request)
{
    const IssuerId id{request.host, request.incarnation};
    auto [it, added] = m_ledgers.try_emplace(
        id, LedgerState{{request.host, request.incarnation, request.secret}, {}, {}});
    if (added)
        it->second.ledger.adopt(std::move(request.entries), request.latest);
    return true;
}

void RequestService::seal()
{
    for (auto &it : m_ledgers)
        it.second.ledger.seal();
}

std::vector<ports::AdoptRequest> RequestService::handover()
{
    std::vector<ports::AdoptRequest> requests;
    for (auto &it : m_ledgers) {
        auto &state = it.second;
        requests.push_back({state.issuer.host(), state.issuer.incarnation(), state.issuer.secret(),
                            state.ledger.seal(), state.ledger.latest()});
    }
    return requests;
}

void RequestService::expire(core::WallMillis now)
{
    for (auto &it : m_ledgers)
        it.second.ledger.expire(now);
    m_recorded.ledger.expire(now);
}

std::size_t RequestService::keys() const
{
    std::size_t n = m_recorded.ledger.size();
    for (const auto &it : m_ledgers)
        n += it.second.ledger.size();
    return n;
}

} // namespace goldcrestline::daemon::engine
