// The operator's `PUT /config` body, read by Boost.PropertyTree and checked whole. Nothing here asks which
// version is current: that is the owner's to decide.
#pragma once
#include "base/result.hpp"
#include "model/configuration.hpp"

#include <string>
#include <string_view>

namespace ivyrill::configuration {

// An error for what can't be read whole, a route that names an unknown service, two routes that share host
// and prefix, weights that add up to 0 or less, a time-out of 0 or less, a missing or non-positive version,
// two tenants (if any are named) that share a key, or two services of one name. Fields that aren't known are
// left aside.
Result<model::Configuration> parse(std::string_view json);

} // namespace ivyrill::configuration
