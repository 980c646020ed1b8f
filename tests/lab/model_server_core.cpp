#include "lab/model_server_core.hpp"

#include "protocol/json.hpp"

#include <algorithm>

namespace ivyrill::lab {

namespace {

constexpr std::string_view kHandlePath = "/kv-handle/";
constexpr std::int64_t kUsualPriority = 5;
constexpr std::size_t kSealDigits = 8;

std::string json_text(std::string_view text) {
    std::string out;
    protocol::write_json_text(out, text);
    return out;
}

} // namespace

std::string_view name_of(ServerStage stage) { return stage == ServerStage::kPrefill ? "prefill" : "decode"; }

std::optional<ServerStage> stage_from_name(std::string_view name) {
    if (name == "prefill") return ServerStage::kPrefill;
    if (name == "decode") return ServerStage::kDecode;
    return std::nullopt;
}

std::string write_memory(const HandleMemory& memory) {
    return "{\"tokens\":" + std::to_string(memory.tokens) + ",\"content\":\"" +
           hexadecimal(memory.content, 16) + "\"}";
}

std::optional<HandleMemory> read_memory(const std::string& body) {
    try {
        const protocol::Json json = protocol::read_json(body);
        const std::string& content = json.at("content").as_text("content");
        return HandleMemory{json.at("tokens").as_integer("tokens"), std::stoull(content, nullptr, 16)};
    } catch (const std::exception&) { return std::nullopt; }
}

ModelServerCore::ModelServerCore(ModelServerPlan plan, Ticks now)
    : plan_(std::move(plan)), started_(now), stage_(plan_.stage), next_stage_(plan_.stage) {
    note(now);
}

Ticks ModelServerCore::cold_left(Ticks now) const { return std::max<Ticks>(0, started_ + plan_.cold - now); }

AttemptRecord ModelServerCore::record(const std::string& attempt) const {
    const auto found = records_.find(attempt);
    return found == records_.end() ? AttemptRecord{} : found->second;
}

std::int64_t ModelServerCore::most_runs() const {
    std::int64_t most = 0;
    for (const auto& [attempt, record] : records_) most = std::max(most, record.runs);
    return most;
}

// Answers.

std::vector<HttpField> ModelServerCore::own_fields(const HttpHead& head) {
    std::vector<HttpField> fields;
    if (head.has("attempt-id")) fields.push_back({"Attempt-Id", std::string(head.field("attempt-id"))});
    const std::uint64_t seal = mix(hash_text(plan_.id), seals_++);
    fields.push_back({"Server-Seal", hexadecimal(seal, kSealDigits) + "." + std::to_string(seals_)});
    if (draining_) fields.push_back({"Connection", "close"});
    if (!draining_ && plan_.idle_close > 0)
        fields.push_back({"Keep-Alive", "timeout=" + std::to_string(plan_.idle_close / kTicksPerSecond)});
    return fields;
}

void ModelServerCore::answer(ExchangeId exchange, const HttpHead& head, int status,
                             std::vector<HttpField> fields, const std::string& body) {
    std::vector<HttpField> all = own_fields(head);
    std::ranges::move(fields, std::back_inserter(all));
    actions_.emplace_back(SendBytes{exchange, http_message(status_line(status), all, body)});
    actions_.emplace_back(FinishAnswer{exchange, draining_});
}

void ModelServerCore::answer_json(ExchangeId exchange, const HttpHead& head, int status,
                                  const std::string& body) {
    answer(exchange, head, status, {{"Content-Type", "application/json"}}, body);
}

// The request has not run and never will.
void ModelServerCore::refuse(ExchangeId exchange, const HttpHead& head, int status) {
    std::vector<HttpField> fields{{"Not-Run", "1"}};
    if (status == 421) fields.push_back({"Instance-Id", plan_.id});
    if (head.has("attempt-id")) ++records_[std::string(head.field("attempt-id"))].refusals;
    answer(exchange, head, status, std::move(fields), "");
}

std::string ModelServerCore::report(Ticks now) const {
    ReportState state = states_.front().second;
    for (const auto& [at, then] : states_)
        if (at + plan_.report_lag <= now) state = then;
    const auto whole = [](std::int64_t number) { return std::to_string(number); };
    return "{\"stage\":" + json_text(name_of(state.stage)) +
           ",\"models\":[{\"name\":" + json_text(plan_.model) + ",\"version\":" + whole(plan_.weights) +
           ",\"adapters\":[]}],\"busy\":" + (state.busy ? "true" : "false") +
           ",\"callSeq\":" + whole(state.orders) + ",\"waiting\":" + whole(state.waiting) +
           ",\"running\":" + whole(state.running) + ",\"kvUsed\":" + whole(state.used) +
           ",\"kvTotal\":" + whole(plan_.memory_tokens) + ",\"promptHandles\":" + whole(state.handles) + "}";
}

// Requests.

void ModelServerCore::request(ExchangeId exchange, const HttpHead& head, const std::string& body, Ticks now) {
    pass(now);
    if (head.method == "GET" && head.target == "/report") {
        answer_json(exchange, head, 200, report(now));
    } else if (head.target.starts_with(kHandlePath)) {
        take_handle_call(exchange, head, now);
    } else if (head.method == "POST" && head.target == "/order") {
        take_order(exchange, head, body, now);
    } else if (head.method == "GET" && head.target == plan_.health_path) {
        Run run;
        run.head = head;
        run.kind = Kind::kHealth;
        queue(exchange, std::move(run), now);
    } else {
        take_generation(exchange, head, body, now);
    }
    note(now);
}

void ModelServerCore::take_handle_call(ExchangeId exchange, const HttpHead& head, Ticks now) {
    const auto found = handles_.find(head.target.substr(kHandlePath.size()));
    if (found == handles_.end()) return answer(exchange, head, 404, {}, "");
    const HandleMemory memory = found->second.memory;
    handles_.erase(found);
    answer_json(exchange, head, 200, head.method == "GET" ? write_memory(memory) : "");
    admit_waiting(now);
}

void ModelServerCore::take_order(ExchangeId exchange, const HttpHead& head, const std::string& body,
                                 Ticks now) {
    if (head.has("target-instance") && head.field("target-instance") != plan_.id)
        return refuse(exchange, head, 421);
    const int status = judge_order(body);
    answer(exchange, head, status, {}, "");
    if (status != 202) return;
    busy_ = true;
    ++orders_;
    std::vector<ExchangeId> waiting;
    for (const auto& [id, run] : runs_)
        if (run.phase == Phase::kWaiting && run.kind != Kind::kHealth) waiting.push_back(id);
    for (const ExchangeId id : waiting) {
        refuse(id, runs_.at(id).head, 503);
        runs_.erase(id);
    }
    admit_waiting(now);
}

int ModelServerCore::judge_order(const std::string& body) {
    try {
        const protocol::Json order = protocol::read_json(body);
        const auto stage = stage_from_name(order.at("stage").as_text("stage"));
        if (order.at("op").as_text("op") != "stage" || order.at("holder").as_text("holder").empty())
            return 400;
        const std::int64_t fence = order.at("fenceToken").as_integer("fenceToken");
        const protocol::Json* expected = order.find("expectedCount");
        if (!stage) return 400;
        if (plan_.fenced && fence < highest_fence_) return 412;
        if (busy_ || (expected && expected->as_integer("expectedCount") != orders_)) return 409;
        highest_fence_ = std::max(highest_fence_, fence);
        next_stage_ = *stage;
        return *stage == stage_ ? 200 : 202;
    } catch (const std::exception&) { return 400; }
}

int ModelServerCore::rejection_status(const HttpHead& head, Kind kind) const {
    if (!head.has("attempt-id")) return 400;
    if (head.has("target-instance") && head.field("target-instance") != plan_.id) return 421;
    if (head.has("expect-version") && head.number("expect-version") != plan_.weights) return 421;
    if ((stage_ == ServerStage::kPrefill) != (kind == Kind::kPrefill)) return 421;
    if (head.field("model-name") != plan_.model) return 400;
    return busy_ ? 503 : 0;
}

void ModelServerCore::take_generation(ExchangeId exchange, const HttpHead& head, const std::string& body,
                                      Ticks now) {
    heads_.push_back(head);
    Run run;
    run.head = head;
    run.kind = head.field("serving-stage") == "prefill" ? Kind::kPrefill : Kind::kGenerate;
    if (const int status = rejection_status(head, run.kind); status != 0)
        return refuse(exchange, head, status);
    const auto generation = read_generation(head, body);
    if (!generation) return refuse(exchange, head, 400);
    run.generation = *generation;
    run.priority = head.number("priority").value_or(kUsualPriority);
    run.next_event = head.number("last-event-id").value_or(0) + 1;
    run.last_event = event_count(run.generation, plan_.stride);
    run.reserved = run.generation.prompt_tokens;
    if (run.kind == Kind::kGenerate) run.reserved += run.generation.output_tokens;
    if (run.next_event > run.last_event + 1) return refuse(exchange, head, 400);
    if (run.reserved > plan_.memory_tokens) return refuse(exchange, head, 503);
    if (const auto left = head.number("deadline-ms")) run.deadline = now + *left * kTicksPerSecond / 1000;
    queue(exchange, std::move(run), now);
}

void ModelServerCore::queue(ExchangeId exchange, Run run, Ticks now) {
    run.order = arrivals_++;
    const HttpHead head = run.head;
    runs_.emplace(exchange, std::move(run));
    admit_waiting(now);
    const auto placed = runs_.find(exchange);
    if (placed == runs_.end() || placed->second.phase != Phase::kWaiting || count(false) <= plan_.queue)
        return;
    runs_.erase(placed);
    refuse(exchange, head, 503);
}

// State.

std::int64_t ModelServerCore::count(bool running) const {
    return std::ranges::count_if(
        runs_, [&](const auto& entry) { return (entry.second.phase != Phase::kWaiting) == running; });
}

std::int64_t ModelServerCore::used() const {
    std::int64_t tokens = 0;
    for (const auto& [exchange, run] : runs_)
        if (run.phase != Phase::kWaiting) tokens += run.reserved;
    for (const auto& [id, handle] : handles_) tokens += handle.memory.tokens;
    return tokens;
}

// Keeps the states that a report may still contain; of older ones only the last is kept.
void ModelServerCore::note(Ticks now) {
    states_.emplace_back(now, ReportState{stage_, busy_, orders_, count(false), count(true), used(),
                                          static_cast<std::int64_t>(handles_.size())});
    while (states_.size() > 1 && states_[1].first + plan_.report_lag <= now) states_.pop_front();
}

AttemptRecord& ModelServerCore::record_of(const Run& run) {
    return records_[std::string(run.head.field("attempt-id"))];
}

std::optional<Ticks> ModelServerCore::due() const {
    std::optional<Ticks> first = switched_at_;
    const auto consider = [&](const std::optional<Ticks>& at) {
        if (at && (!first || *at < *first)) first = at;
    };
    for (const auto& [exchange, run] : runs_) {
        consider(run.next);
        consider(run.deadline);
    }
    for (const auto& [id, handle] : handles_) consider(handle.until);
    return first;
}

void ModelServerCore::pass(Ticks now) {
    for (auto at = due(); at && *at <= now; at = due()) step(*at);
}

// Processes all events due at that time; ends come before begins.
void ModelServerCore::step(Ticks at) {
    std::erase_if(handles_, [&](const auto& entry) { return entry.second.until <= at; });
    if (switched_at_ && *switched_at_ <= at) {
        stage_ = next_stage_;
        busy_ = false;
        switched_at_.reset();
    }
    std::vector<ExchangeId> due_runs;
    for (const auto& [exchange, run] : runs_)
        if ((run.next && *run.next <= at) || (run.deadline && *run.deadline <= at))
            due_runs.push_back(exchange);
    for (const ExchangeId exchange : due_runs) {
        const auto run = runs_.find(exchange);
        if (run == runs_.end()) continue;
        if (run->second.next && *run->second.next <= at)
            continue_run(run, at);
        else if (run->second.deadline && *run->second.deadline <= at)
            deadline_passed(run, at);
    }
    admit_waiting(at);
    note(at);
}

} // namespace ivyrill::lab
