#include "recovery/triage.hpp"

#include <algorithm>
#include <limits>

namespace ivyrill::recovery {

namespace {

constexpr double kSlack = 1e-9, kAlike = 0.01;
constexpr int kRounds = 16;
constexpr double kSkip =
    0.25; // share of a class's searches that may touch shards which are fuller than the rest

struct Class {
    ClassKey key;
    const RequestClassFacts* facts = nullptr;
    double searches = 0, parts = 1, utility = 0;
    double admitted = 0, weight = 1;
    std::set<int> without; // shards whose parts it leaves out
    bool impossible = false;
    double density() const { return utility / std::max(parts, kSlack); }
};

class Sorting {
  public:
    explicit Sorting(const TriageTerms& terms) : terms_(terms), left_(terms.room) {
        for (const auto& [shard, share] : terms.demand.shards) all_ += share;
        for (const auto& [key, row] : terms.demand.rows) {
            const auto facts = terms.request_classes.find(key.first);
            if (facts == terms.request_classes.end() || row.searches <= 0) continue;
            Class one{key, &facts->second, row.searches, row.parts, facts->second.utility, 0, 1, {}, false};
            const bool partial = facts->second.floor < facts->second.need;
            // What nobody holds is missing from every answer.
            double gone = 0;
            for (const auto& [shard, share] : terms.demand.shards)
                if (!terms.room.contains(shard)) gone += weight_of(shard), one.without.insert(shard);
            one.weight = 1 - gone;
            one.impossible = gone > kSlack && (!partial || one.weight + kSlack < facts->second.floor);
            classes_.push_back(std::move(one));
        }
        std::ranges::stable_sort(classes_,
                                 [](const Class& a, const Class& b) { return a.density() > b.density(); });
    }

    Triage sorted() {
        keep_shares();
        take_best();
        for (Class& one : classes_) trim(one);
        return sum_up();
    }

  private:
    double weight_of(int shard) const {
        const auto found = terms_.demand.shards.find(shard);
        return found == terms_.demand.shards.end() || all_ <= 0 ? 0 : found->second / all_;
    }
    double use(const Class& one, int shard) const { // parts a second, were all of it let in
        return one.without.contains(shard) ? 0 : one.searches * one.parts * weight_of(shard);
    }
    // Lets in more of it, up to that share of its searches, as far as its shards have room. Where a search
    // touches few of many shards, the fullest few say nothing of most searches: who asks for those is the
    // module's to refuse.
    void take(Class& one, double up_to) {
        if (one.impossible || one.admitted >= up_to) return;
        std::vector<std::pair<double, double>> ratios; // of room to use, and weight
        for (const auto& [shard, room] : left_)
            if (const double each = use(one, shard); each > kSlack)
                ratios.emplace_back(std::max(0.0, room) / each, weight_of(shard));
        std::ranges::sort(ratios);
        double more = up_to - one.admitted, skipped = 0;
        const double skip = kSkip / std::max(1.0, one.parts);
        for (const auto& [ratio, weight] : ratios) {
            skipped += weight;
            if (skipped <= skip) continue;
            more = std::min(more, ratio);
            break;
        }
        for (auto& [shard, room] : left_) room -= more * use(one, shard);
        one.admitted += more;
    }
    // Each tenant with a share keeps it, in the measure of what is left, its best classes first. All grow
    // together, lest the first one finds a shard empty and the last one full.
    void keep_shares() {
        double wanted = 0, room = 0;
        for (const Class& one : classes_) wanted += one.searches * one.parts;
        for (const auto& [shard, rate] : terms_.room) room += rate;
        const double measure = wanted > 0 ? std::min(1.0, room / wanted) : 1;
        for (int round = 1; round <= kRounds; ++round)
            for (const auto& [tenant, quota] : terms_.quotas) {
                double asked = 0;
                for (const Class& one : classes_)
                    if (one.key.second == tenant) asked += one.searches;
                double own = std::min(asked, quota) * measure * round / kRounds;
                for (Class& one : classes_) {
                    if (one.key.second != tenant || own <= 0) continue;
                    take(one, std::min(1.0, own / one.searches));
                    own -= one.admitted * one.searches;
                }
            }
    }
    // The rest by utility for each part; those that pay alike grow together.
    void take_best() {
        for (auto first = classes_.begin(); first != classes_.end();) {
            const auto last = std::find_if(first, classes_.end(), [&](const Class& one) {
                return one.density() < first->density() * (1 - kAlike);
            });
            for (int round = 1; round <= kRounds; ++round)
                for (auto one = first; one != last; ++one) take(*one, static_cast<double>(round) / kRounds);
            first = last;
        }
    }
    // What is left of a request class that may be answered in part goes without the shards in most need: all
    // of its searches then, as an answer is the same whoever asks.
    void trim(Class& one) {
        const double floor = one.facts->floor;
        if (one.impossible || one.admitted >= 1 - kSlack || floor >= one.facts->need) return;
        std::vector<int> order;
        for (const auto& [shard, room] : left_)
            if (use(one, shard) > kSlack) order.push_back(shard);
        const auto need = [&](int shard) { return left_.at(shard) / use(one, shard); };
        std::ranges::stable_sort(order, [&](int a, int b) { return need(a) < need(b); });
        Class trial = one;
        for (const int shard : order) {
            if (trial.weight - weight_of(shard) + kSlack < floor) break;
            if (need(shard) >= 1 - one.admitted) break; // there is room for it
            trial.without.insert(shard), trial.weight -= weight_of(shard);
        }
        if (trial.without.size() == one.without.size()) return;
        // What its searches had taken there is free again.
        for (const int shard : trial.without)
            if (left_.contains(shard)) left_[shard] += one.admitted * use(one, shard);
        take(trial, 1);
        if (trial.admitted * trial.weight <= one.admitted * one.weight + kSlack) { // it gained nothing by it
            for (auto& [shard, room] : left_)
                room += trial.admitted * use(trial, shard) - one.admitted * use(one, shard);
            return;
        }
        one = std::move(trial);
    }
    Triage sum_up() const {
        Triage made;
        std::map<int, double> asked;
        for (const Class& one : classes_) {
            made.verdicts[one.key] = {one.impossible ? 0 : std::clamp(one.admitted, 0.0, 1.0),
                                      std::clamp(one.weight, 0.0, 1.0), one.impossible};
            made.most_utility += one.searches * one.utility;
            made.utility += one.impossible ? 0 : one.searches * one.utility * one.admitted * one.weight;
            for (const auto& [shard, share] : terms_.demand.shards) {
                made.served[shard] += one.impossible ? 0 : one.admitted * use(one, shard);
                asked[shard] += one.searches * one.parts * weight_of(shard);
            }
        }
        for (auto& [shard, rate] : made.served)
            rate = asked[shard] > 0 ? std::min(1.0, rate / asked[shard]) : 1;
        return made;
    }

    const TriageTerms& terms_;
    std::map<int, double> left_;
    std::vector<Class> classes_;
    double all_ = 0;
};

} // namespace

Triage triage(const TriageTerms& terms) { return Sorting(terms).sorted(); }

} // namespace ivyrill::recovery
