#include "policy/quarantine/request_quarantine.h"

#include "core/hash.h"

#include <algorithm>

namespace goldcrestline::policy::quarantine {

using core::TimePoint;

namespace {

// A blocked request is remembered for this many times its block, so that several hosts have had the
// opportunity to try it.
constexpr int retentionBlocks = 4;

} // namespace

std::size_t RequestQuarantine::count(const Crashes &crashes)
{
    return static_cast<std::size_t>(std::count_if(
        crashes.begin(), crashes.end(), [](const auto &it) { return !it.second.refuted; }));
}

std::pair<TimePoint, core::Duration> RequestQuarantine::blockOf(const Crashes &crashes) const
{
    std::vector<TimePoint> times;
    bool repeated = false;
    for (const auto &it : crashes) {
        if (it.second.refuted)
            continue;
        times.push_back(it.second.at);
        repeated = repeated || it.second.repeated;
    }
    if (times.size() < m_parameters.blockingCrashes || !repeated)
        return {};
    std::sort(times.begin(), times.end());
    auto block = m_parameters.firstBlock;
    for (std::size_t i = 1; i < times.size(); ++i) {
        // Crashes this far apart are separate tries.
        if (times[i] - times[i - 1] > m_parameters.firstBlock / 2)
            block = std::min(m_parameters.maxBlock, block * m_parameters.blockGrowth);
    }
    return {times.back(), block};
}

TimePoint RequestQuarantine::blockedUntil(const std::string &request, const Crashes &crashes) const
{
    const auto [last, block] = blockOf(crashes);
    if (block == core::Duration{0})
        return {};
    const auto rank = m_trialRank ? m_trialRank(request) : 0;
    return last + block * static_cast<core::Duration::rep>(1 + rank);
}

TimePoint RequestQuarantine::blockedUntil(const std::string &request) const
{
    const auto it = m_requests.find(request);
    return it == m_requests.end() ? TimePoint{} : blockedUntil(request, it->second.crashes);
}

Handling RequestQuarantine::handling(const std::string &request, const Entry &entry,
                                     TimePoint now) const
{
    const auto &crashes = entry.crashes;
    const auto n = count(crashes);
    if (n == 0 || now >= expiresAt(crashes))
        return Handling::Normal;
    if (now < blockedUntil(request, crashes))
        return Handling::Blocked;
    if (n > 1 && now < entry.pausedUntil)
        return Handling::Paused;
    return n == 1 ? Handling::OneServer : Handling::OneCall;
}

Handling RequestQuarantine::handling(const std::string &request, TimePoint now) const
{
    const auto it = m_requests.find(request);
    return it == m_requests.end() ? Handling::Normal : handling(request, it->second, now);
}

Handling RequestQuarantine::handling(const std::vector<std::string> &digests, TimePoint now) const
{
    auto out = Handling::Normal;
    for (const auto &it : digests)
        out = std::max(out, handling(it, now));
    return out;
}

bool RequestQuarantine::leavesOut(const std::string &digest, bool broke, TimePoint now) const
{
    const auto current = handling(digest, now);
    return current >= Handling::Paused || (broke && current == Handling::OneCall);
}

std::size_t RequestQuarantine::crashes(const std::string &request) const
{
    const auto it = m_requests.find(request);
    return it == m_requests.end() ? 0 : count(it->second.crashes);
}

std::uint64_t RequestQuarantine::hashOf(const std::string &request,
                                        const Crashes::value_type &crash)
{
    return core::stableHash(
        request + ' ' + crash.first.id + ' ' + std::to_string(crash.first.startedAt) + ' '
        + std::to_string(crash.second.number) + (crash.second.repeated ? " repeated" : "")
        + (crash.second.refuted ? " refuted" : ""));
}

bool RequestQuarantine::merge(const CrashNote &note, TimePoint now)
{
    auto &entry = m_requests[note.request];
    const auto at = now - note.age;
    const bool refuted = note.refuted || at <= entry.completedAt;
    const Crash crash{note.number, note.repeated && !refuted, refuted, at, now};
    m_lastNumber = std::max(m_lastNumber, note.number);
    const auto [known, added] = entry.crashes.try_emplace(note.server, crash);
    if (!added) {
        if (crash.value() <= known->second.value())
            return false;
        m_digest ^= hashOf(note.request, *known);
        known->second = {crash.number, crash.repeated, crash.refuted, known->second.at, now};
    }
    m_digest ^= hashOf(note.request, *known);
    m_changedAt = now;
    return true;
}

TimePoint RequestQuarantine::firstCrash(const Entry &entry)
{
    auto first = entry.forgottenAt;
    for (const auto &it : entry.crashes) {
        if (!it.second.refuted)
            first = std::min(first, it.second.at);
    }
    return first;
}

void RequestQuarantine::limitCrashes(const std::string &request, Entry &entry)
{
    auto &crashes = entry.crashes;
    const auto erase = [&](Crashes::iterator it) {
        m_digest ^= hashOf(request, *it);
        return crashes.erase(it);
    };
    // The lowest crashes of the kind; map iteration breaks ties by server.
    const auto lowest = [&](bool refuted) {
        auto out = crashes.end();
        for (auto it = crashes.begin(); it != crashes.end(); ++it) {
            if (it->second.refuted == refuted
                && (out == crashes.end() || it->second.value() < out->second.value()))
                out = it;
        }
        return out;
    };
    auto refuted = crashes.size() - count(crashes);
    for (; refuted > m_parameters.maxCrashes; --refuted)
        erase(lowest(true));
    // A refuted crash that was forgotten here does not count again when another host still reports
    // it.
    if (refuted == m_parameters.maxCrashes) {
        const auto refutedUpTo = lowest(true)->second.number;
        for (auto it = crashes.begin(); it != crashes.end();) {
            const bool outdated = !it->second.refuted && it->second.number <= refutedUpTo;
            it = outdated ? erase(it) : std::next(it);
        }
    }
    if (crashes.size() == refuted)
        entry.forgottenAt = TimePoint::max();
    for (auto n = crashes.size() - refuted; n > m_parameters.maxCrashes; --n) {
        const auto it = lowest(false);
        entry.forgottenAt = std::min(entry.forgottenAt, it->second.at);
        erase(it);
    }
}

void RequestQuarantine::pauseAfterTry(Entry &entry, TimePoint sentAt) const
{
    // With fewer crashes before it, the request was not sent as a try.
    const auto before =
        std::count_if(entry.crashes.begin(), entry.crashes.end(),
                      [&](const auto &it) { return !it.second.refuted && it.second.at <= sentAt; });
    if (before > 1)
        entry.pausedUntil = firstCrash(entry) + m_parameters.repeatedAfter;
}

bool RequestQuarantine::onCrash(const std::string &request, const ServerProcess &server,
                                TimePoint sentAt, TimePoint now)
{
    auto &entry = m_requests[request];
    auto &crashes = entry.crashes;
    const auto first = firstCrash(entry);
    const bool repeated = first != TimePoint::max() && first + m_parameters.repeatedAfter <= sentAt;
    if (!repeated)
        pauseAfterTry(entry, sentAt);
    const auto known = crashes.find(server);
    const auto number = known == crashes.end() ? m_lastNumber + 1 : known->second.number;
    const bool changed = merge({request, server, repeated, false, core::Millis(0), number}, now);
    limitCrashes(request, entry);
    limitRequests();
    return changed;
}

bool RequestQuarantine::onCompleted(const std::string &request, TimePoint now)
{
    const auto it = m_requests.find(request);
    if (it == m_requests.end())
        return false;
    it->second.completedAt = now;
    bool changed = false;
    for (auto &crash : it->second.crashes) {
        if (crash.second.refuted)
            continue;
        m_digest ^= hashOf(request, crash);
        crash.second.refuted = true;
        crash.second.repeated = false;
        m_digest ^= hashOf(request, crash);
        crash.second.changedAt = now;
        m_changedAt = now;
        changed = true;
    }
    limitCrashes(request, it->second);
    return changed;
}

std::vector<std::string> RequestQuarantine::apply(const std::vector<CrashNote> &notes,
                                                  TimePoint now)
{
    const auto digest = m_digest;
    const auto changedAt = m_changedAt;
    std::map<std::string, Handling> before;
    for (const auto &it : notes)
        before.try_emplace(it.request, handling(it.request, now));
    for (const auto &it : notes)
        merge(it, now);
    // Only once all notes are merged, so that their order does not matter.
    for (const auto &it : before)
        limitCrashes(it.first, m_requests.at(it.first));
    expire(now);
    limitRequests();
    // Notes that were forgotten at once are no news.
    if (m_digest == digest)
        m_changedAt = changedAt;
    std::vector<std::string> changed;
    for (const auto &it : before) {
        if (handling(it.first, now) != it.second)
            changed.push_back(it.first);
    }
    return changed;
}

CrashNote RequestQuarantine::makeNote(const std::string &request, const Crashes::value_type &crash,
                                      TimePoint now)
{
    return {request,
            crash.first,
            crash.second.repeated,
            crash.second.refuted,
            std::chrono::duration_cast<core::Millis>(now - crash.second.at),
            crash.second.number};
}

std::vector<CrashNote> RequestQuarantine::news(TimePoint now, std::size_t limit) const
{
    std::vector<std::pair<TimePoint, CrashNote>> recent;
    if (now - m_changedAt > m_parameters.newsPeriod)
        return {};
    for (const auto &request : m_requests) {
        for (const auto &it : request.second.crashes) {
            if (now - it.second.changedAt <= m_parameters.newsPeriod)
                recent.emplace_back(it.second.changedAt, makeNote(request.first, it, now));
        }
    }
    // A repeated crash is what blocks a request, and may be one of many that happen together.
    std::stable_sort(recent.begin(), recent.end(), [](const auto &a, const auto &b) {
        return std::pair(a.second.repeated, a.first) > std::pair(b.second.repeated, b.first);
    });
    std::vector<CrashNote> out;
    for (auto &it : recent) {
        if (out.size() == limit)
            break;
        out.push_back(std::move(it.second));
    }
    return out;
}

std::vector<CrashNote> RequestQuarantine::all(TimePoint now) const
{
    std::vector<CrashNote> out;
    for (const auto &request : m_requests) {
        for (const auto &it : request.second.crashes)
            out.push_back(makeNote(request.first, it, now));
    }
    return out;
}

TimePoint RequestQuarantine::expiresAt(const Crashes &crashes) const
{
    TimePoint last{};
    for (const auto &it : crashes)
        last = std::max(last, it.second.at);
    return last + m_parameters.suspicionTime + retentionBlocks * blockOf(crashes).second;
}

void RequestQuarantine::erase(std::map<std::string, Entry>::iterator request)
{
    for (const auto &it : request->second.crashes)
        m_digest ^= hashOf(request->first, it);
    m_requests.erase(request);
}

void RequestQuarantine::expire(TimePoint now)
{
    for (auto it = m_requests.begin(); it != m_requests.end();) {
        const auto current = it++;
        if (now >= expiresAt(current->second.crashes))
            erase(current);
    }
}

void RequestQuarantine::limitRequests()
{
    if (m_requests.size() <= m_parameters.maxRequests)
        return;
    // By whether a crash counts, and by the number of the newest one; the least useful ones last.
    using Rank = std::tuple<bool, std::uint64_t, std::string>;
    std::vector<Rank> blocked;
    std::vector<Rank> others;
    for (const auto &it : m_requests) {
        std::uint64_t newest = 0;
        for (const auto &crash : it.second.crashes)
            newest = std::max(newest, crash.second.number);
        const bool hasBlock = blockOf(it.second.crashes).second > core::Duration{0};
        (hasBlock ? blocked : others).emplace_back(count(it.second.crashes) > 0, newest, it.first);
    }
    std::sort(blocked.rbegin(), blocked.rend());
    std::sort(others.rbegin(), others.rend());
    // Blocked requests keep their place, but leave some for new ones, which could not be blocked
    // otherwise.
    const auto maxBlocked =
        m_parameters.maxBlockedShare * static_cast<double>(m_parameters.maxRequests);
    while (m_requests.size() > m_parameters.maxRequests) {
        const bool evictBlocked =
            others.empty() || static_cast<double>(blocked.size()) > maxBlocked;
        auto &from = evictBlocked ? blocked : others;
        erase(m_requests.find(std::get<std::string>(from.back())));
        from.pop_back();
    }
}

std::size_t RequestQuarantine::blockedCount(TimePoint now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_requests.begin(), m_requests.end(), [&](const auto &it) {
            return handling(it.first, it.second, now) == Handling::Blocked;
        }));
}

} // namespace goldcrestline::policy::quarantine
