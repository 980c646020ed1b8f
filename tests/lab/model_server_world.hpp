// A model server's core in virtual time, and the requests that tests send to the core and to its socket
// server.
#pragma once
#include "lab/model_server_core.hpp"
#include "lab/stream_client.hpp"

#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace ivyrill::lab {

struct Exchange { // outcome of one request
    std::string bytes;
    bool over = false, reset = false, close = false;

    HttpReader read() const {
        HttpReader reader(HttpReader::Side::kResponses);
        reader.feed(bytes);
        return reader;
    }
    int status() const { return read().head().status; }
    bool complete() const { return read().complete(); }
    std::string body() const { return read().take_body(); }
    std::string field(std::string_view name) const { return std::string(read().head().field(name)); }
    bool not_run() const { return read().head().has("not-run"); }
};

inline HttpHead read_request(const std::string& bytes, std::string& body) {
    HttpReader reader(HttpReader::Side::kRequests);
    reader.feed(bytes);
    if (!reader.complete()) throw std::logic_error("not a whole request: " + bytes);
    body = reader.take_body();
    return reader.head();
}

// A core with its clock. Memory is fetched from `other` at once.
struct ServerWorld {
    static constexpr Ticks kStart = 1000 * kTicksPerSecond;

    explicit ServerWorld(const ModelServerPlan& plan = {}) : core(plan, kStart) {}

    ModelServerCore core;
    ModelServerCore* other = nullptr;
    Ticks now = kStart;
    std::map<ExchangeId, Exchange> exchanges;
    std::uint64_t last = 0;

    ExchangeId send(const std::string& bytes) {
        std::string body;
        const HttpHead head = read_request(bytes, body);
        const ExchangeId id{++last};
        exchanges[id];
        core.request(id, head, body, now);
        collect();
        return id;
    }
    ExchangeId send(const ClientRequest& request) { return send(request_bytes(request)); }
    const Exchange& at(ExchangeId id) const { return exchanges.at(id); }
    const Exchange& ask(const std::string& line, const std::string& body = "") {
        return at(send(http_message(line + " HTTP/1.1", {}, body)));
    }
    void pass(Ticks span) {
        const Ticks until = now + span;
        for (auto due = core.due(); due && *due <= until; due = core.due()) {
            now = *due;
            core.pass(now);
            collect();
        }
        now = until;
        core.pass(now);
        collect();
    }
    void collect() {
        for (auto actions = core.take_actions(); !actions.empty(); actions = core.take_actions())
            for (const ServerAction& action : actions)
                std::visit([&](const auto& what) { take(what); }, action);
    }
    void take(const SendBytes& what) {
        if (exchanges.at(what.exchange).over) throw std::logic_error("bytes after an answer's end");
        exchanges.at(what.exchange).bytes += what.bytes;
    }
    void take(const FinishAnswer& what) {
        exchanges.at(what.exchange).over = true;
        exchanges.at(what.exchange).close = what.close;
    }
    void take(const ResetConnection& what) {
        exchanges.at(what.exchange).over = exchanges.at(what.exchange).reset = true;
    }
    void take(const FetchMemory& what) {
        std::optional<HandleMemory> memory;
        if (other) {
            other->request({0}, read_request("GET /kv-handle/" + what.handle + " HTTP/1.1\r\n\r\n", unused),
                           "", now);
            const auto actions = other->take_actions();
            const Exchange answer{std::get<SendBytes>(actions.front()).bytes};
            if (answer.status() == 200) memory = read_memory(answer.body());
        }
        core.fetched(what.exchange, memory, now);
    }
    std::string unused;
};

inline ClientRequest generation(const std::string& attempt) {
    ClientRequest request;
    request.target = "/chat/2f";
    request.attempt = attempt;
    request.token_counts = "1460,10";
    request.prompt_prefix = "5c1e07a2:800,91bd3f06:410,e4402b7d:250";
    request.body = "some body";
    return request;
}

inline ClientRequest prefill(const std::string& attempt) {
    ClientRequest request = generation(attempt);
    request.more.push_back({"Serving-Stage", "prefill"});
    return request;
}

inline ModelServerPlan prefill_plan() {
    ModelServerPlan plan;
    plan.id = "i-prefill";
    plan.stage = ServerStage::kPrefill;
    return plan;
}

inline std::string expected_stream(const ClientRequest& request, std::int64_t after = 0) {
    std::string body;
    const HttpHead head = read_request(request_bytes(request), body);
    return stream_bytes(*read_generation(head, body), ModelServerPlan{}.stride, after);
}

} // namespace ivyrill::lab
