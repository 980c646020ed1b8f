#include "scale/hollow_agents.hpp"

#include "agent/report_reader.hpp"
#include "base/hash.hpp"
#include "feed/ports.hpp"
#include "feed/subscriber.hpp"
#include "scale/commands.hpp"
#include "scale/sizes.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <memory>
#include <random>
#include <vector>

namespace ivyrill::scale {

namespace {

constexpr Tenths kFlushInterval = 1000, kReportInterval = 5000; // as agents do
// Many nodes share this process's time: a snapshot for each takes longer than on machines of their own.
constexpr Tenths kConnectPatience = 100'000;

std::uint64_t draw() {
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U | device()) | 1U;
}

class HollowAgent {
  public:
    HollowAgent(transport::Reactor& reactor, std::size_t number, std::size_t controls, bool reads)
        : reactor_(reactor), number_(number), controls_(controls),
          reader_(reactor, {node_name(number), kReportInterval},
                  [this](model::Load load) { read_.push_back(load); }) {
        feed::Subscriber::Options options;
        options.node = {node_name(number), zone_name(number), node_host(number), draw()};
        options.heartbeat = feed::kSessionHeartbeat, options.silence = 10 * feed::kSessionSilence;
        options.connect_patience = kConnectPatience;
        options.offers_records = true;
        feed::Subscriber::Callbacks callbacks;
        callbacks.publishers = [this] { return publishers(); };
        callbacks.applied = [this, reads](const feed::Tables::Applied& applied) {
            ++batches;
            if (subscriber_->tables().configuration()) {
                const std::int64_t fresh = subscriber_->tables().configuration()->version;
                if (fresh < version_) ++went_back;
                version_ = fresh;
            }
            if (reads && (applied.instances || applied.nodes)) assign();
        };
        callbacks.ended = [this] { ++ended; };
        subscriber_ = std::make_unique<feed::Subscriber>(reactor, options, std::move(callbacks));
        subscriber_->start();
        flush();
    }
    ~HollowAgent() { reactor_.cancel(timer_); }

    feed::Subscriber& subscriber() { return *subscriber_; }
    void set_telling(bool tells) { tells_ = tells; }
    std::uint64_t batches = 0, ended = 0, went_back = 0, loads_told = 0;

  private:
    void assign() {
        reader_.assign(subscriber_->tables().instances().records(), subscriber_->tables().edge_nodes());
    }
    // In an order of the node's own, so that sessions are spread; those that are alive as last told come
    // first.
    std::vector<std::string> publishers() const {
        std::vector<std::string> seeds, known;
        for (const model::ControlNode& node :
             subscriber_ ? subscriber_->tables().control_nodes() : std::vector<model::ControlNode>{})
            known.push_back(node.address.substr(0, node.address.rfind(':')) + ":" +
                            std::to_string(kFeedPort));
        for (std::size_t i = 0; i < controls_; ++i)
            seeds.push_back(control_host(i) + ":" + std::to_string(kFeedPort));
        const auto weight = [this](const std::string& address) {
            return hash_text(address, hash_text(node_name(number_)));
        };
        std::ranges::sort(known, std::ranges::greater{}, weight);
        std::ranges::sort(seeds, std::ranges::greater{}, weight);
        for (const std::string& seed : seeds)
            if (std::ranges::find(known, seed) == known.end()) known.push_back(seed);
        return known;
    }
    void flush() {
        timer_ = reactor_.call_after(kFlushInterval, [this] { flush(); });
        if (read_.empty()) return;
        const auto loads = std::exchange(read_, {});
        if (!tells_) return;
        loads_told += loads.size();
        subscriber_->send(feed::Loads{loads});
    }

    transport::Reactor& reactor_;
    std::size_t number_, controls_;
    std::unique_ptr<feed::Subscriber> subscriber_;
    agent::ReportReader reader_;
    std::vector<model::Load> read_;
    std::int64_t version_ = 0;
    bool tells_ = false;
    transport::Reactor::TimerId timer_{};
};

class HollowAgents {
  public:
    HollowAgents(transport::Reactor& reactor, const HollowAgentsPlan& plan) : reactor_(reactor), plan_(plan) {
        start();
    }

    std::string handle(const std::string& line) {
        if (line == "state") return state();
        if (line == "servers") return servers();
        if (line == "reports on" || line == "reports off") {
            for (auto& agent : agents_) agent->set_telling(line == "reports on");
            return "done";
        }
        if (line == "restart") {
            auto held = std::make_shared<std::vector<std::unique_ptr<HollowAgent>>>(std::move(agents_));
            agents_.clear();
            reactor_.free_later([this, held] {
                held->clear();
                start();
            });
            return "done";
        }
        return "unknown";
    }

  private:
    void start() {
        std::size_t readers = plan_.readers;
        for (std::size_t node = plan_.first; node < plan_.end; node += plan_.step)
            agents_.push_back(
                std::make_unique<HollowAgent>(reactor_, node, plan_.controls, readers > 0 && readers-- > 0));
    }

    std::string state() {
        std::size_t connected = 0, least_nodes = SIZE_MAX, most_nodes = 0, least_controls = SIZE_MAX;
        std::int64_t least_version = INT64_MAX;
        std::uint64_t ended = 0, went_back = 0, told = 0, batches = 0;
        for (const auto& agent : agents_) {
            const feed::Tables& tables = agent->subscriber().tables();
            connected += agent->subscriber().connected() ? 1 : 0;
            least_version =
                std::min(least_version, tables.configuration() ? tables.configuration()->version : 0);
            least_nodes = std::min(least_nodes, tables.edge_nodes().size());
            most_nodes = std::max(most_nodes, tables.edge_nodes().size());
            least_controls = std::min(least_controls, tables.control_nodes().size());
            ended += agent->ended, went_back += agent->went_back, told += agent->loads_told,
                batches += agent->batches;
        }
        const auto [received, sent] = bytes_by_port(kFeedPort);
        return fmt::format("{} {} {} {} {} {} {} {} {} {} {} {}", agents_.size(), connected, least_version,
                           least_nodes, most_nodes, least_controls, ended, went_back, told, batches, received,
                           sent);
    }

    // How many servers each agent would send to: the least, the most, and of those that were replaced the
    // most.
    std::string servers() {
        std::size_t least = SIZE_MAX, most = 0, most_old = 0;
        for (const auto& agent : agents_) {
            std::size_t usable = 0, old = 0, silent = 0;
            for (const auto& [id, record] : agent->subscriber().tables().instances().records()) {
                if (record.state == model::InstanceState::kSilent) ++silent;
                if (!record.may_be_sent_to()) continue;
                ++usable;
                if (id.ends_with("-old")) ++old;
            }
            least = std::min(least, usable - silent), most = std::max(most, usable);
            most_old = std::max(most_old, old);
        }
        return fmt::format("{} {} {}", least, most, most_old);
    }

    transport::Reactor& reactor_;
    HollowAgentsPlan plan_;
    std::vector<std::unique_ptr<HollowAgent>> agents_;
};

} // namespace

int run_hollow_agents(const HollowAgentsPlan& plan) {
    transport::Reactor reactor;
    HollowAgents agents(reactor, plan);
    const Commands commands(reactor, [&](const std::string& line) { return agents.handle(line); });
    reactor.run();
    return 0;
}

} // namespace ivyrill::scale
