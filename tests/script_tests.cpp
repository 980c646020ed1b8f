// Tests of the operators' script language and of the typed settings read from its result.
#include "fake_host.hpp"
#include "operator/operator_settings.hpp"
#include "script/script.hpp"

namespace ivyrill::script {

namespace {

using nlohmann::ordered_json;

struct Folder { // files by name; main.star is run
    std::map<std::string, std::string> files;
    Outcome run(const Limits& limits = {}) const {
        return run_script(
            "main.star",
            [this](const std::string& name) {
                const auto found = files.find(name);
                if (found == files.end()) throw std::runtime_error(name + ": no such file");
                return found->second;
            },
            limits);
    }
};

ordered_json result(const std::string& text) { return Folder{{{"main.star", text}}}.run().result; }

std::string error_text(const std::string& text, const Limits& limits = {}) {
    try {
        Folder{{{"main.star", text}}}.run(limits);
    } catch (const ScriptError& error) { return error.what(); }
    return "none";
}

bool fails_with(const std::string& text, const std::string& expected) {
    const std::string message = error_text(text);
    const bool found = message.find(expected) != std::string::npos;
    if (!found) std::cerr << "expected '" << expected << "', got '" << message << "'\n";
    return found;
}

void values_and_operators_follow_starlark() {
    assert(result("a = 7 // 2\nb = -7 // 2\nc = -7 % 3\nd = 7 / 2\ne = 2 * 3 + 4") ==
           ordered_json::parse(R"({"a":3,"b":-4,"c":2,"d":3.5,"e":10})"));
    assert(result("a = [1, 2] + [3]\nb = 'ab' * 2\nc = {'x': 1} | {'y': 2}\nd = (1,)\ne = not []") ==
           ordered_json::parse(R"({"a":[1,2,3],"b":"abab","c":{"x":1,"y":2},"d":[1],"e":true})"));
    assert(result("s = 'chess'\na = s[1:3]\nb = s[-1]\nc = s[::-1]\nd = [1,2,3][:2]\ne = 'es' in s")["c"] ==
           "ssehc");
    assert(result("a = 1 if 2 > 1 else 3\nb = 0x1F\nc = None or 'x'\nd = 1 < 2 and 2 < 3")["b"] == 31);
    assert(result("a = 1.5e3\nb = r'\\d'\nc = '''two\nlines'''\nd = 'tab\\there'")["c"] == "two\nlines");
}

void functions_loops_and_comprehensions_work() {
    const auto evaluated = result(R"(
def club(name, share = 10, tenant = None):
    """What a club is."""
    if share > 50:
        return {"name": name, "big": True}
    elif not tenant:
        tenant = "t-" + name
    return {"name": name, "tenant": tenant}

_private = [1, 2, 3]
clubs = [club(n) for n in ["etna", "conca"] if n != "conca"] + [club("aretusa", share = 60)]
by_name = {c["name"]: i for i, c in enumerate(clubs)}
total = 0
for i in range(10):
    if i % 2:
        continue
    if i > 6:
        break
    total += i
pairs = ["%s-%d" % (a, b) for a in "x y".split() for b in _private if b > 1]
text = "{0} has {n}".format("etna", n = 3)
first, (second, third) = 1, (2, 3)
names = sorted(["b", "A", "c"], key = lower_of if False else len)
)");
    assert(!evaluated.contains("_private") && !evaluated.contains("club"));
    assert(evaluated["clubs"][0]["tenant"] == "t-etna" && evaluated["clubs"][1]["big"] == true);
    assert(evaluated["by_name"]["aretusa"] == 1 && evaluated["total"] == 12 && evaluated["third"] == 3);
    assert(evaluated["pairs"] == ordered_json::parse(R"(["x-2","x-3","y-2","y-3"])") &&
           evaluated["text"] == "etna has 3");
}

void errors_name_the_location_and_what_was_expected() {
    assert(fails_with("a = 1\nb = = 2", "main.star:2:5: expected a value, got '='"));
    assert(fails_with("a = [1,\n2", "main.star:1:5: expected the closing bracket of this one"));
    assert(fails_with("def f(x)\n    pass", "main.star:1:9: expected ':', got the end of the line"));
    assert(fails_with("club = 1\na = clib", "main.star:2:5: undefined name 'clib', did you mean 'club'?"));
    assert(fails_with("a = 'x'.upcase()", "a string has no 'upcase'"));
    assert(fails_with("a = {'x': 1}['y']", "main.star:1:13: no key \"y\""));
    assert(fails_with("a = 1 + 'x'", "no '+' between int and string"));
    assert(fails_with("if True:\n\ta = 1", "main.star:2:1: expected blanks, not a tab"));
    assert(fails_with("a = 'open", "expected the closing quote"));
    assert(fails_with("while True:\n    pass", "'while' is not in this language"));
    assert(fails_with("return 1", "expected a function around 'return'"));
    assert(fails_with("def f(a):\n    return a\nb = f()", "f: expected a value for 'a'"));
    assert(fails_with("fail('no', 'such club')", "fail: no such club"));
    assert(fails_with("a = {'x': 1, 'x': 2}", "is repeated"));
    assert(fails_with("a = 9223372036854775807 + 1", "more than 64 bits"));
    assert(fails_with("a = -9223372036854775807 // 0", "division by zero"));
}

// Every script terminates: steps, memory and nesting are limited.
void every_script_terminates() {
    assert(fails_with("def f(n):\n    return f(n)\na = f(1)", "'f' calls itself"));
    assert(fails_with("def f():\n    return g()\ndef g():\n    return f()\na = f()", "calls itself"));
    assert(
        fails_with("r = range(2000)\nfor x in r:\n    for y in r:\n        pass", "more than 1000000 steps"));
    assert(fails_with("a = 'x' * 100000000", "too large"));
    assert(fails_with("a = range(2000000)", "range: more than"));
    assert(fails_with("a = [[1] * 1000] * 1000\nb = [list(x) for x in a for y in a]", "bytes"));
    assert(fails_with("a = [1]\na.append(a)\nb = str(a)", "nested too deeply"));
    assert(fails_with("a = [1]\na.append(a)", "nested too deeply"));
    assert(fails_with("a = " + std::string(300, '(') + "1" + std::string(300, ')'), "nested too deeply"));
    std::string chain = "a = 1";
    for (int i = 0; i < 5000; ++i) chain += "+1";
    assert(fails_with(chain, "chain of operators is too long"));
    assert(error_text("a = 1\nb = 2", {3, 1U << 20U, 4}).find("more than 3 steps") != std::string::npos);
    assert(fails_with("a = [1, 2]\nfor x in a:\n    a.append(x)",
                      "cannot change a value while a loop iterates over it"));
}

void files_are_loaded_from_the_same_folder_and_frozen() {
    Folder folder{
        {{"main.star", "load('clubs.star', 'CLUBS', mine = 'one')\nclubs = CLUBS\na = mine(2)"},
         {"clubs.star", "CLUBS = ['etna']\n_hidden = 1\ndef one(x):\n    return x + len(CLUBS)\n"}}};
    assert(folder.run().result == ordered_json::parse(R"({"clubs":["etna"],"a":3})"));
    const auto loading_fails_with = [&](const std::string& text, const std::string& expected) {
        folder.files["main.star"] = text;
        try {
            folder.run();
        } catch (const ScriptError& error) {
            return std::string(error.what()).find(expected) != std::string::npos;
        }
        return false;
    };
    assert(loading_fails_with("load('clubs.star', 'CLUBS')\nCLUBS.append(1)", "frozen"));
    assert(loading_fails_with("load('clubs.star', '_hidden')", "private"));
    assert(loading_fails_with("load('clubs.star', 'CLUB')", "did you mean 'CLUBS'?"));
    assert(loading_fails_with("load('../clubs.star', 'CLUBS')", "same folder"));
    assert(loading_fails_with("load('other.star', 'X')", "main.star:1:1: other.star: no such file"));
    assert(loading_fails_with("load('main.star', 'X')", "in a cycle"));
    folder.files["clubs.star"] = "a = 1\nb = a +";
    assert(loading_fails_with("load('clubs.star', 'a')", "clubs.star:2:8: expected a value"));
}

void evaluation_is_deterministic() {
    const std::string text =
        "a = {str(i): [i * 0.1, {'k%d' % i: i}] for i in range(50)}\nb = sorted(a.keys())\n";
    const Folder folder{{{"main.star", text}}};
    const Outcome first = folder.run(), second = folder.run();
    assert(first.result.dump() == second.result.dump() && first.steps == second.steps &&
           first.bytes == second.bytes);
}

// ---- the operator's settings

operators::OperatorSettings settings(const std::string& text) {
    return operators::read_operator_settings(result(text));
}

std::string error_of(const std::string& text) {
    try {
        settings(text);
    } catch (const operators::SettingsError& error) { return error.what(); }
    return "none";
}

const std::string kAccess = R"(
access = {
    "issuer": "trinacria", "audience": "archive", "keys": "keys",
    "clubs": {"circolo-etna": "circolo-etna"},
    "products": {"position-find": "read", "game-annotate": "write_own"},
}
)";

void operator_settings_are_read_by_type() {
    const operators::OperatorSettings parsed = settings(kAccess + R"(
listeners = [{"name": "members", "address": "127.0.0.1:8443", "certificate": "a.pem", "key": "a.key"}]
tls = {"open_handshakes": 10}
)");
    assert(parsed.access && parsed.access->platform_port_guarded &&
           parsed.access->options.skew == 5 * kTicksPerSecond);
    assert(parsed.access->options.request_classes.at("game-annotate") == access::Right::kWriteOwn);
    assert(!parsed.access->options.other_request_classes && parsed.listeners.size() == 1 &&
           parsed.listeners[0].guarded);
    assert(parsed.handshakes.max_open == 10 && !settings("").access);
}

void unknown_field_is_rejected_with_the_nearest_name() {
    assert(error_of("acess = {}") == "acess: is not a known field; did you mean 'access'?");
    assert(error_of("tls = {'open_handshake': 1}").find("did you mean 'open_handshakes'?") !=
           std::string::npos);
    assert(error_of("tls = {'open_handshakes': 0}") ==
           "tls.open_handshakes: expected an int from 1 to 10000, got 0");
    assert(error_of("access = {'issuer': 'a'}") == "access.audience: is missing; expected a string");
    assert(error_of(kAccess + "access['products'] = {'x': 'reed'}")
               .find("access.products[\"x\"]: expected \"read\"") == 0);
    assert(error_of(kAccess + "access['plain_port'] = 'guard'").find("did you mean 'guarded'?") !=
           std::string::npos);
    assert(error_of(kAccess +
                    "access['names'] = [{'uri': 'spiffe://a/*/b', 'club': 'circolo-etna', 'member': 'x'}]")
               .find("access.names[0].uri: expected '*' at the end only") == 0);
    assert(error_of(
               "listeners = [{'name': 'a', 'address': 'x', 'certificate': 'c', 'key': 'k', 'guarded': True}]")
               .find("listeners[0].guarded: there is no section 'access'") == 0);
    assert(error_of("listeners = 1") == "listeners: expected a list of dicts");
}

const std::string kMaintenance = R"(
members = {"address": "10.0.0.1:7946", "peers": ["10.0.0.2:7946"], "secret": "secret"}
rota = {
    "candidates": {"n0": "10.0.0.1:7946", "n1": "10.0.0.2:7946", "n2": "10.0.0.3:7946"},
    "keeper": {"command": ["/usr/local/bin/machine"]},
}
)";

void maintenance_settings_are_read_and_contradictions_are_rejected() {
    const operators::OperatorSettings parsed = settings(kMaintenance);
    assert(parsed.membership && parsed.membership->bind == "10.0.0.1:7946" &&
           parsed.maintenance->voter_count == 3);
    assert(parsed.maintenance->limits.min_replicas == 1 &&
           parsed.maintenance->timing.lease == 10 * kTicksPerSecond);
    const auto with = [](const std::string& more) { return error_of(kMaintenance + more); };
    assert(error_of("rota = {'candidates': {}}").find("rota: there is no section 'members'") == 0);
    assert(with("rota['council'] = 4").find("rota.council: expected 1, 3, 5 or 7") == 0);
    assert(with("rota['council'] = 5").find("rota.candidates: expected as many as the council has") == 0);
    assert(with("rota['spans'] = {'grant_ms': 1500, 'act_ms': 400}")
               .find("rota.spans.grant_ms: expected more than 16") == 0);
    assert(with("rota['spans'] = {'grant_ms': 3000, 'act_ms': 3000}").find("rota.spans.act_ms") == 0);
    assert(with("rota['answers'] = {'broken': 'put_back'}").find("what does not come back") !=
           std::string::npos);
    assert(with("rota['keeper'] = {}").find("rota.keeper.command: expected a command or an address") == 0);
    assert(with("rota['ledger'] = 'ledger.db'").find("expected a folder of its own") != std::string::npos);
    assert(with("rota['limits'] = {'zone_share': 2}").find("rota.limits.zone_share") == 0);
    assert(with("members['probe_ms'] = 1").find("members.probe_ms") == 0);
}

const Test kTests[] = {
    TEST(values_and_operators_follow_starlark),
    TEST(functions_loops_and_comprehensions_work),
    TEST(errors_name_the_location_and_what_was_expected),
    TEST(every_script_terminates),
    TEST(files_are_loaded_from_the_same_folder_and_frozen),
    TEST(evaluation_is_deterministic),
    TEST(operator_settings_are_read_by_type),
    TEST(unknown_field_is_rejected_with_the_nearest_name),
    TEST(maintenance_settings_are_read_and_contradictions_are_rejected),
};

} // namespace

} // namespace ivyrill::script

int main(int count, char** arguments) { return ivyrill::run_test(ivyrill::script::kTests, count, arguments); }
