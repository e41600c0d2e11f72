#include "policy/forward/route.h"

#include <algorithm>
#include <cctype>

namespace goldcrestline::policy::forward {

namespace {

std::string lowerCase(std::string_view text)
{
    std::string out(text);
    for (auto &it : out)
        it = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
    return out;
}

} // namespace

RouteTable::RouteTable(std::uint64_t version, std::vector<Route> routes,
                       std::map<std::string, ServiceTraits> services, CallerLimits callerLimits,
                       access::KeyTablePtr workspaces, std::vector<core::Error> leftOut)
    : m_version(version), m_routes(std::move(routes)), m_services(std::move(services)),
      m_callerLimits(callerLimits), m_workspaces(std::move(workspaces)),
      m_leftOut(std::move(leftOut))
{
    for (const auto &it : m_routes)
        m_byHost[lowerCase(it.host)].push_back(&it);
    for (auto &it : m_byHost) {
        std::stable_sort(it.second.begin(), it.second.end(), [](const Route *a, const Route *b) {
            return a->prefix.size() > b->prefix.size();
        });
    }
}

const Route *RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto it = m_byHost.find(lowerCase(host));
    if (it == m_byHost.end())
        return nullptr;
    for (const auto *route : it->second) {
        if (path.starts_with(route->prefix))
            return route;
    }
    return nullptr;
}

std::map<std::string, double> RouteTable::warmupRates() const
{
    std::map<std::string, double> out;
    for (const auto &it : m_services)
        out[it.first] = it.second.warmupPerSecond;
    return out;
}

} // namespace goldcrestline::policy::forward
