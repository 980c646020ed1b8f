// An operator sends a configuration whose routes are no list of routes.
#include "rig.hpp"

using namespace rig;

int main(int count, char** arguments) {
    return run_case(count, arguments, [](const std::string& programs, bool trouble) {
        Fleet& fleet = *new Fleet(programs, 1);
        fleet.start_all();
        new Server(fleet, "i-1", fleet.host(31) + ":8080", "ledger",
                   [](Server& self, int descriptor, const Message& request) {
                       self.ran(request);
                       return send_all(descriptor, self.whole(request, "{\"receipt\":1}"));
                   });
        fleet.configure(0, configuration(1, route("receipt", "/receipt/", "unsafe", "ledger", 5000, 1),
                                         plain_service("ledger")));
        fleet.await_ready();
        pause_s(4); // in touch
        const auto ask = [&](const std::string& attempt) {
            Asked asked;
            asked.attempt = attempt, asked.path = "/receipt/1", asked.deadline_ms = 5000;
            const Message answer = call(fleet.front(1), request_text(asked), 6);
            note("client: %s: status %d", attempt.c_str(), answer.status());
            return answer.status();
        };
        if (ask("a1") != 200) throw CouldNotRun{"a proper request isn't served"};
        int status = 400;
        if (trouble) {
            // The value of `routes` is a string: no route can be read from it.
            const std::string invalid = "{\"version\":2,\"routes\":\"\",\"services\":[" + plain_service("ledger") +
                                        "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
                                        "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
            note("operator sends PUT /config, If-Match 1: %s", invalid.c_str());
            for (int node = 1; node <= 3; ++node) {
                status = fleet.put_config(node, 1, invalid);
                note("control node %d answers %d", node, status);
                if (status >= 200 && status < 500) break; // as the operator: on to another node after a 5xx or silence
            }
            pause_s(2.5); // configApplyMs 2,000
            const Message read = call(fleet.control(1), "GET /config HTTP/1.1\r\nHost: x\r\n\r\n", 2);
            note("GET /config: status %d, begins with %s", read.status(), read.body.substr(0, 40).c_str());
        }
        ask("a2");
        return status == 200 ? kBroken : kHeld;
    });
}
