#pragma once

#include "core/result_code.h"

#include <boost/outcome.hpp>
#include <string>

// Error type and result alias used by every fallible function.
namespace goldcrestline::core {

// A result code with details of the individual error, such as names and values.
struct Error
{
    ResultCode code;
    std::string detail;

    // Returns "code name: detail". Thread-safe.
    std::string text() const;
};

// A value or an Error. The accessors are unchecked: test with has_value() first.
template <typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::unchecked<T, Error>;

} // namespace goldcrestline::core
