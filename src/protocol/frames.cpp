#include "protocol/frames.hpp"

#include "protocol/values.hpp"

#include <algorithm>
#include <utility>

namespace ivyrill::protocol {

namespace {

constexpr std::string_view kLetters = "SCHMRF";
constexpr double kMostReported = 1e6; // searches that one server may have at hand

std::string frame(char letter, std::string_view rest) {
    const std::size_t length = rest.size() + 1;
    std::string out;
    for (int shift = 24; shift >= 0; shift -= 8) out.push_back(static_cast<char>(length >> shift & 0xFF));
    out.push_back(letter);
    return out.append(rest);
}

} // namespace

std::size_t FrameParser::feed(std::string_view bytes) {
    std::size_t taken = 0;
    while (taken < bytes.size() && !complete() && !broken_) {
        if (header_ < 4) {
            frame_left_ = frame_left_ << 8 | static_cast<unsigned char>(bytes[taken++]);
            if (++header_ == 4) broken_ = frame_left_ == 0 || frame_left_ > kMaxFrameBytes;
            continue;
        }
        if (frame_.letter == 0) {
            frame_.letter = bytes[taken++], --frame_left_;
            broken_ = kLetters.find(frame_.letter) == std::string_view::npos;
            continue;
        }
        const std::size_t size = std::min(frame_left_, bytes.size() - taken);
        frame_.rest.append(bytes.substr(taken, size));
        taken += size, frame_left_ -= size;
        broken_ = frame_.letter == 'R' && frame_.rest.size() > kMaxLineBytes &&
                  frame_.rest.find('\n') > kMaxLineBytes; // npos, too: a line without an end
    }
    return taken;
}

Frame FrameParser::take() {
    Frame out = std::move(frame_);
    *this = FrameParser();
    return out;
}

std::string part_request_frame(const std::vector<PartRequest>& parts) {
    std::string rest;
    for (const PartRequest& part : parts) {
        rest.append(part.id).append(" ").append(std::to_string(part.shard));
        rest.append(" d=").append(std::to_string(part.wait_ms)).append(" ");
        rest.append(std::to_string(part.query.size())).append("\n").append(part.query);
    }
    return frame('S', rest);
}

std::string cancel_frame(std::string_view id) { return frame('C', id); }
std::string load_probe_frame() { return frame('M', ""); }

PartResponse read_part_response(std::string_view rest) {
    const std::size_t end = rest.find('\n');
    if (end == std::string_view::npos) throw ProtocolError("answer without a line: " + quoted(rest));
    const auto words = split(rest.substr(0, end), ' ');
    if (words.size() != 4) throw ProtocolError("answer of other than four words: " + quoted(rest));
    PartResponse answer;
    answer.id = words[0];
    if (words[1] == "done")
        answer.outcome = Outcome::kAnswered;
    else if (words[1] == "full")
        answer.outcome = Outcome::kRejected;
    else if (words[1] != "failed")
        throw ProtocolError("answer with an unknown end: " + quoted(words[1]));
    answer.report = read_load_report(words[3]);
    answer.value = rest.substr(end + 1);
    return answer;
}

std::string_view read_part_id(std::string_view rest) {
    rest = rest.substr(0, kMaxLineBytes);
    return rest.substr(0, rest.find_first_of(" \n"));
}

LoadResponse read_load_response(std::string_view rest) {
    if (rest.ends_with('\n')) rest.remove_suffix(1);
    if (rest == "failed") return {};
    return {true, read_load_report(rest)};
}

LoadReport read_load_report(std::string_view text) {
    LoadReport report;
    const auto count = [](std::string_view value) {
        const double number = to_number(value, "load report");
        if (number < 0 || number > kMostReported) throw ProtocolError("load report: out of range");
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
