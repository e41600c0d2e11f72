#pragma once

#include "core/clock.h"
#include "core/result.h"
#include "core/version.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

// Port to the platform's object API.
namespace goldcrestline::ports {

// An object with its version; revision 0 stands for an object that does not exist.
struct StoredObject
{
    core::Version version;
    std::string text;

    bool exists() const { return version.revision != 0; }
};

// Outcome of a conditional write.
enum class WriteOutcome {
    Written,
    // The object's version differs from the expected one, or is of an earlier era of the store.
    Conflict,
    // No response was received: the write may have taken effect.
    Unknown,
    // The platform rejected the request without writing.
    Refused,
};

using ReadHandler = std::function<void(core::Result<StoredObject>)>;
// `version`: the object's version after the write, if it was written.
using WriteHandler = std::function<void(WriteOutcome, core::Version version)>;

// Reads and writes objects of the platform. Methods are called on the owner's event loop; handlers
// run there.
class PlatformStore
{
public:
    virtual ~PlatformStore() = default;

    // Reads an object. Error: 5020 if the platform does not respond.
    virtual void read(const std::string &name, ReadHandler done) = 0;

    // Reads the object as soon as its version exceeds `version`, at the latest after `wait`.
    virtual void watch(const std::string &name, core::Version version, core::Millis wait,
                       ReadHandler done) = 0;

    // Writes the object if its version is `expected`; revision 0: creates it if it does not exist.
    virtual void write(const std::string &name, core::Version expected, std::string text,
                       WriteHandler done) = 0;

    // Returns the newest known era of the store, which rises when the store was restored from an
    // older copy; 0 if none is known.
    virtual std::uint64_t era() const = 0;
    // Records an era that another host reported.
    virtual void observeEra(std::uint64_t era) = 0;
};

} // namespace goldcrestline::ports
