#include "../support-2/server.h"

using namespace review;

namespace {

constexpr double revokeSeconds = 5;

json configuration(std::uint64_t version, const std::string &tenant,
                   const std::vector<std::string> &keys)
{
    auto out =
        makeConfiguration(version, json::array({makeRoute("one", {{"service", "one"}})}), {"one"});
    out["tenants"] = json::array({{{"name", tenant}, {"api_keys", keys}}});
    return out;
}

// A request with the withdrawn key that a server ran.
struct Run
{
    double sentAt = 0;
    std::string line;
};

class Callers
{
public:
    Callers(const Deployment &deployment, Record &record)
    {
        constexpr int perHost = 2;
        for (int i = 0; i < perHost * deployment.size(); ++i) {
            m_threads.emplace_back([this, &deployment, &record, i] {
                const int host = i % deployment.size();
                HttpConnection connection(deployment.callers(host));
                for (int k = 0; !m_stop; ++k) {
                    const bool withdrawn = k % 2 == 0;
                    const auto id = "h" + std::to_string(host) + "-" + std::to_string(i) + "-"
                        + std::to_string(k);
                    const double sentAt = elapsed();
                    const auto answer = connection.request(
                        "GET", "/one/x",
                        {{"Host", "shop.example"},
                         {"X-Request-Id", id},
                         {"X-Deadline-Ms", "1000"},
                         {"Authorization", withdrawn ? "Token withdrawn-key" : "Token other-key"}},
                        {}, 1200);
                    const auto line = id + (withdrawn ? " withdrawn-key" : " other-key")
                        + " status=" + std::to_string(answer.status) + " " + answer.failure
                        + " ran=" + answer.header("X-Server-Stamp");
                    record.line(line, sentAt);
                    if (withdrawn && !answer.header("X-Server-Stamp").empty()) {
                        const std::lock_guard guard(m_mutex);
                        m_runs.push_back({sentAt, line});
                    }
                    std::this_thread::sleep_for(10ms);
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
    options.configuration = configuration(1, "lucerna", {"other-key", "withdrawn-key"});
    options.furtherSettings = "[access]\nstrict_revocation = 1\nrevoke_ms = 5000\n";
    Deployment deployment(options);
    record.note("the hosts serve");
    std::vector<std::unique_ptr<Server>> servers;
    for (int i = 0; i < 3; ++i) {
        const auto id = "i-one-" + std::to_string(i);
        servers.push_back(std::make_unique<Server>(
            id, "one", Deployment::zone(i), deployment.storeAddress,
            [id](const ServerRequest &request) {
                return ServerReply{
                    200, {{"X-Server-Stamp", id + "." + request.id()}}, "answer", 5ms};
            }));
    }
    std::this_thread::sleep_for(3s);
    Callers callers(deployment, record);
    std::this_thread::sleep_for(2s);
    deployment.apply(
        configuration(2, trouble ? "Lucerna Soglia" : "lucerna-soglia", {"other-key"}));
    const double revokedAt = elapsed();
    record.note("a configuration without the key is acknowledged");
    std::this_thread::sleep_for(9s);
    int late = 0;
    for (const auto &it : callers.finish()) {
        if (it.sentAt <= revokedAt + revokeSeconds)
            continue;
        if (++late <= 5)
            record.note("ran with the withdrawn key: " + it.line + ", sent "
                        + std::to_string(it.sentAt - revokedAt) + " s after the acknowledgement");
    }
    record.note("requests with the withdrawn key that were sent over 5 s after the "
                "acknowledgement and ran: "
                + std::to_string(late));
    return late > 0;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, isBroken);
}
