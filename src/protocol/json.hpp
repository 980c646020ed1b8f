// JSON parser that builds a tree of bounded depth, and JSON string writing. Numbers keep their source text,
// so that no precision is lost before a caller asks for a numeric type.
#pragma once
#include "protocol/front_node_config.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ivyrill::protocol {

struct Json {
    struct Member;
    enum class Type { kNull, kBool, kNumber, kText, kList, kObject };
    Type type = Type::kNull;
    std::string text; // of a number, string or boolean
    std::vector<Json> items;
    std::vector<Member> members; // in document order

    const Json* find(std::string_view name) const;           // null where absent
    const Json& at(std::string_view name) const;             // throws ProtocolError where absent
    const std::string& as_text(std::string_view what) const; // throws ProtocolError for another type
    std::int64_t as_integer(std::string_view what) const;
    double as_number(std::string_view what) const;
    bool as_bool(std::string_view what) const;
    const std::vector<Json>& as_list(std::string_view what) const;
};

struct Json::Member {
    std::string name;
    Json value;
};

Json read_json(std::string_view text); // throws ProtocolError
void write_json_text(std::string& out, std::string_view text);

// The scalar values of an object by their dotted paths, in the form of the simulator's first message.
PathValues flatten(const Json& object);

} // namespace ivyrill::protocol
