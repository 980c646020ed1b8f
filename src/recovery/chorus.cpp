#include "recovery/chorus.hpp"

#include <algorithm>

namespace ivyrill::recovery {

void Chorus::hear(Tenths now, SiteWord word) {
    if (word.from == terms_.self || word.from.empty()) return;
    if (words_.size() >= kMostWords && !words_.contains(word.from)) return;
    Other& other = words_[word.from];
    // Doubled or late: an older word of the same life says nothing any more.
    if (other.at != 0 && word.serial <= other.word.serial && fresh(other, now, kDemandLife)) return;
    other = {std::move(word), now};
}

void Chorus::present(Tenths now, const std::set<std::string>& names) {
    others_ = names;
    if (!names.empty()) met_ = true;
    // One that hears nobody any more may be the one that is cut off: it keeps the number that it knew.
    if (!names.empty() || !met_)
        nodes_ = met_ ? static_cast<int>(names.size()) + 1 : std::max(1, terms_.stated_nodes);
    std::erase_if(words_, [&](const auto& held) {
        return !fresh(held.second, now, kDemandLife) || !names.contains(held.first);
    });
}

std::size_t Chorus::heard(Tenths now) const {
    return static_cast<std::size_t>(std::ranges::count_if(
        words_, [&](const auto& held) { return fresh(held.second, now, kHearsayLife); }));
}

std::map<SiteName, Hearsay> Chorus::hearsay(Tenths now) const {
    std::map<SiteName, Hearsay> made;
    for (const auto& [name, other] : words_) {
        if (!fresh(other, now, kHearsayLife)) continue;
        for (const auto& row : other.word.rows) {
            // A site says nothing against its own loss: its front nodes may be cut off along with it.
            if (other.word.home == row.site) continue;
            Hearsay& sum = made[row.site];
            if (row.answers) ++sum.reach;
            if (row.silent && !row.answers) ++sum.miss;
            if (row.state == SiteState::kWarming) sum.returning = true;
        }
    }
    return made;
}

double Chorus::rate(Tenths now, double own) const {
    double sum = 0, count = 0;
    for (const auto& [name, other] : words_)
        if (fresh(other, now, kDemandLife)) sum += other.word.rate, ++count;
    return own + (count > 0 ? sum / count : own) * (nodes_ - 1);
}

Demand Chorus::demand(Tenths now, const Demand& own) const {
    struct Sum {
        double searches = 0, parts = 0;
    };
    std::map<ClassKey, Sum> sums;
    std::map<int, double> shards;
    double count = 0;
    const auto add = [](auto& into, auto& per_shard, const Demand& more, double scale) {
        double parts = 0, all = 0;
        for (const auto& [key, row] : more.rows) {
            into[key].searches += scale * row.searches, into[key].parts += scale * row.searches * row.parts;
            parts += row.searches * row.parts;
        }
        for (const auto& [shard, share] : more.shards) all += share;
        for (const auto& [shard, share] : more.shards)
            per_shard[shard] += all > 0 ? scale * parts * share / all : 0;
    };
    std::map<ClassKey, Sum> theirs;
    std::map<int, double> their_shards;
    for (const auto& [name, other] : words_) {
        if (!fresh(other, now, kDemandLife)) continue;
        add(theirs, their_shards, other.word.demand, 1);
        ++count;
    }
    add(sums, shards, own, 1);
    const double scale = nodes_ - 1;
    if (count > 0) {
        for (const auto& [key, sum] : theirs)
            sums[key].searches += sum.searches / count * scale, sums[key].parts += sum.parts / count * scale;
        for (const auto& [shard, rate] : their_shards) shards[shard] += rate / count * scale;
    } else {
        add(sums, shards, own, scale);
    }
    Demand made;
    for (const auto& [key, sum] : sums)
        if (sum.searches > 0) made.rows[key] = {sum.searches, sum.parts / sum.searches};
    double all = 0;
    for (const auto& [shard, rate] : shards) all += rate;
    for (const auto& [shard, rate] : shards) made.shards[shard] = all > 0 ? rate / all : 0;
    return made;
}

std::map<SiteName, double> Chorus::origins(Tenths now) const {
    std::map<SiteName, double> made;
    if (!terms_.home.empty()) made[terms_.home] += 1;
    for (const auto& [name, other] : words_)
        if (fresh(other, now, kDemandLife) && !other.word.home.empty()) made[other.word.home] += 1;
    double sum = 0;
    for (const auto& [site, count] : made) sum += count;
    for (auto& [site, count] : made) count /= sum;
    return made;
}

bool Chorus::order(Tenths wall, const OperatorOrder& order) {
    if (order.site.empty() || (order.kind != OperatorOrder::Kind::kNone && order.until <= wall)) return false;
    const auto known = orders_.find(order.site);
    if (known == orders_.end() && orders_.size() >= kMostOrders) return false;
    if (known != orders_.end() && known->second.stamp >= order.stamp) return false;
    orders_[order.site] = order;
    return true;
}

const OperatorOrder* Chorus::order_for(const SiteName& site, Tenths wall) const {
    const auto found = orders_.find(site);
    if (found == orders_.end() || found->second.kind == OperatorOrder::Kind::kNone) return nullptr;
    return found->second.until > wall ? &found->second : nullptr;
}

std::vector<OperatorOrder> Chorus::orders(Tenths wall) const {
    std::vector<OperatorOrder> made;
    for (const auto& [site, order] : orders_)
        if (order.kind == OperatorOrder::Kind::kNone ? wall < order.until + kOrderLife : wall < order.until)
            made.push_back(order);
    return made;
}

} // namespace ivyrill::recovery
