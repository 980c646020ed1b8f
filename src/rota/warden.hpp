// A front node's side of all this in one object, free of I/O: who is there, the council, the leader's part,
// the holder's part, and the operators' questions. Datagrams, keepers' answers, the list and the time go in;
// datagrams, keepers' acts and lines for the log come out. It runs alike on sockets and in virtual time.
#pragma once
#include "membership/member_list.hpp"
#include "rota/council.hpp"
#include "rota/hand.hpp"
#include "rota/parcels.hpp"
#include "rota/steward.hpp"

#include <nlohmann/json.hpp>

#include <optional>
#include <variant>

namespace ivyrill::rota {

struct Candidate {
    std::string name, address;
};

struct WardenTerms {
    std::string name, address, secret;
    std::vector<std::string> peers;    // addresses; the candidates' are among them in any case
    std::vector<Candidate> candidates; // front nodes with a ledger; none: there is no rota, only members
    std::size_t council = 3;
    Limits limits;
    Spans spans;
    Answers answers;
    Tenths probe_gap = kTenthsPerSecond;
    Tenths heartbeat = kTenthsPerSecond / 10;
    Tenths replace_after = 60 * kTenthsPerSecond; // a voter gone for so long gives its seat to another
    Tenths front_work = 60 * kTenthsPerSecond;    // of a front node, for the plan
    std::uint64_t seed = 0;
    std::uint64_t incarnation = 1;
    double most_datagrams = 20'000; // a second; what comes beyond is dropped unread
    double most_from_one = 4'000;
};

struct SendBytes {
    std::string address, bytes;
};
struct Line {          // for the log, with what belongs to it
    bool loud = false; // the operator is called
    std::string what;
    std::vector<std::pair<std::string, std::string>> fields;
};
struct MembersSeen { // C3's n, as far as it is known
    std::size_t present = 1;
};
using WardenEffect = std::variant<SendBytes, KeeperAct, Line, MembersSeen>;

struct WardenCounts {
    std::uint64_t datagrams = 0, crowded = 0, proposals = 0, passed_on = 0, refused = 0, views = 0,
                  views_asked = 0, asks = 0, stale_asks = 0;
};

class Warden {
  public:
    // `ledger` may be null: the node is a member, never a voter.
    Warden(WardenTerms terms, Ledger* ledger, Tenths now, Tenths wall);

    void hear(Tenths now, const std::string& from, std::string_view bytes);
    void told(const std::map<std::string, MachineSeen>& servers, double strain); // index servers as listed
    void kept(Tenths now, std::uint64_t serial, const std::string& machine, Kept kept);
    void step(Tenths now, Tenths wall);
    void leave(Tenths now);
    Tenths next() const;
    std::vector<WardenEffect> take_effects() { return std::exchange(effects_, {}); }

    // Each command as it is agreed on, for those who keep a history.
    std::function<void(const Command&, const Verdict&)> on_agreed;

    const membership::MemberList& roster() const { return roster_; }
    const Council* council() const { return council_ ? council_.get() : nullptr; }
    const Evening& evening() const;
    Tenths view_age(Tenths now) const; // how long ago the evening was surely as we know it
    const Hand& hand() const { return hand_; }
    const Steward& steward() const { return steward_; }
    const WardenCounts& counts() const { return counts_; }
    const ParcelCounts& parcels() const { return parcels_.counts(); }
    const membership::CodecCounts& seals() const { return seal_.counts(); }
    nlohmann::json answer(const nlohmann::json& ask); // of an operator's that changes nothing
    Outlook outlook() const;

  private:
    struct Bucket {
        double room = 0;
        Tenths filled = 0;
    };
    struct Waiting { // an operator's request, until it is agreed on
        std::string address;
        Tenths until = 0, again_at = 0;
        Command command;
    };
    bool lets_in(Tenths now, Bucket& bucket, double rate) const;
    void take(std::vector<membership::Effect> effects);
    void post(const Parcel& parcel);
    void post_letters();
    void send(const std::string& name, ParcelKind kind, const std::string& bytes);
    void send_to(const std::string& address, ParcelKind kind, const std::string& bytes);
    void propose(const Command& command, const std::string& asked_by = {}, int hops = 0);
    void heard_of(const Command& command, const Verdict& verdict);
    void lead();
    void hand_over(const Outlook& outlook);
    void mind_seats(const Outlook& outlook);
    void take_ask(const Parcel& parcel);
    void take_propose(const Parcel& parcel);
    void take_verdict(const Parcel& parcel);
    void take_view(const Parcel& parcel);
    void ask_for_view();
    void tell_view(const std::string& address);
    void say(std::string what, std::vector<std::pair<std::string, std::string>> fields, bool loud = false);
    const std::string* address_of(const std::string& name) const;
    std::string leader() const;
    bool seated() const;
    bool unled() const;

    WardenTerms terms_;
    Tenths now_, started_, wall_ = 0;
    Evening perhaps_;
    Tenths perhaps_at_ = 0;
    membership::DatagramCodec seal_;
    membership::MemberList roster_;
    Parcels parcels_;
    std::unique_ptr<Council> council_;
    Steward steward_;
    Hand hand_;
    Evening view_; // of a node that does not vote, as last told
    std::string view_leader_;
    std::set<std::string> view_voters_;
    Tenths view_at_ = 0, ask_view_at_ = 0, act_next_ = 0, lead_at_ = 0;
    Pcg chance_;
    std::map<std::string, MachineSeen> servers_;
    double strain_ = 0;
    std::map<std::string, Bucket> buckets_;
    Bucket all_;
    std::map<std::string, Waiting> waiting_;          // by request
    std::map<std::string, std::string> proposed_for_; // requests that we proposed for others: whom to tell
    std::size_t outstanding_ = 0;                     // of the steward's proposals
    std::uint64_t leads_ = 0;                         // times that we led
    bool led_ = false;
    std::string why_not_;
    std::map<std::string, Tenths> gone_since_; // voters
    std::size_t present_ = 0;
    std::vector<WardenEffect> effects_;
    WardenCounts counts_;
};

} // namespace ivyrill::rota
