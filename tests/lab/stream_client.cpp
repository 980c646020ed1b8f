#include "lab/stream_client.hpp"

#include <algorithm>
#include <stdexcept>

namespace ivyrill::lab {

using transport::Stream;

namespace {

constexpr std::size_t kMostRead = 256 * 1024, kMostWritten = 8 * 1024 * 1024; // size of the rings, in bytes
constexpr std::string_view kEventEnd = "\n\n";

// Moves a bounded number of a stream's bytes into a string.
struct Taker {
    std::size_t most;
    std::string taken;
    std::size_t feed(std::string_view bytes) {
        const std::size_t size = std::min(most - taken.size(), bytes.size());
        taken.append(bytes.substr(0, size));
        return size;
    }
};

std::string id_of(std::string_view event) {
    constexpr std::string_view kField = "id: ";
    std::size_t begin = event.starts_with(kField) ? 0 : event.find("\nid: ");
    if (begin == std::string_view::npos) return {};
    begin = event.find(kField, begin) + kField.size();
    return std::string(event.substr(begin, event.find('\n', begin) - begin));
}

} // namespace

std::string request_bytes(const ClientRequest& request) {
    std::string out = request.method + " " + request.target + " HTTP/1.1\r\n";
    const auto field = [&](std::string_view name, const std::string& value) {
        if (!value.empty()) out.append(name).append(": ").append(value).append("\r\n");
    };
    const auto number = [](const std::optional<std::int64_t>& of) {
        return of ? std::to_string(*of) : std::string{};
    };
    field("Host", request.host);
    field("Attempt-Id", request.attempt);
    field("Model-Name", request.model);
    field("Token-Counts", request.token_counts);
    field("Prompt-Prefix", request.prompt_prefix);
    field("Deadline-Ms", number(request.deadline_ms));
    field("Last-Event-Id", number(request.last_event_id));
    for (const HttpField& more : request.more) field(more.name, more.value);
    if (request.chunk_bytes == 0)
        return out + "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
    out += "Transfer-Encoding: chunked\r\n\r\n";
    for (std::size_t at = 0; at < request.body.size(); at += request.chunk_bytes)
        out += chunk(std::string_view(request.body).substr(at, request.chunk_bytes));
    return out + chunk("");
}

std::string ClientAnswer::event_bytes() const {
    std::string all;
    for (const ClientEvent& event : events) all += event.bytes;
    return all;
}

StreamClient::StreamClient(transport::Loop& loop, const std::string& address, ClientBehaviour behaviour)
    : loop_(loop), behaviour_(behaviour) {
    const int descriptor = transport::connect_to(address);
    if (descriptor < 0) throw std::runtime_error("can't connect to " + address);
    // A slow reader exerts backpressure on its peer: unread bytes must not accumulate here.
    const std::size_t most_read = behaviour.read_bytes > 0 ? behaviour.read_bytes : kMostRead;
    stream_ = std::make_unique<Stream>(loop, descriptor, Stream::Start::kConnecting, most_read, kMostWritten);
}

void StreamClient::send(const ClientRequest& request) { send_bytes(request_bytes(request)); }

void StreamClient::send_bytes(std::string bytes) {
    requests_.push_back(std::move(bytes));
    answers_.emplace_back();
    if (stream_) return pass();
    end_answer(AnswerEnd::kCut, loop_.now());
    ++current_;
}

bool StreamClient::over() const {
    return std::ranges::all_of(answers_, [](const ClientAnswer& answer) { return answer.over(); });
}

void StreamClient::close() {
    const Ticks now = loop_.now();
    stream_.reset();
    for (; current_ < answers_.size(); ++current_) end_answer(AnswerEnd::kClosed, now);
}

std::optional<Ticks> StreamClient::due() const {
    if (!stream_) return std::nullopt;
    std::optional<Ticks> first;
    if (!unsent_.empty() && stream_->established()) first = write_at_;
    if (stream_->unread() && behaviour_.read_bytes > 0) first = first ? std::min(*first, read_at_) : read_at_;
    return first;
}

void StreamClient::pass() {
    if (!stream_) return;
    const Ticks now = loop_.now();
    write(now);
    read(now);
    if (!stream_) return;
    if (stream_->ended() && !stream_->unread()) {
        reader_.end();
        take(now, AnswerEnd::kCut);
        stream_.reset();
        for (; current_ < answers_.size(); ++current_) end_answer(AnswerEnd::kCut, now);
    }
}

void StreamClient::write(Ticks now) {
    if (!asked_ && current_ < requests_.size()) {
        unsent_ += requests_[current_];
        asked_ = true;
        answers_[current_].sent_at = now;
    }
    if (unsent_.empty() || !stream_->established() || now < write_at_) return;
    const std::size_t size = behaviour_.piece_bytes > 0 ? behaviour_.piece_bytes : unsent_.size();
    const std::string piece = unsent_.substr(0, size);
    if (!stream_->send(piece)) return;
    unsent_.erase(0, piece.size());
    write_at_ = now + behaviour_.piece_pause;
}

void StreamClient::read(Ticks now) {
    while (stream_ && stream_->unread()) {
        if (behaviour_.read_bytes > 0 && now < read_at_) return;
        Taker taker{behaviour_.read_bytes > 0 ? behaviour_.read_bytes : kMostRead, {}};
        stream_->feed(taker);
        read_at_ = now + behaviour_.read_pause;
        std::string_view bytes = taker.taken;
        while (!bytes.empty() && waits()) {
            bytes.remove_prefix(reader_.feed(bytes));
            take(now, AnswerEnd::kGarbage);
        }
        surplus_ += bytes;
    }
}

// Moves the reader's results into the current answer.
void StreamClient::take(Ticks now, AnswerEnd where_broken) {
    if (!waits()) return;
    ClientAnswer& answer = answers_[current_];
    if (reader_.head().status != 0 && reader_.head_complete() && answer.head_at == 0) {
        answer.head = reader_.head();
        answer.head_at = now;
    }
    const std::string body = reader_.take_body();
    answer.body += body;
    unsplit_ += body;
    split_events(answer, now);
    const bool enough = behaviour_.close_after_events >= 0 && answer.head_at != 0 &&
                        std::ssize(answer.events) >= behaviour_.close_after_events;
    if (enough && !reader_.complete()) return close();
    if (!reader_.complete() && !reader_.broken()) return;
    end_answer(reader_.complete() ? AnswerEnd::kComplete : where_broken, now);
    ++current_;
    asked_ = false;
    unsplit_.clear();
    reader_.restart();
    write(now);
}

void StreamClient::split_events(ClientAnswer& answer, Ticks now) {
    if (!answer.head.field("content-type").starts_with("text/event-stream")) return;
    for (std::size_t end; (end = unsplit_.find(kEventEnd)) != std::string::npos;) {
        const std::string event = unsplit_.substr(0, end + kEventEnd.size());
        unsplit_.erase(0, event.size());
        answer.events.push_back({now, event, id_of(event)});
    }
}

bool StreamClient::waits() const {
    return asked_ && current_ < answers_.size() && !answers_[current_].over();
}

void StreamClient::end_answer(AnswerEnd end, Ticks now) {
    ClientAnswer& answer = answers_[current_];
    answer.end = end;
    answer.ended_at = now;
}

} // namespace ivyrill::lab
