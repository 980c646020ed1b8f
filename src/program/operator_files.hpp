// Loads the operator's file and all files that it names in one step: returns the complete valid settings, or
// throws an error that names the problem.
#pragma once
#include "operator/operator_settings.hpp"

#include <nlohmann/json.hpp>

#include <memory>
#include <string>
#include <vector>

namespace ivyrill::program {

struct LoadedSettings {
    operators::OperatorSettings settings;
    std::shared_ptr<const access::Policy> policy;                  // null: no access control
    std::vector<std::shared_ptr<const transport::TlsContext>> tls; // one per listener; null: plain
    std::string secret;               // shared by the members; empty without membership
    std::vector<std::string> folders; // to watch: a change there requires a reload
};

std::string read_file(const std::string& path);           // throws std::runtime_error
nlohmann::ordered_json evaluate(const std::string& path); // the script's result, not validated; throws
// `wall`: the time for checking credentials; `previous`: the policy in force, or null.
LoadedSettings load_operator_files(const std::string& path, const access::Policy* previous, Ticks wall,
                                   transport::TicketStore* tickets);
// Throws if the access section names tenants or request classes that the configuration lacks, as they would
// be ignored silently.
void check_names(const operators::OperatorSettings& settings, const std::vector<std::string>& request_classes,
                 const std::vector<std::string>& tenants);
// Writes a temporary file and renames it, so that readers see either the old or the new content.
void write_file(const std::string& path, const std::string& text, bool secret);

} // namespace ivyrill::program
