// Strongly typed ids: each kind of id is a distinct type, so they cannot be mixed up.
#pragma once
#include <compare>
#include <cstdint>

namespace ivyrill {

template <class Tag, class Number> struct Id {
    Number value{};
    friend constexpr auto operator<=>(const Id&, const Id&) = default;
};

using SearchId = Id<struct SearchTag, std::uint32_t>;
using PartId = Id<struct PartTag, std::uint32_t>;
using JobNo = Id<struct JobTag, std::uint64_t>; // shared by the parts of one search
using ShardNo = Id<struct ShardTag, std::int32_t>;
using CellNo = Id<struct CellTag, std::int32_t>;
using ServerId = Id<struct ServerTag, std::uint32_t>;
using RequestClassNo = Id<struct RequestClassTag, std::int32_t>;
using TenantNo = Id<struct TenantTag, std::int32_t>;
using ZoneNo = Id<struct ZoneTag, std::int32_t>;
using KindNo = Id<struct KindTag, std::int32_t>;
using AttemptNo = Id<struct AttemptTag, std::uint32_t>; // attempt number of a part, from 0

} // namespace ivyrill
