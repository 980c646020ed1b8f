// Copies of the instance table merge to equal contents in any order, and their digests show whether they are
// equal.
#define BOOST_TEST_MODULE instance_table
#include "base/pcg.hpp"
#include "feed/instance_table.hpp"

#include <algorithm>
#include <boost/test/included/unit_test.hpp>

namespace {

using namespace ivyrill;
using feed::InstanceTable;
using model::Instance;
using model::InstanceState;

// Record from a server's heartbeat with that number; equal on every node that received it.
Instance heartbeat_record(const std::string& id, std::uint64_t revision,
                          InstanceState state = InstanceState::kServing) {
    Instance record;
    record.id = id, record.service = "model", record.address = "10.0.0.1:80";
    record.software_version = "v" + std::to_string(revision);
    record.revision = revision, record.state = state;
    return record;
}

// Record from a node that was notified of the departure and had not known the server.
Instance departure_record(const std::string& id) {
    Instance record;
    record.id = id, record.state = InstanceState::kGone, record.revision = model::kFinalRevision;
    return record;
}

std::string id_of(std::uint64_t number) { return "i-" + std::to_string(number); }

std::vector<Instance> random_records(Pcg& random) {
    std::vector<Instance> records;
    for (int i = 0; i < 12; ++i) {
        const std::string id = id_of(random.next() % 4);
        const auto state = static_cast<InstanceState>(random.next() % 4);
        records.push_back(random.next() % 8 == 0 ? departure_record(id)
                                                 : heartbeat_record(id, random.next() % 5, state));
    }
    return records;
}

void shuffle(std::vector<Instance>& records, Pcg& random) {
    for (std::size_t i = records.size(); i > 1; --i) std::swap(records[i - 1], records[random.next() % i]);
}

// For instances that are gone only the state and the revision are compared; nothing else of them is used.
std::vector<Instance> comparable(const InstanceTable& table) {
    std::vector<Instance> records;
    for (const auto& [id, record] : table.records())
        records.push_back(record.state != InstanceState::kGone
                              ? record
                              : heartbeat_record(id, record.revision, record.state));
    return records;
}

std::vector<Instance> live(const InstanceTable& table) {
    std::vector<Instance> records = comparable(table);
    std::erase_if(records, [](const Instance& record) { return record.state == InstanceState::kGone; });
    return records;
}

} // namespace

BOOST_AUTO_TEST_CASE(merge_is_commutative_and_idempotent) {
    Pcg random(21);
    for (int round = 0; round < 2000; ++round) {
        std::vector<Instance> records = random_records(random);
        InstanceTable one, other;
        for (const Instance& record : records) one.merge(record, 0);
        shuffle(records, random);
        for (const Instance& record : records) {
            other.merge(record, 0);
            BOOST_REQUIRE(!other.merge(record, 0)); // a repeated record changes nothing
        }
        BOOST_REQUIRE((comparable(one) == comparable(other)));
        for (const Instance& record : records) BOOST_REQUIRE(!one.merge(record, 0));
        BOOST_REQUIRE((one.digests().ranges == other.digests().ranges));
    }
}

BOOST_AUTO_TEST_CASE(digests_are_equal_exactly_if_the_live_records_are) {
    Pcg random(22);
    int same = 0, different = 0;
    for (int round = 0; round < 4000; ++round) {
        InstanceTable one, other;
        for (const Instance& record : random_records(random)) {
            if (random.next() % 8 != 0) one.merge(record, 0);
            if (random.next() % 8 != 0) other.merge(record, 0);
        }
        const bool equal = live(one) == live(other);
        BOOST_REQUIRE((one.digests().ranges == other.digests().ranges) == equal);
        ++(equal ? same : different);
    }
    BOOST_TEST((same > 100 && different > 100)); // both cases occurred
}

BOOST_AUTO_TEST_CASE(exchanging_differing_ranges_makes_copies_equal) {
    Pcg random(23);
    for (int round = 0; round < 300; ++round) {
        InstanceTable one, other;
        for (std::uint64_t i = 0; i < 60; ++i) {
            const Instance record = heartbeat_record(id_of(i), random.next() % 3);
            if (random.next() % 8 != 0) one.merge(record, 0);
            if (random.next() % 8 != 0) other.merge(record, 0);
        }
        const auto ranges = InstanceTable::differing_ranges(one.digests(), other.digests());
        BOOST_TEST((ranges == InstanceTable::differing_ranges(other.digests(), one.digests())));
        const auto mine = one.records_in_ranges(ranges), theirs = other.records_in_ranges(ranges);
        for (const Instance& record : theirs) one.merge(record, 0);
        for (const Instance& record : mine) other.merge(record, 0);
        BOOST_REQUIRE((one.records() == other.records()));
        BOOST_REQUIRE(InstanceTable::differing_ranges(one.digests(), other.digests()).empty());
    }
}

BOOST_AUTO_TEST_CASE(digests_of_different_sizes_differ_only_in_used_ranges) {
    InstanceTable table;
    BOOST_TEST(InstanceTable::differing_ranges(table.digests(), {}).empty());
    table.merge(heartbeat_record("i-1", 1), 0);
    const auto ranges = InstanceTable::differing_ranges(table.digests(), {});
    BOOST_REQUIRE(ranges.size() == 1U);
    BOOST_TEST(ranges[0] == InstanceTable::range_of("i-1"));
    feed::Digests longer = table.digests();
    longer.ranges.push_back(7);
    BOOST_TEST(InstanceTable::differing_ranges(table.digests(), longer).empty());
}

BOOST_AUTO_TEST_CASE(instance_that_announced_its_departure_stays_gone) {
    for (const Instance& departure : {departure_record("i-1"), [] {
                                          Instance known = heartbeat_record("i-1", model::kFinalRevision,
                                                                            InstanceState::kGone);
                                          return known;
                                      }()}) {
        InstanceTable table;
        table.merge(heartbeat_record("i-1", 3), 0);
        BOOST_TEST(table.merge(departure, 0));
        for (const std::uint64_t revision : {0ULL, 3ULL, 4ULL, 1000ULL}) {
            BOOST_TEST(!table.merge(heartbeat_record("i-1", revision), 0), "revision " << revision);
            BOOST_TEST((table.find("i-1")->state == InstanceState::kGone));
        }
        BOOST_TEST(table.find("i-1")->service == "model"); // the owner is derived from the service
    }
}

BOOST_AUTO_TEST_CASE(silent_instance_returns_with_a_newer_heartbeat_only) {
    for (const InstanceState state : {InstanceState::kSilent, InstanceState::kGone}) {
        InstanceTable table;
        table.merge(heartbeat_record("i-1", 3), 0);
        BOOST_TEST(table.merge(heartbeat_record("i-1", 3, state), 0));
        BOOST_TEST(!table.merge(heartbeat_record("i-1", 3), 0));
        BOOST_TEST(!table.merge(heartbeat_record("i-1", 2), 0));
        BOOST_TEST((table.find("i-1")->state == state));
        BOOST_TEST(table.merge(heartbeat_record("i-1", 4), 0));
        BOOST_TEST((table.find("i-1")->state == InstanceState::kServing));
        // It no longer counts as gone, so it does not expire.
        BOOST_TEST(table.remove_expired(1, 1000).empty());
    }
}

BOOST_AUTO_TEST_CASE(gone_instances_expire_after_the_first_notice) {
    InstanceTable table;
    table.merge(heartbeat_record("i-1", 1, InstanceState::kGone), 100);
    table.merge(departure_record("i-1"), 150);
    table.merge(heartbeat_record("i-2", 1), 0);
    BOOST_TEST(table.remove_expired(100, 199).empty());
    BOOST_TEST((table.remove_expired(100, 200) == std::vector<std::string>{"i-1"}));
    BOOST_TEST(table.find("i-1") == nullptr);
    BOOST_TEST(table.find("i-2") != nullptr);
    table.forget("i-2");
    BOOST_TEST(table.records().empty());
}
