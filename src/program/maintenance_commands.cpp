#include "program/maintenance_commands.hpp"

#include "access/encoding.hpp"
#include "access/signature.hpp"
#include "maintenance/chart.hpp"
#include "maintenance/codec.hpp"
#include "maintenance/fragment_transport.hpp"
#include "maintenance/maintenance_schedule.hpp"
#include "program/operator_files.hpp"
#include "raft_storage/sqlite_raft_store.hpp"
#include "transport/datagrams.hpp"
#include "transport/loop.hpp"
#include "transport/stream.hpp"

#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <poll.h>
#include <unistd.h>

namespace ivyrill::program {

namespace {

using nlohmann::json;
using namespace maintenance;

struct Options {
    std::string node, operator_file, secret, request, by, note, why, machine, file, store_path;
    std::vector<std::string> machines;
    std::int64_t earliest_ms = 0, latest_ms = 0, timeout_ms = 15'000;
    bool as_json = false;
};

struct Reply {
    bool done = false;
    std::string text;
};

std::string secret_of(const Options& options) {
    if (!options.secret.empty()) return read_file(options.secret);
    if (options.operator_file.empty()) throw std::runtime_error("give --operator or --secret");
    const auto evaluated = evaluate(options.operator_file);
    const std::string file = evaluated.at("members").at("secret").get<std::string>();
    const auto folder = std::filesystem::path(options.operator_file).parent_path();
    return read_file(
        (std::filesystem::path(file).is_absolute() ? std::filesystem::path(file) : folder / file).string());
}

std::string node_of(const Options& options) {
    if (!options.node.empty()) return options.node;
    if (options.operator_file.empty()) throw std::runtime_error("give --node or --operator");
    return evaluate(options.operator_file).at("members").at("address").get<std::string>();
}

// Sends the request repeatedly until it is answered; its id makes repeats idempotent.
Reply query_node(const Options& options, json query) {
    const int descriptor = transport::bind_datagrams("127.0.0.1:0");
    const std::unique_ptr<const int, void (*)(const int*)> closes(&descriptor,
                                                                  [](const int* d) { close(*d); });
    const std::string node = node_of(options);
    const std::string address = "127.0.0.1:" + std::to_string(transport::port_of(descriptor));
    membership::DatagramCodec datagram_codec(secret_of(options));
    std::uint64_t serial = 0;
    std::memcpy(&serial, access::random_bytes(sizeof serial).data(), sizeof serial);
    FragmentTransport fragment_transport("operator", address, datagram_codec, serial >> 8U);
    const std::string request =
        options.request.empty() ? access::base64url(access::random_bytes(12)) : options.request;
    query["request"] = request;
    query["by"] = options.by;
    transport::Loop clock;
    const Ticks end = clock.now() + options.timeout_ms * (kTicksPerSecond / 1000);
    for (Ticks resend_at = 0; clock.now() < end;) {
        if (clock.now() >= resend_at) {
            resend_at = clock.now() + 2 * kTicksPerSecond;
            query["wall"] = static_cast<std::uint64_t>(transport::Loop::wall());
            fragment_transport.send(clock.now(), node, MessageKind::kOperatorRequest,
                                    codec::pack_cbor(query));
        }
        fragment_transport.step(clock.now());
        for (const OutboundDatagram& outgoing : fragment_transport.take_datagrams())
            transport::send_datagram(descriptor, outgoing.address, outgoing.bytes);
        pollfd wait{descriptor, POLLIN, 0};
        poll(&wait, 1, 20);
        while (auto datagram = transport::receive_datagram(descriptor)) {
            if (!FragmentTransport::is_fragment(datagram->bytes)) continue;
            const auto message = fragment_transport.receive(clock.now(), datagram->bytes);
            if (!message || message->kind != MessageKind::kOperatorReply) continue;
            const json row = json::from_cbor(message->bytes.begin(), message->bytes.end());
            if (row.at(0) == request || row.at(0) == "")
                return {row.at(1).get<bool>(), row.at(2).get<std::string>()};
        }
    }
    throw std::runtime_error("no answer from " + node + " in time (request " + request + ")");
}

std::string cell_text(const json& value) {
    if (value.is_string()) return value.get<std::string>();
    return value.dump();
}

void print_table(const json& rows, const std::vector<std::string>& columns) {
    std::vector<std::size_t> widths;
    for (const std::string& name : columns) {
        std::size_t width = name.size();
        for (const json& row : rows) width = std::max(width, cell_text(row.at(name)).size());
        widths.push_back(width);
    }
    const auto print_row = [&](const auto& text_of) {
        std::string out;
        for (std::size_t i = 0; i < columns.size(); ++i) {
            std::string text = text_of(columns[i]);
            text.resize(std::max(text.size(), widths[i] + 2), ' ');
            out += text;
        }
        out.erase(out.find_last_not_of(' ') + 1);
        std::cout << out << "\n";
    };
    print_row([](const std::string& name) { return name; });
    for (const json& row : rows) print_row([&](const std::string& name) { return cell_text(row.at(name)); });
}

int print_reply(const Options& options, const Reply& reply) {
    if (!reply.done) return std::cerr << "ivyrill: " << reply.text << "\n", 1;
    if (reply.text.empty()) return std::cout << "committed\n", 0;
    const json answer = json::parse(reply.text);
    if (options.as_json) return std::cout << answer.dump(2) << "\n", 0;
    std::cout << "as known to " << answer.at("node").get<std::string>() << ", "
              << answer.at("age_ms").get<std::int64_t>() << " ms ago; leader "
              << (answer.at("leader") == "" ? "none" : answer.at("leader").get<std::string>()) << ", voters "
              << answer.at("voters").dump() << ", " << answer.at("members") << " members\n";
    if (answer.at("held").get<bool>()) std::cout << "held: " << cell_text(answer.at("held_why")) << "\n";
    if (answer.contains("waits_for") && answer["waits_for"] != "")
        std::cout << "waits for: " << cell_text(answer["waits_for"]) << "\n";
    if (answer.contains("turns"))
        print_table(answer["turns"], {"machine", "state", "holder", "fence", "setbacks", "why"});
    if (answer.contains("steps")) {
        print_table(answer["steps"], {"machine", "begins_ms", "ends_ms", "why"});
        std::cout << "length " << answer["length_ms"] << " ms; first come, first served "
                  << answer["first_come_ms"] << " ms; lower bound " << answer["least_ms"] << " ms\n";
        for (const auto& [machine, why] : answer["never"].items())
            std::cout << machine << " cannot go: " << cell_text(why) << "\n";
    }
    if (answer.contains("objection")) {
        if (answer.contains("turn"))
            print_table(json::array({answer["turn"]}), {"machine", "state", "holder", "why"});
        std::cout << cell_text(answer["machine"]) << " is " << cell_text(answer["health"])
                  << "; reason against maintenance: " << cell_text(answer["objection"]) << "\n";
    }
    return 0;
}

int show_store(const Options& options) {
    raft_storage::SqliteRaftStore store(options.store_path);
    const StoredState stored = store.load();
    MaintenanceSchedule schedule;
    if (stored.snapshot)
        if (auto read = MaintenanceSchedule::decode(stored.snapshot->state)) schedule = *read;
    json rows = json::array();
    std::uint64_t index = stored.first;
    for (const LogEntry& entry : stored.entries) {
        const bool after_snapshot = !stored.snapshot || index++ > stored.snapshot->index;
        if (const auto command = after_snapshot && entry.kind == 1 ? decode(entry.bytes) : std::nullopt)
            schedule.apply(*command);
    }
    for (const auto& [name, job] : schedule.jobs())
        rows.push_back({{"machine", name},
                        {"state", to_string(job.state)},
                        {"holder", job.holder},
                        {"fence", job.fence.value},
                        {"why", job.reason}});
    std::cout << "as stored in " << options.store_path << ", committed or not: term " << stored.term
              << ", entries " << stored.entries.size() << "\n";
    print_table(rows, {"machine", "state", "holder", "fence", "why"});
    return 0;
}

int print_chart(const Options& options) {
    std::ifstream log(options.file);
    if (!log) throw std::runtime_error(options.file + ": cannot be read");
    std::cout << render_chart(log);
    return 0;
}

} // namespace

void add_maintenance_commands(CLI::App& app, std::function<int()>& run) {
    const auto options = std::make_shared<Options>();
    auto* work_command =
        app.add_subcommand("work", "machine maintenance: query or command a running front node");
    work_command->require_subcommand(1);
    const auto command = [&run, options, work_command](const char* name, const char* description,
                                                       std::function<int(const Options&)> action) {
        auto* subcommand = work_command->add_subcommand(name, description);
        subcommand->callback(
            [&run, options, action] { run = [options, action] { return action(*options); }; });
        return subcommand;
    };
    const auto add_query = [&](const char* name, const char* description,
                               std::function<void(const Options&, json&)> set_fields) {
        auto* subcommand = command(name, description, [name, set_fields](const Options& options) {
            json query{{"verb", name}};
            set_fields(options, query);
            return print_reply(options, query_node(options, query));
        });
        subcommand->add_option("--node", options->node, "address of any front node's membership socket");
        subcommand->add_option("--operator", options->operator_file,
                               "the operator's file, for the node and the secret");
        subcommand->add_option("--secret", options->secret, "file with the members' shared secret");
        subcommand->add_option("--by", options->by, "name of the operator")->envname("USER");
        subcommand->add_option("--request", options->request,
                               "id of this request; a repeated request is executed once");
        subcommand->add_option("--patience-ms", options->timeout_ms)->capture_default_str();
        return subcommand;
    };
    const auto with_machine = [options](CLI::App* subcommand) {
        subcommand->add_option("machine", options->machine, "the machine")->required();
        return subcommand;
    };
    const auto no_fields = [](const Options&, json&) {};
    const auto set_machine = [](const Options& a, json& q) { q["machine"] = a.machine; };
    auto* plan =
        add_query("plan", "show in which order machines would go, and why", [](const Options& a, json& q) {
            if (!a.machines.empty()) q["machines"] = a.machines;
        });
    plan->add_option("machines", options->machines, "these instead of the requested ones");
    auto* show = add_query("show", "show every maintenance job", no_fields);
    show->add_option("--ledger", options->store_path, "read the store of a stopped front node instead");
    show->callback([&run, options] {
        run = [options] {
            if (!options->store_path.empty()) return show_store(*options);
            return print_reply(*options, query_node(*options, json{{"verb", "show"}}));
        };
    });
    auto* add = add_query("add", "request maintenance of machines", [](const Options& a, json& q) {
        q["machines"] = a.machines, q["note"] = a.note;
        q["earliest"] = a.earliest_ms * 10, q["latest"] = a.latest_ms * 10;
    });
    add->add_option("machines", options->machines, "their names")->required();
    add->add_option("--note", options->note, "purpose");
    add->add_option("--earliest-ms", options->earliest_ms, "Unix time, milliseconds");
    add->add_option("--latest-ms", options->latest_ms, "Unix time, milliseconds");
    with_machine(add_query("withdraw", "cancel a machine's maintenance, or bring it back", set_machine));
    with_machine(add_query("hurry", "prioritize a machine", set_machine));
    auto* hold = add_query("hold", "start no further maintenance; machines that are out return as planned",
                           [](const Options& a, json& q) { q["why"] = a.why; });
    hold->add_option("--why", options->why);
    add_query("resume", "resume a held schedule", no_fields);
    auto* explain =
        with_machine(add_query("explain", "explain why a machine is not in maintenance now", set_machine));
    for (auto* subcommand : {plan, show, explain}) subcommand->add_flag("--json", options->as_json);
    auto* chart =
        command("chart", "draw the maintenance history from a front node's log as SVG", print_chart);
    chart->add_option("log", options->file, "the log file")->required();
}

} // namespace ivyrill::program
