#include "scale/sizes.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <fstream>
#include <sys/resource.h>

namespace ivyrill::scale {

namespace {

constexpr double kMbPerPair = 0.0011; // a server's record and load in one hollow agent's tables
constexpr double kMbPerServer = 0.03; // a hollow server: its listener and connection
constexpr double kMbPerProcess = 12;
constexpr std::size_t kSpareDescriptors = 200;
constexpr std::size_t kDescriptorsPerServer = 3; // listener, heartbeat, reader's connection

std::size_t available_mb() {
    std::ifstream file("/proc/meminfo");
    std::string key, unit;
    std::size_t kilobytes = 0;
    while (file >> key >> kilobytes >> unit)
        if (key == "MemAvailable:") return kilobytes / 1024;
    return 0;
}

std::size_t descriptors() {
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    return limit.rlim_max;
}

std::size_t processes(const Sizes& sizes) {
    return 1 + sizes.controls + 2 * kRealNodes + std::min(kZones, sizes.nodes) + kServerWorkers;
}

} // namespace

std::string control_host(std::size_t number) { return fmt::format("127.60.0.{}", 10 + number); }
std::string node_host(std::size_t number) {
    return fmt::format("127.61.{}.{}", number / 250, 1 + number % 250);
}
std::string server_address(std::size_t number) {
    return fmt::format("127.70.{}.{}:9000", number / 250, 1 + number % 250);
}
std::string zone_name(std::size_t number) { return fmt::format("zone-{:02}", number % kZones); }
std::string service_name(std::size_t server) { return fmt::format("model-{}", server % kServices); }
std::string node_name(std::size_t number) { return fmt::format("edge-{}-{}", zone_name(number), number); }

std::string configuration_text(std::int64_t version) {
    std::string routes, services;
    for (std::size_t tenant = 0; tenant < kTenants; ++tenant)
        routes += fmt::format(
            R"({}{{"name":"tenant-{}","host":"t{}.example","pathPrefix":"/v1/","kind":"streaming","timeoutMs":{},)"
            R"("targetLatencyMs":1000,"priority":{},"service":"{}","maxAttempts":2,"sticky":true,"resumable":true,)"
            R"("gap_aim_ms":31}})",
            tenant == 0 ? "" : ",", tenant, tenant, tenant == 0 ? 20'000 + version : 20'000, tenant % 3,
            service_name(tenant));
    for (std::size_t service = 0; service < kServices; ++service)
        services += fmt::format(
            R"({}{{"name":"{}","healthPath":"/health","connLimit":310,"protocol":"h1","tls":false,"engine":{{)"
            R"("slots":48,"kvTokenCount":305000,"tokenKvBytes":131072,"linkMbps":3300000.0,"stride":4,)"
            R"("handleHoldS":5.0,"roleSwitchS":0.5,"models":[{{"name":"m{}"}}]}}}})",
            service == 0 ? "" : ",", service_name(service), service);
    return fmt::format(R"({{"version":{},"routes":[{}],"services":[{}],"limits":{{"maxHeaderBytes":16384,)"
                       R"("maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}})",
                       version, routes, services);
}

std::vector<Sizes> standard_steps() { return {{30, 200, 3}, {100, 1000, 3}, {300, 4000, 5}, {560, 7900, 7}}; }

double needed_mb(const Sizes& sizes) {
    const auto nodes = static_cast<double>(sizes.nodes), servers = static_cast<double>(sizes.servers);
    return kMbPerPair * nodes * servers + kMbPerServer * servers +
           kMbPerProcess * static_cast<double>(processes(sizes)) + 100 * static_cast<double>(sizes.controls);
}

Result<void> check_fit(const Sizes& sizes) {
    if (sizes.nodes <= kRealNodes || sizes.servers < kServices || sizes.controls < 3)
        return error(ErrorKind::kInvalidInput,
                     fmt::format("--nodes, --servers, --controls: at least {}, {} and 3 are wanted",
                                 kRealNodes + 1, kServices));
    const auto room = static_cast<double>(std::min(kMostMemoryMb, available_mb() * 8 / 10));
    if (needed_mb(sizes) > room) {
        Sizes fits = sizes;
        while (fits.nodes > 30 && needed_mb(fits) > room) fits.nodes -= 10;
        while (fits.servers > 200 && needed_mb(fits) > room) fits.servers -= 100;
        return error(
            ErrorKind::kInvalidInput,
            fmt::format("{} nodes and {} servers need {:.0f} MB, and {:.0f} MB may be used: {} nodes and {} "
                        "servers would fit",
                        sizes.nodes, sizes.servers, needed_mb(sizes), room, fits.nodes, fits.servers));
    }
    const std::size_t wanted = sizes.servers / kServerWorkers * kDescriptorsPerServer + kSpareDescriptors;
    if (wanted > descriptors())
        return error(
            ErrorKind::kInvalidInput,
            fmt::format(
                "{} servers need {} descriptors a process, and the limit (ulimit -n) is {}: {} servers "
                "would fit",
                sizes.servers, wanted, descriptors(),
                (descriptors() - kSpareDescriptors) / kDescriptorsPerServer * kServerWorkers));
    if (processes(sizes) > kMostProcesses)
        return error(ErrorKind::kInvalidInput,
                     fmt::format("{} processes, and {} may be started: {} control processes would fit",
                                 processes(sizes), kMostProcesses,
                                 sizes.controls - (processes(sizes) - kMostProcesses)));
    return boost::outcome_v2::success();
}

} // namespace ivyrill::scale
