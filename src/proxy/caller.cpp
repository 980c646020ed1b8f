#include "proxy/caller.hpp"

#include <algorithm>
#include <string_view>

namespace ivyrill::proxy {

std::int64_t priority_of(const model::Route& route, const model::Tenant* tenant) {
    const bool has_priority = tenant != nullptr && tenant->priority;
    return std::clamp<std::int64_t>(has_priority ? *tenant->priority : route.priority, 0, 9);
}

Caller caller_of(const protocol::HttpMessage& request, const model::Route& route,
                 const model::TenantTable& tenants) {
    if (!tenants.requires_keys()) return {};
    const std::string_view key = request.header("api-key");
    const bool has_one_key = request.header_count("api-key") == 1 && !key.empty();
    const model::Tenant* tenant = has_one_key ? tenants.find(key) : nullptr;
    if (tenant != nullptr || route.is_public) return {Admission::kAdmitted, tenant};
    return {has_one_key ? Admission::kKeyUnknown : Admission::kKeyMissing, nullptr};
}

} // namespace ivyrill::proxy
