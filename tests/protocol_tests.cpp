// Tests of the protocol parsers: input split at every position, malformed input and hostile input.
#include "base/pcg.hpp"
#include "fake_host.hpp"
#include "protocol/frames.hpp"
#include "protocol/messages.hpp"
#include "simulator/wire.hpp"

namespace ivyrill {

namespace {

using namespace protocol;

const std::string kBody =
    R"({"targets":[{"partition":3,"share":0.5,"est_us":9000},{"share":0.5,"partition":9,"route":"00"}],)"
    R"("more":[null,{"a":-1.5e3}],"query":"c4\u00e9\ud83d\ude00\"\\ \n"})";
const std::string kQuery = "c4\xC3\xA9\xF0\x9F\x98\x80\"\\ \n";

std::string request(std::string_view fields, std::string_view body) {
    return "POST /position-find?k=7f HTTP/1.1\r\nHost: app.svc\r\nx-REQUEST-id: 9b1f\r\nX-Tenant-Id: acme\r\n"
           "X-Timeout: 480m\r\n" +
           std::string(fields) + "\r\n" + std::string(body);
}

// Feeds the bytes in two pieces, split at `at`, and returns the parser and the number of bytes it did not
// consume.
std::pair<HttpParser, std::size_t> feed_split(HttpParser::Side side, std::string_view bytes, std::size_t at) {
    HttpParser parser(side);
    std::size_t consumed = parser.feed(bytes.substr(0, at));
    if (consumed == at) consumed += parser.feed(bytes.substr(at));
    return {parser, bytes.size() - consumed};
}

int status_of(const std::string& bytes) {
    return feed_split(HttpParser::Side::kRequests, bytes, bytes.size()).first.broken();
}

void request_is_parsed_at_every_split() {
    const std::string length = "Content-Length: " + std::to_string(kBody.size()) + "\r\n";
    const std::string chunks = "5;x=y\r\n" + kBody.substr(0, 5) + "\r\n" + "A\r\n" + kBody.substr(5, 10) +
                               "\r\n" + "0\r\nTrailer: x\r\n\r\n";
    const std::string next = "POST";
    for (const std::string& bytes :
         {request(length, kBody) + next, request("Transfer-Encoding: chunked\r\n", chunks) + next}) {
        const bool chunked = bytes.find("chunked") != std::string::npos;
        for (std::size_t at = 0; at <= bytes.size(); ++at) {
            auto [parser, remaining] = feed_split(HttpParser::Side::kRequests, bytes, at);
            assert(parser.complete() && remaining == next.size());
            const HttpMessage message = parser.take();
            assert(message.body == (chunked ? kBody.substr(0, 15) : kBody) && !message.close);
            if (chunked) continue;
            const ClientRequest read = read_client_request(message);
            const auto& search = std::get<SearchRequest>(read);
            assert(search.id == "9b1f" && search.request_class == "position-find" && search.tenant == "acme");
            assert(search.timeout_us == 480'000 && !search.repeat && search.query == kQuery);
            assert(search.targets.size() == 2 && search.targets[1].shard == 9);
        }
    }
}

void malformed_request_is_not_kept() {
    for (const std::string& rest : {std::string("1\r\nx\r\n"), std::string("zz\r\n")}) {
        const std::string bytes = request("Transfer-Encoding: chunked\r\n",
                                          "10000\r\n" + std::string(0x10000, 'x') + "\r\n" + rest);
        const HttpParser parser = feed_split(HttpParser::Side::kRequests, bytes, bytes.size()).first;
        assert(parser.broken() != 0 && parser.buffered_bytes() < 4096);
    }
}

void body_limit_can_be_lowered_for_one_message() {
    HttpParser parser(HttpParser::Side::kRequests);
    parser.feed("PUT /x HTTP/1.1\r\nContent-Length: 11\r\n\r\n");
    assert(parser.head_complete());
    parser.limit_body(11);
    assert(parser.broken() == 0);
    parser.feed("0123456789a");
    assert(parser.complete() && parser.take().body.size() == 11);
    parser.feed("PUT /x HTTP/1.1\r\nContent-Length: 12\r\n\r\n01234");
    parser.limit_body(11);
    assert(parser.broken() == 413);
    parser = HttpParser(HttpParser::Side::kRequests);
    parser.feed("PUT /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n0123\r\n");
    parser.limit_body(6);
    assert(parser.broken() == 0);
    parser.feed("3\r\n");
    assert(parser.broken() == 413);
}

void malformed_requests_have_their_status() {
    assert(status_of("nonsense\r\n\r\n") == 400);
    assert(status_of("GET /x SPDY/9\r\n\r\n") == 400);
    assert(status_of(request("Content-Length: 12x\r\n", "")) == 400);
    assert(status_of(request("Content-Length: 1\r\nContent-Length: 1\r\n", "")) == 400);
    assert(status_of(request("Content-Length: 1\r\nTransfer-Encoding: chunked\r\n", "")) == 400);
    assert(status_of(request("Content-Length: 70000\r\n", "")) == 413);
    assert(status_of(request("Transfer-Encoding: chunked\r\n", "11171\r\n")) == 413);
    // Both chunks together: known as soon as the second one is announced.
    assert(status_of(request("Transfer-Encoding: chunked\r\n",
                             "FFFF\r\n" + std::string(0xFFFF, 'x') + "\r\n2\r\n")) == 413);
    assert(status_of(request("Transfer-Encoding: chunked\r\n",
                             "FFFF\r\n" + std::string(0xFFFF, 'x') + "\r\n1\r\nx\r\n")) == 0);
    assert(status_of(request("Transfer-Encoding: gzip\r\n", "")) == 501);
    assert(status_of(request("X: " + std::string(20'000, 'x') + "\r\n", "")) == 431);
    HttpMessage message;
    const auto status = [&] { return std::get<BadRequest>(read_client_request(message)).status; };
    message.method = "POST", message.target = "/-/ready";
    assert(status() == 405);
    message.method = "GET", message.target = "/position-find";
    assert(status() == 405);
    message.method = "POST", message.target = "/";
    assert(status() == 404);
    message.target = "/position-find";
    assert(status() == 400); // no id
    message.headers = {{"x-request-id", "a"}, {"x-timeout", "250000u"}};
    for (const char* body :
         {"", "{}", R"({"query":"q","targets":[]})", R"({"query":1,"targets":[]})",
          R"({"query":"q","targets":[{"partition":-1,"share":1}]})",
          R"({"query":"q","targets":[{"partition":1,"share":1},{"partition":1,"share":1}]})"}) {
        message.body = body;
        assert(status() == 400);
    }
    message.body = R"({"query":"q","targets":[{"partition":1,"share":1}]})";
    assert(std::get<SearchRequest>(read_client_request(message)).timeout_us == 250'000);
    message.headers[0].second = "two words"; // a blank would break the line format of a frame
    assert(status() == 400);
}

// Requests that parsers may interpret differently allow request smuggling and must be rejected.
void ambiguous_requests_are_rejected() {
    for (const char* fields :
         {"Content-Length:\r\n", "Content-Length: \r\nContent-Length: 5\r\n", "Content-Length: +5\r\n",
          "Content-Length: -5\r\n", "Content-Length: 5, 5\r\n", "Content-Length: 99999999999999999999\r\n",
          "Transfer-Encoding:\r\n", "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
          "Transfer-Encoding: chunked\r\nContent-Length:\r\n", "Content-Length : 5\r\n", " X: folded\r\n",
          "\tX: folded\r\n", "X Y: 1\r\n", ": 1\r\n", "X: a\rb\r\n", "X: 1\nY: 2\r\n"})
        assert(status_of(request(fields, "hello")) == 400);
    for (const char* line : {"POST /x HTTP/1.10\r\n", "POST /x HTTP/1.\r\n", "POST /x  HTTP/1.1\r\n",
                             "PO(ST /x HTTP/1.1\r\n", "POST  HTTP/1.1\r\n", "POST /\x01 HTTP/1.1\r\n"})
        assert(status_of(std::string(line) + "\r\n") == 400);
    assert(status_of("POST /x HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n") == 400);
    for (const char* size : {" 5\r\n", "0x5\r\n", "-5\r\n", "+5\r\n", ";x\r\n", "5\n"})
        assert(status_of(request("Transfer-Encoding: chunked\r\n", size)) == 400);
    HttpMessage message;
    message.method = "POST", message.target = "/position-find";
    message.body = R"({"query":"q","targets":[{"partition":1,"share":0.34},{"partition":2,"share":0.655}]})";
    const auto rejected = [&](std::vector<std::pair<std::string, std::string>> headers) {
        message.headers = std::move(headers);
        return std::holds_alternative<BadRequest>(read_client_request(message));
    };
    assert(!rejected({{"x-request-id", "a"}, {"x-timeout", "25m"}})); // shares may be rounded
    assert(rejected({{"x-request-id", "a"}, {"x-timeout", "25m"}, {"x-request-id", "b"}}));
    assert(rejected({{"x-request-id", "a"}, {"x-timeout", "25m"}, {"x-timeout", "900m"}}));
    assert(rejected({{"x-request-id", "a\x80"}, {"x-timeout", "25m"}}));
    for (const char* span : {"-25m", "nanm", "infm", "m", "25", "25s", "0x9m", "2 5m", ""})
        assert(rejected({{"x-request-id", "a"}, {"x-timeout", span}}));
    for (const char* body :
         {R"({"query":"q","targets":[{"partition":1,"share":0.5}]})",
          R"({"query":"q","targets":[{"partition":1,"share":2}]})",
          R"({"query":"q","targets":[{"partition":1,"share":1.5},{"partition":2,"share":-0.5}]})",
          R"({"query":"q","targets":[{"partition":1,"partition":2,"share":1}]})",
          R"({"query":"q","query":"r","targets":[{"partition":1,"share":1}]})",
          R"({"query":"q","targets":[{"partition":1.5,"share":1}]})", R"([{"query":"q"}])"}) {
        message.body = body;
        assert(rejected({{"x-request-id", "a"}, {"x-timeout", "25m"}}));
    }
}

void response_without_length_ends_with_its_connection() {
    const std::string bytes = "HTTP/1.1 200 OK\r\n\r\n{\"version\":1}";
    auto [parser, remaining] = feed_split(HttpParser::Side::kResponses, bytes, 30);
    assert(!parser.complete() && remaining == 0);
    parser.end();
    assert(parser.complete() && parser.take().body == "{\"version\":1}");
}

std::string frame_of(char type, const std::string& payload) {
    const std::size_t size = payload.size() + 1;
    return std::string{'\0', '\0', static_cast<char>(size >> 8), static_cast<char>(size), type} + payload;
}

void frames_are_parsed_at_every_split() {
    const std::string bytes = frame_of('R', "9b1f.3 done 184 inflight=7,util=0.61,queue=2\nva\nlue") +
                              frame_of('M', "") + frame_of('M', "failed");
    for (std::size_t at = 0; at <= bytes.size(); ++at) {
        std::vector<Frame> frames;
        FrameParser parser;
        for (std::string_view piece :
             {std::string_view(bytes).substr(0, at), std::string_view(bytes).substr(at)})
            while (!piece.empty()) {
                piece.remove_prefix(parser.feed(piece));
                if (parser.complete()) frames.push_back(parser.take());
            }
        assert(frames.size() == 3 && !parser.broken());
        const PartResponse response = read_part_response(frames[0].payload);
        assert(response.id == "9b1f.3" && response.outcome == Outcome::kAnswered &&
               response.value == "va\nlue");
        assert(response.report.in_flight == 7.0 && response.report.queued == 2.0);
        assert(read_load_response(frames[1].payload).passed && !read_load_response(frames[2].payload).passed);
    }
    assert(part_request_frame({{"9b1f.3", 3, 240, "c41e77d0"}}) ==
           frame_of('S', "9b1f.3 3 d=240 8\nc41e77d0"));
    assert(cancel_frame("9b1f.3") == frame_of('C', "9b1f.3"));
}

void hostile_frames_are_rejected_before_memory_is_allocated() {
    FrameParser huge, none;
    huge.feed(std::string("\x7F\xFF\xFF\xFF", 4)), none.feed(std::string(4, '\0'));
    assert(huge.broken() && none.broken());
    FrameParser type, endless, midway;
    type.feed(frame_of('\1', "a.1 done 1 -\nv")); // unknown frame type
    endless.feed(std::string("\0\3\0\0R", 5) + std::string(kMaxLineBytes + 1, 'a'));
    assert(type.broken() && endless.broken());
    midway.feed(frame_of('R', "a.1 done 1 -\nvalue").substr(0, 9));
    assert(midway.midway() && !midway.complete() && !midway.broken());
    for (const char* payload : {"", "a done 1 -", "a done 1\n", "a perhaps 1 -\n", "a  1 -\n"}) {
        bool thrown = false;
        try {
            read_part_response(payload);
        } catch (const ProtocolError&) { thrown = true; }
        assert(thrown);
    }
}

// The load report is optional, so a malformed one does not invalidate the value.
void response_with_a_malformed_report_is_accepted() {
    for (const char* report :
         {"=,=", "nan", "queue=nan", "queue=x", "inflight=-3", "busy_reqs=1e300,pending=1"}) {
        const PartResponse response = read_part_response("a.1 done 1 " + std::string(report) + "\nv");
        assert(response.outcome == Outcome::kAnswered && response.value == "v");
        assert(!response.report.queued && !response.report.in_flight);
    }
    assert(read_part_response("a.1 done 1 busy_reqs=2,pending=0.5\nv").report.queued == 0.5);
    assert(read_load_response("queue=x").passed && read_part_id("a.1 perhaps 1 -") == "a.1");
}

// For mutated input a parser accepts it, reports an error or throws ProtocolError, and never consumes more
// bytes than it was given.
void mutated_input_is_handled() {
    Pcg random(7);
    const std::string list = R"({"version":2,"full":true,"servers":[{"id":"s","addr":"1.2.3.4:5","zone":"a",)"
                             R"("cell":1,"state":"SERVING","weight":1.5,"started_ms":0}]})";
    const std::string length = "Content-Length: " + std::to_string(kBody.size()) + "\r\n";
    const std::vector<std::string> seeds = {request(length, kBody), list, kBody,
                                            frame_of('R', "a.1 done 1 queue=2\nv") + frame_of('M', "-")};
    for (int round = 0; round < 20'000; ++round) {
        std::string bytes = seeds[random.next() % seeds.size()];
        for (std::uint32_t i = random.next() % 4; i > 0; --i)
            bytes[random.next() % bytes.size()] = static_cast<char>(random.next());
        bytes.resize(bytes.size() - random.next() % 8);
        HttpParser http(HttpParser::Side::kRequests);
        assert(http.feed(bytes) <= bytes.size());
        if (http.complete()) read_client_request(http.take());
        FrameParser frames;
        for (std::string_view remaining = bytes; !remaining.empty() && !frames.broken();) {
            remaining.remove_prefix(frames.feed(remaining));
            if (frames.complete()) try {
                    read_part_response(frames.take().payload);
                } catch (const ProtocolError&) {}
        }
        try {
            read_server_list(bytes);
        } catch (const ProtocolError&) {}
    }
}

void json_is_strict_and_bounded() {
    for (const char* text : {"", "{", "[1,]", "{\"a\" 1}", "01", "1.", "\"\\x\"", "\"\\ud800\"",
                             "\"\\ud800\\u0041\"", "\"a", "nul", "[1] 2", "\"\n\""}) {
        bool thrown = false;
        try {
            read_json(text);
        } catch (const ProtocolError&) { thrown = true; }
        assert(thrown);
    }
    bool deep = false;
    try {
        read_json(std::string(100'000, '['));
    } catch (const ProtocolError&) { deep = true; }
    assert(deep);
    assert(read_json("9007199254740993").as_integer("n") == 9007199254740993);
    std::string out;
    write_json_text(out, "a\"\\\x01");
    assert(out == "\"a\\\"\\\\\\u0001\"" && read_json(out).text == "a\"\\\x01");
}

void unknown_server_states_are_read_as_draining() {
    const ServerList list = read_server_list(
        R"({"version":43,"full":false,"servers":[{"id":"s-1","addr":"10.1.0.18:8081","zone":"a b","cell":3,)"
        R"("state":"DRAINING","started_ms":1700000000123},{"id":"s-2","state":"RESTING"},)"
        R"({"id":"s-3","state":"DELETED"},{"id":"s-4","state":"SERVING","weight":1.5}]})");
    assert(list.version == 43 && !list.full && list.servers.size() == 4);
    assert(list.servers[0].zone == "a_b" && list.servers[0].started_ms == 1700000000123);
    assert(list.servers[0].listed == ListedState::kDraining &&
           list.servers[1].listed == ListedState::kDraining);
    assert(list.servers[2].listed == ListedState::kGone && list.servers[3].listed == ListedState::kLive);
}

// The simulator's opening message and the front node's JSON are read by the same parser.
void simulator_and_front_node_read_equal_settings() {
    const std::string start_config_json =
        R"({"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"ff",)"
        R"("limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"version":0,"full":true,"servers":[]},)"
        R"("settings":{"Grades":[{"AimUs":1000000,"DeadlineUs":2500000,"Idempotency":"non_idempotent",)"
        R"("Name":"game annotate","Worth":2.0}],"Limits":{"MostTries":3,"MaxOpen":203,"ConnIdleUs":15000000},)"
        R"("Specifics":{"ClassFloor":[0.5],"ClassNeed":[1.0],"Places":4,"Span":1,"Slabs":8},"Zones":["a b","c"],)"
        R"("Tenants":[{"Name":"t","QuotaPerS":28.0}],"PeersTotal":2}})";
    const StartConfig read = read_start_config(start_config_json);
    const SchedulerConfig simulated = simulator::read_scheduler_config(simulator::Message(
        "OPEN_INSTANCE Nonce64=255 Grades.count=1 Grades.0.AimUs=1000000 Grades.0.DeadlineUs=2500000 "
        "Grades.0.Idempotency=non_idempotent Grades.0.Worth=2.0 Limits.MostTries=3 Specifics.ClassFloor=0.5 "
        "Specifics.Places=4 Tenants.count=1 Tenants.0.QuotaPerS=28.0 PeersTotal=2"));
    const SchedulerConfig& scheduler_config = read.front_node_config.scheduler;
    assert(scheduler_config.seed == 255 && simulated.seed == 255 && scheduler_config.front_nodes == 2 &&
           simulated.front_nodes == 2);
    assert(scheduler_config.request_classes.size() == 1 &&
           scheduler_config.request_classes[0].latency_target == simulated.request_classes[0].latency_target);
    assert(scheduler_config.request_classes[0].idempotency == Idempotency::kNonIdempotent &&
           scheduler_config.request_classes[0].min_answer_weight == 0.5);
    assert(scheduler_config.cell_count == 4 && simulated.cell_count == 4 &&
           scheduler_config.max_attempts == 3);
    assert(read.front_node_config.request_classes[0] == "game_annotate" &&
           read.front_node_config.zones[0] == "a_b");
    assert(read.front_node_config.max_concurrent_searches_and_parts == 203 &&
           read.front_node_config.idle_timeout == ms(15'000) && read.sockets == 1024);
}

constexpr Test kTests[] = {
    TEST(request_is_parsed_at_every_split),
    TEST(malformed_requests_have_their_status),
    TEST(malformed_request_is_not_kept),
    TEST(body_limit_can_be_lowered_for_one_message),
    TEST(ambiguous_requests_are_rejected),
    TEST(response_without_length_ends_with_its_connection),
    TEST(frames_are_parsed_at_every_split),
    TEST(hostile_frames_are_rejected_before_memory_is_allocated),
    TEST(response_with_a_malformed_report_is_accepted),
    TEST(mutated_input_is_handled),
    TEST(json_is_strict_and_bounded),
    TEST(unknown_server_states_are_read_as_draining),
    TEST(simulator_and_front_node_read_equal_settings),
};

} // namespace

} // namespace ivyrill

int main(int count, char** arguments) { return ivyrill::run_test(ivyrill::kTests, count, arguments); }
