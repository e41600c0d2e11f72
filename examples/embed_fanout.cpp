#include "policy/fanout/fanout.h"

#include <iostream>

// Runs one query over two groups with the policy library alone, without network or event loop.
int main()
{
    using namespace goldcrestline;
    namespace fanout = policy::fanout;

    fanout::AttemptId lastAttempt = 0;
    fanout::Hooks hooks;
    hooks.pick = [](auto, int group, const auto &, auto, auto) {
        return "server-" + std::to_string(group);
    };
    hooks.setWaiting = [](auto...) {};
    hooks.mayHedge = [](auto...) { return false; };
    hooks.mayRetry = [](auto...) { return false; };
    hooks.hedgeDelay = [](auto) { return std::chrono::milliseconds(20); };
    hooks.fallbackSnapshot = [](const auto &, auto) { return nullptr; };
    hooks.nextAttempt = [&] { return ++lastAttempt; };

    const auto now = core::Clock::now();
    const policy::routing::Snapshot snapshot{{7, 1}, {{0, 100}, {1, 100}}};
    fanout::Query query{"q", 0, {}, now + std::chrono::seconds(1)};
    fanout::Fanout stateMachine(query, snapshot, hooks);
    for (const auto &action : stateMachine.start(now)) {
        const auto &send = std::get<fanout::Send>(action);
        fanout::Reply reply{"q", send.group, send.snapshot, 100, "hit"};
        auto verdict = fanout::ReplyVerdict::Ignored;
        for (const auto &it : stateMachine.onReply(send.attempt, reply, now, verdict)) {
            if (const auto *finish = std::get_if<fanout::Finish>(&it))
                std::cout << finish->answer.answeredDocuments << " of "
                          << finish->answer.allDocuments << " documents\n";
        }
    }
    return stateMachine.finished() ? 0 : 1;
}
