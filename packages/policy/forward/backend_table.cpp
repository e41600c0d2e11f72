#include "policy/forward/backend_table.h"

#include <algorithm>
#include <cmath>

namespace goldcrestline::policy::forward {

using core::TimePoint;

namespace {

// Weight of one new sample in the moving averages.
constexpr double sampleWeight = 0.3;
constexpr double typicalWeight = 0.05;
constexpr double failureWeight = 0.25;
// A single refusal says little: the server may have been full for a moment.
constexpr double refusalWeight = 0.12;
// An attempt that takes this many times the usual latency marks its server as stalled.
constexpr double stallFactor = 2.5;
constexpr double stallFloorMs = 8;
// Cost of a stalled server, in ms: about the rest of a pause of 100 ms.
constexpr double stallCostMs = 60;
// Time in which a reported load loses half its weight, at least and as a multiple of the time that
// the server takes for a request.
constexpr double reportHalfLifeMs = 100;
constexpr double reportWorkFactor = 2;
// Spread of the random factor that keeps hosts from choosing alike.
constexpr double costJitter = 0.2;

double halving(double elapsedMs, double halfLifeMs)
{
    return std::exp2(-elapsedMs / halfLifeMs);
}

} // namespace

double AgingShare::at(TimePoint now, core::Duration halfLife) const
{
    return value * halving(core::toMillis(now - knownAt), core::toMillis(halfLife));
}

void AgingShare::add(bool had, double weight, TimePoint now, core::Duration halfLife)
{
    const double before = at(now, halfLife);
    value = before + weight * ((had ? 1 : 0) - before);
    knownAt = now;
}

BackendTable::BackendTable(std::string zone, PlacementLimits limits,
                           std::function<int(const std::string &)> connectionShare,
                           std::function<double()> random)
    : m_zone(std::move(zone)), m_limits(limits), m_connectionShare(std::move(connectionShare)),
      m_random(std::move(random))
{ }

void BackendTable::put(const BackendRecord &record)
{
    const auto it = m_byId.find(record.id);
    if (it != m_byId.end()) {
        auto &old = it->second->record;
        const bool same = old.startedAt == record.startedAt && old.address == record.address
            && old.service == record.service;
        if (same) {
            // A server that said it is leaving stays so until it starts anew.
            const bool leaving = old.leaving || record.leaving;
            old = record;
            old.leaving = leaving;
            return;
        }
        remove(record.id);
    }
    auto backend = std::make_shared<Backend>();
    backend->record = record;
    m_byId[record.id] = backend;
    m_services[record.service].backends.push_back(std::move(backend));
}

void BackendTable::remove(const std::string &id)
{
    const auto it = m_byId.find(id);
    if (it == m_byId.end())
        return;
    it->second->listed = false;
    std::erase(m_services[it->second->record.service].backends, it->second);
    m_byId.erase(it);
}

std::vector<std::string> BackendTable::ids() const
{
    std::vector<std::string> out;
    out.reserve(m_byId.size());
    for (const auto &it : m_byId)
        out.push_back(it.first);
    return out;
}

const BackendTable::Service *BackendTable::find(const std::string &service) const
{
    const auto it = m_services.find(service);
    return it == m_services.end() ? nullptr : &it->second;
}

bool BackendTable::usable(const Backend &backend, TimePoint now) const
{
    return backend.listed && !backend.record.leaving && backend.ejectedUntil <= now;
}

bool BackendTable::hasRoom(const Backend &backend, TimePoint now) const
{
    if (backend.fullUntil > now)
        return false;
    const int share = m_connectionShare(backend.record.service);
    // More requests than slots at one server would only wait there.
    const int limit = std::min(share, std::max(backend.record.slots, 2));
    return static_cast<int>(backend.pending.size()) < std::max(limit, 1);
}

// Returns the weight, 0 to 1, that the server's last sample still has.
double BackendTable::sampleAge(const Backend &backend, TimePoint now) const
{
    return halving(core::toMillis(now - backend.sampledAt),
                   core::toMillis(m_limits.sampleHalfLife));
}

double BackendTable::expectedMs(const Service &service, const Backend &backend, TimePoint now) const
{
    const double typical = service.typicalMs > 0 ? service.typicalMs : m_limits.unknownLatencyMs;
    if (backend.latencyMs <= 0)
        return typical;
    const double weight = sampleAge(backend, now);
    return weight * backend.latencyMs + (1 - weight) * typical;
}

double BackendTable::queuedPerSlot(const Backend &backend, TimePoint now) const
{
    // The queue of a slow server changes as slowly as it works.
    const double halfLifeMs = std::max(reportHalfLifeMs, reportWorkFactor * backend.workMs);
    const double excess =
        backend.reportedExcess * halving(core::toMillis(now - backend.reportedAt), halfLifeMs);
    return (static_cast<double>(backend.pending.size()) + excess)
        / std::max(backend.record.slots, 1);
}

// Returns the time lost at a server whose oldest request takes far longer than expected.
double BackendTable::stallMs(const Backend &backend, double expectedMs, TimePoint now) const
{
    if (backend.pending.empty())
        return 0;
    const double age = core::toMillis(now - backend.pending.front());
    return age > stallFactor * expectedMs + stallFloorMs ? stallCostMs + age : 0;
}

Outlook BackendTable::outlookAt(const Service &service, const Backend &backend, TimePoint now) const
{
    const double typical =
        service.typicalWorkMs > 0 ? service.typicalWorkMs : m_limits.unknownLatencyMs;
    const double weight = backend.workMs > 0 ? sampleAge(backend, now) : 0;
    Outlook out;
    out.workMs = weight * backend.workMs + (1 - weight) * typical;
    // A request starts at once while a slot is free, and else when those before it left one free.
    const double slots = std::max(backend.record.slots, 1);
    const double rounds = std::max(0.0, queuedPerSlot(backend, now) - 1 + 1 / slots);
    const double answer = out.workMs * (1 + rounds);
    out.answerMs = answer + stallMs(backend, answer, now);
    return out;
}

std::optional<Outlook> BackendTable::estimateLatency(const std::string &service,
                                                     std::size_t waiting, TimePoint now) const
{
    const auto *found = find(service);
    std::optional<Outlook> best;
    if (found == nullptr)
        return best;
    std::size_t underWay = 0;
    for (const auto &it : found->backends) {
        if (!usable(*it, now))
            continue;
        underWay += it->pending.size();
        const auto its = outlookAt(*found, *it, now);
        if (!best || its.answerMs < best->answerMs)
            best = its;
    }
    // The line moves on with each answer of this host's requests under way.
    if (best && waiting > 0) {
        const auto rounds =
            static_cast<double>(waiting) / static_cast<double>(std::max<std::size_t>(underWay, 1));
        best->answerMs *= 1 + rounds;
    }
    return best;
}

double BackendTable::cost(const Service &service, const Backend &backend, TimePoint now) const
{
    const double latency = expectedMs(service, backend, now);
    double total = latency * (1 + queuedPerSlot(backend, now));
    if (backend.record.zone != m_zone)
        total += m_limits.crossZonePenaltyMs;
    total += backend.failures.at(now, m_limits.failureHalfLife) * m_limits.failureCostMs;
    // A refusal now and then is the way of a busy server; many use up the budget of retries.
    const double refused = backend.refusals.at(now, m_limits.refusalHalfLife);
    total += refused * refused * m_limits.refusalCostMs;
    total += stallMs(backend, latency, now);
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
        if (!usable(*it, now) || !hasRoom(*it, now))
            continue;
        if (std::find(exclude.begin(), exclude.end(), it) != exclude.end())
            continue;
        const double itsCost = cost(*found, *it, now);
        if (!best || itsCost < bestCost) {
            best = it;
            bestCost = itsCost;
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
        return usable(*it, now) && std::find(exclude.begin(), exclude.end(), it) == exclude.end();
    });
}

int BackendTable::countAvailable(const std::string &service, TimePoint now) const
{
    const auto *found = find(service);
    if (found == nullptr)
        return 0;
    return static_cast<int>(
        std::count_if(found->backends.begin(), found->backends.end(),
                      [&](const BackendPtr &it) { return usable(*it, now) && hasRoom(*it, now); }));
}

void BackendTable::onSent(Backend &backend, TimePoint now)
{
    backend.pending.push_back(now);
}

void BackendTable::onEnded(Backend &backend, AttemptOutcome end, TimePoint sentAt, TimePoint now)
{
    const auto it = std::find(backend.pending.begin(), backend.pending.end(), sentAt);
    if (it != backend.pending.end())
        backend.pending.erase(it);
    auto &service = m_services[backend.record.service];
    const double latency = core::toMillis(now - sentAt);
    switch (end) {
    case AttemptOutcome::Answered:
        backend.failures.add(false, failureWeight, now, m_limits.failureHalfLife);
        backend.refusals.add(false, refusalWeight, now, m_limits.refusalHalfLife);
        backend.failuresInRow = 0;
        sampleWork(service, backend, latency, now);
        sample(service, backend, latency, now);
        return;
    case AttemptOutcome::Refused:
        backend.fullUntil = now + m_limits.fullTime;
        backend.refusals.add(true, refusalWeight, now, m_limits.refusalHalfLife);
        return;
    case AttemptOutcome::Misdirected:
        backend.listed = false;
        return;
    case AttemptOutcome::Failed:
        fail(backend, now, 1);
        return;
    case AttemptOutcome::NotReached:
        fail(backend, now, m_limits.failuresToEject);
        return;
    case AttemptOutcome::TimedOut:
        sample(service, backend, latency, now);
        fail(backend, now, 1);
        return;
    case AttemptOutcome::Cancelled:
        return;
    }
}

void BackendTable::fail(Backend &backend, TimePoint now, int weight)
{
    backend.failures.add(true, failureWeight, now, m_limits.failureHalfLife);
    backend.failuresInRow += weight;
    if (backend.failuresInRow < m_limits.failuresToEject)
        return;
    const int doublings =
        std::min((backend.failuresInRow - m_limits.failuresToEject) / m_limits.failuresToEject, 4);
    const auto time = std::min(m_limits.longestEjection, m_limits.firstEjection * (1 << doublings));
    backend.ejectedUntil = now + time;
}

void BackendTable::sampleWork(Service &service, Backend &backend, double latencyMs, TimePoint now)
{
    // The request waited behind about as many others as wait behind it now.
    const double work = latencyMs / (1 + backend.reportedQueue);
    if (service.typicalWorkMs <= 0)
        service.typicalWorkMs = work;
    if (backend.workMs <= 0)
        backend.workMs = work;
    const double weight = sampleAge(backend, now);
    const double before = weight * backend.workMs + (1 - weight) * service.typicalWorkMs;
    backend.workMs = before + sampleWeight * (work - before);
    service.typicalWorkMs += typicalWeight * (work - service.typicalWorkMs);
}

void BackendTable::sample(Service &service, Backend &backend, double latencyMs, TimePoint now)
{
    if (backend.latencyMs <= 0) {
        backend.latencyMs = latencyMs;
    } else {
        // An old average tells little of a server that may have recovered since.
        const double before = expectedMs(service, backend, now);
        backend.latencyMs = before + sampleWeight * (latencyMs - before);
    }
    backend.sampledAt = now;
    if (service.typicalMs <= 0) {
        service.typicalMs = latencyMs;
        return;
    }
    service.typicalMs += typicalWeight * (latencyMs - service.typicalMs);
}

void BackendTable::onLoadReport(Backend &backend, int running, int waiting, int slots,
                                TimePoint now)
{
    const int own = static_cast<int>(backend.pending.size());
    backend.reportedExcess = std::max(0, running + waiting - own);
    backend.reportedQueue = static_cast<double>(waiting) / std::max(slots, 1);
    backend.reportedAt = now;
    if (slots > 0)
        backend.record.slots = slots;
}

void BackendTable::noteLeaving(Backend &backend)
{
    backend.record.leaving = true;
}

} // namespace goldcrestline::policy::forward
