#include "control/control_program.hpp"

#include "clock/time_of_day.hpp"
#include "control/disk_state_file.hpp"

#include <algorithm>
#include <random>
#include <utility>

namespace ivyrill::control {

namespace {

constexpr std::int64_t kReservedDescriptors = 900; // 200 for files, the rest for peers and agents

std::uint64_t draw() {
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U | device()) | 1U;
}

// Each server keeps a connection to the owner of its service, so its calls get all descriptors except those
// reserved for peers, agents and files.
http::CallServer::Options call_options(const settings::Settings& settings) {
    http::CallServer::Options options;
    const std::int64_t available = settings.limits.file_descriptors - kReservedDescriptors;
    options.max_connections =
        std::max(options.max_connections, static_cast<std::size_t>(std::max<std::int64_t>(0, available)));
    return options;
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
    program->calls_ = std::make_unique<http::CallServer>(
        reactor, settings.listen_addrs.at("controlAddr"), call_options(settings),
        [node = program->node_.get()](protocol::HttpMessage message) {
            return node->handle(std::move(message));
        });
    return program;
}

} // namespace ivyrill::control
