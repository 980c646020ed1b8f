#include "wire/cbor.hpp"

#include <array>
#include <cbor.h>

namespace ivyrill::wire {

namespace {

constexpr std::size_t kMaxHeadBytes = 9; // initial byte of an item and up to eight bytes of argument

template <class Write> void append_head(std::string& out, Write write) {
    std::array<unsigned char, kMaxHeadBytes> head{};
    const std::size_t size = write(head.data(), head.size());
    out.append(reinterpret_cast<const char*>(head.data()), size);
}

} // namespace

void Encoder::unsigned_number(std::uint64_t value) {
    append_head(out_, [&](unsigned char* to, std::size_t size) { return cbor_encode_uint(value, to, size); });
}

void Encoder::signed_number(std::int64_t value) {
    if (value >= 0) return unsigned_number(static_cast<std::uint64_t>(value));
    const auto below = static_cast<std::uint64_t>(-(value + 1));
    append_head(out_,
                [&](unsigned char* to, std::size_t size) { return cbor_encode_negint(below, to, size); });
}

void Encoder::real(double value) {
    append_head(out_,
                [&](unsigned char* to, std::size_t size) { return cbor_encode_double(value, to, size); });
}

void Encoder::flag(bool value) {
    append_head(out_, [&](unsigned char* to, std::size_t size) { return cbor_encode_bool(value, to, size); });
}

void Encoder::bytes(std::string_view value) {
    append_head(out_, [&](unsigned char* to, std::size_t size) {
        return cbor_encode_bytestring_start(value.size(), to, size);
    });
    out_.append(value);
}

void Encoder::list(std::size_t size) {
    append_head(out_,
                [&](unsigned char* to, std::size_t room) { return cbor_encode_array_start(size, to, room); });
}

struct Decoder::Item {
    enum class Kind : std::uint8_t { kNone, kUnsigned, kNegative, kReal, kFlag, kBytes, kList };
    Kind kind = Kind::kNone;
    std::uint64_t number = 0; // negative: -1 - number
    double real = 0;
    std::string_view bytes;
};

Decoder::Item Decoder::next() {
    using Kind = Item::Kind;
    static const cbor_callbacks callbacks = [] {
        cbor_callbacks table = cbor_empty_callbacks;
        table.uint8 = [](void* to, std::uint8_t n) { *static_cast<Item*>(to) = {Kind::kUnsigned, n, 0, {}}; };
        table.uint16 = [](void* to, std::uint16_t n) {
            *static_cast<Item*>(to) = {Kind::kUnsigned, n, 0, {}};
        };
        table.uint32 = [](void* to, std::uint32_t n) {
            *static_cast<Item*>(to) = {Kind::kUnsigned, n, 0, {}};
        };
        table.uint64 = [](void* to, std::uint64_t n) {
            *static_cast<Item*>(to) = {Kind::kUnsigned, n, 0, {}};
        };
        table.negint8 = [](void* to, std::uint8_t n) {
            *static_cast<Item*>(to) = {Kind::kNegative, n, 0, {}};
        };
        table.negint16 = [](void* to, std::uint16_t n) {
            *static_cast<Item*>(to) = {Kind::kNegative, n, 0, {}};
        };
        table.negint32 = [](void* to, std::uint32_t n) {
            *static_cast<Item*>(to) = {Kind::kNegative, n, 0, {}};
        };
        table.negint64 = [](void* to, std::uint64_t n) {
            *static_cast<Item*>(to) = {Kind::kNegative, n, 0, {}};
        };
        table.float8 = [](void* to, double n) { *static_cast<Item*>(to) = {Kind::kReal, 0, n, {}}; };
        table.boolean = [](void* to, bool n) { *static_cast<Item*>(to) = {Kind::kFlag, n ? 1U : 0U, 0, {}}; };
        table.byte_string = [](void* to, cbor_data data, std::size_t size) {
            *static_cast<Item*>(to) = {Kind::kBytes, 0, 0, {reinterpret_cast<const char*>(data), size}};
        };
        table.array_start = [](void* to, std::size_t size) {
            *static_cast<Item*>(to) = {Kind::kList, size, 0, {}};
        };
        return table;
    }();
    Item item;
    if (failed_) return item;
    const cbor_decoder_result result =
        cbor_stream_decode(reinterpret_cast<cbor_data>(rest_.data()), rest_.size(), &callbacks, &item);
    if (result.status != CBOR_DECODER_FINISHED || item.kind == Kind::kNone) {
        failed_ = true;
        return {};
    }
    rest_.remove_prefix(result.read);
    return item;
}

std::uint64_t Decoder::unsigned_number() {
    const Item item = next();
    if (item.kind != Item::Kind::kUnsigned) fail();
    return failed_ ? 0 : item.number;
}

std::int64_t Decoder::signed_number() {
    const Item item = next();
    if (item.kind != Item::Kind::kUnsigned && item.kind != Item::Kind::kNegative) fail();
    if (item.number > static_cast<std::uint64_t>(INT64_MAX)) fail();
    if (failed_) return 0;
    const auto number = static_cast<std::int64_t>(item.number);
    return item.kind == Item::Kind::kNegative ? -1 - number : number;
}

double Decoder::real() {
    const Item item = next();
    if (item.kind != Item::Kind::kReal) fail();
    return failed_ ? 0 : item.real;
}

bool Decoder::flag() {
    const Item item = next();
    if (item.kind != Item::Kind::kFlag) fail();
    return !failed_ && item.number == 1;
}

std::string Decoder::bytes() {
    const Item item = next();
    if (item.kind != Item::Kind::kBytes) fail();
    return failed_ ? std::string() : std::string(item.bytes);
}

std::size_t Decoder::list() {
    const Item item = next();
    if (item.kind != Item::Kind::kList || item.number > rest_.size()) fail();
    return failed_ ? 0 : static_cast<std::size_t>(item.number);
}

} // namespace ivyrill::wire
