#include "lab/platform.hpp"

#include "protocol/json.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace ivyrill::lab {

namespace {

constexpr std::size_t kInputLimit = 1 << 20, kOutputLimit = 1 << 12; // bytes of a connection
constexpr std::string_view kUsagePath = "/usage";

std::string peer_of(int descriptor) {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    if (getpeername(descriptor, reinterpret_cast<sockaddr*>(&address), &size) != 0) return "";
    std::string text(INET_ADDRSTRLEN, '\0');
    inet_ntop(AF_INET, &address.sin_addr, text.data(), INET_ADDRSTRLEN);
    text.resize(text.find('\0'));
    return text + ":" + std::to_string(ntohs(address.sin_port));
}

std::string subject_of(const ReceivedCall& call) {
    if (call.path == kUsagePath) return call.path;
    const protocol::Json order = protocol::read_json(call.body);
    return call.path + " " + order.at("service").as_text("service") + " " + order.at("zone").as_text("zone");
}

std::int64_t count_in(const std::string& body, const std::string& tenant) {
    const protocol::Json report = protocol::read_json(body);
    const protocol::Json* count = report.at("counts").find(tenant);
    return count == nullptr ? 0 : count->as_integer(tenant);
}

} // namespace

Platform::Platform(transport::Loop& loop, const std::string& address, Ticks lease)
    : loop_(loop), listener_(loop, transport::listen_at(address)), lease_(lease) {}

void Platform::pass() {
    accept_all();
    for (const auto& connection : connections_) pass(*connection);
    std::erase_if(connections_, [](const auto& connection) { return connection->is_over; });
}

void Platform::accept_all() {
    for (;;) {
        const int descriptor = transport::accept_from(listener_.descriptor());
        if (descriptor < 0) return;
        auto connection = std::make_unique<Connection>();
        connection->descriptor = descriptor, connection->peer = peer_of(descriptor);
        connection->stream = std::make_unique<transport::Stream>(
            loop_, descriptor, transport::Stream::Start::kConnected, kInputLimit, kOutputLimit);
        connections_.push_back(std::move(connection));
    }
}

void Platform::pass(Connection& connection) {
    transport::Stream& stream = *connection.stream;
    if (!connection.is_taken && stream.unread()) stream.feed(connection.reader);
    if (!connection.is_taken && connection.reader.complete()) take(connection);
    if (connection.reader.broken()) violations_.emplace_back("malformed call");
    const bool is_due = connection.answer_at != 0 && loop_.now() >= connection.answer_at;
    if (is_due) answer(connection);
    const bool is_gone = stream.ended() && !stream.unread();
    if (is_gone || connection.reader.broken()) connection.is_over = true;
}

void Platform::take(Connection& connection) {
    connection.is_taken = true, connection.mode = mode_;
    const HttpHead& head = connection.reader.head();
    ReceivedCall call;
    call.at = loop_.now(), call.peer = connection.peer;
    call.path = head.target, call.holder = std::string(head.field("duty-holder"));
    call.body = connection.reader.take_body(), call.mode = mode_;
    call.fence = static_cast<std::uint64_t>(head.number("fence-token").value_or(0));
    const bool is_known = call.path == kUsagePath || call.path == "/scale";
    if (head.method != "POST" || !is_known || call.holder.empty() || call.fence == 0)
        violations_.push_back("not a duty's call: " + head.method + " " + call.path);
    calls_.push_back(call);
    judge_order(subject_of(call), call);
    if (call.path == kUsagePath) take_report(call);
    if (mode_ == PlatformMode::kSilent) return;
    connection.answer_at = loop_.now() + (mode_ == PlatformMode::kSlow ? kSlowAnswer : 0);
}

void Platform::answer(Connection& connection) {
    connection.answer_at = 0;
    transport::Stream& stream = *connection.stream;
    switch (connection.mode) {
    case PlatformMode::kResets:
        transport::reset_on_close(connection.descriptor);
        connection.is_over = true;
        return;
    case PlatformMode::kGarbage:
        stream.send("\x01\x02 no answer\r\n\r\n");
        break;
    case PlatformMode::kHalfAnswer:
        stream.send("HTTP/1.1 200 OK\r\nContent-Le");
        break;
    case PlatformMode::kBusy:
        stream.send(http_message(status_line(429), {}, ""));
        break;
    case PlatformMode::kSilent:
        return;
    case PlatformMode::kQuick:
    case PlatformMode::kSlow:
        stream.send(http_message(status_line(200), {}, ""));
        break;
    }
    stream.finish();
}

// Stricter than the rule: calls that were not accepted count as well, and no fault excuses one.
void Platform::judge_order(const std::string& subject, const ReceivedCall& call) {
    std::vector<Act>& acts = acts_[subject];
    for (const Act& act : acts) {
        if (act.fence == call.fence && act.holder != call.holder)
            violations_.push_back(subject + ": fence " + std::to_string(call.fence) + " used by two holders");
        if (act.fence > call.fence)
            violations_.push_back(subject + ": fence " + std::to_string(call.fence) + " after " +
                                  std::to_string(act.fence));
    }
    acts.push_back({call.at, call.holder, call.fence});
    judge_turns(acts, subject);
}

// Holders A, B, A within the lease, where the last act is the second one of A.
void Platform::judge_turns(const std::vector<Act>& acts, const std::string& subject) {
    bool other_between = false;
    for (auto act = acts.rbegin() + 1; act != acts.rend(); ++act) {
        if (acts.back().at - act->at > lease_) return;
        if (act->holder != acts.back().holder)
            other_between = true;
        else if (other_between)
            return violations_.push_back(subject + ": holders act alternately within the lease");
    }
}

void Platform::take_report(const ReceivedCall& call) {
    const std::int64_t window = protocol::read_json(call.body).at("windowId").as_integer("windowId");
    const auto [received, is_first] = reports_received_.try_emplace(window, call.body);
    if (!is_first && received->second != call.body)
        violations_.push_back("window " + std::to_string(window) + " with different counts than before");
    const bool is_taken = call.mode != PlatformMode::kSilent && call.mode != PlatformMode::kBusy;
    if (is_taken) reports_.try_emplace(window, call.body);
}

std::int64_t Platform::counted(const std::string& tenant) const {
    std::int64_t all = 0;
    for (const auto& [window, body] : reports_) all += count_in(body, tenant);
    return all;
}

std::int64_t Platform::counted(std::int64_t window, const std::string& tenant) const {
    const auto found = reports_.find(window);
    return found == reports_.end() ? 0 : count_in(found->second, tenant);
}

std::size_t Platform::missing() const {
    if (reports_.empty()) return 0;
    const auto span = reports_.rbegin()->first - reports_.begin()->first + 1;
    return static_cast<std::size_t>(span) - reports_.size();
}

} // namespace ivyrill::lab
