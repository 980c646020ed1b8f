// Which pair of servers serves a request: one that reads its prompt and one that makes its tokens. Each role
// is ranked by C3 (src/replica_selection/c3.hpp); docs/design.md lists what departs from it. Pure: clock and
// randomness are handed in, and it is told of every send, answer, report and list.
#pragma once
#include "base/ids.hpp"
#include "base/pcg.hpp"
#include "model/configuration.hpp"
#include "model/instance.hpp"
#include "replica_selection/c3.hpp"
#include "replica_selection/decode_partition.hpp"
#include "replica_selection/kv_transfer_load.hpp"
#include "replica_selection/prompt_cache_view.hpp"
#include "replica_selection/time_model.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace ivyrill::replica_selection {

// What a server is asked to do.
enum class Work : std::uint8_t {
    kPrefillOnly,      // read the prompt, keep its memory for another server
    kPrefillAndDecode, // read the prompt and make the tokens
    kFetchAndDecode,   // fetch the prompt's memory and make the tokens
    kUnstaged          // a request of a service without stages
};
inline constexpr std::size_t kWorks = 4;

struct Request {
    std::string service, model;
    std::vector<PromptPart> prompt; // in order; the last is the request's or its session's own
    std::int64_t output_tokens = 0; // the most that it generates
    Tenths latency_target = 0;
    std::int64_t prompt_tokens() const;
};

struct Pair {
    std::string reader; // empty where the runner reads the prompt itself
    std::string runner;
    double tokens_to_prefill = 0; // that whoever reads the prompt is expected not to hold
};
struct Backlogged { // every server is over its sending limit; a place may be free then
    Tenths until = 0;
};
struct Overloaded { // whoever would serve it is expected to be far too late; it may come again then
    Tenths retry_after = 0;
};
struct NoServer {};
using Choice = std::variant<Pair, Backlogged, Overloaded, NoServer>;

using AttemptNo = Id<struct PairAttemptTag, std::uint64_t>;

class PairSelector {
  public:
    explicit PairSelector(std::uint64_t seed) : random_(seed) {}

    void set_instances(const std::map<std::string, model::Instance>& instances, Tenths now);
    void set_load(const model::Load& load, Tenths now);
    // The server has taken an order, and turns away what it is sent until it has changed its stage; reports
    // that count so many orders, or more, tell how it stands.
    void record_stage_order(const std::string& instance, std::int64_t orders_taken, Tenths now);
    void set_edge_nodes(std::size_t count) { edge_nodes_ = count == 0 ? 1 : static_cast<double>(count); }
    void set_services(const std::vector<model::Service>& services);

    // `tried`: servers that refused or failed this request; they are taken only where nothing else is left.
    // `fresh`: nothing of it was sent yet, so it may be turned away.
    Choice choose(const Request& request, const std::set<std::string>& tried, bool may_split, bool fresh,
                  Tenths now);
    const model::Instance* instance(const std::string& id) const; // null where it is gone

    // `tokens_to_prefill`: as the choice expected it; without one, what is believed now.
    AttemptNo sent(const std::string& instance, const Request& request, Work work,
                   std::optional<double> tokens_to_prefill, Tenths now);
    void answered(AttemptNo attempt, Tenths now); // its first event, or the answer of a reading
    void ended(AttemptNo attempt, Tenths now);    // nothing of it is out any more
    void refused(AttemptNo attempt, Tenths now);  // it has not run: the server is full, or leaving
    void broken(AttemptNo attempt, Tenths now);   // it failed, or its connection ended before its answer did
    void unreachable(const std::string& instance, Tenths now);     // no connection came up
    void misdirected(const std::string& instance, Tenths now);     // its address is another's now
    void record_handle_use(const std::string& reader, bool found); // whether its memory was still there
    // Since when nothing was heard of the server, at the earliest since the attempt was sent.
    Tenths silent_since(AttemptNo attempt) const;
    // How long moving the request's prompt holds a link, within a zone; 0 for an answer that is longer than
    // its prompt, which is made where the prompt is read or at a runner near it.
    double kv_transfer_time(const Request& request) const {
        return streams(request) ? 0 : near_move_time(request);
    }
    // The usual time to the first word of such an attempt, as this server is.
    Tenths expected_response(AttemptNo attempt) const;

  private:
    struct Estimate { // of one kind of work at one server, as a multiple of the usual time
        double response = 1, service = 1;
    };
    static constexpr double kUnheardReading = 0.5; // of a reader's time, while it was not reported on
    struct Server {
        model::Instance instance;
        std::array<Estimate, kWorks> estimates;
        SendRateLimiter limit;
        std::map<AttemptNo, Tenths> unanswered; // with when each was sent
        std::size_t running = 0;                // answered, and still making tokens
        double queue = 0;                       // as last reported
        std::optional<double> running_there;    // of all callers, as last reported
        double reading_share = kUnheardReading; // of the time in which a reader reads, by its reports of late
        PromptCacheView cache;
        double lost_handles = 0, breaks = 0; // mean shares of late
        int refusals = 0, failures = 0;      // in a row
        Tenths last_answer = 0, avoided_until = 0, relaxed = 0;
        model::Stage told_stage = model::Stage::kNone; // by its last heartbeat
        std::int64_t orders_taken = 0;                 // of which a report or an order told
        Tenths changing_until = 0; // it turns away what it is sent, at the most until then
    };
    struct Attempt {
        std::string server;
        Work work = Work::kUnstaged;
        double tokens = 0; // that it was expected to read
        Tenths sent = 0, latency_target = 0;
        double waiting = 0; // C3's q when it was sent
        bool answered = false, streams = false;
    };
    struct ServiceView {
        model::Service service;
        DecodePartition division;
        KvTransferLoad hand_overs;
        double links_taken = 0; // share of their time, by moves of all nodes
        double carried = 1;     // share of what the readers can read that the links can move
    };
    struct Scored {
        Server* server = nullptr;
        double score = 0, tokens = 0;
    };
    struct Candidates {
        std::vector<Server*> readers, plain;
        // A prompt that a runner reads holds up the tokens of all that run there, so those are kept apart:
        // long answers run at a few servers, long prompts are read at the others.
        std::vector<Server*> stream_runners, reading_runners;
        const Server* home =
            nullptr;          // the first of the prompt's homes: others' requests are read there as well
        bool limited = false; // some were left out for their sending limit alone
    };
    enum class Rank : std::uint8_t {
        kGood,
        kAvoided,
        kSilent,
        kTried,
        kChanging
    }; // the best there is is used
    void set_stage(Server& server, model::Stage stage);

    // candidates.cpp
    Rank rank(const Server& server, const std::set<std::string>& tried, Tenths now) const;
    Candidates candidates(const Request& request, const std::set<std::string>& tried, Tenths now);
    void divide_runners(const std::vector<Server*>& runners, const Request& request, Candidates& found,
                        Tenths now);
    struct WeightedServer {
        const Server* server = nullptr;
        double weight = 1;
    };
    struct Home {
        const Server* server = nullptr;
        double weight = 0; // the larger, the earlier
    };
    static std::vector<Home> homes_of(const std::string& part, const std::vector<WeightedServer>& servers);
    void keep_homes(const Request& request, Candidates& candidates, Tenths now) const;
    bool slow(const Server& home, const Request& request, Tenths now) const;
    bool links_are_free(const Request& request, Tenths now) const;
    void relax(Server& server, Tenths now);

    // pair_selector.cpp
    std::optional<Overloaded> overloaded(const Request& request, const Pair& pair, Tenths now);
    bool waits_for_a_reading(const std::string& service) const;
    std::optional<Pair> best_pair(const Request& request, const Candidates& candidates, bool may_split,
                                  Tenths now);
    std::vector<Server*> drawn(const std::vector<Server*>& servers, const std::string& zone);
    std::optional<Scored> best_of(const std::vector<Server*>& servers, const Request& request, Work work,
                                  const Server* home, Tenths now);
    double tokens_of(const Server& server, const Request& request, Work work, bool is_home, Tenths now) const;
    double usual_time(Work work, double tokens, bool streams, Tenths latency_target) const;
    double response_of(const Server& server, Work work, double usual, Tenths now) const;
    double score(const Server& server, const Request& request, Work work, double tokens, Tenths now) const;
    static double outstanding(const Server& server);
    double near_move_time(const Request& request) const; // within a zone
    double move_time(const Server& reader, const Server& runner, const Request& request) const;
    double link_wait(const std::string& service) const; // before a move begins
    static bool streams(const Request& request);        // its answer may be longer than its prompt
    Attempt* out(AttemptNo attempt);
    void close(AttemptNo attempt);
    Server* find(const std::string& id);
    const model::Engine* engine(const std::string& service) const;

    Pcg random_;
    double edge_nodes_ = 1;
    std::map<std::string, Server> servers_;
    std::map<std::string, ServiceView> services_;
    std::map<AttemptNo, Attempt> attempts_;
    std::uint64_t count_ = 0;
    // Over all servers, by work; answers of several events apart, as their first event holds many tokens.
    std::array<std::array<LatencyModel, kWorks>, 2> times_;
    Tenths backlog_at_ = -1; // when a request last found every server over its limit
};

} // namespace ivyrill::replica_selection
