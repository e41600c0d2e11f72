#include "policy/once/ledger.h"

#include <algorithm>

namespace goldcrestline::policy::once {

Verdict Ledger::decide(const std::string &key, const std::string &bodyDigest,
                       core::WallMillis expiresAt, core::WallMillis now)
{
    m_latest = std::max(m_latest, now);
    const auto it = m_entries.find(key);
    if (it == m_entries.end()) {
        if (m_sealed)
            return Verdict::Sealed;
        if (m_latest >= expiresAt)
            return Verdict::Expired;
        m_entries[key] = {key, bodyDigest, EntryState::Running, {}, expiresAt};
        return Verdict::Run;
    }
    auto &entry = it->second;
    if (entry.bodyDigest != bodyDigest)
        return Verdict::OtherBody;
    if (entry.state == EntryState::Running)
        return Verdict::Join;
    const auto resultClass = core::infoOf(entry.outcome.code).resultClass;
    if (resultClass != core::ResultClass::RefusedNotRun)
        return Verdict::Replay;
    if (m_sealed)
        return Verdict::Sealed;
    if (m_latest >= expiresAt)
        return Verdict::Replay;
    entry.state = EntryState::Running;
    return Verdict::Run;
}

void Ledger::complete(const std::string &key, Outcome outcome)
{
    const auto it = m_entries.find(key);
    if (it == m_entries.end())
        return;
    it->second.state = EntryState::Ended;
    it->second.outcome = std::move(outcome);
}

const Outcome &Ledger::outcome(const std::string &key) const
{
    return m_entries.at(key).outcome;
}

void Ledger::expire(core::WallMillis now)
{
    m_latest = std::max(m_latest, now);
    std::erase_if(m_entries, [this](const auto &it) {
        return it.second.state == EntryState::Ended && m_latest >= it.second.expiresAt;
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
        entry.state = EntryState::Ended;
        entries.push_back(std::move(entry));
    }
    return entries;
}

void Ledger::adopt(std::vector<Entry> entries, core::WallMillis latest)
{
    m_latest = std::max(m_latest, latest);
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

} // namespace goldcrestline::policy::once
