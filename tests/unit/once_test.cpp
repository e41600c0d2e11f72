#include "policy/once/key.h"
#include "policy/once/ledger.h"

#include "core/hash.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace goldcrestline;
using namespace goldcrestline::policy::once;
using core::ResultCode;

TEST_CASE("an issued key is valid only for its issuer and its customer", "[once]")
{
    const KeyIssuer issuer("host-1", 42, core::randomHex(16));
    const KeyIssuer other("host-1", 42, core::randomHex(16));
    const auto text = issuer.issue("app", 1000);
    const auto key = parseOwnedKey(text);
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
        parseOwnedKey(text);
        parseOwnedKey("gk1." + text);
    });
    CHECK_FALSE(parseOwnedKey("order-7781"));
    CHECK_FALSE(parseOwnedKey("gk1.h.x.1.r.m"));
    CHECK_FALSE(parseOwnedKey("gk1.h.1.-x.r.m"));
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
                if (decision == Verdict::Run) {
                    RC_ASSERT(!running[key]);
                    RC_ASSERT(executions[key] == 0);
                    running[key] = true;
                }
                RC_ASSERT(decision != Verdict::Join || running[key]);
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
    CHECK(ledger.decide("k", "one", 100, 0) == Verdict::Run);
    ledger.complete("k", {ResultCode::Ok, "", ""});
    ledger.expire(150);
    CHECK(ledger.size() == 0);
    CHECK(ledger.decide("k", "one", 100, 50) == Verdict::Expired);
}

TEST_CASE("a successor with a slow clock does not make an expired key valid again", "[once]")
{
    Ledger ledger;
    CHECK(ledger.decide("k", "one", 100, 0) == Verdict::Run);
    ledger.complete("k", {ResultCode::Ok, "", ""});
    ledger.expire(150);
    Ledger successor;
    successor.adopt(ledger.seal(), ledger.latest());
    CHECK(successor.decide("k", "one", 100, 50) == Verdict::Expired);
}

TEST_CASE("a ledger distinguishes a different body, an expired key and its sealed state", "[once]")
{
    Ledger ledger;
    CHECK(ledger.decide("k", "one", 100, 0) == Verdict::Run);
    CHECK(ledger.decide("k", "one", 100, 0) == Verdict::Join);
    CHECK(ledger.decide("k", "two", 100, 0) == Verdict::OtherBody);
    ledger.complete("k", {ResultCode::Ok, "", "receipt"});
    CHECK(ledger.decide("k", "one", 100, 0) == Verdict::Replay);
    CHECK(ledger.outcome("k").body == "receipt");
    CHECK(ledger.decide("late", "one", 100, 100) == Verdict::Expired);
    ledger.expire(100);
    CHECK(ledger.size() == 0);
    CHECK(ledger.decide("k", "one", 100, 100) == Verdict::Expired);
    CHECK(ledger.decide("new", "one", 200, 100) == Verdict::Run);
    const auto entries = ledger.seal();
    CHECK(ledger.decide("other", "one", 200, 100) == Verdict::Sealed);
    Ledger successor;
    successor.adopt(entries, ledger.latest());
    CHECK(successor.decide("new", "one", 200, 100) == Verdict::Replay);
    CHECK(successor.outcome("new").code == ResultCode::OutcomeUnknown);
    CHECK(successor.decide("other", "one", 200, 100) == Verdict::Run);
}
