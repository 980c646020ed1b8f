// Settings of the operator's file, typed and validated: one member for each section. Pure; the files that it
// names are read in program/operator_files.hpp. The operator's file is optional.
#pragma once
#include "access/authorizer.hpp"
#include "access/handshake_limiter.hpp"
#include "limits/connection_budget.hpp"
#include "maintenance/fleet_observation.hpp"
#include "operator/field_reader.hpp"
#include "transport/tls.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ivyrill::operators {

struct AccessSettings {
    access::AccessOptions options;
    std::string keys, revocations; // paths of a folder and of a file
    std::vector<std::string> authorities, crls;
    bool platform_port_guarded = true; // whether the platform's plain port requires credentials
    bool query_is_note_key = false;    // the note key of a search is its query text, not the parameter `k`
};

struct ListenerSettings {
    std::string name, address, certificate, key; // the latter two are paths; empty: a plain listener
    std::vector<std::string> protocols;          // `h2`, `http/1.1`: for ALPN; a plain listener has one
    transport::ClientCertificates client_certificates = transport::ClientCertificates::kNone;
    bool guarded = true;
};

struct AuditSettings {
    std::string file; // empty: write to the log
    int max_lines_per_second = 20;
};

// Membership among the front nodes.
struct MembershipSettings {
    std::string address; // where the other members reach this one
    std::string bind;    // local address; differs from `address` behind a proxy or NAT
    std::vector<std::string> peers;
    std::string secret; // path of the shared secret, 32 bytes or more
    Ticks probe_interval = kTicksPerSecond;
};

// Coordinated maintenance: the front nodes agree on which machines are out of service.
struct MaintenanceSettings {
    std::vector<std::pair<std::string, std::string>>
        candidates; // front nodes with a disk that may be voters: name, address
    std::size_t voter_count = 3;
    std::string raft_store, witness; // paths
    Ticks heartbeat = kTicksPerSecond / 10, replace_after = 0;
    maintenance::Limits limits;
    maintenance::Timing timing;
    maintenance::FailurePolicy failure_policy;
    std::vector<std::string> controller_command; // either this or the address
    std::string controller_address;
    std::map<std::string, Ticks> work; // duration by kind of machine; "" for all others
};

struct OperatorSettings {
    std::optional<MembershipSettings> membership;
    std::optional<MaintenanceSettings> maintenance;
    std::optional<AccessSettings> access;
    std::vector<ListenerSettings> listeners;
    access::HandshakeLimits handshakes;
    limits::ConnectionLimits connections;
    Ticks ticket_lifetime = 0;
    AuditSettings audit;
};

OperatorSettings read_operator_settings(const nlohmann::ordered_json& evaluated); // throws SettingsError

} // namespace ivyrill::operators
