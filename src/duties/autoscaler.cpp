#include "duties/autoscaler.hpp"

#include <algorithm>
#include <cmath>

namespace ivyrill::duties {

namespace {

using model::Stage;

namespace statistics = boost::accumulators;

constexpr std::size_t kSamples = 4;  // window of the means, and samples needed before a change
constexpr int kShortSamples = 6;     // consecutive samples that confirm a shortage
constexpr int kVeryShortSamples = 2; // ... or a severe one
// Utilization of correctly sized pools; for decode it is above what the StageController leaves them.
constexpr double kPrefillTargetUtilization = 0.6, kDecodeTargetUtilization = 0.35;
constexpr double kShortShare = 1.25;           // needed to serving servers from which there is a shortage
constexpr double kVeryShortShare = 1.5;        // ... and a severe one
constexpr double kMaxGrowthShare = 0.5;        // of the serving servers, per step
constexpr double kMaxLoadAfterScaleDown = 0.5; // needed to remaining servers, at most, for a scale-down
constexpr double kMaxLoadAfterZoneLoss = 0.8;  // ... with the largest zone lost as well
// Requests per server after a scale-down, relative to those at the shortage.
constexpr double kMaxRequestShareAfterScaleDown = 0.6;
// After new servers start: their caches are cold and the means outdated.
constexpr Ticks kSettleTime = 3 * kTicksPerSecond;
// Without a shortage or a change, before a scale-down.
constexpr Ticks kScaleDownDelay = 10 * kTicksPerSecond;

Ticks to_ticks(double seconds) { return static_cast<Ticks>(seconds * kTicksPerSecond); }

// Zones with servers that report, and the number of those servers.
std::vector<ZoneServerCount> reporting_zones(const std::vector<StagedServer>& servers) {
    std::vector<ZoneServerCount> zones;
    for (const StagedServer& server : servers) {
        if (!server.reported) continue;
        const auto found = std::ranges::find(zones, server.zone, &ZoneServerCount::zone);
        if (found == zones.end())
            zones.push_back({server.zone, 1});
        else
            ++found->servers;
    }
    return zones;
}

std::int64_t total_of(const std::vector<ZoneServerCount>& zones) {
    std::int64_t sum = 0;
    for (const ZoneServerCount& zone : zones) sum += zone.servers;
    return sum;
}

// With a single zone there is no other zone to survive on.
std::int64_t largest_zone_of(const std::vector<ZoneServerCount>& zones) {
    return zones.size() < 2 ? 0 : std::ranges::max_element(zones, {}, &ZoneServerCount::servers)->servers;
}

// Quadratic above the target, because the queue grows faster than the utilization.
double needed_prefill_servers(const StagePool& prefill, double utilization) {
    const double target_ratio = utilization / kPrefillTargetUtilization;
    return static_cast<double>(prefill.count()) * std::max(target_ratio, target_ratio * target_ratio);
}

double needed_decode_servers(const StagePool& decode, double utilization) {
    return static_cast<double>(decode.count()) * utilization / kDecodeTargetUtilization;
}

} // namespace

Autoscaler::Autoscaler()
    : prefill_utilization_(statistics::tag::rolling_window::window_size = kSamples),
      decode_utilization_(statistics::tag::rolling_window::window_size = kSamples),
      request_rate_(statistics::tag::rolling_window::window_size = kSamples) {}

void Autoscaler::sample(const ScalingInput& input) {
    const StagePool prefill = pool_of(input.servers, Stage::kPrefill);
    const StagePool decode = pool_of(input.servers, Stage::kDecode);
    prefill_utilization_(utilization_of_prefill(prefill, *input.demand));
    decode_utilization_(utilization_of_decode(decode, *input.demand));
    request_rate_(input.demand->requests);
    needed_ = needed_prefill_servers(prefill, statistics::rolling_mean(prefill_utilization_)) +
              needed_decode_servers(decode, statistics::rolling_mean(decode_utilization_));
}

std::vector<ZoneServerCount> Autoscaler::plan(const ScalingInput& input, const model::Scaling& scaling,
                                              Ticks now) {
    if (!has_enough_reports(input.servers) || !input.demand) {
        samples_ = 0; // earlier samples may be outdated
        return {};
    }
    sample(input);
    const std::vector<ZoneServerCount> zones = reporting_zones(input.servers);
    if (!busy_at_ || !can_scale_down(zones)) busy_at_ = now;
    if (++samples_ < static_cast<int>(kSamples)) return {};
    const double needed_share = needed_ / static_cast<double>(total_of(zones));
    short_samples_ = needed_share >= kShortShare ? short_samples_ + 1 : 0;
    very_short_samples_ = needed_share >= kVeryShortShare ? very_short_samples_ + 1 : 0;
    const bool is_short = short_samples_ >= kShortSamples || very_short_samples_ >= kVeryShortSamples;
    auto changed = is_short ? scale_up(input, zones, scaling, now) : scale_down(input, zones, scaling, now);
    if (!changed.empty()) changed_at_ = now;
    return changed;
}

// Adds the whole shortfall in one step, the same number in each reporting zone.
std::vector<ZoneServerCount> Autoscaler::scale_up(const ScalingInput& input,
                                                  const std::vector<ZoneServerCount>& zones,
                                                  const model::Scaling& scaling, Ticks now) {
    if (changed_at_ && now - *changed_at_ < to_ticks(scaling.boot_time_s) + kSettleTime) return {};
    const auto serving = static_cast<double>(total_of(zones));
    if (!requests_per_server_when_short_)
        requests_per_server_when_short_ = statistics::rolling_mean(request_rate_) / serving;
    const double enough = statistics::rolling_mean(request_rate_) /
                          (kMaxRequestShareAfterScaleDown * *requests_per_server_when_short_);
    const double missing = std::min({needed_ - serving, kMaxGrowthShare * serving, enough - serving});
    if (missing <= 0) return {};
    const auto step = static_cast<std::int64_t>(std::ceil(missing / static_cast<double>(zones.size())));
    return changed_counts(step, input, zones, scaling);
}

// No scale-down while servers are missing: they may be starting or restarting.
std::vector<ZoneServerCount> Autoscaler::scale_down(const ScalingInput& input,
                                                    const std::vector<ZoneServerCount>& zones,
                                                    const model::Scaling& scaling, Ticks now) const {
    const bool is_complete = total_of(zones) >= total_of(input.target_counts);
    const bool has_settled = !changed_at_ || now - *changed_at_ >= kScaleDownDelay;
    if (!is_complete || !has_settled || now - *busy_at_ < kScaleDownDelay) return {};
    return changed_counts(-1, input, zones, scaling);
}

// Either the servers report low utilization, or each would get far fewer requests than at the shortage. The
// second criterion is needed because utilization hardly falls when more servers prefill at the same time; for
// the same reason scale_up is bounded by it.
bool Autoscaler::can_scale_down(const std::vector<ZoneServerCount>& zones) const {
    const auto left = static_cast<double>(total_of(zones)) - static_cast<double>(zones.size());
    const double without_zone = left - static_cast<double>(largest_zone_of(zones));
    if (left < 1) return false;
    const bool is_idle =
        needed_ <= kMaxLoadAfterScaleDown * left && needed_ <= kMaxLoadAfterZoneLoss * without_zone;
    const bool is_over = requests_per_server_when_short_ &&
                         statistics::rolling_mean(request_rate_) <=
                             kMaxRequestShareAfterScaleDown * *requests_per_server_when_short_ * left;
    return is_idle || is_over;
}

std::vector<ZoneServerCount> Autoscaler::changed_counts(std::int64_t step, const ScalingInput& input,
                                                        const std::vector<ZoneServerCount>& zones,
                                                        const model::Scaling& scaling) {
    std::vector<ZoneServerCount> changed;
    for (const ZoneServerCount& zone : input.target_counts) {
        if (std::ranges::find(zones, zone.zone, &ZoneServerCount::zone) == zones.end()) continue;
        const std::int64_t wanted = std::clamp(zone.servers + step, scaling.min_count, scaling.max_count);
        const bool changes = step > 0 ? wanted > zone.servers : wanted < zone.servers;
        if (changes) changed.push_back({zone.zone, wanted});
    }
    return changed;
}

} // namespace ivyrill::duties
