// The command line.
#include "program/credential_commands.hpp"
#include "program/log.hpp"
#include "program/maintenance_commands.hpp"
#include "program/node.hpp"

#include "protocol/values.hpp"

#include <CLI/CLI.hpp>

#include <exception>
#include <fstream>
#include <functional>
#include <iostream>
#include <optional>
#include <sstream>

namespace ivyrill::program {

namespace {

constexpr const char* kVersion = IVYRILL_VERSION;

protocol::StartConfig read_configuration(const std::string& path) {
    if (path.empty()) throw std::runtime_error("no configuration: set RELAY_CONFIG or give --config");
    std::ifstream file(path);
    if (!file) throw std::runtime_error(path + ": cannot be read");
    std::ostringstream text;
    text << file.rdbuf();
    try {
        return protocol::read_start_config(text.str());
    } catch (const protocol::ProtocolError& error) { throw std::runtime_error(path + ": " + error.what()); }
}

// Validates the configuration. An operator's file is evaluated, validated with all files that it names, and
// printed as JSON.
int check(const std::string& path, const std::string& operator_file) {
    std::optional<LoadedSettings> loaded;
    if (!operator_file.empty()) {
        loaded = load_operator_files(operator_file, nullptr, transport::Loop::wall(), nullptr);
        std::cout << evaluate(operator_file).dump(2) << "\n";
        if (path.empty()) return 0;
    }
    const protocol::StartConfig configuration = read_configuration(path);
    if (loaded)
        check_names(loaded->settings, configuration.front_node_config.request_classes,
                    configuration.front_node_config.tenants);
    std::cout << path << ": valid; " << configuration.name << " on " << configuration.listen
              << ", discovery at " << configuration.discovery << ", " << configuration.known.servers.size()
              << " index servers known, " << configuration.front_node_config.request_classes.size()
              << " products, " << configuration.sockets << " sockets, " << configuration.memory_mb << " MB\n";
    return 0;
}

int serve(const std::string& path, const std::string& operator_file, const std::string& level) {
    block_signals(); // a SIGHUP may arrive before the configuration is read
    protocol::StartConfig configuration = read_configuration(path);
    open_log(configuration.name, level);
    return Node(
               std::move(configuration), [path] { return read_configuration(path); }, operator_file)
        .run();
}

} // namespace

} // namespace ivyrill::program

int main(int argc, char** argv) {
    using namespace ivyrill::program;
    CLI::App app("ivyrill coordinates searches over replicated shards");
    app.require_subcommand(1);
    std::string path, operator_file, level = "info";
    std::function<int()> run; // set by the credential and maintenance commands
    auto* const serve_command =
        app.add_subcommand("serve", "run a front node until it is stopped by a signal");
    auto* const check_command =
        app.add_subcommand("check-config", "validate the configuration and print a summary");
    auto* const version_command = app.add_subcommand("version", "print the version");
    for (auto* command : {serve_command, check_command}) {
        command->add_option("--config", path, "the configuration, JSON")->envname("RELAY_CONFIG");
        command->add_option("--operator", operator_file, "the operator's file, a script")
            ->check(CLI::ExistingFile);
    }
    add_credential_commands(app, run);
    add_maintenance_commands(app, run);
    serve_command->add_option("--log-level", level, "trace, debug, info, warn or error")
        ->check(CLI::IsMember({"trace", "debug", "info", "warn", "error"}));
    CLI11_PARSE(app, argc, argv);
    try {
        if (version_command->parsed()) return std::cout << "ivyrill " << kVersion << "\n", 0;
        if (run) return run();
        return check_command->parsed() ? check(path, operator_file) : serve(path, operator_file, level);
    } catch (const std::exception& error) {
        std::cerr << "ivyrill: " << error.what() << "\n";
        return 1;
    }
}
