// The commands `ivyrill work ...`: operators' requests to a running front node about machine maintenance.
#pragma once
#include <CLI/CLI.hpp>

#include <functional>

namespace ivyrill::program {

void add_maintenance_commands(CLI::App& app, std::function<int()>& run);

} // namespace ivyrill::program
