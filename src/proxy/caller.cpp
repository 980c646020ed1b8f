#include "proxy/caller.hpp"

#include <string_view>

namespace ivyrill::proxy {

Caller caller_of(const protocol::HttpMessage& request, const model::Route& route,
                 const model::TenantTable& tenants) {
    if (!tenants.requires_keys()) return {};
    const std::string_view key = request.header("api-key");
    const bool states_one_key = request.times("api-key") == 1 && !key.empty();
    const model::Tenant* holder = states_one_key ? tenants.holder(key) : nullptr;
    if (holder != nullptr || route.is_public) return {Admission::kAdmitted, holder};
    return {states_one_key ? Admission::kKeyUnknown : Admission::kKeyMissing, nullptr};
}

} // namespace ivyrill::proxy
