// Which tenant holds an API key, for one configuration: built once for a version, then never changed. Looking
// a key up costs the same however many tenants there are.
#pragma once
#include "model/configuration.hpp"

#include <cstddef>
#include <string_view>
#include <unordered_map>

namespace ivyrill::model {

class TenantTable {
  public:
    // `configuration` must outlive the table: the keys are views of its texts.
    explicit TenantTable(const Configuration& configuration);

    bool requires_keys() const { return requires_keys_; }       // of requests on routes that are not public
    std::size_t size() const { return tenants_by_key_.size(); } // keys
    const Tenant* find(std::string_view api_key) const;         // null where no tenant has that key

  private:
    bool requires_keys_;
    std::size_t longest_key_ = 0; // bytes; a longer one is nobody's and is not hashed
    std::unordered_map<std::string_view, const Tenant*> tenants_by_key_;
};

} // namespace ivyrill::model
