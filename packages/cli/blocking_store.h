#pragma once

#include "adapters/loop/exchange_client.h"
#include "platform/document_store.h"

#include <boost/asio/io_context.hpp>
#include <string>

namespace goldcrestline::cli {

// The project's documents on the platform, for commands that wait for each call. Not thread-safe.
class BlockingStore
{
public:
    // `address` is the store's "IP:PORT".
    explicit BlockingStore(std::string address);

    // Error: 5020 if the platform does not answer.
    core::Result<ports::StoredObject> read(const std::string &name);
    ports::WriteOutcome write(const std::string &name, std::uint64_t expected,
                              const std::string &text);

private:
    void send(ports::ExchangeRequest request, core::Millis timeout,
              platform::DocumentStore::Done done);
    void runLoop();

    std::string m_address;
    boost::asio::io_context m_io{1};
    adapters::loop::ExchangeClient m_client;
    platform::DocumentStore m_store;
};

} // namespace goldcrestline::cli
