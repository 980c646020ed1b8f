#include "recovery/load_shedding.hpp"

#include <algorithm>
#include <limits>

namespace ivyrill::recovery {

namespace {

constexpr double kSlack = 1e-9, kSimilarUtility = 0.01;
constexpr int kRounds = 16;
constexpr double kSkippedShare =
    0.25; // of a class's searches that may use shards which are fuller than the others

struct Candidate {
    TrafficClass key;
    const RequestClassInfo* info = nullptr;
    double searches = 0, parts = 1, utility = 0;
    double admitted_share = 0, answer_weight = 1;
    std::set<int> omitted_shards; // whose parts are left out
    bool impossible = false;
    double density() const { return utility / std::max(parts, kSlack); }
};

class SheddingPlanner {
  public:
    explicit SheddingPlanner(const SheddingInput& input)
        : input_(input), remaining_capacity_(input.capacity) {
        for (const auto& [shard, share] : input.demand.shards) total_share_ += share;
        for (const auto& [key, row] : input.demand.rows) {
            const auto info = input.request_classes.find(key.first);
            if (info == input.request_classes.end() || row.searches <= 0) continue;
            Candidate candidate{key, &info->second, row.searches, row.parts, info->second.utility, 0, 1,
                                {},  false};
            const bool partial = info->second.min_answer_weight < info->second.full_answer_weight;
            // Shards without a replica are missing from every answer.
            double lost_weight = 0;
            for (const auto& [shard, share] : input.demand.shards)
                if (!input.capacity.contains(shard))
                    lost_weight += shard_share(shard), candidate.omitted_shards.insert(shard);
            candidate.answer_weight = 1 - lost_weight;
            candidate.impossible = lost_weight > kSlack && (!partial || candidate.answer_weight + kSlack <
                                                                            info->second.min_answer_weight);
            candidates_.push_back(std::move(candidate));
        }
        std::ranges::stable_sort(
            candidates_, [](const Candidate& a, const Candidate& b) { return a.density() > b.density(); });
    }

    SheddingPlan compute() {
        reserve_quotas();
        admit_by_utility();
        for (Candidate& candidate : candidates_) omit_shards(candidate);
        return build_plan();
    }

  private:
    double shard_share(int shard) const {
        const auto found = input_.demand.shards.find(shard);
        return found == input_.demand.shards.end() || total_share_ <= 0 ? 0 : found->second / total_share_;
    }
    double usage(const Candidate& candidate,
                 int shard) const { // parts per second if all its searches were admitted
        return candidate.omitted_shards.contains(shard)
                   ? 0
                   : candidate.searches * candidate.parts * shard_share(shard);
    }
    // Raises the admitted share to `up_to`, as far as the capacity of its shards allows. Where a search uses
    // few of many shards, the fullest shards don't limit most searches: they are skipped here, and the
    // search scheduler rejects the searches that use them.
    void admit(Candidate& candidate, double up_to) {
        if (candidate.impossible || candidate.admitted_share >= up_to) return;
        std::vector<std::pair<double, double>> ratios; // capacity / usage, and share of the shard
        for (const auto& [shard, capacity] : remaining_capacity_)
            if (const double each = usage(candidate, shard); each > kSlack)
                ratios.emplace_back(std::max(0.0, capacity) / each, shard_share(shard));
        std::ranges::sort(ratios);
        double more = up_to - candidate.admitted_share, skipped = 0;
        const double skip = kSkippedShare / std::max(1.0, candidate.parts);
        for (const auto& [ratio, weight] : ratios) {
            skipped += weight;
            if (skipped <= skip) continue;
            more = std::min(more, ratio);
            break;
        }
        for (auto& [shard, capacity] : remaining_capacity_) capacity -= more * usage(candidate, shard);
        candidate.admitted_share += more;
    }
    // Admits each tenant's quota, scaled to the remaining capacity, its classes of highest utility first.
    // Goes in rounds over all tenants so that the first ones don't take all the capacity of a shard.
    void reserve_quotas() {
        double wanted = 0, available = 0;
        for (const Candidate& candidate : candidates_) wanted += candidate.searches * candidate.parts;
        for (const auto& [shard, rate] : input_.capacity) available += rate;
        const double scale = wanted > 0 ? std::min(1.0, available / wanted) : 1;
        for (int round = 1; round <= kRounds; ++round)
            for (const auto& [tenant, quota] : input_.quotas) {
                double asked = 0;
                for (const Candidate& candidate : candidates_)
                    if (candidate.key.second == tenant) asked += candidate.searches;
                double quota_left = std::min(asked, quota) * scale * round / kRounds;
                for (Candidate& candidate : candidates_) {
                    if (candidate.key.second != tenant || quota_left <= 0) continue;
                    admit(candidate, std::min(1.0, quota_left / candidate.searches));
                    quota_left -= candidate.admitted_share * candidate.searches;
                }
            }
    }
    // Admits the rest by utility per part; classes of similar utility are raised together in rounds.
    void admit_by_utility() {
        for (auto first = candidates_.begin(); first != candidates_.end();) {
            const auto last = std::find_if(first, candidates_.end(), [&](const Candidate& candidate) {
                return candidate.density() < first->density() * (1 - kSimilarUtility);
            });
            for (int round = 1; round <= kRounds; ++round)
                for (auto candidate = first; candidate != last; ++candidate)
                    admit(*candidate, static_cast<double>(round) / kRounds);
            first = last;
        }
    }
    // Leaves out the most overloaded shards for a request class that allows partial answers, if this admits
    // more of it. Applies to all its searches.
    void omit_shards(Candidate& candidate) {
        const double min_answer_weight = candidate.info->min_answer_weight;
        if (candidate.impossible || candidate.admitted_share >= 1 - kSlack ||
            min_answer_weight >= candidate.info->full_answer_weight)
            return;
        std::vector<int> most_loaded_first;
        for (const auto& [shard, capacity] : remaining_capacity_)
            if (usage(candidate, shard) > kSlack) most_loaded_first.push_back(shard);
        const auto remaining_share = [&](int shard) {
            return remaining_capacity_.at(shard) / usage(candidate, shard);
        };
        std::ranges::stable_sort(most_loaded_first,
                                 [&](int a, int b) { return remaining_share(a) < remaining_share(b); });
        Candidate trial = candidate;
        for (const int shard : most_loaded_first) {
            if (trial.answer_weight - shard_share(shard) + kSlack < min_answer_weight) break;
            if (remaining_share(shard) >= 1 - candidate.admitted_share) break; // its capacity suffices
            trial.omitted_shards.insert(shard), trial.answer_weight -= shard_share(shard);
        }
        if (trial.omitted_shards.size() == candidate.omitted_shards.size()) return;
        // Returns the capacity used by the omitted parts.
        for (const int shard : trial.omitted_shards)
            if (remaining_capacity_.contains(shard))
                remaining_capacity_[shard] += candidate.admitted_share * usage(candidate, shard);
        admit(trial, 1);
        if (trial.admitted_share * trial.answer_weight <=
            candidate.admitted_share * candidate.answer_weight + kSlack) { // no gain
            for (auto& [shard, capacity] : remaining_capacity_)
                capacity += trial.admitted_share * usage(trial, shard) -
                            candidate.admitted_share * usage(candidate, shard);
            return;
        }
        candidate = std::move(trial);
    }
    SheddingPlan build_plan() const {
        SheddingPlan result;
        std::map<int, double> asked;
        for (const Candidate& candidate : candidates_) {
            result.admissions[candidate.key] = {
                candidate.impossible ? 0 : std::clamp(candidate.admitted_share, 0.0, 1.0),
                std::clamp(candidate.answer_weight, 0.0, 1.0), candidate.impossible};
            result.max_utility += candidate.searches * candidate.utility;
            result.utility += candidate.impossible ? 0
                                                   : candidate.searches * candidate.utility *
                                                         candidate.admitted_share * candidate.answer_weight;
            for (const auto& [shard, share] : input_.demand.shards) {
                result.served_share[shard] +=
                    candidate.impossible ? 0 : candidate.admitted_share * usage(candidate, shard);
                asked[shard] += candidate.searches * candidate.parts * shard_share(shard);
            }
        }
        for (auto& [shard, rate] : result.served_share)
            rate = asked[shard] > 0 ? std::min(1.0, rate / asked[shard]) : 1;
        return result;
    }

    const SheddingInput& input_;
    std::map<int, double> remaining_capacity_;
    std::vector<Candidate> candidates_;
    double total_share_ = 0;
};

} // namespace

SheddingPlan plan_shedding(const SheddingInput& input) { return SheddingPlanner(input).compute(); }

} // namespace ivyrill::recovery
