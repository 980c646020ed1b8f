// What the operator's file orders, typed and checked: one member for each section. Pure; the files that it
// names are read by the program. A program that is given no such file does none of this.
#pragma once
#include "access/gate.hpp"
#include "access/handshakes.hpp"
#include "limits/connection_budget.hpp"
#include "maintenance/fleet_observation.hpp"
#include "operator/fields.hpp"
#include "transport/tls.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ivyrill::operators {

struct AccessOrders {
    access::AccessTerms terms;
    std::string keys, revocations; // a folder, a file
    std::vector<std::string> authorities, crls;
    bool plain_guarded = true; // the platform's plain port asks for a credential too
    bool key_is_query = false; // what a search is about is its query's text, not the parameter `k`
};

struct ListenerOrders {
    std::string name, address, certificate, key; // the latter two are files; empty: a plain listener
    std::vector<std::string> protocols;          // `h2`, `http/1.1`: of ALPN, or the one of a plain listener
    transport::ClientCertificates clients = transport::ClientCertificates::kNone;
    bool guarded = true;
};

struct AuditOrders {
    std::string file; // empty: the log
    int lines_a_second = 20;
};

struct MemberOrders {    // front nodes that may talk to each other
    std::string address; // where the others reach us
    std::string bind;    // where we hear them, the same unless something stands between
    std::vector<std::string> peers;
    std::string secret; // a file, 32 bytes or more, the same for all
    Tenths probe_gap = kTenthsPerSecond;
};

struct RotaOrders { // machines taken out for work, in an order that the front nodes settle
    std::vector<std::pair<std::string, std::string>> candidates; // front nodes with a disk: name, address
    std::size_t council = 3;
    std::string ledger, witness; // files
    Tenths heartbeat = kTenthsPerSecond / 10, replace_after = 0;
    maintenance::Limits limits;
    maintenance::Timing spans;
    maintenance::FailurePolicy answers;
    std::vector<std::string> keeper_command; // one of the two
    std::string keeper_address;
    std::map<std::string, Tenths> work; // how long it takes by kind of machine; "" for all others
};

struct Orders {
    std::optional<MemberOrders> members;
    std::optional<RotaOrders> rota;
    std::optional<AccessOrders> access;
    std::vector<ListenerOrders> listeners;
    access::HandshakeTerms handshakes;
    limits::ConnectionLimits connections;
    Tenths ticket_span = 0;
    AuditOrders audit;
};

Orders read_orders(const nlohmann::ordered_json& evaluated); // throws OrderError

} // namespace ivyrill::operators
