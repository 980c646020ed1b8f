// An index over one configuration, which it owns and never changes: the route of a request, a service by
// name, and the tenant of a key. Its functions may be called from anywhere at the same time.
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

    // Of the routes for `host` (of any case; a `:port` is ignored) the one with the longest prefix that
    // begins `path` (what follows a `?` is ignored); null without one. One look-up for each segment of the
    // path, however many routes there are. What is returned lives as long as the configuration.
    const Route* find(std::string_view host, std::string_view path) const;

    const Service* service(std::string_view name) const; // null without one
    const TenantTable& tenants() const { return tenants_; }
    const Configuration& configuration() const { return *configuration_; }

    // By weight, with `unit` drawn evenly from [0, 1); nothing where no service has a weight above 0.
    std::optional<std::string> choose_service(const Route& route, double unit) const;

  private:
    struct IgnoringCase {
        std::size_t operator()(std::string_view text) const;                  // hash
        bool operator()(std::string_view left, std::string_view right) const; // equality
    };
    struct HostRoutes {
        std::unordered_map<std::string_view, const Route*> by_prefix;
        std::size_t longest_prefix = 0;
    };

    // The views point into the configuration.
    std::shared_ptr<const Configuration> configuration_;
    std::unordered_map<std::string_view, HostRoutes, IgnoringCase, IgnoringCase> hosts_;
    std::unordered_map<std::string_view, const Service*> services_;
    TenantTable tenants_;
};

} // namespace ivyrill::model
