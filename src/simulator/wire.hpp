// Parsing of the simulator's text protocol: messages, fields and values. Malformed input throws WireError
// with a message that names the place.
#pragma once
#include "protocol/front_node_config.hpp"
#include "protocol/values.hpp"
#include "search_scheduler.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace ivyrill::simulator {

using WireError = protocol::ProtocolError;

// A message is one line: its name, then name=value pairs in any order. Absent fields have documented
// defaults.
class Message {
  public:
    explicit Message(std::string_view text);
    std::string_view name() const { return name_; }
    bool has(std::string_view field) const;
    std::string_view text(std::string_view field) const; // required
    std::int64_t integer(std::string_view field) const { return protocol::to_integer(text(field), field); }
    std::int64_t integer(std::string_view field, std::int64_t default_value) const;
    std::int64_t integer_within(std::string_view field, std::int64_t min, std::int64_t max) const;
    double number(std::string_view field, double default_value) const;
    bool flag(std::string_view field) const;
    protocol::PathValues fields() const { return {fields_.begin(), fields_.end()}; }

  private:
    std::string_view name_;
    std::string_view
        malformed_word_; // a word without a value: an error unless the message is unknown and so never read
    std::map<std::string_view, std::string_view> fields_;
};

SchedulerConfig read_scheduler_config(const Message& opening);
LoadReport read_report(const Message& message);
Outcome read_outcome(std::string_view value);
ListedState read_listed(std::string_view value);
ServerListKind read_list_kind(std::string_view value);

} // namespace ivyrill::simulator
