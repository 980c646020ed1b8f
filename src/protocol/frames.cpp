#include "protocol/frames.hpp"

#include "protocol/values.hpp"

#include <algorithm>
#include <utility>

namespace ivyrill::protocol {

namespace {

// S: parts of a search, C: cancellation, M: load probe and report, R: response to a part, F: rejected frame;
// H is valid, but the front node has no use for it.
constexpr std::string_view kFrameTypes = "SCHMRF";
constexpr double kMaxReportedSearches = 1e6; // searches in one server's load report

std::string frame(char type, std::string_view payload) {
    const std::size_t length = payload.size() + 1;
    std::string out;
    for (int shift = 24; shift >= 0; shift -= 8) out.push_back(static_cast<char>(length >> shift & 0xFF));
    out.push_back(type);
    return out.append(payload);
}

} // namespace

std::size_t FrameParser::feed(std::string_view bytes) {
    std::size_t consumed = 0;
    while (consumed < bytes.size() && !complete() && !broken_) {
        if (header_received_ < 4) {
            frame_remaining_ = frame_remaining_ << 8 | static_cast<unsigned char>(bytes[consumed++]);
            if (++header_received_ == 4) broken_ = frame_remaining_ == 0 || frame_remaining_ > kMaxFrameBytes;
            continue;
        }
        if (frame_.type == 0) {
            frame_.type = bytes[consumed++], --frame_remaining_;
            broken_ = kFrameTypes.find(frame_.type) == std::string_view::npos;
            continue;
        }
        const std::size_t size = std::min(frame_remaining_, bytes.size() - consumed);
        frame_.payload.append(bytes.substr(consumed, size));
        consumed += size, frame_remaining_ -= size;
        broken_ = frame_.type == 'R' && frame_.payload.size() > kMaxLineBytes &&
                  frame_.payload.find('\n') > kMaxLineBytes; // also true for npos: the line does not end
    }
    return consumed;
}

Frame FrameParser::take() {
    Frame out = std::move(frame_);
    *this = FrameParser();
    return out;
}

std::string part_request_frame(const std::vector<PartRequest>& parts) {
    std::string payload;
    for (const PartRequest& part : parts) {
        payload.append(part.id).append(" ").append(std::to_string(part.shard));
        payload.append(" d=").append(std::to_string(part.timeout_ms)).append(" ");
        payload.append(std::to_string(part.query.size())).append("\n").append(part.query);
    }
    return frame('S', payload);
}

std::string cancel_frame(std::string_view id) { return frame('C', id); }
std::string load_probe_frame() { return frame('M', ""); }

PartResponse read_part_response(std::string_view payload) {
    const std::size_t end = payload.find('\n');
    if (end == std::string_view::npos)
        throw ProtocolError("response without a first line: " + quoted(payload));
    const auto fields = split(payload.substr(0, end), ' ');
    if (fields.size() != 4)
        throw ProtocolError("response line does not have four fields: " + quoted(payload));
    PartResponse response;
    response.id = fields[0];
    if (fields[1] == "done")
        response.outcome = Outcome::kAnswered;
    else if (fields[1] == "full")
        response.outcome = Outcome::kRejected;
    else if (fields[1] != "failed")
        throw ProtocolError("response with an unknown outcome: " + quoted(fields[1]));
    response.report = read_load_report(fields[3]);
    response.value = payload.substr(end + 1);
    return response;
}

std::string_view read_part_id(std::string_view payload) {
    payload = payload.substr(0, kMaxLineBytes);
    return payload.substr(0, payload.find_first_of(" \n"));
}

LoadResponse read_load_response(std::string_view payload) {
    if (payload.ends_with('\n')) payload.remove_suffix(1);
    if (payload == "failed") return {};
    return {true, read_load_report(payload)};
}

LoadReport read_load_report(std::string_view text) {
    LoadReport report;
    const auto count = [](std::string_view value) {
        const double number = to_number(value, "load report");
        if (number < 0 || number > kMaxReportedSearches) throw ProtocolError("load report: out of range");
        return number;
    };
    try {
        for_each_pair(text, '=', [&](std::string_view name, std::string_view value) {
            if (name == "inflight" || name == "busy_reqs") report.in_flight = count(value);
            if (name == "queue" || name == "pending") report.queued = count(value);
        });
    } catch (const ProtocolError&) { return {}; }
    return report;
}

} // namespace ivyrill::protocol
