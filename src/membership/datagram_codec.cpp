#include "membership/datagram_codec.hpp"

#include "access/encoding.hpp"
#include "access/types.hpp"

#include <nlohmann/json.hpp>

namespace ivyrill::membership {

namespace {

using nlohmann::json;

constexpr int kVersion = 1;
constexpr std::size_t kMinSecretBytes = 32;

access::SigningKey key_of(std::string_view secret) {
    if (secret.size() < kMinSecretBytes)
        throw access::AccessError("the members' secret must have at least 32 bytes");
    return access::SigningKey::from_jwk({{"kty", "oct"}, {"alg", "HS256"}, {"k", access::base64url(secret)}});
}

bool fits(const std::string& name) { return name.size() <= kMaxNameBytes; }

json encode_update(const MemberUpdate& update) {
    return json::array({update.name, update.address, update.incarnation, static_cast<int>(update.state)});
}

std::string name_in(const json& value) {
    auto name = value.get<std::string>();
    if (!fits(name)) throw std::out_of_range("name is too long");
    return name;
}

std::uint64_t number_in(const json& value) {
    if (!value.is_number_unsigned()) throw std::out_of_range("expected an unsigned number");
    return value.get<std::uint64_t>();
}

template <class Enum> Enum enum_in(const json& value, Enum last) {
    const std::uint64_t number = number_in(value);
    if (number > static_cast<std::uint64_t>(last)) throw std::out_of_range("unknown enum value");
    return static_cast<Enum>(number);
}

MemberUpdate decode_update(const json& row) {
    if (!row.is_array() || row.size() != 4) throw std::out_of_range("malformed member update");
    MemberUpdate update{name_in(row[0]), name_in(row[1]), number_in(row[2]),
                        enum_in(row[3], MemberState::kLeft)};
    // Incarnations of 2^63 and more are rejected: no correct member reaches them, and one near the maximum
    // could not be refuted with a higher one.
    if (update.name.empty() || update.incarnation == 0 || update.incarnation >> 63U != 0)
        throw std::out_of_range("invalid name or incarnation");
    return update;
}

} // namespace

DatagramCodec::DatagramCodec(std::string_view secret) : key_(key_of(secret)) {}

std::optional<std::string> DatagramCodec::encode(const Datagram& datagram) const {
    if (!fits(datagram.from) || !fits(datagram.address) || !fits(datagram.target)) return {};
    json updates = json::array();
    for (const MemberUpdate& update : datagram.updates)
        if (fits(update.name) && fits(update.address)) updates.push_back(encode_update(update));
    for (;; updates.erase(updates.size() - 1)) {
        const auto message =
            json::to_cbor(json::array({kVersion, static_cast<int>(datagram.kind), datagram.from,
                                       datagram.address, datagram.serial, datagram.target, updates}));
        std::string bytes(message.begin(), message.end());
        if (bytes.size() + kMacBytes <= kMaxDatagramBytes) return sign(std::move(bytes));
        if (updates.empty()) return {};
    }
}

std::string DatagramCodec::sign(std::string bytes) const {
    const std::string mac = key_.sign(bytes);
    return std::move(bytes) + mac;
}

std::optional<std::string_view> DatagramCodec::verify(std::string_view bytes) {
    if (bytes.size() > kMaxDatagramBytes) return ++counts_.too_long, std::nullopt;
    const std::size_t size = bytes.size() < kMacBytes ? 0 : bytes.size() - kMacBytes;
    if (size == 0 || !key_.verify(bytes.substr(0, size), bytes.substr(size)))
        return ++counts_.unauthenticated, std::nullopt;
    return bytes.substr(0, size);
}

std::optional<Datagram> DatagramCodec::decode(std::string_view bytes) {
    const auto payload = verify(bytes);
    if (!payload) return {};
    try {
        const json message = json::from_cbor(payload->begin(), payload->end());
        if (!message.is_array() || message.size() != 7 || message[0] != kVersion || !message[6].is_array())
            throw std::out_of_range("unknown version or malformed datagram");
        Datagram datagram{enum_in(message[1], DatagramKind::kPingRequest),
                          name_in(message[2]),
                          name_in(message[3]),
                          number_in(message[4]),
                          name_in(message[5]),
                          {}};
        for (const json& row : message[6]) datagram.updates.push_back(decode_update(row));
        ++counts_.accepted;
        return datagram;
    } catch (const std::exception&) { return ++counts_.malformed, std::nullopt; }
}

} // namespace ivyrill::membership
