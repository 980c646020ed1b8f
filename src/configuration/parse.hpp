// Parses and validates the operator's `PUT /config` body. Whether the version may replace the current one is
// not checked here but by the owner of the configuration.
#pragma once
#include "base/result.hpp"
#include "model/configuration.hpp"

#include <string>
#include <string_view>

namespace ivyrill::configuration {

// Returns an error if the text can't be parsed, a route names an unknown service, two routes share host and
// prefix, weights add up to 0 or less, a timeout is 0 or less, the version is missing or not positive, two
// tenants (if any are given) share a key, or two services have the same name. Unknown fields are ignored.
Result<model::Configuration> parse(std::string_view json);

} // namespace ivyrill::configuration
