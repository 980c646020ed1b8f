// CBOR (RFC 8949) between ivyrill's own processes, on libcbor's streaming coder. A struct that travels names
// its members once, in order, by a static `tie`; from that both directions follow. Structs are arrays of
// exactly these members: a message of another protocol version is refused by the frame around it, not guessed
// at.
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
    void list(std::size_t size); // so many items follow
    const std::string& written() const { return out_; }
    std::string take() { return std::move(out_); }

  private:
    std::string out_;
};

// Reads item by item. After the first failure every read returns an empty value and `failed` stays set, so
// that callers check once at the end.
class Decoder {
  public:
    explicit Decoder(std::string_view bytes) : rest_(bytes) {}
    std::uint64_t unsigned_number();
    std::int64_t signed_number();
    double real();
    bool flag();
    std::string bytes();
    std::size_t list(); // the number of items that follow; never more than bytes are left
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

// An enum that travels tells by `last_of`, found beside it, the last of its values, which are counted from 0:
// code indexes by them, so that a number beyond is refused as spoilt.
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
        std::visit([&](const auto& held) { encode(out, held); }, value);
    } else {
        static_assert(Tied<const T>, "a type that travels names its members by tie()");
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
        static_assert(BoundedEnum<T>, "an enum that travels names its last value by last_of()");
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

// The whole of `bytes` as one T; an error where it is spoilt, cut short or followed by more.
template <class T> Result<T> from_bytes(std::string_view bytes) {
    Decoder in(bytes);
    T value{};
    decode(in, value);
    if (in.failed() || !in.at_end())
        return error(ErrorKind::kProtocol,
                     "a message of a peer can't be read: run the same version everywhere");
    return value;
}

} // namespace ivyrill::wire
