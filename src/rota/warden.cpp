#include "rota/warden.hpp"

#include "rota/words.hpp"

#include <algorithm>

namespace ivyrill::rota {

namespace {

using membership::MemberState;
using words::Json;

constexpr std::size_t kMostBuckets = 2'000, kMostWaiting = 200;
constexpr double kBurst = 0.5; // seconds of a rate that may come at once
constexpr int kViewBeats = 10; // heartbeats between two askings for the view
constexpr int kAgainBeats = 6; // ... until a proposal that nobody confirmed is made again
constexpr int kMostHops = 2;   // of a proposal on its way to the leader
constexpr Tenths kAskLife = 300 * kTenthsPerSecond; // an operator's word that is older is not taken
constexpr Tenths kAskPatience = 10 * kTenthsPerSecond;
constexpr int kUnledGrants = 3; // grants' spans without a leader until what is out is brought back by anyone
constexpr double kSiteShare = 0.6; // of a zone's machines gone by themselves: it is lost

membership::MemberListOptions roster_terms(const WardenTerms& terms) {
    membership::MemberListOptions made;
    made.name = terms.name, made.address = terms.address, made.peers = terms.peers;
    for (const Candidate& candidate : terms.candidates)
        if (std::ranges::find(made.peers, candidate.address) == made.peers.end())
            made.peers.push_back(candidate.address);
    made.incarnation = terms.incarnation, made.seed = terms.seed ^ 0x5eedULL;
    made.probe_interval = terms.probe_gap, made.probe_timeout = terms.probe_gap / 5;
    return made;
}

CouncilTerms council_terms(const WardenTerms& terms) {
    CouncilTerms made;
    made.name = terms.name, made.size = terms.council, made.heartbeat = terms.heartbeat;
    for (const Candidate& candidate : terms.candidates) made.candidates.push_back(candidate.name);
    made.seed = terms.seed ^ 0xc0ffeeULL;
    return made;
}

bool votes(const WardenTerms& terms, const Ledger* ledger) {
    return ledger != nullptr &&
           std::ranges::find(terms.candidates, terms.name, &Candidate::name) != terms.candidates.end();
}

std::string numbered(Tenths time) { return std::to_string(time * 1000 / kTenthsPerSecond); }

Json turn_row(const Turn& turn) {
    return {{"machine", turn.machine},     {"state", word_of(turn.state)},
            {"holder", turn.holder},       {"fence", turn.fence.value},
            {"order", turn.order.value},   {"hurried", turn.hurried},
            {"withdrawn", turn.withdrawn}, {"recalled", turn.recalled},
            {"setbacks", turn.setbacks},   {"why", turn.why}};
}

} // namespace

Warden::Warden(WardenTerms terms, Ledger* ledger, Tenths now, Tenths wall)
    : terms_(std::move(terms)), now_(now), started_(now), wall_(wall), seal_(terms_.secret),
      roster_(roster_terms(terms_), now),
      parcels_(terms_.name, terms_.address, seal_,
               // A later life of ours numbers its parcels elsewhere.
               (terms_.seed ^ static_cast<std::uint64_t>(wall) * 0x9e3779b97f4a7c15ULL) >> 16U),
      steward_({terms_.limits, terms_.spans, terms_.answers, terms_.seed}),
      hand_({terms_.name, terms_.spans, terms_.answers}), chance_(terms_.seed ^ 0xace5ULL) {
    if (votes(terms_, ledger)) {
        council_ = std::make_unique<Council>(council_terms(terms_), *ledger, now);
        council_->on_applied = [this](const Command& command, const Verdict& verdict) {
            heard_of(command, verdict);
        };
    }
    act_next_ = now;
}

// A candidate without a seat is told, as everybody else is.
bool Warden::seated() const { return council_ && council_->votes_here(); }

const Evening& Warden::evening() const { return seated() ? council_->evening() : view_; }

Tenths Warden::view_age(Tenths now) const {
    const Tenths at = seated() ? council_->heard_leader_at() : view_at_;
    return at == 0 ? now : now - at;
}

// Nobody has led for so long that no grant can still be running.
bool Warden::unled() const {
    const Tenths since = std::max(started_, council_->heard_leader_at());
    return now_ > since + kUnledGrants * terms_.spans.grant;
}

std::string Warden::leader() const { return seated() ? council_->leader() : view_leader_; }

const std::string* Warden::address_of(const std::string& name) const {
    if (const std::string* known = roster_.address_of(name)) return known;
    const auto found = std::ranges::find(terms_.candidates, name, &Candidate::name);
    return found == terms_.candidates.end() ? nullptr : &found->address;
}

void Warden::say(std::string what, std::vector<std::pair<std::string, std::string>> fields, bool loud) {
    effects_.emplace_back(Line{loud, std::move(what), std::move(fields)});
}

// ---- what comes in

bool Warden::lets_in(Tenths now, Bucket& bucket, double rate) const {
    const double most = rate * kBurst;
    if (bucket.filled == 0) bucket.room = most;
    bucket.room = std::min(most, bucket.room + rate * static_cast<double>(now - bucket.filled) /
                                                   static_cast<double>(kTenthsPerSecond));
    bucket.filled = now;
    return bucket.room >= 1 ? (bucket.room -= 1, true) : false;
}

void Warden::hear(Tenths now, const std::string& from, std::string_view bytes) {
    now_ = std::max(now_, now);
    ++counts_.datagrams;
    if (buckets_.size() >= kMostBuckets) buckets_.clear();
    if (!lets_in(now_, all_, terms_.most_datagrams) || !lets_in(now_, buckets_[from], terms_.most_from_one))
        return void(++counts_.crowded);
    if (!Parcels::is_piece(bytes)) {
        if (const auto datagram = seal_.decode(bytes)) take(roster_.receive(now_, *datagram));
        return;
    }
    if (const auto parcel = parcels_.hear(now_, bytes)) post(*parcel);
    for (auto& sealed : parcels_.take_out())
        effects_.emplace_back(SendBytes{std::move(sealed.address), std::move(sealed.bytes)});
}

void Warden::post(const Parcel& parcel) {
    switch (parcel.kind) {
    case ParcelKind::kLetter:
        if (council_) council_->hear(now_, parcel.from, parcel.bytes), post_letters();
        return;
    case ParcelKind::kPropose:
        return take_propose(parcel);
    case ParcelKind::kVerdict:
        return take_verdict(parcel);
    case ParcelKind::kViewAsked:
        if (seated()) tell_view(parcel.address);
        return;
    case ParcelKind::kView:
        return take_view(parcel);
    case ParcelKind::kAsk:
        return take_ask(parcel);
    case ParcelKind::kAnswer:
    case ParcelKind::kMissing:
        return;
    }
}

void Warden::take(std::vector<membership::Effect> effects) {
    for (auto& effect : effects) {
        if (const auto* sent = std::get_if<membership::SendDatagram>(&effect)) {
            if (auto bytes = seal_.encode(sent->datagram))
                effects_.emplace_back(SendBytes{sent->address, std::move(*bytes)});
            continue;
        }
        const auto& changed = std::get<membership::MemberChanged>(effect);
        static constexpr const char* kStandings[] = {"alive", "suspect", "failed", "left"};
        say("member", {{"name", changed.name},
                       {"standing", kStandings[static_cast<int>(changed.state)]},
                       {"incarnation", std::to_string(changed.incarnation)}});
    }
    if (const std::size_t present = roster_.present_count(); present != present_) {
        present_ = present;
        effects_.emplace_back(MembersSeen{present});
    }
}

void Warden::told(const std::map<std::string, MachineSeen>& servers, double strain) {
    servers_ = servers, strain_ = strain;
}

void Warden::kept(Tenths now, std::uint64_t serial, const std::string& machine, Kept kept) {
    now_ = std::max(now_, now);
    hand_.hear(now_, serial, machine, kept);
    act_next_ = now_;
}

// ---- what goes out

void Warden::send(const std::string& name, ParcelKind kind, const std::string& bytes) {
    if (const std::string* address = address_of(name)) send_to(*address, kind, bytes);
}

void Warden::send_to(const std::string& address, ParcelKind kind, const std::string& bytes) {
    parcels_.send(now_, address, kind, bytes);
    for (auto& sealed : parcels_.take_out())
        effects_.emplace_back(SendBytes{std::move(sealed.address), std::move(sealed.bytes)});
}

void Warden::post_letters() {
    for (const Letter& letter : council_->take_letters()) send(letter.to, ParcelKind::kLetter, letter.bytes);
}

void Warden::propose(const Command& command, const std::string& asked_by, int hops) {
    ++counts_.proposals;
    const std::string request = request_of(command);
    if (council_ && council_->leads()) {
        if (!request.empty() && !asked_by.empty()) proposed_for_[request] = asked_by;
        council_->propose(command);
        return post_letters();
    }
    std::string to = leader();
    if (to == terms_.name || hops >= kMostHops) return;
    if (to.empty()) { // a voter may know
        std::vector<std::string> voters(view_voters_.begin(), view_voters_.end());
        if (seated()) return;
        if (voters.empty()) {
            for (const Candidate& candidate : terms_.candidates) voters.push_back(candidate.name);
        }
        if (voters.empty()) return;
        to = voters[static_cast<std::size_t>(chance_.unit() * static_cast<double>(voters.size()))];
    }
    ++counts_.passed_on;
    send(to, ParcelKind::kPropose,
         words::pack(Json::array({hops + 1, asked_by.empty() ? terms_.address : asked_by,
                                  Json::binary(std::vector<std::uint8_t>([&] {
                                      const std::string bytes = encode(command);
                                      return std::vector<std::uint8_t>(bytes.begin(), bytes.end());
                                  }()))})));
}

void Warden::take_propose(const Parcel& parcel) {
    if (!council_) return;
    try {
        const Json row = Json::from_cbor(parcel.bytes.begin(), parcel.bytes.end());
        const auto hops = words::count_in(row.at(0));
        const std::string asked_by = words::text_in(row.at(1));
        const auto& bytes = row.at(2).get_binary();
        const auto command = decode(std::string(bytes.begin(), bytes.end()));
        // What only the leader may want is not taken from others.
        if (!command || std::holds_alternative<Survey>(*command) || std::holds_alternative<Grant>(*command) ||
            std::holds_alternative<Recall>(*command))
            return;
        if (hops <= kMostHops) propose(*command, asked_by, static_cast<int>(hops));
    } catch (const std::exception&) { return; }
}

// Each command as it is agreed on, here as everywhere.
void Warden::heard_of(const Command& command, const Verdict& verdict) {
    if (on_agreed) on_agreed(command, verdict);
    lead_at_ = act_next_ = now_; // what holds has changed
    if (!verdict.done) ++counts_.refused;
    const std::string request = request_of(command);
    if (const auto waiting = proposed_for_.find(request);
        !request.empty() && waiting != proposed_for_.end()) {
        send_to(waiting->second, ParcelKind::kVerdict,
                words::pack(Json::array({request, verdict.done, verdict.why})));
        proposed_for_.erase(waiting);
    }
    if (!verdict.done || std::holds_alternative<Take>(command)) return;
    const std::string machine = std::visit(
        [](const auto& what) -> std::string {
            if constexpr (requires { what.machine; })
                return what.machine;
            else
                return {};
        },
        command);
    if (machine.empty()) return say("rota", {{"agreed", as_words(command)}});
    const Turn* turn = evening().turn(machine);
    if (turn == nullptr) return;
    say("turn", {{"machine", machine},
                 {"state", word_of(turn->state)},
                 {"holder", turn->holder.empty() ? "-" : turn->holder},
                 {"fence", std::to_string(turn->fence.value)},
                 {"at_ms", numbered(wall_)},
                 {"why", turn->why}});
}

// ---- time passes

void Warden::step(Tenths now, Tenths wall) {
    now_ = std::max(now_, now), wall_ = wall;
    if (now_ >= roster_.next_step()) take(roster_.step(now_));
    parcels_.step(now_);
    if (council_) {
        if (now_ >= council_->next()) council_->step(now_);
        lead();
        post_letters();
    }
    if (!terms_.candidates.empty() && !seated() && now_ >= ask_view_at_) ask_for_view();
    if (!terms_.candidates.empty() && now_ >= act_next_) {
        HandOut out = hand_.carry(now_, evening(), outlook());
        if (seated() && unled()) {
            if (now_ >= perhaps_at_) perhaps_ = council_->perhaps(), perhaps_at_ = now_ + terms_.spans.grant;
            auto acts = hand_.foster(now_, perhaps_);
            out.acts.insert(out.acts.end(), acts.begin(), acts.end());
        } else {
            hand_.agreed();
        }
        for (const Command& command : out.commands) propose(command);
        for (KeeperAct& act : out.acts) {
            say("act", {{"machine", act.machine},
                        {"act", word_of(act.act)},
                        {"fence", std::to_string(act.fence.value)}});
            effects_.emplace_back(std::move(act));
        }
        for (const std::string& call : out.calls) say("call", {{"why", call}}, true);
        act_next_ = hand_.next(now_);
        if (seated() && unled()) act_next_ = std::min(act_next_, now_ + terms_.spans.act);
    }
    for (auto next = waiting_.begin(); next != waiting_.end();) {
        auto& [request, asked] = *next;
        if (now_ >= asked.until) {
            send_to(asked.address, ParcelKind::kAnswer,
                    words::pack(Json::array(
                        {request, false, "not agreed on in time: no majority is heard of; ask again"})));
            next = waiting_.erase(next);
            continue;
        }
        if (now_ >= asked.again_at) {
            asked.again_at = now_ + kAgainBeats * terms_.heartbeat;
            propose(asked.command, terms_.address);
        }
        ++next;
    }
    for (auto& sealed : parcels_.take_out())
        effects_.emplace_back(SendBytes{std::move(sealed.address), std::move(sealed.bytes)});
}

Tenths Warden::next() const {
    Tenths first = std::min(roster_.next_step(), parcels_.next().value_or(now_ + kTenthsPerSecond));
    if (!terms_.candidates.empty()) first = std::min(first, act_next_);
    if (council_) first = std::min(first, council_->next());
    if (council_ && council_->leads() && outstanding_ == 0) first = std::min(first, lead_at_);
    if (!seated() && !terms_.candidates.empty()) first = std::min(first, ask_view_at_);
    for (const auto& [request, asked] : waiting_) first = std::min(first, asked.again_at);
    return std::max(first, now_ + 1);
}

Outlook Warden::outlook() const {
    Outlook seen;
    seen.self = terms_.name, seen.wall = wall_, seen.strain = strain_;
    seen.machines = servers_;
    seen.voters = seated() ? council_->voters() : view_voters_;
    const auto front = [&](const std::string& name, bool there) {
        MachineSeen machine;
        machine.facts.name = name, machine.facts.front_node = true;
        machine.facts.work = terms_.front_work;
        machine.health = there ? Health::kWarm : Health::kGone;
        seen.machines[name] = std::move(machine);
        if (!there) seen.absent.insert(name);
    };
    front(terms_.name, true);
    for (const auto& member : roster_.members()) {
        if (member.state == MemberState::kLeft && !evening().fleet().contains(member.name)) continue;
        front(member.name, member.state == MemberState::kAlive || member.state == MemberState::kSuspect);
        if (member.state != MemberState::kAlive) seen.absent.insert(member.name);
    }
    for (const std::string& voter : seen.voters) {
        if (voter == terms_.name) continue;
        if (roster_.address_of(voter) == nullptr) seen.absent.insert(voter);
        // One that has lost its ledger is there, and no vote can be had of it.
        const auto life =
            council_ ? council_->lives().find(voter) : std::map<std::string, Life>::const_iterator{};
        if (council_ && council_->leads() && life != council_->lives().end() &&
            !council_->holds_seat(voter, life->second) && seen.machines.contains(voter))
            seen.disowned.insert(voter);
    }
    seen.council_settled = council_ && !council_->changing() && seen.voters == evening().voters() &&
                           seen.voters.size() >= std::min(terms_.council, terms_.candidates.size());
    std::map<std::string, std::pair<int, int>> zones; // gone, all
    for (const auto& [name, machine] : servers_) {
        const Turn* turn = evening().turn(name);
        auto& [gone, all] = zones[machine.facts.zone];
        ++all;
        gone += machine.health == Health::kGone && (turn == nullptr || !is_out(turn->state)) ? 1 : 0;
    }
    for (const auto& [zone, count] : zones)
        if (count.second > 1 && count.first >= kSiteShare * count.second) seen.lost_site = zone;
    return seen;
}

void Warden::lead() {
    const bool leads = council_->leads();
    if (leads && !std::exchange(led_, true)) {
        ++leads_, outstanding_ = 0, lead_at_ = now_;
        steward_.forget(), gone_since_.clear();
        say("rota", {{"leader", terms_.name}, {"term", std::to_string(council_->term())}});
    }
    if (!leads) {
        led_ = false, proposed_for_.clear();
        return;
    }
    if (!council_->current() || outstanding_ > 0 || now_ < lead_at_)
        return; // what was proposed last is still on its way
    lead_at_ = now_ + terms_.heartbeat / 2;
    const Outlook seen = outlook();
    const Wanted wanted = steward_.want(now_, council_->leads_since(), evening(), seen);
    why_not_ = wanted.why;
    for (const Command& command : wanted.commands) {
        const std::uint64_t leading = leads_;
        ++outstanding_;
        const bool sent = council_->propose(command, [this, leading](bool) {
            if (leading == leads_ && outstanding_ > 0) --outstanding_;
        });
        if (!sent && outstanding_ > 0) --outstanding_;
    }
    if (wanted.hand_over) hand_over(seen);
    if (wanted.commands.empty()) mind_seats(seen);
}

void Warden::hand_over(const Outlook& seen) {
    std::set<std::string> fit;
    for (const std::string& voter : seen.voters) {
        const Turn* turn = evening().turn(voter);
        if (!seen.absent.contains(voter) && !seen.disowned.contains(voter) &&
            (turn == nullptr || !is_out(turn->state)))
            fit.insert(voter);
    }
    council_->hand_over(fit);
}

// A voter that is gone for long, or has lost its ledger, gives its seat up; a candidate that is there takes
// one.
void Warden::mind_seats(const Outlook& seen) {
    if (council_->changing()) return;
    const std::set<std::string> voters = council_->voters();
    const auto there = [&](const std::string& name) { return !seen.absent.contains(name); };
    const auto sent_out = [&](const std::string& name) {
        const Turn* turn = evening().turn(name);
        return turn != nullptr && is_out(turn->state);
    };
    // While a voter is out by its turn the seats stay as they are: its coming back is what was counted on.
    if (std::ranges::any_of(voters, sent_out)) return;
    for (const std::string& voter : voters) {
        if (voter == terms_.name) continue;
        if (seen.disowned.contains(voter)) {
            const bool begun = council_->remove(voter);
            return say("seat", {{"lost", voter},
                                {"why", "its ledger is another one"},
                                {"trouble", begun ? "" : council_->trouble()}});
        }
        if (there(voter)) {
            gone_since_.erase(voter);
            continue;
        }
        const Tenths since = gone_since_.try_emplace(voter, now_).first->second;
        const bool spare = std::ranges::any_of(terms_.candidates, [&](const Candidate& other) {
            return !voters.contains(other.name) && there(other.name) &&
                   council_->lives().contains(other.name);
        });
        if (now_ < since + terms_.replace_after || !spare) continue;
        const bool begun = council_->remove(voter);
        return say("seat",
                   {{"lost", voter}, {"why", "it is gone"}, {"trouble", begun ? "" : council_->trouble()}});
    }
    if (voters.size() >= terms_.council) return;
    for (const Candidate& candidate : terms_.candidates) {
        const auto life = council_->lives().find(candidate.name);
        if (voters.contains(candidate.name) || !there(candidate.name) || sent_out(candidate.name) ||
            life == council_->lives().end())
            continue;
        if (council_->admit(candidate.name, life->second))
            say("seat", {{"taken", candidate.name}, {"seat", std::to_string(life->second.seat)}});
        return;
    }
}

// We go on purpose: the others are told, and our turns go to others without waiting for grants to run out.
void Warden::leave(Tenths now) {
    now_ = std::max(now_, now);
    if (!terms_.candidates.empty())
        for (const Command& command : hand_.give_back(evening())) propose(command);
    if (council_ && council_->leads()) hand_over(outlook()), post_letters();
    take(roster_.leave(now_));
}

// ---- those who do not vote are told

void Warden::ask_for_view() {
    ask_view_at_ = now_ + kViewBeats * terms_.heartbeat;
    std::vector<std::string> voters(view_voters_.begin(), view_voters_.end());
    if (voters.empty())
        for (const Candidate& candidate : terms_.candidates) voters.push_back(candidate.name);
    std::erase(voters, terms_.name);
    if (voters.empty()) return;
    ++counts_.views_asked;
    send(voters[static_cast<std::size_t>(chance_.unit() * static_cast<double>(voters.size()))],
         ParcelKind::kViewAsked, {});
}

void Warden::tell_view(const std::string& address) {
    const std::string state = evening().encode();
    send_to(address, ParcelKind::kView,
            words::pack(Json::array({leader(), council_->voters(), view_age(now_), evening().applied(),
                                     Json::binary(std::vector<std::uint8_t>(state.begin(), state.end()))})));
}

void Warden::take_view(const Parcel& parcel) {
    if (seated()) return;
    try {
        const Json row = Json::from_cbor(parcel.bytes.begin(), parcel.bytes.end());
        const auto& bytes = row.at(4).get_binary();
        const auto age = static_cast<Tenths>(words::count_in(row.at(2)));
        if (now_ - age < view_at_ || words::count_in(row.at(3)) < view_.applied()) return; // an older one
        auto state = Evening::decode(std::string(bytes.begin(), bytes.end()));
        if (!state) return;
        ++counts_.views;
        view_ = std::move(*state), view_leader_ = words::text_in(row.at(0));
        view_voters_ = words::texts_in<std::set<std::string>>(row.at(1));
        view_at_ = now_ - age;
    } catch (const std::exception&) { return; }
}

// ---- operators

void Warden::take_ask(const Parcel& parcel) {
    ++counts_.asks;
    const auto reply = [&](const std::string& request, bool done, const std::string& text) {
        send_to(parcel.address, ParcelKind::kAnswer, words::pack(Json::array({request, done, text})));
    };
    Json ask;
    try {
        ask = Json::from_cbor(parcel.bytes.begin(), parcel.bytes.end());
        const std::string request = words::text_in(ask.at("request")), verb = words::text_in(ask.at("verb"));
        const auto at = static_cast<Tenths>(words::count_in(ask.at("wall")));
        if (std::abs(at - wall_) > kAskLife) { // heard again long after, or two clocks far apart
            ++counts_.stale_asks;
            return reply(request, false, "this request is of another time: look at the clocks");
        }
        if (verb == "show" || verb == "plan" || verb == "explain")
            return reply(request, true, answer(ask).dump());
        if (terms_.candidates.empty()) return reply(request, false, "there is no rota here: no candidates");
        const auto text = [&](const char* name) { return words::text_in(ask.value(name, Json(""))); };
        std::optional<Command> command;
        if (verb == "add")
            command = Add{request,
                          text("by"),
                          text("note"),
                          words::texts_in<std::vector<std::string>>(ask.at("machines")),
                          static_cast<Tenths>(words::count_in(ask.value("earliest", Json(0U)))),
                          static_cast<Tenths>(words::count_in(ask.value("latest", Json(0U))))};
        if (verb == "withdraw") command = Withdraw{request, text("machine"), "withdrawn by " + text("by")};
        if (verb == "hold")
            command = Hold{request, text("why").empty() ? "held by " + text("by") : text("why")};
        if (verb == "resume") command = Resume{request};
        if (verb == "hurry") command = Hurry{request, text("machine")};
        if (!command) return reply(request, false, "no such request: " + verb);
        if (waiting_.size() >= kMostWaiting && !waiting_.contains(request))
            return reply(request, false, "too many requests are waiting");
        waiting_[request] = {parcel.address, now_ + kAskPatience, now_ + kAgainBeats * terms_.heartbeat,
                             *command};
        say("asked", {{"by", parcel.from}, {"what", as_words(*command)}});
        propose(*command, terms_.address);
    } catch (const std::exception&) { return reply("", false, "the request cannot be read"); }
}

void Warden::take_verdict(const Parcel& parcel) {
    try {
        const Json row = Json::from_cbor(parcel.bytes.begin(), parcel.bytes.end());
        const auto found = waiting_.find(words::text_in(row.at(0)));
        if (found == waiting_.end()) return;
        send_to(found->second.address, ParcelKind::kAnswer, parcel.bytes);
        waiting_.erase(found);
        ask_view_at_ = now_;
    } catch (const std::exception&) { return; }
}

Json Warden::answer(const Json& ask) {
    const std::string verb = ask.value("verb", "show");
    const Evening& state = evening();
    const Outlook seen = outlook();
    const std::set<std::string> down = Steward::down(state, seen);
    Json made{{"node", terms_.name},
              {"age_ms", view_age(now_) * 1000 / kTenthsPerSecond},
              {"leader", leader()},
              {"voters", seen.voters},
              {"members", roster_.present_count()},
              {"held", state.held()},
              {"held_why", state.held_why()},
              {"applied", state.applied()}};
    if (council_) {
        static constexpr const char* kPhases[] = {"roll call", "takes part", "disowned", "unable"};
        made["phase"] = kPhases[static_cast<int>(council_->phase())];
        made["term"] = council_->term();
        if (council_->leads()) made["waits_for"] = why_not_;
    }
    if (verb == "show") {
        made["turns"] = Json::array();
        for (const auto& [name, turn] : state.turns()) made["turns"].push_back(turn_row(turn));
        made["machines"] = state.fleet().size(), made["down"] = down;
        return made;
    }
    std::vector<Task> tasks = tasks_of(state, wall_);
    if (ask.contains("machines")) { // a plan for what is not ordered yet
        tasks.clear();
        for (const std::string& name : words::texts_in<std::vector<std::string>>(ask["machines"])) {
            const auto facts = state.fleet().find(name);
            tasks.push_back({name, facts == state.fleet().end() ? 0 : facts->second.work, false, 0});
        }
    }
    const Room room(state.limits(), state.fleet(), state.voters());
    if (verb == "plan") {
        const auto size = static_cast<int>(std::max<std::size_t>(1, tasks.size()));
        const Plan plan = plan_well(state, tasks, down, terms_.seed, std::min(200, 40'000 / (size * size)));
        made["length_ms"] = plan.length * 1000 / kTenthsPerSecond;
        made["first_come_ms"] = plan_first_come(room, tasks, down).length * 1000 / kTenthsPerSecond;
        made["least_ms"] = least_length(state, tasks) * 1000 / kTenthsPerSecond;
        made["steps"] = Json::array();
        for (const Step& step : plan.steps)
            made["steps"].push_back({{"machine", step.machine},
                                     {"begins_ms", step.begins * 1000 / kTenthsPerSecond},
                                     {"ends_ms", step.ends * 1000 / kTenthsPerSecond},
                                     {"why", step.why}});
        made["never"] = plan.never;
        return made;
    }
    const std::string machine = ask.value("machine", "");
    made["machine"] = machine;
    if (const Turn* turn = state.turn(machine)) made["turn"] = turn_row(*turn);
    const auto health = seen.machines.find(machine);
    static constexpr const char* kHealth[] = {"warm", "cold", "drains", "gone"};
    made["health"] =
        health == seen.machines.end() ? "unknown" : kHealth[static_cast<int>(health->second.health)];
    std::set<std::string> busy = state.out();
    busy.insert(down.begin(), down.end());
    const std::string objection = room.objection(machine, busy);
    made["objection"] = objection.empty() ? "none: it may go" : objection;
    return made;
}

} // namespace ivyrill::rota
