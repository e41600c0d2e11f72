#pragma once

#include "core/clock.h"
#include "core/result.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

// Port to the platform's object API.
namespace goldcrestline::ports {

// An object with its version; version 0 stands for an object that does not exist.
struct StoredObject
{
    std::uint64_t version = 0;
    std::string text;
};

// Outcome of a conditional write.
enum class WriteOutcome {
    Written,
    // The object's version differs from the expected one.
    Conflict,
    // No response was received: the write may have taken effect.
    Unknown,
    // The platform rejected the request without writing.
    Refused,
};

using ReadHandler = std::function<void(core::Result<StoredObject>)>;
using WriteHandler = std::function<void(WriteOutcome, std::uint64_t version)>;

// Reads and writes objects of the platform. Methods are called on the owner's event loop; handlers
// run there.
class PlatformStore
{
public:
    virtual ~PlatformStore() = default;

    // Reads an object. Error: 5020 if the platform does not respond.
    virtual void read(const std::string &name, ReadHandler done) = 0;

    // Reads the object as soon as its version exceeds `version`, at the latest after `wait`.
    virtual void watch(const std::string &name, std::uint64_t version, core::Millis wait,
                       ReadHandler done) = 0;

    // Writes the object if its version is `expected`; 0: creates it if it does not exist.
    virtual void write(const std::string &name, std::uint64_t expected, std::string text,
                       WriteHandler done) = 0;
};

} // namespace goldcrestline::ports
