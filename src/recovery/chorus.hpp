// What the other front nodes say: kept for as long as it is worth something, summed up as hearsay of sites
// and as the demand of the whole fleet. A front node that hears nobody falls back to the number that it last
// knew: it takes itself for one of so many. Free of I/O.
#pragma once
#include "recovery/watch.hpp"
#include "recovery/words.hpp"

namespace ivyrill::recovery {

struct ChorusTerms {
    std::string self;
    SiteName home;
    Tenths gap = kTenthsPerSecond; // between two words of one front node
    int stated_nodes = 1;          // by the settings
};

class Chorus {
  public:
    explicit Chorus(ChorusTerms terms) : terms_(std::move(terms)) {}

    void hear(Tenths now, SiteWord word);
    // Members that are there, ourselves left out; and those that are surely gone.
    void present(Tenths now, const std::set<std::string>& names);
    // False where it says nothing new.
    bool order(Tenths wall, const OperatorOrder& order);

    std::map<SiteName, Hearsay> hearsay(Tenths now) const;
    // Of all front nodes: ours, and for the others the mean of what is heard, times their number.
    Demand demand(Tenths now, const Demand& own) const;
    double rate(Tenths now, double own) const;
    std::map<SiteName, double> origins(Tenths now) const; // share of the front nodes at each site
    // Front nodes that are there, ourselves among them: heard of now, or last known.
    int nodes() const { return nodes_; }
    bool alone() const { return others_.empty(); }
    std::size_t heard(Tenths now) const;
    const OperatorOrder* order_for(const SiteName& site, Tenths wall) const;
    std::vector<OperatorOrder> orders(Tenths wall) const; // that are still told
    struct Other {
        SiteWord word;
        Tenths at = 0;
    };
    const std::map<std::string, Other>& others() const { return words_; }

  private:
    bool fresh(const Other& other, Tenths now, int gaps) const { return now <= other.at + gaps * terms_.gap; }

    static constexpr int kHearsayLife = 2, kDemandLife = 20; // gaps
    static constexpr std::size_t kMostWords = 512, kMostOrders = 64;
    static constexpr Tenths kOrderLife = 3600 * kTenthsPerSecond; // of a release, so that all hear of it

    ChorusTerms terms_;
    std::map<std::string, Other> words_;
    std::set<std::string> others_;
    std::map<SiteName, OperatorOrder> orders_;
    int nodes_ = 1;
    bool met_ = false; // somebody, once
};

} // namespace ivyrill::recovery
