#include "policy/membership/member_table.h"

#include "core/hash.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <unordered_set>

namespace goldcrestline::policy::membership {

using core::TimePoint;

namespace {

// Time without a tick, in protocol periods, after which this process is taken to have been paused.
constexpr int pauseThresholdPeriods = 4;

// Probes by which a host decides whether it still reaches the others, and the failed ones among
// them from which it does not. Hosts that end together are at most a zone.
constexpr std::size_t recentProbeCount = 6;
constexpr std::ptrdiff_t minFailedProbes = 5;
// Time for which a contact shows that a host runs, on a host that knows nothing by the others. With
// the time to notice that, it stays below the 8 s after which an ended host must not be named.
constexpr core::Duration contactLifetime = std::chrono::seconds(4);

// Number of sendings of a record that is not spread on: above every retransmit limit.
constexpr int notSpread = 1 << 20;

// Returns a hash of what hosts have to agree on about a host. Suspicions are left out because they
// last only seconds and reach the other hosts as updates; loads are left out because hosts never
// agree on them. Either would make digests differ constantly and trigger comparisons of the tables.
std::uint64_t recordHash(const Member &member, bool leaving)
{
    return core::stableHash(member.name + "/" + std::to_string(member.incarnation) + "/"
                            + std::to_string(member.refutation) + (leaving ? "/leaving" : ""));
}

bool reachable(const Member &member)
{
    return member.state == MemberState::Alive || member.state == MemberState::Suspect;
}

} // namespace

MemberTable::MemberTable(Member self, const std::vector<std::string> &seeds,
                         MembershipTimings times, std::function<unsigned(unsigned)> random)
    : m_self(std::move(self)), m_times(times), m_random(std::move(random))
{
    addSeeds(seeds);
}

void MemberTable::addSeeds(const std::vector<std::string> &addresses)
{
    for (const auto &it : addresses) {
        const bool known = std::find(m_seeds.begin(), m_seeds.end(), it) != m_seeds.end();
        if (!known && it != m_self.peersAddress)
            m_seeds.push_back(it);
    }
}

std::vector<Action> MemberTable::tick(TimePoint now)
{
    std::vector<Action> out;
    const bool paused = wasPaused(now);
    if (paused) {
        m_pausedUntil = now;
        m_recentProbes.clear();
        // Probes that timed out while this process was paused do not indicate failures of other
        // hosts; suspects get the full suspicion timeout again.
        m_pendingProbes.clear();
        for (auto &it : m_peers) {
            if (it.second.member.state == MemberState::Suspect)
                it.second.changedAt = now;
        }
    }
    m_lastTickAt = now;
    ++m_tickCount;
    expire(now);
    if (const auto target = nextProbeTarget()) {
        m_pendingProbes.insert(*target);
        out.push_back(Probe{*target, m_peers.at(*target).member.peersAddress});
    }
    if (m_pausedUntil != TimePoint{}) {
        // Hosts may have ended meanwhile, which any running one knows.
        const auto order = live();
        for (int i = 0; i < m_times.indirectProbeCount && order.size() > 1; ++i) {
            const auto n = m_random(static_cast<unsigned>(order.size() - 1)) + 1;
            out.push_back(TableSync{order[n].peersAddress, true});
        }
    }
    const bool noReachablePeer = std::none_of(
        m_peers.begin(), m_peers.end(), [](const auto &it) { return reachable(it.second.member); });
    const auto every = static_cast<std::uint64_t>(m_times.syncIntervalPeriods);
    if (!noReachablePeer && m_tickCount % every != 0)
        return out;
    std::vector<std::string> addresses = m_seeds;
    for (const auto &it : m_peers) {
        if (it.second.member.state == MemberState::Dead)
            addresses.push_back(it.second.member.peersAddress);
    }
    if (!addresses.empty()) {
        out.push_back(TableSync{addresses[m_random(static_cast<unsigned>(addresses.size()))],
                                noReachablePeer});
    }
    return out;
}

bool MemberTable::isLargeZone() const
{
    const auto peers = std::count_if(m_peers.begin(), m_peers.end(), [this](const auto &it) {
        return reachable(it.second.member) && it.second.member.zone == m_self.zone;
    });
    return static_cast<std::size_t>(peers) >= m_times.minZonePeers;
}

bool MemberTable::hasRemoteSuspect() const
{
    return std::any_of(m_peers.begin(), m_peers.end(), [this](const auto &it) {
        return it.second.member.state == MemberState::Suspect
            && it.second.member.zone != m_self.zone;
    });
}

std::optional<std::string> MemberTable::nextProbeTarget()
{
    if (!isLargeZone())
        return takeNext(m_probeOrder, [](const Member &) { return true; });
    ++m_probeCount;
    if (m_probeCount % m_times.crossZoneProbeInterval == 0 || hasRemoteSuspect()) {
        auto target = takeNext(m_remoteProbeOrder,
                               [this](const Member &it) { return it.zone != m_self.zone; });
        if (target)
            return target;
    }
    return takeNext(m_probeOrder, [this](const Member &it) { return it.zone == m_self.zone; });
}

std::optional<std::string> MemberTable::takeNext(std::vector<std::string> &order,
                                                 const std::function<bool(const Member &)> &include)
{
    const auto takeLast = [&]() -> std::optional<std::string> {
        while (!order.empty()) {
            const auto name = order.back();
            order.pop_back();
            const auto it = m_peers.find(name);
            if (it != m_peers.end() && reachable(it->second.member) && include(it->second.member)
                && m_pendingProbes.count(name) == 0)
                return name;
        }
        return std::nullopt;
    };
    if (auto name = takeLast())
        return name;
    for (const auto &it : m_peers) {
        if (reachable(it.second.member) && include(it.second.member))
            order.push_back(it.first);
    }
    for (std::size_t i = order.size(); i > 1; --i)
        std::swap(order[i - 1], order[m_random(static_cast<unsigned>(i))]);
    return takeLast();
}

std::vector<Action> MemberTable::onDirectProbeFailed(const std::string &name, TimePoint now)
{
    std::vector<Action> out;
    const auto it = m_peers.find(name);
    if (it == m_peers.end() || m_pendingProbes.count(name) == 0)
        return out;
    std::vector<const Member *> helpers;
    for (const auto &[helper, peer] : m_peers) {
        if (helper != name && peer.member.state == MemberState::Alive)
            helpers.push_back(&peer.member);
    }
    while (!helpers.empty() && out.size() < static_cast<std::size_t>(m_times.indirectProbeCount)) {
        const auto n = m_random(static_cast<unsigned>(helpers.size()));
        out.push_back(
            IndirectProbe{helpers[n]->peersAddress, name, it->second.member.peersAddress});
        helpers.erase(helpers.begin() + n);
    }
    if (out.empty())
        onProbeResult(name, false, now);
    return out;
}

void MemberTable::onProbeResult(const std::string &name, bool reached, TimePoint now)
{
    if (m_pendingProbes.erase(name) == 0)
        return;
    m_recentProbes.push_back(reached);
    if (m_recentProbes.size() > recentProbeCount)
        m_recentProbes.pop_front();
    if (!reached)
        suspect(name, now);
}

void MemberTable::onContact(const std::string &name, TimePoint now)
{
    const auto it = m_peers.find(name);
    if (it != m_peers.end())
        it->second.contactAt = now;
}

void MemberTable::onCompared(TimePoint now)
{
    if (!wasPaused(now))
        m_pausedUntil = {};
}

bool MemberTable::wasPaused(TimePoint now) const
{
    return m_lastTickAt != TimePoint{}
    && now - m_lastTickAt > pauseThresholdPeriods * m_times.period;
}

bool MemberTable::isIsolated() const
{
    return std::count(m_recentProbes.begin(), m_recentProbes.end(), false) >= minFailedProbes;
}

std::vector<Member> MemberTable::confirmed(TimePoint now) const
{
    if (!wasPaused(now) && m_pausedUntil == TimePoint{} && !isIsolated())
        return all();
    std::vector<Member> out{m_self};
    for (const auto &it : m_peers) {
        if (it.second.contactAt != TimePoint{} && now - it.second.contactAt <= contactLifetime)
            out.push_back(it.second.member);
    }
    return out;
}

void MemberTable::suspect(const std::string &name, TimePoint now)
{
    const auto it = m_peers.find(name);
    if (it == m_peers.end() || it->second.member.state != MemberState::Alive)
        return;
    it->second.member.state = MemberState::Suspect;
    it->second.changedAt = now;
    it->second.timesSent = 0;
}

void MemberTable::expire(TimePoint now)
{
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        auto &peer = it->second;
        const auto age = now - peer.changedAt;
        if (peer.member.state == MemberState::Suspect && age > m_times.suspicionTimeout) {
            peer.member.state = MemberState::Dead;
            peer.changedAt = now;
            peer.timesSent = 0;
        }
        const bool departed =
            peer.member.state == MemberState::Dead || peer.member.state == MemberState::Left;
        if (departed && age > m_times.deadRetention) {
            it = m_peers.erase(it);
        } else {
            ++it;
        }
    }
    std::erase_if(m_handovers, [&](const auto &it) {
        return now - it.second.second > m_times.handoverRetention;
    });
}

int MemberTable::applyUpdates(const std::vector<Member> &updates, TimePoint now,
                              bool fromComparison)
{
    const int timesSent = fromComparison ? notSpread : 0;
    int changed = 0;
    for (const auto &update : updates) {
        if (update.name == m_self.name) {
            const bool aboutThisProcess = update.incarnation == m_self.incarnation;
            const bool wrong = update.state != m_self.state && update.supersedes(m_self);
            if (aboutThisProcess && wrong)
                m_self.refutation = update.refutation + 1;
            continue;
        }
        recordHandover(update, now);
        const auto it = m_peers.find(update.name);
        if (it == m_peers.end()) {
            // Hosts that removed the record of a dead host would otherwise add it again from each
            // other's messages, so that it was never removed everywhere.
            if (update.state == MemberState::Dead)
                continue;
            m_peers[update.name] = {update, now, timesSent, {}};
            ++changed;
            continue;
        }
        if (!update.supersedes(it->second.member)) {
            const bool same = !it->second.member.supersedes(update);
            if (same)
                it->second.member.load = update.load;
            continue;
        }
        if (it->second.member.state == MemberState::Dead && reachable(update)
            && update.incarnation == it->second.member.incarnation)
            ++m_falseDeaths;
        it->second = {update, now, timesSent, it->second.contactAt};
        ++changed;
    }
    return changed;
}

void MemberTable::recordHandover(const Member &member, TimePoint now)
{
    if (member.state == MemberState::Left && !member.successor.empty())
        m_handovers[{member.name, member.incarnation}] = {member.successor, now};
}

std::string MemberTable::keyOwner(const std::string &name, std::uint64_t incarnation) const
{
    constexpr int maxChainLength = 16;
    std::string owner = name;
    for (int i = 0; i < maxChainLength; ++i) {
        const auto it = m_handovers.find({owner, incarnation});
        if (it != m_handovers.end()) {
            owner = it->second.first;
            const auto *next = find(owner);
            if (next == nullptr)
                return {};
            incarnation = next->incarnation;
            continue;
        }
        const auto *member = find(owner);
        const bool running = member != nullptr && member->incarnation == incarnation
            && (reachable(*member) || member == &m_self);
        return running ? owner : std::string();
    }
    return {};
}

int MemberTable::retransmitLimit() const
{
    constexpr int retransmitMultiplier = 3;
    return retransmitMultiplier * (1 + static_cast<int>(std::log2(knownCount() + 1)));
}

std::vector<Member> MemberTable::selectUpdates(const std::string &receiverZone)
{
    const bool acrossZones = receiverZone != m_self.zone && isLargeZone();
    const auto limit = m_times.maxUpdatesPerMessage;
    // Failures are spread as fast between zones as within one.
    const auto aliveLimit = acrossZones ? m_times.maxUpdatesAcrossZones : limit;
    std::size_t aliveCount = 1;
    std::vector<Member> out{m_self};
    std::vector<Peer *> peers;
    for (auto &it : m_peers) {
        if (it.second.timesSent < retransmitLimit())
            peers.push_back(&it.second);
    }
    std::sort(peers.begin(), peers.end(),
              [](const Peer *a, const Peer *b) { return a->timesSent < b->timesSent; });
    for (auto *it : peers) {
        if (out.size() >= limit)
            break;
        if (it->member.state == MemberState::Alive && ++aliveCount > aliveLimit)
            continue;
        ++it->timesSent;
        out.push_back(it->member);
    }
    return out;
}

std::vector<std::uint64_t> MemberTable::summary() const
{
    std::vector<std::uint64_t> out;
    for (const auto &it : live())
        out.push_back(recordHash(it, it.leaving));
    return out;
}

std::vector<Member> MemberTable::findMissing(const std::vector<std::uint64_t> &summary,
                                             std::size_t limit) const
{
    const std::unordered_set<std::uint64_t> known(summary.begin(), summary.end());
    std::vector<Member> out;
    for (const auto &it : all()) {
        // The other host may not know yet that the host was leaving before it stopped or died. The
        // successor of a stopped host is told in any case, since keys are looked up by it.
        const bool lacking = reachable(it) ? known.count(recordHash(it, it.leaving)) == 0
                                           : !it.successor.empty()
                || known.count(recordHash(it, true)) + known.count(recordHash(it, false)) > 0;
        if (lacking && out.size() < limit)
            out.push_back(it);
    }
    return out;
}

std::vector<std::uint64_t> MemberTable::findUnknown(const std::vector<std::uint64_t> &summary) const
{
    std::unordered_set<std::uint64_t> known;
    for (const auto &it : all()) {
        known.insert(recordHash(it, it.leaving));
        // Of a host that is dead or stopped, an earlier record says nothing new.
        if (!reachable(it))
            known.insert(recordHash(it, !it.leaving));
    }
    std::vector<std::uint64_t> out;
    std::copy_if(summary.begin(), summary.end(), std::back_inserter(out),
                 [&](std::uint64_t it) { return known.count(it) == 0; });
    return out;
}

std::vector<Member> MemberTable::findSuperseding(const std::vector<Member> &received) const
{
    std::vector<Member> out;
    for (const auto &it : received) {
        const auto *own = find(it.name);
        if (own != nullptr && own->supersedes(it))
            out.push_back(*own);
    }
    return out;
}

std::vector<Member> MemberTable::findByHash(const std::vector<std::uint64_t> &hashes) const
{
    const std::unordered_set<std::uint64_t> wanted(hashes.begin(), hashes.end());
    auto out = live();
    std::erase_if(out,
                  [&](const Member &it) { return wanted.count(recordHash(it, it.leaving)) == 0; });
    return out;
}

void MemberTable::setLeaving()
{
    m_self.leaving = true;
}

void MemberTable::setLeft(std::string successor)
{
    m_self.leaving = true;
    m_self.state = MemberState::Left;
    m_self.successor = std::move(successor);
}

void MemberTable::setLoad(std::uint32_t load)
{
    m_self.load = load;
}

void MemberTable::setStrained(bool strained)
{
    if (m_self.strained == strained)
        return;
    m_self.strained = strained;
    ++m_self.refutation;
}

void MemberTable::setCutOff(bool cutOff)
{
    if (m_self.cutOff == cutOff)
        return;
    m_self.cutOff = cutOff;
    ++m_self.refutation;
}

void MemberTable::setUnproven(bool unproven)
{
    if (m_self.unproven == unproven)
        return;
    m_self.unproven = unproven;
    ++m_self.refutation;
}

std::uint64_t MemberTable::digest() const
{
    std::uint64_t out = reachable(m_self) ? recordHash(m_self, m_self.leaving) : 0;
    for (const auto &it : m_peers) {
        if (reachable(it.second.member))
            out ^= recordHash(it.second.member, it.second.member.leaving);
    }
    return out;
}

const Member *MemberTable::find(const std::string &name) const
{
    if (name == m_self.name)
        return &m_self;
    const auto it = m_peers.find(name);
    return it == m_peers.end() ? nullptr : &it->second.member;
}

std::vector<Member> MemberTable::all() const
{
    std::vector<Member> out{m_self};
    for (const auto &it : m_peers)
        out.push_back(it.second.member);
    return out;
}

std::vector<Member> MemberTable::live() const
{
    std::vector<Member> out{m_self};
    for (const auto &it : m_peers) {
        if (reachable(it.second.member))
            out.push_back(it.second.member);
    }
    return out;
}

} // namespace goldcrestline::policy::membership
