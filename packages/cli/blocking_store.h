#pragma once

#include "adapters/loop/exchange_client.h"
#include "platform/document_store.h"

#include <boost/asio/io_context.hpp>
#include <string>

namespace goldcrestline::cli {

// Synchronous access to the documents in the platform's store. Each call blocks until it completes
// or times out. Not thread-safe.
class BlockingStore
{
public:
    // `address`: address of the store, "IP:PORT".
    explicit BlockingStore(std::string address);

    // Reads an object. Its revision is 0 if it does not exist. Error: 5020 if the platform does not
    // respond.
    core::Result<ports::StoredObject> read(const std::string &name);

    // Writes an object if its stored version is still `expected`.
    ports::WriteOutcome write(const std::string &name, core::Version expected,
                              const std::string &text);

private:
    void send(ports::ExchangeRequest request, core::Millis timeout,
              platform::DocumentStore::Done done);
    // Runs at most one event of the loop and processes timeouts.
    void runOnce();

    std::string m_address;
    boost::asio::io_context m_io{1};
    adapters::loop::ExchangeClient m_client;
    platform::DocumentStore m_store;
};

} // namespace goldcrestline::cli
