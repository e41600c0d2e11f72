#include "policy/access/key_table.h"

#include "core/hash.h"

namespace goldcrestline::policy::access {

using core::Error;
using core::ResultCode;

std::string digestOf(std::string_view key)
{
    return core::sha256Hex(key);
}

std::shared_ptr<const KeyTable> KeyTable::make(std::vector<WorkspaceKeys> entries,
                                               std::vector<Error> &errors)
{
    auto table = std::make_shared<KeyTable>();
    for (auto &it : entries) {
        const auto index = table->m_workspaces.size();
        if (!it.usable) {
            table->addKeys(it.digests, std::nullopt, errors);
            continue;
        }
        if (!table->m_byName.emplace(it.workspace.name, index).second) {
            errors.push_back({ResultCode::ConfigurationPart,
                              "workspace '" + it.workspace.name + "' occurs twice"});
            table->addKeys(it.digests, std::nullopt, errors);
            continue;
        }
        table->m_workspaces.push_back(std::move(it.workspace));
        table->addKeys(it.digests, index, errors);
    }
    return table;
}

void KeyTable::addKeys(const std::vector<std::string> &digests, std::optional<std::size_t> index,
                       std::vector<Error> &errors)
{
    for (const auto &it : digests) {
        const auto known = m_byDigest.find(it);
        if (known != m_byDigest.end() && index == known->second)
            continue;
        if (known != m_byDigest.end()) {
            errors.push_back({ResultCode::ConfigurationPart,
                              "workspace '" + m_workspaces[known->second].name
                                  + "' holds a key of another one"});
            m_byDigest.erase(known);
            m_unusable.insert(it);
        } else if (m_byDigest.size() + m_unusable.size() >= maxKeys && m_unusable.count(it) == 0) {
            errors.push_back(
                {ResultCode::ConfigurationPart, "more than " + std::to_string(maxKeys) + " keys"});
            return;
        } else if (index && m_unusable.count(it) == 0) {
            m_byDigest.emplace(it, *index);
        } else {
            m_unusable.insert(it);
        }
    }
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
