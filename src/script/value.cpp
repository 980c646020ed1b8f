#include "script/value.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace ivyrill::script {

namespace {

constexpr int kMaxDepth = 64; // of nested values when they are printed or compared

template <class... Functions> struct Overloaded : Functions... { using Functions::operator()...; };
template <class... Functions> Overloaded(Functions...) -> Overloaded<Functions...>;

void check_depth(int depth) {
    if (depth > kMaxDepth) throw ValueError("nested too deeply, or contains itself");
}

std::string string_repr(const std::string& text) {
    std::string out = "\"";
    for (const char character : text) {
        if (character == '"' || character == '\\') out += '\\';
        if (character == '\n')
            out += "\\n";
        else if (character == '\t')
            out += "\\t";
        else if (character == '\r')
            out += "\\r";
        else
            out += character;
    }
    return out + "\"";
}

std::string number_repr(double number) {
    char text[40];
    std::snprintf(text, sizeof text, "%.17g", number);
    double back = 0;
    for (int digits = 1; digits < 17; ++digits) { // the shortest form that parses to the same number
        char shorter[40];
        std::snprintf(shorter, sizeof shorter, "%.*g", digits, number);
        if (std::sscanf(shorter, "%lf", &back) == 1 && back == number) {
            std::snprintf(text, sizeof text, "%s", shorter);
            break;
        }
    }
    std::string out = text;
    if (out.find_first_of(".einf") == std::string::npos) out += ".0";
    return out;
}

std::string items_repr(const std::vector<Value>& items, int depth) {
    std::string out;
    for (std::size_t i = 0; i < items.size(); ++i) out += (i > 0 ? ", " : "") + repr(items[i], depth);
    return out;
}

bool is_number(const Value& value) {
    return std::holds_alternative<std::int64_t>(value) || std::holds_alternative<double>(value);
}

double number(const Value& value) {
    const auto* whole = std::get_if<std::int64_t>(&value);
    return whole != nullptr ? static_cast<double>(*whole) : std::get<double>(value);
}

// 1 and 1.0 are the same key, since they are equal.
std::string key_text(const Value& key) {
    require_hashable(key);
    if (const auto* real = std::get_if<double>(&key);
        real != nullptr && std::floor(*real) == *real && std::abs(*real) < 9e15)
        return repr(Value{static_cast<std::int64_t>(*real)});
    return repr(key);
}

} // namespace

const Value& Arguments::at(std::size_t index) const {
    if (index >= positional.size())
        throw ValueError("expected at least " + std::to_string(index + 1) + " arguments, got " +
                         std::to_string(positional.size()));
    return positional[index];
}

void Arguments::expect(std::size_t min_count, std::size_t max_count) const {
    if (!named.empty()) throw ValueError("unexpected argument named '" + named.front().first + "'");
    if (positional.size() >= min_count && positional.size() <= max_count) return;
    const std::string expected = min_count == max_count
                                     ? std::to_string(min_count)
                                     : std::to_string(min_count) + " to " + std::to_string(max_count);
    throw ValueError("expected " + expected + " arguments, got " + std::to_string(positional.size()));
}

const Value* DictObject::find(const Value& key) const {
    const auto found = index_by_key.find(key_text(key));
    return found == index_by_key.end() ? nullptr : &items[found->second].second;
}

void DictObject::set(const Value& key, const Value& value) {
    const auto [position, inserted] = index_by_key.try_emplace(key_text(key), items.size());
    if (inserted)
        items.emplace_back(key, value);
    else
        items[position->second].second = value;
}

bool DictObject::erase(const Value& key) {
    const auto found = index_by_key.find(key_text(key));
    if (found == index_by_key.end()) return false;
    const std::size_t erased = found->second;
    index_by_key.erase(found);
    items.erase(items.begin() + static_cast<std::ptrdiff_t>(erased));
    for (auto& [key, position] : index_by_key)
        if (position > erased) --position;
    return true;
}

void Heap::charge(std::size_t bytes) {
    bytes_used_ += bytes;
    if (bytes_used_ > max_bytes_)
        throw ValueError("the script takes more than " + std::to_string(max_bytes_) + " bytes");
}

Value Heap::text(std::string text) {
    charge(sizeof(StringObject) + text.size());
    texts_.push_back({std::move(text)});
    return &texts_.back();
}

Value Heap::list(std::vector<Value> items) {
    charge(sizeof(ListObject) + items.size() * sizeof(Value));
    lists_.push_back({std::move(items), false, 0});
    return &lists_.back();
}

Value Heap::tuple(std::vector<Value> items) {
    charge(sizeof(ListObject) + items.size() * sizeof(Value));
    lists_.push_back({std::move(items), true, 0});
    return TupleRef{&lists_.back()};
}

Value Heap::dict() {
    charge(sizeof(DictObject));
    dicts_.emplace_back();
    return &dicts_.back();
}

Value Heap::function(FunctionObject object) {
    charge(sizeof(FunctionObject));
    functions_.push_back(std::move(object));
    return &functions_.back();
}

Value Heap::builtin(std::string name, std::function<Value(Arguments&)> run) {
    charge(sizeof(BuiltinObject));
    builtins_.push_back({std::move(name), std::move(run)});
    return &builtins_.back();
}

std::string_view type_name(const Value& value) {
    constexpr std::string_view kNames[] = {"NoneType", "bool",  "int",  "float",    "string",
                                           "list",     "tuple", "dict", "function", "builtin"};
    return kNames[value.index()];
}

bool is_truthy(const Value& value) {
    return std::visit(Overloaded{[](None) { return false; }, [](bool flag) { return flag; },
                                 [](std::int64_t whole) { return whole != 0; },
                                 [](double real) { return real != 0; },
                                 [](StringObject* text) { return !text->text.empty(); },
                                 [](ListObject* list) { return !list->items.empty(); },
                                 [](TupleRef tuple) { return !tuple.object->items.empty(); },
                                 [](DictObject* dict) { return !dict->items.empty(); },
                                 [](FunctionObject*) { return true; }, [](BuiltinObject*) { return true; }},
                      value);
}

std::string repr(const Value& value, int depth) {
    check_depth(depth);
    return std::visit(
        Overloaded{[](None) { return std::string("None"); },
                   [](bool flag) { return std::string(flag ? "True" : "False"); },
                   [](std::int64_t whole) { return std::to_string(whole); },
                   [](double real) { return number_repr(real); },
                   [](StringObject* text) { return string_repr(text->text); },
                   [&](ListObject* list) { return "[" + items_repr(list->items, depth + 1) + "]"; },
                   [&](TupleRef tuple) {
                       return "(" + items_repr(tuple.object->items, depth + 1) +
                              (tuple.object->items.size() == 1 ? ",)" : ")");
                   },
                   [&](DictObject* dict) {
                       std::string out = "{";
                       for (const auto& [key, item_value] : dict->items)
                           out += (out.size() > 1 ? ", " : "") + repr(key, depth + 1) + ": " +
                                  repr(item_value, depth + 1);
                       return out + "}";
                   },
                   [](FunctionObject*) { return std::string("<function>"); },
                   [](BuiltinObject* builtin) { return "<built-in " + builtin->name + ">"; }},
        value);
}

std::string str(const Value& value) {
    const std::string* text = as_string(value);
    return text != nullptr ? *text : repr(value);
}

bool values_equal(const Value& a, const Value& b, int depth) {
    check_depth(depth);
    if (is_number(a) && is_number(b)) return number(a) == number(b);
    if (a.index() != b.index()) return false;
    if (const std::string* text = as_string(a)) return *text == *as_string(b);
    if (const auto* items = as_items(a)) {
        return std::ranges::equal(*items, *as_items(b),
                                  [&](auto& x, auto& y) { return values_equal(x, y, depth + 1); });
    }
    if (const auto* dict = std::get_if<DictObject*>(&a)) {
        const DictObject& other = *std::get<DictObject*>(b);
        return (*dict)->items.size() == other.items.size() &&
               std::ranges::all_of((*dict)->items, [&](auto& item) {
                   const Value* found = other.find(item.first);
                   return found != nullptr && values_equal(item.second, *found, depth + 1);
               });
    }
    if (const auto* flag = std::get_if<bool>(&a)) return *flag == std::get<bool>(b);
    if (const auto* function = std::get_if<FunctionObject*>(&a))
        return *function == std::get<FunctionObject*>(b);
    if (const auto* builtin = std::get_if<BuiltinObject*>(&a)) return *builtin == std::get<BuiltinObject*>(b);
    return true; // None
}

int compare(const Value& a, const Value& b, int depth) {
    check_depth(depth);
    const auto three_way = [](const auto& x, const auto& y) { return x < y ? -1 : (y < x ? 1 : 0); };
    if (is_number(a) && is_number(b)) return three_way(number(a), number(b));
    if (a.index() == b.index()) {
        if (const std::string* text = as_string(a)) return three_way(*text, *as_string(b));
        if (const auto* flag = std::get_if<bool>(&a)) return three_way(*flag, std::get<bool>(b));
        if (const auto* items = as_items(a)) {
            const auto& others = *as_items(b);
            for (std::size_t i = 0; i < std::min(items->size(), others.size()); ++i)
                if (const int result = compare((*items)[i], others[i], depth + 1); result != 0) return result;
            return three_way(items->size(), others.size());
        }
    }
    throw ValueError("cannot compare " + std::string(type_name(a)) + " and " + std::string(type_name(b)));
}

const std::string* as_string(const Value& value) {
    const auto* object = std::get_if<StringObject*>(&value);
    return object != nullptr ? &(*object)->text : nullptr;
}

const std::vector<Value>* as_items(const Value& value) {
    if (const auto* list = std::get_if<ListObject*>(&value)) return &(*list)->items;
    if (const auto* tuple = std::get_if<TupleRef>(&value)) return &tuple->object->items;
    return nullptr;
}

template <class Box> Box& mutable_object(const Value& value, const char* what, const char* kind) {
    const auto* object = std::get_if<Box*>(&value);
    if (object == nullptr)
        throw ValueError(std::string(what) + ": expected a " + kind + ", got " +
                         std::string(type_name(value)));
    if ((*object)->frozen)
        throw ValueError(std::string(what) + ": cannot change a frozen value of a loaded file");
    if ((*object)->active_iterations > 0)
        throw ValueError(std::string(what) + ": cannot change a value while a loop iterates over it");
    return **object;
}

ListObject& mutable_list(const Value& value, const char* what) {
    return mutable_object<ListObject>(value, what, "list");
}
DictObject& mutable_dict(const Value& value, const char* what) {
    return mutable_object<DictObject>(value, what, "dict");
}

void require_hashable(const Value& value) {
    if (const auto* tuple = std::get_if<TupleRef>(&value)) {
        for (const Value& item : tuple->object->items) require_hashable(item);
        return;
    }
    const bool plain = value.index() <= 4;
    if (!plain) throw ValueError("a " + std::string(type_name(value)) + " cannot be a key");
}

} // namespace ivyrill::script
