#include "policy/membership/member_table.h"

#include "core/hash.h"

#include <algorithm>
#include <cmath>

namespace goldcrestline::policy::membership {

using core::TimePoint;

namespace {

// Time without a tick, in protocol periods, after which this process is taken to have been paused.
constexpr int pauseThresholdPeriods = 4;

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
    const bool paused =
        m_lastTickAt != TimePoint{} && now - m_lastTickAt > pauseThresholdPeriods * m_times.period;
    if (paused) {
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

std::optional<std::string> MemberTable::nextProbeTarget()
{
    while (!m_probeOrder.empty()) {
        const auto name = m_probeOrder.back();
        m_probeOrder.pop_back();
        const auto it = m_peers.find(name);
        if (it != m_peers.end() && reachable(it->second.member) && m_pendingProbes.count(name) == 0)
            return name;
    }
    for (const auto &it : m_peers) {
        if (reachable(it.second.member))
            m_probeOrder.push_back(it.first);
    }
    for (std::size_t i = m_probeOrder.size(); i > 1; --i)
        std::swap(m_probeOrder[i - 1], m_probeOrder[m_random(static_cast<unsigned>(i))]);
    if (m_probeOrder.empty())
        return std::nullopt;
    const auto name = m_probeOrder.back();
    m_probeOrder.pop_back();
    if (m_pendingProbes.count(name) != 0)
        return std::nullopt;
    return name;
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
    if (!reached)
        suspect(name, now);
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

int MemberTable::applyUpdates(const std::vector<Member> &updates, TimePoint now)
{
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
            m_peers[update.name] = {update, now, 0};
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
        it->second = {update, now, 0};
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

std::vector<Member> MemberTable::selectUpdates(bool full)
{
    std::vector<Member> out{m_self};
    std::vector<Peer *> peers;
    for (auto &it : m_peers) {
        if (full || it.second.timesSent < retransmitLimit())
            peers.push_back(&it.second);
    }
    std::sort(peers.begin(), peers.end(),
              [](const Peer *a, const Peer *b) { return a->timesSent < b->timesSent; });
    for (auto *it : peers) {
        if (!full && out.size() >= m_times.maxUpdatesPerMessage)
            break;
        ++it->timesSent;
        out.push_back(it->member);
    }
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

std::uint64_t MemberTable::digest() const
{
    // Suspicions are left out because they last only seconds and reach the other hosts as updates;
    // loads are left out because hosts never agree on them. Either would make digests differ
    // constantly and trigger exchanges of full tables.
    const auto hashOf = [](const Member &it) {
        return core::stableHash(it.name + "/" + std::to_string(it.incarnation) + "/"
                                + std::to_string(it.refutation) + (it.leaving ? "/leaving" : ""));
    };
    std::uint64_t out = reachable(m_self) ? hashOf(m_self) : 0;
    for (const auto &it : m_peers) {
        if (reachable(it.second.member))
            out ^= hashOf(it.second.member);
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
