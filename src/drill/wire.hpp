// The simulator's wire as text: lines, fields, and the values in them. Whatever is malformed is thrown as
// WireError with a message that names the place.
#pragma once
#include "protocol/terms.hpp"
#include "protocol/values.hpp"
#include "search_scheduler.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace ivyrill::drill {

using WireError = protocol::ProtocolError;

// One line: a message name, then name=value pairs in any order. A field that is absent has its stated
// meaning.
class Line {
  public:
    explicit Line(std::string_view text);
    std::string_view name() const { return name_; }
    bool has(std::string_view field) const;
    std::string_view text(std::string_view field) const; // must be there
    std::int64_t integer(std::string_view field) const { return protocol::to_integer(text(field), field); }
    std::int64_t integer(std::string_view field, std::int64_t absent) const;
    std::int64_t integer_within(std::string_view field, std::int64_t least, std::int64_t most) const;
    double number(std::string_view field, double absent) const;
    bool flag(std::string_view field) const;
    protocol::PathValues fields() const { return {fields_.begin(), fields_.end()}; }

  private:
    std::string_view name_;
    std::string_view stray_; // a word without a value: malformed, unless the message is none of ours
    std::map<std::string_view, std::string_view> fields_;
};

SchedulerConfig read_terms(const Line& opening);
LoadReport read_report(const Line& line);
Outcome read_outcome(std::string_view word);
ListedState read_listed(std::string_view word);
ListKind read_list_kind(std::string_view word);

} // namespace ivyrill::drill
