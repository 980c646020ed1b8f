#include "access/keys.hpp"

#include "access/encoding.hpp"

#include <algorithm>
#include <tuple>

namespace ivyrill::access {

namespace {

constexpr std::size_t kMaxKeys = 64, kMaxKeyFileBytes = 16 * 1024, kMaxRevocationEntries = 100'000;
constexpr std::size_t kMaxRevocationFileBytes = 16 * 1024 * 1024;

Ticks time_of(const nlohmann::json& json, const char* name, std::optional<Ticks> otherwise) {
    const auto found = json.find(name);
    if (found == json.end() && otherwise) return *otherwise;
    const auto read = found == json.end() ? std::nullopt : read_seconds(*found);
    if (!read) throw AccessError(std::string(name) + ": expected whole seconds since 1970");
    return *read;
}

void read_times(const nlohmann::json& json, const char* name,
                std::map<std::string, Ticks, std::less<>>& into) {
    const auto found = json.find(name);
    if (found == json.end()) return;
    if (!found->is_object()) throw AccessError(std::string(name) + ": expected an object");
    if (found->size() > kMaxRevocationEntries) throw AccessError(std::string(name) + ": too many entries");
    for (const auto& [key, value] : found->items()) {
        const auto time = read_seconds(value);
        if (!time) throw AccessError(std::string(name) + ": expected whole seconds since 1970 for " + key);
        into[key] = *time;
    }
}

} // namespace

std::string_view name_of(KeyState state) {
    switch (state) {
    case KeyState::kAnnounced:
        return "announced";
    case KeyState::kActive:
        return "active";
    case KeyState::kOutgoing:
        return "outgoing";
    case KeyState::kGone:
        return "gone";
    }
    return "unknown";
}

KeyState KeyTimes::at(Ticks now) const {
    if (now >= gone) return KeyState::kGone;
    if (now >= outgoing) return KeyState::kOutgoing;
    return now >= active ? KeyState::kActive : KeyState::kAnnounced;
}

bool Key::verifies(Ticks now, Ticks skew) const { return now < times.gone && now + skew >= times.active; }

bool is_valid_name(std::string_view name) {
    return !name.empty() && name.size() <= 64 && name != "." && name != ".." &&
           std::ranges::all_of(name, [](char c) {
               return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                      c == '-' || c == '_' || c == '.';
           });
}

Key read_key(const NamedText& file) {
    try {
        if (file.text.size() > kMaxKeyFileBytes) throw AccessError("more than 16 kB");
        const auto json = read_object(file.text);
        if (!json) throw AccessError("expected one JSON object, without duplicate names");
        const auto name = json->find("kid");
        if (name == json->end() || !name->is_string() || !is_valid_name(name->get_ref<const std::string&>()))
            throw AccessError("kid: expected 1 to 64 letters, digits, '-', '_' or '.'");
        if (const auto use = json->find("use"); use != json->end() && *use != "sig")
            throw AccessError("use: expected \"sig\"");
        Key key{*name, SigningKey::from_jwk(*json), {}};
        key.times.announced = time_of(*json, "announced", 0);
        key.times.active = time_of(*json, "active", {});
        key.times.outgoing = time_of(*json, "outgoing", kNever);
        key.times.gone = time_of(*json, "gone", kNever);
        const KeyTimes& t = key.times;
        // A revoked key may be gone before it was ever active.
        if (t.announced > t.active || (t.outgoing != kNever && t.active > t.outgoing && t.gone > t.active) ||
            (t.gone != kNever && t.outgoing != kNever && t.outgoing > t.gone))
            throw AccessError("expected announced, active, outgoing and gone in this order");
        return key;
    } catch (const AccessError& error) { throw AccessError(file.name + ": " + error.what()); }
}

std::string write_key(const Key& key, bool with_private) {
    nlohmann::json json = key.signing.to_jwk(with_private);
    json["kid"] = key.name;
    json["announced"] = key.times.announced / kTicksPerSecond;
    json["active"] = key.times.active / kTicksPerSecond;
    if (key.times.outgoing != kNever) json["outgoing"] = key.times.outgoing / kTicksPerSecond;
    if (key.times.gone != kNever) json["gone"] = key.times.gone / kTicksPerSecond;
    return json.dump(2) + "\n";
}

KeyRing KeyRing::read(const std::vector<NamedText>& files, const KeyRing* previous) {
    KeyRing ring;
    if (files.size() > kMaxKeys) throw AccessError("more than " + std::to_string(kMaxKeys) + " keys");
    if (previous != nullptr) ring.fingerprints_ = previous->fingerprints_;
    std::map<std::string, std::string> file_of;
    for (const NamedText& file : files) {
        Key key = read_key(file);
        if (const auto [entry, inserted] = file_of.emplace(key.name, file.name); !inserted)
            throw AccessError(file.name + ": the key '" + key.name + "' is defined in " + entry->second +
                              " too");
        const std::string fingerprint = key.signing.fingerprint();
        // Tokens refer to keys by name, so a reused name would be ambiguous.
        if (const auto [entry, inserted] = ring.fingerprints_.emplace(key.name, fingerprint);
            !inserted && entry->second != fingerprint)
            throw AccessError(file.name + ": the key '" + key.name +
                              "' previously had different key material or another algorithm; "
                              "a new key needs a new name");
        ring.keys_.emplace(key.name, std::move(key));
    }
    if (ring.fingerprints_.size() > 16 * kMaxKeys) { // forgets deleted keys, whose names can then be reused
        std::erase_if(ring.fingerprints_, [&](auto& entry) { return !ring.keys_.contains(entry.first); });
    }
    return ring;
}

const Key* KeyRing::find(std::string_view name) const {
    const auto found = keys_.find(name);
    return found == keys_.end() ? nullptr : &found->second;
}

const Key* KeyRing::signer(Ticks now) const {
    const Key* best = nullptr;
    for (const auto& [name, key] : keys_)
        if (key.times.at(now) == KeyState::kActive &&
            (best == nullptr || key.times.active > best->times.active))
            best = &key;
    return best;
}

Ticks KeyRing::next_change(Ticks after, Ticks skew) const {
    Ticks next = kNever;
    for (const auto& [name, key] : keys_)
        for (const Ticks at : {key.times.active - skew, key.times.active, key.times.outgoing, key.times.gone})
            if (at > after) next = std::min(next, at);
    return next;
}

Revocations Revocations::read(const NamedText& file) {
    Revocations result;
    try {
        if (file.text.size() > kMaxRevocationFileBytes) throw AccessError("more than 16 MB");
        const auto json = read_object(file.text);
        if (!json) throw AccessError("expected one JSON object, without duplicate names");
        for (const auto& [name, value] : json->items())
            if (name != "tokens" && name != "members" && name != "certificates")
                throw AccessError("unknown member '" + name + "'; expected tokens, members or certificates");
        read_times(*json, "tokens", result.tokens);
        read_times(*json, "members", result.members);
        read_times(*json, "certificates", result.certificates);
        return result;
    } catch (const AccessError& error) { throw AccessError(file.name + ": " + error.what()); }
}

std::string Revocations::write() const {
    nlohmann::json json = {{"tokens", nlohmann::json::object()},
                           {"members", nlohmann::json::object()},
                           {"certificates", nlohmann::json::object()}};
    for (const auto& [name, entries] : {std::pair{"tokens", &tokens}, std::pair{"members", &members},
                                        std::pair{"certificates", &certificates}})
        for (const auto& [key, time] : *entries) json[name][key] = time / kTicksPerSecond;
    return json.dump(2) + "\n";
}

void Revocations::remove_expired(Ticks now, Ticks skew, Ticks max_token_lifetime) {
    if (max_token_lifetime != kNever)
        std::erase_if(members, [&](auto& entry) { return entry.second + max_token_lifetime + skew < now; });
    std::erase_if(tokens, [&](auto& entry) { return entry.second + skew < now; });
}

Rotation rotate(const KeyRing& ring, std::string name, std::optional<Algorithm> algorithm, Ticks now,
                Ticks lead, Ticks overlap) {
    if (!is_valid_name(name)) throw AccessError("a key's name has 1 to 64 letters, digits, '-', '_' or '.'");
    if (ring.find(name) != nullptr) throw AccessError("a key named '" + name + "' already exists");
    const Key* signer = ring.signer(now);
    const Algorithm wanted = algorithm           ? *algorithm
                             : signer != nullptr ? signer->signing.algorithm()
                                                 : Algorithm::kEdDsa;
    // Files hold whole seconds: activation is rounded up, so that no key is active before it was announced.
    const auto round_up_to_second = [](Ticks at) {
        return (at + kTicksPerSecond - 1) / kTicksPerSecond * kTicksPerSecond;
    };
    const Ticks announced = now / kTicksPerSecond * kTicksPerSecond;
    const Ticks active = lead == 0 ? announced : round_up_to_second(now + lead);
    Rotation result{{std::move(name), SigningKey::generate(wanted), {announced, active, kNever, kNever}}, {}};
    for (const auto& [other, key] : ring.keys()) {
        const KeyState state = key.times.at(now);
        if (state != KeyState::kActive || key.times.outgoing != kNever) continue;
        Key changed = key;
        changed.times.outgoing = active, changed.times.gone = round_up_to_second(active + overlap);
        result.changed_keys.push_back(std::move(changed));
    }
    return result;
}

} // namespace ivyrill::access
