// JSON, read into a tree of bounded depth and written by hand. Numbers keep their text, so that nothing of
// their precision is lost before someone asks for it.
#pragma once
#include "protocol/front_node_config.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ivyrill::protocol {

struct Json {
    struct Member;
    enum class Sort { kNull, kBool, kNumber, kText, kList, kObject };
    Sort sort = Sort::kNull;
    std::string text; // of a number or a text; true or false
    std::vector<Json> items;
    std::vector<Member> members; // in their order

    const Json* find(std::string_view name) const;           // null where absent
    const Json& at(std::string_view name) const;             // must be there
    const std::string& as_text(std::string_view what) const; // must be a text
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

// An object's plain values by their paths, in the form of the simulator's first message.
PathValues flatten(const Json& object);

} // namespace ivyrill::protocol
