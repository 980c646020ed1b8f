// Who sends a request, by its API key (`Api-Key`) under one configuration. Pure.
#pragma once
#include "model/configuration.hpp"
#include "model/tenant_table.hpp"
#include "protocol/http.hpp"

#include <cstdint>

namespace ivyrill::proxy {

enum class Admission : std::uint8_t {
    kAdmitted,
    kKeyMissing, // none, an empty one, or more than one
    kKeyUnknown  // no tenant of this configuration has it
};

struct Caller {
    Admission admission = Admission::kAdmitted;
    const model::Tenant* tenant = nullptr; // of `tenants`; null where no key is needed and none is known
};

// As `Priority` tells a server: 0 to 9, 0 the most urgent. That of the tenant precedes that of the route.
std::int64_t priority_of(const model::Route& route, const model::Tenant* tenant);

Caller caller_of(const protocol::HttpMessage& request, const model::Route& route,
                 const model::TenantTable& tenants);

} // namespace ivyrill::proxy
