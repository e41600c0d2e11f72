#pragma once

#include "core/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

// Asynchronous HTTP client on a libcurl multi handle.
namespace goldcrestline::adapters::curl {

using TransferId = std::uint64_t;

// One request. Header names in the answer are lower case.
struct Transfer
{
    std::string method = "GET";
    std::string url;
    std::vector<std::string> headers;
    std::shared_ptr<const std::string> body;
    core::Millis timeout{1000};
    core::Millis idleLimit{20000};
    // Uses a connection of its own, which is closed afterwards. libcurl sends a request again
    // by itself when a reused connection turns out dead, and never on a new one.
    bool ownConnection = false;
    // Judges an answer by its status and headers; refusing ends the transfer as broken and closes
    // the connection. Empty accepts all.
    std::function<bool(int, const std::map<std::string, std::string> &)> accept;
};

// How a transfer ended.
enum class TransferEnd { Answered, NotReached, Broken, TimedOut };

struct TransferResult
{
    TransferEnd end = TransferEnd::Broken;
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
    // False only if no byte of the request was sent.
    bool sent = true;
};

using TransferHandler = std::function<void(TransferResult)>;

// Owned by one task; all methods but wake() are called from it.
class HttpClient
{
public:
    HttpClient();
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    // Starts a transfer; `done` is called once, from run() or close().
    TransferId start(Transfer transfer, TransferHandler done);

    // Ends a transfer now and closes its connection; `done` is called with TimedOut.
    void close(TransferId id);

    // Waits for sockets up to `wait`, then reports ended transfers.
    void run(core::Millis wait);

    // Ends a wait. Thread-safe.
    void wake();

private:
    struct Active;
    void report();

    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace goldcrestline::adapters::curl
