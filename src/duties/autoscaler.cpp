#include "duties/autoscaler.hpp"

#include <algorithm>
#include <cmath>

namespace ivyrill::duties {

namespace {

using model::Stage;

namespace statistics = boost::accumulators;

constexpr std::size_t kLooks = 4;         // that a mean is of, and that are wanted before a change
constexpr int kShortLooks = 6;            // one after the other that say that servers are short
constexpr int kVeryShortLooks = 2;        // ... or very short
constexpr double kReadersWellUsed = 0.6;  // use of readers that are as many as are needed
constexpr double kRunnersWellUsed = 0.35; // ... of runners: above what the StageController leaves them
constexpr double kShortShare = 1.25;      // needed of those that serve: from here on servers are short
constexpr double kVeryShortShare = 1.5;   // ... and very short
constexpr double kMostGrowth = 0.5;       // of those that serve, in one step
constexpr double kIdleAfter = 0.5;        // needed of those left, at the most, where servers go
constexpr double kIdleWithoutZone = 0.8;  // ... where the zone with the most of them is lost as well
constexpr double kRequestsAfter = 0.6;    // a server's requests after it, of those when servers were short
constexpr Tenths kSettleSpan = 3 * kTenthsPerSecond; // after new servers serve: memory is cold, means are old
constexpr Tenths kCalmSpan = 10 * kTenthsPerSecond;  // without a shortage or a change, before servers go

Tenths tenths_of(double seconds) { return static_cast<Tenths>(seconds * kTenthsPerSecond); }

// Zones in which servers are that were reported on, with how many of them.
std::vector<ZoneServerCount> live_zones(const std::vector<StagedServer>& servers) {
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

std::int64_t sum_of(const std::vector<ZoneServerCount>& zones) {
    std::int64_t sum = 0;
    for (const ZoneServerCount& zone : zones) sum += zone.servers;
    return sum;
}

// Where all are in one zone there is no other to live on.
std::int64_t largest_of(const std::vector<ZoneServerCount>& zones) {
    return zones.size() < 2 ? 0 : std::ranges::max_element(zones, {}, &ZoneServerCount::servers)->servers;
}

// What waits grows faster than use does.
double needed_readers(const StagePool& readers, double use) {
    const double times_well_used = use / kReadersWellUsed;
    return static_cast<double>(readers.count()) *
           std::max(times_well_used, times_well_used * times_well_used);
}

double needed_runners(const StagePool& runners, double use) {
    return static_cast<double>(runners.count()) * use / kRunnersWellUsed;
}

} // namespace

Autoscaler::Autoscaler()
    : reader_use_(statistics::tag::rolling_window::window_size = kLooks),
      runner_use_(statistics::tag::rolling_window::window_size = kLooks),
      requests_(statistics::tag::rolling_window::window_size = kLooks) {}

void Autoscaler::look(const ScalingInput& picture) {
    const StagePool readers = pool_of(picture.servers, Stage::kPrefill);
    const StagePool runners = pool_of(picture.servers, Stage::kDecode);
    reader_use_(utilization_of_prefill(readers, *picture.demand));
    runner_use_(utilization_of_decode(runners, *picture.demand));
    requests_(picture.demand->requests);
    needed_ = needed_readers(readers, statistics::rolling_mean(reader_use_)) +
              needed_runners(runners, statistics::rolling_mean(runner_use_));
}

std::vector<ZoneServerCount> Autoscaler::plan(const ScalingInput& picture, const model::Scaling& scaling,
                                              Tenths now) {
    if (!has_enough_reports(picture.servers) || !picture.demand) {
        looks_ = 0; // what was seen before may be long ago
        return {};
    }
    look(picture);
    const std::vector<ZoneServerCount> zones = live_zones(picture.servers);
    if (!busy_at_ || !can_spare(zones)) busy_at_ = now;
    if (++looks_ < static_cast<int>(kLooks)) return {};
    const double needed_share = needed_ / static_cast<double>(sum_of(zones));
    short_looks_ = needed_share >= kShortShare ? short_looks_ + 1 : 0;
    very_short_looks_ = needed_share >= kVeryShortShare ? very_short_looks_ + 1 : 0;
    const bool is_short = short_looks_ >= kShortLooks || very_short_looks_ >= kVeryShortLooks;
    auto changed = is_short ? grown(picture, zones, scaling, now) : shrunk(picture, zones, scaling, now);
    if (!changed.empty()) changed_at_ = now;
    return changed;
}

// What is missing comes in one step, the same in each zone that lives.
std::vector<ZoneServerCount> Autoscaler::grown(const ScalingInput& picture,
                                               const std::vector<ZoneServerCount>& zones,
                                               const model::Scaling& scaling, Tenths now) {
    if (changed_at_ && now - *changed_at_ < tenths_of(scaling.boot_time_s) + kSettleSpan) return {};
    const auto served = static_cast<double>(sum_of(zones));
    if (!requests_when_short_) requests_when_short_ = statistics::rolling_mean(requests_) / served;
    const double enough = statistics::rolling_mean(requests_) / (kRequestsAfter * *requests_when_short_);
    const double missing = std::min({needed_ - served, kMostGrowth * served, enough - served});
    if (missing <= 0) return {};
    const auto step = static_cast<std::int64_t>(std::ceil(missing / static_cast<double>(zones.size())));
    return changed_by(step, picture, zones, scaling);
}

// Nothing goes while servers are missing: they may be starting, or started anew.
std::vector<ZoneServerCount> Autoscaler::shrunk(const ScalingInput& picture,
                                                const std::vector<ZoneServerCount>& zones,
                                                const model::Scaling& scaling, Tenths now) const {
    const bool is_whole = sum_of(zones) >= sum_of(picture.target_counts);
    const bool has_settled = !changed_at_ || now - *changed_at_ >= kCalmSpan;
    if (!is_whole || !has_settled || now - *busy_at_ < kCalmSpan) return {};
    return changed_by(-1, picture, zones, scaling);
}

// By what the servers report they are hardly used; or each would have much less to do than when they were
// short. The latter counts as well because use hardly falls where more servers read at the same time: for the
// same reason nothing grows beyond it.
bool Autoscaler::can_spare(const std::vector<ZoneServerCount>& zones) const {
    const auto left = static_cast<double>(sum_of(zones)) - static_cast<double>(zones.size());
    const double without_zone = left - static_cast<double>(largest_of(zones));
    if (left < 1) return false;
    const bool is_idle = needed_ <= kIdleAfter * left && needed_ <= kIdleWithoutZone * without_zone;
    const bool is_over = requests_when_short_ &&
                         statistics::rolling_mean(requests_) <= kRequestsAfter * *requests_when_short_ * left;
    return is_idle || is_over;
}

std::vector<ZoneServerCount> Autoscaler::changed_by(std::int64_t step, const ScalingInput& picture,
                                                    const std::vector<ZoneServerCount>& zones,
                                                    const model::Scaling& scaling) {
    std::vector<ZoneServerCount> changed;
    for (const ZoneServerCount& zone : picture.target_counts) {
        if (std::ranges::find(zones, zone.zone, &ZoneServerCount::zone) == zones.end()) continue;
        const std::int64_t wanted = std::clamp(zone.servers + step, scaling.min_count, scaling.max_count);
        const bool goes_the_way = step > 0 ? wanted > zone.servers : wanted < zone.servers;
        if (goes_the_way) changed.push_back({zone.zone, wanted});
    }
    return changed;
}

} // namespace ivyrill::duties
