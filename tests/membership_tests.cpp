// Members in virtual time, over a network that loses, delays and cuts as a test says. `membership_tests
// NAME`.
#include "fake_host.hpp"
#include "membership/datagram_codec.hpp"
#include "membership/member_list.hpp"

#include <functional>
#include <memory>
#include <queue>
#include <set>

namespace ivyrill::membership {

namespace {

constexpr Tenths kGap = kTenthsPerSecond;

struct World {
    struct Flight {
        Tenths at;
        std::uint64_t order;
        int to;
        Datagram datagram;
        bool operator>(const Flight& other) const {
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
        if (static_cast<std::size_t>(member) < dues.size()) dues[member] = 0;
    }
    Tenths due_of(int member) { // asked once after each change
        dues.resize(members.size());
        if (dues[member] == 0) dues[member] = members[member]->next_step();
        return dues[member];
    }
    void carry(int from, std::vector<Effect> effects) {
        if (static_cast<std::size_t>(from) < dues.size()) dues[from] = 0;
        for (Effect& effect : effects) {
            if (auto* changed = std::get_if<MemberChanged>(&effect)) {
                if (changed->state == MemberState::kFailed) ++failures;
                continue;
            }
            auto& sent = std::get<SendDatagram>(effect);
            ++datagrams;
            max_updates = std::max(max_updates, sent.datagram.updates.size());
            const int to = std::stoi(sent.address.substr(7));
            if (chance.unit() < loss || (cut && cut(from, to))) continue;
            flights.push(
                {now + 5 + static_cast<Tenths>(chance.unit() * 20), ++order, to, std::move(sent.datagram)});
        }
    }
    void pass(Tenths span) {
        const Tenths end = now + span;
        for (;;) {
            Tenths at = end;
            int turn = -1;
            for (int i = 0; i < static_cast<int>(members.size()); ++i)
                if (members[i] && !stalled.contains(i) && std::max(now, due_of(i)) < at)
                    at = std::max(now, due_of(i)), turn = i;
            if (!flights.empty() && flights.top().at <= at) {
                const Flight flight = flights.top();
                flights.pop();
                now = std::max(now, flight.at);
                if (members[flight.to] && !stalled.contains(flight.to))
                    carry(flight.to, members[flight.to]->receive(now, flight.datagram));
                continue;
            }
            now = at;
            if (turn < 0) return;
            carry(turn, members[turn]->step(now));
        }
    }
    // Passes until that holds, and says how long it took; the bound is the test's.
    Tenths until(const std::function<bool()>& holds, Tenths bound) {
        const Tenths begun = now;
        while (!holds() && now < begun + bound) pass(kGap / 10);
        return now - begun;
    }
    bool all_see(std::size_t count) const {
        return std::ranges::all_of(members, [&](auto& m) { return !m || m->present_count() == count; });
    }

    double loss;
    std::function<bool(int, int)> cut;
    std::set<int> stalled;
    std::vector<std::unique_ptr<MemberList>> members;
    std::vector<Tenths> dues;
    std::priority_queue<Flight, std::vector<Flight>, std::greater<>> flights;
    Pcg chance{7};
    Tenths now = kTenthsPerSecond;
    std::uint64_t order = 0, datagrams = 0, failures = 0;
    std::size_t max_updates = 0;
};

void all_find_each_other_by_two_peers() {
    World world(40);
    assert(world.until([&] { return world.all_see(40); }, 30 * kGap) < 30 * kGap);
    assert(world.failures == 0 && world.max_updates <= 8);
}

void one_that_dies_is_found_by_all() {
    World world(20);
    world.pass(30 * kGap);
    world.members[7].reset();
    const auto found = [&] { return world.all_see(19); };
    assert(world.until(found, 40 * kGap) < 40 * kGap);
    assert(world.members[3]->state_of("n7") == MemberState::kFailed);
}

void one_that_leaves_has_not_failed() {
    World world(20);
    world.pass(30 * kGap);
    world.carry(7, world.members[7]->leave(world.now));
    world.members[7].reset();
    assert(world.until([&] { return world.all_see(19); }, 15 * kGap) < 15 * kGap);
    assert(world.failures == 0 && world.members[3]->state_of("n7") == MemberState::kLeft);
}

// Every twentieth datagram is lost for ten minutes: suspicions come and are refuted, nobody is declared
// failed.
void lost_datagrams_fail_nobody() {
    World world(20, 0.05);
    world.pass(30 * kGap);
    world.pass(600 * kGap);
    assert(world.all_see(20) && world.failures == 0);
}

// The link between two is dead; the others probe in their place.
void dead_link_between_two_fails_nobody() {
    World world(10);
    world.pass(30 * kGap);
    world.cut = [](int from, int to) { return (from == 2 && to == 5) || (from == 5 && to == 2); };
    world.pass(300 * kGap);
    assert(world.failures == 0 && world.all_see(10));
    std::uint64_t helped = 0;
    for (auto& member : world.members) helped += member->counts().indirect_probes;
    assert(helped > 0);
}

// A member whose own links lose half of everything would suspect whomever it probes; it grows patient
// instead.
void one_that_hears_badly_blames_itself() {
    World world(20);
    world.pass(30 * kGap);
    const std::uint64_t before = world.members[4]->counts().suspected;
    world.cut = [&world](int from, int to) { return (from == 4 || to == 4) && world.chance.unit() < 0.5; };
    world.pass(300 * kGap);
    assert(world.members[4]->counts().suspected - before < 50 && world.members[4]->health_score() > 0);
}

// A process stands still for longer than a suspicion lasts. Awake again it takes nobody for failed, and is
// taken back.
void one_that_stalled_doubts_itself_first() {
    World world(10);
    world.pass(30 * kGap);
    world.stalled = {4};
    world.pass(60 * kGap);
    assert(world.members[0]->state_of("n4") == MemberState::kFailed);
    const std::uint64_t before = world.failures;
    const Incarnation incarnation = world.members[4]->incarnation();
    world.stalled.clear();
    assert(world.until([&] { return world.all_see(10); }, 60 * kGap) < 60 * kGap);
    assert(world.failures == before && world.members[4]->counts().stalls >= 1);
    assert(world.members[4]->incarnation() > incarnation);
}

// A cut lasts until each half has given the other up; they find together again by themselves.
void two_halves_find_together_again() {
    World world(14);
    world.pass(30 * kGap);
    world.members[0].reset(), world.members[1].reset(); // those that the file names are gone for good
    world.pass(60 * kGap);
    world.cut = [](int from, int to) { return from % 2 != to % 2; };
    assert(world.until([&] { return world.all_see(6); }, 90 * kGap) < 90 * kGap);
    world.cut = {};
    assert(world.until([&] { return world.all_see(12); }, 120 * kGap) < 120 * kGap);
}

// A node that lost its disk comes back in an earlier life than the others remember: it outbids what they say.
void old_life_is_outbid() {
    World world(8);
    world.pass(30 * kGap);
    world.members[5].reset();
    world.start(5, 50);
    assert(world.until([&] { return world.all_see(8); }, 30 * kGap) < 30 * kGap);
    world.members[5].reset();
    assert(world.until([&] { return world.all_see(7); }, 60 * kGap) < 60 * kGap);
    world.start(5, 2);
    assert(world.until([&] { return world.all_see(8); }, 60 * kGap) < 60 * kGap);
    assert(world.members[5]->incarnation() > 50);
}

void two_with_one_name_do_not_outbid_each_other() {
    World world(5);
    world.pass(30 * kGap);
    MemberListOptions options;
    options.name = "n3", options.address = World::address(5), options.peers = {World::address(0)},
    options.seed = 99;
    options.incarnation = 2;
    world.members.push_back(std::make_unique<MemberList>(options, world.now));
    world.pass(60 * kGap);
    assert(world.members[3]->counts().name_conflicts > 0 && world.members[5]->incarnation() == 2);
    assert(world.members[3]->incarnation() == 1 && world.members[0]->present_count() == 5);
}

// What each sends does not grow with the number of members.
void traffic_of_one_does_not_grow_with_all() {
    double each[2];
    for (const int count : {10, 100}) {
        World world(count);
        world.pass(60 * kGap);
        const std::uint64_t before = world.datagrams;
        world.pass(60 * kGap);
        each[count == 100] = static_cast<double>(world.datagrams - before) / count / 60;
    }
    assert(each[1] < 1.5 * each[0] && each[1] < 3);
}

void what_is_known_has_a_bound() {
    MemberListOptions options;
    options.name = "n", options.address = "10.0.0.1", options.max_members = 20;
    MemberList member_list(options, 1);
    for (int i = 0; i < 1000; ++i) // as many names as anybody likes, all gone but the first ten
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

Datagram some_datagram(std::size_t updates = 8) {
    Datagram datagram{DatagramKind::kPingRequest, "n1", "10.0.0.1:7", 41, "n2", {}};
    for (std::size_t i = 0; i < updates; ++i)
        datagram.updates.push_back({std::string(50, 'm') + std::to_string(i), std::string(50, 'a'), i + 1,
                                    i % 2 == 0 ? MemberState::kAlive : MemberState::kSuspect});
    return datagram;
}

void sealed_datagram_is_read_as_it_was() {
    DatagramCodec codec(kSecret);
    const auto bytes = codec.encode(some_datagram());
    const auto read = codec.decode(*bytes);
    assert(read && read->kind == DatagramKind::kPingRequest && read->from == "n1" && read->serial == 41);
    assert(read->target == "n2" && read->updates.size() == 8 && read->updates[3].incarnation == 4);
    assert(read->updates[3].state == MemberState::kSuspect && bytes->size() <= kMaxDatagramBytes);
    const auto crowded = codec.encode(some_datagram(40)); // what finds no room is left out
    assert(crowded->size() <= kMaxDatagramBytes && codec.decode(*crowded)->updates.size() >= 8);
}

// Any bit changed on the way, a piece cut off, another secret: dropped and counted, never read.
void strangers_are_counted_and_dropped() {
    DatagramCodec codec(kSecret), other("another secret, quite as long as that one");
    const std::string bytes = *codec.encode(some_datagram(1));
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

// One that holds the secret and has gone wrong: a life that none could outbid would shut its name out for
// ever.
void sealed_nonsense_is_spoilt() {
    DatagramCodec codec(kSecret);
    Datagram wrong = some_datagram(1);
    wrong.updates[0].incarnation = ~std::uint64_t{0};
    assert(!codec.decode(*codec.encode(wrong)));
    wrong.updates[0].incarnation = 1, wrong.updates[0].state = static_cast<MemberState>(9);
    assert(!codec.decode(*codec.encode(wrong)) && codec.counts().malformed == 2);
    wrong.from = std::string(kMaxNameBytes + 1, 'x');
    assert(!codec.encode(wrong));
}

const Test kTests[] = {
    TEST(all_find_each_other_by_two_peers),
    TEST(one_that_dies_is_found_by_all),
    TEST(one_that_leaves_has_not_failed),
    TEST(lost_datagrams_fail_nobody),
    TEST(dead_link_between_two_fails_nobody),
    TEST(one_that_hears_badly_blames_itself),
    TEST(one_that_stalled_doubts_itself_first),
    TEST(two_halves_find_together_again),
    TEST(old_life_is_outbid),
    TEST(two_with_one_name_do_not_outbid_each_other),
    TEST(traffic_of_one_does_not_grow_with_all),
    TEST(what_is_known_has_a_bound),
    TEST(sealed_datagram_is_read_as_it_was),
    TEST(strangers_are_counted_and_dropped),
    TEST(sealed_nonsense_is_spoilt),
};

} // namespace

} // namespace ivyrill::membership

int main(int count, char** arguments) {
    return ivyrill::run_test(ivyrill::membership::kTests, count, arguments);
}
