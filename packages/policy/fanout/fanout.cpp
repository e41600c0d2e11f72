#include "policy/fanout/fanout.h"

#include <algorithm>

namespace goldcrestline::policy::fanout {

using core::TimePoint;

namespace {

// Wait before a group without a usable server is tried again.
constexpr core::Duration retryPause = std::chrono::milliseconds(5);
// Wait before a hedge that was not allowed, or found no server, is tried again.
constexpr core::Duration hedgePause = std::chrono::milliseconds(5);
// Wait before a group whose server was full is tried again.
constexpr core::Duration shedPause = std::chrono::milliseconds(10);

double share(const Answer &answer)
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
    begin(routing::Snapshot(m_snapshot), now, out);
    maybeFinish(now, out);
    return out;
}

void Fanout::begin(const routing::Snapshot &snapshot, TimePoint now, std::vector<Action> &out)
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
        group.retryAt = now + retryPause;
    }
}

bool Fanout::sendTo(int id, TimePoint now, std::vector<Action> &out)
{
    const auto server = m_hooks.pick(m_query.order, id, m_groups.at(id).tried, m_snapshot.id, now);
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
    group.postponed = false;
    group.hedgeAt = now + m_hooks.hedgeDelay(now);
    ++group.live;
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
    const bool proven =
        reply.queryId == m_query.id && reply.group == groupId && reply.snapshot == m_snapshot.id;
    if (!proven) {
        verdict = ReplyVerdict::Foreign;
        return onFailure(id, Failure::Broken, now);
    }
    // A server that knows fewer documents than the shard map does not hold the whole snapshot.
    if (reply.documents < m_snapshot.documentsByGroup.at(groupId))
        return onFailure(id, Failure::SnapshotMissing, now);
    m_attempts.erase(it);
    auto &group = m_groups.at(groupId);
    --group.live;
    if (group.answered)
        return out;
    verdict = ReplyVerdict::Taken;
    group.answered = true;
    setWaiting(groupId, false);
    m_parts[groupId] = reply.body;
    m_answeredDocuments += std::min(reply.documents, m_snapshot.documentsByGroup.at(groupId));
    // The losers of the race are cancelled.
    std::erase_if(m_attempts, [&](const auto &entry) {
        if (entry.second.group != groupId)
            return false;
        out.push_back(Cancel{entry.first});
        return true;
    });
    group.live = 0;
    maybeFinish(now, out);
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
    // A server that was full ran nothing and may soon have room, for a hedge too.
    if (failure == Failure::Shed)
        group.tried.erase(it->second.server);
    m_attempts.erase(it);
    --group.live;
    if (!group.answered && group.live == 0) {
        // These ran nothing, so asking the next server is no extra work.
        const bool free = failure == Failure::SnapshotMissing || failure == Failure::Draining
            || failure == Failure::NotReached;
        if (free || m_hooks.mayRetry(groupId, failure, now)) {
            retryGroup(groupId, now, out);
        } else if (failure == Failure::Shed) {
            postpone(groupId, now);
        }
        if (failure == Failure::SnapshotMissing && group.live == 0)
            fallBack(now, out);
    }
    maybeFinish(now, out);
    return out;
}

void Fanout::retryGroup(int id, TimePoint now, std::vector<Action> &out)
{
    if (sendTo(id, now, out))
        return;
    setWaiting(id, true);
    m_groups.at(id).retryAt = now + retryPause;
}

void Fanout::hedgeGroup(int id, TimePoint now, std::vector<Action> &out)
{
    auto &group = m_groups.at(id);
    const auto server = m_hooks.pick(m_query.order, id, group.tried, m_snapshot.id, now);
    if (!server || !m_hooks.mayHedge(id, now)) {
        group.hedgeAt = now + hedgePause;
        return;
    }
    group.hedged = true;
    sendToServer(id, *server, now, out);
}

void Fanout::setWaiting(int id, bool waits)
{
    auto &group = m_groups.at(id);
    if (group.wantsServer == waits)
        return;
    group.wantsServer = waits;
    m_hooks.setWaiting(m_query.order, id, waits);
}

void Fanout::stopWaiting()
{
    for (const auto &it : m_groups)
        setWaiting(it.first, false);
}

void Fanout::postpone(int id, TimePoint now)
{
    // Nothing ran, so the group is tried again once the servers stopped shedding.
    auto &group = m_groups.at(id);
    setWaiting(id, true);
    group.postponed = true;
    group.retryAt = now + shedPause;
    group.tried.clear();
}

void Fanout::fallBack(TimePoint now, std::vector<Action> &out)
{
    const auto *other = m_hooks.fallbackSnapshot(m_triedSnapshots, now);
    if (other == nullptr || now >= m_query.deadline)
        return;
    Answer answer = currentAnswer();
    if (!m_earlier || share(answer) > share(*m_earlier))
        m_earlier = std::move(answer);
    cancelLive(out);
    begin(routing::Snapshot(*other), now, out);
}

std::vector<Action> Fanout::onTimer(TimePoint now)
{
    std::vector<Action> out;
    if (m_finished)
        return out;
    for (auto &[id, group] : m_groups) {
        if (group.answered)
            continue;
        if (group.wantsServer && now >= group.retryAt) {
            if (group.postponed && !m_hooks.mayRetry(id, Failure::Shed, now)) {
                postpone(id, now);
                continue;
            }
            retryGroup(id, now, out);
            // All servers were tried: a later try may use any of them again.
            if (group.wantsServer && group.live == 0)
                group.tried.clear();
            continue;
        }
        const bool due = group.live == 1 && !group.hedged && now >= group.hedgeAt;
        if (due)
            hedgeGroup(id, now, out);
    }
    maybeFinish(now, out);
    return out;
}

std::vector<Action> Fanout::onCapacityFree(int id, TimePoint now)
{
    const auto it = m_groups.find(id);
    if (!m_finished && it != m_groups.end() && it->second.wantsServer)
        it->second.retryAt = now;
    return onTimer(now);
}

std::vector<Action> Fanout::cancel()
{
    std::vector<Action> out;
    m_finished = true;
    stopWaiting();
    cancelLive(out);
    return out;
}

TimePoint Fanout::answerAt() const
{
    return std::min(m_query.deadline, m_startedAt + m_query.allowance.answerAfter);
}

TimePoint Fanout::nextTimer() const
{
    if (m_finished)
        return TimePoint::max();
    TimePoint wake = m_query.deadline;
    const bool early = m_query.allowance.prefer == config::Preference::Latency;
    if (early && share(currentAnswer()) >= m_query.allowance.coverageFloor)
        wake = std::min(wake, answerAt());
    for (const auto &it : m_groups) {
        const auto &group = it.second;
        if (group.answered)
            continue;
        if (group.wantsServer) {
            wake = std::min(wake, group.retryAt);
        } else if (group.live == 1 && !group.hedged) {
            wake = std::min(wake, group.hedgeAt);
        }
    }
    return wake;
}

bool Fanout::nothingLeft() const
{
    return std::all_of(m_groups.begin(), m_groups.end(), [](const auto &it) {
        return it.second.answered || (it.second.live == 0 && !it.second.wantsServer);
    });
}

void Fanout::maybeFinish(TimePoint now, std::vector<Action> &out)
{
    if (m_finished)
        return;
    if (nothingLeft() || now >= m_query.deadline)
        return finish(out);
    const bool early = m_query.allowance.prefer == config::Preference::Latency;
    if (early && now >= answerAt() && share(currentAnswer()) >= m_query.allowance.coverageFloor)
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
    cancelLive(out);
    Answer answer = currentAnswer();
    if (m_earlier && share(*m_earlier) > share(answer))
        answer = std::move(*m_earlier);
    if (answer.answeredDocuments < answer.allDocuments)
        answer.code = core::ResultCode::PartialCoverage;
    if (answer.parts.empty())
        answer.code = core::ResultCode::NothingInTime;
    out.push_back(Finish{std::move(answer)});
}

void Fanout::cancelLive(std::vector<Action> &out)
{
    for (const auto &it : m_attempts)
        out.push_back(Cancel{it.first});
    m_attempts.clear();
}

} // namespace goldcrestline::policy::fanout
