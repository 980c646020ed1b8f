// Reads and validates the YAML settings file of one process, named by IVYRILL_SETTINGS. Unknown fields are
// ignored; a missing or invalid value is an error that names the key and the remedy.
#pragma once
#include "base/result.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace ivyrill::settings {

struct MachineLimits {
    double cpu_share = 1, cores = 1;
    std::int64_t memory_mb = 0, file_descriptors = 0, disk_mb = 0;
    double link_mbps = 0;
};

// How many simultaneous failures the deployment must tolerate with all guarantees kept.
struct Tolerance {
    std::int64_t machines = 0, zones = 0, regions = 0;
};

// The limits of the deployment's guarantees, in the units that the names end with.
struct Bounds {
    double seed_lag_s = 3, address_reuse_s = 2;
    std::int64_t in_touch_ms = 3000, ack_ms = 4000;
    double catch_up_s = 4;
    std::int64_t drain_ms = 2000;
    double grace_s = 8;
    std::int64_t loss_slack_ms = 200, config_apply_ms = 2000, rollback_slack_ms = 250, core_stretch_ms = 5000;
    double retry_budget_ratio = 0.2, retry_window_s = 10;
    std::int64_t retry_slack = 0;
    double recovery_s = 12;
    std::int64_t transit_ms = 120;
    bool fenced_api = false;
    std::int64_t lease_ms = 3000, thaw_slack_ms = 300;
    double usage_window_s = 0; // 0: usage is not reported
    double usage_error = 0.05; // permitted relative error of a tenant's count
    double usage_late_s = 10;  // latest report after the end of its window
    std::int64_t usage_window_ms() const { return static_cast<std::int64_t>(usage_window_s * 1000); }
};

// The platform's API (DEPLOY), called by one node at a time for each duty.
struct CloudApi {
    std::string address;             // IP:PORT; empty if the deployment has none
    std::vector<std::string> duties; // `usage_report`, `autoscale`
    double duty_per_s = 0;           // call rate that it accepts from all nodes together; 0: unspecified
};

struct Settings {
    std::string node_name, role, machine_class, ip, zone, region;
    std::vector<std::string> serves;
    std::map<std::string, std::string> zones; // zone to region
    std::map<std::string, std::string>
        listen_addrs; // `front`, `readyAddr`, `controlAddr`, as needed by `serves`
    std::uint16_t first_inner_port = 0, last_inner_port = 0;
    std::vector<std::string> seed_nodes; // controlAddr addresses
    bool first_start = false, loss_counted = false;
    MachineLimits limits;
    std::string data_dir; // empty if the machine has no disk
    std::int64_t beat_interval_ms = 1200;
    std::vector<std::string> contracts;
    Tolerance tolerance;
    Bounds bounds;
    CloudApi cloud_api;
};

Result<Settings> parse(std::string_view yaml);
Result<Settings> read_file(const std::string& path);

} // namespace ivyrill::settings
