#include "program/maintenance_commands.hpp"

#include "access/signature.hpp"
#include "access/text.hpp"
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

struct Ask {
    std::string node, operator_file, secret, request, by, note, why, machine, file, ledger;
    std::vector<std::string> machines;
    std::int64_t earliest_ms = 0, latest_ms = 0, patience_ms = 15'000;
    bool as_json = false;
};

struct Told {
    bool done = false;
    std::string text;
};

std::string secret_of(const Ask& ask) {
    if (!ask.secret.empty()) return read_file(ask.secret);
    if (ask.operator_file.empty()) throw std::runtime_error("give --operator or --secret");
    const auto evaluated = evaluate(ask.operator_file);
    const std::string file = evaluated.at("members").at("secret").get<std::string>();
    const auto folder = std::filesystem::path(ask.operator_file).parent_path();
    return read_file(
        (std::filesystem::path(file).is_absolute() ? std::filesystem::path(file) : folder / file).string());
}

std::string node_of(const Ask& ask) {
    if (!ask.node.empty()) return ask.node;
    if (ask.operator_file.empty()) throw std::runtime_error("give --node or --operator");
    return evaluate(ask.operator_file).at("members").at("address").get<std::string>();
}

// Asks again until it is answered: the request's name makes the second time the same as the first.
Told ask_node(const Ask& ask, json question) {
    const int descriptor = transport::bind_datagrams("127.0.0.1:0");
    const std::unique_ptr<const int, void (*)(const int*)> closes(&descriptor,
                                                                  [](const int* d) { close(*d); });
    const std::string node = node_of(ask);
    const std::string address = "127.0.0.1:" + std::to_string(transport::port_of(descriptor));
    membership::DatagramCodec datagram_codec(secret_of(ask));
    std::uint64_t serial = 0;
    std::memcpy(&serial, access::random_bytes(sizeof serial).data(), sizeof serial);
    FragmentTransport parcels("operator", address, datagram_codec, serial >> 8U);
    const std::string request =
        ask.request.empty() ? access::base64url(access::random_bytes(12)) : ask.request;
    question["request"] = request;
    question["by"] = ask.by;
    transport::Loop clock;
    const Tenths end = clock.now() + ask.patience_ms * (kTenthsPerSecond / 1000);
    for (Tenths again = 0; clock.now() < end;) {
        if (clock.now() >= again) {
            again = clock.now() + 2 * kTenthsPerSecond;
            question["wall"] = static_cast<std::uint64_t>(transport::Loop::wall());
            parcels.send(clock.now(), node, MessageKind::kOperatorRequest, codec::pack_cbor(question));
        }
        parcels.step(clock.now());
        for (const OutboundDatagram& sealed : parcels.take_datagrams())
            transport::send_datagram(descriptor, sealed.address, sealed.bytes);
        pollfd wait{descriptor, POLLIN, 0};
        poll(&wait, 1, 20);
        while (auto came = transport::receive_datagram(descriptor)) {
            if (!FragmentTransport::is_fragment(came->bytes)) continue;
            const auto parcel = parcels.receive(clock.now(), came->bytes);
            if (!parcel || parcel->kind != MessageKind::kOperatorReply) continue;
            const json row = json::from_cbor(parcel->bytes.begin(), parcel->bytes.end());
            if (row.at(0) == request || row.at(0) == "")
                return {row.at(1).get<bool>(), row.at(2).get<std::string>()};
        }
    }
    throw std::runtime_error("no answer from " + node + " in time (request " + request + ")");
}

std::string cell(const json& value) {
    if (value.is_string()) return value.get<std::string>();
    return value.dump();
}

void print_table(const json& rows, const std::vector<std::string>& columns) {
    std::vector<std::size_t> wide;
    for (const std::string& name : columns) {
        std::size_t most = name.size();
        for (const json& row : rows) most = std::max(most, cell(row.at(name)).size());
        wide.push_back(most);
    }
    const auto line = [&](const auto& text_of) {
        std::string out;
        for (std::size_t i = 0; i < columns.size(); ++i) {
            std::string text = text_of(columns[i]);
            text.resize(std::max(text.size(), wide[i] + 2), ' ');
            out += text;
        }
        out.erase(out.find_last_not_of(' ') + 1);
        std::cout << out << "\n";
    };
    line([](const std::string& name) { return name; });
    for (const json& row : rows) line([&](const std::string& name) { return cell(row.at(name)); });
}

int tell(const Ask& ask, const Told& told) {
    if (!told.done) return std::cerr << "ivyrill: " << told.text << "\n", 1;
    if (told.text.empty()) return std::cout << "agreed on\n", 0;
    const json answer = json::parse(told.text);
    if (ask.as_json) return std::cout << answer.dump(2) << "\n", 0;
    std::cout << "as " << answer.at("node").get<std::string>() << " knows it, "
              << answer.at("age_ms").get<std::int64_t>() << " ms old; leader "
              << (answer.at("leader") == "" ? "none" : answer.at("leader").get<std::string>()) << ", voters "
              << answer.at("voters").dump() << ", " << answer.at("members") << " members\n";
    if (answer.at("held").get<bool>()) std::cout << "held: " << cell(answer.at("held_why")) << "\n";
    if (answer.contains("waits_for") && answer["waits_for"] != "")
        std::cout << "waits for: " << cell(answer["waits_for"]) << "\n";
    if (answer.contains("turns"))
        print_table(answer["turns"], {"machine", "state", "holder", "fence", "setbacks", "why"});
    if (answer.contains("steps")) {
        print_table(answer["steps"], {"machine", "begins_ms", "ends_ms", "why"});
        std::cout << "length " << answer["length_ms"] << " ms; first come, first served "
                  << answer["first_come_ms"] << " ms; no order is shorter than " << answer["least_ms"]
                  << " ms\n";
        for (const auto& [machine, why] : answer["never"].items())
            std::cout << machine << " can't go: " << cell(why) << "\n";
    }
    if (answer.contains("objection")) {
        if (answer.contains("turn"))
            print_table(json::array({answer["turn"]}), {"machine", "state", "holder", "why"});
        std::cout << cell(answer["machine"]) << " is " << cell(answer["health"])
                  << "; against its going: " << cell(answer["objection"]) << "\n";
    }
    return 0;
}

int show_ledger(const Ask& ask) {
    raft_storage::SqliteRaftStore ledger(ask.ledger);
    const StoredState kept = ledger.load();
    MaintenanceSchedule evening;
    if (kept.snapshot)
        if (auto read = MaintenanceSchedule::decode(kept.snapshot->state)) evening = *read;
    json rows = json::array();
    std::uint64_t place = kept.first;
    for (const LogEntry& entry : kept.entries) {
        const bool behind = !kept.snapshot || place++ > kept.snapshot->index;
        if (const auto command = behind && entry.kind == 1 ? decode(entry.bytes) : std::nullopt)
            evening.apply(*command);
    }
    for (const auto& [name, turn] : evening.jobs())
        rows.push_back({{"machine", name},
                        {"state", to_string(turn.state)},
                        {"holder", turn.holder},
                        {"fence", turn.fence.value},
                        {"why", turn.reason}});
    std::cout << "as " << ask.ledger << " holds it, agreed on or not: term " << kept.term << ", entries "
              << kept.entries.size() << "\n";
    print_table(rows, {"machine", "state", "holder", "fence", "why"});
    return 0;
}

int draw_chart(const Ask& ask) {
    std::ifstream log(ask.file);
    if (!log) throw std::runtime_error(ask.file + ": cannot be read");
    std::cout << render_chart(log);
    return 0;
}

} // namespace

void add_maintenance_commands(CLI::App& app, std::function<int()>& run) {
    const auto ask = std::make_shared<Ask>();
    auto* work = app.add_subcommand("work", "machines taken out for work: ask a running front node");
    work->require_subcommand(1);
    const auto command = [&run, ask, work](const char* name, const char* words,
                                           std::function<int(const Ask&)> act) {
        auto* made = work->add_subcommand(name, words);
        made->callback([&run, ask, act] { run = [ask, act] { return act(*ask); }; });
        return made;
    };
    const auto asking = [&](const char* name, const char* words,
                            std::function<void(const Ask&, json&)> fill) {
        auto* made = command(name, words, [name, fill](const Ask& ask) {
            json question{{"verb", name}};
            fill(ask, question);
            return tell(ask, ask_node(ask, question));
        });
        made->add_option("--node", ask->node, "address of any front node's members' socket");
        made->add_option("--operator", ask->operator_file, "the operator's file: its node and its secret");
        made->add_option("--secret", ask->secret, "the members' secret, a file");
        made->add_option("--by", ask->by, "who asks")->envname("USER");
        made->add_option("--request", ask->request, "a name for this request; said twice, it is done once");
        made->add_option("--patience-ms", ask->patience_ms)->capture_default_str();
        return made;
    };
    const auto one = [ask](CLI::App* made) {
        made->add_option("machine", ask->machine, "the machine")->required();
        return made;
    };
    const auto nothing = [](const Ask&, json&) {};
    const auto machine = [](const Ask& a, json& q) { q["machine"] = a.machine; };
    auto* plan = asking("plan", "in which order machines would go, and why", [](const Ask& a, json& q) {
        if (!a.machines.empty()) q["machines"] = a.machines;
    });
    plan->add_option("machines", ask->machines, "these instead of those that are ordered");
    auto* show = asking("show", "every turn as it stands", nothing);
    show->add_option("--ledger", ask->ledger, "read a stopped front node's ledger instead");
    show->callback([&run, ask] {
        run = [ask] {
            if (!ask->ledger.empty()) return show_ledger(*ask);
            return tell(*ask, ask_node(*ask, json{{"verb", "show"}}));
        };
    });
    auto* add = asking("add", "order machines out for work", [](const Ask& a, json& q) {
        q["machines"] = a.machines, q["note"] = a.note;
        q["earliest"] = a.earliest_ms * 10, q["latest"] = a.latest_ms * 10;
    });
    add->add_option("machines", ask->machines, "their names")->required();
    add->add_option("--note", ask->note, "what for");
    add->add_option("--earliest-ms", ask->earliest_ms, "Unix time, milliseconds");
    add->add_option("--latest-ms", ask->latest_ms, "Unix time, milliseconds");
    one(asking("withdraw", "take a machine out of the order, or bring it back", machine));
    one(asking("hurry", "let a machine go before others", machine));
    auto* hold = asking("hold", "nothing more goes out; what is out comes back as planned",
                        [](const Ask& a, json& q) { q["why"] = a.why; });
    hold->add_option("--why", ask->why);
    asking("resume", "let the evening go on", nothing);
    auto* explain = one(asking("explain", "why a machine is not going now", machine));
    for (auto* made : {plan, show, explain}) made->add_flag("--json", ask->as_json);
    auto* chart = command("chart", "an evening as a picture (SVG), from a front node's log", draw_chart);
    chart->add_option("log", ask->file, "its log")->required();
}

} // namespace ivyrill::program
