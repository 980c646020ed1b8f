#include "scale/hollow_servers.hpp"

#include "http/call_server.hpp"
#include "http/client_connection.hpp"
#include "scale/commands.hpp"
#include "scale/sizes.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <list>
#include <memory>
#include <random>
#include <vector>

namespace ivyrill::scale {

namespace {

constexpr Tenths kInterval = kBeatIntervalMs * kTenthsPerSecond / 1000;
constexpr Tenths kAnswerPatience = kTenthsPerSecond; // PROTOCOL: an acknowledgement within a second
constexpr Tenths kDrainSpan = 25'000;                // serves on after the word of its leaving
constexpr double kStartsPerSecond = 400;
constexpr std::size_t kMostOut = 8192;

struct Counts {
    std::uint64_t beats = 0, acknowledged = 0, failed = 0, connections = 0;
    Tenths longest = 0; // until an acknowledgement
};

// Servers start one after the other: all in one interval is no case of the design.
std::uint64_t start_span(const HollowServersPlan& plan) {
    const auto span =
        static_cast<Tenths>(static_cast<double>(plan.end) / kStartsPerSecond * kTenthsPerSecond);
    return static_cast<std::uint64_t>(std::max(kInterval, span));
}

class HollowServer {
  public:
    HollowServer(transport::Reactor& reactor, std::size_t number, const HollowServersPlan& plan,
                 Counts& counts)
        : reactor_(reactor), number_(number), controls_(plan.controls), start_span_(start_span(plan)),
          counts_(counts), random_(number + 1), wake_(reactor.loop()),
          id_(fmt::format("i-{:06}-old", number)),
          reports_(reactor, server_address(number), {}, [](protocol::HttpMessage) { return report(); }) {
        task_ = beat();
        task_.start();
    }
    void release() { leaving_ = true; }
    bool released() const { return generation_ > 0; }

  private:
    static transport::Async<http::Answer> report() {
        co_return http::json_answer(R"({"stage":"decode","models":[],"busy":false,"callSeq":2,"waiting":1,)"
                                    R"("running":12,"kvUsed":41000,"kvTotal":90000,"promptHandles":0})");
    }
    std::string body() const {
        return fmt::format(
            R"({{"service":"{}","address":"{}","zone":"{}","version":"v{}","slots":48,"state":"{}","coldLeftMs":0,)"
            R"("stage":"{}","models":[{{"name":"m{}","version":1,"adapters":[]}}],"callSeq":{}}})",
            service_name(number_), server_address(number_), zone_name(number_), generation_,
            draining_ ? "draining" : "serving", number_ % 100 < 28 ? "prefill" : "decode",
            number_ % kServices, sequence_);
    }
    transport::Async<transport::Done> sleep(Tenths until) {
        const transport::WakeAt timer(reactor_, until, wake_);
        while (reactor_.now() < until) co_await wake_;
        co_return transport::Done{};
    }
    transport::Task beat() {
        co_await sleep(reactor_.now() + static_cast<Tenths>(random_() % start_span_));
        for (;;) {
            const Tenths began = reactor_.now();
            if (leaving_ && !draining_) draining_ = true;
            if (co_await tell("PUT") && leaving_ && draining_since_ == 0) draining_since_ = reactor_.now();
            if (draining_since_ > 0 && reactor_.now() - draining_since_ >= kDrainSpan) {
                while (!co_await tell("DELETE")) {}
                ++generation_, sequence_ = 0, draining_since_ = 0;
                leaving_ = draining_ = false;
                id_ = fmt::format("i-{:06}-{}", number_, generation_);
                continue;
            }
            co_await sleep(began + kInterval);
        }
    }
    // One call, at the advised address first, then at others with a growing pause.
    transport::Async<bool> tell(std::string method) {
        ++sequence_;
        for (int attempt = 0; attempt < 5; ++attempt) {
            ++counts_.beats;
            const Tenths began = reactor_.now();
            if (co_await call(method)) {
                ++counts_.acknowledged;
                counts_.longest = std::max(counts_.longest, reactor_.now() - began);
                co_return true;
            }
            ++counts_.failed;
            connection_.reset();
            advised_.clear();
            co_await sleep(reactor_.now() + (500 << attempt));
        }
        co_return false;
    }
    transport::Async<bool> call(std::string method) {
        if (connection_ && !connection_->quiet()) connection_.reset();
        if (!connection_) {
            if (advised_.empty())
                advised_ = control_host(random_() % controls_) + ":" + std::to_string(kControlPort);
            ++counts_.connections;
            address_ = advised_;
            connection_ = http::ClientConnection::open(reactor_, address_, kMostOut);
            if (!connection_) co_return false;
        }
        http::ClientConnection& connection = *connection_;
        connection.stream().also_wake(&wake_);
        const std::string text = method == "PUT" ? body() : "";
        connection.stream().send(
            fmt::format("{} /instances/{} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\n"
                        "Content-Length: {}\r\n\r\n{}",
                        method, id_, address_, text.size(), text));
        const Tenths until = reactor_.now() + kAnswerPatience;
        const transport::WakeAt timer(reactor_, until, wake_);
        while (!connection.parser().complete()) {
            connection.read();
            if (connection.parser().complete()) break;
            if (connection.parser().broken() != 0 || connection.stream().ended() || reactor_.now() >= until)
                co_return false;
            co_await wake_;
        }
        const protocol::HttpMessage answer = connection.parser().take();
        if (answer.status < 200 || answer.status > 299) co_return false;
        const auto place = answer.body.find("\"beatAddr\":\"");
        if (place != std::string::npos) {
            const auto begin = place + 12;
            advised_ = answer.body.substr(begin, answer.body.find('"', begin) - begin);
        }
        if (advised_ != address_ || answer.close) connection_.reset();
        co_return true;
    }

    transport::Reactor& reactor_;
    std::size_t number_, controls_;
    std::uint64_t start_span_;
    Counts& counts_;
    std::minstd_rand random_;
    transport::Slot wake_;
    std::string id_, advised_, address_;
    std::int64_t sequence_ = 0;
    std::size_t generation_ = 0;
    bool leaving_ = false, draining_ = false;
    Tenths draining_since_ = 0;
    http::CallServer reports_;
    std::unique_ptr<http::ClientConnection> connection_;
    transport::Task task_;
};

} // namespace

int run_hollow_servers(const HollowServersPlan& plan) {
    transport::Reactor reactor;
    Counts counts;
    std::vector<std::unique_ptr<HollowServer>> servers;
    for (std::size_t number = plan.first; number < plan.end; number += plan.step)
        servers.push_back(std::make_unique<HollowServer>(reactor, number, plan, counts));
    const Commands commands(reactor, [&](const std::string& line) -> std::string {
        if (line.starts_with("release ")) {
            const std::size_t wanted = std::min<std::size_t>(std::stoul(line.substr(8)), servers.size());
            for (std::size_t i = 0; i < wanted; ++i) servers[i]->release();
            return "done";
        }
        const auto released =
            std::ranges::count_if(servers, [](const auto& server) { return server->released(); });
        std::string answer = fmt::format("{} {} {} {} {} {}", counts.beats, counts.acknowledged,
                                         counts.failed, counts.connections, counts.longest, released);
        counts.longest = 0;
        return answer;
    });
    reactor.run();
    return 0;
}

} // namespace ivyrill::scale
