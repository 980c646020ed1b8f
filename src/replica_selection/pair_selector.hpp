// Chooses the pair of servers for a request: one that prefills its prompt and one that decodes. Each role is
// ranked by C3 (src/replica_selection/c3.hpp); docs/design.md lists the departures from it. Pure: the caller
// supplies the clock and the seed, and reports every send, answer, load report and server list.
#pragma once
#include "base/ids.hpp"
#include "base/pcg.hpp"
#include "model/configuration.hpp"
#include "model/instance.hpp"
#include "replica_selection/c3.hpp"
#include "replica_selection/decode_partition.hpp"
#include "replica_selection/kv_transfer_load.hpp"
#include "replica_selection/latency_model.hpp"
#include "replica_selection/prompt_cache_view.hpp"

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
    kPrefillOnly,      // prefill the prompt, keep its KV cache for another server
    kPrefillAndDecode, // prefill and decode at one server
    kFetchAndDecode,   // fetch the prompt's KV cache and decode
    kUnstaged          // a request of a service without stages
};
inline constexpr std::size_t kWorkKinds = 4;

struct Request {
    std::string service, model;
    std::vector<PromptPart> prompt; // in order; the last is the request's or its session's own
    std::int64_t output_tokens = 0; // maximum number of generated tokens
    Ticks latency_target = 0;
    std::int64_t prompt_tokens() const;
};

struct Pair {
    std::string prefill_server; // empty: the decode server prefills the prompt itself
    std::string decode_server;
    double tokens_to_prefill = 0; // expected not to be cached where the prompt is prefilled
};
struct Backlogged { // every server is at its sending limit, until then
    Ticks until = 0;
};
struct Overloaded { // every server would answer far too late
    Ticks retry_after = 0;
};
struct NoServer {};
using Choice = std::variant<Pair, Backlogged, Overloaded, NoServer>;

using AttemptNo = Id<struct PairAttemptTag, std::uint64_t>;

class PairSelector {
  public:
    explicit PairSelector(std::uint64_t seed) : random_(seed) {}

    void set_instances(const std::map<std::string, model::Instance>& instances, Ticks now);
    void set_load(const model::Load& load, Ticks now);
    // The server has accepted an order to change its stage and rejects requests until it has changed. Reports
    // that count at least `orders_accepted` orders describe the state after it.
    void record_stage_order(const std::string& instance, std::int64_t orders_accepted, Ticks now);
    void set_edge_nodes(std::size_t count) { edge_nodes_ = count == 0 ? 1 : static_cast<double>(count); }
    void set_services(const std::vector<model::Service>& services);

    // `tried`: servers that rejected or failed this request; used only if no other is left. `may_reject`:
    // nothing of the request has been sent yet, so it may still be rejected.
    Choice choose(const Request& request, const std::set<std::string>& tried, bool may_split, bool may_reject,
                  Ticks now);
    const model::Instance* instance(const std::string& id) const; // null: not in the list any more

    // `tokens_to_prefill`: as returned by `choose`; estimated if absent.
    AttemptNo sent(const std::string& instance, const Request& request, Work work,
                   std::optional<double> tokens_to_prefill, Ticks now);
    void answered(AttemptNo attempt, Ticks now); // its first event, or the answer to a prefill
    void ended(AttemptNo attempt, Ticks now);    // the attempt is over
    void rejected(AttemptNo attempt, Ticks now); // it has not run: the server is full or draining
    void failed(AttemptNo attempt,
                Ticks now); // it failed, or the connection was lost before the answer was complete
    void unreachable(const std::string& instance, Ticks now); // no connection could be established
    void misdirected(const std::string& instance, Ticks now); // another server has its address now
    void record_handle_use(const std::string& prefill_server,
                           bool found); // whether its KV data was still there
    // When the server last answered, or when the attempt was sent if that is later.
    Ticks last_activity(AttemptNo attempt) const;
    // Time for which the transfer of the request's prompt occupies a link within a zone. 0 for an answer
    // longer than the prompt: it is decoded where the prompt is prefilled, or at a decode server near it.
    double kv_transfer_time(const Request& request) const {
        return is_streaming(request) ? 0 : local_transfer_time(request);
    }
    // Expected time to the first event of such an attempt at its server.
    Ticks expected_response(AttemptNo attempt) const;

  private:
    struct Estimate { // of one kind of work at one server, as a multiple of the typical time
        double response = 1, service = 1;
    };
    static constexpr double kUnknownPrefillShare = 0.5; // of a prefill server's time, before the first report
    struct Server {
        model::Instance instance;
        std::array<Estimate, kWorkKinds> estimates;
        SendRateLimiter limiter;
        std::map<AttemptNo, Ticks> unanswered;  // with their send times
        std::size_t running = 0;                // answered and still decoding
        double queue = 0;                       // as last reported
        std::optional<double> reported_running; // for all callers, as last reported
        double prefill_share =
            kUnknownPrefillShare; // share of time in which a prefill server is busy, from recent reports
        PromptCacheView cache;
        double handle_loss_rate = 0, break_rate = 0; // recent rates
        int rejections = 0, connect_failures = 0;    // in a row
        Ticks last_answer = 0, avoided_until = 0, decayed_at = 0;
        model::Stage heartbeat_stage = model::Stage::kNone; // in its last heartbeat
        std::int64_t orders_accepted = 0;                   // known from a report or an order
        Ticks changing_until = 0;                           // it rejects requests at most until then
    };
    struct Attempt {
        std::string server;
        Work work = Work::kUnstaged;
        double tokens = 0; // expected to be prefilled
        Ticks sent = 0, latency_target = 0;
        double waiting = 0; // C3's q when it was sent
        bool answered = false, is_streaming = false;
    };
    struct ServiceState {
        model::Service service;
        DecodePartition partition;
        KvTransferLoad kv_transfers;
        double link_utilization = 0; // by the transfers of all nodes
        double carried_share = 1;    // share of the prefill servers' output that the links can carry
    };
    struct Scored {
        Server* server = nullptr;
        double score = 0, tokens = 0;
    };
    struct Candidates {
        std::vector<Server*> prefill_servers, unstaged;
        // A prefill at a decode server delays the tokens of all requests running there. So long answers run
        // at a few dedicated servers, and long prompts are prefilled at the mixed ones.
        std::vector<Server*> dedicated_servers, mixed_servers;
        const Server* owner =
            nullptr; // first owner of the prompt: other requests with the same prompt are prefilled there too
        bool limited = false; // some servers were left out only because of their sending limit
    };
    enum class Rank : std::uint8_t {
        kHealthy,
        kAvoided,
        kSilent,
        kTried,
        kChanging
    }; // lower is better; only servers of the best rank present are used
    void set_stage(Server& server, model::Stage stage);

    // candidates.cpp
    Rank rank(const Server& server, const std::set<std::string>& tried, Ticks now) const;
    Candidates candidates(const Request& request, const std::set<std::string>& tried, Ticks now);
    void partition_decode_servers(const std::vector<Server*>& decode_servers, const Request& request,
                                  Candidates& found, Ticks now);
    struct WeightedServer {
        const Server* server = nullptr;
        double weight = 1;
    };
    struct RankedOwner {
        const Server* server = nullptr;
        double weight = 0; // highest first
    };
    static std::vector<RankedOwner> owners_of(const std::string& part,
                                              const std::vector<WeightedServer>& servers);
    void keep_prompt_owners(const Request& request, Candidates& candidates, Ticks now) const;
    bool slow(const Server& owner, const Request& request, Ticks now) const;
    bool links_are_free(const Request& request, Ticks now) const;
    void decay(Server& server, Ticks now);

    // pair_selector.cpp
    std::optional<Overloaded> overloaded(const Request& request, const Pair& pair, Ticks now);
    bool has_pending_prefill(const std::string& service) const;
    std::optional<Pair> best_pair(const Request& request, const Candidates& candidates, bool may_split,
                                  Ticks now);
    std::vector<Server*> sample(const std::vector<Server*>& servers, const std::string& zone);
    std::optional<Scored> best_of(const std::vector<Server*>& servers, const Request& request, Work work,
                                  const Server* owner, Ticks now);
    double missing_tokens(const Server& server, const Request& request, Work work, bool is_owner,
                          Ticks now) const;
    double typical_time(Work work, double tokens, bool is_streaming, Ticks latency_target) const;
    double response_of(const Server& server, Work work, double usual, Ticks now) const;
    double score(const Server& server, const Request& request, Work work, double tokens, Ticks now) const;
    static double outstanding(const Server& server);
    double local_transfer_time(const Request& request) const; // within a zone
    double transfer_time(const Server& prefill_server, const Server& decode_server,
                         const Request& request) const;
    double link_wait(const std::string& service) const; // before a transfer begins
    static bool is_streaming(const Request& request);   // the answer may be longer than the prompt
    Attempt* find_attempt(AttemptNo attempt);
    void remove_attempt(AttemptNo attempt);
    Server* find(const std::string& id);
    const model::Engine* engine(const std::string& service) const;

    Pcg random_;
    double edge_nodes_ = 1;
    std::map<std::string, Server> servers_;
    std::map<std::string, ServiceState> services_;
    std::map<AttemptNo, Attempt> attempts_;
    std::uint64_t count_ = 0;
    // Over all servers, by kind of work; streamed answers separately, as their first event holds many tokens.
    std::array<std::array<LatencyModel, kWorkKinds>, 2> times_;
    Ticks backlogged_at_ = -1; // when all servers were last at their sending limit
};

} // namespace ivyrill::replica_selection
