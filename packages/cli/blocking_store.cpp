#include "cli/blocking_store.h"

#include <optional>

namespace goldcrestline::cli {

namespace {

constexpr core::Millis storeTimeout{1000};
constexpr core::Millis pollInterval{50};

} // namespace

BlockingStore::BlockingStore(std::string address)
    : m_address(std::move(address)), m_client(m_io, {}),
      m_store(
          [this](ports::ExchangeRequest request, core::Millis timeout,
                 platform::DocumentStore::Done done) {
              send(std::move(request), timeout, std::move(done));
          },
          storeTimeout)
{ }

core::Result<ports::StoredObject> BlockingStore::read(const std::string &name)
{
    std::optional<core::Result<ports::StoredObject>> result;
    m_store.read(name, [&](auto it) { result.emplace(std::move(it)); });
    while (!result)
        runOnce();
    return *result;
}

ports::WriteOutcome BlockingStore::write(const std::string &name, core::Version expected,
                                         const std::string &text)
{
    std::optional<ports::WriteOutcome> outcome;
    m_store.write(name, expected, text,
                  [&](ports::WriteOutcome it, core::Version) { outcome = it; });
    while (!outcome)
        runOnce();
    return *outcome;
}

void BlockingStore::send(ports::ExchangeRequest request, core::Millis timeout,
                         platform::DocumentStore::Done done)
{
    const auto now = core::Clock::now();
    request.deadline = now + timeout;
    request.progressTimeout = timeout;
    m_client.send(m_address, std::move(request), now, std::move(done));
}

void BlockingStore::runOnce()
{
    m_io.restart();
    m_io.run_one_for(pollInterval);
    m_client.tick(core::Clock::now());
}

} // namespace goldcrestline::cli
