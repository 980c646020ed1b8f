// ControlWorld: model servers, operators and readers.
#include "lab/control_world.hpp"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <utility>

namespace ivyrill::lab {

namespace {

constexpr Ticks kCallTimeout = kTicksPerSecond; // after which a caller tries another node
constexpr Ticks kBeatInterval = 12'000, kReadInterval = 4'000;
constexpr Ticks kFirstPause = 500, kLongestPause = 8'000; // retry delays of an operator without an answer
constexpr Ticks kDrainSpan = 25'000;                      // from an acknowledged leave to the server's end
constexpr Ticks kLeaveTimeout = 60'000; // without an acknowledgement, servers end after this time
constexpr int kBeatTries = 3;
constexpr std::int64_t kFirstMark = 10'000; // identifies an order, in a field that may differ
constexpr const char* kService = "model";

protocol::HttpMessage message_of(std::string method, std::string target, std::string body) {
    protocol::HttpMessage message;
    message.method = std::move(method), message.target = std::move(target), message.body = std::move(body);
    return message;
}

transport::Task answer_call(const control::ControlNode& node, protocol::HttpMessage message,
                            std::function<void(http::Response)> answered) {
    http::Response answer = co_await node.handle(std::move(message));
    answered(std::move(answer));
}

} // namespace

// Answers may be lost in transit; a caller waits for one second and ignores later answers.
void ControlWorld::call(MachineNumber machine, protocol::HttpMessage message,
                        std::function<void(const CallResult&)> done, std::function<void()> answering) {
    struct Open {
        std::function<void(const CallResult&)> done;
        void answer(const CallResult& result) {
            if (const auto once = std::exchange(done, {})) once(result);
        }
    };
    auto open = std::make_shared<Open>(Open{std::move(done)});
    network_.schedule(network_.now() + kCallTimeout, [open] { open->answer({}); });
    const Ticks delay = network_.between(5, 20);
    network_.schedule(network_.now() + delay, [this, machine, message = std::move(message), open,
                                               answering = std::move(answering)]() mutable {
        if (!network_.is_up(machine))
            return network_.schedule(network_.now() + 10, [open] { open->answer({}); });
        network_.run_on(machine, [this, machine, message = std::move(message), open, answering]() mutable {
            control::ControlNode* const node = nodes_.at(machine).process.get();
            const auto answered = [this, open, answering](const http::Response& answer) {
                if (answer.status == 200 && answering) answering();
                if (network_.chance(answer_lost_)) return;
                const CallResult result{answer.status, answer.body};
                network_.schedule(network_.now() + network_.between(5, 20),
                                  [open, result] { open->answer(result); });
            };
            network_.reactor(machine).spawn(answer_call(*node, std::move(message), answered));
        });
    });
}

void ControlWorld::start_clients() {
    clients_act_ = true;
    for (int i = 0; i < plan_.servers; ++i) {
        servers_.emplace_back();
        replace_server(servers_.size() - 1);
    }
    for (std::size_t i = 0; i < operators_.size(); ++i)
        network_.schedule(network_.now() + network_.between(0, 5000), [this, i] { operate(i); });
    read();
}

// Starts a new server, at an address that another may have used.
void ControlWorld::replace_server(std::size_t number) {
    Server& server = servers_[number];
    const std::string address = fmt::format("10.0.9.{}:8080", number % 200 + 1);
    server = {};
    server.id = fmt::format("i-{}", ++server_count_), server.address = address;
    network_.schedule(network_.now() + network_.between(0, 3000), [this, number, id = server.id] {
        if (servers_[number].id == id) beat(number);
    });
}

void ControlWorld::beat(std::size_t number) {
    Server& server = servers_[number];
    if (server.ended) return;
    network_.schedule(network_.now() + kBeatInterval, [this, number, id = server.id] {
        if (servers_[number].id == id) beat(number);
    });
    ++server.sequence;
    send_beat(number, kBeatTries);
}

void ControlWorld::send_beat(std::size_t number, int tries_left) {
    Server& server = servers_[number];
    if (server.ended || tries_left == 0) return;
    std::optional<MachineNumber> target;
    for (const MachineNumber machine : control_)
        if (server.beat_address.starts_with(SimulatedNetwork::ip_of(machine) + ":")) target = machine;
    const MachineNumber machine = target.value_or(any_control());
    const bool drains = server.drains;
    const std::string body =
        fmt::format(R"({{"service":"{}","address":"{}","zone":"a","version":"v1","slots":8,"state":"{}",)"
                    R"("coldLeftMs":0,"stage":"decode","models":[{{"name":"m","version":1}}],"callSeq":{}}})",
                    kService, server.address, drains ? "draining" : "serving", server.sequence);
    call(
        machine, message_of("PUT", "/instances/" + server.id, body),
        [this, number, id = server.id, tries_left, drains](const CallResult& result) {
            if (servers_[number].id != id) return;
            if (result.status == 200) return server_answered(number, result, drains);
            servers_[number].beat_address.clear();
            send_beat(number, tries_left - 1);
        },
        [this, id = server.id, drains, machine] {
            if (drains) check_leaving_lasts(id, machine);
        });
}

void ControlWorld::server_answered(std::size_t number, const CallResult& result, bool was_leaving) {
    Server& server = servers_[number];
    const std::size_t at = result.body.find("beatAddr\":\"");
    if (at != std::string::npos) {
        const std::size_t begin = at + 11;
        server.beat_address = result.body.substr(begin, result.body.find('"', begin) - begin);
    }
    if (!was_leaving || server.leaving_acknowledged) return;
    server.leaving_acknowledged = network_.now();
    record_event("leave of " + server.id + " is acknowledged");
    ++counts_.leavings;
}

// Some servers report that they drain before they delete their record, some delete it first; both keep
// serving for a while.
void ControlWorld::leave(std::size_t number) {
    Server& server = servers_[number];
    if (server.drains || server.ended) return;
    record_event("server " + server.id + " leaves");
    server.drains = true;
    server.asked_to_leave = network_.chance(0.5);
    const std::string id = server.id;
    if (server.asked_to_leave) {
        server.ended = true; // sends no further status by heartbeat
        send_leave(number);
    } else {
        ++server.sequence;
        send_beat(number, kBeatTries);
    }
    // An acknowledged leave holds until the end of the history; then another server takes its place.
    network_.schedule(network_.now() + kLeaveTimeout + kDrainSpan, [this, number, id] {
        if (clients_act_ && servers_[number].id == id) replace_server(number);
    });
}

void ControlWorld::send_leave(std::size_t number) {
    const Server& server = servers_[number];
    const MachineNumber machine = any_control();
    call(
        machine, message_of("DELETE", "/instances/" + server.id, ""),
        [this, number, id = server.id](const CallResult& result) {
            if (servers_[number].id != id) return;
            if (result.status == 200) return server_answered(number, result, true);
            network_.schedule(network_.now() + 1000, [this, number, id] {
                if (servers_[number].id == id) send_leave(number);
            });
        },
        [this, id = server.id, machine] { check_leaving_lasts(id, machine); });
}

std::string ControlWorld::body_of(OrderNumber number) const {
    const Order& order = history_.order(number);
    return fmt::format(
        R"({{"version":{},"routes":[{{"name":"chat","host":"chat.example","pathPrefix":"/chat/",)"
        R"("kind":"streaming","timeoutMs":{},"targetLatencyMs":500,"priority":0,"service":"model",)"
        R"("maxAttempts":2,"sticky":true,"resumable":true,"gap_aim_ms":300}}],"services":[{{"name":"model",)"
        R"("healthPath":"/health","connLimit":64,"protocol":"h1","tls":false,"engine":{{"slots":8,)"
        R"("kvTokenCount":100000,"tokenKvBytes":131072,"linkMbps":100000.0,"stride":4,"handleHoldS":5.0,)"
        R"("roleSwitchS":0.5,"models":[{{"name":"m"}}]}},"scaling":{{"minCount":1,"maxCount":6,"bootTimeS":2}}}}],)"
        R"("limits":{{"maxHeaderBytes":16384,)"
        R"("maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}})",
        order.version, kFirstMark + static_cast<std::int64_t>(number));
}

std::optional<OrderNumber> ControlWorld::order_in(const std::string& body) const {
    const std::string key = "\"timeoutMs\":";
    const std::size_t at = body.find(key);
    if (at == std::string::npos) return std::nullopt;
    std::int64_t mark = 0;
    std::from_chars(body.data() + at + key.size(), body.data() + body.size(), mark);
    const auto found = orders_by_mark_.find(mark);
    return found == orders_by_mark_.end() ? std::nullopt : std::optional(found->second);
}

OrderNumber ControlWorld::new_order(std::int64_t base, std::int64_t version) {
    const OrderNumber order = history_.begin(base, version, network_.now());
    orders_by_mark_[kFirstMark + static_cast<std::int64_t>(order)] = order;
    return order;
}

void ControlWorld::send_order(OrderNumber order, MachineNumber machine, std::function<void(int)> done) {
    protocol::HttpMessage message = message_of("PUT", "/config", body_of(order));
    message.headers.emplace_back("if-match", std::to_string(history_.order(order).base));
    if (history_.order(order).sends > 0) ++counts_.sent_again;
    history_.sent(order);
    call(
        machine, std::move(message),
        [this, order, machine, done = std::move(done), asked_at = network_.now()](const CallResult& result) {
            note_call_of_cut_off(machine, asked_at, result.status, "an order");
            order_answered(order, result.status);
            if (done) done(result.status);
        },
        [this, order] { check_order_lasts(order); });
}

void ControlWorld::order_answered(OrderNumber order, int status) {
    const std::string name = std::to_string(history_.order(order).version);
    if (status == 200) {
        record_event("order " + name + " is acknowledged");
        ++counts_.acknowledged;
        history_.acknowledged(order, network_.now());
    } else if (status >= 400 && status < 500) {
        record_event("order " + name + " is refused with " + std::to_string(status));
        ++counts_.refused;
        history_.refused(order, network_.now());
    }
}

void ControlWorld::operate(std::size_t number) {
    if (!clients_act_) return;
    Operator& here = operators_[number];
    if (!here.order) {
        // Operators often build on the same version under the same number.
        std::int64_t base = here.known;
        for (const Operator& other : operators_)
            base = network_.chance(0.7) ? std::max(base, other.known) : base;
        here.known = base;
        here.order = new_order(base, base + 1 + network_.any(2));
        here.tries = 0, here.pause = kFirstPause;
    }
    send_operator_order(number);
}

void ControlWorld::send_operator_order(std::size_t number) {
    const OrderNumber order = *operators_[number].order;
    send_order(order, any_control(),
               [this, number, order](int status) { operator_answered(number, order, status); });
}

// A definite answer ends an order; without one it is resent unchanged, to any node, with increasing delays.
void ControlWorld::operator_answered(std::size_t number, OrderNumber order, int status) {
    Operator& here = operators_[number];
    const bool is_final = status == 200 || (status >= 400 && status < 500);
    Ticks pause = quick_operators_ ? network_.between(0, 100) : network_.between(500, 8000);
    if (is_final) {
        here.order.reset();
        if (status == 200) here.known = std::max(here.known, history_.order(order).version);
        if (status != 200) {
            // It reads the accepted version and builds on that.
            call(any_control(), message_of("GET", "/config", ""), [this, number](const CallResult& result) {
                if (result.status != 200) return;
                if (const auto read = order_in(result.body))
                    operators_[number].known =
                        std::max(operators_[number].known, history_.order(*read).version);
            });
            pause = std::max<Ticks>(pause, 300);
        }
    } else {
        pause = here.pause;
        here.pause = std::min(here.pause * 2, kLongestPause);
        if (++here.tries > 12) here.order.reset(); // abandoned: it may be in force or not
    }
    network_.schedule(network_.now() + pause, [this, number] { operate(number); });
}

void ControlWorld::read() {
    if (!clients_act_) return;
    network_.schedule(network_.now() + network_.between(kReadInterval / 2, kReadInterval),
                      [this] { read(); });
    const MachineNumber machine = any_control();
    call(machine, message_of("GET", "/config", ""),
         [this, machine, asked_at = network_.now()](const CallResult& result) {
             note_call_of_cut_off(machine, asked_at, result.status, "a read");
             if (result.status != 200) return;
             ++counts_.reads;
             const auto order = order_in(result.body);
             if (!order) return report_violation("a read returns a configuration that was never sent");
             history_.read(order, asked_at, network_.now(), "machine " + std::to_string(machine));
         });
}

// A machine that was isolated from all others before the call can neither confirm nor reject anything. (The
// repeated leave of a server may have been made durable before the isolation.)
void ControlWorld::note_call_of_cut_off(MachineNumber machine, Ticks asked_at, int status,
                                        const std::string& what) {
    const Node& here = nodes_.at(machine);
    if (!here.cut_off_since || !is_cut_off(machine)) return;
    if (network_.now() - *here.cut_off_since > 10 * kTicksPerSecond) counts_.provoked[0] = true;
    const bool is_answer = status == 200 || status == 412;
    if (is_answer && asked_at > *here.cut_off_since)
        report_violation("machine " + std::to_string(machine) + " is isolated and answers " + what +
                         " with " + std::to_string(status));
}

} // namespace ivyrill::lab
