#include "policy/forward/backend_table.h"

#include <algorithm>
#include <cmath>

namespace goldcrestline::policy::forward {

using core::TimePoint;

namespace {

// Weights of a new sample in the exponential moving averages.
constexpr double latencySampleWeight = 0.3;
constexpr double typicalSampleWeight = 0.05;
constexpr double failureSampleWeight = 0.25;
// Low, since a single refusal may be due to a momentary load peak of the server.
constexpr double refusalSampleWeight = 0.12;
// A server counts as stalled when its oldest attempt in flight exceeds the expected latency by this
// factor plus the margin.
constexpr double stallFactor = 2.5;
constexpr double stallMarginMs = 8;
// Penalty of a stalled server, in ms: about the remainder of a pause of 100 ms.
constexpr double stallBasePenaltyMs = 60;
// Half-life of a load report: the minimum, and as a multiple of the server's processing time.
constexpr double reportHalfLifeMs = 100;
constexpr double reportProcessingFactor = 2;
// Relative spread of the random jitter that keeps hosts from all selecting the same server.
constexpr double costJitter = 0.2;
constexpr double millisPerSecond = 1000;
// Range of the reported time of work, in hundredths of the usual one. Values outside are faults of
// the server.
constexpr int minSpeedPercent = 10;
constexpr int maxSpeedPercent = 2000;
constexpr double usualSpeedPercent = 100;

double decayFactor(double elapsedMs, double halfLifeMs)
{
    return std::exp2(-elapsedMs / halfLifeMs);
}

} // namespace

double DecayingRate::at(TimePoint now, core::Duration halfLife) const
{
    return value * decayFactor(core::toMillis(now - updatedAt), core::toMillis(halfLife));
}

void DecayingRate::add(bool occurred, double weight, TimePoint now, core::Duration halfLife)
{
    const double before = at(now, halfLife);
    value = before + weight * ((occurred ? 1 : 0) - before);
    updatedAt = now;
}

BackendTable::BackendTable(std::string zone, PlacementParameters parameters,
                           std::function<int(const std::string &)> connectionLimit,
                           std::function<double()> random)
    : m_zone(std::move(zone)), m_parameters(parameters),
      m_connectionLimit(std::move(connectionLimit)), m_random(std::move(random))
{ }

void BackendTable::put(const BackendRecord &record)
{
    const auto it = m_byId.find(record.id);
    if (it != m_byId.end()) {
        auto &old = it->second->record;
        const bool same = old.startedAt == record.startedAt && old.address == record.address
            && old.service == record.service;
        if (same) {
            // A server that reported itself as leaving stays so until it restarts.
            const bool leaving = old.leaving || record.leaving;
            old = record;
            old.leaving = leaving;
            setMissing(*it->second, false);
            return;
        }
        remove(record.id);
    }
    auto backend = std::make_shared<Backend>();
    backend->record = record;
    backend->record.leaving = record.leaving || isKnownAsLeaving(record);
    m_byId[record.id] = backend;
    m_services[record.service].backends.push_back(std::move(backend));
}

void BackendTable::remove(const std::string &id)
{
    const auto it = m_byId.find(id);
    if (it == m_byId.end())
        return;
    it->second->listed = false;
    setMissing(*it->second, false);
    std::erase(m_services[it->second->record.service].backends, it->second);
    m_byId.erase(it);
}

void BackendTable::setMissing(const std::string &id, bool missing)
{
    const auto it = m_byId.find(id);
    if (it != m_byId.end())
        setMissing(*it->second, missing);
}

void BackendTable::setMissing(Backend &backend, bool missing)
{
    if (backend.missing == missing)
        return;
    backend.missing = missing;
    auto &count = m_services[backend.record.service].missing;
    missing ? ++count : --count;
}

std::vector<std::string> BackendTable::ids() const
{
    std::vector<std::string> out;
    out.reserve(m_byId.size());
    for (const auto &it : m_byId)
        out.push_back(it.first);
    return out;
}

std::vector<std::string> BackendTable::sampleAddresses(const std::string &exclude,
                                                       std::size_t limit, TimePoint now) const
{
    std::vector<const Backend *> others;
    for (const auto &it : m_byId) {
        if (it.second->record.address != exclude)
            others.push_back(it.second.get());
    }
    for (std::size_t i = 0; i + 1 < others.size(); ++i) {
        const auto rest = static_cast<double>(others.size() - i);
        std::swap(others[i], others[i + static_cast<std::size_t>(m_random() * rest)]);
    }
    std::stable_partition(others.begin(), others.end(), [&](const Backend *it) {
        return it->consecutiveFailures == 0 && usable(m_services.at(it->record.service), *it, now);
    });
    std::vector<std::string> out;
    for (std::size_t i = 0; i < std::min(limit, others.size()); ++i)
        out.push_back(others[i]->record.address);
    return out;
}

std::vector<std::string> BackendTable::overdue(TimePoint since) const
{
    std::vector<std::string> out;
    for (const auto &it : m_byId) {
        const auto &pending = it.second->pending;
        if (!pending.empty() && pending.front() <= since)
            out.push_back(it.first);
    }
    return out;
}

void BackendTable::resetMeasurements()
{
    for (auto &service : m_services) {
        service.second.typicalMs = 0;
        service.second.typicalProcessingMs = 0;
        for (const auto &it : service.second.backends) {
            it->latencyMs = 0;
            it->processingMs = 0;
            it->slowdown = 1;
            it->failures = {};
            it->refusals = {};
            it->consecutiveFailures = 0;
            it->ejectedUntil = {};
        }
    }
}

const BackendTable::Service *BackendTable::find(const std::string &service) const
{
    const auto it = m_services.find(service);
    return it == m_services.end() ? nullptr : &it->second;
}

bool BackendTable::usable(const Service &service, const Backend &backend, TimePoint now) const
{
    if (m_evacuated.contains(backend.record.zone))
        return false;
    if (backend.missing && 2 * service.missing <= service.backends.size())
        return false;
    return backend.listed && !backend.record.leaving && backend.ejectedUntil <= now
        && backend.restUntil <= now;
}

bool BackendTable::isZoneAdmitted(const Service &service, const Backend &backend,
                                  TimePoint now) const
{
    if (m_evacuated.admits(backend.record.zone, now))
        return true;
    // Requests that no server of another zone can run do not wait for the traffic to return.
    return std::none_of(
        service.backends.begin(), service.backends.end(), [&](const BackendPtr &it) {
            return it->record.zone != backend.record.zone && usable(service, *it, now);
        });
}

bool BackendTable::hasCapacity(const Service &service, const Backend &backend, TimePoint now) const
{
    if (backend.backoffUntil > now || !isZoneAdmitted(service, backend, now))
        return false;
    if (backend.limit && !backend.limit->allows(m_limitShare, now))
        return false;
    if (!backend.warmup.allows(now))
        return false;
    const bool rested = backend.restUntil != TimePoint{};
    if (rested && now < backend.restUntil + m_parameters.restRampUp)
        return backend.pending.empty();
    const int share = m_connectionLimit(backend.record.service);
    // Requests in excess of the slots would only queue at the server.
    const int limit = std::min(share, std::max(backend.record.slots, 2));
    return static_cast<int>(backend.pending.size()) < std::max(limit, 1);
}

// Returns the remaining weight, 0 to 1, of the server's last sample.
double BackendTable::lastSampleWeight(const Backend &backend, TimePoint now) const
{
    return decayFactor(core::toMillis(now - backend.sampledAt),
                       core::toMillis(m_parameters.latencyHalfLife));
}

double BackendTable::expectedMs(const Service &service, const Backend &backend, TimePoint now) const
{
    const double typical =
        service.typicalMs > 0 ? service.typicalMs : m_parameters.defaultLatencyMs;
    if (backend.latencyMs <= 0)
        return typical;
    const double weight = lastSampleWeight(backend, now);
    return weight * backend.latencyMs + (1 - weight) * typical;
}

double BackendTable::slowdown(const Backend &backend, TimePoint now) const
{
    if (backend.slowdown == 1)
        return 1;
    return 1
        + (backend.slowdown - 1)
        * decayFactor(core::toMillis(now - backend.reportedAt),
                      core::toMillis(m_parameters.slowdownHalfLife));
}

double BackendTable::requestsPerSlot(const Backend &backend, TimePoint now) const
{
    // The longer the processing time, the more slowly the server's queue changes.
    const double halfLifeMs =
        std::max(reportHalfLifeMs, reportProcessingFactor * backend.processingMs);
    const double excess =
        backend.otherHostsLoad * decayFactor(core::toMillis(now - backend.reportedAt), halfLifeMs);
    return (static_cast<double>(backend.pending.size()) + excess)
        / std::max(backend.record.slots, 1);
}

// Returns the expected delay, in ms, at a server that counts as stalled; 0 at any other.
double BackendTable::stallPenaltyMs(const Backend &backend, double expectedMs, TimePoint now) const
{
    if (backend.pending.empty())
        return 0;
    const double age = core::toMillis(now - backend.pending.front());
    return age > stallFactor * expectedMs + stallMarginMs ? stallBasePenaltyMs + age : 0;
}

double BackendTable::typicalProcessingMs(const Service &service, TimePoint now) const
{
    const double excess = service.typicalProcessingMs - m_parameters.defaultLatencyMs;
    if (service.typicalProcessingMs <= 0)
        return m_parameters.defaultLatencyMs;
    if (excess <= 0)
        return service.typicalProcessingMs;
    return m_parameters.defaultLatencyMs
        + excess
        * decayFactor(core::toMillis(now - service.processingSampledAt),
                      core::toMillis(m_parameters.typicalHalfLife));
}

LatencyEstimate BackendTable::estimateAt(const Service &service, const Backend &backend,
                                         TimePoint now) const
{
    const double typical = typicalProcessingMs(service, now);
    const double weight = backend.processingMs > 0 ? lastSampleWeight(backend, now) : 0;
    LatencyEstimate out;
    out.processingMs =
        (weight * backend.processingMs + (1 - weight) * typical) * slowdown(backend, now);
    // Without a free slot, a request starts when the requests ahead of it have released one.
    const double slots = std::max(backend.record.slots, 1);
    const double rounds = std::max(0.0, requestsPerSlot(backend, now) - 1 + 1 / slots);
    const double response = out.processingMs * (1 + rounds);
    out.responseMs = response + stallPenaltyMs(backend, response, now) + limitWaitMs(backend, now);
    return out;
}

double BackendTable::limitWaitMs(const Backend &backend, TimePoint now) const
{
    return std::max(backend.limit ? backend.limit->waitMs(m_limitShare, now) : 0,
                    backend.warmup.waitMs(now));
}

std::optional<double> BackendTable::limitPerSecond(const Backend &backend, TimePoint now) const
{
    const auto warmup = backend.warmup.perSecond(now);
    if (!backend.limit)
        return warmup;
    const double limit = backend.limit->perSecond(m_limitShare);
    return warmup ? std::min(limit, *warmup) : limit;
}

void BackendTable::setWarmupRates(std::map<std::string, double> perSecond, TimePoint now)
{
    m_warmupRates = std::move(perSecond);
    for (const auto &it : m_byId) {
        if (const auto left = it.second->warmup.left(now); left > core::Millis(0))
            startWarmup(*it.second, left, now);
    }
}

void BackendTable::setWarmupShare(const WarmupShare &share, TimePoint now)
{
    m_warmupShare = share;
    if (!anyCold(now))
        return;
    for (const auto &it : m_byId)
        it.second->warmup.setShare(share, now);
}

void BackendTable::setWarmup(const std::string &id, core::Millis left, TimePoint now)
{
    const auto it = m_byId.find(id);
    // The server's own response is newer than its entry.
    if (it != m_byId.end() && !it->second->warmup.reportedRecently(now))
        startWarmup(*it->second, left, now);
}

void BackendTable::onWarmupReport(Backend &backend, core::Millis left, TimePoint now)
{
    backend.warmup.onReport(now);
    startWarmup(backend, left, now);
}

void BackendTable::startWarmup(Backend &backend, core::Millis left, TimePoint now)
{
    const auto rate = m_warmupRates.find(backend.record.service);
    const double perSecond = rate == m_warmupRates.end() ? 0 : rate->second;
    backend.warmup.set(left, perSecond, m_warmupShare, m_random, now);
    if (perSecond > 0)
        m_coldUntil = std::max(m_coldUntil, now + left);
}

std::optional<LatencyEstimate>
BackendTable::estimateLatency(const std::string &service, std::size_t waiting, TimePoint now) const
{
    const auto *found = find(service);
    std::optional<LatencyEstimate> best;
    if (found == nullptr)
        return best;
    std::size_t inFlight = 0;
    bool limited = true;
    double totalLimit = 0;
    for (const auto &it : found->backends) {
        if (!usable(*found, *it, now))
            continue;
        inFlight += it->pending.size();
        const auto limit = limitPerSecond(*it, now);
        limited = limited && limit;
        totalLimit += limit.value_or(0);
        const auto candidate = estimateAt(*found, *it, now);
        if (!best || candidate.responseMs < best->responseMs)
            best = candidate;
    }
    // The wait queue advances by one request with each response to this host's requests in flight.
    if (best && waiting > 0) {
        const auto rounds =
            static_cast<double>(waiting) / static_cast<double>(std::max<std::size_t>(inFlight, 1));
        best->responseMs *= 1 + rounds;
        if (limited)
            best->responseMs += millisPerSecond * static_cast<double>(waiting) / totalLimit;
    }
    return best;
}

double BackendTable::cost(const Service &service, const Backend &backend, TimePoint now) const
{
    const double latency = expectedMs(service, backend, now) * slowdown(backend, now);
    double total = latency * (1 + requestsPerSlot(backend, now));
    if (backend.record.zone != m_zone)
        total += m_parameters.crossZonePenaltyMs;
    total += backend.failures.at(now, m_parameters.failureHalfLife) * m_parameters.failurePenaltyMs;
    // Squared, since a busy server refuses a few requests in normal operation, while frequent
    // refusals use up the retry budget.
    const double refused = backend.refusals.at(now, m_parameters.refusalHalfLife);
    total += refused * refused * m_parameters.refusalPenaltyMs;
    total += stallPenaltyMs(backend, latency, now);
    return total * (1 + costJitter * (m_random() - 0.5));
}

BackendPtr BackendTable::pick(const std::string &service, const std::vector<BackendPtr> &exclude,
                              TimePoint now) const
{
    const auto *found = find(service);
    if (found == nullptr)
        return nullptr;
    BackendPtr best;
    double bestCost = 0;
    for (const auto &it : found->backends) {
        if (!usable(*found, *it, now) || !hasCapacity(*found, *it, now))
            continue;
        if (std::find(exclude.begin(), exclude.end(), it) != exclude.end())
            continue;
        const double candidateCost = cost(*found, *it, now);
        if (!best || candidateCost < bestCost) {
            best = it;
            bestCost = candidateCost;
        }
    }
    return best;
}

bool BackendTable::hasUsable(const std::string &service, const std::vector<BackendPtr> &exclude,
                             TimePoint now) const
{
    const auto *found = find(service);
    if (found == nullptr)
        return false;
    return std::any_of(found->backends.begin(), found->backends.end(), [&](const BackendPtr &it) {
        return usable(*found, *it, now)
            && std::find(exclude.begin(), exclude.end(), it) == exclude.end();
    });
}

int BackendTable::countAvailable(const std::string &service, TimePoint now) const
{
    const auto *found = find(service);
    if (found == nullptr)
        return 0;
    return static_cast<int>(
        std::count_if(found->backends.begin(), found->backends.end(), [&](const BackendPtr &it) {
            return usable(*found, *it, now) && hasCapacity(*found, *it, now);
        }));
}

void BackendTable::onSent(Backend &backend, TimePoint now)
{
    backend.pending.push_back(now);
    if (backend.limit)
        backend.limit->onSent(m_limitShare, now);
    backend.warmup.onSent(now);
}

void BackendTable::onEnded(Backend &backend, AttemptOutcome outcome, TimePoint sentAt,
                           TimePoint now)
{
    const auto it = std::find(backend.pending.begin(), backend.pending.end(), sentAt);
    if (it != backend.pending.end())
        backend.pending.erase(it);
    auto &service = m_services[backend.record.service];
    const double latency = core::toMillis(now - sentAt);
    switch (outcome) {
    case AttemptOutcome::Answered:
        backend.failures.add(false, failureSampleWeight, now, m_parameters.failureHalfLife);
        backend.refusals.add(false, refusalSampleWeight, now, m_parameters.refusalHalfLife);
        backend.consecutiveFailures = 0;
        updateProcessingTime(service, backend, latency / slowdown(backend, now), now);
        updateLatency(service, backend, latency / slowdown(backend, now), now);
        return;
    case AttemptOutcome::Refused:
        backend.backoffUntil = now + m_parameters.refusalBackoff;
        backend.refusals.add(true, refusalSampleWeight, now, m_parameters.refusalHalfLife);
        return;
    case AttemptOutcome::Misdirected:
        backend.warmup.onNotCounted();
        backend.listed = false;
        return;
    case AttemptOutcome::Failed:
        recordFailure(backend, now, 1);
        return;
    case AttemptOutcome::NotReached:
        recordFailure(backend, now, m_parameters.ejectionThreshold);
        return;
    case AttemptOutcome::TimedOut:
        updateLatency(service, backend, latency / slowdown(backend, now), now);
        recordFailure(backend, now, 1);
        return;
    case AttemptOutcome::Cancelled:
        return;
    }
}

void BackendTable::recordFailure(Backend &backend, TimePoint now, int weight)
{
    backend.failures.add(true, failureSampleWeight, now, m_parameters.failureHalfLife);
    backend.consecutiveFailures += weight;
    if (backend.consecutiveFailures < m_parameters.ejectionThreshold)
        return;
    const int doublings = std::min((backend.consecutiveFailures - m_parameters.ejectionThreshold)
                                       / m_parameters.ejectionThreshold,
                                   4);
    const auto time =
        std::min(m_parameters.maxEjection, m_parameters.initialEjection * (1 << doublings));
    backend.ejectedUntil = now + time;
}

void BackendTable::updateProcessingTime(Service &service, Backend &backend, double latencyMs,
                                        TimePoint now)
{
    // Assumes that the request queued behind as many others as are queued now.
    const double processing = latencyMs / (1 + backend.reportedQueuePerSlot);
    if (service.typicalProcessingMs <= 0)
        service.typicalProcessingMs = processing;
    if (backend.processingMs <= 0)
        backend.processingMs = processing;
    const double weight = lastSampleWeight(backend, now);
    const double before =
        weight * backend.processingMs + (1 - weight) * service.typicalProcessingMs;
    backend.processingMs = before + latencySampleWeight * (processing - before);
    service.typicalProcessingMs += typicalSampleWeight * (processing - service.typicalProcessingMs);
    service.processingSampledAt = now;
}

void BackendTable::updateLatency(Service &service, Backend &backend, double latencyMs,
                                 TimePoint now)
{
    if (backend.latencyMs <= 0) {
        backend.latencyMs = latencyMs;
    } else {
        // The average decays with its age, since the server may have recovered meanwhile.
        const double before = expectedMs(service, backend, now);
        backend.latencyMs = before + latencySampleWeight * (latencyMs - before);
    }
    backend.sampledAt = now;
    if (service.typicalMs <= 0) {
        service.typicalMs = latencyMs;
        return;
    }
    service.typicalMs += typicalSampleWeight * (latencyMs - service.typicalMs);
}

void BackendTable::onLoadReport(Backend &backend, int running, int waiting, int slots,
                                TimePoint now, std::optional<int> speedPercent)
{
    const int own = static_cast<int>(backend.pending.size());
    backend.otherHostsLoad = std::max(0, running + waiting - own);
    backend.reportedQueuePerSlot = static_cast<double>(waiting) / std::max(slots, 1);
    backend.reportedAt = now;
    backend.slowdown = !speedPercent || *speedPercent <= 0
        ? 1
        : std::clamp(*speedPercent, minSpeedPercent, maxSpeedPercent) / usualSpeedPercent;
    if (slots > 0)
        backend.record.slots = slots;
}

bool BackendTable::isKnownAsLeaving(const BackendRecord &record) const
{
    const auto it = m_leaving.find(record.id);
    return it != m_leaving.end() && it->second.startedAt == record.startedAt;
}

bool BackendTable::noteLeaving(const routing::LeavingNote &note, TimePoint now)
{
    std::erase_if(m_leaving, [&](const auto &it) {
        return now - it.second.notedAt > m_parameters.leavingRetention;
    });
    const auto [known, added] =
        m_leaving.try_emplace(note.serverId, LeavingProcess{note.startedAt, now});
    if (!added && known->second.startedAt >= note.startedAt)
        return false;
    known->second = {note.startedAt, now};
    const auto it = m_byId.find(note.serverId);
    if (it != m_byId.end() && it->second->record.startedAt == note.startedAt)
        it->second->record.leaving = true;
    return true;
}

std::vector<routing::LeavingNote> BackendTable::recentLeavingNotes(TimePoint now) const
{
    std::vector<routing::LeavingNote> notes;
    for (const auto &it : m_leaving) {
        if (now - it.second.notedAt <= m_parameters.leavingNewsPeriod)
            notes.push_back({it.first, it.second.startedAt});
    }
    return notes;
}

void BackendTable::onRestRequested(Backend &backend, core::Duration time, TimePoint now)
{
    const auto spread =
        std::min(m_parameters.maxRestSpread,
                 std::chrono::duration_cast<core::Duration>(time * m_parameters.restSpreadShare));
    const auto until = now + time + std::chrono::duration_cast<core::Duration>(spread * m_random());
    backend.restUntil = std::max(backend.restUntil, until);
}

bool BackendTable::onLimitReport(Backend &backend, std::optional<double> fleetPerSecond,
                                 TimePoint now)
{
    const bool changed = fleetPerSecond.has_value() != backend.limit.has_value();
    if (!fleetPerSecond) {
        backend.limit.reset();
    } else if (backend.limit) {
        backend.limit->setRate(*fleetPerSecond, m_limitShare, now);
    } else {
        backend.limit.emplace(*fleetPerSecond, now);
    }
    return changed;
}

std::optional<TimePoint> BackendTable::availableAgainAt(const std::string &service,
                                                        TimePoint now) const
{
    const auto *found = find(service);
    std::optional<TimePoint> earliest;
    if (found == nullptr)
        return earliest;
    for (const auto &it : found->backends) {
        const auto at = std::max(it->restUntil, it->ejectedUntil);
        if (it->listed && !it->record.leaving && at > now && (!earliest || at < *earliest))
            earliest = at;
    }
    return earliest;
}

} // namespace goldcrestline::policy::forward
