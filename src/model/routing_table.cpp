#include "model/routing_table.hpp"

#include <algorithm>
#include <cstdint>

namespace ivyrill::model {

namespace {

constexpr std::uint64_t kFnvBasis = 14695981039346656037ULL, kFnvPrime = 1099511628211ULL; // FNV-1a, 64 bits

char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

std::string_view without_port(std::string_view host) {
    const std::size_t bracket = host.rfind(']'); // the end of an IPv6 address
    const std::size_t colon = host.find(':', bracket == std::string_view::npos ? 0 : bracket);
    return host.substr(0, colon);
}

} // namespace

std::size_t RoutingTable::CaseInsensitive::operator()(std::string_view text) const {
    std::uint64_t hash = kFnvBasis;
    for (const char c : text) hash = (hash ^ static_cast<unsigned char>(lower(c))) * kFnvPrime;
    return hash;
}

bool RoutingTable::CaseInsensitive::operator()(std::string_view left, std::string_view right) const {
    return std::ranges::equal(left, right, {}, lower, lower);
}

RoutingTable::RoutingTable(std::shared_ptr<const Configuration> configuration)
    : configuration_(std::move(configuration)), tenants_(*configuration_) {
    for (const Route& route : configuration_->routes) {
        HostRoutes& routes = hosts_[route.host];
        routes.by_prefix.emplace(route.path_prefix, &route);
        routes.longest_prefix = std::max(routes.longest_prefix, route.path_prefix.size());
    }
    for (const Service& service : configuration_->services) services_.emplace(service.name, &service);
}

const Route* RoutingTable::find(std::string_view host, std::string_view path) const {
    const auto found = hosts_.find(without_port(host));
    if (found == hosts_.end()) return nullptr;
    const HostRoutes& routes = found->second;
    std::string_view prefix = path.substr(0, path.find('?')).substr(0, routes.longest_prefix);
    while (!prefix.empty()) {
        const std::size_t slash = prefix.rfind('/');
        if (slash == std::string_view::npos) return nullptr;
        prefix = prefix.substr(0, slash + 1);
        const auto route = routes.by_prefix.find(prefix);
        if (route != routes.by_prefix.end()) return route->second;
        prefix.remove_suffix(1);
    }
    return nullptr;
}

const Service* RoutingTable::service(std::string_view name) const {
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : found->second;
}

std::optional<std::string> RoutingTable::choose_service(const Route& route, double unit) const {
    double sum = 0;
    for (const WeightedService& candidate : route.services) sum += std::max(candidate.weight, 0.0);
    const std::string* chosen = nullptr; // the last one with a weight, in case rounding leaves a remainder
    double remaining = unit * sum;
    for (const WeightedService& candidate : route.services) {
        if (candidate.weight <= 0) continue;
        chosen = &candidate.service;
        remaining -= candidate.weight;
        if (remaining < 0) break;
    }
    return chosen == nullptr ? std::nullopt : std::optional(*chosen);
}

} // namespace ivyrill::model
