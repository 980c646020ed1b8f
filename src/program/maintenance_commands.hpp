// `ivyrill work ...`: what operators ask a running front node about machines taken out for work.
#pragma once
#include <CLI/CLI.hpp>

#include <functional>

namespace ivyrill::program {

void add_maintenance_commands(CLI::App& app, std::function<int()>& run);

} // namespace ivyrill::program
