#include "policy/access/key_table.h"

#include "core/hash.h"

namespace goldcrestline::policy::access {

using core::Error;
using core::ResultCode;

std::string digestOf(std::string_view key)
{
    return core::sha256Hex(key);
}

core::Result<std::shared_ptr<const KeyTable>> KeyTable::make(std::vector<WorkspaceKeys> entries)
{
    auto table = std::make_shared<KeyTable>();
    for (auto &it : entries) {
        const auto index = table->m_workspaces.size();
        const auto &name = it.workspace.name;
        if (!table->m_byName.emplace(name, index).second)
            return Error{ResultCode::PlatformObject, "workspace '" + name + "' occurs twice"};
        for (auto &digest : it.digests) {
            if (!table->m_byDigest.emplace(std::move(digest), index).second) {
                return Error{ResultCode::PlatformObject,
                             "a key of workspace '" + name + "' occurs twice"};
            }
        }
        if (table->m_byDigest.size() > maxKeys) {
            return Error{ResultCode::PlatformObject,
                         "more than " + std::to_string(maxKeys) + " keys"};
        }
        table->m_workspaces.push_back(std::move(it.workspace));
    }
    return std::shared_ptr<const KeyTable>(std::move(table));
}

const Workspace *KeyTable::findByDigest(const std::string &digest) const
{
    const auto it = m_byDigest.find(digest);
    return it == m_byDigest.end() ? nullptr : &m_workspaces[it->second];
}

const Workspace *KeyTable::find(const std::string &name) const
{
    const auto it = m_byName.find(name);
    return it == m_byName.end() ? nullptr : &m_workspaces[it->second];
}

} // namespace goldcrestline::policy::access
