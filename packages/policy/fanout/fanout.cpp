#include "policy/fanout/fanout.h"

#include <algorithm>

namespace goldcrestline::policy::fanout {

using core::TimePoint;

namespace {

// Time until server selection is retried for a group without a usable server.
constexpr core::Duration retryInterval = std::chrono::milliseconds(5);
// Time until a hedge that had no budget or no server is retried.
constexpr core::Duration hedgeRetryInterval = std::chrono::milliseconds(5);
// Time until a group is retried whose server shed the attempt.
constexpr core::Duration shedRetryInterval = std::chrono::milliseconds(10);

double coverage(const Answer &answer)
{
    if (answer.allDocuments == 0)
        return 0;
    return static_cast<double>(answer.answeredDocuments) / static_cast<double>(answer.allDocuments);
}

} // namespace

Fanout::Fanout(Query query, routing::Snapshot snapshot, const Hooks &hooks)
    : m_query(std::move(query)), m_snapshot(std::move(snapshot)), m_hooks(hooks)
{ }

std::vector<Action> Fanout::start(TimePoint now)
{
    std::vector<Action> out;
    m_startedAt = now;
    startSnapshot(routing::Snapshot(m_snapshot), now, out);
    finishIfDecided(now, out);
    return out;
}

void Fanout::startSnapshot(const routing::Snapshot &snapshot, TimePoint now,
                           std::vector<Action> &out)
{
    m_snapshot = snapshot;
    m_triedSnapshots.insert(snapshot.id);
    stopWaiting();
    m_groups.clear();
    m_parts.clear();
    m_answeredDocuments = 0;
    for (const auto &it : m_snapshot.documentsByGroup)
        m_groups[it.first];
    for (auto &[id, group] : m_groups) {
        if (sendTo(id, now, out))
            continue;
        setWaiting(id, true);
        group.retryAt = now + retryInterval;
    }
}

bool Fanout::sendTo(int id, TimePoint now, std::vector<Action> &out)
{
    const auto server =
        m_hooks.pick(m_query.sequence, id, m_groups.at(id).tried, m_snapshot.id, now);
    if (!server)
        return false;
    sendToServer(id, *server, now, out);
    return true;
}

void Fanout::sendToServer(int id, const std::string &server, TimePoint now,
                          std::vector<Action> &out)
{
    auto &group = m_groups.at(id);
    const AttemptId attempt = m_hooks.nextAttempt();
    m_attempts[attempt] = {id, server, now};
    group.tried.insert(server);
    setWaiting(id, false);
    group.needsRetryBudget = false;
    group.hedgeAt = now + m_hooks.hedgeDelay(now);
    ++group.inFlight;
    out.push_back(Send{attempt, server, id, m_snapshot.id, m_query.deadline});
}

std::vector<Action> Fanout::onReply(AttemptId id, const Reply &reply, TimePoint now,
                                    ReplyVerdict &verdict)
{
    std::vector<Action> out;
    verdict = ReplyVerdict::Ignored;
    const auto it = m_attempts.find(id);
    if (m_finished || it == m_attempts.end())
        return out;
    const int groupId = it->second.group;
    const bool matches =
        reply.queryId == m_query.id && reply.group == groupId && reply.snapshot == m_snapshot.id;
    if (!matches) {
        verdict = ReplyVerdict::Mismatched;
        return onFailure(id, Failure::Broken, now);
    }
    // A server with fewer documents than the shard map lists does not hold the complete snapshot.
    if (reply.documents < m_snapshot.documentsByGroup.at(groupId))
        return onFailure(id, Failure::SnapshotMissing, now);
    m_attempts.erase(it);
    auto &group = m_groups.at(groupId);
    --group.inFlight;
    if (group.answered)
        return out;
    verdict = ReplyVerdict::Accepted;
    group.answered = true;
    setWaiting(groupId, false);
    m_parts[groupId] = reply.body;
    m_answeredDocuments += std::min(reply.documents, m_snapshot.documentsByGroup.at(groupId));
    // Cancel the other attempts of the group.
    std::erase_if(m_attempts, [&](const auto &entry) {
        if (entry.second.group != groupId)
            return false;
        out.push_back(Cancel{entry.first});
        return true;
    });
    group.inFlight = 0;
    finishIfDecided(now, out);
    return out;
}

std::vector<Action> Fanout::onFailure(AttemptId id, Failure failure, TimePoint now)
{
    std::vector<Action> out;
    const auto it = m_attempts.find(id);
    if (m_finished || it == m_attempts.end())
        return out;
    const int groupId = it->second.group;
    auto &group = m_groups.at(groupId);
    // A server that shed the attempt did not execute it and may soon have free capacity, so it
    // stays eligible for retries and hedges.
    if (failure == Failure::Shed)
        group.tried.erase(it->second.server);
    m_attempts.erase(it);
    --group.inFlight;
    if (!group.answered && group.inFlight == 0) {
        // Failures without execution: an attempt at the next server is no additional load.
        const bool notExecuted = failure == Failure::SnapshotMissing || failure == Failure::Draining
            || failure == Failure::NotReached;
        if (notExecuted || m_hooks.mayRetry(groupId, failure, now)) {
            retryGroup(groupId, now, out);
        } else if (failure == Failure::Shed) {
            postponeRetry(groupId, now);
        }
        if (failure == Failure::SnapshotMissing && group.inFlight == 0)
            fallBack(now, out);
    }
    finishIfDecided(now, out);
    return out;
}

void Fanout::retryGroup(int id, TimePoint now, std::vector<Action> &out)
{
    if (sendTo(id, now, out))
        return;
    setWaiting(id, true);
    m_groups.at(id).retryAt = now + retryInterval;
}

void Fanout::hedgeGroup(int id, TimePoint now, std::vector<Action> &out)
{
    auto &group = m_groups.at(id);
    const auto server = m_hooks.pick(m_query.sequence, id, group.tried, m_snapshot.id, now);
    if (!server || !m_hooks.mayHedge(id, now)) {
        group.hedgeAt = now + hedgeRetryInterval;
        return;
    }
    group.hedged = true;
    sendToServer(id, *server, now, out);
}

void Fanout::setWaiting(int id, bool waits)
{
    auto &group = m_groups.at(id);
    if (group.waiting == waits)
        return;
    group.waiting = waits;
    m_hooks.setWaiting(m_query.sequence, id, waits);
}

void Fanout::stopWaiting()
{
    for (const auto &it : m_groups)
        setWaiting(it.first, false);
}

void Fanout::postponeRetry(int id, TimePoint now)
{
    // The shed attempt was not executed, so the group is retried when the servers stop shedding.
    auto &group = m_groups.at(id);
    setWaiting(id, true);
    group.needsRetryBudget = true;
    group.retryAt = now + shedRetryInterval;
    group.tried.clear();
}

void Fanout::fallBack(TimePoint now, std::vector<Action> &out)
{
    const auto *other = m_hooks.fallbackSnapshot(m_triedSnapshots, now);
    if (other == nullptr || now >= m_query.deadline)
        return;
    Answer answer = currentAnswer();
    if (!m_bestPrevious || coverage(answer) > coverage(*m_bestPrevious))
        m_bestPrevious = std::move(answer);
    cancelInFlight(out);
    startSnapshot(routing::Snapshot(*other), now, out);
}

std::vector<Action> Fanout::onTimer(TimePoint now)
{
    std::vector<Action> out;
    if (m_finished)
        return out;
    for (auto &[id, group] : m_groups) {
        if (group.answered)
            continue;
        if (group.waiting && now >= group.retryAt) {
            if (group.needsRetryBudget && !m_hooks.mayRetry(id, Failure::Shed, now)) {
                postponeRetry(id, now);
                continue;
            }
            retryGroup(id, now, out);
            // All servers were tried: make all of them eligible for the next retry.
            if (group.waiting && group.inFlight == 0)
                group.tried.clear();
            continue;
        }
        const bool due = group.inFlight == 1 && !group.hedged && now >= group.hedgeAt;
        if (due)
            hedgeGroup(id, now, out);
    }
    finishIfDecided(now, out);
    return out;
}

std::vector<Action> Fanout::onCapacityFree(int id, TimePoint now)
{
    const auto it = m_groups.find(id);
    if (!m_finished && it != m_groups.end() && it->second.waiting)
        it->second.retryAt = now;
    return onTimer(now);
}

std::vector<Action> Fanout::cancel()
{
    std::vector<Action> out;
    m_finished = true;
    stopWaiting();
    cancelInFlight(out);
    return out;
}

TimePoint Fanout::earlyAnswerAt() const
{
    return std::min(m_query.deadline, m_startedAt + m_query.allowance.answerAfter);
}

TimePoint Fanout::nextTimer() const
{
    if (m_finished)
        return TimePoint::max();
    TimePoint wake = m_query.deadline;
    const bool early = m_query.allowance.prefer == config::Preference::Latency;
    if (early && coverage(currentAnswer()) >= m_query.allowance.coverageFloor)
        wake = std::min(wake, earlyAnswerAt());
    for (const auto &it : m_groups) {
        const auto &group = it.second;
        if (group.answered)
            continue;
        if (group.waiting) {
            wake = std::min(wake, group.retryAt);
        } else if (group.inFlight == 1 && !group.hedged) {
            wake = std::min(wake, group.hedgeAt);
        }
    }
    return wake;
}

bool Fanout::allGroupsSettled() const
{
    return std::all_of(m_groups.begin(), m_groups.end(), [](const auto &it) {
        return it.second.answered || (it.second.inFlight == 0 && !it.second.waiting);
    });
}

void Fanout::finishIfDecided(TimePoint now, std::vector<Action> &out)
{
    if (m_finished)
        return;
    if (allGroupsSettled() || now >= m_query.deadline)
        return finish(out);
    const bool early = m_query.allowance.prefer == config::Preference::Latency;
    if (early && now >= earlyAnswerAt()
        && coverage(currentAnswer()) >= m_query.allowance.coverageFloor)
        finish(out);
}

Answer Fanout::currentAnswer() const
{
    Answer answer;
    answer.snapshot = m_snapshot.id;
    answer.answeredDocuments = m_answeredDocuments;
    answer.allDocuments = m_snapshot.documents();
    answer.parts = m_parts;
    for (const auto &it : m_groups) {
        if (!it.second.answered)
            answer.missingGroups.push_back(it.first);
    }
    return answer;
}

void Fanout::finish(std::vector<Action> &out)
{
    m_finished = true;
    stopWaiting();
    cancelInFlight(out);
    Answer answer = currentAnswer();
    if (m_bestPrevious && coverage(*m_bestPrevious) > coverage(answer))
        answer = std::move(*m_bestPrevious);
    if (answer.answeredDocuments < answer.allDocuments)
        answer.code = core::ResultCode::PartialCoverage;
    if (answer.parts.empty())
        answer.code = core::ResultCode::NothingInTime;
    out.push_back(Finish{std::move(answer)});
}

void Fanout::cancelInFlight(std::vector<Action> &out)
{
    for (const auto &it : m_attempts)
        out.push_back(Cancel{it.first});
    m_attempts.clear();
}

} // namespace goldcrestline::policy::fanout
