#include "http/event_stream.hpp"

#include <utility>

namespace ivyrill::http {

namespace {

constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF"; // allowed before the first line
constexpr std::string_view kIdField = "id";

} // namespace

Result<void> EventStreamSplitter::feed(std::string_view bytes) {
    while (!bytes.empty() && !too_long_) {
        const std::size_t end = bytes.find('\n');
        const std::size_t size = end == std::string_view::npos ? bytes.size() : end + 1;
        if (event_.size() + size > max_event_bytes_) {
            too_long_ = true;
            break;
        }
        event_.append(bytes.substr(0, size));
        bytes.remove_prefix(size);
        if (end != std::string_view::npos) finish_line();
    }
    if (!too_long_) return boost::outcome_v2::success();
    return error(ErrorKind::kProtocol, "an event is longer than " + std::to_string(max_event_bytes_) +
                                           " bytes; abort the answer or raise the limit");
}

void EventStreamSplitter::finish_line() {
    std::string_view line(event_);
    line.remove_prefix(line_begin_);
    line.remove_suffix(1);
    if (line.ends_with('\r')) line.remove_suffix(1);
    if (std::exchange(at_start_, false) && line.starts_with(kByteOrderMark))
        line.remove_prefix(kByteOrderMark.size());
    if (line.empty()) return finish_event();
    read_field(line);
    line_begin_ = event_.size();
}

void EventStreamSplitter::read_field(std::string_view line) {
    const std::size_t colon = line.find(':');
    if (line.substr(0, colon) != kIdField) return;
    std::string_view value = colon == std::string_view::npos ? std::string_view{} : line.substr(colon + 1);
    if (value.starts_with(' ')) value.remove_prefix(1);
    if (value.find('\0') != std::string_view::npos) return; // the standard ignores such an id
    id_ = value;
    id_seen_ = true;
}

void EventStreamSplitter::finish_event() {
    const bool blank = line_begin_ == 0;
    complete_ += event_;
    event_.clear();
    line_begin_ = 0;
    if (std::exchange(id_seen_, false)) last_id_ = std::move(id_);
    if (!blank) ++events_;
}

std::string EventStreamSplitter::take_complete() { return std::exchange(complete_, {}); }

} // namespace ivyrill::http
