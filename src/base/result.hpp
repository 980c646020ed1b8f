// Errors as values: a kind for the code to act on, and a message for humans that names the remedy.
#pragma once
#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/all_narrow.hpp>
#include <boost/outcome/try.hpp>

#include <cstdint>
#include <string>
#include <utility>

namespace ivyrill {

enum class ErrorKind : std::uint8_t {
    kInvalidInput,    // the input is invalid and must be changed by the sender
    kVersionConflict, // based on another version than the current one
    kUnavailable,     // temporary failure; a retry later or on another node may succeed
    kStorage,         // disk I/O failed, or the stored data is unreadable
    kProtocol,        // malformed message from a peer
    kOtherVersion     // a peer uses another protocol version
};

struct Error {
    ErrorKind kind = ErrorKind::kInvalidInput;
    std::string message; // one sentence; ends with a remedy if there is one
};

// Accessing an absent value is undefined behavior: check has_value() or use BOOST_OUTCOME_TRY.
template <class Value>
using Result = boost::outcome_v2::basic_result<Value, Error, boost::outcome_v2::policy::all_narrow>;

inline Error error(ErrorKind kind, std::string message) { return Error{kind, std::move(message)}; }

} // namespace ivyrill
