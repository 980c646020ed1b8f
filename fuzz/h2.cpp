// Feeds arbitrary bytes to the HTTP/2 session in pieces, with answers in between. Memory must stay bounded,
// each search gets at most one answer, and nothing is written after the session has closed.
#include "sessions/http2/session.hpp"

#include <cstdint>
#include <cstdlib>
#include <set>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace ivyrill;
    using namespace ivyrill::sessions;
    if (size < 2) return 0;
    limits::ConnectionLimits limits;
    limits.max_streams = 8, limits.max_buffered_bytes = 64 * 1024, limits.max_body_bytes = 4096;
    NodeStatus node_status{true, 0};
    Http2Session session(node_status, limits);
    const std::size_t split = 1 + data[0] % 64;
    const bool preface = (data[1] & 1U) != 0;
    std::string bytes = preface ? "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" : "";
    bytes.append(reinterpret_cast<const char*>(data + 2), size - 2);
    std::set<StreamId> open, done;
    bool ended = false;
    for (std::size_t at = 0; at < bytes.size();) {
        const std::string_view chunk = std::string_view(bytes).substr(at, split);
        const std::size_t consumed = session.feed(chunk);
        if (consumed == 0 || consumed > chunk.size()) std::abort();
        at += consumed, ++node_status.now;
        for (const SessionEvent& event : session.take_events()) {
            if (const auto* requested = std::get_if<SearchRequested>(&event)) {
                if (!open.insert(requested->stream).second || done.contains(requested->stream)) std::abort();
            } else if (const auto* cancelled = std::get_if<SearchCancelled>(&event)) {
                if (open.erase(cancelled->stream) == 0) std::abort();
                done.insert(cancelled->stream);
            }
        }
        if (at % 3 == 0 && !open.empty()) { // the second answer must be ignored
            const StreamId stream = *open.begin();
            session.answer(stream, {protocol::Verdict::kRejected, false, {}, 0}, at % 5 == 0);
            session.answer(stream, {protocol::Verdict::kFailed, false, {}, 0}, false);
            open.erase(stream), done.insert(stream);
        }
        const std::string out = session.take_output(at % 7 == 0 ? 10 : 100'000);
        if (ended && !out.empty()) std::abort();
        ended = session.closed();
        if (session.open_streams() > limits.max_streams ||
            session.pending_answer_bytes() > limits.max_buffered_bytes + 8 * 1024)
            std::abort();
    }
    return 0;
}
