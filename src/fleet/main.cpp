// Program of the fleet: `ivyrill-fleet proxy|agent|control` serve; the other commands check files or print
// information.
#include "agent/agent.hpp"
#include "base/log.hpp"
#include "configuration/parse.hpp"
#include "control/control_program.hpp"
#include "proxy/proxy.hpp"
#include "settings/settings.hpp"

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <fmt/core.h>
#include <fstream>
#include <functional>
#include <iterator>
#include <memory>
#include <string>

namespace ivyrill::fleet {

namespace {

constexpr int kBadInput = 2, kServeFailed = 3; // exit codes

int report(const Error& error) {
    fmt::print(stderr, "ivyrill-fleet: {}\n", error.message);
    return kBadInput;
}

// Blocks a signal until the reactor handles it; before that it would terminate the process.
void block_signal(int number) {
    sigset_t blocked;
    sigemptyset(&blocked);
    sigaddset(&blocked, number);
    pthread_sigmask(SIG_BLOCK, &blocked, nullptr);
}

Result<settings::Settings> read_settings(const std::string& path) {
    if (path.empty())
        return error(ErrorKind::kInvalidInput,
                     "IVYRILL_SETTINGS: not set; name the settings file there or with --settings");
    return settings::read_file(path);
}

// Runs one of the three programs until it ends.
int serve(const std::string& path, const std::string& role) {
    block_signal(SIGTERM);
    const auto settings = read_settings(path);
    if (settings.has_error()) return report(settings.error());
    std::signal(SIGPIPE, SIG_IGN);
    set_log_identity(settings.value().node_name, role);
    transport::Reactor reactor;
    std::function<void()> end;
    std::function<void(const settings::Settings&)> apply_settings = [](const settings::Settings&) {};
    reactor.handle_signals({SIGTERM, SIGINT, SIGHUP}, [&](int number) {
        if (number != SIGHUP) return end();
        const auto reloaded = read_settings(path);
        if (reloaded.has_error()) return log_line("settings_refused", {{"cause", reloaded.error().message}});
        log_line("settings_read");
        apply_settings(reloaded.value());
    });
    std::unique_ptr<control::ControlProgram> control;
    std::unique_ptr<agent::Agent> agent;
    std::unique_ptr<proxy::Proxy> proxy;
    if (role == "control") {
        auto opened = control::ControlProgram::open(reactor, settings.value());
        if (opened.has_error()) return report(opened.error());
        control = std::move(opened.value());
        end = [&] { control->begin_shutdown(); };
    } else if (role == "agent") {
        agent = std::make_unique<agent::Agent>(reactor, settings.value());
        end = [&] { agent->begin_end(); };
        apply_settings = [&](const settings::Settings& reloaded) { agent->use_settings(reloaded); };
    } else {
        proxy = std::make_unique<proxy::Proxy>(reactor, settings.value());
        end = [&] { proxy->begin_shutdown(); };
    }
    log_line("started");
    reactor.run();
    return 0;
}

int serve_guarded(const std::string& path, const std::string& role) {
    try {
        return serve(path, role);
    } catch (const std::exception& failure) {
        fmt::print(stderr, "ivyrill-fleet: {}: {}\n", role, failure.what());
        return kServeFailed;
    }
}

int check_settings(const std::string& path) {
    const auto settings = read_settings(path);
    if (settings.has_error()) return report(settings.error());
    fmt::print("{}: settings of {} are valid\n", path, settings.value().node_name);
    return 0;
}

int check_config(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    if (!file)
        return report(error(ErrorKind::kInvalidInput, path + ": can't be read; name a configuration file"));
    const auto configuration = configuration::parse(text);
    if (configuration.has_error()) return report(configuration.error());
    fmt::print("{}: version {}, {} routes, {} services\n", path, configuration.value().version,
               configuration.value().routes.size(), configuration.value().services.size());
    return 0;
}

} // namespace

} // namespace ivyrill::fleet

int main(int argc, char** argv) {
    using namespace ivyrill::fleet;
    block_signal(SIGHUP);
    CLI::App app{"ivyrill-fleet: a router fleet for split prefill and decode"};
    app.require_subcommand(1);
    const char* const from_environment = std::getenv("IVYRILL_SETTINGS");
    std::string settings = from_environment == nullptr ? "" : from_environment;
    std::string configuration;
    int status = 0;
    for (const char* role : {"proxy", "agent", "control"}) {
        CLI::App* command = app.add_subcommand(role, std::string("serve as ") + role);
        command->add_option("--settings", settings, "settings file (YAML); default: IVYRILL_SETTINGS");
        command->callback([&, role] { status = serve_guarded(settings, role); });
    }
    CLI::App* check = app.add_subcommand("check-settings", "check a settings file");
    check->add_option("--settings", settings, "settings file (YAML); default: IVYRILL_SETTINGS");
    check->callback([&] { status = check_settings(settings); });
    CLI::App* config = app.add_subcommand("check-config", "check an operator's configuration (JSON)");
    config->add_option("file", configuration, "the configuration")->required();
    config->callback([&] { status = check_config(configuration); });
    app.add_subcommand("version", "print the version")->callback([] {
        fmt::print("ivyrill {}\n", IVYRILL_VERSION);
    });
    CLI11_PARSE(app, argc, argv);
    return status;
}
