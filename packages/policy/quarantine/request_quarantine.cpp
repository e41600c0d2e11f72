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

Handling RequestQuarantine::handling(const std::string &request, const Crashes &crashes,
                                     TimePoint now) const
{
    const auto n = count(crashes);
    if (n == 0 || now >= expiresAt(crashes))
        return Handling::Normal;
    if (now < blockedUntil(request, crashes))
        return Handling::Blocked;
    return n == 1 ? Handling::OneServer : Handling::OneCall;
}

Handling RequestQuarantine::handling(const std::string &request, TimePoint now) const
{
    const auto it = m_requests.find(request);
    return it == m_requests.end() ? Handling::Normal : handling(request, it->second.crashes, now);
}

Handling RequestQuarantine::handling(const std::vector<std::string> &digests, TimePoint now) const
{
    auto out = Handling::Normal;
    for (const auto &it : digests)
        out = std::max(out, handling(it, now));
    return out;
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
        request + ' ' + crash.first.id + ' ' + std::to_string(crash.first.startedAt)
        + (crash.second.repeated ? " repeated" : "") + (crash.second.refuted ? " refuted" : ""));
}

bool RequestQuarantine::merge(const CrashNote &note, TimePoint now)
{
    auto &entry = m_requests[note.request];
    auto &crashes = entry.crashes;
    const auto at = now - note.age;
    const bool refuted = note.refuted || at <= entry.completedAt;
    const auto known = crashes.find(note.server);
    if (known == crashes.end()) {
        if (crashes.size() >= m_parameters.maxCrashes)
            return false;
        const auto added = crashes.emplace(note.server, Crash{note.repeated, refuted, at, now});
        m_digest ^= hashOf(note.request, *added.first);
        m_changedAt = now;
        return true;
    }
    auto &crash = known->second;
    if ((crash.repeated || !note.repeated) && (crash.refuted || !refuted))
        return false;
    m_digest ^= hashOf(note.request, *known);
    crash.repeated = crash.repeated || note.repeated;
    crash.refuted = crash.refuted || refuted;
    m_digest ^= hashOf(note.request, *known);
    crash.changedAt = now;
    m_changedAt = now;
    return true;
}

bool RequestQuarantine::onCrash(const std::string &request, const ServerProcess &server,
                                TimePoint sentAt, TimePoint now)
{
    const auto &crashes = m_requests[request].crashes;
    const bool repeated = std::any_of(crashes.begin(), crashes.end(), [&](const auto &it) {
        return !it.second.refuted && it.second.at + m_parameters.repeatedAfter <= sentAt;
    });
    const bool added = merge({request, server, repeated, false, core::Millis(0)}, now);
    limitSize(now);
    return added;
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
        m_digest ^= hashOf(request, crash);
        crash.second.changedAt = now;
        m_changedAt = now;
        changed = true;
    }
    return changed;
}

std::vector<std::string> RequestQuarantine::apply(const std::vector<CrashNote> &notes,
                                                  TimePoint now)
{
    std::map<std::string, Handling> before;
    for (const auto &it : notes)
        before.try_emplace(it.request, handling(it.request, now));
    for (const auto &it : notes)
        merge(it, now);
    expire(now);
    limitSize(now);
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
    return {request, crash.first, crash.second.repeated, crash.second.refuted,
            std::chrono::duration_cast<core::Millis>(now - crash.second.at)};
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
    std::stable_sort(recent.begin(), recent.end(),
                     [](const auto &a, const auto &b) { return a.first > b.first; });
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

void RequestQuarantine::limitSize(TimePoint now)
{
    while (m_requests.size() > m_parameters.maxRequests) {
        // The least cautiously handled request, and of these the one that expires first.
        const auto rank = [&](const auto &it) {
            return std::pair(handling(it.first, it.second.crashes, now),
                             expiresAt(it.second.crashes));
        };
        erase(std::min_element(m_requests.begin(), m_requests.end(),
                               [&](const auto &a, const auto &b) { return rank(a) < rank(b); }));
    }
}

std::size_t RequestQuarantine::blockedCount(TimePoint now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_requests.begin(), m_requests.end(), [&](const auto &it) {
            return handling(it.first, it.second.crashes, now) == Handling::Blocked;
        }));
}

} // namespace goldcrestline::policy::quarantine
