// `ivyrill token` and `ivyrill keys`: what an operator does with keys, tokens and revocations by hand. A key
// folder holds NAME.jwk for front nodes and, in `private/`, NAME.jwk for signers; `revocations.json` beside
// them.
#pragma once
#include <CLI/CLI.hpp>

#include <functional>

namespace ivyrill::program {

// Adds both; what was asked for is left in `run`, which gives the exit status.
void add_credential_commands(CLI::App& app, std::function<int()>& run);

} // namespace ivyrill::program
