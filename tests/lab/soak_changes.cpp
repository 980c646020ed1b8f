#include "lab/soak_changes.hpp"

#include "lab/generation.hpp"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>

namespace ivyrill::lab {

namespace {

using nlohmann::json;

constexpr std::size_t kMostRoutes = 9, kMostKeys = 12, kLeastKeys = 3;
constexpr const char* kTenants[] = {"alpha", "beta", "gamma"};

json service_json(const char* name) {
    return {{"name", name},
            {"healthPath", "/health"},
            {"connLimit", 64},
            {"protocol", "h1"},
            {"tls", false},
            {"engine",
             {{"slots", 8},
              {"kvTokenCount", 100'000},
              {"tokenKvBytes", 131'072},
              {"linkMbps", 100'000.0},
              {"stride", 4},
              {"handleHoldS", 5.0},
              {"roleSwitchS", 0.5},
              {"models", json::array({{{"name", "m"}}})}}}};
}

json route_json(const SoakRoute& route) {
    json made{{"name", "r-" + hexadecimal(hash_text(route.prefix), 8)},
              {"host", "chat.example"},
              {"pathPrefix", route.prefix},
              {"kind", route.kind == SoakKind::kSafe ? "safe" : "streaming"},
              {"timeoutMs", 20'000},
              {"targetLatencyMs", 500},
              {"priority", 1},
              {"maxAttempts", 2},
              {"public", route.is_public}};
    if (route.kind != SoakKind::kSafe) {
        made["sticky"] = true, made["resumable"] = route.kind == SoakKind::kResumable;
        made["gap_aim_ms"] = 300;
    }
    if (route.services.size() == 1) {
        made["service"] = *route.services.begin();
    } else {
        for (const std::string& service : route.services)
            made["trafficSplit"].push_back({{"service", service}, {"weight", 50}});
    }
    return made;
}

std::string text_of(const SoakVersion& version) {
    json made{{"version", version.number},
              {"limits",
               {{"maxHeaderBytes", 16'384},
                {"maxBodyBytes", 4'194'304},
                {"headerTimeoutMs", 3000},
                {"idleTimeoutMs", 15'000}}},
              {"services", json::array({service_json(kSoakModel), service_json(kSoakOther)})}};
    for (const SoakRoute& route : version.routes) made["routes"].push_back(route_json(route));
    for (const char* tenant : kTenants) {
        json keys = json::array();
        for (const auto& [key, owner] : version.tenant_of_key)
            if (owner == tenant) keys.push_back(key);
        made["tenants"].push_back({{"name", tenant}, {"apiKeys", keys}});
    }
    return made.dump();
}

} // namespace

SoakChanges::SoakChanges(std::uint64_t seed) : random_(mix(seed, hash_text("changes"))) {}

std::string SoakChanges::fresh_key() {
    keys_.push_back("key-" + hexadecimal(random_(), 12));
    return keys_.back();
}

SoakVersion SoakChanges::first() {
    SoakVersion version;
    version.number = ++number_;
    version.routes = {{"/chat/", SoakKind::kResumable, false, {kSoakModel}},
                      {"/draft/", SoakKind::kOnce, false, {kSoakModel}},
                      {"/open/", SoakKind::kOnce, true, {kSoakOther}}};
    for (const SoakRoute& route : version.routes) prefixes_.push_back(route.prefix);
    for (const char* tenant : kTenants) {
        version.tenant_of_key[fresh_key()] = tenant;
        version.tenant_of_key[fresh_key()] = tenant;
    }
    version.body = text_of(version);
    return version;
}

SoakVersion SoakChanges::next(const SoakVersion& former) {
    SoakVersion version;
    version.number = number_ += 1 + draw(3);
    version.routes = former.routes, version.tenant_of_key = former.tenant_of_key;
    const std::int64_t what = draw(3);
    if (what != 0) change_keys(version);
    if (what != 1) change_routes(version);
    version.body = text_of(version);
    return version;
}

SoakVersion SoakChanges::invalid(const SoakVersion& former) {
    SoakVersion version = next(former);
    json broken = json::parse(version.body);
    if (draw(1) == 0)
        broken["tenants"][0]["apiKeys"] = broken["tenants"][1]["apiKeys"] = json::array({keys_.front()});
    else
        broken["routes"][0]["service"] = "of-nobody", broken["routes"][0].erase("trafficSplit");
    version.body = broken.dump();
    return version;
}

void SoakChanges::change_keys(SoakVersion& version) {
    auto& keys = version.tenant_of_key;
    const auto any = [&] { return std::next(keys.begin(), draw(std::ssize(keys) - 1)); };
    const std::int64_t what = draw(2);
    if (what == 0 && keys.size() > kLeastKeys)
        keys.erase(any());
    else if (what == 1)
        any()->second = kTenants[draw(2)];
    else if (keys.size() < kMostKeys)
        keys[fresh_key()] = kTenants[draw(2)];
}

void SoakChanges::change_routes(SoakVersion& version) {
    const std::int64_t what = draw(2);
    if (what == 0 && version.routes.size() > 3) {
        version.routes.erase(version.routes.begin() + 3 + draw(std::ssize(version.routes) - 4));
    } else if (what == 1) {
        SoakRoute& route = version.routes[static_cast<std::size_t>(draw(std::ssize(version.routes) - 1))];
        const std::int64_t services = draw(2);
        route.services.clear();
        if (services != 0) route.services.insert(kSoakModel);
        if (services != 1) route.services.insert(kSoakOther);
    } else if (version.routes.size() < kMostRoutes) {
        const SoakKind kind = draw(1) == 0 ? SoakKind::kSafe : SoakKind::kOnce;
        prefixes_.push_back("/more-" + std::to_string(version.number) + "/");
        version.routes.push_back({prefixes_.back(), kind, draw(3) == 0, {kSoakModel}});
    }
}

} // namespace ivyrill::lab
