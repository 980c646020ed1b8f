#include "recovery/words.hpp"

#include <nlohmann/json.hpp>

#include <cmath>
#include <stdexcept>

namespace ivyrill::recovery {

namespace {

using Json = nlohmann::json;
constexpr std::size_t kMostRows = 256, kMostText = 128;
constexpr double kMostRate = 1e9;

std::string text_in(const Json& value) {
    std::string text = value.get<std::string>();
    if (text.size() > kMostText) throw std::out_of_range("too long");
    return text;
}

double rate_in(const Json& value) {
    const auto rate = value.get<double>();
    if (!std::isfinite(rate) || rate < 0 || rate > kMostRate) throw std::out_of_range("no rate");
    return rate;
}

const Json& rows_in(const Json& value) {
    if (!value.is_array() || value.size() > kMostRows) throw std::out_of_range("no rows");
    return value;
}

double rounded(double rate) { return std::round(rate * 100) / 100; }

} // namespace

const char* word_of(OperatorOrder::Kind kind) {
    static constexpr const char* kWords[] = {"none", "lost", "kept out"};
    return kWords[static_cast<std::size_t>(kind)];
}

std::string encode(const SiteWord& word) {
    Json rows = Json::array(), classes = Json::array(), shards = Json::array(), orders = Json::array();
    for (const auto& row : word.rows)
        rows.push_back(
            {row.site, static_cast<unsigned>(row.state), row.answers, row.silent, rounded(row.share)});
    for (const auto& [key, row] : word.demand.rows)
        classes.push_back({key.first, key.second, rounded(row.searches), rounded(row.parts)});
    for (const auto& [shard, share] : word.demand.shards) shards.push_back({shard, rounded(share)});
    for (const auto& order : word.orders)
        orders.push_back(
            {order.site, static_cast<unsigned>(order.kind), order.stamp, order.until, order.by, order.why});
    const auto bytes = Json::to_cbor(
        Json::array({word.from, word.home, word.serial, rows, classes, shards, rounded(word.rate), orders}));
    return {bytes.begin(), bytes.end()};
}

std::optional<SiteWord> decode_word(std::string_view bytes) {
    try {
        const Json all = Json::from_cbor(bytes.begin(), bytes.end());
        SiteWord made;
        made.from = text_in(all.at(0)), made.home = text_in(all.at(1)),
        made.serial = all.at(2).get<std::uint64_t>();
        for (const Json& row : rows_in(all.at(3))) {
            const auto state = row.at(1).get<unsigned>();
            if (state > static_cast<unsigned>(SiteState::kWarming)) return {};
            const double share = rate_in(row.at(4));
            made.rows.push_back({text_in(row.at(0)), static_cast<SiteState>(state), row.at(2).get<bool>(),
                                 row.at(3).get<bool>(), std::min(1.0, share)});
        }
        for (const Json& row : rows_in(all.at(4)))
            made.demand.rows[{text_in(row.at(0)), text_in(row.at(1))}] = {rate_in(row.at(2)),
                                                                          rate_in(row.at(3))};
        for (const Json& row : rows_in(all.at(5)))
            made.demand.shards[row.at(0).get<int>()] = rate_in(row.at(1));
        made.rate = rate_in(all.at(6));
        for (const Json& row : rows_in(all.at(7))) {
            const auto kind = row.at(1).get<unsigned>();
            if (kind > static_cast<unsigned>(OperatorOrder::Kind::kKeptOut)) return {};
            made.orders.push_back({text_in(row.at(0)), static_cast<OperatorOrder::Kind>(kind),
                                   row.at(2).get<std::uint64_t>(), row.at(3).get<Tenths>(),
                                   text_in(row.at(4)), text_in(row.at(5))});
        }
        return made;
    } catch (const std::exception&) { return {}; }
}

} // namespace ivyrill::recovery
