#include "../support-2/server.h"

using namespace review;

namespace {

constexpr double drainSeconds = 3.0;
constexpr std::size_t oddEntries = 32;
constexpr std::size_t writers = 8;
constexpr std::size_t oddBytes = 1000000;

// A request that a server ran, by the caller's clock.
struct Run
{
    double sentAt = 0;
    std::string server;
    std::string line;
};

class Callers
{
public:
    Callers(const Deployment &deployment, Record &record)
    {
        constexpr int perHost = 4;
        for (int i = 0; i < perHost * deployment.size(); ++i) {
            m_threads.emplace_back([this, &deployment, &record, i] {
                const int host = i % deployment.size();
                HttpConnection connection(deployment.callers(host));
                for (int k = 0; !m_stop; ++k) {
                    const auto id = "h" + std::to_string(host) + "-" + std::to_string(i) + "-"
                        + std::to_string(k);
                    const double sentAt = elapsed();
                    const auto answer = connection.request(
                        "GET", "/one/x",
                        {{"Host", "shop.example"}, {"X-Request-Id", id}, {"X-Deadline-Ms", "1000"}},
                        {}, 1200);
                    auto server = answer.header("X-Server-Stamp");
                    server = server.substr(0, server.find('.'));
                    const auto line = id + " status=" + std::to_string(answer.status) + " "
                        + answer.failure + " ran=" + server;
                    record.line(line, sentAt);
                    if (!server.empty()) {
                        const std::lock_guard guard(m_mutex);
                        m_runs.push_back({sentAt, server, line});
                    }
                    std::this_thread::sleep_for(20ms);
                }
            });
        }
    }
    ~Callers() { finish(); }
    const std::vector<Run> &finish()
    {
        m_stop = true;
        for (auto &it : m_threads) {
            if (it.joinable())
                it.join();
        }
        return m_runs;
    }

private:
    std::atomic<bool> m_stop{false};
    std::vector<std::thread> m_threads;
    std::mutex m_mutex;
    std::vector<Run> m_runs;
};

bool isBroken(Record &record, bool trouble)
{
    DeploymentOptions options;
    options.configuration =
        makeConfiguration(1, json::array({makeRoute("one", {{"service", "one"}})}), {"one"});
    Deployment deployment(options);
    record.note("the hosts serve");
    std::vector<std::unique_ptr<Server>> servers;
    for (int i = 0; i < 4; ++i) {
        const auto id = "i-one-" + std::to_string(i);
        servers.push_back(std::make_unique<Server>(
            id, "one", Deployment::zone(i % 3), deployment.storeAddress,
            [id](const ServerRequest &request) {
                return ServerReply{
                    200, {{"X-Server-Stamp", id + "." + request.id()}}, "answer", 5ms};
            }));
    }
    std::this_thread::sleep_for(8s);
    // No page of a list is longer than one entry, as the store's are 1 MB at most.
    deployment.setStore({{"page_size", 1}});
    Callers callers(deployment, record);
    std::this_thread::sleep_for(2s);
    if (trouble) {
        const json object{{"meta", {{"name", ""}}},
                          {"spec", {{"note", std::string(oddBytes, 'x')}}}};
        std::vector<std::string> bodies;
        for (std::size_t i = 0; i < oddEntries; ++i) {
            auto odd = object;
            odd["meta"]["name"] = "note-" + std::to_string(i);
            bodies.push_back(odd.dump());
        }
        record.note("another writer begins to write");
        std::atomic<std::size_t> written{0};
        std::vector<std::thread> threads;
        for (std::size_t first = 0; first < writers; ++first) {
            threads.emplace_back([&, first] {
                for (std::size_t i = first; i < bodies.size(); i += writers) {
                    const auto answer = callOnce(deployment.storeAddress, "POST",
                                                 "/objects/servers", bodies[i], 10000);
                    written += answer.status == 200 ? 1 : 0;
                }
            });
        }
        for (auto &it : threads)
            it.join();
        if (written != bodies.size())
            throw CannotRun("the store refused an odd entry");
        record.note("another writer has written " + std::to_string(oddEntries)
                    + " entries that name no server");
    } else {
        std::this_thread::sleep_for(2s);
    }
    std::this_thread::sleep_for(1s);
    servers.front()->drain();
    const double drainingAt = elapsed();
    record.note("a server has reported that it is draining");
    std::this_thread::sleep_for(8s);
    int late = 0;
    double latest = 0;
    for (const auto &it : callers.finish()) {
        if (it.server != servers.front()->id() || it.sentAt < drainingAt)
            continue;
        latest = std::max(latest, it.sentAt - drainingAt);
        if (it.sentAt > drainingAt + drainSeconds)
            ++late;
    }
    record.note("last request sent " + std::to_string(latest)
                + " s after the acknowledgement reached the draining server; requests sent over "
                + std::to_string(drainSeconds) + " s after it: " + std::to_string(late));
    return late > 0;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, isBroken);
}
