// SIGTERM while a stream runs on a kept connection; the client sends its next request, of an unsafe route, on that
// connection right after the end of the stream.
#include "rig.hpp"

using namespace rig;

constexpr double kStreamS = 5.5;     // how long the stream lasts
constexpr double kTermAfterS = 1.0;  // SIGTERM, after the stream was asked for
constexpr double kWorkS = 4.0;       // of the request after it, with a deadline of 10 s

int main(int count, char** arguments) {
    return run_case(count, arguments, [](const std::string& programs, bool trouble) {
        Fleet& fleet = *new Fleet(programs, 1);
        fleet.start_all();
        new Server(fleet, "i-1", fleet.host(31) + ":8080", "model",
                     [](Server& self, int descriptor, const Message& request) {
                         self.ran(request);
                         send_all(descriptor, "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.header("attempt-id") +
                                                  "\r\nServer-Seal: " + self.seal() +
                                                  "\r\nContent-Type: text/event-stream\r\n"
                                                  "Transfer-Encoding: chunked\r\n\r\n");
                         const int events = static_cast<int>(kStreamS / 0.1);
                         for (int i = 1; i <= events; ++i) {
                             char event[64], part[96];
                             std::snprintf(event, sizeof event, "id: %d\ndata: token %d\n\n", i, i);
                             std::snprintf(part, sizeof part, "%zx\r\n%s\r\n", std::strlen(event), event);
                             if (!send_all(descriptor, part)) return false;
                             pause_s(0.1);
                         }
                         return send_all(descriptor, "0\r\n\r\n");
                     });
        Server& ledger = *new Server(fleet, "i-2", fleet.host(32) + ":8080", "ledger",
                      [](Server& self, int descriptor, const Message& request) {
                          self.ran(request);
                          pause_s(kWorkS);
                          const bool sent = send_all(descriptor, self.whole(request, "{\"receipt\":1}"));
                          note("server i-2 ends its run and answers 200");
                          return sent;
                      });
        fleet.configure(0, configuration(1,
                                         route("chat", "/chat/", "streaming", "model", 20000, 1,
                                               ",\"sticky\":true,\"resumable\":false,\"gap_aim_ms\":300") +
                                             "," + route("receipt", "/receipt/", "unsafe", "ledger", 10000, 1),
                                         plain_service("model") + "," + plain_service("ledger")));
        fleet.await_ready();
        pause_s(4); // in touch

        const int descriptor = connect_to(fleet.front(1), 1);
        if (descriptor < 0) throw CouldNotRun{"the client can't connect"};
        Reader reader(descriptor);
        Asked stream;
        stream.attempt = "a1", stream.path = "/chat/1", stream.deadline_ms = 20000;
        send_all(descriptor, request_text(stream));
        note("client asks for the stream a1 on a kept connection");
        double terminated_at = 0;
        std::thread operation([&] {
            if (!trouble) return;
            pause_s(kTermAfterS);
            fleet.signal("agent-1", SIGTERM), fleet.signal("proxy-1", SIGTERM);
            terminated_at = seconds();
            note("SIGTERM to the machine that took the request (graceS 8)");
        });
        const Message first = reader.read(15);
        operation.join();
        note("client: stream a1: status %d, complete: %s, Connection: '%s'", first.status(),
             first.complete ? "yes" : "no", first.header("connection").c_str());
        if (!first.complete) throw CouldNotRun{"the stream isn't complete"};
        Asked receipt;
        receipt.attempt = "a2", receipt.path = "/receipt/1", receipt.deadline_ms = 10000;
        const double sent_at = seconds();
        send_all(descriptor, request_text(receipt));
        note("client sends a2 (unsafe) on the same connection, %.2f s after SIGTERM", trouble ? sent_at - terminated_at : 0);
        const Message second = reader.read(10);
        const double ended_at = seconds();
        const bool was_passed_on = !ledger.runs().empty();
        note("client: a2: status %d, complete: %s, %.2f s after it was sent; passed on to a server: %s",
             second.status(), second.complete ? "yes" : "no", ended_at - sent_at, was_passed_on ? "yes" : "no");
        pause_s(std::max(0.0, kWorkS + 0.3 - (ended_at - sent_at)));
        if (second.complete || !was_passed_on) return kHeld; // answered, or closed without having been taken up
        if (!trouble) return kBroken;
        // Excused: what was sent no later than 3 s after the SIGTERM. The deadline is 10 s.
        note("the connection ended %.2f s after SIGTERM without an answer to a2, which the server ran to its end",
             ended_at - terminated_at);
        return sent_at - terminated_at > 3 && ended_at - terminated_at < 9 ? kBroken : kHeld;
    });
}
