#include "daemon/engine/request_record.h"

#include <nlohmann/json.hpp>

namespace goldcrestline::daemon::engine {

using nlohmann::json;

std::string serializeRecord(const RequestRecord &record)
{
    json object{{"host", record.host},
                {"incarnation", record.incarnation},
                {"body_digest", record.bodyDigest},
                {"expires_at_ms", record.expiresAt}};
    if (record.outcome) {
        object["outcome"] = {{"code", static_cast<int>(record.outcome->code)},
                             {"detail", record.outcome->detail},
                             {"body", record.outcome->body}};
    }
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<RequestRecord> parseRecord(const std::string &text)
{
    try {
        const json object = json::parse(text);
        RequestRecord record;
        record.host = object.at("host").get<std::string>();
        record.incarnation = object.at("incarnation").get<std::uint64_t>();
        record.bodyDigest = object.at("body_digest").get<std::string>();
        record.expiresAt = object.at("expires_at_ms").get<core::WallMillis>();
        if (object.contains("outcome")) {
            const auto &it = object.at("outcome");
            record.outcome = policy::idempotency::Outcome{
                static_cast<core::ResultCode>(it.at("code").get<int>()),
                it.at("detail").get<std::string>(), it.at("body").get<std::string>()};
        }
        return record;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace goldcrestline::daemon::engine
