#pragma once

#include "core/result.h"
#include "policy/access/workspace.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace goldcrestline::policy::access {

// Longest API key, in bytes.
inline constexpr std::size_t maxKeyBytes = 8192;
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
    // False if the workspace's entry is malformed: requests with its keys are refused.
    bool usable = true;
};

// All workspaces of one configuration version, by the digests of their keys. Immutable.
class KeyTable
{
public:
    // Appends error 5031 for what cannot be used: the second of two workspaces with the same name,
    // a key of two workspaces, keys beyond the most. Thread-safe.
    static std::shared_ptr<const KeyTable> make(std::vector<WorkspaceKeys> entries,
                                                std::vector<core::Error> &errors);

    // Returns whether the key with this digest is known, and cannot be used: its workspace is
    // malformed, or two hold it. Thread-safe.
    bool isUnusable(const std::string &digest) const { return m_unusable.count(digest) != 0; }

    // Returns the workspace that holds the usable key with this digest, or null. The time that it
    // takes says nothing about the keys, since only digests are compared. Thread-safe.
    const Workspace *findByDigest(const std::string &digest) const;

    // Returns the usable workspace with this name, or null. Thread-safe.
    const Workspace *find(const std::string &name) const;

    const std::vector<Workspace> &workspaces() const { return m_workspaces; }

private:
    void addKeys(const std::vector<std::string> &digests, std::optional<std::size_t> index,
                 std::vector<core::Error> &errors);

    // The usable workspaces.
    std::vector<Workspace> m_workspaces;
    // Indices of workspaces by name, and by the digest of a key.
    std::unordered_map<std::string, std::size_t> m_byName;
    std::unordered_map<std::string, std::size_t> m_byDigest;
    // Digests of the keys that cannot be used.
    std::unordered_set<std::string> m_unusable;
};

using KeyTablePtr = std::shared_ptr<const KeyTable>;

} // namespace goldcrestline::policy::access
