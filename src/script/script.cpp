#include "script/script.hpp"

#include "script/builtins.hpp"
#include "script/syntax.hpp"

#include <algorithm>
#include <cmath>
#include <memory>
#include <set>

namespace ivyrill::script {

namespace {

constexpr int kMostCalls = 48;           // functions in functions, and depth of a result
constexpr int kMostDepth = 800;          // expressions in expressions, over all calls: the stack is bounded
constexpr std::size_t kMostText = 65536; // bytes of one file

struct Module {
    Block block;
    std::map<std::string, Value> globals;
};
using Locals = std::map<std::string, Value>;

enum class Flow { kOn, kBreak, kContinue, kReturn };

// A list or dict that a loop goes over.
class Walk {
  public:
    explicit Walk(const Value& value) {
        if (const auto* list = std::get_if<ListBox*>(&value)) count_ = &(*list)->walked;
        if (const auto* dict = std::get_if<DictBox*>(&value)) count_ = &(*dict)->walked;
        if (count_ != nullptr) ++*count_;
    }
    ~Walk() {
        if (count_ != nullptr) --*count_;
    }
    Walk(const Walk&) = delete;
    Walk& operator=(const Walk&) = delete;

  private:
    int* count_ = nullptr;
};

class Runner {
  public:
    Runner(const ReadFile& read, const Bounds& bounds)
        : read_(read), bounds_(bounds), heap_(bounds.bytes), builtins_(make_builtins(heap_)) {}

    Module& load(const std::string& file, const Place& from) {
        if (const auto found = modules_.find(file); found != modules_.end()) return *found->second;
        if (!loading_.insert(file).second)
            throw ScriptError(from,
                              "'" + file + "' is being loaded already: files load each other in a ring");
        if (loading_.size() + modules_.size() > bounds_.files)
            throw ScriptError(from, "too many files are loaded");
        std::string text;
        try {
            text = read_(file);
        } catch (const std::runtime_error& error) { throw ScriptError(from, error.what()); }
        if (text.size() > kMostText)
            throw ScriptError(from, "'" + file + "' has more than " + std::to_string(kMostText) + " bytes");
        auto module = std::make_unique<Module>();
        module->block = read_script(file, text);
        Value ignored;
        run(module->block, *module, nullptr, ignored);
        for (auto& [name, value] : module->globals) freeze(value, 0);
        loading_.erase(file);
        return *modules_.emplace(file, std::move(module)).first->second;
    }

    Outcome outcome(const Module& module) {
        Outcome made;
        made.result = nlohmann::ordered_json::object();
        for (const auto& statement : module.block) collect(*statement, module, made.result);
        made.steps = steps_, made.bytes = heap_.held();
        return made;
    }

  private:
    // In the order in which the file assigns them, so that the result reads like the file.
    void collect(const Statement& statement, const Module& module, nlohmann::ordered_json& into) {
        for (const auto* block : {&statement.body, &statement.otherwise})
            for (const auto& inner : *block) collect(*inner, module, into);
        if (statement.act != Act::kAssign) return;
        std::vector<const Expression*> targets = {statement.target.get()};
        for (std::size_t i = 0; i < targets.size(); ++i) {
            const Expression& target = *targets[i];
            for (const auto& part : target.parts)
                if (target.form != Form::kIndex) targets.push_back(part.get());
            const auto found =
                target.form == Form::kName ? module.globals.find(target.text) : module.globals.end();
            if (found == module.globals.end() || target.text.starts_with("_")) continue;
            if (!callable(found->second)) into[target.text] = json(found->second, target.place, 0);
        }
    }

    static bool callable(const Value& value) {
        return std::holds_alternative<FunctionBox*>(value) || std::holds_alternative<BuiltinBox*>(value);
    }

    nlohmann::ordered_json json(const Value& value, const Place& place, int depth) {
        step(place);
        if (depth > kMostCalls) throw ScriptError(place, "nested too deeply, or in itself");
        if (std::holds_alternative<None>(value)) return nullptr;
        if (const auto* flag = std::get_if<bool>(&value)) return *flag;
        if (const auto* whole = std::get_if<std::int64_t>(&value)) return *whole;
        if (const auto* real = std::get_if<double>(&value)) {
            if (!std::isfinite(*real)) throw ScriptError(place, "expected a finite number");
            return *real;
        }
        if (const std::string* text = as_text(value)) return *text;
        if (const auto* items = as_items(value)) {
            auto made = nlohmann::ordered_json::array();
            for (const Value& item : *items) made.push_back(json(item, place, depth + 1));
            return made;
        }
        if (const auto* dict = std::get_if<DictBox*>(&value)) {
            auto made = nlohmann::ordered_json::object();
            for (const auto& [key, held] : (*dict)->items) {
                if (as_text(key) == nullptr)
                    throw ScriptError(place, "expected texts as keys of a result, got " +
                                                 written(key).substr(0, 60));
                made[*as_text(key)] = json(held, place, depth + 1);
            }
            return made;
        }
        throw ScriptError(place, "a function cannot be part of a result");
    }

    void freeze(const Value& value, int depth) {
        if (depth > kMostCalls) return;
        if (const auto* list = std::get_if<ListBox*>(&value)) {
            if (std::exchange((*list)->frozen, true)) return;
            for (const Value& item : (*list)->items) freeze(item, depth + 1);
        } else if (const auto* tuple = std::get_if<TupleRef>(&value)) {
            for (const Value& item : tuple->box->items) freeze(item, depth + 1);
        } else if (const auto* dict = std::get_if<DictBox*>(&value)) {
            if (std::exchange((*dict)->frozen, true)) return;
            for (auto& [key, held] : (*dict)->items) freeze(held, depth + 1);
        }
    }

    void step(const Place& place) {
        if (++steps_ > bounds_.steps)
            throw ScriptError(place,
                              "the script takes more than " + std::to_string(bounds_.steps) + " steps");
    }

    // Adds the place to what only knows its values.
    template <class Work> auto placed(const Place& place, Work work) {
        try {
            return work();
        } catch (const ValueError& error) { throw ScriptError(place, error.what()); }
    }

    // ---- statements

    Flow run(const Block& block, Module& module, Locals* locals, Value& result) {
        for (const auto& statement : block) {
            step(statement->place);
            const Flow flow = run(*statement, module, locals, result);
            if (flow != Flow::kOn) return flow;
        }
        return Flow::kOn;
    }

    Flow run(const Statement& statement, Module& module, Locals* locals, Value& result) {
        switch (statement.act) {
        case Act::kPass:
            return Flow::kOn;
        case Act::kBreak:
            return Flow::kBreak;
        case Act::kContinue:
            return Flow::kContinue;
        case Act::kReturn:
            result = statement.value ? eval(*statement.value, module, locals) : Value{None{}};
            return Flow::kReturn;
        case Act::kExpression:
            eval(*statement.value, module, locals);
            return Flow::kOn;
        case Act::kAssign:
            assign(*statement.target, eval(*statement.value, module, locals), module, locals);
            return Flow::kOn;
        case Act::kAugment: {
            const Value old = eval(*statement.target, module, locals);
            const Value more = eval(*statement.value, module, locals);
            const Value made = placed(statement.place, [&]() -> Value {
                if (statement.text == "+" && std::holds_alternative<ListBox*>(old) &&
                    as_items(more) != nullptr) {
                    const std::vector<Value> tail = *as_items(more);
                    heap_.charge(tail.size() * sizeof(Value));
                    auto& items = as_list(old, "+=").items;
                    items.insert(items.end(), tail.begin(), tail.end());
                    return old;
                }
                return arithmetic(statement.text, old, more);
            });
            assign(*statement.target, made, module, locals);
            return Flow::kOn;
        }
        case Act::kDef:
            define(statement, module, locals);
            return Flow::kOn;
        case Act::kIf:
            return run(truth(eval(*statement.value, module, locals)) ? statement.body : statement.otherwise,
                       module, locals, result);
        case Act::kFor:
            return loop(statement, module, locals, result);
        case Act::kLoad: {
            if (statement.text.find('/') != std::string::npos || statement.text.starts_with("."))
                throw ScriptError(statement.place, "expected a file of the same folder");
            const Module& other = load(statement.text, statement.place);
            for (const auto& [mine, theirs] : statement.loads) {
                const auto found = other.globals.find(theirs);
                if (found == other.globals.end())
                    throw ScriptError(statement.place, "'" + statement.text + "' has no '" + theirs + "'" +
                                                           meant(theirs, other.globals));
                module.globals[mine] = found->second;
            }
            return Flow::kOn;
        }
        }
        return Flow::kOn;
    }

    void define(const Statement& statement, Module& module, Locals* locals) {
        if (locals != nullptr) throw ScriptError(statement.place, "expected functions outside of functions");
        FunctionBox box{statement.def.get(), &module, {}, false};
        for (const Parameter& parameter : statement.def->parameters)
            if (parameter.otherwise) box.defaults.push_back(eval(*parameter.otherwise, module, locals));
        module.globals[statement.def->name] =
            placed(statement.place, [&] { return heap_.function(std::move(box)); });
    }

    Flow loop(const Statement& statement, Module& module, Locals* locals, Value& result) {
        const Value over = eval(*statement.value, module, locals);
        const std::vector<Value> items = all_of(over, statement.value->place);
        const Walk walk(over);
        for (const Value& item : items) {
            step(statement.place);
            assign(*statement.target, item, module, locals);
            const Flow flow = run(statement.body, module, locals, result);
            if (flow == Flow::kBreak) break;
            if (flow == Flow::kReturn) return flow;
        }
        return Flow::kOn;
    }

    std::vector<Value> all_of(const Value& over, const Place& place) {
        if (const auto* items = as_items(over)) return *items;
        const auto* dict = std::get_if<DictBox*>(&over);
        if (dict == nullptr)
            throw ScriptError(place, "expected a list, tuple or dict to go over, got " +
                                         std::string(type_name(over)));
        std::vector<Value> keys;
        for (const auto& [key, held] : (*dict)->items) keys.push_back(key);
        return keys;
    }

    void assign(const Expression& target, const Value& value, Module& module, Locals* locals) {
        if (target.form == Form::kName) {
            if (locals != nullptr)
                (*locals)[target.text] = value;
            else
                module.globals[target.text] = value;
        } else if (target.form == Form::kIndex) {
            const Value box = eval(*target.parts[0], module, locals),
                        key = eval(*target.parts[1], module, locals);
            placed(target.place, [&] {
                if (std::holds_alternative<DictBox*>(box)) {
                    heap_.charge(4 * sizeof(Value));
                    as_dict(box, "assignment").set(key, value);
                } else {
                    ListBox& list = as_list(box, "assignment");
                    list.items[place_in(key, list.items.size())] = value;
                }
                return 0;
            });
        } else {
            const auto* items = as_items(value);
            if (items == nullptr || items->size() != target.parts.size())
                throw ScriptError(
                    target.place,
                    "expected " + std::to_string(target.parts.size()) + " values, got " +
                        (items == nullptr ? std::string(type_name(value)) : std::to_string(items->size())));
            const std::vector<Value> copy = *items;
            for (std::size_t i = 0; i < copy.size(); ++i) assign(*target.parts[i], copy[i], module, locals);
        }
    }

    // ---- expressions

    template <class Names> static std::string meant(const std::string& name, const Names& names) {
        std::vector<std::string> known;
        for (const auto& [other, value] : names) known.push_back(other);
        const std::string near = nearest(name, known);
        return near.empty() ? "" : ", did you mean '" + near + "'?";
    }

    struct Deeper {
        explicit Deeper(int& depth, const Place& place) : depth(depth) {
            if (++depth > kMostDepth) throw ScriptError(place, "nested too deeply");
        }
        ~Deeper() { --depth; }
        int& depth;
    };

    Value eval(const Expression& it, Module& module, Locals* locals) {
        step(it.place);
        const Deeper guard(depth_, it.place);
        switch (it.form) {
        case Form::kConstant:
            return constant(it);
        case Form::kName:
            return look_up(it, module, locals);
        case Form::kList:
        case Form::kTuple: {
            std::vector<Value> items;
            for (const auto& part : it.parts) items.push_back(eval(*part, module, locals));
            return placed(it.place, [&] {
                return it.form == Form::kList ? heap_.list(std::move(items)) : heap_.tuple(std::move(items));
            });
        }
        case Form::kDict:
            return dict(it, module, locals);
        case Form::kComprehension:
        case Form::kDictComprehension:
            return comprehension(it, module, locals);
        case Form::kUnary: {
            const Value value = eval(*it.parts[0], module, locals);
            return placed(it.place, [&] { return unary(it.text, value); });
        }
        case Form::kAnd:
        case Form::kOr: {
            const Value left = eval(*it.parts[0], module, locals);
            return truth(left) == (it.form == Form::kOr) ? left : eval(*it.parts[1], module, locals);
        }
        case Form::kChoice:
            return eval(*it.parts[truth(eval(*it.parts[0], module, locals)) ? 1 : 2], module, locals);
        case Form::kBinary: {
            const Value left = eval(*it.parts[0], module, locals), right = eval(*it.parts[1], module, locals);
            return placed(it.place, [&] { return arithmetic(it.text, left, right); });
        }
        case Form::kAttribute: {
            const Value value = eval(*it.parts[0], module, locals);
            return placed(it.place, [&] { return method_of(heap_, value, it.text); });
        }
        case Form::kCall:
            return call(it, module, locals);
        case Form::kIndex: {
            const Value box = eval(*it.parts[0], module, locals), key = eval(*it.parts[1], module, locals);
            return placed(it.place, [&] { return index(box, key); });
        }
        case Form::kSlice:
            return slice(it, module, locals);
        }
        throw ScriptError(it.place, "no such expression");
    }

    Value constant(const Expression& it) {
        if (const auto* text = std::get_if<std::string>(&it.constant))
            return placed(it.place, [&] { return heap_.text(*text); });
        if (const auto* flag = std::get_if<bool>(&it.constant)) return *flag;
        if (const auto* whole = std::get_if<std::int64_t>(&it.constant)) return *whole;
        if (const auto* real = std::get_if<double>(&it.constant)) return *real;
        return None{};
    }

    Value look_up(const Expression& it, const Module& module, const Locals* locals) const {
        if (locals != nullptr)
            if (const auto found = locals->find(it.text); found != locals->end()) return found->second;
        if (const auto found = module.globals.find(it.text); found != module.globals.end())
            return found->second;
        if (const auto found = builtins_.find(it.text); found != builtins_.end()) return found->second;
        std::string near = locals != nullptr ? meant(it.text, *locals) : "";
        if (near.empty()) near = meant(it.text, module.globals);
        if (near.empty()) near = meant(it.text, builtins_);
        throw ScriptError(it.place, "nothing is named '" + it.text + "'" + near);
    }

    Value dict(const Expression& it, Module& module, Locals* locals) {
        Value made = placed(it.place, [&] { return heap_.dict(); });
        DictBox& box = *std::get<DictBox*>(made);
        for (std::size_t i = 0; i + 1 < it.parts.size(); i += 2) {
            const Value key = eval(*it.parts[i], module, locals),
                        held = eval(*it.parts[i + 1], module, locals);
            placed(it.parts[i]->place, [&] {
                if (box.find(key) != nullptr)
                    throw ValueError("the key " + written(key).substr(0, 60) + " stands twice");
                heap_.charge(4 * sizeof(Value));
                return box.set(key, held), 0;
            });
        }
        return made;
    }

    Value comprehension(const Expression& it, Module& module, Locals* locals) {
        Locals inner = locals != nullptr ? *locals : Locals{}; // its names are its own
        std::vector<Value> items;
        Value made =
            it.form == Form::kDictComprehension ? placed(it.place, [&] { return heap_.dict(); }) : None{};
        walk_clauses(it, 0, module, inner, [&] {
            const Value first = eval(*it.parts[0], module, &inner);
            const Value second =
                it.form == Form::kDictComprehension ? eval(*it.parts[1], module, &inner) : Value{None{}};
            placed(it.place, [&] {
                heap_.charge(4 * sizeof(Value));
                if (auto* const* box = std::get_if<DictBox*>(&made))
                    (*box)->set(first, second);
                else
                    items.push_back(first);
                return 0;
            });
        });
        return std::holds_alternative<None>(made)
                   ? placed(it.place, [&] { return heap_.list(std::move(items)); })
                   : made;
    }

    template <class Each>
    void walk_clauses(const Expression& it, std::size_t at, Module& module, Locals& inner, Each each) {
        if (at == it.clauses.size()) return each();
        const Clause& clause = it.clauses[at];
        const Value source = eval(*clause.source, module, &inner);
        if (clause.is_if) {
            if (truth(source)) walk_clauses(it, at + 1, module, inner, each);
            return;
        }
        const std::vector<Value> items = all_of(source, clause.source->place);
        const Walk walk(source);
        for (const Value& item : items) {
            step(it.place);
            assign(*clause.target, item, module, &inner);
            walk_clauses(it, at + 1, module, inner, each);
        }
    }

    Value call(const Expression& it, Module& module, Locals* locals) {
        const Value callee = eval(*it.parts[0], module, locals);
        Arguments in{heap_, {}, {}, {}};
        for (std::size_t i = 0; i < it.names.size(); ++i) {
            const Value value = eval(*it.parts[i + 1], module, locals);
            if (it.names[i].empty())
                in.placed.push_back(value);
            else
                in.named.emplace_back(it.names[i], value);
        }
        return call(callee, in, it.place);
    }

    Value call(const Value& callee, Arguments& in, const Place& place) {
        step(place);
        if (const auto* builtin = std::get_if<BuiltinBox*>(&callee)) {
            in.call = [this, place](const Value& inner, std::vector<Value> values) {
                Arguments more{heap_, std::move(values), {}, {}};
                return call(inner, more, place);
            };
            return placed(place, [&] { return (*builtin)->run(in); });
        }
        const auto* function = std::get_if<FunctionBox*>(&callee);
        if (function == nullptr)
            throw ScriptError(place, "expected a function to call, got " + std::string(type_name(callee)));
        FunctionBox& box = **function;
        if (box.running)
            throw ScriptError(place, "'" + box.def->name + "' calls itself: there is no recursion");
        if (calls_ >= kMostCalls) throw ScriptError(place, "calls are nested too deeply");
        Locals locals = bind(box, in, place);
        box.running = true, ++calls_;
        Value result = None{};
        run(box.def->body, *const_cast<Module*>(static_cast<const Module*>(box.module)), &locals, result);
        box.running = false, --calls_;
        return result;
    }

    static Locals bind(const FunctionBox& box, const Arguments& in, const Place& place) {
        const auto& parameters = box.def->parameters;
        const std::string& name = box.def->name;
        if (in.placed.size() > parameters.size())
            throw ScriptError(place, name + ": expected at most " + std::to_string(parameters.size()) +
                                         " arguments, got " + std::to_string(in.placed.size()));
        Locals locals;
        const std::size_t given = parameters.size() - box.defaults.size();
        for (std::size_t i = 0; i < parameters.size(); ++i) {
            if (i < in.placed.size())
                locals[parameters[i].name] = in.placed[i];
            else if (i >= given)
                locals[parameters[i].name] = box.defaults[i - given];
        }
        for (const auto& [named, value] : in.named) {
            const auto found = std::ranges::find(parameters, named, &Parameter::name);
            if (found == parameters.end())
                throw ScriptError(place, name + ": no parameter is named '" + named + "'");
            if (static_cast<std::size_t>(found - parameters.begin()) < in.placed.size())
                throw ScriptError(place, name + ": '" + named + "' is given twice");
            locals[named] = value;
        }
        for (const Parameter& parameter : parameters)
            if (!locals.contains(parameter.name))
                throw ScriptError(place, name + ": expected a value for '" + parameter.name + "'");
        return locals;
    }

    static std::size_t place_in(const Value& key, std::size_t size) {
        const auto* whole = std::get_if<std::int64_t>(&key);
        if (whole == nullptr)
            throw ValueError("expected an int as index, got " + std::string(type_name(key)));
        const std::int64_t at = *whole < 0 ? *whole + static_cast<std::int64_t>(size) : *whole;
        if (at < 0 || at >= static_cast<std::int64_t>(size))
            throw ValueError("index " + std::to_string(*whole) + " is outside of " + std::to_string(size) +
                             " items");
        return static_cast<std::size_t>(at);
    }

    Value index(const Value& box, const Value& key) {
        if (const auto* held = std::get_if<DictBox*>(&box)) {
            const Value* found = (*held)->find(key);
            if (found != nullptr) return *found;
            throw ValueError("no key " + written(key).substr(0, 60));
        }
        if (const std::string* text = as_text(box))
            return heap_.text(std::string(1, (*text)[place_in(key, text->size())]));
        const auto* items = as_items(box);
        if (items == nullptr) throw ValueError("a " + std::string(type_name(box)) + " has no index");
        return (*items)[place_in(key, items->size())];
    }

    Value slice(const Expression& it, Module& module, Locals* locals) {
        const Value box = eval(*it.parts[0], module, locals);
        const std::string* text = as_text(box);
        const auto* items = as_items(box);
        if (text == nullptr && items == nullptr)
            throw ScriptError(it.place, "a " + std::string(type_name(box)) + " has no slices");
        const auto size = static_cast<std::int64_t>(text != nullptr ? text->size() : items->size());
        const auto bound = [&](std::size_t part, std::int64_t otherwise) {
            if (!it.parts[part]) return otherwise;
            const Value value = eval(*it.parts[part], module, locals);
            const auto* whole = std::get_if<std::int64_t>(&value);
            if (whole == nullptr) throw ScriptError(it.parts[part]->place, "expected an int in a slice");
            return *whole;
        };
        const std::int64_t by = bound(3, 1);
        if (by == 0) throw ScriptError(it.place, "expected a step other than 0");
        const auto clip = [&](std::int64_t at) {
            if (at < 0) at = std::max<std::int64_t>(at, -size - 1) + size;
            return std::clamp<std::int64_t>(at, by > 0 ? 0 : -1, by > 0 ? size : size - 1);
        };
        const std::int64_t first = it.parts[1] ? clip(bound(1, 0)) : (by > 0 ? 0 : size - 1);
        const std::int64_t last = it.parts[2] ? clip(bound(2, 0)) : (by > 0 ? size : -1);
        std::string cut;
        std::vector<Value> taken;
        for (std::int64_t at = first; by > 0 ? at < last : at > last;) {
            if (text != nullptr)
                cut += (*text)[static_cast<std::size_t>(at)];
            else
                taken.push_back((*items)[static_cast<std::size_t>(at)]);
            if (std::abs(by) > size) break;
            at += by;
        }
        return placed(it.place, [&] {
            if (text != nullptr) return heap_.text(std::move(cut));
            return std::holds_alternative<TupleRef>(box) ? heap_.tuple(std::move(taken))
                                                         : heap_.list(std::move(taken));
        });
    }

    static Value unary(const std::string& sign, const Value& value) {
        if (sign == "not") return !truth(value);
        if (const auto* real = std::get_if<double>(&value)) return sign == "-" ? -*real : *real;
        const auto* whole = std::get_if<std::int64_t>(&value);
        if (whole == nullptr)
            throw ValueError("expected a number after '" + sign + "', got " + std::string(type_name(value)));
        if (sign == "+") return value;
        if (*whole == INT64_MIN) throw ValueError("the number has more than 64 bits");
        return -*whole;
    }

    bool contains(const Value& box, const Value& item) {
        if (const auto* held = std::get_if<DictBox*>(&box)) return (*held)->find(item) != nullptr;
        if (const std::string* text = as_text(box)) {
            if (as_text(item) == nullptr) throw ValueError("expected a string before 'in' a string");
            return text->find(*as_text(item)) != std::string::npos;
        }
        const auto* items = as_items(box);
        if (items == nullptr) throw ValueError("expected a list, dict or string after 'in'");
        return std::ranges::any_of(*items, [&](auto& other) { return same(other, item); });
    }

    Value arithmetic(const std::string& sign, const Value& a, const Value& b) {
        if (sign == "==") return same(a, b);
        if (sign == "!=") return !same(a, b);
        if (sign == "in") return contains(b, a);
        if (sign == "not in") return !contains(b, a);
        if (sign == "<") return compare(a, b) < 0;
        if (sign == ">") return compare(a, b) > 0;
        if (sign == "<=") return compare(a, b) <= 0;
        if (sign == ">=") return compare(a, b) >= 0;
        if (sign == "%" && as_text(a) != nullptr) return heap_.text(format_percent(*as_text(a), b));
        if (const Value joined = combined(sign, a, b); !std::holds_alternative<None>(joined)) return joined;
        const auto* x = std::get_if<std::int64_t>(&a);
        const auto* y = std::get_if<std::int64_t>(&b);
        if (x != nullptr && y != nullptr && sign != "/") return whole(sign, *x, *y);
        const auto real = [&](const Value& value) {
            if (const auto* number = std::get_if<double>(&value)) return *number;
            if (const auto* number = std::get_if<std::int64_t>(&value)) return static_cast<double>(*number);
            throw ValueError("no '" + sign + "' between " + std::string(type_name(a)) + " and " +
                             std::string(type_name(b)));
        };
        const double p = real(a), q = real(b);
        if (sign == "+") return p + q;
        if (sign == "-") return p - q;
        if (sign == "*") return p * q;
        if (q == 0 && (sign == "/" || sign == "//" || sign == "%")) throw ValueError("division by zero");
        if (sign == "/") return p / q;
        if (sign == "//") return std::floor(p / q);
        if (sign == "%") return p - std::floor(p / q) * q;
        throw ValueError("no '" + sign + "' between " + std::string(type_name(a)) + " and " +
                         std::string(type_name(b)));
    }

    // Texts, lists and dicts put together or repeated; None where that is not what is asked for.
    Value combined(const std::string& sign, const Value& a, const Value& b) {
        if (sign == "+" && as_text(a) != nullptr && as_text(b) != nullptr)
            return heap_.text(*as_text(a) + *as_text(b));
        if (sign == "+" && as_items(a) != nullptr && a.index() == b.index()) {
            std::vector<Value> items = *as_items(a);
            items.insert(items.end(), as_items(b)->begin(), as_items(b)->end());
            return std::holds_alternative<TupleRef>(a) ? heap_.tuple(std::move(items))
                                                       : heap_.list(std::move(items));
        }
        if (sign == "|" && std::holds_alternative<DictBox*>(a) && std::holds_alternative<DictBox*>(b)) {
            Value made = heap_.dict();
            DictBox& box = *std::get<DictBox*>(made);
            for (const Value& from : {a, b})
                for (const auto& [key, held] : std::get<DictBox*>(from)->items) box.set(key, held);
            heap_.charge(box.items.size() * 4 * sizeof(Value));
            return made;
        }
        const auto* count = std::get_if<std::int64_t>(&b);
        if (sign != "*" || count == nullptr || (as_text(a) == nullptr && as_items(a) == nullptr))
            return None{};
        const std::size_t size =
            as_text(a) != nullptr ? as_text(a)->size() : as_items(a)->size() * sizeof(Value);
        const auto times = static_cast<std::size_t>(std::max<std::int64_t>(0, *count));
        if (size > 0 && times > bounds_.bytes / size) throw ValueError("the result would be too large");
        std::string text;
        std::vector<Value> items;
        for (std::size_t i = 0; i < times && size > 0; ++i) {
            if (as_text(a) != nullptr)
                text += *as_text(a);
            else
                items.insert(items.end(), as_items(a)->begin(), as_items(a)->end());
        }
        if (as_text(a) != nullptr) return heap_.text(std::move(text));
        return heap_.list(std::move(items));
    }

    static Value whole(const std::string& sign, std::int64_t x, std::int64_t y) {
        std::int64_t made = 0;
        bool over = false;
        if (sign == "+")
            over = __builtin_add_overflow(x, y, &made);
        else if (sign == "-")
            over = __builtin_sub_overflow(x, y, &made);
        else if (sign == "*")
            over = __builtin_mul_overflow(x, y, &made);
        else if (sign == "//" || sign == "%") {
            if (y == 0) throw ValueError("division by zero");
            if (x == INT64_MIN && y == -1) throw ValueError("the number has more than 64 bits");
            const std::int64_t rest = x % y; // as Starlark: the sign of the divisor
            const bool down = rest != 0 && (rest < 0) != (y < 0);
            made = sign == "%" ? (down ? rest + y : rest) : x / y - (down ? 1 : 0);
        } else {
            throw ValueError("no '" + sign + "' between int and int");
        }
        if (over) throw ValueError("the number has more than 64 bits");
        return made;
    }

    const ReadFile& read_;
    Bounds bounds_;
    Heap heap_;
    std::map<std::string, Value> builtins_;
    std::map<std::string, std::unique_ptr<Module>> modules_;
    std::set<std::string> loading_;
    std::size_t steps_ = 0;
    int calls_ = 0, depth_ = 0;
};

} // namespace

Outcome run_script(const std::string& file, const ReadFile& read, const Bounds& bounds) {
    Runner runner(read, bounds);
    return runner.outcome(runner.load(file, {file, 1, 1}));
}

} // namespace ivyrill::script
