#include "adapters/curl/http_platform_store.h"

#include <charconv>

namespace goldcrestline::adapters::curl {

namespace {

constexpr int statusOk = 200;
constexpr int statusNotModified = 304;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 412;
constexpr int lowestServerError = 500;

std::uint64_t versionOf(const TransferResult &result)
{
    const auto it = result.headers.find("x-version");
    std::uint64_t version = 0;
    if (it != result.headers.end())
        std::from_chars(it->second.data(), it->second.data() + it->second.size(), version);
    return version;
}

ports::WriteEnd writeEndOf(const TransferResult &result)
{
    if (result.end == TransferEnd::NotReached)
        return ports::WriteEnd::Refused;
    if (result.end != TransferEnd::Answered || result.status >= lowestServerError)
        return ports::WriteEnd::Unknown;
    if (result.status == statusOk)
        return ports::WriteEnd::Written;
    return result.status == statusConflict ? ports::WriteEnd::Conflict : ports::WriteEnd::Refused;
}

} // namespace

HttpPlatformStore::HttpPlatformStore(HttpClient &client, std::string address, core::Millis timeout)
    : m_client(client), m_address(std::move(address)), m_timeout(timeout)
{ }

void HttpPlatformStore::get(const std::string &path, core::Millis timeout, ports::ReadHandler done)
{
    ++m_calls;
    Transfer transfer;
    transfer.url = "http://" + m_address + "/v1/objects/" + path;
    transfer.timeout = timeout;
    m_client.start(std::move(transfer), [done = std::move(done)](TransferResult result) {
        const bool answered = result.end == TransferEnd::Answered;
        if (answered && result.status == statusOk)
            return done(ports::StoredObject{versionOf(result), std::move(result.body)});
        if (answered && (result.status == statusNotFound || result.status == statusNotModified))
            return done(ports::StoredObject{});
        done(core::Error{core::ResultCode::PlatformUnreachable,
                         "status " + std::to_string(result.status)});
    });
}

void HttpPlatformStore::read(const std::string &name, ports::ReadHandler done)
{
    get(name, m_timeout, std::move(done));
}

void HttpPlatformStore::watch(const std::string &name, std::uint64_t version, core::Millis wait,
                              ports::ReadHandler done)
{
    get(name + "?above=" + std::to_string(version) + "&wait_ms=" + std::to_string(wait.count()),
        wait + m_timeout, std::move(done));
}

void HttpPlatformStore::write(const std::string &name, std::uint64_t expected, std::string text,
                              ports::WriteHandler done)
{
    ++m_calls;
    Transfer transfer;
    transfer.method = "PUT";
    transfer.url = "http://" + m_address + "/v1/objects/" + name;
    transfer.headers = {"X-Expected-Version: " + std::to_string(expected)};
    transfer.body = std::make_shared<const std::string>(std::move(text));
    transfer.timeout = m_timeout;
    m_client.start(std::move(transfer), [done = std::move(done)](const TransferResult &result) {
        done(writeEndOf(result), versionOf(result));
    });
}

} // namespace goldcrestline::adapters::curl
