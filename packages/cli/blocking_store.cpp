#include "cli/blocking_store.h"

#include <optional>

namespace goldcrestline::cli {

namespace {

constexpr core::Millis platformTimeout{1000};
constexpr core::Millis step{50};

} // namespace

BlockingStore::BlockingStore(std::string address)
    : m_address(std::move(address)), m_client(m_io, {}),
      m_store(
          [this](ports::ExchangeRequest request, core::Millis timeout,
                 platform::DocumentStore::Done done) {
              send(std::move(request), timeout, std::move(done));
          },
          platformTimeout)
{ }

core::Result<ports::StoredObject> BlockingStore::read(const std::string &name)
{
    std::optional<core::Result<ports::StoredObject>> result;
    m_store.read(name, [&](auto it) { result.emplace(std::move(it)); });
    while (!result)
        runLoop();
    return *result;
}

ports::WriteOutcome BlockingStore::write(const std::string &name, std::uint64_t expected,
                                         const std::string &text)
{
    std::optional<ports::WriteOutcome> end;
    m_store.write(name, expected, text, [&](ports::WriteOutcome it, std::uint64_t) { end = it; });
    while (!end)
        runLoop();
    return *end;
}

void BlockingStore::send(ports::ExchangeRequest request, core::Millis timeout,
                         platform::DocumentStore::Done done)
{
    const auto now = core::Clock::now();
    request.deadline = now + timeout;
    m_client.send(m_address, std::move(request), now, std::move(done));
}

void BlockingStore::runLoop()
{
    m_io.restart();
    m_io.run_one_for(step);
    m_client.tick(core::Clock::now());
}

} // namespace goldcrestline::cli
