#include "adapters/curl/http_client.h"

#include <algorithm>
#include <curl/curl.h>
#include <mutex>
#include <unordered_map>

namespace goldcrestline::adapters::curl {

namespace {

constexpr long maxCachedConnections = 8192;
// A transfer with a larger response body fails.
constexpr std::size_t maxResponseBodyBytes = 64U << 20;

// Statuses of HTTP (RFC 9110, section 15).
constexpr long lowestStatus = 100;
constexpr long highestStatus = 599;

void initialiseCurl()
{
    static std::once_flag once;
    std::call_once(once, [] { curl_global_init(CURL_GLOBAL_ALL); });
}

std::string toLower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

// Receives the response from libcurl's callbacks.
struct ResponseSink
{
    TransferResult result;
    std::function<bool(int, const std::map<std::string, std::string> &)> accept;
    CURL *easy = nullptr;
    // The empty line after the headers was received. libcurl reports success if the connection is
    // closed before it.
    bool headComplete = false;
};

std::size_t onHeader(char *data, std::size_t size, std::size_t n, void *user)
{
    auto &sink = *static_cast<ResponseSink *>(user);
    auto &headers = sink.result.headers;
    const std::string line(data, size * n);
    const bool endsHead = line == "\r\n";
    // An interim response has a head of its own; trailers follow the body.
    if (endsHead || line.starts_with("HTTP/"))
        sink.headComplete = endsHead;
    if (endsHead) {
        long status = 0;
        curl_easy_getinfo(sink.easy, CURLINFO_RESPONSE_CODE, &status);
        const bool accepted = status >= lowestStatus && status <= highestStatus
            && (!sink.accept || sink.accept(static_cast<int>(status), headers));
        // Returning another count than the given one makes libcurl fail the transfer and close the
        // connection.
        return accepted ? size * n : 0;
    }
    const auto colon = line.find(':');
    if (colon == std::string::npos)
        return size * n;
    auto value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    value.erase(value.find_last_not_of("\r\n ") + 1);
    headers[toLower(line.substr(0, colon))] = value;
    return size * n;
}

std::size_t onBody(char *data, std::size_t size, std::size_t n, void *user)
{
    auto &body = *static_cast<std::string *>(user);
    if (body.size() + size * n > maxResponseBodyBytes)
        return 0;
    body.append(data, size * n);
    return size * n;
}

TransferOutcome transferOutcome(CURLcode code, bool sent, bool headComplete)
{
    if (code == CURLE_OK)
        return headComplete ? TransferOutcome::Answered : TransferOutcome::Broken;
    if (!sent)
        return TransferOutcome::NotReached;
    return code == CURLE_OPERATION_TIMEDOUT ? TransferOutcome::TimedOut : TransferOutcome::Broken;
}

} // namespace

struct HttpClient::ActiveTransfer
{
    Transfer transfer;
    TransferHandler done;
    ResponseSink sink;
    curl_slist *headers = nullptr;
    TransferId id = 0;
};

struct HttpClient::Impl
{
    CURLM *multi = nullptr;
    std::unordered_map<TransferId, std::unique_ptr<ActiveTransfer>> active;
    // Easy handles for reuse.
    std::vector<CURL *> idleHandles;
    TransferId lastId = 0;
};

HttpClient::HttpClient() : m_impl(std::make_unique<Impl>())
{
    initialiseCurl();
    m_impl->multi = curl_multi_init();
    curl_multi_setopt(m_impl->multi, CURLMOPT_MAXCONNECTS, maxCachedConnections);
    curl_multi_setopt(m_impl->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
}

HttpClient::~HttpClient()
{
    for (auto &it : m_impl->active) {
        curl_multi_remove_handle(m_impl->multi, it.second->sink.easy);
        curl_easy_cleanup(it.second->sink.easy);
        curl_slist_free_all(it.second->headers);
    }
    for (auto *it : m_impl->idleHandles)
        curl_easy_cleanup(it);
    curl_multi_cleanup(m_impl->multi);
}

TransferId HttpClient::start(Transfer transfer, TransferHandler done)
{
    auto active = std::make_unique<ActiveTransfer>();
    active->transfer = std::move(transfer);
    active->done = std::move(done);
    active->id = ++m_impl->lastId;
    if (m_impl->idleHandles.empty()) {
        active->sink.easy = curl_easy_init();
    } else {
        active->sink.easy = m_impl->idleHandles.back();
        m_impl->idleHandles.pop_back();
        curl_easy_reset(active->sink.easy);
    }
    auto *easy = active->sink.easy;
    active->sink.accept = active->transfer.accept;
    const auto &it = active->transfer;
    active->headers = curl_slist_append(active->headers, "Connection: keep-alive");
    active->headers = curl_slist_append(active->headers, "Expect:");
    for (const auto &header : it.headers)
        active->headers = curl_slist_append(active->headers, header.c_str());
    curl_easy_setopt(easy, CURLOPT_URL, it.url.c_str());
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, it.method.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, active->headers);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, std::max<long>(1, it.timeout.count()));
    constexpr long millisPerSecond = 1000;
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN,
                     std::max<long>(1, it.idleTimeout.count() / millisPerSecond));
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, it.freshConnection ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, it.freshConnection ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, onHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &active->sink);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, onBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &active->sink.result.body);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, active.get());
    if (it.body) {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, it.body->data());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(it.body->size()));
    }
    curl_multi_add_handle(m_impl->multi, easy);
    const auto id = active->id;
    m_impl->active.emplace(id, std::move(active));
    return id;
}

void HttpClient::close(TransferId id)
{
    const auto it = m_impl->active.find(id);
    if (it == m_impl->active.end())
        return;
    auto active = std::move(it->second);
    m_impl->active.erase(it);
    // Removing a handle during a transfer closes its connection.
    curl_multi_remove_handle(m_impl->multi, active->sink.easy);
    curl_easy_cleanup(active->sink.easy);
    curl_slist_free_all(active->headers);
    active->sink.result.outcome = TransferOutcome::TimedOut;
    active->done(std::move(active->sink.result));
}

void HttpClient::run(core::Millis wait)
{
    int running = 0;
    curl_multi_perform(m_impl->multi, &running);
    dispatchCompleted();
    curl_multi_poll(m_impl->multi, nullptr, 0, static_cast<int>(wait.count()), nullptr);
    curl_multi_perform(m_impl->multi, &running);
    dispatchCompleted();
}

void HttpClient::dispatchCompleted()
{
    int queuedMessages = 0;
    while (auto *message = curl_multi_info_read(m_impl->multi, &queuedMessages)) {
        if (message->msg != CURLMSG_DONE)
            continue;
        auto *easy = message->easy_handle;
        const auto code = message->data.result;
        ActiveTransfer *completed = nullptr;
        curl_easy_getinfo(easy, CURLINFO_PRIVATE, &completed);
        const auto it = m_impl->active.find(completed->id);
        auto active = std::move(it->second);
        m_impl->active.erase(it);
        long status = 0;
        long sentRequestBytes = 0;
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
        curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &sentRequestBytes);
        active->sink.result.status = static_cast<int>(status);
        active->sink.result.sent = sentRequestBytes > 0;
        active->sink.result.outcome =
            transferOutcome(code, active->sink.result.sent, active->sink.headComplete);
        curl_multi_remove_handle(m_impl->multi, easy);
        curl_slist_free_all(active->headers);
        m_impl->idleHandles.push_back(easy);
        active->done(std::move(active->sink.result));
    }
}

void HttpClient::wake()
{
    curl_multi_wakeup(m_impl->multi);
}

} // namespace goldcrestline::adapters::curl
