// The commands `ivyrill token` and `ivyrill keys` for keys, tokens and revocations. A key folder contains
// NAME.jwk for front nodes, `private/NAME.jwk` for signers and `revocations.json`.
#pragma once
#include <CLI/CLI.hpp>

#include <functional>

namespace ivyrill::program {

// Adds both commands. Sets `run` to the selected command's action, which returns the exit status.
void add_credential_commands(CLI::App& app, std::function<int()>& run);

} // namespace ivyrill::program
