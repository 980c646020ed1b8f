#include "maintenance/codec.hpp"

#include <cmath>

namespace ivyrill::maintenance {

namespace codec {

namespace {

double number_in(const Json& value) {
    if (!value.is_number()) throw std::out_of_range("no number");
    const double number = value.get<double>();
    if (!std::isfinite(number) || number < 0 || number > 1e15) throw std::out_of_range("no such number");
    return number;
}

} // namespace

std::string decode_text(const Json& value) {
    auto text = value.get<std::string>();
    if (text.size() > kMaxTextBytes) throw std::out_of_range("a text too long");
    return text;
}

std::uint64_t decode_count(const Json& value) {
    if (!value.is_number_unsigned()) throw std::out_of_range("no count");
    return value.get<std::uint64_t>();
}

Json encode_row(const MachineFacts& facts) {
    return Json::array(
        {facts.name, facts.front_node, facts.zone, facts.shards, facts.capacity, facts.duration});
}

MachineFacts decode_machine(const Json& row) {
    if (!row.is_array() || row.size() != 6 || row[3].size() > kMaxRows) throw std::out_of_range("no facts");
    MachineFacts facts{decode_text(row[0]), row[1].get<bool>(),
                       decode_text(row[2]), {},
                       number_in(row[4]),   static_cast<Tenths>(number_in(row[5]))};
    for (const auto& shard : row[3]) facts.shards.push_back(static_cast<int>(number_in(shard)));
    return facts;
}

Json encode_row(const Limits& l) {
    return Json::array(
        {l.min_replicas, l.zone_share, l.shard_share, l.fleet_share, l.front_share, l.voter_count});
}

Limits decode_limits(const Json& row) {
    if (!row.is_array() || row.size() != 6) throw std::out_of_range("no limits");
    return {static_cast<int>(number_in(row[0])),
            number_in(row[1]),
            number_in(row[2]),
            number_in(row[3]),
            number_in(row[4]),
            static_cast<int>(number_in(row[5]))};
}

Json encode_row(const MaintenanceJob& t) {
    return Json::array({t.machine, t.order.value, static_cast<int>(t.state), t.holder, t.fence.value,
                        t.lease_confirmed, t.holder_time, t.prioritized, t.withdrawn, t.recalled, t.setbacks,
                        t.lease_expiries, t.earliest, t.latest, t.reason});
}

MaintenanceJob decode_job(const Json& row) {
    if (!row.is_array() || row.size() != 15) throw std::out_of_range("no turn");
    const std::uint64_t state = decode_count(row[2]);
    if (state > static_cast<std::uint64_t>(JobState::kGivenUp)) throw std::out_of_range("no state");
    return {decode_text(row[0]),
            {decode_count(row[1])},
            static_cast<JobState>(state),
            decode_text(row[3]),
            {decode_count(row[4])},
            row[5].get<bool>(),
            decode_count(row[6]),
            row[7].get<bool>(),
            row[8].get<bool>(),
            row[9].get<bool>(),
            static_cast<int>(number_in(row[10])),
            static_cast<int>(number_in(row[11])),
            static_cast<Tenths>(number_in(row[12])),
            static_cast<Tenths>(number_in(row[13])),
            decode_text(row[14])};
}

std::string pack_cbor(const Json& row) {
    const auto packed = Json::to_cbor(row);
    return {packed.begin(), packed.end()};
}

} // namespace codec

namespace {

using codec::decode_count;
using codec::decode_text;
using codec::Json;

Json encode_row(const UpdateFleet& c) {
    Json fleet = Json::array();
    for (const MachineFacts& facts : c.fleet) fleet.push_back(codec::encode_row(facts));
    return Json::array({codec::encode_row(c.limits), fleet, c.voters});
}
Json encode_row(const AddJobs& c) {
    return Json::array({c.request, c.requested_by, c.note, c.machines, c.earliest, c.latest});
}
Json encode_row(const WithdrawJob& c) { return Json::array({c.request, c.machine, c.reason}); }
Json encode_row(const HoldSchedule& c) { return Json::array({c.request, c.reason}); }
Json encode_row(const ResumeSchedule& c) { return Json::array({c.request}); }
Json encode_row(const PrioritizeJob& c) { return Json::array({c.request, c.machine}); }
Json encode_row(const GrantLease& c) {
    return Json::array({c.machine, c.holder, c.previous_fence.value, c.down, c.wall_time});
}
Json encode_row(const ConfirmLease& c) {
    return Json::array({c.machine, c.holder, c.fence.value, c.holder_time});
}
Json encode_row(const AdvanceJob& c) {
    return Json::array({c.machine, c.fence.value, static_cast<int>(c.to), c.reason, c.incomplete});
}
Json encode_row(const ExpireLease& c) { return Json::array({c.machine, c.fence.value}); }
Json encode_row(const RecallJob& c) { return Json::array({c.machine, c.fence.value, c.reason}); }

Tenths time_in(const Json& value) { return static_cast<Tenths>(decode_count(value) & ~(1ULL << 63U)); }

Command command_in(std::uint64_t kind, const Json& row) {
    const auto fence = [&](std::size_t at) { return FencingToken{decode_count(row.at(at))}; };
    switch (kind) {
    case 0: {
        UpdateFleet made{
            codec::decode_limits(row.at(0)), {}, codec::decode_texts<std::set<std::string>>(row.at(2))};
        if (!row.at(1).is_array() || row[1].size() > codec::kMaxRows) throw std::out_of_range("no fleet");
        for (const auto& facts : row[1]) made.fleet.push_back(codec::decode_machine(facts));
        return made;
    }
    case 1:
        return AddJobs{decode_text(row.at(0)), decode_text(row.at(1)),
                       decode_text(row.at(2)), codec::decode_texts<std::vector<std::string>>(row.at(3)),
                       time_in(row.at(4)),     time_in(row.at(5))};
    case 2:
        return WithdrawJob{decode_text(row.at(0)), decode_text(row.at(1)), decode_text(row.at(2))};
    case 3:
        return HoldSchedule{decode_text(row.at(0)), decode_text(row.at(1))};
    case 4:
        return ResumeSchedule{decode_text(row.at(0))};
    case 5:
        return PrioritizeJob{decode_text(row.at(0)), decode_text(row.at(1))};
    case 6:
        return GrantLease{decode_text(row.at(0)), decode_text(row.at(1)), fence(2),
                          codec::decode_texts<std::set<std::string>>(row.at(3)), time_in(row.at(4))};
    case 7:
        return ConfirmLease{decode_text(row.at(0)), decode_text(row.at(1)), fence(2),
                            decode_count(row.at(3))};
    case 8: {
        const std::uint64_t to = decode_count(row.at(2));
        if (to > static_cast<std::uint64_t>(JobState::kGivenUp)) throw std::out_of_range("no state");
        return AdvanceJob{decode_text(row.at(0)), fence(1), static_cast<JobState>(to), decode_text(row.at(3)),
                          row.at(4).get<bool>()};
    }
    case 9:
        return ExpireLease{decode_text(row.at(0)), fence(1)};
    case 10:
        return RecallJob{decode_text(row.at(0)), fence(1), decode_text(row.at(2))};
    default:
        throw std::out_of_range("no such command");
    }
}

} // namespace

std::string encode(const Command& command) {
    const Json row = std::visit([](const auto& what) { return encode_row(what); }, command);
    return codec::pack_cbor(Json::array({command.index(), row}));
}

std::optional<Command> decode(std::string_view bytes) {
    return codec::unpack_cbor<Command>(
        bytes, [](const Json& row) { return command_in(decode_count(row.at(0)), row.at(1)); });
}

std::string describe(const Command& command) {
    static constexpr const char* kNames[] = {"survey", "add",  "withdraw", "hold",  "resume", "hurry",
                                             "grant",  "take", "move",     "lapse", "recall"};
    const Json row = std::visit([](const auto& what) { return encode_row(what); }, command);
    return std::string(kNames[command.index()]) + " " +
           (std::holds_alternative<UpdateFleet>(command) ? std::to_string(row[1].size()) + " machines"
                                                         : row.dump());
}

} // namespace ivyrill::maintenance
