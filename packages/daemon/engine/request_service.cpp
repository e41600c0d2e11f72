#include "daemon/engine/request_service.h"

#include "core/hash.h"
#include "daemon/engine/request_record.h"
#include "daemon/engine/responses.h"

namespace goldcrestline::daemon::engine {

using core::ResultCode;
using core::TimePoint;
using policy::idempotency::KeyDecision;
using policy::idempotency::Outcome;
using policy::routing::AttemptOutcome;

namespace {

constexpr std::size_t maxServersTried = 3;
constexpr std::size_t maxKeyBytes = 256;
// Reserved for the response of the deciding host to travel back.
constexpr core::Millis forwardMargin{5};

constexpr int statusOk = 200;
constexpr int lowestClientError = 400;
constexpr int lowestServerError = 500;

std::string requestDigest(const std::string &customer, const std::string &service,
                          const std::string &body)
{
    return core::sha256Hex(customer + "\n" + service + "\n" + body);
}

// Returns the outcome of one attempt, or nothing if it is certain that the server did not start it.
std::optional<Outcome> toOutcome(ports::ServerResult &result)
{
    if (result.outcome == AttemptOutcome::Shed || result.outcome == AttemptOutcome::Draining
        || !result.sent)
        return std::nullopt;
    if (result.status == statusOk && result.outcome == AttemptOutcome::Answered)
        return Outcome{ResultCode::Ok, "", std::move(result.body)};
    const bool rejected = result.status >= lowestClientError && result.status < lowestServerError;
    if (rejected)
        return Outcome{ResultCode::ServerRejected, "status " + std::to_string(result.status), ""};
    return Outcome{ResultCode::OutcomeUnknown,
                   "no response from the server after the request was sent", ""};
}

} // namespace

RequestService::RequestService(HostState &host, AdmissionController &admission,
                               QueryService &queries, ports::ServerChannel &channel,
                               ports::PeerLink &peers, ports::PlatformStore &platform)
    : m_host(host), m_admission(admission), m_queries(queries), m_channel(channel), m_peers(peers),
      m_platform(platform), m_callerKeyLedger{*host.keys, {}, {}}, m_ownRecords(host, platform)
{
    const IssuerId own{host.keys->host(), host.keys->incarnation()};
    m_ledgers.emplace(own, LedgerState{*host.keys, {}, {}});
}

void RequestService::handle(const std::string &service, ports::CallerRequest call, TimePoint now)
{
    auto shared = std::make_shared<ports::CallerRequest>(std::move(call));
    const auto key = shared->request.header("idempotency-key");
    if (key.size() > maxKeyBytes) {
        return shared->respond(
            responseFor(ResultCode::KeyMalformed, "the idempotency key exceeds 256 bytes"));
    }
    m_admission.admit(
        service, shared->request, now,
        [this, service, key, shared](const AdmittedRequest &admitted, TimePoint) {
            PendingRequest request{admitted.customer, service, key, std::move(shared->request.body),
                                   admitted.deadline, false};
            ++m_running;
            execute(request, [this, shared](const Outcome &outcome) {
                --m_running;
                shared->respond(responseFor(outcome));
            });
        },
        [shared](ports::HttpResponse response) { shared->respond(std::move(response)); });
}

void RequestService::handleForwarded(ports::RunRequest message, TimePoint now, OutcomeHandler done)
{
    PendingRequest request{std::move(message.customer), std::move(message.service),
                           std::move(message.key),      std::move(message.body),
                           now + message.timeLeft,      true};
    execute(request, std::move(done));
}

void RequestService::execute(const PendingRequest &request, OutcomeHandler done)
{
    auto *service = m_queries.findService(request.service);
    if (service == nullptr || service->sharded())
        return done({ResultCode::UnknownService, request.service, ""});
    if (request.key.empty())
        return dispatch(request, {}, std::move(done));
    if (const auto owned = policy::idempotency::parseIssuedKey(request.key))
        return executeIssuedKey(request, *owned, std::move(done));
    executeCallerKey(request, std::move(done));
}

void RequestService::executeIssuedKey(const PendingRequest &request,
                                      const policy::idempotency::IssuedKey &key,
                                      OutcomeHandler done)
{
    const auto ledger = m_ledgers.find({key.host, key.incarnation});
    if (ledger != m_ledgers.end()) {
        auto &state = ledger->second;
        const auto valid = state.issuer.check(key, request.customer);
        if (!valid.has_value())
            return done({valid.error().code, valid.error().detail, ""});
        if (!decide(state, request, key.expiresAt, done))
            return;
        return dispatch(request, {},
                        [this, issuer = ledger->first, name = request.key](const Outcome &outcome) {
                            complete(m_ledgers.at(issuer), name, outcome);
                        });
    }
    const auto owner = m_host.members.keyOwner(key.host, key.incarnation);
    if (request.forwarded || owner.empty() || owner == m_host.keys->host())
        return done({ResultCode::IssuerGone, key.host, ""});
    forward(request, *m_host.members.find(owner), std::move(done));
}

bool RequestService::decide(LedgerState &state, const PendingRequest &request,
                            core::WallMillis expiresAt, OutcomeHandler &done)
{
    const auto digest = requestDigest(request.customer, request.service, request.body);
    switch (state.ledger.decide(request.key, digest, expiresAt, core::wallNow())) {
    case KeyDecision::Dispatch:
        state.waiters.emplace(request.key, std::move(done));
        return true;
    case KeyDecision::Join:
        state.waiters.emplace(request.key, std::move(done));
        return false;
    case KeyDecision::Replay:
        done(state.ledger.outcome(request.key));
        return false;
    case KeyDecision::BodyMismatch:
        done({ResultCode::KeyReusedWithOtherBody, "", ""});
        return false;
    case KeyDecision::Expired:
        done({ResultCode::KeyExpired, "", ""});
        return false;
    case KeyDecision::Sealed:
        done({ResultCode::HostStopping, "the issuing host is handing over its ledger", ""});
        return false;
    }
    return false;
}

void RequestService::complete(LedgerState &state, const std::string &key, const Outcome &outcome)
{
    state.ledger.complete(key, outcome);
    const auto range = state.waiters.equal_range(key);
    std::vector<OutcomeHandler> handlers;
    for (auto it = range.first; it != range.second; ++it)
        handlers.push_back(std::move(it->second));
    state.waiters.erase(key);
    for (auto &it : handlers)
        it(outcome);
}

void RequestService::forward(const PendingRequest &request, const policy::membership::Member &to,
                             OutcomeHandler done)
{
    const auto remaining = std::chrono::floor<core::Millis>(request.deadline - core::Clock::now());
    if (remaining <= 2 * forwardMargin) {
        return done({ResultCode::DeadlineTooShort,
                     "the remaining time is too short to forward the request", ""});
    }
    ports::RunRequest message{request.customer, request.service, request.key, request.body,
                              remaining - forwardMargin};
    m_peers.call(to.peersAddress, std::move(message), remaining,
                 [host = to.name, done = std::move(done)](ports::PeerResult result) {
                     if (result.outcome == ports::PeerOutcome::Answered) {
                         return done(
                             std::get<ports::RunResponse>(std::move(result.response)).outcome);
                     }
                     if (result.outcome == ports::PeerOutcome::NotReached)
                         return done({ResultCode::IssuerGone, host, ""});
                     done({ResultCode::IssuerTimeout, host, ""});
                 });
}

void RequestService::dispatch(const PendingRequest &request, std::set<std::string> tried,
                              OutcomeHandler done)
{
    const auto now = core::Clock::now();
    auto &service = *m_queries.findService(request.service);
    if (now >= request.deadline)
        return done({ResultCode::NoServerAvailable, "the deadline expired before dispatch", ""});
    const auto server = tried.size() < maxServersTried
        ? service.servers.pick(0, tried, std::nullopt, now)
        : std::nullopt;
    if (!server)
        return done({ResultCode::NoServerAvailable, "", ""});
    service.servers.onSent(*server);
    ports::ExecuteCall call{*server, service.servers.record(*server)->address, request.key,
                            request.deadline, request.body};
    m_channel.execute(std::move(call),
                      [this, request, tried = std::move(tried), id = *server, now,
                       done = std::move(done)](ports::ServerResult result) {
                          onServerResult(request, tried, id, now, std::move(result), done);
                      });
}

void RequestService::onServerResult(const PendingRequest &request, std::set<std::string> tried,
                                    const std::string &server, TimePoint sentAt,
                                    ports::ServerResult result, OutcomeHandler done)
{
    auto &service = *m_queries.findService(request.service);
    service.servers.onEnded(server, result.outcome, sentAt, core::Clock::now());
    auto outcome = toOutcome(result);
    if (outcome)
        return done(std::move(*outcome));
    tried.insert(server);
    dispatch(request, std::move(tried), std::move(done));
}

void RequestService::executeCallerKey(const PendingRequest &request, OutcomeHandler done)
{
    if (m_ownRecords.mayMissRecords(core::Clock::now())) {
        return done({ResultCode::PlatformUnconfirmed,
                     "the store was restored and may lack the record of an earlier run", ""});
    }
    const auto expiresAt = core::wallNow() + m_host.settings->callers.keyLifeMs.value;
    // Different customers may choose the same key, so the ledger's key includes the customer.
    PendingRequest scoped = request;
    scoped.key = request.customer + "\n" + request.key;
    if (!decide(m_callerKeyLedger, scoped, expiresAt, done))
        return;
    const auto name =
        "once/" + core::sha256Hex(request.customer + "\n" + request.service + "\n" + request.key);
    writeRecord(request, name, expiresAt, [this, key = scoped.key](const Outcome &outcome) {
        complete(m_callerKeyLedger, key, outcome);
    });
}

void RequestService::writeRecord(const PendingRequest &request, const std::string &name,
                                 core::WallMillis expiresAt, OutcomeHandler done)
{
    RequestRecord record{m_host.keys->host(), m_host.keys->incarnation(),
                         requestDigest(request.customer, request.service, request.body), expiresAt,
                         std::nullopt};
    auto text = serializeRecord(record);
    m_platform.write(name, {}, text,
                     [this, request, name, text, done = std::move(done)](ports::WriteOutcome end,
                                                                         core::Version version) {
                         switch (end) {
                         case ports::WriteOutcome::Written:
                             return evaluateRecord(request, name, {version, text}, done);
                         case ports::WriteOutcome::Refused:
                             return done({ResultCode::PlatformUnconfirmed, "", ""});
                         case ports::WriteOutcome::Conflict:
                             return readRecord(request, name, false, done);
                         case ports::WriteOutcome::Unknown:
                             return readRecord(request, name, true, done);
                         }
                     });
}

void RequestService::readRecord(const PendingRequest &request, const std::string &name,
                                bool writeUnconfirmed, OutcomeHandler done)
{
    m_platform.read(name,
                    [this, request, name, writeUnconfirmed,
                     done = std::move(done)](core::Result<ports::StoredObject> object) {
                        const bool found = object.has_value() && object.value().exists();
                        if (!found && !writeUnconfirmed && object.has_value()) {
                            return done({ResultCode::PlatformUnconfirmed,
                                         "the request record no longer exists", ""});
                        }
                        if (!found)
                            return done({ResultCode::PlatformUnconfirmed, "", ""});
                        evaluateRecord(request, name, object.value(), done);
                    });
}

void RequestService::evaluateRecord(const PendingRequest &request, const std::string &name,
                                    const ports::StoredObject &object, OutcomeHandler done)
{
    const auto record = parseRecord(object.text);
    if (!record)
        return done({ResultCode::PlatformUnconfirmed, "the request record cannot be parsed", ""});
    if (record->bodyDigest != requestDigest(request.customer, request.service, request.body))
        return done({ResultCode::KeyReusedWithOtherBody, "", ""});
    if (record->outcome)
        return done(*record->outcome);
    const bool recordedByThisHost =
        record->host == m_host.keys->host() && record->incarnation == m_host.keys->incarnation();
    if (!recordedByThisHost) {
        const auto *owner = m_host.members.find(record->host);
        const bool ownerReachable = owner != nullptr && owner->incarnation == record->incarnation
            && owner->state != policy::membership::MemberState::Dead
            && owner->state != policy::membership::MemberState::Left;
        if (!ownerReachable || request.forwarded)
            return done({ResultCode::RecordedElsewhere, record->host, ""});
        return forward(request, *owner, std::move(done));
    }
    // After its expiry the ledger may have removed the key, and with it the fact that it ran.
    if (std::max(m_callerKeyLedger.ledger.latestTime(), core::wallNow()) >= record->expiresAt)
        return done({ResultCode::KeyExpired, "", ""});
    if (m_ownRecords.mayMissRecords(core::Clock::now())) {
        return done({ResultCode::PlatformUnconfirmed,
                     "the store was restored and may lack the record of an earlier run", ""});
    }
    m_ownRecords.remember(name, object.text, record->expiresAt);
    dispatch(request, {}, [this, name, object, done = std::move(done)](const Outcome &outcome) {
        storeOutcome(name, object, outcome);
        done(outcome);
    });
}

void RequestService::storeOutcome(const std::string &name, const ports::StoredObject &object,
                                  const Outcome &outcome)
{
    // A rejected request did not run: the record stays without outcome, so that this host may still
    // run the key.
    if (core::infoOf(outcome.code).resultClass == core::ResultClass::RefusedNotRun)
        return;
    auto record = parseRecord(object.text);
    record->outcome = outcome;
    auto text = serializeRecord(*record);
    m_ownRecords.remember(name, text, record->expiresAt);
    m_platform.write(name, object.version, std::move(text),
                     [](ports::WriteOutcome, core::Version) {});
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
                            state.ledger.seal(), state.ledger.latestTime()});
    }
    return requests;
}

void RequestService::expire(core::WallMillis now)
{
    for (auto &it : m_ledgers)
        it.second.ledger.expire(now);
    m_callerKeyLedger.ledger.expire(now);
    m_ownRecords.expire(now);
}

std::size_t RequestService::keys() const
{
    std::size_t n = m_callerKeyLedger.ledger.size();
    for (const auto &it : m_ledgers)
        n += it.second.ledger.size();
    return n;
}

} // namespace goldcrestline::daemon::engine
