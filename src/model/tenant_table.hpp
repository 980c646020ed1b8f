// Immutable index from API key to tenant for one configuration. The cost of a lookup does not depend on the
// number of tenants.
#pragma once
#include "model/configuration.hpp"

#include <cstddef>
#include <string_view>
#include <unordered_map>

namespace ivyrill::model {

class TenantTable {
  public:
    // `configuration` must outlive the table: the keys are views into it.
    explicit TenantTable(const Configuration& configuration);

    bool requires_keys() const { return requires_keys_; }       // on routes that are not public
    std::size_t size() const { return tenants_by_key_.size(); } // number of keys
    const Tenant* find(std::string_view api_key) const;         // null if no tenant has that key

  private:
    bool requires_keys_;
    std::size_t longest_key_ = 0; // in bytes; longer keys are rejected without hashing
    std::unordered_map<std::string_view, const Tenant*> tenants_by_key_;
};

} // namespace ivyrill::model
