// Runs an operators' script: a file and those that it loads, to the JSON of its public names. Free of I/O:
// files come from the function handed in. Bounded in steps and memory, so every script ends, and the same
// text gives the same result every time. Names that begin with _ and functions are left out of the result.
#pragma once
#include "script/value.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>

namespace ivyrill::script {

struct Bounds {
    std::size_t steps = 1'000'000; // statements, expressions and rounds of loops, loaded files included
    std::size_t bytes = std::size_t{16} << 20U; // of values
    std::size_t files = 32;
};

// The text of a file by its name, as the script gives it; throws std::runtime_error where there is none.
using ReadFile = std::function<std::string(const std::string& name)>;

struct Outcome {
    nlohmann::ordered_json result; // an object: the file's public names
    std::size_t steps = 0, bytes = 0;
};

Outcome run_script(const std::string& file, const ReadFile& read,
                   const Bounds& bounds = {}); // throws ScriptError

} // namespace ivyrill::script
