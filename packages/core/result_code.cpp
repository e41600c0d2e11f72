#include "core/result_code.h"

#include "core/name_table.h"

#include <algorithm>

namespace goldcrestline::core {

namespace {

constexpr NameTable<ResultClass, 3> resultClassNames{{
    {ResultClass::Done, "done"},
    {ResultClass::RefusedNotRun, "refused, not run"},
    {ResultClass::OutcomeUnknown, "outcome unknown"},
}};

} // namespace

const std::vector<ResultCodeInfo> &resultCodeTable()
{
    using enum ResultCode;
    constexpr auto done = ResultClass::Done;
    constexpr auto unknown = ResultClass::OutcomeUnknown;
    constexpr auto refused = ResultClass::RefusedNotRun;
    static const std::vector<ResultCodeInfo> table{
        {Ok, "ok", done, 200, "The request was answered in full."},
        {PartialCoverage, "partial-coverage", done, 200,
         "The answer covers part of the documents."},
        {NoChange, "no-change", done, 200, "The lists already hold this change."},
        {MalformedRequest, "malformed-request", refused, 400, "The request is malformed."},
        {BodyTooLarge, "body-too-large", refused, 413, "The body exceeds the set limit."},
        {UnknownPath, "unknown-path", refused, 404, "No such path or method."},
        {RequestTimeout, "request-timeout", refused, 408, "The request arrived too slowly."},
        {MissingCustomer, "missing-customer", refused, 400, "The X-Customer header is missing."},
        {UnknownCustomer, "unknown-customer", refused, 403, "The customer has no plan."},
        {ServiceNotInPlan, "service-not-in-plan", refused, 403,
         "The plan may not use this service."},
        {UnknownService, "unknown-service", refused, 404, "No server list names this service."},
        {PlanLimitReached, "plan-limit-reached", refused, 429, "The plan's rate is used up."},
        {Overloaded, "overloaded", refused, 503, "The service is at its capacity."},
        {HostStopping, "host-stopping", refused, 503, "This host is stopping; use another."},
        {HostBehind, "host-behind", refused, 503, "This host may hold an old configuration."},
        {NoConfiguration, "no-configuration", refused, 503, "This host has no configuration yet."},
        {NoServerAvailable, "no-server-available", refused, 503,
         "No backend server took the request."},
        {DeadlineTooShort, "deadline-too-short", refused, 400, "The deadline is out of range."},
        {NoSnapshot, "no-snapshot", refused, 503, "No snapshot of the index is known."},
        {NoRoute, "no-route", refused, 404, "No route leads to this host and path."},
        {HeadTooLarge, "head-too-large", refused, 431, "The head exceeds the set limit."},
        {KeyReusedWithOtherBody, "key-reused", refused, 422, "The key was used with another body."},
        {KeyNotYours, "key-not-yours", refused, 403, "The key was issued to another customer."},
        {KeyMalformed, "key-malformed", refused, 400, "The idempotency key is malformed."},
        {PlatformUnconfirmed, "platform-unconfirmed", refused, 503,
         "The platform did not confirm the record."},
        {ServerRejected, "server-rejected", refused, 400,
         "The backend server rejected the request unrun."},
        {UnknownKey, "unknown-key", refused, 401, "The request has no valid API key."},
        {QuotaExceeded, "quota-exceeded", refused, 429, "The workspace's rate is used up."},
        {WorkspaceUnusable, "workspace-unusable", refused, 503,
         "The entry of the key's workspace in the configuration is malformed."},
        {RouteUnusable, "route-unusable", refused, 503,
         "The route's entry in the configuration is malformed."},
        {OutcomeUnknown, "outcome-unknown", unknown, 502, "The request may have run."},
        {IssuerGone, "issuer-gone", unknown, 502, "The host that issued the key is gone."},
        {KeyExpired, "key-expired", unknown, 410, "The key expired; what it ran is forgotten."},
        {IssuerTimeout, "issuer-timeout", unknown, 504,
         "The host that issued the key did not answer."},
        {RecordedElsewhere, "recorded-elsewhere", unknown, 502,
         "Another host began this request and is gone."},
        {NothingInTime, "nothing-in-time", unknown, 504, "No backend server answered in time."},
        {ServersFailed, "servers-failed", unknown, 502,
         "The backend servers that were tried failed."},
        {CrashesServers, "crashes-servers", unknown, 502,
         "Backend servers crashed while they ran this request; it is not sent again for a time."},
        {SettingsUnreadable, "settings-unreadable", refused, 400,
         "The settings file cannot be read."},
        {SettingsSyntax, "settings-syntax", refused, 400, "The settings file is not valid TOML."},
        {SettingsUnknownKey, "settings-unknown-key", refused, 400,
         "The settings hold an unknown key."},
        {SettingsWrongType, "settings-wrong-type", refused, 400, "A setting has the wrong type."},
        {SettingsOutOfRange, "settings-out-of-range", refused, 400, "A setting is out of range."},
        {SettingsMissing, "settings-missing", refused, 400, "A required setting is missing."},
        {CommandLine, "command-line", refused, 400, "The command line is not valid."},
        {ListsSyntax, "lists-syntax", refused, 400, "The lists are not valid JSON."},
        {ListsUnknownField, "lists-unknown-field", refused, 400,
         "The lists hold an unknown field."},
        {ListsWrongType, "lists-wrong-type", refused, 400,
         "A field of the lists has the wrong type."},
        {ListsOutOfRange, "lists-out-of-range", refused, 400,
         "A field of the lists is out of range."},
        {ListsUnknownPlan, "lists-unknown-plan", refused, 400,
         "A customer is on a plan that no list describes."},
        {ListsConflict, "lists-conflict", refused, 409,
         "Another operator changed the lists first."},
        {ListsNotConfirmed, "lists-not-confirmed", unknown, 504,
         "The platform did not confirm the change."},
        {PlatformUnreachable, "platform-unreachable", refused, 503,
         "The platform does not answer."},
        {HostUnreachable, "host-unreachable", refused, 503, "The host does not answer."},
        {PlatformObject, "platform-object", refused, 400,
         "An object of the platform is malformed."},
        {ConfigurationPart, "configuration-part", refused, 400,
         "A part of the configuration is malformed and left out."},
    };
    return table;
}

const ResultCodeInfo &infoOf(ResultCode code)
{
    const auto &table = resultCodeTable();
    const auto it = std::find_if(table.begin(), table.end(),
                                 [code](const ResultCodeInfo &info) { return info.code == code; });
    return it == table.end() ? table.front() : *it;
}

ResultCode resultCodeForHttpStatus(int httpStatus)
{
    using enum ResultCode;
    for (const auto code : {BodyTooLarge, RequestTimeout, HeadTooLarge, Overloaded}) {
        if (infoOf(code).httpStatus == httpStatus)
            return code;
    }
    return MalformedRequest;
}

std::string_view nameOf(ResultClass resultClass)
{
    return nameIn(resultClassNames, resultClass);
}

} // namespace goldcrestline::core
