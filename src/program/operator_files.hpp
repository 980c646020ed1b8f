// The operator's file and all that it names, read from disk as one step: either everything is sound and comes
// back, or the error says what is not and nothing has changed.
#pragma once
#include "operator/operator_settings.hpp"

#include <nlohmann/json.hpp>

#include <memory>
#include <string>
#include <vector>

namespace ivyrill::program {

struct LoadedSettings {
    operators::OperatorSettings orders;
    std::shared_ptr<const access::Policy> policy;                  // null: access is off
    std::vector<std::shared_ptr<const transport::TlsContext>> tls; // one for each listener
    std::string secret;                                            // of the members, empty without them
    std::vector<std::string> folders;                              // where a change means reading again
};

std::string read_file(const std::string& path);           // throws std::runtime_error
nlohmann::ordered_json evaluate(const std::string& path); // the script's result, unread; throws
// `wall` is the time that credentials are judged by; `before` what is in force, or null.
LoadedSettings load_operator_files(const std::string& path, const access::Policy* before, Tenths wall,
                                   transport::TicketStore* tickets);
// Clubs and request classes that the settings do not have would be silently nothing.
void check_names(const operators::OperatorSettings& orders, const std::vector<std::string>& request_classes,
                 const std::vector<std::string>& tenants);
// Written beside and renamed: whoever reads meanwhile sees the old file or the new one, whole.
void write_file(const std::string& path, const std::string& text, bool secret);

} // namespace ivyrill::program
