#include "policy/idempotency/key.h"
#include "policy/idempotency/ledger.h"

#include "core/hash.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace goldcrestline;
using namespace goldcrestline::policy::idempotency;
using core::ResultCode;

TEST_CASE("an issued key is valid only for its issuer and its customer", "[once]")
{
    const KeyIssuer issuer("host-1", 42, core::randomHex(16));
    const KeyIssuer other("host-1", 42, core::randomHex(16));
    const auto text = issuer.issue("app", 1000);
    const auto key = parseIssuedKey(text);
    REQUIRE(key);
    CHECK(key->host == "host-1");
    CHECK(key->incarnation == 42);
    CHECK(issuer.check(*key, "app").has_value());
    CHECK(issuer.check(*key, "thief").error().code == ResultCode::KeyNotYours);
    CHECK_FALSE(other.check(*key, "app").has_value());
    auto extended = *key;
    extended.expiresAt += 1;
    CHECK_FALSE(issuer.check(extended, "app").has_value());
}

TEST_CASE("any text parses as an issued key or as a key chosen by the caller", "[once]")
{
    rc::prop("the parser accepts arbitrary input", [](const std::string &text) {
        parseIssuedKey(text);
        parseIssuedKey("gk1." + text);
    });
    CHECK_FALSE(parseIssuedKey("order-7781"));
    CHECK_FALSE(parseIssuedKey("gk1.h.x.1.r.m"));
    CHECK_FALSE(parseIssuedKey("gk1.h.1.-x.r.m"));
}

TEST_CASE("a ledger dispatches a key again only if its request was not executed", "[once]")
{
    rc::prop("random sequences of requests, outcomes and clock changes", [] {
        Ledger ledger;
        core::WallMillis now = 0;
        constexpr core::WallMillis expiresAt = 50;
        std::map<std::string, int> executions;
        std::map<std::string, bool> running;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
        for (const int step : steps) {
            const auto key = "k" + std::to_string(step % 3);
            if (step < 50) {
                const auto decision = ledger.decide(key, "body", expiresAt, now);
                if (decision == KeyDecision::Dispatch) {
                    RC_ASSERT(!running[key]);
                    RC_ASSERT(executions[key] == 0);
                    running[key] = true;
                }
                RC_ASSERT(decision != KeyDecision::Join || running[key]);
            } else if (step < 80 && running[key]) {
                const auto code = step < 60 ? ResultCode::NoServerAvailable
                    : step < 70             ? ResultCode::OutcomeUnknown
                                            : ResultCode::Ok;
                executions[key] += code == ResultCode::NoServerAvailable ? 0 : 1;
                running[key] = false;
                ledger.complete(key, {code, "", ""});
            } else {
                now += step - 80;
                ledger.expire(now);
            }
        }
    });
}

TEST_CASE("a clock that is set back does not make an expired key valid again", "[once]")
{
    Ledger ledger;
    CHECK(ledger.decide("k", "one", 100, 0) == KeyDecision::Dispatch);
    ledger.complete("k", {ResultCode::Ok, "", ""});
    ledger.expire(150);
    CHECK(ledger.size() == 0);
    CHECK(ledger.decide("k", "one", 100, 50) == KeyDecision::Expired);
}

TEST_CASE("a successor with a slow clock does not make an expired key valid again", "[once]")
{
    Ledger ledger;
    CHECK(ledger.decide("k", "one", 100, 0) == KeyDecision::Dispatch);
    ledger.complete("k", {ResultCode::Ok, "", ""});
    ledger.expire(150);
    Ledger successor;
    successor.adopt(ledger.seal(), ledger.latestTime());
    CHECK(successor.decide("k", "one", 100, 50) == KeyDecision::Expired);
}

TEST_CASE("a ledger distinguishes a different body, an expired key and its sealed state", "[once]")
{
    Ledger ledger;
    CHECK(ledger.decide("k", "one", 100, 0) == KeyDecision::Dispatch);
    CHECK(ledger.decide("k", "one", 100, 0) == KeyDecision::Join);
    CHECK(ledger.decide("k", "two", 100, 0) == KeyDecision::BodyMismatch);
    ledger.complete("k", {ResultCode::Ok, "", "receipt"});
    CHECK(ledger.decide("k", "one", 100, 0) == KeyDecision::Replay);
    CHECK(ledger.outcome("k").body == "receipt");
    CHECK(ledger.decide("late", "one", 100, 100) == KeyDecision::Expired);
    ledger.expire(100);
    CHECK(ledger.size() == 0);
    CHECK(ledger.decide("k", "one", 100, 100) == KeyDecision::Expired);
    CHECK(ledger.decide("new", "one", 200, 100) == KeyDecision::Dispatch);
    const auto entries = ledger.seal();
    CHECK(ledger.decide("other", "one", 200, 100) == KeyDecision::Sealed);
    Ledger successor;
    successor.adopt(entries, ledger.latestTime());
    CHECK(successor.decide("new", "one", 200, 100) == KeyDecision::Replay);
    CHECK(successor.outcome("new").code == ResultCode::OutcomeUnknown);
    CHECK(successor.decide("other", "one", 200, 100) == KeyDecision::Dispatch);
}
