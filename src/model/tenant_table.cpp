#include "model/tenant_table.hpp"

#include <algorithm>

namespace ivyrill::model {

TenantTable::TenantTable(const Configuration& configuration)
    : requires_keys_(configuration.tenants.has_value()) {
    if (!configuration.tenants) return;
    for (const Tenant& tenant : *configuration.tenants)
        for (const std::string& key : tenant.api_keys) {
            tenants_by_key_.emplace(key, &tenant);
            longest_key_ = std::max(longest_key_, key.size());
        }
}

const Tenant* TenantTable::find(std::string_view api_key) const {
    if (api_key.size() > longest_key_) return nullptr;
    const auto found = tenants_by_key_.find(api_key);
    return found == tenants_by_key_.end() ? nullptr : found->second;
}

} // namespace ivyrill::model
