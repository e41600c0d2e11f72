#pragma once

#include "adapters/curl/http_client.h"
#include "ports/platform_store.h"

namespace goldcrestline::adapters::curl {

// The platform's object API over HTTP. Owned by one task.
class HttpPlatformStore : public ports::PlatformStore
{
public:
    // Precondition: `client` outlives this.
    HttpPlatformStore(HttpClient &client, std::string address, core::Millis timeout);

    void read(const std::string &name, ports::ReadHandler done) override;
    void watch(const std::string &name, std::uint64_t version, core::Millis wait,
               ports::ReadHandler done) override;
    void write(const std::string &name, std::uint64_t expected, std::string text,
               ports::WriteHandler done) override;

    // Calls made since the start.
    std::uint64_t calls() const { return m_calls; }

private:
    void get(const std::string &path, core::Millis timeout, ports::ReadHandler done);

    HttpClient &m_client;
    std::string m_address;
    core::Millis m_timeout;
    std::uint64_t m_calls = 0;
};

} // namespace goldcrestline::adapters::curl
