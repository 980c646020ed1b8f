// Immutable index of one configuration, which it owns: route of a request, service by name, tenant by key.
// Safe for concurrent use.
#pragma once
#include "model/configuration.hpp"
#include "model/tenant_table.hpp"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace ivyrill::model {

class RoutingTable {
  public:
    explicit RoutingTable(std::shared_ptr<const Configuration> configuration);

    // Among the routes for `host` (case-insensitive; a `:port` is ignored) returns the one with the longest
    // prefix of `path` (the part after `?` is ignored), or null. One lookup per path segment, regardless of
    // the number of routes. The result lives as long as the configuration.
    const Route* find(std::string_view host, std::string_view path) const;

    const Service* service(std::string_view name) const; // null if unknown
    const TenantTable& tenants() const { return tenants_; }
    const Configuration& configuration() const { return *configuration_; }

    // Weighted choice with `unit` uniform in [0, 1); none if no service has a weight above 0.
    std::optional<std::string> choose_service(const Route& route, double unit) const;

  private:
    struct CaseInsensitive {
        std::size_t operator()(std::string_view text) const;                  // hash
        bool operator()(std::string_view left, std::string_view right) const; // equality
    };
    struct HostRoutes {
        std::unordered_map<std::string_view, const Route*> by_prefix;
        std::size_t longest_prefix = 0;
    };

    // The views point into the configuration.
    std::shared_ptr<const Configuration> configuration_;
    std::unordered_map<std::string_view, HostRoutes, CaseInsensitive, CaseInsensitive> hosts_;
    std::unordered_map<std::string_view, const Service*> services_;
    TenantTable tenants_;
};

} // namespace ivyrill::model
