#pragma once

#include "core/clock.h"
#include "core/result.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

// Port to the platform's object API.
namespace goldcrestline::ports {

// An object with its version; version 0 means that it does not exist.
struct StoredObject
{
    std::uint64_t version = 0;
    std::string text;
};

// How a conditional write ended.
enum class WriteOutcome {
    Written,
    // The object's version differs from the expected one.
    Conflict,
    // No answer: the write may have taken effect.
    Unknown,
    // The platform refused before writing.
    Refused,
};

using ReadHandler = std::function<void(core::Result<StoredObject>)>;
using WriteHandler = std::function<void(WriteOutcome, std::uint64_t version)>;

// Carries calls to the platform. All methods are called from the owning task; handlers run there.
class PlatformStore
{
public:
    virtual ~PlatformStore() = default;

    // Reads an object. Error: 5020 if the platform does not answer.
    virtual void read(const std::string &name, ReadHandler done) = 0;

    // Waits until the object's version exceeds `version` or `wait` passed; then gives the object.
    virtual void watch(const std::string &name, std::uint64_t version, core::Millis wait,
                       ReadHandler done) = 0;

    // Writes if the object's version is `expected`; 0 creates it only if it does not exist.
    virtual void write(const std::string &name, std::uint64_t expected, std::string text,
                       WriteHandler done) = 0;
};

} // namespace goldcrestline::ports
