// Identifies the sender of a request by its API key (`Api-Key`) under one configuration. Pure.
#pragma once
#include "model/configuration.hpp"
#include "model/tenant_table.hpp"
#include "protocol/http.hpp"

#include <cstdint>

namespace ivyrill::proxy {

enum class Admission : std::uint8_t {
    kAdmitted,
    kKeyMissing, // no key, an empty one, or more than one
    kKeyUnknown  // no tenant of this configuration has it
};

struct Caller {
    Admission admission = Admission::kAdmitted;
    const model::Tenant* tenant =
        nullptr; // points into `tenants`; null if no key is required and none is known
};

// Value of the `Priority` header: 0 to 9, 0 is the most urgent. The tenant's priority overrides the route's.
std::int64_t priority_of(const model::Route& route, const model::Tenant* tenant);

Caller caller_of(const protocol::HttpMessage& request, const model::Route& route,
                 const model::TenantTable& tenants);

} // namespace ivyrill::proxy
