// Evaluates an operator's script, a file and the files that it loads, to a JSON object of its public global
// variables. Performs no I/O: a callback supplies the files. Evaluation is deterministic and limited in steps
// and memory, so every script terminates. Functions and names that begin with _ are not part of the result.
#pragma once
#include "script/value.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>

namespace ivyrill::script {

struct Limits {
    std::size_t steps = 1'000'000; // statements, expressions and loop iterations, including loaded files
    std::size_t bytes = std::size_t{16} << 20U; // of memory for values
    std::size_t files = 32;
};

// Returns the text of a file by the name in the script; throws std::runtime_error if it does not exist.
using ReadFile = std::function<std::string(const std::string& name)>;

struct Outcome {
    nlohmann::ordered_json result; // an object of the file's public names
    std::size_t steps = 0, bytes = 0;
};

Outcome run_script(const std::string& file, const ReadFile& read,
                   const Limits& limits = {}); // throws ScriptError

} // namespace ivyrill::script
