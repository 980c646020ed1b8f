// Failure detection and membership in virtual time, over a simulated network that loses, delays and
// partitions as each test sets. Run one with `membership_tests NAME`.
#include "fake_host.hpp"
#include "membership/datagram_codec.hpp"
#include "membership/member_list.hpp"

#include <functional>
#include <memory>
#include <queue>
#include <set>

namespace ivyrill::membership {

namespace {

constexpr Ticks kProbeInterval = kTicksPerSecond;

struct World {
    struct InFlight {
        Ticks at;
        std::uint64_t order;
        int to;
        Datagram datagram;
        bool operator>(const InFlight& other) const {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };

    explicit World(int count, double lost = 0) : loss(lost) {
        for (int i = 0; i < count; ++i) members.emplace_back(), start(i);
    }
    static std::string address(int member) { return "10.0.0." + std::to_string(member); }
    static std::string name(int member) { return "n" + std::to_string(member); }

    void start(int member, Incarnation incarnation = 1) {
        MemberListOptions options;
        options.name = name(member), options.address = address(member), options.incarnation = incarnation;
        options.peers = {address(0), address(1)},
        options.seed = static_cast<std::uint64_t>(member) + 1000 * incarnation;
        members[member] = std::make_unique<MemberList>(options, now);
        if (static_cast<std::size_t>(member) < due_times.size()) due_times[member] = 0;
    }
    Ticks due_of(int member) { // cached until the member changes
        due_times.resize(members.size());
        if (due_times[member] == 0) due_times[member] = members[member]->next_step();
        return due_times[member];
    }
    void dispatch(int from, std::vector<Effect> effects) {
        if (static_cast<std::size_t>(from) < due_times.size()) due_times[from] = 0;
        for (Effect& effect : effects) {
            if (auto* changed = std::get_if<MemberChanged>(&effect)) {
                if (changed->state == MemberState::kFailed) ++failures;
                continue;
            }
            auto& sent = std::get<SendDatagram>(effect);
            ++datagrams;
            max_updates = std::max(max_updates, sent.datagram.updates.size());
            const int to = std::stoi(sent.address.substr(7));
            if (rng.unit() < loss || (partition && partition(from, to))) continue;
            in_flight.push(
                {now + 5 + static_cast<Ticks>(rng.unit() * 20), ++order, to, std::move(sent.datagram)});
        }
    }
    void advance(Ticks span) {
        const Ticks end = now + span;
        for (;;) {
            Ticks at = end;
            int turn = -1;
            for (int i = 0; i < static_cast<int>(members.size()); ++i)
                if (members[i] && !stalled.contains(i) && std::max(now, due_of(i)) < at)
                    at = std::max(now, due_of(i)), turn = i;
            if (!in_flight.empty() && in_flight.top().at <= at) {
                const InFlight next_datagram = in_flight.top();
                in_flight.pop();
                now = std::max(now, next_datagram.at);
                if (members[next_datagram.to] && !stalled.contains(next_datagram.to))
                    dispatch(next_datagram.to,
                             members[next_datagram.to]->receive(now, next_datagram.datagram));
                continue;
            }
            now = at;
            if (turn < 0) return;
            dispatch(turn, members[turn]->step(now));
        }
    }
    // Runs until the condition is met or `bound` has passed; returns the elapsed time.
    Ticks advance_until(const std::function<bool()>& condition, Ticks bound) {
        const Ticks begin = now;
        while (!condition() && now < begin + bound) advance(kProbeInterval / 10);
        return now - begin;
    }
    bool all_see(std::size_t count) const {
        return std::ranges::all_of(members, [&](auto& m) { return !m || m->present_count() == count; });
    }

    double loss;
    std::function<bool(int, int)> partition;
    std::set<int> stalled;
    std::vector<std::unique_ptr<MemberList>> members;
    std::vector<Ticks> due_times;
    std::priority_queue<InFlight, std::vector<InFlight>, std::greater<>> in_flight;
    Pcg rng{7};
    Ticks now = kTicksPerSecond;
    std::uint64_t order = 0, datagrams = 0, failures = 0;
    std::size_t max_updates = 0;
};

void members_find_each_other_through_two_peers() {
    World world(40);
    assert(world.advance_until([&] { return world.all_see(40); }, 30 * kProbeInterval) < 30 * kProbeInterval);
    assert(world.failures == 0 && world.max_updates <= 8);
}

void crashed_member_is_detected_by_all() {
    World world(20);
    world.advance(30 * kProbeInterval);
    world.members[7].reset();
    const auto detected = [&] { return world.all_see(19); };
    assert(world.advance_until(detected, 40 * kProbeInterval) < 40 * kProbeInterval);
    assert(world.members[3]->state_of("n7") == MemberState::kFailed);
}

void leaving_member_is_not_declared_failed() {
    World world(20);
    world.advance(30 * kProbeInterval);
    world.dispatch(7, world.members[7]->leave(world.now));
    world.members[7].reset();
    assert(world.advance_until([&] { return world.all_see(19); }, 15 * kProbeInterval) < 15 * kProbeInterval);
    assert(world.failures == 0 && world.members[3]->state_of("n7") == MemberState::kLeft);
}

// 5 % datagram loss for ten minutes: members are suspected and refute it, none is declared failed.
void datagram_loss_causes_no_false_failure() {
    World world(20, 0.05);
    world.advance(30 * kProbeInterval);
    world.advance(600 * kProbeInterval);
    assert(world.all_see(20) && world.failures == 0);
}

// The link between two members fails; indirect probes through the others keep both alive.
void broken_link_between_two_causes_no_false_failure() {
    World world(10);
    world.advance(30 * kProbeInterval);
    world.partition = [](int from, int to) { return (from == 2 && to == 5) || (from == 5 && to == 2); };
    world.advance(300 * kProbeInterval);
    assert(world.failures == 0 && world.all_see(10));
    std::uint64_t indirect_probes = 0;
    for (auto& member : world.members) indirect_probes += member->counts().indirect_probes;
    assert(indirect_probes > 0);
}

// A member whose own links lose half of all datagrams would suspect every member that it probes; it extends
// its timeouts instead.
void member_with_lossy_links_extends_its_timeouts() {
    World world(20);
    world.advance(30 * kProbeInterval);
    const std::uint64_t before = world.members[4]->counts().suspected;
    world.partition = [&world](int from, int to) { return (from == 4 || to == 4) && world.rng.unit() < 0.5; };
    world.advance(300 * kProbeInterval);
    assert(world.members[4]->counts().suspected - before < 50 && world.members[4]->health_score() > 0);
}

// A process stalls for longer than the suspicion timeout. Afterwards it declares no other member failed and
// rejoins.
void stalled_member_suspects_no_other() {
    World world(10);
    world.advance(30 * kProbeInterval);
    world.stalled = {4};
    world.advance(60 * kProbeInterval);
    assert(world.members[0]->state_of("n4") == MemberState::kFailed);
    const std::uint64_t before = world.failures;
    const Incarnation incarnation = world.members[4]->incarnation();
    world.stalled.clear();
    assert(world.advance_until([&] { return world.all_see(10); }, 60 * kProbeInterval) < 60 * kProbeInterval);
    assert(world.failures == before && world.members[4]->counts().stalls >= 1);
    assert(world.members[4]->incarnation() > incarnation);
}

// A partition lasts until each side has declared the other failed; after it heals, the sides reunite.
void healed_partition_reunites() {
    World world(14);
    world.advance(30 * kProbeInterval);
    world.members[0].reset(), world.members[1].reset(); // the configured peers are gone for good
    world.advance(60 * kProbeInterval);
    world.partition = [](int from, int to) { return from % 2 != to % 2; };
    assert(world.advance_until([&] { return world.all_see(6); }, 90 * kProbeInterval) < 90 * kProbeInterval);
    world.partition = {};
    assert(world.advance_until([&] { return world.all_see(12); }, 120 * kProbeInterval) <
           120 * kProbeInterval);
}

// A node that lost its disk restarts with a lower incarnation than the others know; it refutes with a higher
// one.
void restart_with_lower_incarnation_is_refuted() {
    World world(8);
    world.advance(30 * kProbeInterval);
    world.members[5].reset();
    world.start(5, 50);
    assert(world.advance_until([&] { return world.all_see(8); }, 30 * kProbeInterval) < 30 * kProbeInterval);
    world.members[5].reset();
    assert(world.advance_until([&] { return world.all_see(7); }, 60 * kProbeInterval) < 60 * kProbeInterval);
    world.start(5, 2);
    assert(world.advance_until([&] { return world.all_see(8); }, 60 * kProbeInterval) < 60 * kProbeInterval);
    assert(world.members[5]->incarnation() > 50);
}

void duplicate_names_do_not_raise_incarnations() {
    World world(5);
    world.advance(30 * kProbeInterval);
    MemberListOptions options;
    options.name = "n3", options.address = World::address(5), options.peers = {World::address(0)},
    options.seed = 99;
    options.incarnation = 2;
    world.members.push_back(std::make_unique<MemberList>(options, world.now));
    world.advance(60 * kProbeInterval);
    assert(world.members[3]->counts().name_conflicts > 0 && world.members[5]->incarnation() == 2);
    assert(world.members[3]->incarnation() == 1 && world.members[0]->present_count() == 5);
}

// The traffic of each member does not grow with the size of the group.
void traffic_per_member_is_independent_of_group_size() {
    double per_member[2];
    for (const int count : {10, 100}) {
        World world(count);
        world.advance(60 * kProbeInterval);
        const std::uint64_t before = world.datagrams;
        world.advance(60 * kProbeInterval);
        per_member[count == 100] = static_cast<double>(world.datagrams - before) / count / 60;
    }
    assert(per_member[1] < 1.5 * per_member[0] && per_member[1] < 3);
}

void member_table_is_bounded() {
    MemberListOptions options;
    options.name = "n", options.address = "10.0.0.1", options.max_members = 20;
    MemberList member_list(options, 1);
    for (int i = 0; i < 1000; ++i) // many names, all absent but the first ten
        member_list.receive(2, {DatagramKind::kAck,
                                "x",
                                "10.0.0.2",
                                0,
                                {},
                                {{"m" + std::to_string(i), "10.0.0.3", 1,
                                  i < 10 ? MemberState::kAlive : MemberState::kFailed}}});
    for (int i = 0; i < 30; ++i)
        member_list.receive(
            3, {DatagramKind::kAck, "x", "10.0.0.2", 0, {}, {{"new" + std::to_string(i), "10.0.0.4", 1}}});
    assert(member_list.present_count() == 21 && member_list.state_of("m0") == MemberState::kAlive);
    assert(member_list.counts().table_full == 20);
}

const std::string kSecret = "a secret of more than thirty-two bytes";

Datagram make_datagram(std::size_t updates = 8) {
    Datagram datagram{DatagramKind::kPingRequest, "n1", "10.0.0.1:7", 41, "n2", {}};
    for (std::size_t i = 0; i < updates; ++i)
        datagram.updates.push_back({std::string(50, 'm') + std::to_string(i), std::string(50, 'a'), i + 1,
                                    i % 2 == 0 ? MemberState::kAlive : MemberState::kSuspect});
    return datagram;
}

void datagram_round_trip() {
    DatagramCodec codec(kSecret);
    const auto bytes = codec.encode(make_datagram());
    const auto read = codec.decode(*bytes);
    assert(read && read->kind == DatagramKind::kPingRequest && read->from == "n1" && read->serial == 41);
    assert(read->target == "n2" && read->updates.size() == 8 && read->updates[3].incarnation == 4);
    assert(read->updates[3].state == MemberState::kSuspect && bytes->size() <= kMaxDatagramBytes);
    const auto truncated = codec.encode(make_datagram(40)); // updates beyond the size limit are left out
    assert(truncated->size() <= kMaxDatagramBytes && codec.decode(*truncated)->updates.size() >= 8);
}

// Datagrams with a flipped bit, a missing end or another secret's MAC are dropped and counted, never parsed.
void unauthenticated_datagrams_are_counted_and_dropped() {
    DatagramCodec codec(kSecret), other("another secret, quite as long as that one");
    const std::string bytes = *codec.encode(make_datagram(1));
    std::uint64_t dropped = 0;
    for (std::size_t i = 0; i < bytes.size(); ++i, dropped += 2) {
        std::string changed = bytes;
        changed[i] = static_cast<char>(changed[i] ^ 1);
        assert(!codec.decode(changed) && !codec.decode(bytes.substr(0, i)));
    }
    assert(!other.decode(bytes) && other.counts().unauthenticated == 1);
    assert(!codec.decode(std::string(kMaxDatagramBytes + 1, 'x')) && codec.counts().too_long == 1);
    assert(codec.counts().unauthenticated == dropped && codec.counts().accepted == 0);
}

// A faulty member with the right secret: an incarnation that cannot be exceeded would block its name for
// good.
void authenticated_malformed_datagrams_are_rejected() {
    DatagramCodec codec(kSecret);
    Datagram wrong = make_datagram(1);
    wrong.updates[0].incarnation = ~std::uint64_t{0};
    assert(!codec.decode(*codec.encode(wrong)));
    wrong.updates[0].incarnation = 1, wrong.updates[0].state = static_cast<MemberState>(9);
    assert(!codec.decode(*codec.encode(wrong)) && codec.counts().malformed == 2);
    wrong.from = std::string(kMaxNameBytes + 1, 'x');
    assert(!codec.encode(wrong));
}

const Test kTests[] = {
    TEST(members_find_each_other_through_two_peers),
    TEST(crashed_member_is_detected_by_all),
    TEST(leaving_member_is_not_declared_failed),
    TEST(datagram_loss_causes_no_false_failure),
    TEST(broken_link_between_two_causes_no_false_failure),
    TEST(member_with_lossy_links_extends_its_timeouts),
    TEST(stalled_member_suspects_no_other),
    TEST(healed_partition_reunites),
    TEST(restart_with_lower_incarnation_is_refuted),
    TEST(duplicate_names_do_not_raise_incarnations),
    TEST(traffic_per_member_is_independent_of_group_size),
    TEST(member_table_is_bounded),
    TEST(datagram_round_trip),
    TEST(unauthenticated_datagrams_are_counted_and_dropped),
    TEST(authenticated_malformed_datagrams_are_rejected),
};

} // namespace

} // namespace ivyrill::membership

int main(int count, char** arguments) {
    return ivyrill::run_test(ivyrill::membership::kTests, count, arguments);
}
