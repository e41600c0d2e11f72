#include "daemon/engine/responses.h"

#include <nlohmann/json.hpp>

namespace goldcrestline::daemon::engine {

using nlohmann::json;

namespace {

constexpr std::int64_t millisPerSecond = 1000;

json resultFields(core::ResultCode code)
{
    const auto &info = core::infoOf(code);
    return {{"code", static_cast<int>(code)},
            {"result", info.name},
            {"class", core::nameOf(info.resultClass)}};
}

ports::HttpResponse makeResponse(core::ResultCode code, const json &body)
{
    const auto &info = core::infoOf(code);
    ports::HttpResponse response;
    response.status = info.httpStatus;
    response.headers["Content-Type"] = "application/json";
    response.headers["X-Result-Code"] = std::to_string(static_cast<int>(code));
    response.headers["X-Result-Class"] = std::string(core::nameOf(info.resultClass));
    response.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    return response;
}

// Returns a server's body as JSON; a body that is not valid JSON becomes a JSON string.
json toJsonValue(const std::string &text)
{
    json value = json::parse(text, nullptr, false);
    return value.is_discarded() ? json(text) : value;
}

} // namespace

ports::HttpResponse responseFor(core::ResultCode code, const std::string &detail,
                                std::optional<core::Millis> retryAfter)
{
    json body = resultFields(code);
    body["text"] = core::infoOf(code).text;
    if (!detail.empty())
        body["detail"] = detail;
    if (retryAfter)
        body["retry_after_ms"] = retryAfter->count();
    auto response = makeResponse(code, body);
    if (retryAfter) {
        const auto seconds = (retryAfter->count() + millisPerSecond - 1) / millisPerSecond;
        response.headers["Retry-After"] = std::to_string(seconds);
    }
    return response;
}

ports::HttpResponse responseFor(const std::string &queryId, const policy::fanout::Answer &answer)
{
    json body = resultFields(answer.code);
    body["query_id"] = queryId;
    body["snapshot"] = {{"index_version", answer.snapshot.indexVersion},
                        {"shard_map", answer.snapshot.shardMap}};
    body["coverage"] = {{"answered", answer.answeredDocuments}, {"total", answer.allDocuments}};
    body["missing_groups"] = answer.missingGroups;
    body["parts"] = json::array();
    for (const auto &[group, text] : answer.parts)
        body["parts"].push_back({{"group", group}, {"answer", toJsonValue(text)}});
    return makeResponse(answer.code, body);
}

ports::HttpResponse responseFor(const policy::idempotency::Outcome &outcome)
{
    json body = resultFields(outcome.code);
    body["text"] = core::infoOf(outcome.code).text;
    if (!outcome.detail.empty())
        body["detail"] = outcome.detail;
    if (outcome.code == core::ResultCode::Ok)
        body["answer"] = toJsonValue(outcome.body);
    return makeResponse(outcome.code, body);
}

} // namespace goldcrestline::daemon::engine
