#include "script/script.hpp"

#include "script/builtins.hpp"
#include "script/syntax.hpp"

#include <algorithm>
#include <cmath>
#include <memory>
#include <set>

namespace ivyrill::script {

namespace {

constexpr int kMaxCallDepth = 48;            // nested function calls, and nesting of a result
constexpr int kMaxDepth = 800;               // nested expressions over all calls; bounds the use of the stack
constexpr std::size_t kMaxFileBytes = 65536; // bytes of one file

struct Module {
    Block block;
    std::map<std::string, Value> globals;
};
using Locals = std::map<std::string, Value>;

enum class Flow { kNormal, kBreak, kContinue, kReturn };

// Marks a list or dict as immutable while a loop iterates over it.
class IterationGuard {
  public:
    explicit IterationGuard(const Value& value) {
        if (const auto* list = std::get_if<ListObject*>(&value)) count_ = &(*list)->active_iterations;
        if (const auto* dict = std::get_if<DictObject*>(&value)) count_ = &(*dict)->active_iterations;
        if (count_ != nullptr) ++*count_;
    }
    ~IterationGuard() {
        if (count_ != nullptr) --*count_;
    }
    IterationGuard(const IterationGuard&) = delete;
    IterationGuard& operator=(const IterationGuard&) = delete;

  private:
    int* count_ = nullptr;
};

class Interpreter {
  public:
    Interpreter(const ReadFile& read, const Limits& limits)
        : read_(read), limits_(limits), heap_(limits.bytes), builtins_(make_builtins(heap_)) {}

    Module& load(const std::string& file, const SourceLocation& from) {
        if (const auto found = modules_.find(file); found != modules_.end()) return *found->second;
        if (!loading_.insert(file).second)
            throw ScriptError(from,
                              "'" + file + "' is already being loaded: files load each other in a cycle");
        if (loading_.size() + modules_.size() > limits_.files)
            throw ScriptError(from, "too many files are loaded");
        std::string text;
        try {
            text = read_(file);
        } catch (const std::runtime_error& error) { throw ScriptError(from, error.what()); }
        if (text.size() > kMaxFileBytes)
            throw ScriptError(from,
                              "'" + file + "' has more than " + std::to_string(kMaxFileBytes) + " bytes");
        auto module = std::make_unique<Module>();
        module->block = parse_script(file, text);
        Value ignored;
        run(module->block, *module, nullptr, ignored);
        for (auto& [name, value] : module->globals) freeze(value, 0);
        loading_.erase(file);
        return *modules_.emplace(file, std::move(module)).first->second;
    }

    Outcome outcome(const Module& module) {
        Outcome output;
        output.result = nlohmann::ordered_json::object();
        for (const auto& statement : module.block) collect(*statement, module, output.result);
        output.steps = steps_, output.bytes = heap_.bytes_used();
        return output;
    }

  private:
    // Keeps the order of the assignments in the file.
    void collect(const Statement& statement, const Module& module, nlohmann::ordered_json& into) {
        for (const auto* block : {&statement.body, &statement.else_block})
            for (const auto& inner : *block) collect(*inner, module, into);
        if (statement.kind != StatementKind::kAssign) return;
        std::vector<const Expression*> targets = {statement.target.get()};
        for (std::size_t i = 0; i < targets.size(); ++i) {
            const Expression& target = *targets[i];
            for (const auto& part : target.operands)
                if (target.kind != ExpressionKind::kIndex) targets.push_back(part.get());
            const auto found = target.kind == ExpressionKind::kName ? module.globals.find(target.text)
                                                                    : module.globals.end();
            if (found == module.globals.end() || target.text.starts_with("_")) continue;
            if (!callable(found->second)) into[target.text] = json(found->second, target.location, 0);
        }
    }

    static bool callable(const Value& value) {
        return std::holds_alternative<FunctionObject*>(value) ||
               std::holds_alternative<BuiltinObject*>(value);
    }

    nlohmann::ordered_json json(const Value& value, const SourceLocation& location, int depth) {
        step(location);
        if (depth > kMaxCallDepth) throw ScriptError(location, "nested too deeply, or contains itself");
        if (std::holds_alternative<None>(value)) return nullptr;
        if (const auto* flag = std::get_if<bool>(&value)) return *flag;
        if (const auto* integer = std::get_if<std::int64_t>(&value)) return *integer;
        if (const auto* real = std::get_if<double>(&value)) {
            if (!std::isfinite(*real)) throw ScriptError(location, "expected a finite number");
            return *real;
        }
        if (const std::string* text = as_string(value)) return *text;
        if (const auto* items = as_items(value)) {
            auto output = nlohmann::ordered_json::array();
            for (const Value& item : *items) output.push_back(json(item, location, depth + 1));
            return output;
        }
        if (const auto* dict = std::get_if<DictObject*>(&value)) {
            auto output = nlohmann::ordered_json::object();
            for (const auto& [key, item_value] : (*dict)->items) {
                if (as_string(key) == nullptr)
                    throw ScriptError(location,
                                      "expected strings as keys of a result, got " + repr(key).substr(0, 60));
                output[*as_string(key)] = json(item_value, location, depth + 1);
            }
            return output;
        }
        throw ScriptError(location, "a function cannot be part of a result");
    }

    void freeze(const Value& value, int depth) {
        if (depth > kMaxCallDepth) return;
        if (const auto* list = std::get_if<ListObject*>(&value)) {
            if (std::exchange((*list)->frozen, true)) return;
            for (const Value& item : (*list)->items) freeze(item, depth + 1);
        } else if (const auto* tuple = std::get_if<TupleRef>(&value)) {
            for (const Value& item : tuple->object->items) freeze(item, depth + 1);
        } else if (const auto* dict = std::get_if<DictObject*>(&value)) {
            if (std::exchange((*dict)->frozen, true)) return;
            for (auto& [key, item_value] : (*dict)->items) freeze(item_value, depth + 1);
        }
    }

    void step(const SourceLocation& location) {
        if (++steps_ > limits_.steps)
            throw ScriptError(location,
                              "the script takes more than " + std::to_string(limits_.steps) + " steps");
    }

    // Adds the source location to a ValueError.
    template <class Work> auto with_location(const SourceLocation& location, Work work) {
        try {
            return work();
        } catch (const ValueError& error) { throw ScriptError(location, error.what()); }
    }

    // ---- statements

    Flow run(const Block& block, Module& module, Locals* locals, Value& result) {
        for (const auto& statement : block) {
            step(statement->location);
            const Flow flow = run(*statement, module, locals, result);
            if (flow != Flow::kNormal) return flow;
        }
        return Flow::kNormal;
    }

    Flow run(const Statement& statement, Module& module, Locals* locals, Value& result) {
        switch (statement.kind) {
        case StatementKind::kPass:
            return Flow::kNormal;
        case StatementKind::kBreak:
            return Flow::kBreak;
        case StatementKind::kContinue:
            return Flow::kContinue;
        case StatementKind::kReturn:
            result = statement.value ? eval(*statement.value, module, locals) : Value{None{}};
            return Flow::kReturn;
        case StatementKind::kExpression:
            eval(*statement.value, module, locals);
            return Flow::kNormal;
        case StatementKind::kAssign:
            assign(*statement.target, eval(*statement.value, module, locals), module, locals);
            return Flow::kNormal;
        case StatementKind::kAugmentedAssign: {
            const Value old = eval(*statement.target, module, locals);
            const Value operand = eval(*statement.value, module, locals);
            const Value output = with_location(statement.location, [&]() -> Value {
                if (statement.text == "+" && std::holds_alternative<ListObject*>(old) &&
                    as_items(operand) != nullptr) {
                    const std::vector<Value> tail = *as_items(operand);
                    heap_.charge(tail.size() * sizeof(Value));
                    auto& items = mutable_list(old, "+=").items;
                    items.insert(items.end(), tail.begin(), tail.end());
                    return old;
                }
                return arithmetic(statement.text, old, operand);
            });
            assign(*statement.target, output, module, locals);
            return Flow::kNormal;
        }
        case StatementKind::kDef:
            define(statement, module, locals);
            return Flow::kNormal;
        case StatementKind::kIf:
            return run(is_truthy(eval(*statement.value, module, locals)) ? statement.body
                                                                         : statement.else_block,
                       module, locals, result);
        case StatementKind::kFor:
            return loop(statement, module, locals, result);
        case StatementKind::kLoad: {
            if (statement.text.find('/') != std::string::npos || statement.text.starts_with("."))
                throw ScriptError(statement.location, "expected a file of the same folder");
            const Module& other = load(statement.text, statement.location);
            for (const auto& [local_name, exported_name] : statement.loads) {
                const auto found = other.globals.find(exported_name);
                if (found == other.globals.end())
                    throw ScriptError(statement.location, "'" + statement.text + "' has no '" +
                                                              exported_name + "'" +
                                                              did_you_mean(exported_name, other.globals));
                module.globals[local_name] = found->second;
            }
            return Flow::kNormal;
        }
        }
        return Flow::kNormal;
    }

    void define(const Statement& statement, Module& module, Locals* locals) {
        if (locals != nullptr)
            throw ScriptError(statement.location, "functions cannot be defined inside functions");
        FunctionObject object{statement.def.get(), &module, {}, false};
        for (const Parameter& parameter : statement.def->parameters)
            if (parameter.default_value)
                object.defaults.push_back(eval(*parameter.default_value, module, locals));
        module.globals[statement.def->name] =
            with_location(statement.location, [&] { return heap_.function(std::move(object)); });
    }

    Flow loop(const Statement& statement, Module& module, Locals* locals, Value& result) {
        const Value iterable = eval(*statement.value, module, locals);
        const std::vector<Value> items = iteration_items(iterable, statement.value->location);
        const IterationGuard iteration_guard(iterable);
        for (const Value& item : items) {
            step(statement.location);
            assign(*statement.target, item, module, locals);
            const Flow flow = run(statement.body, module, locals, result);
            if (flow == Flow::kBreak) break;
            if (flow == Flow::kReturn) return flow;
        }
        return Flow::kNormal;
    }

    std::vector<Value> iteration_items(const Value& iterable, const SourceLocation& location) {
        if (const auto* items = as_items(iterable)) return *items;
        const auto* dict = std::get_if<DictObject*>(&iterable);
        if (dict == nullptr)
            throw ScriptError(location, "expected a list, tuple or dict to iterate over, got " +
                                            std::string(type_name(iterable)));
        std::vector<Value> keys;
        for (const auto& [key, item_value] : (*dict)->items) keys.push_back(key);
        return keys;
    }

    void assign(const Expression& target, const Value& value, Module& module, Locals* locals) {
        if (target.kind == ExpressionKind::kName) {
            if (locals != nullptr)
                (*locals)[target.text] = value;
            else
                module.globals[target.text] = value;
        } else if (target.kind == ExpressionKind::kIndex) {
            const Value object = eval(*target.operands[0], module, locals),
                        key = eval(*target.operands[1], module, locals);
            with_location(target.location, [&] {
                if (std::holds_alternative<DictObject*>(object)) {
                    heap_.charge(4 * sizeof(Value));
                    mutable_dict(object, "assignment").set(key, value);
                } else {
                    ListObject& list = mutable_list(object, "assignment");
                    list.items[checked_index(key, list.items.size())] = value;
                }
                return 0;
            });
        } else {
            const auto* items = as_items(value);
            if (items == nullptr || items->size() != target.operands.size())
                throw ScriptError(
                    target.location,
                    "expected " + std::to_string(target.operands.size()) + " values, got " +
                        (items == nullptr ? std::string(type_name(value)) : std::to_string(items->size())));
            const std::vector<Value> copy = *items;
            for (std::size_t i = 0; i < copy.size(); ++i)
                assign(*target.operands[i], copy[i], module, locals);
        }
    }

    // ---- expressions

    template <class Names> static std::string did_you_mean(const std::string& name, const Names& names) {
        std::vector<std::string> known;
        for (const auto& [other, value] : names) known.push_back(other);
        const std::string suggestion = nearest(name, known);
        return suggestion.empty() ? "" : ", did you mean '" + suggestion + "'?";
    }

    struct DepthGuard {
        explicit DepthGuard(int& depth, const SourceLocation& location) : depth(depth) {
            if (++depth > kMaxDepth) throw ScriptError(location, "nested too deeply");
        }
        ~DepthGuard() { --depth; }
        int& depth;
    };

    Value eval(const Expression& expression, Module& module, Locals* locals) {
        step(expression.location);
        const DepthGuard guard(depth_, expression.location);
        switch (expression.kind) {
        case ExpressionKind::kConstant:
            return constant(expression);
        case ExpressionKind::kName:
            return look_up(expression, module, locals);
        case ExpressionKind::kList:
        case ExpressionKind::kTuple: {
            std::vector<Value> items;
            for (const auto& part : expression.operands) items.push_back(eval(*part, module, locals));
            return with_location(expression.location, [&] {
                return expression.kind == ExpressionKind::kList ? heap_.list(std::move(items))
                                                                : heap_.tuple(std::move(items));
            });
        }
        case ExpressionKind::kDict:
            return dict(expression, module, locals);
        case ExpressionKind::kComprehension:
        case ExpressionKind::kDictComprehension:
            return comprehension(expression, module, locals);
        case ExpressionKind::kUnary: {
            const Value value = eval(*expression.operands[0], module, locals);
            return with_location(expression.location, [&] { return unary(expression.text, value); });
        }
        case ExpressionKind::kAnd:
        case ExpressionKind::kOr: {
            const Value left = eval(*expression.operands[0], module, locals);
            return is_truthy(left) == (expression.kind == ExpressionKind::kOr)
                       ? left
                       : eval(*expression.operands[1], module, locals);
        }
        case ExpressionKind::kConditional:
            return eval(
                *expression.operands[is_truthy(eval(*expression.operands[0], module, locals)) ? 1 : 2],
                module, locals);
        case ExpressionKind::kBinary: {
            const Value left = eval(*expression.operands[0], module, locals),
                        right = eval(*expression.operands[1], module, locals);
            return with_location(expression.location,
                                 [&] { return arithmetic(expression.text, left, right); });
        }
        case ExpressionKind::kAttribute: {
            const Value value = eval(*expression.operands[0], module, locals);
            return with_location(expression.location,
                                 [&] { return method_of(heap_, value, expression.text); });
        }
        case ExpressionKind::kCall:
            return call(expression, module, locals);
        case ExpressionKind::kIndex: {
            const Value object = eval(*expression.operands[0], module, locals),
                        key = eval(*expression.operands[1], module, locals);
            return with_location(expression.location, [&] { return index(object, key); });
        }
        case ExpressionKind::kSlice:
            return slice(expression, module, locals);
        }
        throw ScriptError(expression.location, "unknown kind of expression");
    }

    Value constant(const Expression& expression) {
        if (const auto* text = std::get_if<std::string>(&expression.constant))
            return with_location(expression.location, [&] { return heap_.text(*text); });
        if (const auto* flag = std::get_if<bool>(&expression.constant)) return *flag;
        if (const auto* integer = std::get_if<std::int64_t>(&expression.constant)) return *integer;
        if (const auto* real = std::get_if<double>(&expression.constant)) return *real;
        return None{};
    }

    Value look_up(const Expression& expression, const Module& module, const Locals* locals) const {
        if (locals != nullptr)
            if (const auto found = locals->find(expression.text); found != locals->end())
                return found->second;
        if (const auto found = module.globals.find(expression.text); found != module.globals.end())
            return found->second;
        if (const auto found = builtins_.find(expression.text); found != builtins_.end())
            return found->second;
        std::string suggestion = locals != nullptr ? did_you_mean(expression.text, *locals) : "";
        if (suggestion.empty()) suggestion = did_you_mean(expression.text, module.globals);
        if (suggestion.empty()) suggestion = did_you_mean(expression.text, builtins_);
        throw ScriptError(expression.location, "undefined name '" + expression.text + "'" + suggestion);
    }

    Value dict(const Expression& expression, Module& module, Locals* locals) {
        Value output = with_location(expression.location, [&] { return heap_.dict(); });
        DictObject& object = *std::get<DictObject*>(output);
        for (std::size_t i = 0; i + 1 < expression.operands.size(); i += 2) {
            const Value key = eval(*expression.operands[i], module, locals),
                        item_value = eval(*expression.operands[i + 1], module, locals);
            with_location(expression.operands[i]->location, [&] {
                if (object.find(key) != nullptr)
                    throw ValueError("the key " + repr(key).substr(0, 60) + " is repeated");
                heap_.charge(4 * sizeof(Value));
                return object.set(key, item_value), 0;
            });
        }
        return output;
    }

    Value comprehension(const Expression& expression, Module& module, Locals* locals) {
        Locals inner = locals != nullptr ? *locals : Locals{}; // a comprehension has its own scope
        std::vector<Value> items;
        Value output = expression.kind == ExpressionKind::kDictComprehension
                           ? with_location(expression.location, [&] { return heap_.dict(); })
                           : None{};
        run_clauses(expression, 0, module, inner, [&] {
            const Value first = eval(*expression.operands[0], module, &inner);
            const Value second = expression.kind == ExpressionKind::kDictComprehension
                                     ? eval(*expression.operands[1], module, &inner)
                                     : Value{None{}};
            with_location(expression.location, [&] {
                heap_.charge(4 * sizeof(Value));
                if (auto* const* object = std::get_if<DictObject*>(&output))
                    (*object)->set(first, second);
                else
                    items.push_back(first);
                return 0;
            });
        });
        return std::holds_alternative<None>(output)
                   ? with_location(expression.location, [&] { return heap_.list(std::move(items)); })
                   : output;
    }

    template <class Each>
    void run_clauses(const Expression& expression, std::size_t at, Module& module, Locals& inner, Each each) {
        if (at == expression.clauses.size()) return each();
        const Clause& clause = expression.clauses[at];
        const Value source = eval(*clause.source, module, &inner);
        if (clause.is_if) {
            if (is_truthy(source)) run_clauses(expression, at + 1, module, inner, each);
            return;
        }
        const std::vector<Value> items = iteration_items(source, clause.source->location);
        const IterationGuard iteration_guard(source);
        for (const Value& item : items) {
            step(expression.location);
            assign(*clause.target, item, module, &inner);
            run_clauses(expression, at + 1, module, inner, each);
        }
    }

    Value call(const Expression& expression, Module& module, Locals* locals) {
        const Value callee = eval(*expression.operands[0], module, locals);
        Arguments arguments{heap_, {}, {}, {}};
        for (std::size_t i = 0; i < expression.argument_names.size(); ++i) {
            const Value value = eval(*expression.operands[i + 1], module, locals);
            if (expression.argument_names[i].empty())
                arguments.positional.push_back(value);
            else
                arguments.named.emplace_back(expression.argument_names[i], value);
        }
        return call(callee, arguments, expression.location);
    }

    Value call(const Value& callee, Arguments& arguments, const SourceLocation& location) {
        step(location);
        if (const auto* builtin = std::get_if<BuiltinObject*>(&callee)) {
            arguments.call = [this, location](const Value& inner, std::vector<Value> values) {
                Arguments inner_arguments{heap_, std::move(values), {}, {}};
                return call(inner, inner_arguments, location);
            };
            return with_location(location, [&] { return (*builtin)->run(arguments); });
        }
        const auto* function = std::get_if<FunctionObject*>(&callee);
        if (function == nullptr)
            throw ScriptError(location, "expected a function to call, got " + std::string(type_name(callee)));
        FunctionObject& object = **function;
        if (object.running)
            throw ScriptError(location,
                              "'" + object.def->name + "' calls itself: recursion is not supported");
        if (calls_ >= kMaxCallDepth) throw ScriptError(location, "calls are nested too deeply");
        Locals locals = bind_arguments(object, arguments, location);
        object.running = true, ++calls_;
        Value result = None{};
        run(object.def->body, *const_cast<Module*>(static_cast<const Module*>(object.module)), &locals,
            result);
        object.running = false, --calls_;
        return result;
    }

    static Locals bind_arguments(const FunctionObject& object, const Arguments& arguments,
                                 const SourceLocation& location) {
        const auto& parameters = object.def->parameters;
        const std::string& name = object.def->name;
        if (arguments.positional.size() > parameters.size())
            throw ScriptError(location, name + ": expected at most " + std::to_string(parameters.size()) +
                                            " arguments, got " + std::to_string(arguments.positional.size()));
        Locals locals;
        const std::size_t required = parameters.size() - object.defaults.size();
        for (std::size_t i = 0; i < parameters.size(); ++i) {
            if (i < arguments.positional.size())
                locals[parameters[i].name] = arguments.positional[i];
            else if (i >= required)
                locals[parameters[i].name] = object.defaults[i - required];
        }
        for (const auto& [named, value] : arguments.named) {
            const auto found = std::ranges::find(parameters, named, &Parameter::name);
            if (found == parameters.end())
                throw ScriptError(location, name + ": no parameter is named '" + named + "'");
            if (static_cast<std::size_t>(found - parameters.begin()) < arguments.positional.size())
                throw ScriptError(location, name + ": '" + named + "' is given twice");
            locals[named] = value;
        }
        for (const Parameter& parameter : parameters)
            if (!locals.contains(parameter.name))
                throw ScriptError(location, name + ": expected a value for '" + parameter.name + "'");
        return locals;
    }

    static std::size_t checked_index(const Value& key, std::size_t size) {
        const auto* integer = std::get_if<std::int64_t>(&key);
        if (integer == nullptr)
            throw ValueError("expected an int as index, got " + std::string(type_name(key)));
        const std::int64_t at = *integer < 0 ? *integer + static_cast<std::int64_t>(size) : *integer;
        if (at < 0 || at >= static_cast<std::int64_t>(size))
            throw ValueError("index " + std::to_string(*integer) + " is outside of " + std::to_string(size) +
                             " items");
        return static_cast<std::size_t>(at);
    }

    Value index(const Value& object, const Value& key) {
        if (const auto* dict = std::get_if<DictObject*>(&object)) {
            const Value* found = (*dict)->find(key);
            if (found != nullptr) return *found;
            throw ValueError("no key " + repr(key).substr(0, 60));
        }
        if (const std::string* text = as_string(object))
            return heap_.text(std::string(1, (*text)[checked_index(key, text->size())]));
        const auto* items = as_items(object);
        if (items == nullptr) throw ValueError("a " + std::string(type_name(object)) + " cannot be indexed");
        return (*items)[checked_index(key, items->size())];
    }

    Value slice(const Expression& expression, Module& module, Locals* locals) {
        const Value object = eval(*expression.operands[0], module, locals);
        const std::string* text = as_string(object);
        const auto* items = as_items(object);
        if (text == nullptr && items == nullptr)
            throw ScriptError(expression.location,
                              "a " + std::string(type_name(object)) + " cannot be sliced");
        const auto size = static_cast<std::int64_t>(text != nullptr ? text->size() : items->size());
        const auto bound = [&](std::size_t part, std::int64_t default_value) {
            if (!expression.operands[part]) return default_value;
            const Value value = eval(*expression.operands[part], module, locals);
            const auto* integer = std::get_if<std::int64_t>(&value);
            if (integer == nullptr)
                throw ScriptError(expression.operands[part]->location, "expected an int in a slice");
            return *integer;
        };
        const std::int64_t stride = bound(3, 1);
        if (stride == 0) throw ScriptError(expression.location, "expected a step other than 0");
        const auto clip = [&](std::int64_t at) {
            if (at < 0) at = std::max<std::int64_t>(at, -size - 1) + size;
            return std::clamp<std::int64_t>(at, stride > 0 ? 0 : -1, stride > 0 ? size : size - 1);
        };
        const std::int64_t first = expression.operands[1] ? clip(bound(1, 0)) : (stride > 0 ? 0 : size - 1);
        const std::int64_t last = expression.operands[2] ? clip(bound(2, 0)) : (stride > 0 ? size : -1);
        std::string cut;
        std::vector<Value> taken;
        for (std::int64_t at = first; stride > 0 ? at < last : at > last;) {
            if (text != nullptr)
                cut += (*text)[static_cast<std::size_t>(at)];
            else
                taken.push_back((*items)[static_cast<std::size_t>(at)]);
            if (std::abs(stride) > size) break;
            at += stride;
        }
        return with_location(expression.location, [&] {
            if (text != nullptr) return heap_.text(std::move(cut));
            return std::holds_alternative<TupleRef>(object) ? heap_.tuple(std::move(taken))
                                                            : heap_.list(std::move(taken));
        });
    }

    static Value unary(const std::string& op, const Value& value) {
        if (op == "not") return !is_truthy(value);
        if (const auto* real = std::get_if<double>(&value)) return op == "-" ? -*real : *real;
        const auto* integer = std::get_if<std::int64_t>(&value);
        if (integer == nullptr)
            throw ValueError("expected a number after '" + op + "', got " + std::string(type_name(value)));
        if (op == "+") return value;
        if (*integer == INT64_MIN) throw ValueError("the number has more than 64 bits");
        return -*integer;
    }

    bool contains(const Value& object, const Value& item) {
        if (const auto* dict = std::get_if<DictObject*>(&object)) return (*dict)->find(item) != nullptr;
        if (const std::string* text = as_string(object)) {
            if (as_string(item) == nullptr) throw ValueError("expected a string before 'in' a string");
            return text->find(*as_string(item)) != std::string::npos;
        }
        const auto* items = as_items(object);
        if (items == nullptr) throw ValueError("expected a list, dict or string after 'in'");
        return std::ranges::any_of(*items, [&](auto& other) { return values_equal(other, item); });
    }

    Value arithmetic(const std::string& op, const Value& a, const Value& b) {
        if (op == "==") return values_equal(a, b);
        if (op == "!=") return !values_equal(a, b);
        if (op == "in") return contains(b, a);
        if (op == "not in") return !contains(b, a);
        if (op == "<") return compare(a, b) < 0;
        if (op == ">") return compare(a, b) > 0;
        if (op == "<=") return compare(a, b) <= 0;
        if (op == ">=") return compare(a, b) >= 0;
        if (op == "%" && as_string(a) != nullptr) return heap_.text(format_percent(*as_string(a), b));
        if (const Value joined = concatenate_or_repeat(op, a, b); !std::holds_alternative<None>(joined))
            return joined;
        const auto* x = std::get_if<std::int64_t>(&a);
        const auto* y = std::get_if<std::int64_t>(&b);
        if (x != nullptr && y != nullptr && op != "/") return integer(op, *x, *y);
        const auto real = [&](const Value& value) {
            if (const auto* number = std::get_if<double>(&value)) return *number;
            if (const auto* number = std::get_if<std::int64_t>(&value)) return static_cast<double>(*number);
            throw ValueError("no '" + op + "' between " + std::string(type_name(a)) + " and " +
                             std::string(type_name(b)));
        };
        const double p = real(a), q = real(b);
        if (op == "+") return p + q;
        if (op == "-") return p - q;
        if (op == "*") return p * q;
        if (q == 0 && (op == "/" || op == "//" || op == "%")) throw ValueError("division by zero");
        if (op == "/") return p / q;
        if (op == "//") return std::floor(p / q);
        if (op == "%") return p - std::floor(p / q) * q;
        throw ValueError("no '" + op + "' between " + std::string(type_name(a)) + " and " +
                         std::string(type_name(b)));
    }

    // Concatenates or repeats strings, lists and dicts; None if the operation is a numeric one.
    Value concatenate_or_repeat(const std::string& op, const Value& a, const Value& b) {
        if (op == "+" && as_string(a) != nullptr && as_string(b) != nullptr)
            return heap_.text(*as_string(a) + *as_string(b));
        if (op == "+" && as_items(a) != nullptr && a.index() == b.index()) {
            std::vector<Value> items = *as_items(a);
            items.insert(items.end(), as_items(b)->begin(), as_items(b)->end());
            return std::holds_alternative<TupleRef>(a) ? heap_.tuple(std::move(items))
                                                       : heap_.list(std::move(items));
        }
        if (op == "|" && std::holds_alternative<DictObject*>(a) && std::holds_alternative<DictObject*>(b)) {
            Value output = heap_.dict();
            DictObject& object = *std::get<DictObject*>(output);
            for (const Value& from : {a, b})
                for (const auto& [key, item_value] : std::get<DictObject*>(from)->items)
                    object.set(key, item_value);
            heap_.charge(object.items.size() * 4 * sizeof(Value));
            return output;
        }
        const auto* count = std::get_if<std::int64_t>(&b);
        if (op != "*" || count == nullptr || (as_string(a) == nullptr && as_items(a) == nullptr))
            return None{};
        const std::size_t size =
            as_string(a) != nullptr ? as_string(a)->size() : as_items(a)->size() * sizeof(Value);
        const auto times = static_cast<std::size_t>(std::max<std::int64_t>(0, *count));
        if (size > 0 && times > limits_.bytes / size) throw ValueError("the result would be too large");
        std::string text;
        std::vector<Value> items;
        for (std::size_t i = 0; i < times && size > 0; ++i) {
            if (as_string(a) != nullptr)
                text += *as_string(a);
            else
                items.insert(items.end(), as_items(a)->begin(), as_items(a)->end());
        }
        if (as_string(a) != nullptr) return heap_.text(std::move(text));
        return heap_.list(std::move(items));
    }

    static Value integer(const std::string& op, std::int64_t x, std::int64_t y) {
        std::int64_t output = 0;
        bool overflow = false;
        if (op == "+")
            overflow = __builtin_add_overflow(x, y, &output);
        else if (op == "-")
            overflow = __builtin_sub_overflow(x, y, &output);
        else if (op == "*")
            overflow = __builtin_mul_overflow(x, y, &output);
        else if (op == "//" || op == "%") {
            if (y == 0) throw ValueError("division by zero");
            if (x == INT64_MIN && y == -1) throw ValueError("the number has more than 64 bits");
            const std::int64_t rest = x % y; // as in Starlark, the result has the sign of the divisor
            const bool down = rest != 0 && (rest < 0) != (y < 0);
            output = op == "%" ? (down ? rest + y : rest) : x / y - (down ? 1 : 0);
        } else {
            throw ValueError("no '" + op + "' between int and int");
        }
        if (overflow) throw ValueError("the number has more than 64 bits");
        return output;
    }

    const ReadFile& read_;
    Limits limits_;
    Heap heap_;
    std::map<std::string, Value> builtins_;
    std::map<std::string, std::unique_ptr<Module>> modules_;
    std::set<std::string> loading_;
    std::size_t steps_ = 0;
    int calls_ = 0, depth_ = 0;
};

} // namespace

Outcome run_script(const std::string& file, const ReadFile& read, const Limits& limits) {
    Interpreter runner(read, limits);
    return runner.outcome(runner.load(file, {file, 1, 1}));
}

} // namespace ivyrill::script
