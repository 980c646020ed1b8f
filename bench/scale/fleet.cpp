#include "scale/fleet.hpp"

#include "protocol/http.hpp"
#include "transport/address.hpp"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <fstream>
#include <poll.h>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

namespace ivyrill::scale {

namespace {

constexpr double kCallPatienceS = 1;

std::string settings_text(const std::string& role, const std::string& name, const std::string& ip,
                          std::size_t zone, bool first_start, const std::string& data_dir) {
    const bool is_control = role == "control", is_agent = role == "agent";
    std::string zones, seeds;
    for (std::size_t i = 0; i < kZones; ++i)
        zones += fmt::format("  {}: \"region-{}\"\n", zone_name(i), i % 7);
    for (std::size_t i = 0; i < 3; ++i)
        seeds += fmt::format("  - \"{}:{}\"\n", control_host(i), kControlPort);
    std::string addresses = " {}\n";
    if (is_control) addresses = fmt::format("\n  controlAddr: \"{}:{}\"\n", ip, kControlPort);
    if (role == "proxy")
        addresses = fmt::format("\n  front: \"{}:8263\"\n  readyAddr: \"{}:8268\"\n", ip, ip);
    return fmt::format(
        "nodeName: \"{}\"\nrole: \"{}\"\nmachineClass: \"{}\"\nserves:{}ip: \"{}\"\nzone: \"{}\"\nregion: "
        "\"region-{}\"\n"
        "zones:\n{}listenAddrs:{}innerPortRange:\n  - 7300\n  - 7315\nseedNodes:\n{}firstStart: "
        "{}\nlossCounted: {}\n"
        "limits:\n  cpuShare: 1.0\n  cores: 1\n  memoryMb: 256\n  fileDescriptors: 4096\n  linkMbps: "
        "1000.0\n"
        "  diskMb: {}\ndataDir: {}\ndiscovery: \"self_registered\"\nentryKind: "
        "\"virtual_ip\"\nbeatIntervalMs: {}\n"
        "activeContracts:\n  - \"base\"\ntolerance:\n  machines: 1\n  zones: 0\n  regions: 0\nbounds:\n"
        "  retryBudgetRatio: 0.2\n  retryWindowS: 10\n  retrySlack: 54\n",
        name, role, is_control ? "core" : "edge",
        is_agent     ? " []\n"
        : is_control ? "\n  - \"control\"\n"
                     : "\n  - \"edge\"\n",
        ip, zone_name(zone), zone % 7, zones, addresses, seeds, first_start, is_control, is_control ? 128 : 0,
        is_control ? "\"" + data_dir + "\"" : "null", kBeatIntervalMs);
}

} // namespace

std::pair<int, std::string> call(const std::string& host, std::uint16_t port, const std::string& method,
                                 const std::string& target, const std::string& fields,
                                 const std::string& body, double patience_s) {
    const sockaddr_in address = transport::read_address(fmt::format("{}:{}", host, port));
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (descriptor < 0) return {0, ""};
    protocol::HttpParser parser(protocol::HttpParser::Side::kResponses, {16 * 1024, 64 * 1024 * 1024});
    const double until = steady_s() + patience_s;
    if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
        const std::string text = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n{}Content-Length: {}\r\n\r\n{}",
                                             method, target, host, fields, body.size(), body);
        std::size_t written = 0;
        while (written < text.size()) {
            const ssize_t count =
                send(descriptor, text.data() + written, text.size() - written, MSG_NOSIGNAL);
            if (count <= 0) break;
            written += static_cast<std::size_t>(count);
        }
        while (!parser.complete() && parser.broken() == 0 && steady_s() < until) {
            pollfd waited{descriptor, POLLIN, 0};
            if (poll(&waited, 1, static_cast<int>((until - steady_s()) * 1000) + 1) <= 0) break;
            std::array<char, 65536> bytes{};
            const ssize_t count = recv(descriptor, bytes.data(), bytes.size(), 0);
            if (count <= 0) break;
            std::string_view rest(bytes.data(), static_cast<std::size_t>(count));
            while (!rest.empty() && !parser.complete() && parser.broken() == 0)
                rest.remove_prefix(parser.feed(rest));
        }
    }
    close(descriptor);
    if (!parser.complete()) return {0, ""};
    protocol::HttpMessage answer = parser.take();
    return {answer.status, std::move(answer.body)};
}

Fleet::Fleet(const Sizes& sizes, const std::string& program, const std::string& self,
             std::filesystem::path folder)
    : sizes_(sizes), program_(program), self_(self), folder_(std::move(folder)) {
    std::filesystem::create_directories(folder_);
}

Fleet::~Fleet() {
    for (auto* list : {&agent_zones, &server_parts, &real_proxies, &real_agents, &controls}) list->clear();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

std::string Fleet::settings(const std::string& role, const std::string& name, const std::string& ip,
                            std::size_t zone) {
    const std::filesystem::path data = folder_ / ("data-" + name), path = folder_ / (name + ".yaml");
    if (role == "control") std::filesystem::create_directories(data);
    std::ofstream(path) << settings_text(role, name, ip, zone, first_start_, data.string());
    return path.string();
}

std::unique_ptr<Process> Fleet::start_role(const std::string& role, const std::string& name,
                                           const std::string& ip, std::size_t zone) {
    const std::string path = settings(role, name, ip, zone);
    return std::make_unique<Process>(
        std::vector<std::string>{program_, role},
        std::vector<std::pair<std::string, std::string>>{{"IVYRILL_SETTINGS", path}},
        (folder_ / (name + ".log")).string());
}

void Fleet::start_control(std::size_t number) {
    if (controls.size() <= number) controls.resize(number + 1);
    controls[number] = start_role("control", fmt::format("control-{}", number), control_host(number), number);
}

void Fleet::start_controls() {
    for (std::size_t i = 0; i < sizes_.controls; ++i) start_control(i);
    first_start_ = false;
}

void Fleet::start_nodes() {
    for (std::size_t node = 0; node < kRealNodes; ++node) {
        const std::string name = node_name(node);
        real_agents.push_back(start_role("agent", name, node_host(node), node));
        real_proxies.push_back(start_role("proxy", name, node_host(node), node));
    }
    const double bound = kMostDeliveries / (static_cast<double>(sizes_.servers) * kReportsPerServer);
    readers = std::min(sizes_.nodes - kRealNodes, static_cast<std::size_t>(std::max(1.0, bound)));
    for (std::size_t zone = 0; zone < kZones; ++zone) {
        const std::size_t here = readers / kZones + (zone < readers % kZones ? 1 : 0);
        const std::size_t first = zone < kRealNodes ? zone + kZones : zone;
        agent_zones.push_back(std::make_unique<Process>(
            std::vector<std::string>{self_, "--hollow-agents", std::to_string(first), "--nodes",
                                     std::to_string(sizes_.nodes), "--controls",
                                     std::to_string(sizes_.controls), "--readers", std::to_string(here)},
            std::vector<std::pair<std::string, std::string>>{}, "/dev/null"));
    }
}

void Fleet::start_servers() {
    for (std::size_t part = 0; part < kServerWorkers; ++part)
        server_parts.push_back(std::make_unique<Process>(
            std::vector<std::string>{self_, "--hollow-servers", std::to_string(part), "--servers",
                                     std::to_string(sizes_.servers), "--controls",
                                     std::to_string(sizes_.controls)},
            std::vector<std::pair<std::string, std::string>>{}, (folder_ / "servers.log").string()));
}

std::size_t Fleet::agents_in(std::size_t zone) const {
    std::size_t count = 0;
    for (std::size_t node = zone; node < sizes_.nodes; node += kZones) count += node >= kRealNodes ? 1 : 0;
    return count;
}

int Fleet::put_configuration(std::int64_t base, std::int64_t version, double patience_s) {
    const std::string body = configuration_text(version);
    const std::string fields = fmt::format("If-Match: {}\r\nContent-Type: application/json\r\n", base);
    const double until = steady_s() + patience_s;
    int status = 0;
    for (std::size_t next = static_cast<std::size_t>(version); steady_s() < until; ++next) {
        const std::size_t number = next % sizes_.controls;
        if (!controls[number]->running()) continue;
        status =
            call(control_host(number), kControlPort, "PUT", "/config", fields, body, kCallPatienceS).first;
        if (status == 200 || (status >= 400 && status < 500 && status != 408 && status != 429)) return status;
        usleep(50'000);
    }
    return status;
}

std::int64_t Fleet::read_version(std::size_t control) {
    const auto [status, body] =
        call(control_host(control), kControlPort, "GET", "/config", "", "", kCallPatienceS);
    const auto place = body.find("\"version\":");
    return status != 200 || place == std::string::npos ? 0 : std::stoll(body.substr(place + 10));
}

std::size_t Fleet::leader() {
    for (std::size_t i = 0; i < sizes_.controls; ++i) {
        if (!controls[i]->running()) continue;
        const auto [status, body] = call(control_host(i), kControlPort, "GET", "/inspect", "", "", 5);
        if (status == 200 && body.find("\"leads\":true") != std::string::npos) return i;
    }
    return 0;
}

AgentsState Fleet::agents() {
    AgentsState all;
    for (auto& zone : agent_zones) {
        std::istringstream line(zone->ask("state"));
        AgentsState one;
        line >> one.agents >> one.connected >> one.least_version >> one.least_nodes >> one.most_nodes >>
            one.least_controls >> one.ended >> one.went_back >> one.loads_told >> one.batches >>
            one.received >> one.sent;
        if (!line || one.agents == 0) continue;
        all.agents += one.agents, all.connected += one.connected, all.ended += one.ended;
        all.went_back += one.went_back, all.loads_told += one.loads_told, all.batches += one.batches;
        all.received += one.received, all.sent += one.sent;
        all.least_version = std::min(all.least_version, one.least_version);
        all.least_nodes = std::min(all.least_nodes, one.least_nodes);
        all.most_nodes = std::max(all.most_nodes, one.most_nodes);
        all.least_controls = std::min(all.least_controls, one.least_controls);
    }
    return all;
}

ServersSeen Fleet::servers_seen() {
    ServersSeen all;
    for (auto& zone : agent_zones) {
        std::istringstream line(zone->ask("servers"));
        ServersSeen one;
        line >> one.least >> one.most >> one.most_old;
        if (!line || one.least == SIZE_MAX) continue;
        all.least = std::min(all.least, one.least), all.most = std::max(all.most, one.most);
        all.most_old = std::max(all.most_old, one.most_old);
    }
    return all;
}

BeatsState Fleet::beats() {
    BeatsState all;
    for (auto& part : server_parts) {
        std::istringstream line(part->ask("state"));
        BeatsState one;
        line >> one.beats >> one.acknowledged >> one.failed >> one.connections >> one.longest_ms >>
            one.released;
        if (!line) continue;
        all.beats += one.beats, all.acknowledged += one.acknowledged, all.failed += one.failed;
        all.connections += one.connections, all.released += one.released;
        all.longest_ms = std::max(all.longest_ms, one.longest_ms / 10);
    }
    return all;
}

void Fleet::tell_agents(const std::string& line) {
    for (auto& zone : agent_zones) zone->ask(line);
}

void Fleet::release(std::size_t count) {
    for (auto& part : server_parts) part->ask("release " + std::to_string(count / kServerWorkers));
}

} // namespace ivyrill::scale
