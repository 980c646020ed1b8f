#include "rota/words.hpp"

#include <cmath>

namespace ivyrill::rota {

namespace words {

namespace {

double number_in(const Json& value) {
    if (!value.is_number()) throw std::out_of_range("no number");
    const double number = value.get<double>();
    if (!std::isfinite(number) || number < 0 || number > 1e15) throw std::out_of_range("no such number");
    return number;
}

} // namespace

std::string text_in(const Json& value) {
    auto text = value.get<std::string>();
    if (text.size() > kMostText) throw std::out_of_range("a text too long");
    return text;
}

std::uint64_t count_in(const Json& value) {
    if (!value.is_number_unsigned()) throw std::out_of_range("no count");
    return value.get<std::uint64_t>();
}

Json row_of(const Facts& facts) {
    return Json::array({facts.name, facts.front_node, facts.zone, facts.shards, facts.power, facts.work});
}

Facts facts_in(const Json& row) {
    if (!row.is_array() || row.size() != 6 || row[3].size() > kMostRows) throw std::out_of_range("no facts");
    Facts facts{text_in(row[0]),   row[1].get<bool>(),
                text_in(row[2]),   {},
                number_in(row[4]), static_cast<Tenths>(number_in(row[5]))};
    for (const auto& shard : row[3]) facts.shards.push_back(static_cast<int>(number_in(shard)));
    return facts;
}

Json row_of(const Limits& l) {
    return Json::array({l.floor, l.zone_share, l.shard_share, l.fleet_share, l.front_share, l.council});
}

Limits limits_in(const Json& row) {
    if (!row.is_array() || row.size() != 6) throw std::out_of_range("no limits");
    return {static_cast<int>(number_in(row[0])),
            number_in(row[1]),
            number_in(row[2]),
            number_in(row[3]),
            number_in(row[4]),
            static_cast<int>(number_in(row[5]))};
}

Json row_of(const Turn& t) {
    return Json::array({t.machine, t.order.value, static_cast<int>(t.state), t.holder, t.fence.value, t.taken,
                        t.stamp, t.hurried, t.withdrawn, t.recalled, t.setbacks, t.handed, t.earliest,
                        t.latest, t.why});
}

Turn turn_in(const Json& row) {
    if (!row.is_array() || row.size() != 15) throw std::out_of_range("no turn");
    const std::uint64_t state = count_in(row[2]);
    if (state > static_cast<std::uint64_t>(TurnState::kGivenUp)) throw std::out_of_range("no state");
    return {text_in(row[0]),
            {count_in(row[1])},
            static_cast<TurnState>(state),
            text_in(row[3]),
            {count_in(row[4])},
            row[5].get<bool>(),
            count_in(row[6]),
            row[7].get<bool>(),
            row[8].get<bool>(),
            row[9].get<bool>(),
            static_cast<int>(number_in(row[10])),
            static_cast<int>(number_in(row[11])),
            static_cast<Tenths>(number_in(row[12])),
            static_cast<Tenths>(number_in(row[13])),
            text_in(row[14])};
}

std::string pack(const Json& row) {
    const auto packed = Json::to_cbor(row);
    return {packed.begin(), packed.end()};
}

} // namespace words

namespace {

using words::count_in;
using words::Json;
using words::text_in;

Json row_of(const Survey& c) {
    Json fleet = Json::array();
    for (const Facts& facts : c.fleet) fleet.push_back(words::row_of(facts));
    return Json::array({words::row_of(c.limits), fleet, c.voters});
}
Json row_of(const Add& c) {
    return Json::array({c.request, c.asked_by, c.note, c.machines, c.earliest, c.latest});
}
Json row_of(const Withdraw& c) { return Json::array({c.request, c.machine, c.why}); }
Json row_of(const Hold& c) { return Json::array({c.request, c.why}); }
Json row_of(const Resume& c) { return Json::array({c.request}); }
Json row_of(const Hurry& c) { return Json::array({c.request, c.machine}); }
Json row_of(const Grant& c) { return Json::array({c.machine, c.holder, c.before.value, c.down, c.wall}); }
Json row_of(const Take& c) { return Json::array({c.machine, c.holder, c.fence.value, c.stamp}); }
Json row_of(const Move& c) {
    return Json::array({c.machine, c.fence.value, static_cast<int>(c.to), c.why, c.undone});
}
Json row_of(const Lapse& c) { return Json::array({c.machine, c.fence.value}); }
Json row_of(const Recall& c) { return Json::array({c.machine, c.fence.value, c.why}); }

Tenths time_in(const Json& value) { return static_cast<Tenths>(count_in(value) & ~(1ULL << 63U)); }

Command command_in(std::uint64_t kind, const Json& row) {
    const auto fence = [&](std::size_t at) { return Fence{count_in(row.at(at))}; };
    switch (kind) {
    case 0: {
        Survey made{words::limits_in(row.at(0)), {}, words::texts_in<std::set<std::string>>(row.at(2))};
        if (!row.at(1).is_array() || row[1].size() > words::kMostRows) throw std::out_of_range("no fleet");
        for (const auto& facts : row[1]) made.fleet.push_back(words::facts_in(facts));
        return made;
    }
    case 1:
        return Add{text_in(row.at(0)), text_in(row.at(1)),
                   text_in(row.at(2)), words::texts_in<std::vector<std::string>>(row.at(3)),
                   time_in(row.at(4)), time_in(row.at(5))};
    case 2:
        return Withdraw{text_in(row.at(0)), text_in(row.at(1)), text_in(row.at(2))};
    case 3:
        return Hold{text_in(row.at(0)), text_in(row.at(1))};
    case 4:
        return Resume{text_in(row.at(0))};
    case 5:
        return Hurry{text_in(row.at(0)), text_in(row.at(1))};
    case 6:
        return Grant{text_in(row.at(0)), text_in(row.at(1)), fence(2),
                     words::texts_in<std::set<std::string>>(row.at(3)), time_in(row.at(4))};
    case 7:
        return Take{text_in(row.at(0)), text_in(row.at(1)), fence(2), count_in(row.at(3))};
    case 8: {
        const std::uint64_t to = count_in(row.at(2));
        if (to > static_cast<std::uint64_t>(TurnState::kGivenUp)) throw std::out_of_range("no state");
        return Move{text_in(row.at(0)), fence(1), static_cast<TurnState>(to), text_in(row.at(3)),
                    row.at(4).get<bool>()};
    }
    case 9:
        return Lapse{text_in(row.at(0)), fence(1)};
    case 10:
        return Recall{text_in(row.at(0)), fence(1), text_in(row.at(2))};
    default:
        throw std::out_of_range("no such command");
    }
}

} // namespace

std::string encode(const Command& command) {
    const Json row = std::visit([](const auto& what) { return row_of(what); }, command);
    return words::pack(Json::array({command.index(), row}));
}

std::optional<Command> decode(std::string_view bytes) {
    return words::unpacked<Command>(
        bytes, [](const Json& row) { return command_in(count_in(row.at(0)), row.at(1)); });
}

std::string as_words(const Command& command) {
    static constexpr const char* kNames[] = {"survey", "add",  "withdraw", "hold",  "resume", "hurry",
                                             "grant",  "take", "move",     "lapse", "recall"};
    const Json row = std::visit([](const auto& what) { return row_of(what); }, command);
    return std::string(kNames[command.index()]) + " " +
           (std::holds_alternative<Survey>(command) ? std::to_string(row[1].size()) + " machines"
                                                    : row.dump());
}

} // namespace ivyrill::rota
