#include "daemon/forward/configuration_exchange.h"

#include "adapters/compression/compression.h"
#include "adapters/logging/log.h"
#include "core/hash.h"
#include "policy/mirror/document_delta.h"

#include <algorithm>
#include <utility>

namespace goldcrestline::daemon::forward {

using core::TimePoint;
using policy::mirror::applyDelta;
using policy::mirror::makeDelta;
using policy::mirror::pieceHashes;

namespace {

constexpr adapters::logging::LogChannel log("configuration:");

// Time without a part of the response after which a transfer has failed.
constexpr core::Millis transferTimeout{1000};
// Earlier configurations of which this host makes deltas.
constexpr std::size_t maxBases = 6;
// The platform's objects are up to 1 MB; digests take the place of shorter keys.
constexpr std::size_t maxTextBytes = 16UL << 20;

} // namespace

ConfigurationExchange::ConfigurationExchange(ports::PeerLink &peers, Hooks hooks)
    : m_peers(peers), m_hooks(std::move(hooks)), m_schedule({}, m_hooks.random)
{ }

void ConfigurationExchange::setInForce(const policy::access::ConfigurationId &id, std::string text)
{
    if (!m_text.empty())
        m_bases.push_back({m_inForce.digest, pieceHashes(m_text)});
    if (m_bases.size() > maxBases)
        m_bases.pop_front();
    m_inForce = id;
    m_text = std::move(text);
    m_deltas.clear();
    m_schedule.onOwnVersion(id.version);
}

void ConfigurationExchange::tick(TimePoint now)
{
    if (const auto address = m_schedule.next(now)) {
        const auto base = std::exchange(m_deltaRefused, false) ? 0 : m_inForce.digest;
        fetch(*address, ports::ConfigurationRequest{m_inForce.version, base}, now);
    }
}

void ConfigurationExchange::fetch(const std::string &address, const ports::PeerRequest &request,
                                  TimePoint now)
{
    ++m_fetches;
    m_peers.call(address, request, transferTimeout,
                 [this, address, startedAt = now,
                  whole = std::holds_alternative<ports::FetchRequest>(request)](
                     const ports::PeerResult &result) {
                     // A host of an earlier version knows only requests for the whole text.
                     if (result.outcome == ports::PeerOutcome::Unknown && !whole) {
                         return fetch(address, ports::FetchRequest{ports::DocumentKind::Lists},
                                      m_hooks.now());
                     }
                     onResult(result, address, startedAt);
                 });
}

void ConfigurationExchange::onResult(const ports::PeerResult &result, const std::string &address,
                                     TimePoint startedAt)
{
    const auto now = m_hooks.now();
    const bool answered = result.outcome == ports::PeerOutcome::Answered;
    bool usable = false;
    if (answered) {
        const auto *delta = std::get_if<ports::ConfigurationResponse>(&result.response);
        usable = delta != nullptr ? onDelta(*delta)
                                  : onWhole(std::get<ports::FetchResponse>(result.response));
    }
    m_deltaRefused = answered && !usable;
    m_schedule.onEnded(usable, now);
    const auto took =
        " host=" + address + " ms=" + std::to_string(core::wholeMillis(now - startedAt));
    if (usable)
        return log.info("fetched version=" + std::to_string(m_inForce.version) + took);
    ++m_failedFetches;
    log.warning("fetch failed answered=" + std::to_string(answered ? 1 : 0) + took);
}

bool ConfigurationExchange::onDelta(const ports::ConfigurationResponse &response)
{
    // Another response may have come first.
    if (response.version != 0 && response.version <= m_inForce.version)
        return true;
    // The own configuration changed while the response was under way.
    if (response.baseDigest != 0 && response.baseDigest != m_inForce.digest)
        return true;
    if (response.delta.empty())
        return false;
    const auto delta = adapters::compression::decompress(response.delta, maxTextBytes);
    if (!delta)
        return false;
    const std::string_view base = response.baseDigest == 0 ? std::string_view() : m_text;
    auto text = applyDelta(base, *delta, maxTextBytes);
    if (!text || core::stableHash(*text) != response.digest)
        return false;
    return m_hooks.apply(std::move(*text));
}

bool ConfigurationExchange::onWhole(const ports::FetchResponse &response)
{
    if (response.revision != 0 && response.revision <= m_inForce.version)
        return true;
    return !response.text.empty() && m_hooks.apply(response.text);
}

const ConfigurationExchange::Base *ConfigurationExchange::findBase(std::uint64_t digest) const
{
    const auto it = std::find_if(m_bases.begin(), m_bases.end(),
                                 [digest](const Base &base) { return base.digest == digest; });
    return it == m_bases.end() ? nullptr : &*it;
}

ports::ConfigurationResponse
ConfigurationExchange::handle(const ports::ConfigurationRequest &request)
{
    ports::ConfigurationResponse response{m_inForce.version, m_inForce.digest, 0, {}};
    if (request.version >= m_inForce.version)
        return response;
    const auto *base = findBase(request.digest);
    response.baseDigest = base == nullptr ? 0 : base->digest;
    auto &delta = m_deltas[response.baseDigest];
    if (delta.empty()) {
        static const std::vector<std::uint64_t> nothing;
        delta = adapters::compression::compress(
            makeDelta(base == nullptr ? nothing : base->pieces, m_text));
    }
    response.delta = delta;
    return response;
}

ports::FetchResponse ConfigurationExchange::handleFetch() const
{
    return {ports::DocumentKind::Lists, m_inForce.version, m_text};
}

} // namespace goldcrestline::daemon::forward
