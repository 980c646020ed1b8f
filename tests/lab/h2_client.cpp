#include "lab/h2_client.hpp"

#include "lab/front_node_fixture.hpp"

#include <nghttp2/nghttp2.h>

#include <cstring>
#include <stdexcept>

namespace ivyrill::lab {

struct H2Client::Wire {
    static H2Client& self(void* user) { return *static_cast<H2Client*>(user); }
    static int header(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
                      std::size_t name_size, const std::uint8_t* value, std::size_t value_size, std::uint8_t,
                      void* user) {
        H2Answer& answer = self(user).answers_[frame->hd.stream_id];
        const std::string key(reinterpret_cast<const char*>(name), name_size);
        const std::string text(reinterpret_cast<const char*>(value), value_size);
        if (key == ":status") answer.status = std::stoi(text), ++answer.answers;
        answer.fields[key] = text;
        return 0;
    }
    static int data(nghttp2_session* session, std::uint8_t, std::int32_t stream, const std::uint8_t* bytes,
                    std::size_t size, void* user) {
        self(user).answers_[stream].body.append(reinterpret_cast<const char*>(bytes), size);
        if (self(user).plan_.open_windows) nghttp2_session_consume(session, stream, size);
        return 0;
    }
    static int frame(nghttp2_session*, const nghttp2_frame* frame, void* user) {
        H2Client& client = self(user);
        if (frame->hd.type == NGHTTP2_PING && (frame->hd.flags & NGHTTP2_FLAG_ACK) != 0)
            ++client.ping_replies_;
        if ((frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS) &&
            (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0)
            client.answers_[frame->hd.stream_id].ended = true;
        return 0;
    }
    static int closed(nghttp2_session*, std::int32_t stream, std::uint32_t code, void* user) {
        self(user).answers_[stream].closed = true, self(user).answers_[stream].error = code;
        self(user).open.erase(stream);
        return 0;
    }
    static ssize_t read(nghttp2_session*, std::int32_t, std::uint8_t* into, std::size_t most,
                        std::uint32_t* flags, nghttp2_data_source* source, void*) {
        auto& text = *static_cast<std::string*>(source->ptr);
        const std::size_t count = std::min(most, text.size());
        std::memcpy(into, text.data(), count);
        text.erase(0, count);
        if (text.empty()) *flags |= NGHTTP2_DATA_FLAG_EOF;
        return static_cast<ssize_t>(count);
    }
};

H2Client::H2Client(const std::string& address, Plan plan) : connection_(address), plan_(plan) { start(); }
H2Client::H2Client(Client connection, Plan plan) : connection_(std::move(connection)), plan_(plan) {
    start();
}
H2Client::~H2Client() { nghttp2_session_del(session_); }

void H2Client::start() {
    nghttp2_session_callbacks* calls = nullptr;
    nghttp2_option* option = nullptr;
    nghttp2_session_callbacks_new(&calls), nghttp2_option_new(&option);
    nghttp2_session_callbacks_set_on_header_callback(calls, Wire::header);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(calls, Wire::data);
    nghttp2_session_callbacks_set_on_frame_recv_callback(calls, Wire::frame);
    nghttp2_session_callbacks_set_on_stream_close_callback(calls, Wire::closed);
    nghttp2_option_set_no_auto_window_update(option, 1);
    nghttp2_option_set_no_auto_ping_ack(option, 1);
    nghttp2_session_client_new2(&session_, calls, this, option);
    nghttp2_session_callbacks_del(calls), nghttp2_option_del(option);
    const nghttp2_settings_entry entry{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, plan_.first_window};
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, &entry, 1);
    flush();
}

std::int32_t H2Client::request(const Fields& fields, const std::string& body, bool end) {
    std::vector<nghttp2_nv> pairs;
    for (const auto& [name, value] : fields)
        pairs.push_back({reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data())),
                         reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data())), name.size(),
                         value.size(), NGHTTP2_NV_FLAG_NONE});
    std::int32_t stream = 0;
    if (!end) { // the body is never sent
        stream = nghttp2_submit_headers(session_, NGHTTP2_FLAG_NONE, -1, nullptr, pairs.data(), pairs.size(),
                                        nullptr);
    } else {
        const std::int32_t next = static_cast<std::int32_t>(nghttp2_session_get_next_stream_id(session_));
        nghttp2_data_provider provider{};
        provider.source.ptr = &(bodies_[next] = body);
        provider.read_callback = Wire::read;
        stream = nghttp2_submit_request(session_, nullptr, pairs.data(), pairs.size(),
                                        body.empty() ? nullptr : &provider, nullptr);
    }
    if (stream < 0) throw std::runtime_error("cannot open another stream");
    open.insert(stream), answers_[stream];
    flush();
    return stream;
}

void H2Client::reset(std::int32_t stream, std::uint32_t code) {
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream, code);
    flush();
}

void H2Client::open_window(std::int32_t stream, std::int32_t by) {
    std::string payload;
    for (int shift = 24; shift >= 0; shift -= 8)
        payload += static_cast<char>(static_cast<std::uint32_t>(by) >> shift & 0xFFU);
    raw(raw_frame(NGHTTP2_WINDOW_UPDATE, 0, static_cast<std::uint32_t>(stream), payload));
}

void H2Client::set_window(std::uint32_t first) {
    const nghttp2_settings_entry entry{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, first};
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, &entry, 1);
    flush();
}

void H2Client::ping() {
    nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
    flush();
}

void H2Client::raw(std::string_view bytes) {
    flush();
    connection_.send_bytes(bytes);
}

void H2Client::flush() {
    const std::uint8_t* bytes = nullptr;
    for (ssize_t count; (count = nghttp2_session_mem_send(session_, &bytes)) > 0;)
        connection_.send_bytes({reinterpret_cast<const char*>(bytes), static_cast<std::size_t>(count)});
}

// libnghttp2 stops reading after GOAWAY when no stream is open and then answers no PING, so both frames are
// handled here.
void H2Client::track_shutdown_frames(std::string_view bytes) {
    partial_frame_.append(bytes);
    const auto number = [this](std::size_t at, std::size_t size) {
        std::uint32_t value = 0;
        for (std::size_t i = at; i < at + size; ++i)
            value = value << 8 | static_cast<std::uint8_t>(partial_frame_[i]);
        return value;
    };
    while (partial_frame_.size() >= 9 && partial_frame_.size() >= 9 + number(0, 3)) {
        const bool is_reply = (partial_frame_[4] & NGHTTP2_FLAG_ACK) != 0;
        if (partial_frame_[3] == NGHTTP2_GOAWAY) {
            shutdown_frames += 'G', ++goaways;
            goaway_last = static_cast<std::int32_t>(number(9, 4)), goaway_code = number(13, 4);
        } else if (partial_frame_[3] == NGHTTP2_PING && !is_reply) {
            shutdown_frames += 'P', held_ping_reply_ = partial_frame_.substr(9, 8);
        }
        partial_frame_.erase(0, 9 + number(0, 3));
    }
    if (!hold_ping_replies) send_held_ping_reply();
}

void H2Client::send_held_ping_reply() {
    hold_ping_replies = false;
    if (held_ping_reply_)
        connection_.send_bytes(raw_frame(NGHTTP2_PING, NGHTTP2_FLAG_ACK, 0, *held_ping_reply_));
    held_ping_reply_.reset();
}

bool H2Client::step() {
    const std::string bytes = connection_.receive_bytes();
    if (bytes.empty()) return ended = true, false;
    if (nghttp2_session_mem_recv(session_, reinterpret_cast<const std::uint8_t*>(bytes.data()),
                                 bytes.size()) < 0)
        throw std::runtime_error("received bytes are not valid HTTP/2");
    flush();
    track_shutdown_frames(bytes);
    return true;
}

const H2Answer& H2Client::await(std::int32_t stream) {
    while (!answers_[stream].closed && step()) {}
    return answers_[stream];
}

void H2Client::await_end() {
    try {
        while (step()) {}
    } catch (const std::runtime_error&) {
        ended = true;
    } // the server reset the connection before reading everything
}

void H2Client::round_trip() {
    const int wanted = ping_replies_ + 1;
    ping();
    while (ping_replies_ < wanted && step()) {}
}

std::string raw_frame(std::uint8_t type, std::uint8_t flags, std::uint32_t stream, std::string_view payload) {
    std::string out;
    for (int shift = 16; shift >= 0; shift -= 8) out += static_cast<char>(payload.size() >> shift & 0xFFU);
    out += static_cast<char>(type), out += static_cast<char>(flags);
    for (int shift = 24; shift >= 0; shift -= 8) out += static_cast<char>(stream >> shift & 0xFFU);
    return out.append(payload);
}

std::string search_body(const SearchRequest& request) {
    return R"({"targets":[{"partition":)" + std::to_string(request.shard) + R"(,"share":1}],"query":")" +
           request.query + R"("})";
}

H2Client::Fields search_fields(const SearchRequest& request) {
    H2Client::Fields fields = {
        {":method", "POST"},
        {":scheme", "http"},
        {":path", "/" + request.request_class + (request.key.empty() ? "" : "?k=" + request.key)},
        {":authority", "a"},
        {"x-request-id", request.id},
        {"x-timeout", std::to_string(request.left_ms) + "m"}};
    if (!request.token.empty()) fields.emplace_back("authorization", "Bearer " + request.token);
    if (!request.tenant.empty()) fields.emplace_back("x-tenant-id", request.tenant);
    return fields;
}

} // namespace ivyrill::lab
