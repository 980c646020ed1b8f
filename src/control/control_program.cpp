#include "control/control_program.hpp"

#include "clock/time_of_day.hpp"
#include "control/disk_state_file.hpp"

#include <algorithm>
#include <random>
#include <utility>

namespace ivyrill::control {

namespace {

std::uint64_t draw() {
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U | device()) | 1U;
}

} // namespace

Result<std::unique_ptr<ControlProgram>> ControlProgram::open(transport::Reactor& reactor,
                                                             const settings::Settings& settings) {
    std::unique_ptr<ControlProgram> program(new ControlProgram(reactor, settings));
    const auto open_file = [&reactor, folder = settings.data_dir](const std::string& kind) {
        return std::make_unique<DiskStateFile>(reactor, storage::VersionStore(folder, kind));
    };
    Environment environment{reactor, program->network_, program->orders_, program->platform_, open_file,
                            draw,    clock::time_of_day};
    BOOST_OUTCOME_TRY(node, ControlNode::open(std::move(environment), settings));
    program->node_ = std::move(node);
    http::CallServer::Options options;
    options.max_connections = program->limits_.call_connections;
    ControlNode* const running = program->node_.get();
    program->calls_ = std::make_unique<http::CallServer>(
        reactor, settings.listen_addrs.at("controlAddr"), program->buffers_, options,
        [running](const protocol::HttpMessage& head) { return running->max_body_bytes(head); },
        [running](protocol::HttpMessage message) { return running->handle(std::move(message)); });
    return program;
}

} // namespace ivyrill::control
