#include "maintenance/codec.hpp"

#include <cmath>

namespace ivyrill::maintenance {

namespace codec {

namespace {

double decode_number(const Json& value) {
    if (!value.is_number()) throw std::out_of_range("expected a number");
    const double number = value.get<double>();
    if (!std::isfinite(number) || number < 0 || number > 1e15)
        throw std::out_of_range("the number is out of range");
    return number;
}

} // namespace

std::string decode_text(const Json& value) {
    auto text = value.get<std::string>();
    if (text.size() > kMaxTextBytes) throw std::out_of_range("the text is too long");
    return text;
}

std::uint64_t decode_count(const Json& value) {
    if (!value.is_number_unsigned()) throw std::out_of_range("expected an unsigned integer");
    return value.get<std::uint64_t>();
}

Json encode_row(const MachineFacts& facts) {
    return Json::array(
        {facts.name, facts.front_node, facts.zone, facts.shards, facts.capacity, facts.duration});
}

MachineFacts decode_machine(const Json& row) {
    if (!row.is_array() || row.size() != 6 || row[3].size() > kMaxRows)
        throw std::out_of_range("the machine is malformed");
    MachineFacts facts{decode_text(row[0]),   row[1].get<bool>(),
                       decode_text(row[2]),   {},
                       decode_number(row[4]), static_cast<Ticks>(decode_number(row[5]))};
    for (const auto& shard : row[3]) facts.shards.push_back(static_cast<int>(decode_number(shard)));
    return facts;
}

Json encode_row(const Limits& limits) {
    return Json::array({limits.min_replicas, limits.zone_share, limits.shard_share, limits.fleet_share,
                        limits.front_share, limits.voter_count});
}

Limits decode_limits(const Json& row) {
    if (!row.is_array() || row.size() != 6) throw std::out_of_range("the limits are malformed");
    return {static_cast<int>(decode_number(row[0])),
            decode_number(row[1]),
            decode_number(row[2]),
            decode_number(row[3]),
            decode_number(row[4]),
            static_cast<int>(decode_number(row[5]))};
}

Json encode_row(const MaintenanceJob& job) {
    return Json::array({job.machine, job.order.value, static_cast<int>(job.state), job.holder,
                        job.fence.value, job.lease_confirmed, job.holder_time, job.prioritized, job.withdrawn,
                        job.recalled, job.setbacks, job.lease_expiries, job.earliest, job.latest,
                        job.reason});
}

MaintenanceJob decode_job(const Json& row) {
    if (!row.is_array() || row.size() != 15) throw std::out_of_range("the job is malformed");
    const std::uint64_t state = decode_count(row[2]);
    if (state > static_cast<std::uint64_t>(JobState::kGivenUp)) throw std::out_of_range("unknown job state");
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
            static_cast<int>(decode_number(row[10])),
            static_cast<int>(decode_number(row[11])),
            static_cast<Ticks>(decode_number(row[12])),
            static_cast<Ticks>(decode_number(row[13])),
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

Json encode_row(const UpdateFleet& command) {
    Json fleet = Json::array();
    for (const MachineFacts& facts : command.fleet) fleet.push_back(codec::encode_row(facts));
    return Json::array({codec::encode_row(command.limits), fleet, command.voters});
}
Json encode_row(const AddJobs& command) {
    return Json::array({command.request, command.requested_by, command.note, command.machines,
                        command.earliest, command.latest});
}
Json encode_row(const WithdrawJob& command) {
    return Json::array({command.request, command.machine, command.reason});
}
Json encode_row(const HoldSchedule& command) { return Json::array({command.request, command.reason}); }
Json encode_row(const ResumeSchedule& command) { return Json::array({command.request}); }
Json encode_row(const PrioritizeJob& command) { return Json::array({command.request, command.machine}); }
Json encode_row(const GrantLease& command) {
    return Json::array(
        {command.machine, command.holder, command.previous_fence.value, command.down, command.wall_time});
}
Json encode_row(const ConfirmLease& command) {
    return Json::array({command.machine, command.holder, command.fence.value, command.holder_time});
}
Json encode_row(const AdvanceJob& command) {
    return Json::array({command.machine, command.fence.value, static_cast<int>(command.to), command.reason,
                        command.incomplete});
}
Json encode_row(const ExpireLease& command) { return Json::array({command.machine, command.fence.value}); }
Json encode_row(const RecallJob& command) {
    return Json::array({command.machine, command.fence.value, command.reason});
}

Ticks decode_time(const Json& value) { return static_cast<Ticks>(decode_count(value) & ~(1ULL << 63U)); }

Command decode_command(std::uint64_t kind, const Json& row) {
    const auto fence = [&](std::size_t at) { return FencingToken{decode_count(row.at(at))}; };
    switch (kind) {
    case 0: {
        UpdateFleet update{
            codec::decode_limits(row.at(0)), {}, codec::decode_texts<std::set<std::string>>(row.at(2))};
        if (!row.at(1).is_array() || row[1].size() > codec::kMaxRows)
            throw std::out_of_range("the fleet is malformed");
        for (const auto& facts : row[1]) update.fleet.push_back(codec::decode_machine(facts));
        return update;
    }
    case 1:
        return AddJobs{decode_text(row.at(0)), decode_text(row.at(1)),
                       decode_text(row.at(2)), codec::decode_texts<std::vector<std::string>>(row.at(3)),
                       decode_time(row.at(4)), decode_time(row.at(5))};
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
                          codec::decode_texts<std::set<std::string>>(row.at(3)), decode_time(row.at(4))};
    case 7:
        return ConfirmLease{decode_text(row.at(0)), decode_text(row.at(1)), fence(2),
                            decode_count(row.at(3))};
    case 8: {
        const std::uint64_t to = decode_count(row.at(2));
        if (to > static_cast<std::uint64_t>(JobState::kGivenUp)) throw std::out_of_range("unknown job state");
        return AdvanceJob{decode_text(row.at(0)), fence(1), static_cast<JobState>(to), decode_text(row.at(3)),
                          row.at(4).get<bool>()};
    }
    case 9:
        return ExpireLease{decode_text(row.at(0)), fence(1)};
    case 10:
        return RecallJob{decode_text(row.at(0)), fence(1), decode_text(row.at(2))};
    default:
        throw std::out_of_range("unknown command");
    }
}

} // namespace

std::string encode(const Command& command) {
    const Json row = std::visit([](const auto& value) { return encode_row(value); }, command);
    return codec::pack_cbor(Json::array({command.index(), row}));
}

std::optional<Command> decode(std::string_view bytes) {
    return codec::unpack_cbor<Command>(
        bytes, [](const Json& row) { return decode_command(decode_count(row.at(0)), row.at(1)); });
}

std::string describe(const Command& command) {
    static constexpr const char* kNames[] = {"survey", "add",  "withdraw", "hold",  "resume", "hurry",
                                             "grant",  "take", "move",     "lapse", "recall"};
    const Json row = std::visit([](const auto& value) { return encode_row(value); }, command);
    return std::string(kNames[command.index()]) + " " +
           (std::holds_alternative<UpdateFleet>(command) ? std::to_string(row[1].size()) + " machines"
                                                         : row.dump());
}

} // namespace ivyrill::maintenance
