#include "recovery/site_report.hpp"

#include <nlohmann/json.hpp>

#include <cmath>
#include <stdexcept>

namespace ivyrill::recovery {

namespace {

using Json = nlohmann::json;
constexpr std::size_t kMaxRows = 256, kMaxTextBytes = 128;
constexpr double kMaxRate = 1e9;

std::string read_text(const Json& value) {
    std::string text = value.get<std::string>();
    if (text.size() > kMaxTextBytes) throw std::out_of_range("text is too long");
    return text;
}

double read_rate(const Json& value) {
    const auto rate = value.get<double>();
    if (!std::isfinite(rate) || rate < 0 || rate > kMaxRate) throw std::out_of_range("rate is out of range");
    return rate;
}

const Json& read_rows(const Json& value) {
    if (!value.is_array() || value.size() > kMaxRows) throw std::out_of_range("rows are missing or too many");
    return value;
}

double rounded(double rate) { return std::round(rate * 100) / 100; }

} // namespace

const char* name_of(SiteOverride::Kind kind) {
    static constexpr const char* kNames[] = {"none", "lost", "kept out"};
    return kNames[static_cast<std::size_t>(kind)];
}

std::string encode_site_report(const SiteReport& report) {
    Json rows = Json::array(), classes = Json::array(), shards = Json::array(), overrides = Json::array();
    for (const auto& row : report.rows)
        rows.push_back(
            {row.site, static_cast<unsigned>(row.state), row.answers, row.silent, rounded(row.share)});
    for (const auto& [key, row] : report.demand.rows)
        classes.push_back({key.first, key.second, rounded(row.searches), rounded(row.parts)});
    for (const auto& [shard, share] : report.demand.shards) shards.push_back({shard, rounded(share)});
    for (const auto& site_override : report.overrides)
        overrides.push_back({site_override.site, static_cast<unsigned>(site_override.kind),
                             site_override.stamp, site_override.until, site_override.by, site_override.why});
    const auto bytes = Json::to_cbor(Json::array({report.from, report.home_site, report.serial, rows, classes,
                                                  shards, rounded(report.answer_rate), overrides}));
    return {bytes.begin(), bytes.end()};
}

std::optional<SiteReport> decode_site_report(std::string_view bytes) {
    try {
        const Json message = Json::from_cbor(bytes.begin(), bytes.end());
        SiteReport report;
        report.from = read_text(message.at(0)), report.home_site = read_text(message.at(1)),
        report.serial = message.at(2).get<std::uint64_t>();
        for (const Json& row : read_rows(message.at(3))) {
            const auto state = row.at(1).get<unsigned>();
            if (state > static_cast<unsigned>(SiteState::kRampingUp)) return {};
            const double share = read_rate(row.at(4));
            report.rows.push_back({read_text(row.at(0)), static_cast<SiteState>(state), row.at(2).get<bool>(),
                                   row.at(3).get<bool>(), std::min(1.0, share)});
        }
        for (const Json& row : read_rows(message.at(4)))
            report.demand.rows[{read_text(row.at(0)), read_text(row.at(1))}] = {read_rate(row.at(2)),
                                                                                read_rate(row.at(3))};
        for (const Json& row : read_rows(message.at(5)))
            report.demand.shards[row.at(0).get<int>()] = read_rate(row.at(1));
        report.answer_rate = read_rate(message.at(6));
        for (const Json& row : read_rows(message.at(7))) {
            const auto kind = row.at(1).get<unsigned>();
            if (kind > static_cast<unsigned>(SiteOverride::Kind::kKeptOut)) return {};
            report.overrides.push_back({read_text(row.at(0)), static_cast<SiteOverride::Kind>(kind),
                                        row.at(2).get<std::uint64_t>(), row.at(3).get<Ticks>(),
                                        read_text(row.at(4)), read_text(row.at(5))});
        }
        return report;
    } catch (const std::exception&) { return {}; }
}

} // namespace ivyrill::recovery
