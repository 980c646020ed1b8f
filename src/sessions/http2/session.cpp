#include "sessions/http2/session.hpp"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstring>
#include <new>

namespace ivyrill::sessions {

using limits::ClientAction;

namespace {

constexpr std::size_t kFieldOverheadBytes = 32; // per-field overhead (RFC 9113, 6.5.2)
// PING payload sent after the shutdown notice: its acknowledgement proves that the client has received the
// notice.
constexpr std::array<std::uint8_t, 8> kDrainPing = {'i', 'v', 'y', 'l', 'e', 'a', 'v', 'e'};

std::string lower(std::string text) {
    std::ranges::transform(text, text.begin(), [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    });
    return text;
}

} // namespace

// libnghttp2's callbacks. They return error codes and never throw.
struct Http2Session::Callbacks {
    static Http2Session& session(void* user) { return *static_cast<Http2Session*>(user); }

    // A new frame ends any header block. For a refused stream the library does not report the end of the
    // block.
    static int begin_frame(nghttp2_session*, const nghttp2_frame_hd* head, void* user) {
        if (head->type != NGHTTP2_CONTINUATION)
            session(user).in_block_ = false, session(user).block_bytes_ = 0;
        return 0;
    }

    static int begin_headers(nghttp2_session*, const nghttp2_frame* frame, void* user) {
        Http2Session& self = session(user);
        self.in_block_ = (frame->hd.flags & NGHTTP2_FLAG_END_HEADERS) == 0;
        if (frame->hd.type != NGHTTP2_HEADERS || frame->headers.cat != NGHTTP2_HCAT_REQUEST) return 0;
        ++self.counts_.streams;
        if (!self.budget_.allows_stream(self.streams_.size(), self.buffered_bytes_)) {
            ++self.counts_.refused;
            // Not processed, so the client may retry it (RFC 9113, 8.7).
            nghttp2_submit_rst_stream(self.session_, NGHTTP2_FLAG_NONE, frame->hd.stream_id,
                                      NGHTTP2_REFUSED_STREAM);
            return 0;
        }
        self.streams_.emplace(static_cast<StreamId>(frame->hd.stream_id), Stream{}), ++self.receiving_;
        return 0;
    }

    static int header(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
                      std::size_t name_size, const std::uint8_t* value, std::size_t value_size, std::uint8_t,
                      void* user) {
        Http2Session& self = session(user);
        const auto found = self.streams_.find(static_cast<StreamId>(frame->hd.stream_id));
        if (found == self.streams_.end() || frame->headers.cat != NGHTTP2_HCAT_REQUEST)
            return 0; // trailers are ignored
        Stream& stream = found->second;
        stream.header_list_bytes += name_size + value_size + kFieldOverheadBytes;
        if (stream.header_list_bytes > self.budget_.limits().max_header_list_bytes)
            return stream.too_large = true, 0;
        std::string key(reinterpret_cast<const char*>(name), name_size);
        std::string text(reinterpret_cast<const char*>(value), value_size);
        if (key == ":method")
            stream.message.method = std::move(text);
        else if (key == ":path")
            stream.message.target = std::move(text);
        else if (key == ":authority")
            stream.authority = std::move(text);
        else if (!key.starts_with(':'))
            stream.message.headers.emplace_back(std::move(key), std::move(text));
        return 0;
    }

    static int data(nghttp2_session*, std::uint8_t, std::int32_t id, const std::uint8_t* bytes,
                    std::size_t size, void* user) {
        Http2Session& self = session(user);
        const auto found = self.streams_.find(static_cast<StreamId>(id));
        if (found == self.streams_.end() || found->second.phase != Phase::kReceiving) return 0;
        Stream& stream = found->second;
        if (!self.budget_.allows_body(stream.message.body.size() + size, self.buffered_bytes_ + size)) {
            stream.too_large = true;
            return 0;
        }
        stream.message.body.append(reinterpret_cast<const char*>(bytes), size);
        self.buffered_bytes_ += size;
        return 0;
    }

    static int frame_received(nghttp2_session*, const nghttp2_frame* frame, void* user) {
        Http2Session& self = session(user);
        const auto number = static_cast<StreamId>(frame->hd.stream_id);
        const bool ends = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
        switch (frame->hd.type) {
        case NGHTTP2_SETTINGS:
            if ((frame->hd.flags & NGHTTP2_FLAG_ACK) == 0) self.spend(ClientAction::kSettings);
            break;
        case NGHTTP2_PING:
            if ((frame->hd.flags & NGHTTP2_FLAG_ACK) == 0) {
                self.spend(ClientAction::kPing);
            } else if (self.drain_state_ == DrainState::kAnnounced &&
                       std::memcmp(frame->ping.opaque_data, kDrainPing.data(), kDrainPing.size()) == 0) {
                // After this round trip, no stream opened before the client received the notice is still in
                // transit.
                self.drain_state_ = DrainState::kFinal;
                nghttp2_submit_goaway(self.session_, NGHTTP2_FLAG_NONE,
                                      nghttp2_session_get_last_proc_stream_id(self.session_),
                                      NGHTTP2_NO_ERROR, nullptr, 0);
            }
            break;
        case NGHTTP2_PRIORITY: // RFC 9113, 5.3: deprecated, ignored
            self.spend(ClientAction::kEmpty);
            break;
        case NGHTTP2_WINDOW_UPDATE:
            self.spend(ClientAction::kWindow);
            break;
        case NGHTTP2_RST_STREAM:
            self.spend(ClientAction::kReset);
            break;
        case NGHTTP2_DATA:
            if (frame->hd.length == 0 && !ends) self.spend(ClientAction::kEmpty);
            break;
        default:
            break;
        }
        if (ends && (frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS))
            if (const auto found = self.streams_.find(number);
                found != self.streams_.end() && found->second.phase == Phase::kReceiving)
                self.request_done(number, found->second);
        return 0;
    }

    // A frame on a refused or closed stream may have crossed our reset, and is not an error by itself.
    static int invalid_frame(nghttp2_session*, const nghttp2_frame* frame, int, void* user) {
        Http2Session& self = session(user);
        const bool stream_closed =
            frame->hd.stream_id > 0 && !self.streams_.contains(static_cast<StreamId>(frame->hd.stream_id));
        self.spend(stream_closed ? ClientAction::kAfterEnd : ClientAction::kBad);
        return 0;
    }

    // libnghttp2 sends a PING ahead of queued frames, including the notice; acknowledged before the notice,
    // it would prove nothing.
    static int frame_sent(nghttp2_session*, const nghttp2_frame* frame, void* user) {
        Http2Session& self = session(user);
        if (frame->hd.type == NGHTTP2_GOAWAY && self.drain_state_ == DrainState::kAnnounced)
            nghttp2_submit_ping(self.session_, NGHTTP2_FLAG_NONE, kDrainPing.data());
        return 0;
    }

    static int stream_closed(nghttp2_session*, std::int32_t id, std::uint32_t, void* user) {
        session(user).close_stream(static_cast<StreamId>(id));
        return 0;
    }

    static ssize_t read_body(nghttp2_session*, std::int32_t id, std::uint8_t* into, std::size_t max_bytes,
                             std::uint32_t* flags, nghttp2_data_source*, void* user) {
        Http2Session& self = session(user);
        const auto found = self.streams_.find(static_cast<StreamId>(id));
        if (found == self.streams_.end()) return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        Stream& stream = found->second;
        const std::size_t count = std::min(max_bytes, stream.body.size() - stream.sent);
        std::memcpy(into, stream.body.data() + stream.sent, count);
        stream.sent += count;
        if (stream.sent == stream.body.size()) *flags |= NGHTTP2_DATA_FLAG_EOF;
        return static_cast<ssize_t>(count);
    }
};

Http2Session::Http2Session(const NodeStatus& node_status, const limits::ConnectionLimits& limits)
    : node_status_(node_status), budget_(limits, node_status.now) {
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_option* option = nullptr;
    if (nghttp2_session_callbacks_new(&callbacks) != 0 || nghttp2_option_new(&option) != 0)
        throw std::bad_alloc();
    nghttp2_session_callbacks_set_on_begin_frame_callback(callbacks, Callbacks::begin_frame);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, Callbacks::begin_headers);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, Callbacks::header);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, Callbacks::data);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, Callbacks::frame_received);
    nghttp2_session_callbacks_set_on_invalid_frame_recv_callback(callbacks, Callbacks::invalid_frame);
    nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, Callbacks::frame_sent);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, Callbacks::stream_closed);
    nghttp2_option_set_no_closed_streams(option, 1);
    nghttp2_option_set_max_outbound_ack(option, limits.max_streams);
    const int created = nghttp2_session_server_new2(&session_, callbacks, this, option);
    nghttp2_session_callbacks_del(callbacks);
    nghttp2_option_del(option);
    if (created != 0) throw std::bad_alloc();
    const std::array<nghttp2_settings_entry, 3> settings = {{
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, static_cast<std::uint32_t>(limits.max_streams)},
        {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, static_cast<std::uint32_t>(limits.max_header_list_bytes)},
        {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
    }};
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
}

Http2Session::~Http2Session() {
    for (const auto& [number, stream] : streams_) counts_.unread_answers += stream.phase == Phase::kAnswered;
    nghttp2_session_del(session_);
}

bool Http2Session::finished() const {
    return nghttp2_session_want_read(session_) == 0 && nghttp2_session_want_write(session_) == 0;
}

std::size_t Http2Session::feed(std::string_view bytes) {
    if (!wants_input()) return bytes.size();
    bytes = bytes.substr(0, budget_.limits().read_quantum_bytes);
    const ssize_t consumed =
        nghttp2_session_mem_recv(session_, reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
    if (consumed < 0) {
        // Unparseable input, or a flood detected by the library: sends GOAWAY and closes.
        const bool flood = consumed == NGHTTP2_ERR_FLOODED || consumed == NGHTTP2_ERR_TOO_MANY_CONTINUATIONS;
        nghttp2_session_terminate_session(session_,
                                          flood ? NGHTTP2_ENHANCE_YOUR_CALM : NGHTTP2_PROTOCOL_ERROR);
        counts_.flood_terminations += flood && !flood_terminated_;
        out_ = take_output(budget_.limits().read_quantum_bytes);
        failed_ = true;
        return bytes.size();
    }
    // An endless sequence of CONTINUATION frames costs memory and work without an event, and blocks all other
    // frames.
    if (in_block_) block_bytes_ += bytes.size();
    if (in_block_ &&
        block_bytes_ > 2 * budget_.limits().max_header_list_bytes + budget_.limits().read_quantum_bytes)
        terminate_for_flood(ClientAction::kBad);
    return static_cast<std::size_t>(consumed);
}

void Http2Session::spend(ClientAction action) {
    if (!budget_.spend(action, node_status_.now)) terminate_for_flood(action);
}

void Http2Session::terminate_for_flood(ClientAction) {
    if (std::exchange(flood_terminated_, true)) return;
    ++counts_.flood_terminations;
    nghttp2_session_terminate_session(session_, NGHTTP2_ENHANCE_YOUR_CALM);
    std::vector<StreamId> open;
    for (const auto& [number, stream] : streams_) open.push_back(number);
    for (const StreamId number : open)
        close_stream(number); // their searches are cancelled with the connection
}

void Http2Session::close_stream(StreamId number) {
    const auto found = streams_.find(number);
    if (found == streams_.end()) return;
    Stream& stream = found->second;
    if (stream.phase == Phase::kReceiving) --receiving_;
    if (stream.phase == Phase::kSearching) events_.emplace_back(SearchCancelled{number}), ++counts_.cancelled;
    if (stream.phase == Phase::kAnswered && stream.sent < stream.body.size()) ++counts_.unread_answers;
    buffered_bytes_ -= stream.message.body.size() + stream.body.size();
    streams_.erase(found);
}

// Requests are parsed as on HTTP/1.1, from the same message type; libnghttp2 has already checked
// pseudo-header fields, forbidden fields and lengths.
void Http2Session::request_done(StreamId number, Stream& stream) {
    protocol::HttpMessage message = std::move(stream.message);
    buffered_bytes_ -= message.body.size();
    stream.message = {};
    stream.phase = Phase::kSearching, --receiving_;
    const auto reject_request = [&](int status, std::string_view reason) {
        spend(ClientAction::kBad);
        if (streams_.contains(number)) reply(number, protocol::error_reply(status, reason));
        events_.emplace_back(AnsweredLocally{});
    };
    if (stream.too_large)
        return reject_request(stream.header_list_bytes > budget_.limits().max_header_list_bytes ? 431 : 413,
                              "too large");
    const std::string_view host = message.header("host");
    if (!host.empty() && !stream.authority.empty() && lower(std::string(host)) != lower(stream.authority))
        return reject_request(400, "host and :authority differ");
    if (host.empty() && !stream.authority.empty()) message.headers.emplace_back("host", stream.authority);
    protocol::ClientRequest request = protocol::read_client_request(message);
    if (auto* search = std::get_if<protocol::SearchRequest>(&request)) {
        ++counts_.searches;
        events_.emplace_back(SearchRequested{number, std::move(*search)});
    } else if (const auto* bad = std::get_if<protocol::BadRequest>(&request)) {
        reject_request(bad->status, bad->why);
    } else {
        reply(number, protocol::ready_reply(node_status_.ready));
        events_.emplace_back(AnsweredLocally{});
    }
}

void Http2Session::reply(StreamId number, const protocol::Reply& reply) {
    const auto found = streams_.find(number);
    if (found == streams_.end() || found->second.phase == Phase::kAnswered) return;
    Stream& stream = found->second;
    if (stream.phase == Phase::kReceiving)
        --receiving_, buffered_bytes_ -= stream.message.body.size(), stream.message = {};
    stream.phase = Phase::kAnswered, stream.body = reply.body;
    buffered_bytes_ += stream.body.size();
    std::vector<std::pair<std::string, std::string>> fields = {{":status", std::to_string(reply.status)}};
    for (const auto& [name, value] : reply.fields) fields.emplace_back(lower(name), value);
    fields.emplace_back("content-length", std::to_string(reply.body.size()));
    std::vector<nghttp2_nv> pairs;
    for (auto& [name, value] : fields)
        pairs.push_back({reinterpret_cast<std::uint8_t*>(name.data()),
                         reinterpret_cast<std::uint8_t*>(value.data()), name.size(), value.size(),
                         NGHTTP2_NV_FLAG_NONE});
    nghttp2_data_provider body{};
    body.read_callback = Callbacks::read_body;
    nghttp2_submit_response(session_, static_cast<std::int32_t>(number), pairs.data(), pairs.size(), &body);
}

// `last` means that the reducer drains: the client is notified for the whole connection, and the other
// streams continue.
void Http2Session::answer(StreamId stream, const protocol::FinalAnswer& answer, bool last) {
    reply(stream, protocol::reply_to_search(answer));
    if (last) drain();
}

void Http2Session::reject(StreamId stream, int status, std::string_view reason, std::string_view challenge,
                          bool last) {
    if (stream == 0) { // about the connection: its incomplete requests have timed out
        std::vector<StreamId> timed_out;
        for (const auto& [number, open_stream] : streams_)
            if (open_stream.phase == Phase::kReceiving) timed_out.push_back(number);
        for (const StreamId number : timed_out) reply(number, protocol::error_reply(status, reason));
    } else {
        reply(stream, protocol::error_reply(status, reason, challenge));
    }
    if (last) drain();
}

// Two steps, so that no stream in transit is lost: the notice allows all streams, and after a round trip the
// final GOAWAY excludes those not yet seen (RFC 9113, 6.8).
void Http2Session::drain() {
    if (drain_state_ != DrainState::kNo || failed_) return;
    drain_state_ = DrainState::kAnnounced;
    nghttp2_submit_shutdown_notice(session_);
}

std::string Http2Session::take_output(std::size_t room) {
    std::string output = std::exchange(out_, {});
    while (output.size() < room) {
        const std::uint8_t* bytes = nullptr;
        const ssize_t count = nghttp2_session_mem_send(session_, &bytes);
        if (count <= 0) break;
        output.append(reinterpret_cast<const char*>(bytes), static_cast<std::size_t>(count));
    }
    if (output.size() > room)
        out_ = output.substr(room), output.resize(room); // part of a frame that did not fit
    return output;
}

} // namespace ivyrill::sessions
