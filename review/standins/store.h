#pragma once

#include "http.h"

#include <condition_variable>
#include <nlohmann/json.hpp>

namespace review {

using nlohmann::json;

// Stand-in of the platform's metadata store, sound in every respect: objects by kind and name,
// revisions, conditional writes, lists in pages of 500 objects or 1 MB, and watches. Thread-safe.
class Store
{
public:
    explicit Store(const std::string &address);

    const std::string &address() const { return m_listener->address(); }

    // Creates or replaces an object and returns its revision, as another client of the store does.
    std::uint64_t put(const std::string &kind, const std::string &name, const json &spec);
    void remove(const std::string &kind, const std::string &name);

    // Copies all objects, for restore().
    void copy();
    // While the store is away, it closes its connections and answers nothing.
    void setAway(bool away);
    // Goes back to the copy: revisions return to lower values, and the era rises by one.
    void restore();

private:
    struct Object
    {
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        json spec;
        json status;
    };
    struct Event
    {
        std::uint64_t revision = 0;
        std::string kind;
        json event;
    };

    static json toJson(const std::string &name, const Object &object);
    std::optional<std::string> answer(const Request &request);
    Response handle(const Request &request);
    Response list(const std::string &kind, const std::string &after);
    Response watch(const Request &request, const std::string &kind);
    Response write(const Request &request, const std::string &kind, const std::string &name);
    void addEvent(const std::string &kind, const std::string &name, const Object &object,
                  bool deleted);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, Object>> m_kinds;
    std::vector<Event> m_events;
    std::uint64_t m_revision = 1;
    // Watches from an earlier revision get 410.
    std::uint64_t m_oldestRevision = 0;
    std::uint64_t m_era = 1;
    std::atomic<bool> m_away = false;
    std::map<std::string, std::map<std::string, Object>> m_copiedKinds;
    std::uint64_t m_copiedRevision = 0;
    std::unique_ptr<Listener> m_listener;
};

} // namespace review
