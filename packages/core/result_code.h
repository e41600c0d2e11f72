#pragma once

#include <string_view>
#include <vector>

// Numbered result codes, shared by the caller interface, the command line and the logs.
namespace goldcrestline::core {

// Whether a request was executed: it was, it certainly was not, or this is not known.
enum class ResultClass { Done, RefusedNotRun, OutcomeUnknown };

enum class ResultCode : int {
    Ok = 1000,
    PartialCoverage = 1001,
    NoChange = 1002,

    MalformedRequest = 2000,
    BodyTooLarge = 2001,
    UnknownPath = 2002,
    RequestTimeout = 2003,
    MissingCustomer = 2010,
    UnknownCustomer = 2011,
    ServiceNotInPlan = 2012,
    UnknownService = 2013,
    PlanLimitReached = 2020,
    Overloaded = 2021,
    HostStopping = 2022,
    HostBehind = 2023,
    NoConfiguration = 2024,
    NoServerAvailable = 2025,
    DeadlineTooShort = 2026,
    NoRoute = 2028,
    HeadTooLarge = 2029,
    NoSnapshot = 2027,
    KeyReusedWithOtherBody = 2030,
    KeyNotYours = 2031,
    KeyMalformed = 2032,
    PlatformUnconfirmed = 2033,
    ServerRejected = 2040,
    UnknownKey = 2050,
    QuotaExceeded = 2051,
    WorkspaceUnusable = 2052,
    RouteUnusable = 2053,

    OutcomeUnknown = 3000,
    IssuerGone = 3001,
    KeyExpired = 3002,
    IssuerTimeout = 3003,
    RecordedElsewhere = 3004,
    NothingInTime = 3010,
    ServersFailed = 3011,
    CrashesServers = 3012,

    SettingsUnreadable = 4000,
    SettingsSyntax = 4001,
    SettingsUnknownKey = 4002,
    SettingsWrongType = 4003,
    SettingsOutOfRange = 4004,
    SettingsMissing = 4005,
    CommandLine = 4010,

    ListsSyntax = 5000,
    ListsUnknownField = 5001,
    ListsWrongType = 5002,
    ListsOutOfRange = 5003,
    ListsUnknownPlan = 5004,
    ListsConflict = 5010,
    ListsNotConfirmed = 5011,
    PlatformUnreachable = 5020,
    HostUnreachable = 5021,
    PlatformObject = 5030,
    ConfigurationPart = 5031,
};

// Properties of one result code.
struct ResultCodeInfo
{
    ResultCode code;
    std::string_view name;
    ResultClass resultClass;
    int httpStatus;
    std::string_view text;
};

// Returns the table of all result codes, in ascending order of their numbers. Thread-safe.
const std::vector<ResultCodeInfo> &resultCodeTable();

// Returns the properties of `code`. Precondition: `code` is an enumerator. Thread-safe.
const ResultCodeInfo &infoOf(ResultCode code);

// Returns the result code of a request that is refused with this HTTP status before it was read
// completely; MalformedRequest if no specific code has this status. Thread-safe.
ResultCode resultCodeForHttpStatus(int httpStatus);

// Returns "done", "refused, not run" or "outcome unknown". Thread-safe.
std::string_view nameOf(ResultClass resultClass);

} // namespace goldcrestline::core
