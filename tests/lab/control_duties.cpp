// ControlWorld: servers that receive orders, duty holders that act all the time, and the plan that moves the
// duties between nodes.
#include "lab/control_world.hpp"

#include "control/http_order_client.hpp"
#include "protocol/http.hpp"
#include "protocol/json.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace ivyrill::lab {

namespace {

constexpr int kEngines = 8;
constexpr Ticks kEngineBeat = 12'000, kReportInterval = 5'000, kActInterval = 1'500;
constexpr Ticks kPressureTurns = 60'000; // period for which one stage lacks servers, before the other does
constexpr Ticks kLease = 30'000;         // `leaseMs`
constexpr Ticks kOrdersApart = 20'000;   // minimum for one server: its report shows whether one was accepted
constexpr Ticks kOperatorOrdersFor = 15 * kTicksPerSecond;
constexpr Ticks kActingWithin = 12 * kTicksPerSecond;
constexpr std::int64_t kSlots = 8;
constexpr std::uint64_t kOperatorFence = 1'000'000; // of an order given by an operator
const duties::Duty kStages{duties::DutyKind::kServerStages, "model"};

// The simulation's own acts, under the same fence as the orders of the program's duty.
std::string actor_of(MachineNumber machine) { return fmt::format("actor-{}", machine); }

} // namespace

// Delivers a node's orders to the simulated servers; all processes of a machine share it.
class ControlWorld::WorldOrderLink : public duties::OrderClient {
  public:
    WorldOrderLink(ControlWorld& world, MachineNumber machine) : world_(world), machine_(machine) {}
    void send(const duties::StageOrder& order, const std::string& holder, std::function<bool()> may_send,
              std::function<void(duties::OrderOutcome)> done) override {
        world_.open_order_connection(machine_, order, holder, std::move(may_send), std::move(done));
    }

  private:
    ControlWorld& world_;
    MachineNumber machine_;
};

duties::OrderClient& ControlWorld::order_link(MachineNumber machine) {
    std::unique_ptr<duties::OrderClient>& link = order_links_[machine];
    if (!link) link = std::make_unique<WorldOrderLink>(*this, machine);
    return *link;
}

void ControlWorld::open_order_connection(MachineNumber machine, const duties::StageOrder& order,
                                         const std::string& holder, std::function<bool()> may_send,
                                         std::function<void(duties::OrderOutcome)> done) {
    const Ticks up_after = network_.chance(0.3) ? network_.between(500, 2500) : network_.between(10, 30);
    const int incarnation = network_.incarnation(machine);
    network_.schedule(network_.now() + up_after, [=, this, may_send = std::move(may_send),
                                                  done = std::move(done)]() mutable {
        if (!network_.is_up(machine) || network_.incarnation(machine) != incarnation) return;
        network_.run_on(machine, [=, this, may_send = std::move(may_send), done = std::move(done)] {
            if (!may_send()) return done(duties::OrderOutcome::kNotSent);
            order_leaves(machine, order, holder, done);
        });
    });
}

// A call without an answer within the timeout is reset: by then it has arrived, or never will.
void ControlWorld::order_leaves(MachineNumber machine, const duties::StageOrder& order,
                                const std::string& holder,
                                const std::function<void(duties::OrderOutcome)>& done) {
    ++counts_.orders_to_servers;
    const std::string request = control::order_request(order, holder);
    const Ticks way = network_.chance(0.4) ? network_.between(500, 3000) : network_.between(5, 20);
    const Ticks back = network_.between(5, 20);
    const int incarnation = network_.incarnation(machine);
    const bool is_lost = network_.chance(0.05), answer_is_lost = network_.chance(0.1);
    const auto answer = [=, this](duties::OrderOutcome outcome) {
        if (!network_.is_up(machine) || network_.incarnation(machine) != incarnation) return;
        network_.run_on(machine, [=, this] {
            const bool is_duty = !holder.starts_with("actor");
            if (is_duty && outcome == duties::OrderOutcome::kFencedOff) note_fenced_off(machine, order);
            done(outcome);
        });
    };
    const Ticks timeout = duties::OrderClient::kTimeout;
    if (is_lost)
        return network_.schedule(network_.now() + timeout,
                                 [answer] { answer(duties::OrderOutcome::kUnanswered); });
    network_.schedule(network_.now() + way, [=, this] {
        const int status = take_order(machine, order, request);
        const auto outcome = answer_is_lost || status == 0 ? duties::OrderOutcome::kUnanswered
                                                           : duties::outcome_of_status(status);
        const Ticks after = outcome == duties::OrderOutcome::kUnanswered ? timeout - way : back;
        network_.schedule(network_.now() + after, [answer, outcome] { answer(outcome); });
    });
}

// Behaves like a server (PROTOCOL, `POST /order`), and as the rule ONE is judged. 0: no server is there.
int ControlWorld::take_order(MachineNumber sender, const duties::StageOrder& order,
                             const std::string& request) {
    protocol::HttpParser parser(protocol::HttpParser::Side::kRequests);
    parser.feed(request);
    if (!parser.complete()) return report_violation("malformed order"), 400;
    const protocol::HttpMessage message = parser.take();
    const auto found = std::ranges::find(engines_, order.address, &Engine::address);
    if (found == engines_.end() || !found->is_up) return 0;
    Engine& engine = *found;
    const std::string target(message.header("target-instance"));
    if (!target.empty() && target != engine.id) return 421;
    if (order.instance != engine.id) report_violation("an order reached the wrong server");
    const protocol::Json body = protocol::read_json(message.body);
    const std::string holder = body.at("holder").as_text("holder");
    const auto fence = static_cast<std::uint64_t>(body.at("fenceToken").as_integer("fenceToken"));
    judge_holder(engine, sender, holder, fence);
    if (engine.operator_fence > fence) return 412;
    const protocol::Json* expected = body.find("expectedCount");
    if (expected == nullptr) report_violation("an order lacks the expected number of accepted orders");
    const bool is_as_expected =
        expected == nullptr || expected->as_integer("expectedCount") == engine.orders_accepted;
    if (network_.now() < engine.changing_until || !is_as_expected) return 409;
    const model::Stage stage = model::stage_from_name(body.at("stage").as_text("stage"));
    if (stage == engine.stage) return 200;
    if (!engine.taken.insert({fence, order.expected_count.value_or(-1)}).second)
        report_violation("an order is accepted twice by " + engine.id);
    ++engine.orders_accepted, ++counts_.orders_accepted;
    engine.stage = stage;
    engine.changing_until = network_.now() + network_.between(5'000, 15'000);
    record_event(fmt::format("{} accepts an order of machine {} under fence {}", engine.id, sender, fence));
    return 202;
}

// Checks the rule ONE for one subject: all earlier acts, and this one, which is appended.
void ControlWorld::judge_one(std::vector<Act>& acts, MachineNumber sender, std::uint64_t fence) {
    const std::string name = "machine " + std::to_string(sender);
    for (const Act& act : acts) {
        if (act.fence == fence && act.sender != sender)
            report_violation("two holders share fence " + std::to_string(fence));
        if (act.fence > fence) report_violation(name + " acts under a fence lower than an earlier one");
    }
    // Alternation: this holder, then another, then this one again, within a lease.
    bool other_came = false;
    for (auto act = acts.rbegin(); act != acts.rend(); ++act) {
        if (network_.now() - act->at >= kLease) break;
        if (act->sender != sender) other_came = true;
        if (act->sender == sender && other_came) {
            report_violation(name + " alternates with another holder within a lease");
            break;
        }
    }
    acts.push_back({sender, fence, network_.now()});
}

void ControlWorld::judge_holder(Engine& engine, MachineNumber sender, const std::string& holder,
                                std::uint64_t fence) {
    const std::string name = "machine " + std::to_string(sender);
    judge_one(engine.acts, sender, fence);
    if (!holder.starts_with("actor")) {
        const bool is_again = engine.ordered_at && engine.ordered_under == fence &&
                              network_.now() - *engine.ordered_at < kOrdersApart;
        if (is_again) report_violation(name + " resends an order that may have been accepted");
        engine.ordered_at = network_.now(), engine.ordered_under = fence;
    }
    const auto fenced_off = engine.fenced_off.find(sender);
    const bool knows_rejection = fenced_off != engine.fenced_off.end() && fenced_off->second >= fence;
    if (knows_rejection && !holder.starts_with("actor"))
        report_violation(name + " continues under a rejected fence");
}

// From now on the node knows its rejected fence.
void ControlWorld::note_fenced_off(MachineNumber sender, const duties::StageOrder& order) {
    const auto engine = std::ranges::find(engines_, order.instance, &Engine::id);
    if (engine != engines_.end()) engine->fenced_off[sender] = order.fence;
}

// ---- server reports and duty holders

void ControlWorld::start_engines() {
    for (int i = 0; i < kEngines; ++i) {
        engines_.emplace_back();
        engines_.back().address = fmt::format("10.0.8.{}:8080", i + 1);
        replace_engine(engines_.size() - 1);
        engines_.back().stage = i % 2 == 0 ? model::Stage::kPrefill : model::Stage::kDecode;
    }
    report_engines();
    act_for_duties();
}

// Starts a new server at the same address, in the initial stage of the former one.
void ControlWorld::replace_engine(std::size_t number) {
    Engine& engine = engines_[number];
    Engine fresh;
    fresh.address = engine.address, fresh.stage = engine.stage, fresh.is_up = true;
    fresh.id = fmt::format("e-{}", ++engine_count_);
    engine = std::move(fresh);
    beat_engine(number);
}

void ControlWorld::beat_engine(std::size_t number) {
    Engine& engine = engines_[number];
    if (!engine.is_up) return;
    network_.schedule(network_.now() + kEngineBeat, [this, number, id = engine.id] {
        if (engines_[number].id == id) beat_engine(number);
    });
    const std::string body = fmt::format(
        R"({{"service":"model","address":"{}","zone":"{}","version":"v1","slots":{},"state":"serving",)"
        R"("coldLeftMs":0,"stage":"{}","models":[{{"name":"m","version":1}}],"callSeq":{}}})",
        engine.address, number % 3, kSlots, model::name_of(engine.stage), ++engine.sequence);
    protocol::HttpMessage message;
    message.method = "PUT", message.target = "/instances/" + engine.id, message.body = body;
    call(any_control(), std::move(message), [](const CallResult&) {});
}

// Reports through the connected agents. One stage lacks servers for a while, then the other.
void ControlWorld::report_engines() {
    if (!clients_act_) return;
    network_.schedule(network_.now() + kReportInterval, [this] { report_engines(); });
    const bool lacks_prefill_servers = network_.now() / kPressureTurns % 2 == 0;
    feed::Loads told;
    for (const Engine& engine : engines_) {
        if (!engine.is_up) continue;
        const bool is_short = (engine.stage == model::Stage::kPrefill) == lacks_prefill_servers;
        model::Load load;
        load.instance = engine.id, load.stage = engine.stage, load.orders_accepted = engine.orders_accepted;
        load.running = is_short ? kSlots : 0, load.waiting = is_short ? 2 : 0, load.memory_total = 1000;
        load.changing = network_.now() < engine.changing_until;
        told.loads.push_back(load);
    }
    model::ServiceDemand demand;
    demand.service = "model", demand.requests = 100;
    for (const Agent& agent : agents_) {
        if (!agent.process || network_.is_frozen(agent.machine)) continue;
        network_.run_on(agent.machine, [&agent, told, demand] {
            agent.process->send(told);
            agent.process->send(feed::Demands{{demand}});
        });
    }
}

// Each node that may act now sends some server an order that changes nothing.
void ControlWorld::act_for_duties() {
    network_.schedule(network_.now() + kActInterval, [this] { act_for_duties(); });
    for (const MachineNumber machine : control_) {
        if (!is_live(machine)) continue;
        network_.run_on(machine, [this, machine] { act_once(machine); });
    }
}

void ControlWorld::act_once(MachineNumber machine) {
    const control::DutyPartitions* parts = node(machine)->duty_partitions();
    const auto fence = parts->fence(kStages);
    if (!fence) return;
    const Engine& engine = engines_[static_cast<std::size_t>(network_.any(kEngines))];
    const duties::StageOrder order{engine.id, engine.address, engine.stage, *fence, engine.orders_accepted};
    order_link(machine).send(
        order, actor_of(machine),
        [this, machine, fence] { return node(machine)->duty_partitions()->may_act_under(kStages, *fence); },
        [](duties::OrderOutcome) {});
}

std::optional<MachineNumber> ControlWorld::duty_holder() const {
    for (const MachineNumber machine : control_)
        if (is_live(machine) && node(machine)->duty_partitions()->fence(kStages)) return machine;
    return std::nullopt;
}

// ---- the plan

void ControlWorld::duties_plan() {
    start_engines();
    start_usage();
    run_until([this] { return duty_holder().has_value(); }, kActingWithin);
    // Targets a server that receives repeated orders while the same node keeps holding the duty.
    if (network_.chance(0.4)) {
        for (Engine& engine : engines_)
            if (network_.chance(0.5)) engine.operator_fence = kOperatorFence;
        run_for(kOperatorOrdersFor);
        faults_until_ += kOperatorOrdersFor;
        for (Engine& engine : engines_) engine.operator_fence = 0;
    }
    while (network_.now() < faults_until_) {
        ++counts_.faults;
        move_duties();
        run_for(network_.chance(0.5) ? network_.between(100, 3000) : network_.between(3000, 50'000));
    }
}

void ControlWorld::move_duties() {
    const MachineNumber holder = duty_holder().value_or(any_control());
    const Ticks span = network_.between(2'000, 60'000);
    switch (network_.any(12)) {
    case 0: // stopped one after the other, each restarted soon
    case 1:
        for (int i = 0; i < 3; ++i) {
            // A frozen machine already counts as lost, and no more may be lost.
            if (std::ranges::any_of(control_,
                                    [this](MachineNumber each) { return network_.is_frozen(each); }))
                break;
            const MachineNumber machine = duty_holder().value_or(any_control());
            request_stop(machine);
            network_.schedule(network_.now() + 4'500,
                              [this, machine] { restart(machine, network_.between(500, 2000), false); });
            run_for(network_.between(6'000, 14'000));
        }
        break;
    case 2:
        isolate(holder, true);
        network_.schedule(network_.now() + span, [this, holder] { isolate(holder, false); });
        break;
    case 3: // isolated for just as long as an election takes; the new leader is isolated as well
        isolate(holder, true);
        run_for(network_.between(12'000, 30'000));
        isolate(holder, false);
        if (const auto next = duty_holder()) restart(*next, 20'000, false);
        break;
    case 4:
        record_event("freeze " + std::to_string(holder));
        network_.freeze(holder, network_.now() + span);
        break;
    case 9: // for longer than a lease, often with an order whose connection is being established
    case 10:
        record_event("freeze " + std::to_string(holder));
        network_.freeze(holder, network_.now() + network_.between(45'000, 90'000));
        break;
    case 5:
        restart(holder, network_.between(500, 20'000), network_.chance(0.5));
        break;
    case 6:
        for (const MachineNumber each : control_)
            restart(each, network_.between(1000, 8000), network_.chance(0.7));
        break;
    case 7:
        lose_a_disk();
        break;
    case 8: { // a server restarts at its address while orders are in transit
        const auto number = static_cast<std::size_t>(network_.any(kEngines));
        replace_engine(number);
        break;
    }
    default: { // an operator gives orders under a separate fence
        Engine& engine = engines_[static_cast<std::size_t>(network_.any(kEngines))];
        engine.operator_fence = kOperatorFence;
    }
    }
}

void ControlWorld::check_duties_calm() {
    const bool acts = run_until([this] { return duty_holder().has_value(); }, kActingWithin);
    if (!acts) report_violation("no node acts for a duty after the faults ended");
    const auto holders = std::ranges::count_if(control_, [this](MachineNumber machine) {
        return is_live(machine) && node(machine)->duty_partitions()->fence(kStages).has_value();
    });
    if (holders > 1) report_violation("two nodes act for the same duty");
    check_usage_calm();
}

} // namespace ivyrill::lab
