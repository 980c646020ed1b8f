#include "maintenance/fragment_transport.hpp"

#include "maintenance/codec.hpp"

#include <algorithm>

namespace ivyrill::maintenance {

namespace {

using codec::decode_count;
using codec::Json;

constexpr std::uint64_t kVersion = 1;
constexpr std::size_t kFieldCount = 8;
constexpr std::size_t kMaxMissingPerRequest = 64; // indexes in one resend request
constexpr int kMaxResendAttempts = 12;

Json binary(std::string_view bytes) {
    return Json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

std::string decode_name(const Json& value) {
    auto name = value.get<std::string>();
    if (name.size() > membership::kMaxNameBytes) throw std::out_of_range("the name is too long");
    return name;
}

} // namespace

bool FragmentTransport::is_fragment(std::string_view bytes) {
    return !bytes.empty() && static_cast<unsigned char>(bytes[0]) == 0x80U + kFieldCount;
}

void FragmentTransport::send_fragment(const std::string& to, MessageKind kind, std::uint64_t serial,
                                      std::size_t fragment_index, std::size_t fragment_count,
                                      std::string_view bytes) {
    ++counts_.fragments;
    const Json row = Json::array({kVersion, static_cast<int>(kind), name_, address_, serial, fragment_index,
                                  fragment_count, binary(bytes)});
    outgoing_.push_back({to, datagram_codec_.sign(codec::pack_cbor(row))});
}

bool FragmentTransport::send(Ticks now, const std::string& to, MessageKind kind, const std::string& bytes) {
    const std::size_t fragment_count =
        std::max<std::size_t>(1, (bytes.size() + kFragmentBytes - 1) / kFragmentBytes);
    if (fragment_count > kMaxFragments || name_.size() > membership::kMaxNameBytes)
        return ++counts_.dropped, false;
    const std::uint64_t serial = ++serial_;
    for (std::size_t fragment_index = 0; fragment_index < fragment_count; ++fragment_index)
        send_fragment(to, kind, serial, fragment_index, fragment_count,
                      std::string_view(bytes).substr(fragment_index * kFragmentBytes, kFragmentBytes));
    ++counts_.sent;
    if (fragment_count > 1) retained_.push_back({serial, to, kind, bytes, now + kRetention});
    if (retained_.size() > kMaxRetained) retained_.pop_front();
    return true;
}

std::optional<PeerMessage> FragmentTransport::receive(Ticks now, std::string_view datagram) {
    const auto verified = datagram_codec_.verify(datagram);
    if (!verified) return {};
    try {
        const Json row = Json::from_cbor(verified->begin(), verified->end());
        if (!row.is_array() || row.size() != kFieldCount || row[0] != kVersion)
            throw std::out_of_range("unknown format version");
        const std::uint64_t kind = decode_count(row[1]), serial = decode_count(row[4]),
                            fragment_index = decode_count(row[5]), fragment_count = decode_count(row[6]);
        const auto& payload = row[7].get_binary();
        if (kind > static_cast<std::uint64_t>(MessageKind::kResendRequest) || fragment_count == 0 ||
            fragment_count > kMaxFragments || fragment_index >= fragment_count ||
            payload.size() > kFragmentBytes)
            throw std::out_of_range("the fragment is malformed");
        PeerMessage message{static_cast<MessageKind>(kind), decode_name(row[2]), decode_name(row[3]), {}};
        datagram_codec_.count_accepted();
        const std::string bytes(payload.begin(), payload.end());
        if (message.kind == MessageKind::kResendRequest) {
            const Json wanted = Json::from_cbor(payload.begin(), payload.end());
            const std::uint64_t wanted_serial = decode_count(wanted.at(0));
            for (const Retained& retained : retained_) {
                if (retained.serial != wanted_serial || retained.to != message.address) continue;
                const std::size_t count = (retained.bytes.size() + kFragmentBytes - 1) / kFragmentBytes;
                for (std::size_t i = 1; i < std::min(wanted.size(), kMaxMissingPerRequest + 1); ++i)
                    if (const std::size_t index = decode_count(wanted[i]); index < count)
                        send_fragment(
                            retained.to, retained.kind, retained.serial, index, count,
                            std::string_view(retained.bytes).substr(index * kFragmentBytes, kFragmentBytes));
            }
            return {};
        }
        if (fragment_count == 1) {
            message.bytes = bytes;
            return ++counts_.reassembled, message;
        }
        const std::pair key(message.address, serial);
        auto found = incomplete_.find(key);
        if (found == incomplete_.end()) {
            if (incomplete_.size() >= kMaxIncomplete) { // drops the oldest; its sender will retry
                const auto oldest = std::ranges::min_element(
                    incomplete_, {}, [](const auto& entry) { return entry.second.started_at; });
                incomplete_.erase(oldest), ++counts_.dropped;
            }
            found = incomplete_
                        .emplace(key,
                                 Incomplete{message, std::vector<std::string>(fragment_count),
                                            std::vector<bool>(fragment_count), 0, now, now + kResendAfter, 0})
                        .first;
        }
        Incomplete& incomplete = found->second;
        if (incomplete.fragments.size() != fragment_count || incomplete.message.kind != message.kind)
            throw std::out_of_range("the fragment contradicts its message");
        if (incomplete.received[fragment_index]) return {};
        incomplete.received[fragment_index] = true, incomplete.fragments[fragment_index] = bytes;
        incomplete.resend_at = now + kResendAfter;
        if (++incomplete.received_count < fragment_count) return {};
        for (const std::string& fragment : incomplete.fragments) message.bytes += fragment;
        incomplete_.erase(found);
        return ++counts_.reassembled, message;
    } catch (const std::exception&) { return datagram_codec_.count_malformed(), std::nullopt; }
}

void FragmentTransport::step(Ticks now) {
    std::erase_if(retained_, [&](const Retained& retained) { return now >= retained.until; });
    std::erase_if(incomplete_, [&](auto& entry) {
        const bool expired =
            now >= entry.second.started_at + kRetention || entry.second.resend_attempts >= kMaxResendAttempts;
        counts_.dropped += expired ? 1 : 0;
        return expired;
    });
    for (auto& [key, incomplete] : incomplete_) {
        if (now < incomplete.resend_at) continue;
        incomplete.resend_at = now + kResendAfter * (1 + ++incomplete.resend_attempts);
        Json wanted = Json::array({key.second});
        for (std::size_t i = 0; i < incomplete.received.size() && wanted.size() <= kMaxMissingPerRequest; ++i)
            if (!incomplete.received[i]) wanted.push_back(i);
        ++counts_.resend_requests;
        send_fragment(key.first, MessageKind::kResendRequest, ++serial_, 0, 1, codec::pack_cbor(wanted));
    }
}

std::optional<Ticks> FragmentTransport::next_step() const {
    std::optional<Ticks> first;
    for (const auto& [key, incomplete] : incomplete_)
        first = first ? std::min(*first, incomplete.resend_at) : incomplete.resend_at;
    return first;
}

} // namespace ivyrill::maintenance
