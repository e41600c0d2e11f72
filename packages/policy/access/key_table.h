#pragma once

#include "core/result.h"
#include "policy/access/workspace.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace goldcrestline::policy::access {

// Longest API key, in bytes.
inline constexpr std::size_t maxKeyBytes = 256;
// Most API keys of all workspaces together.
inline constexpr std::size_t maxKeys = 100000;

// Returns the digest by which a key is known to hosts, so that neither their memory nor their
// messages hold keys. Keys are random, so that the digest needs no salt. Thread-safe.
std::string digestOf(std::string_view key);

// A workspace with the digests of its keys.
struct WorkspaceKeys
{
    Workspace workspace;
    std::vector<std::string> digests;
};

// All workspaces of one configuration version, by the digests of their keys. Immutable.
class KeyTable
{
public:
    // Errors: 5030 if a name or a digest occurs twice, or there are too many keys. Thread-safe.
    static core::Result<std::shared_ptr<const KeyTable>> make(std::vector<WorkspaceKeys> entries);

    // Returns the workspace that holds the key with this digest, or null. The time that it takes
    // says nothing about the keys, since only digests are compared. Thread-safe.
    const Workspace *findByDigest(const std::string &digest) const;

    // Returns the workspace with this name, or null. Thread-safe.
    const Workspace *find(const std::string &name) const;

    const std::vector<Workspace> &workspaces() const { return m_workspaces; }

private:
    std::vector<Workspace> m_workspaces;
    // Indices of workspaces by name, and by the digest of a key.
    std::unordered_map<std::string, std::size_t> m_byName;
    std::unordered_map<std::string, std::size_t> m_byDigest;
};

using KeyTablePtr = std::shared_ptr<const KeyTable>;

} // namespace goldcrestline::policy::access
