// CBOR (RFC 8949) serialization between ivyrill's own processes, on top of libcbor's streaming coder. A
// serializable struct lists its members in order in a static `tie`, which encoding and decoding both use.
// Structs are encoded as arrays of exactly these members: messages of another protocol version are rejected
// by the frame layer.
#pragma once
#include "base/ids.hpp"
#include "base/result.hpp"

#include <concepts>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace ivyrill::wire {

class Encoder {
  public:
    void unsigned_number(std::uint64_t value);
    void signed_number(std::int64_t value);
    void real(double value);
    void flag(bool value);
    void bytes(std::string_view value);
    void list(std::size_t size); // header of an array of `size` items
    const std::string& written() const { return out_; }
    std::string take() { return std::move(out_); }

  private:
    std::string out_;
};

// Reads item by item. After the first failure every read returns an empty value and `failed` stays set, so
// callers need to check only once at the end.
class Decoder {
  public:
    explicit Decoder(std::string_view bytes) : rest_(bytes) {}
    std::uint64_t unsigned_number();
    std::int64_t signed_number();
    double real();
    bool flag();
    std::string bytes();
    std::size_t list(); // the number of items that follow; never more than the bytes left
    void fail() { failed_ = true; }
    bool failed() const { return failed_; }
    bool at_end() const { return rest_.empty(); }

  private:
    struct Item;
    Item next();
    std::string_view rest_;
    bool failed_ = false;
};

template <class T>
concept Tied = requires(T& value) {
    T::tie(value);
};

// A serializable enum has consecutive values from 0 and an overload of `last_of` (found by ADL) that returns
// the last one. Enums are used as indexes, so larger numbers are rejected.
template <class T>
concept BoundedEnum = std::is_enum_v<T> && requires(T value) {
    { last_of(value) } -> std::same_as<T>;
};

template <class T> struct IsVector : std::false_type {};
template <class T> struct IsVector<std::vector<T>> : std::true_type {};
template <class T> struct IsOptional : std::false_type {};
template <class T> struct IsOptional<std::optional<T>> : std::true_type {};
template <class T> struct IsVariant : std::false_type {};
template <class... T> struct IsVariant<std::variant<T...>> : std::true_type {};
template <class T> struct IsId : std::false_type {};
template <class Tag, class Number> struct IsId<Id<Tag, Number>> : std::true_type {};

template <class T> void encode(Encoder& out, const T& value) {
    if constexpr (std::same_as<T, bool>) {
        out.flag(value);
    } else if constexpr (std::is_enum_v<T>) {
        out.unsigned_number(static_cast<std::uint64_t>(value));
    } else if constexpr (std::floating_point<T>) {
        out.real(value);
    } else if constexpr (std::unsigned_integral<T>) {
        out.unsigned_number(value);
    } else if constexpr (std::signed_integral<T>) {
        out.signed_number(value);
    } else if constexpr (std::same_as<T, std::string>) {
        out.bytes(value);
    } else if constexpr (IsId<T>::value) {
        encode(out, value.value);
    } else if constexpr (IsVector<T>::value) {
        out.list(value.size());
        for (const auto& item : value) encode(out, item);
    } else if constexpr (IsOptional<T>::value) {
        out.list(value ? 1 : 0);
        if (value) encode(out, *value);
    } else if constexpr (IsVariant<T>::value) {
        out.list(2);
        out.unsigned_number(value.index());
        std::visit([&](const auto& alternative) { encode(out, alternative); }, value);
    } else {
        static_assert(Tied<const T>, "a serializable type lists its members in tie()");
        const auto members = T::tie(value);
        out.list(std::tuple_size_v<decltype(members)>);
        std::apply([&](const auto&... member) { (encode(out, member), ...); }, members);
    }
}

template <class T> void decode(Decoder& in, T& value);

template <class Variant, std::size_t I = 0>
void decode_variant(Decoder& in, std::size_t index, Variant& value) {
    if constexpr (I == std::variant_size_v<Variant>) {
        in.fail();
    } else if (index == I) {
        decode(in, value.template emplace<I>());
    } else {
        decode_variant<Variant, I + 1>(in, index, value);
    }
}

template <class T> void decode(Decoder& in, T& value) {
    if constexpr (std::same_as<T, bool>) {
        value = in.flag();
    } else if constexpr (std::is_enum_v<T>) {
        static_assert(BoundedEnum<T>, "a serializable enum returns its last value from last_of()");
        const std::uint64_t number = in.unsigned_number();
        if (number > static_cast<std::uint64_t>(last_of(T{}))) return in.fail();
        value = static_cast<T>(number);
    } else if constexpr (std::floating_point<T>) {
        value = static_cast<T>(in.real());
    } else if constexpr (std::unsigned_integral<T>) {
        value = static_cast<T>(in.unsigned_number());
    } else if constexpr (std::signed_integral<T>) {
        value = static_cast<T>(in.signed_number());
    } else if constexpr (std::same_as<T, std::string>) {
        value = in.bytes();
    } else if constexpr (IsId<T>::value) {
        decode(in, value.value);
    } else if constexpr (IsVector<T>::value) {
        const std::size_t size = in.list();
        value.clear();
        for (std::size_t i = 0; i < size && !in.failed(); ++i) decode(in, value.emplace_back());
    } else if constexpr (IsOptional<T>::value) {
        const std::size_t size = in.list();
        if (size > 1) return in.fail();
        value.reset();
        if (size == 1) decode(in, value.emplace());
    } else if constexpr (IsVariant<T>::value) {
        if (in.list() != 2) return in.fail();
        decode_variant(in, static_cast<std::size_t>(in.unsigned_number()), value);
    } else {
        auto members = T::tie(value);
        if (in.list() != std::tuple_size_v<decltype(members)>) return in.fail();
        std::apply([&](auto&... member) { (decode(in, member), ...); }, members);
    }
}

template <class T> std::string to_bytes(const T& value) {
    Encoder out;
    encode(out, value);
    return out.take();
}

// Decodes `bytes` as exactly one T; an error if they are malformed, truncated or followed by more data.
template <class T> Result<T> from_bytes(std::string_view bytes) {
    Decoder in(bytes);
    T value{};
    decode(in, value);
    if (in.failed() || !in.at_end())
        return error(ErrorKind::kProtocol,
                     "malformed message from a peer: run the same version on every node");
    return value;
}

} // namespace ivyrill::wire
