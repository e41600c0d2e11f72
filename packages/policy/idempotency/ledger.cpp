#include "policy/idempotency/ledger.h"

#include <algorithm>

namespace goldcrestline::policy::idempotency {

KeyDecision Ledger::decide(const std::string &key, const std::string &bodyDigest,
                           core::WallMillis expiresAt, core::WallMillis now)
{
    m_latestTime = std::max(m_latestTime, now);
    const auto it = m_entries.find(key);
    if (it == m_entries.end()) {
        if (m_sealed)
            return KeyDecision::Sealed;
        if (m_latestTime >= expiresAt)
            return KeyDecision::Expired;
        m_entries[key] = {key, bodyDigest, EntryState::Running, {}, expiresAt};
        return KeyDecision::Dispatch;
    }
    auto &entry = it->second;
    if (entry.bodyDigest != bodyDigest)
        return KeyDecision::BodyMismatch;
    if (entry.state == EntryState::Running)
        return KeyDecision::Join;
    const auto resultClass = core::infoOf(entry.outcome.code).resultClass;
    if (resultClass != core::ResultClass::RefusedNotRun)
        return KeyDecision::Replay;
    if (m_sealed)
        return KeyDecision::Sealed;
    if (m_latestTime >= expiresAt)
        return KeyDecision::Replay;
    entry.state = EntryState::Running;
    return KeyDecision::Dispatch;
}

void Ledger::complete(const std::string &key, Outcome outcome)
{
    const auto it = m_entries.find(key);
    if (it == m_entries.end())
        return;
    it->second.state = EntryState::Completed;
    it->second.outcome = std::move(outcome);
}

const Outcome &Ledger::outcome(const std::string &key) const
{
    return m_entries.at(key).outcome;
}

void Ledger::expire(core::WallMillis now)
{
    m_latestTime = std::max(m_latestTime, now);
    std::erase_if(m_entries, [this](const auto &it) {
        return it.second.state == EntryState::Completed && m_latestTime >= it.second.expiresAt;
    });
}

std::vector<Entry> Ledger::seal()
{
    m_sealed = true;
    std::vector<Entry> entries;
    for (const auto &it : m_entries) {
        Entry entry = it.second;
        if (entry.state == EntryState::Running) {
            entry.outcome = {core::ResultCode::OutcomeUnknown,
                             "the host that decides on the key stopped before the response arrived",
                             {}};
        }
        entry.state = EntryState::Completed;
        entries.push_back(std::move(entry));
    }
    return entries;
}

void Ledger::adopt(std::vector<Entry> entries, core::WallMillis latest)
{
    m_latestTime = std::max(m_latestTime, latest);
    for (auto &it : entries) {
        auto key = it.key;
        m_entries.emplace(std::move(key), std::move(it));
    }
}

std::size_t Ledger::running() const
{
    return static_cast<std::size_t>(
        std::count_if(m_entries.begin(), m_entries.end(),
                      [](const auto &it) { return it.second.state == EntryState::Running; }));
}

} // namespace goldcrestline::policy::idempotency
