#include "policy/routing/server_table.h"

#include <algorithm>
#include <cmath>

namespace goldcrestline::policy::routing {

using core::Duration;
using core::TimePoint;

namespace {

// Weights of a new sample in the exponential moving averages.
constexpr double latencySampleWeight = 0.2;
constexpr double typicalSampleWeight = 0.01;
// Samples are capped at this multiple of the typical latency before they are averaged into it.
constexpr double outlierFactor = 3;
// Requests wait for a busy server if all free ones are slower than it by this factor.
constexpr double stragglerFactor = 3;
constexpr double limitDecreaseFactor = 0.7;
constexpr double limitIncreaseStep = 0.2;
constexpr double minConcurrencyLimit = 1;
constexpr int ejectionThreshold = 3;
// Time after which a server is asked again for a snapshot that it reported as missing.
constexpr Duration missingSnapshotTtl = std::chrono::milliseconds(1000);
// Time in which the weight of a load report decreases linearly to zero.
constexpr Duration loadReportTtl = std::chrono::seconds(2);
constexpr double slowStartCostFactor = 4;

} // namespace

ServerTable::ServerTable(std::string zone, RoutingParameters parameters,
                         std::function<unsigned(unsigned)> random)
    : m_zone(std::move(zone)), m_parameters(std::move(parameters)), m_random(std::move(random)),
      m_typicalMs(m_parameters.defaultLatencyMs)
{ }

void ServerTable::update(const ServiceRecord &service, TimePoint now)
{
    std::map<std::string, Server> servers;
    m_groups.clear();
    for (const auto &record : service.servers) {
        Server server;
        const auto known = m_servers.find(record.id);
        if (known != m_servers.end() && known->second.record.startedAt > record.startedAt) {
            // The list is older than this host's own record of the server.
            server = known->second;
        } else if (known != m_servers.end() && known->second.record.startedAt == record.startedAt) {
            server = known->second;
            server.record = record;
        } else {
            server.record = record;
            server.concurrencyLimit = std::max(1, m_parameters.connectionLimit(record));
            server.firstUsedAt = m_servers.empty() ? TimePoint{} : now;
            if (known != m_servers.end())
                server.inFlight = known->second.inFlight;
        }
        m_groups[record.group].push_back(record.id);
        servers.emplace(record.id, std::move(server));
    }
    m_servers = std::move(servers);
}

bool ServerTable::noteLeaving(const LeavingNote &note)
{
    const auto it = m_servers.find(note.serverId);
    if (it == m_servers.end() || it->second.markedLeaving)
        return false;
    if (note.startedAt < it->second.record.startedAt)
        return false;
    it->second.markedLeaving = true;
    return true;
}

std::vector<LeavingNote> ServerTable::leavingNotes() const
{
    std::vector<LeavingNote> notes;
    for (const auto &[id, it] : m_servers) {
        if (it.markedLeaving || it.record.leaving)
            notes.push_back({id, it.record.startedAt});
    }
    return notes;
}

int ServerTable::capacity(const Server &server, TimePoint now) const
{
    const int share = std::max(1, m_parameters.connectionLimit(server.record));
    if (now - server.firstUsedAt < m_parameters.slowStart && server.firstUsedAt != TimePoint{})
        return 1;
    return std::min(share, static_cast<int>(server.concurrencyLimit));
}

bool ServerTable::usable(const Server &server, TimePoint now) const
{
    if (server.markedLeaving || server.record.leaving)
        return false;
    if (now < server.ejectedUntil || shedRecently(server, now))
        return false;
    return server.inFlight < capacity(server, now);
}

bool ServerTable::mayHold(const Server &server, core::SnapshotId id, TimePoint now) const
{
    if (server.heldSnapshots.count(id) != 0)
        return true;
    const auto it = server.missingReportedAt.find(id);
    return it == server.missingReportedAt.end() || now - it->second > missingSnapshotTtl;
}

double ServerTable::lastSampleWeight(const Server &server, TimePoint now) const
{
    if (server.sampledAt == TimePoint{})
        return 0;
    const double age = core::toMillis(now - server.sampledAt);
    return std::exp2(-age / core::toMillis(m_parameters.latencyHalfLife));
}

double ServerTable::score(const Server &server, TimePoint now) const
{
    double load = server.inFlight + 1;
    if (server.reportedAt != TimePoint{} && now - server.reportedAt < loadReportTtl)
        load += server.reportedLoad * (1 - (now - server.reportedAt) / (1.0 * loadReportTtl));
    double factor = 1;
    if (server.firstUsedAt != TimePoint{} && now - server.firstUsedAt < m_parameters.slowStart)
        factor *= slowStartCostFactor;
    return expectedMs(server, now) * load * factor * (1 + server.consecutiveFailures);
}

double ServerTable::expectedMs(const Server &server, TimePoint now) const
{
    // The weight of an old sample decays, so that a recovered server gets requests again.
    const double weight = lastSampleWeight(server, now);
    const double assumed =
        m_typicalMs + (server.record.zone == m_zone ? 0 : m_parameters.crossZonePenaltyMs);
    return server.latencyMs * weight + assumed * (1 - weight);
}

bool ServerTable::preferWaiting(const std::vector<std::string> &members,
                                const std::set<std::string> &exclude,
                                const std::vector<const Server *> &candidates, TimePoint now) const
{
    double best = expectedMs(*candidates.front(), now);
    for (const auto *it : candidates)
        best = std::min(best, expectedMs(*it, now));
    return std::any_of(members.begin(), members.end(), [&](const auto &id) {
        const auto &server = m_servers.at(id);
        const bool busy = !server.markedLeaving && !server.record.leaving
            && now >= server.ejectedUntil && !usable(server, now) && exclude.count(id) == 0;
        return busy && best > stragglerFactor * expectedMs(server, now);
    });
}

std::optional<std::string> ServerTable::pick(int group, const std::set<std::string> &exclude,
                                             std::optional<core::SnapshotId> snapshot,
                                             TimePoint now) const
{
    const auto members = m_groups.find(group);
    if (members == m_groups.end())
        return std::nullopt;
    std::vector<const Server *> candidates;
    for (const auto &id : members->second) {
        const auto &server = m_servers.at(id);
        if (exclude.count(id) != 0 || !usable(server, now))
            continue;
        if (snapshot && !mayHold(server, *snapshot, now))
            continue;
        candidates.push_back(&server);
    }
    if (candidates.empty())
        return std::nullopt;
    if (preferWaiting(members->second, exclude, candidates, now))
        return std::nullopt;
    // Power of two choices. The first is a server of the local zone if there is one among at most
    // three candidates, else a random one.
    const auto local = std::find_if(candidates.begin(), candidates.end(),
                                    [&](const Server *it) { return it->record.zone == m_zone; });
    std::size_t first = local != candidates.end() && candidates.size() <= 3
        ? static_cast<std::size_t>(local - candidates.begin())
        : m_random(static_cast<unsigned>(candidates.size()));
    if (candidates.size() == 1)
        return candidates[first]->record.id;
    std::size_t second = m_random(static_cast<unsigned>(candidates.size() - 1));
    if (second >= first)
        ++second;
    if (score(*candidates[second], now) < score(*candidates[first], now))
        first = second;
    return candidates[first]->record.id;
}

void ServerTable::onSent(const std::string &id)
{
    auto &server = m_servers.at(id);
    ++server.inFlight;
}

void ServerTable::addSample(Server &server, double latencyMs, TimePoint now)
{
    // The older the last sample, the higher the weight of the new one.
    const double weight = (1 - latencySampleWeight) * lastSampleWeight(server, now);
    server.latencyMs = weight * server.latencyMs + (1 - weight) * latencyMs;
    server.sampledAt = now;
    m_typicalMs +=
        typicalSampleWeight * (std::min(latencyMs, outlierFactor * m_typicalMs) - m_typicalMs);
}

void ServerTable::onEnded(const std::string &id, AttemptOutcome outcome, TimePoint sentAt,
                          TimePoint now)
{
    const auto it = m_servers.find(id);
    if (it == m_servers.end())
        return;
    auto &server = it->second;
    server.inFlight = std::max(0, server.inFlight - 1);
    const double tookMs = core::toMillis(now - sentAt);
    switch (outcome) {
    case AttemptOutcome::Answered:
        addSample(server, tookMs, now);
        server.answeredAt = now;
        server.consecutiveFailures = 0;
        server.concurrencyLimit =
            std::min<double>(server.concurrencyLimit + limitIncreaseStep,
                             std::max(1, m_parameters.connectionLimit(server.record)));
        return;
    case AttemptOutcome::Shed:
        if (now - server.shedAt > m_parameters.shedBackoff) {
            server.concurrencyLimit =
                std::max(minConcurrencyLimit, server.concurrencyLimit * limitDecreaseFactor);
        }
        server.shedAt = now;
        return;
    case AttemptOutcome::Draining:
        noteLeaving({id, server.record.startedAt});
        return;
    case AttemptOutcome::NotReached:
    case AttemptOutcome::Broken:
        if (++server.consecutiveFailures >= ejectionThreshold) {
            server.ejectedUntil =
                now + m_parameters.ejectionTime * std::min(8, server.consecutiveFailures - 2);
        }
        return;
    case AttemptOutcome::Cancelled:
        // A lower bound of the server's latency, since another attempt was faster.
        if (tookMs > server.latencyMs)
            addSample(server, tookMs, now);
        return;
    case AttemptOutcome::TimedOut:
        // If the server has answered on another connection since, only this connection failed.
        if (server.answeredAt < sentAt) {
            addSample(server, tookMs, now);
            ++server.consecutiveFailures;
        }
        return;
    }
}

void ServerTable::onLoadReport(const std::string &id, int load, int slots, TimePoint now)
{
    const auto it = m_servers.find(id);
    if (it == m_servers.end())
        return;
    it->second.reportedLoad = static_cast<double>(load) / std::max(1, slots);
    it->second.reportedAt = now;
}

void ServerTable::onSnapshotMissing(const std::string &id, core::SnapshotId snapshot, TimePoint now)
{
    const auto it = m_servers.find(id);
    if (it == m_servers.end())
        return;
    it->second.heldSnapshots.erase(snapshot);
    it->second.missingReportedAt[snapshot] = now;
}

void ServerTable::onSnapshotHeld(const std::string &id, core::SnapshotId snapshot)
{
    const auto it = m_servers.find(id);
    if (it == m_servers.end())
        return;
    it->second.missingReportedAt.erase(snapshot);
    it->second.heldSnapshots.insert(snapshot);
    constexpr std::size_t maxHeldSnapshots = 4;
    while (it->second.heldSnapshots.size() > maxHeldSnapshots)
        it->second.heldSnapshots.erase(it->second.heldSnapshots.begin());
}

bool ServerTable::isAvailable(const Snapshot &snapshot, TimePoint now) const
{
    for (const auto &group : snapshot.documentsByGroup) {
        const auto members = m_groups.find(group.first);
        if (members == m_groups.end())
            return false;
        const bool any =
            std::any_of(members->second.begin(), members->second.end(), [&](const auto &id) {
                const auto &server = m_servers.at(id);
                return !server.markedLeaving && !server.record.leaving
                    && mayHold(server, snapshot.id, now);
            });
        if (!any)
            return false;
    }
    return true;
}

bool ServerTable::heldByAllGroups(const Snapshot &snapshot) const
{
    for (const auto &group : snapshot.documentsByGroup) {
        const auto members = m_groups.find(group.first);
        if (members == m_groups.end())
            return false;
        std::size_t live = 0;
        std::size_t holders = 0;
        for (const auto &id : members->second) {
            const auto &server = m_servers.at(id);
            if (server.markedLeaving || server.record.leaving)
                continue;
            ++live;
            holders += server.heldSnapshots.count(snapshot.id);
        }
        if (holders == 0 || 2 * holders < live)
            return false;
    }
    return true;
}

const Snapshot *ServerTable::newestUsable(const std::vector<Snapshot> &snapshots,
                                          const std::set<core::SnapshotId> &exclude,
                                          TimePoint now) const
{
    const Snapshot *fallback = nullptr;
    for (auto it = snapshots.rbegin(); it != snapshots.rend(); ++it) {
        if (exclude.count(it->id) != 0)
            continue;
        if (heldByAllGroups(*it))
            return &*it;
        if (fallback == nullptr && isAvailable(*it, now))
            fallback = &*it;
    }
    return fallback;
}

bool ServerTable::shedRecently(const Server &server, TimePoint now) const
{
    return server.shedAt != TimePoint{} && now - server.shedAt < m_parameters.shedBackoff;
}

bool ServerTable::allShed(int group, TimePoint now) const
{
    const auto members = m_groups.find(group);
    if (members == m_groups.end())
        return false;
    return std::all_of(members->second.begin(), members->second.end(), [&](const auto &id) {
        const auto &server = m_servers.at(id);
        return server.markedLeaving || server.record.leaving || shedRecently(server, now);
    });
}

const ServerRecord *ServerTable::record(const std::string &id) const
{
    const auto it = m_servers.find(id);
    return it == m_servers.end() ? nullptr : &it->second.record;
}

std::vector<std::string> ServerTable::ids() const
{
    std::vector<std::string> ids;
    for (const auto &it : m_servers)
        ids.push_back(it.first);
    return ids;
}

bool ServerTable::answeredWithin(const std::string &id, core::Duration period, TimePoint now) const
{
    const auto it = m_servers.find(id);
    if (it == m_servers.end() || it->second.answeredAt == TimePoint{})
        return false;
    return now - it->second.answeredAt < period;
}

int ServerTable::inFlight(const std::string &id) const
{
    const auto it = m_servers.find(id);
    return it == m_servers.end() ? 0 : it->second.inFlight;
}

} // namespace goldcrestline::policy::routing
