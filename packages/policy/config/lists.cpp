#include "policy/config/lists.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace goldcrestline::policy::config {

using core::Error;
using core::ResultCode;
using nlohmann::json;

namespace {

constexpr std::size_t maxHistoryEntries = 400;
constexpr double maxRatePerSecond = 1e6;
// A target of 1 would leave no error budget, so that the burn rate would be a division by zero.
constexpr double maxTarget = 0.99999;
constexpr int maxDeadlineMs = 60000;
constexpr std::size_t maxTextBytes = 128;

// Reads the fields of one JSON object and keeps the first error. A field that is absent leaves the
// output parameter unchanged.
class FieldReader
{
public:
    FieldReader(const json &object, std::string path) : m_object(object), m_path(std::move(path))
    {
        if (!m_object.is_object())
            fail(ResultCode::ListsWrongType, "", "an object");
    }

    void number(const char *key, double low, double high, double &out)
    {
        m_known.insert(key);
        if (!has(key))
            return;
        const auto &value = m_object[key];
        if (!value.is_number())
            return fail(ResultCode::ListsWrongType, key, "a number");
        const double n = value.get<double>();
        if (!(n >= low && n <= high)) {
            return fail(ResultCode::ListsOutOfRange, key,
                        std::to_string(low) + " to " + std::to_string(high));
        }
        out = n;
    }

    void millis(const char *key, core::Millis &out)
    {
        double n = static_cast<double>(out.count());
        number(key, 1, maxDeadlineMs, n);
        out = core::Millis(static_cast<std::int64_t>(n));
    }

    void text(const char *key, std::string &out)
    {
        m_known.insert(key);
        if (!has(key))
            return;
        const auto &value = m_object[key];
        if (!value.is_string() || value.get_ref<const std::string &>().size() > maxTextBytes)
            return fail(ResultCode::ListsWrongType, key, "a string of at most 128 bytes");
        out = value.get<std::string>();
    }

    template <typename Enum, std::size_t N>
    void enumValue(const char *key, const core::NameTable<Enum, N> &table, Enum &out)
    {
        std::string value(core::nameIn(table, out));
        text(key, value);
        const auto found = core::valueIn(table, value);
        if (!found)
            return fail(ResultCode::ListsOutOfRange, key, "a known value, not '" + value + "'");
        out = *found;
    }

    const json &object(const char *key)
    {
        static const json empty = json::object();
        m_known.insert(key);
        if (!has(key))
            return empty;
        if (!m_object[key].is_object()) {
            fail(ResultCode::ListsWrongType, key, "an object");
            return empty;
        }
        return m_object[key];
    }

    // Accepts a field that the caller reads itself.
    void allowField(const char *key) { m_known.insert(key); }

    // Returns the first error, or an error for a field that no call has named.
    std::optional<Error> finish()
    {
        if (m_error || !m_object.is_object())
            return m_error;
        for (const auto &it : m_object.items()) {
            if (m_known.count(it.key()) == 0)
                return Error{ResultCode::ListsUnknownField, "unknown field " + m_path + it.key()};
        }
        return std::nullopt;
    }

private:
    bool has(const char *key) const { return m_object.is_object() && m_object.contains(key); }

    void fail(ResultCode code, const std::string &key, const std::string &expected)
    {
        if (!m_error)
            m_error = Error{code, m_path + key + " must be " + expected};
    }

    const json &m_object;
    std::string m_path;
    std::set<std::string> m_known;
    std::optional<Error> m_error;
};

std::optional<Error> readServicePolicy(const json &object, const std::string &path,
                                       ServicePolicy &out)
{
    FieldReader reader(object, path);
    reader.enumValue("priority", priorityNames, out.priority);
    reader.enumValue("prefer", preferenceNames, out.prefer);
    reader.millis("deadline_ms", out.deadline);
    out.answerAfter = out.deadline / 2;
    reader.millis("answer_after_ms", out.answerAfter);
    reader.number("coverage_floor", 0, 1, out.coverageFloor);
    reader.number("target_in_time", 0, maxTarget, out.targetInTime);
    reader.number("target_coverage", 0, maxTarget, out.targetCoverage);
    return reader.finish();
}

std::optional<Error> readPlan(const json &object, const std::string &path, Plan &out)
{
    FieldReader reader(object, path);
    reader.number("rate_per_s", 0, maxRatePerSecond, out.ratePerSecond);
    const auto &services = reader.object("services");
    for (const auto &it : services.items()) {
        auto error = readServicePolicy(it.value(), path + "services." + it.key() + ".",
                                       out.services[it.key()]);
        if (error)
            return error;
    }
    return reader.finish();
}

std::optional<Error> readCustomers(const json &customers, Lists &out)
{
    for (const auto &it : customers.items()) {
        FieldReader reader(it.value(), "customers." + it.key() + ".");
        std::string plan;
        reader.text("plan", plan);
        if (auto error = reader.finish())
            return error;
        if (out.plans.count(plan) == 0) {
            return Error{ResultCode::ListsUnknownPlan,
                         "customers." + it.key() + ".plan refers to the undefined plan '" + plan
                             + "'"};
        }
        out.planByCustomer[it.key()] = plan;
    }
    return std::nullopt;
}

std::vector<Change> readHistory(const json &object)
{
    std::vector<Change> history;
    for (const auto &it : object.value("history", json::array())) {
        history.push_back({it.value("change_id", ""), it.value("author", ""),
                           it.value("revision", std::uint64_t{0}),
                           it.value("accepted_at_ms", core::WallMillis{0})});
    }
    return history;
}

json editableFields(const Lists &lists)
{
    json object{{"customers", json::object()}, {"plans", json::object()}};
    for (const auto &[customer, plan] : lists.planByCustomer)
        object["customers"][customer] = {{"plan", plan}};
    for (const auto &[name, plan] : lists.plans) {
        json services = json::object();
        for (const auto &[service, it] : plan.services) {
            services[service] = {{"priority", core::nameIn(priorityNames, it.priority)},
                                 {"prefer", core::nameIn(preferenceNames, it.prefer)},
                                 {"deadline_ms", it.deadline.count()},
                                 {"answer_after_ms", it.answerAfter.count()},
                                 {"coverage_floor", it.coverageFloor},
                                 {"target_in_time", it.targetInTime},
                                 {"target_coverage", it.targetCoverage}};
        }
        object["plans"][name] = {{"rate_per_s", plan.ratePerSecond}, {"services", services}};
    }
    return object;
}

} // namespace

const Plan *Lists::planFor(const std::string &customer) const
{
    const auto it = planByCustomer.find(customer);
    if (it == planByCustomer.end())
        return nullptr;
    const auto plan = plans.find(it->second);
    return plan == plans.end() ? nullptr : &plan->second;
}

bool Lists::containsChange(std::string_view changeId) const
{
    return std::any_of(history.begin(), history.end(),
                       [&](const Change &it) { return it.changeId == changeId; });
}

core::Result<Lists> parseLists(std::string_view text)
{
    const json object = json::parse(text, nullptr, false);
    if (object.is_discarded())
        return Error{ResultCode::ListsSyntax, "the text is not valid JSON"};
    Lists lists;
    FieldReader reader(object, "");
    reader.allowField("era");
    reader.allowField("revision");
    reader.allowField("history");
    const auto &plans = reader.object("plans");
    const auto &customers = reader.object("customers");
    if (auto error = reader.finish())
        return *error;
    for (const auto &it : plans.items()) {
        if (auto error = readPlan(it.value(), "plans." + it.key() + ".", lists.plans[it.key()]))
            return *error;
    }
    if (auto error = readCustomers(customers, lists))
        return *error;
    try {
        lists.era = object.value("era", std::uint64_t{0});
        lists.revision = object.value("revision", std::uint64_t{0});
        lists.history = readHistory(object);
    } catch (const json::exception &) {
        return Error{ResultCode::ListsWrongType, "era, revision or history has the wrong type"};
    }
    return lists;
}

std::string serializeLists(const Lists &lists)
{
    json object = editableFields(lists);
    object["era"] = lists.era;
    object["revision"] = lists.revision;
    object["history"] = json::array();
    for (const auto &it : lists.history) {
        object["history"].push_back({{"change_id", it.changeId},
                                     {"author", it.author},
                                     {"revision", it.revision},
                                     {"accepted_at_ms", it.acceptedAt}});
    }
    return object.dump();
}

std::string serializeEditableFields(const Lists &lists)
{
    return editableFields(lists).dump(2);
}

Lists nextRevision(const Lists &current, Lists edit, std::string changeId, std::string author,
                   std::uint64_t era, core::WallMillis now)
{
    edit.era = std::max(current.era, era);
    edit.revision = current.revision + 1;
    edit.history = current.history;
    edit.history.push_back({std::move(changeId), std::move(author), edit.revision, now});
    if (edit.history.size() > maxHistoryEntries)
        edit.history.erase(edit.history.begin());
    return edit;
}

} // namespace goldcrestline::policy::config
