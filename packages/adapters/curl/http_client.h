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

// One request.
struct Transfer
{
    std::string method = "GET";
    std::string url;
    std::vector<std::string> headers;
    std::shared_ptr<const std::string> body;
    core::Millis timeout{1000};
    // A connection that was idle for longer is not reused.
    core::Millis idleTimeout{20000};
    // Uses a new connection, which is closed afterwards. When a reused connection turns out to be
    // closed, libcurl retries the request by itself; on a new connection it never does.
    bool freshConnection = false;
    // Checks a response by its status and headers. If it returns false, the transfer ends as broken
    // and its connection is closed. Empty accepts all responses.
    std::function<bool(int, const std::map<std::string, std::string> &)> accept;
};

// How a transfer ended.
enum class TransferOutcome { Answered, NotReached, Broken, TimedOut };

struct TransferResult
{
    TransferOutcome outcome = TransferOutcome::Broken;
    int status = 0;
    // By name in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
    // False only if no byte of the request was sent.
    bool sent = true;
};

using TransferHandler = std::function<void(TransferResult)>;

// Runs transfers concurrently and keeps connections for reuse. All methods except wake() must be
// called from one thread.
class HttpClient
{
public:
    HttpClient();
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    // Starts a transfer; `done` is called once, from run() or close().
    TransferId start(Transfer transfer, TransferHandler done);

    // Aborts a transfer and closes its connection; `done` is called with TimedOut. Unknown ids are
    // ignored.
    void close(TransferId id);

    // Waits for socket activity for up to `wait` and calls the handlers of completed transfers.
    void run(core::Millis wait);

    // Interrupts the wait in run(). Thread-safe.
    void wake();

private:
    struct ActiveTransfer;
    // Removes completed transfers and calls their handlers.
    void dispatchCompleted();

    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace goldcrestline::adapters::curl
