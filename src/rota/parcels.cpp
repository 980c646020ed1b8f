#include "rota/parcels.hpp"

#include "rota/words.hpp"

#include <algorithm>

namespace ivyrill::rota {

namespace {

using words::count_in;
using words::Json;

constexpr std::uint64_t kVersion = 1;
constexpr std::size_t kFields = 8;
constexpr std::size_t kMostMissing = 64; // asked for at a time
constexpr int kMostAsked = 12;

Json binary(std::string_view bytes) {
    return Json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

std::string name_in(const Json& value) {
    auto name = value.get<std::string>();
    if (name.size() > membership::kMaxNameBytes) throw std::out_of_range("a name too long");
    return name;
}

} // namespace

bool Parcels::is_piece(std::string_view bytes) {
    return !bytes.empty() && static_cast<unsigned char>(bytes[0]) == 0x80U + kFields;
}

void Parcels::put(const std::string& to, ParcelKind kind, std::uint64_t serial, std::size_t piece,
                  std::size_t of, std::string_view bytes) {
    ++counts_.pieces;
    const Json row =
        Json::array({kVersion, static_cast<int>(kind), name_, address_, serial, piece, of, binary(bytes)});
    out_.push_back({to, seal_.sign(words::pack(row))});
}

bool Parcels::send(Tenths now, const std::string& to, ParcelKind kind, const std::string& bytes) {
    const std::size_t of = std::max<std::size_t>(1, (bytes.size() + kPiece - 1) / kPiece);
    if (of > kMostPieces || name_.size() > membership::kMaxNameBytes) return ++counts_.dropped, false;
    const std::uint64_t serial = ++serial_;
    for (std::size_t piece = 0; piece < of; ++piece)
        put(to, kind, serial, piece, of, std::string_view(bytes).substr(piece * kPiece, kPiece));
    ++counts_.sent;
    if (of > 1) kept_.push_back({serial, to, kind, bytes, now + kKept});
    if (kept_.size() > kMostKept) kept_.pop_front();
    return true;
}

std::optional<Parcel> Parcels::hear(Tenths now, std::string_view sealed) {
    const auto told = seal_.verify(sealed);
    if (!told) return {};
    try {
        const Json row = Json::from_cbor(told->begin(), told->end());
        if (!row.is_array() || row.size() != kFields || row[0] != kVersion)
            throw std::out_of_range("another version");
        const std::uint64_t kind = count_in(row[1]), serial = count_in(row[4]), piece = count_in(row[5]),
                            of = count_in(row[6]);
        const auto& chunk = row[7].get_binary();
        if (kind > static_cast<std::uint64_t>(ParcelKind::kMissing) || of == 0 || of > kMostPieces ||
            piece >= of || chunk.size() > kPiece)
            throw std::out_of_range("no piece");
        Parcel parcel{static_cast<ParcelKind>(kind), name_in(row[2]), name_in(row[3]), {}};
        seal_.count_accepted();
        const std::string bytes(chunk.begin(), chunk.end());
        if (parcel.kind == ParcelKind::kMissing) {
            const Json wanted = Json::from_cbor(chunk.begin(), chunk.end());
            const std::uint64_t about = count_in(wanted.at(0));
            for (const Kept& kept : kept_) {
                if (kept.serial != about || kept.to != parcel.address) continue;
                const std::size_t count = (kept.bytes.size() + kPiece - 1) / kPiece;
                for (std::size_t i = 1; i < std::min(wanted.size(), kMostMissing + 1); ++i)
                    if (const std::size_t at = count_in(wanted[i]); at < count)
                        put(kept.to, kept.kind, kept.serial, at, count,
                            std::string_view(kept.bytes).substr(at * kPiece, kPiece));
            }
            return {};
        }
        if (of == 1) {
            parcel.bytes = bytes;
            return ++counts_.whole, parcel;
        }
        const std::pair key(parcel.address, serial);
        auto found = open_.find(key);
        if (found == open_.end()) {
            if (open_.size() >= kMostOpen) { // the oldest goes: whoever sent it will send again
                const auto oldest =
                    std::ranges::min_element(open_, {}, [](const auto& held) { return held.second.begun; });
                open_.erase(oldest), ++counts_.dropped;
            }
            found = open_
                        .emplace(key, Open{parcel, std::vector<std::string>(of), std::vector<bool>(of), 0,
                                           now, now + kMissingAfter, 0})
                        .first;
        }
        Open& open = found->second;
        if (open.pieces.size() != of || open.parcel.kind != parcel.kind)
            throw std::out_of_range("another parcel");
        if (open.there[piece]) return {};
        open.there[piece] = true, open.pieces[piece] = bytes;
        open.ask_at = now + kMissingAfter;
        if (++open.have < of) return {};
        for (const std::string& one : open.pieces) parcel.bytes += one;
        open_.erase(found);
        return ++counts_.whole, parcel;
    } catch (const std::exception&) { return seal_.count_malformed(), std::nullopt; }
}

void Parcels::step(Tenths now) {
    std::erase_if(kept_, [&](const Kept& kept) { return now >= kept.until; });
    std::erase_if(open_, [&](auto& held) {
        const bool over = now >= held.second.begun + kKept || held.second.asked >= kMostAsked;
        counts_.dropped += over ? 1 : 0;
        return over;
    });
    for (auto& [key, open] : open_) {
        if (now < open.ask_at) continue;
        open.ask_at = now + kMissingAfter * (1 + ++open.asked);
        Json wanted = Json::array({key.second});
        for (std::size_t i = 0; i < open.there.size() && wanted.size() <= kMostMissing; ++i)
            if (!open.there[i]) wanted.push_back(i);
        ++counts_.asked_again;
        put(key.first, ParcelKind::kMissing, ++serial_, 0, 1, words::pack(wanted));
    }
}

std::optional<Tenths> Parcels::next() const {
    std::optional<Tenths> first;
    for (const auto& [key, open] : open_) first = first ? std::min(*first, open.ask_at) : open.ask_at;
    return first;
}

} // namespace ivyrill::rota
