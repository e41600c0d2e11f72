#include "policy/routing/server_table.h"

#include <algorithm>
#include <cmath>

namespace goldcrestline::policy::routing {

using core::Duration;
using core::TimePoint;

namespace {

constexpr double smoothing = 0.2;
constexpr double typicalSmoothing = 0.01;
// A sample counts towards the typical latency up to this many times of it.
constexpr double outlierFactor = 3;
// A busy server is waited for if all free ones are this many times slower.
constexpr double stragglerFactor = 3;
constexpr double limitDecrease = 0.7;
constexpr double limitIncrease = 0.2;
constexpr double minimumLimit = 1;
constexpr int failuresBeforeEjection = 3;
constexpr Duration lackMemory = std::chrono::milliseconds(1000);
constexpr Duration reportMemory = std::chrono::seconds(2);
constexpr double slowStartPenalty = 4;

} // namespace

ServerTable::ServerTable(std::string zone, RoutingParameters limits,
                         std::function<unsigned(unsigned)> random)
    : m_zone(std::move(zone)), m_limits(std::move(limits)), m_random(std::move(random)),
      m_typicalMs(m_limits.unknownLatencyMs)
{ }

void ServerTable::update(const ServiceRecord &service, TimePoint now)
{
    std::map<std::string, Server> servers;
    m_groups.clear();
    for (const auto &record : service.servers) {
        Server server;
        const auto known = m_servers.find(record.id);
        if (known != m_servers.end() && known->second.record.startedAt > record.startedAt) {
            // The list lags behind what this host already learnt.
            server = known->second;
        } else if (known != m_servers.end() && known->second.record.startedAt == record.startedAt) {
            server = known->second;
            server.record = record;
        } else {
            server.record = record;
            server.limit = std::max(1, m_limits.connectionLimit(record));
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
    if (it == m_servers.end() || it->second.leavingByNote)
        return false;
    if (note.startedAt < it->second.record.startedAt)
        return false;
    it->second.leavingByNote = true;
    return true;
}

std::vector<LeavingNote> ServerTable::leavingNotes() const
{
    std::vector<LeavingNote> notes;
    for (const auto &[id, it] : m_servers) {
        if (it.leavingByNote || it.record.leaving)
            notes.push_back({id, it.record.startedAt});
    }
    return notes;
}

int ServerTable::capacity(const Server &server, TimePoint now) const
{
    const int share = std::max(1, m_limits.connectionLimit(server.record));
    if (now - server.firstUsedAt < m_limits.slowStart && server.firstUsedAt != TimePoint{})
        return 1;
    return std::min(share, static_cast<int>(server.limit));
}

bool ServerTable::usable(const Server &server, TimePoint now) const
{
    if (server.leavingByNote || server.record.leaving)
        return false;
    if (now < server.ejectedUntil || shedLately(server, now))
        return false;
    return server.inFlight < capacity(server, now);
}

bool ServerTable::mayHold(const Server &server, core::SnapshotId id, TimePoint now) const
{
    if (server.holding.count(id) != 0)
        return true;
    const auto it = server.lacking.find(id);
    return it == server.lacking.end() || now - it->second > lackMemory;
}

double ServerTable::ageWeight(const Server &server, TimePoint now) const
{
    if (server.sampledAt == TimePoint{})
        return 0;
    const double age = core::toMillis(now - server.sampledAt);
    return std::exp2(-age / core::toMillis(m_limits.sampleHalfLife));
}

double ServerTable::score(const Server &server, TimePoint now) const
{
    double busy = server.inFlight + 1;
    if (server.reportedAt != TimePoint{} && now - server.reportedAt < reportMemory)
        busy += server.reportedLoad * (1 - (now - server.reportedAt) / (1.0 * reportMemory));
    double factor = 1;
    if (server.firstUsedAt != TimePoint{} && now - server.firstUsedAt < m_limits.slowStart)
        factor *= slowStartPenalty;
    return expectedMs(server, now) * busy * factor * (1 + server.failuresInRow);
}

double ServerTable::expectedMs(const Server &server, TimePoint now) const
{
    // An old sample loses weight, so that a recovered server is tried again.
    const double keep = ageWeight(server, now);
    const double assumed = m_typicalMs + (server.record.zone == m_zone ? 0 : m_limits.crossZoneMs);
    return server.latencyMs * keep + assumed * (1 - keep);
}

bool ServerTable::worthWaiting(const std::vector<std::string> &members,
                               const std::set<std::string> &exclude,
                               const std::vector<const Server *> &candidates, TimePoint now) const
{
    double best = expectedMs(*candidates.front(), now);
    for (const auto *it : candidates)
        best = std::min(best, expectedMs(*it, now));
    return std::any_of(members.begin(), members.end(), [&](const auto &id) {
        const auto &server = m_servers.at(id);
        const bool busy = !server.leavingByNote && !server.record.leaving
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
    if (worthWaiting(members->second, exclude, candidates, now))
        return std::nullopt;
    // First choice: a server of the own zone if there is one, else any.
    const auto own = std::find_if(candidates.begin(), candidates.end(),
                                  [&](const Server *it) { return it->record.zone == m_zone; });
    std::size_t first = own != candidates.end() && candidates.size() <= 3
        ? static_cast<std::size_t>(own - candidates.begin())
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

void ServerTable::sample(Server &server, double latencyMs, TimePoint now)
{
    // The longer ago the last sample, the more the new one counts.
    const double keep = (1 - smoothing) * ageWeight(server, now);
    server.latencyMs = keep * server.latencyMs + (1 - keep) * latencyMs;
    server.sampledAt = now;
    m_typicalMs +=
        typicalSmoothing * (std::min(latencyMs, outlierFactor * m_typicalMs) - m_typicalMs);
}

void ServerTable::onEnded(const std::string &id, AttemptOutcome end, TimePoint sentAt,
                          TimePoint now)
{
    const auto it = m_servers.find(id);
    if (it == m_servers.end())
        return;
    auto &server = it->second;
    server.inFlight = std::max(0, server.inFlight - 1);
    const double tookMs = core::toMillis(now - sentAt);
    switch (end) {
    case AttemptOutcome::Answered:
        sample(server, tookMs, now);
        server.answeredAt = now;
        server.failuresInRow = 0;
        server.limit = std::min<double>(server.limit + limitIncrease,
                                        std::max(1, m_limits.connectionLimit(server.record)));
        return;
    case AttemptOutcome::Shed:
        if (now - server.shedAt > m_limits.shedMemory)
            server.limit = std::max(minimumLimit, server.limit * limitDecrease);
        server.shedAt = now;
        return;
    case AttemptOutcome::Draining:
        noteLeaving({id, server.record.startedAt});
        return;
    case AttemptOutcome::NotReached:
    case AttemptOutcome::Broken:
        if (++server.failuresInRow >= failuresBeforeEjection)
            server.ejectedUntil = now + m_limits.ejection * std::min(8, server.failuresInRow - 2);
        return;
    case AttemptOutcome::Cancelled:
        // The attempt lost a race, so the server took at least this long.
        if (tookMs > server.latencyMs)
            sample(server, tookMs, now);
        return;
    case AttemptOutcome::TimedOut:
        // Blame the connection alone when the server answered on another one meanwhile.
        if (server.answeredAt < sentAt) {
            sample(server, tookMs, now);
            ++server.failuresInRow;
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
    it->second.holding.erase(snapshot);
    it->second.lacking[snapshot] = now;
}

void ServerTable::onSnapshotHeld(const std::string &id, core::SnapshotId snapshot)
{
    const auto it = m_servers.find(id);
    if (it == m_servers.end())
        return;
    it->second.lacking.erase(snapshot);
    it->second.holding.insert(snapshot);
    constexpr std::size_t keptSnapshots = 4;
    while (it->second.holding.size() > keptSnapshots)
        it->second.holding.erase(it->second.holding.begin());
}

bool ServerTable::available(const Snapshot &snapshot, TimePoint now) const
{
    for (const auto &group : snapshot.documentsByGroup) {
        const auto members = m_groups.find(group.first);
        if (members == m_groups.end())
            return false;
        const bool any =
            std::any_of(members->second.begin(), members->second.end(), [&](const auto &id) {
                const auto &server = m_servers.at(id);
                return !server.leavingByNote && !server.record.leaving
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
            if (server.leavingByNote || server.record.leaving)
                continue;
            ++live;
            holders += server.holding.count(snapshot.id);
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
        if (fallback == nullptr && available(*it, now))
            fallback = &*it;
    }
    return fallback;
}

bool ServerTable::shedLately(const Server &server, TimePoint now) const
{
    return server.shedAt != TimePoint{} && now - server.shedAt < m_limits.shedMemory;
}

bool ServerTable::allShed(int group, TimePoint now) const
{
    const auto members = m_groups.find(group);
    if (members == m_groups.end())
        return false;
    return std::all_of(members->second.begin(), members->second.end(), [&](const auto &id) {
        const auto &server = m_servers.at(id);
        return server.leavingByNote || server.record.leaving || shedLately(server, now);
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
