#include "script/value.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace ivyrill::script {

namespace {

constexpr int kMostDepth = 64; // of lists in lists, when they are written or compared

template <class... Parts> struct Cases : Parts... { using Parts::operator()...; };
template <class... Parts> Cases(Parts...) -> Cases<Parts...>;

void deeper(int depth) {
    if (depth > kMostDepth) throw ValueError("nested too deeply, or in itself");
}

std::string written_text(const std::string& text) {
    std::string out = "\"";
    for (const char letter : text) {
        if (letter == '"' || letter == '\\') out += '\\';
        if (letter == '\n')
            out += "\\n";
        else if (letter == '\t')
            out += "\\t";
        else if (letter == '\r')
            out += "\\r";
        else
            out += letter;
    }
    return out + "\"";
}

std::string written_number(double number) {
    char text[40];
    std::snprintf(text, sizeof text, "%.17g", number);
    double back = 0;
    for (int digits = 1; digits < 17; ++digits) { // the shortest that reads back as the same
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

std::string written_items(const std::vector<Value>& items, int depth) {
    std::string out;
    for (std::size_t i = 0; i < items.size(); ++i) out += (i > 0 ? ", " : "") + written(items[i], depth);
    return out;
}

bool is_number(const Value& value) {
    return std::holds_alternative<std::int64_t>(value) || std::holds_alternative<double>(value);
}

double number(const Value& value) {
    const auto* whole = std::get_if<std::int64_t>(&value);
    return whole != nullptr ? static_cast<double>(*whole) : std::get<double>(value);
}

// 1 and 1.0 are one key, as they are equal.
std::string key_form(const Value& key) {
    must_be_hashable(key);
    if (const auto* real = std::get_if<double>(&key);
        real != nullptr && std::floor(*real) == *real && std::abs(*real) < 9e15)
        return written(Value{static_cast<std::int64_t>(*real)});
    return written(key);
}

} // namespace

const Value& Arguments::at(std::size_t index) const {
    if (index >= placed.size())
        throw ValueError("expected at least " + std::to_string(index + 1) + " arguments, got " +
                         std::to_string(placed.size()));
    return placed[index];
}

void Arguments::expect(std::size_t least, std::size_t most) const {
    if (!named.empty()) throw ValueError("unexpected argument named '" + named.front().first + "'");
    if (placed.size() >= least && placed.size() <= most) return;
    const std::string wanted =
        least == most ? std::to_string(least) : std::to_string(least) + " to " + std::to_string(most);
    throw ValueError("expected " + wanted + " arguments, got " + std::to_string(placed.size()));
}

const Value* DictBox::find(const Value& key) const {
    const auto found = places.find(key_form(key));
    return found == places.end() ? nullptr : &items[found->second].second;
}

void DictBox::set(const Value& key, const Value& value) {
    const auto [place, fresh] = places.try_emplace(key_form(key), items.size());
    if (fresh)
        items.emplace_back(key, value);
    else
        items[place->second].second = value;
}

bool DictBox::erase(const Value& key) {
    const auto found = places.find(key_form(key));
    if (found == places.end()) return false;
    const std::size_t gone = found->second;
    places.erase(found);
    items.erase(items.begin() + static_cast<std::ptrdiff_t>(gone));
    for (auto& [form, place] : places)
        if (place > gone) --place;
    return true;
}

void Heap::charge(std::size_t bytes) {
    held_ += bytes;
    if (held_ > most_) throw ValueError("the script takes more than " + std::to_string(most_) + " bytes");
}

Value Heap::text(std::string text) {
    charge(sizeof(TextBox) + text.size());
    texts_.push_back({std::move(text)});
    return &texts_.back();
}

Value Heap::list(std::vector<Value> items) {
    charge(sizeof(ListBox) + items.size() * sizeof(Value));
    lists_.push_back({std::move(items), false, 0});
    return &lists_.back();
}

Value Heap::tuple(std::vector<Value> items) {
    charge(sizeof(ListBox) + items.size() * sizeof(Value));
    lists_.push_back({std::move(items), true, 0});
    return TupleRef{&lists_.back()};
}

Value Heap::dict() {
    charge(sizeof(DictBox));
    dicts_.emplace_back();
    return &dicts_.back();
}

Value Heap::function(FunctionBox box) {
    charge(sizeof(FunctionBox));
    functions_.push_back(std::move(box));
    return &functions_.back();
}

Value Heap::builtin(std::string name, std::function<Value(Arguments&)> run) {
    charge(sizeof(BuiltinBox));
    builtins_.push_back({std::move(name), std::move(run)});
    return &builtins_.back();
}

std::string_view type_name(const Value& value) {
    constexpr std::string_view kNames[] = {"NoneType", "bool",  "int",  "float",    "string",
                                           "list",     "tuple", "dict", "function", "builtin"};
    return kNames[value.index()];
}

bool truth(const Value& value) {
    return std::visit(Cases{[](None) { return false; }, [](bool flag) { return flag; },
                            [](std::int64_t whole) { return whole != 0; },
                            [](double real) { return real != 0; },
                            [](TextBox* text) { return !text->text.empty(); },
                            [](ListBox* list) { return !list->items.empty(); },
                            [](TupleRef tuple) { return !tuple.box->items.empty(); },
                            [](DictBox* dict) { return !dict->items.empty(); },
                            [](FunctionBox*) { return true; }, [](BuiltinBox*) { return true; }},
                      value);
}

std::string written(const Value& value, int depth) {
    deeper(depth);
    return std::visit(Cases{[](None) { return std::string("None"); },
                            [](bool flag) { return std::string(flag ? "True" : "False"); },
                            [](std::int64_t whole) { return std::to_string(whole); },
                            [](double real) { return written_number(real); },
                            [](TextBox* text) { return written_text(text->text); },
                            [&](ListBox* list) { return "[" + written_items(list->items, depth + 1) + "]"; },
                            [&](TupleRef tuple) {
                                return "(" + written_items(tuple.box->items, depth + 1) +
                                       (tuple.box->items.size() == 1 ? ",)" : ")");
                            },
                            [&](DictBox* dict) {
                                std::string out = "{";
                                for (const auto& [key, held] : dict->items)
                                    out += (out.size() > 1 ? ", " : "") + written(key, depth + 1) + ": " +
                                           written(held, depth + 1);
                                return out + "}";
                            },
                            [](FunctionBox*) { return std::string("<function>"); },
                            [](BuiltinBox* builtin) { return "<built-in " + builtin->name + ">"; }},
                      value);
}

std::string shown(const Value& value) {
    const std::string* text = as_text(value);
    return text != nullptr ? *text : written(value);
}

bool same(const Value& a, const Value& b, int depth) {
    deeper(depth);
    if (is_number(a) && is_number(b)) return number(a) == number(b);
    if (a.index() != b.index()) return false;
    if (const std::string* text = as_text(a)) return *text == *as_text(b);
    if (const auto* items = as_items(a)) {
        return std::ranges::equal(*items, *as_items(b),
                                  [&](auto& x, auto& y) { return same(x, y, depth + 1); });
    }
    if (const auto* dict = std::get_if<DictBox*>(&a)) {
        const DictBox& other = *std::get<DictBox*>(b);
        return (*dict)->items.size() == other.items.size() &&
               std::ranges::all_of((*dict)->items, [&](auto& item) {
                   const Value* found = other.find(item.first);
                   return found != nullptr && same(item.second, *found, depth + 1);
               });
    }
    if (const auto* flag = std::get_if<bool>(&a)) return *flag == std::get<bool>(b);
    if (const auto* function = std::get_if<FunctionBox*>(&a)) return *function == std::get<FunctionBox*>(b);
    if (const auto* builtin = std::get_if<BuiltinBox*>(&a)) return *builtin == std::get<BuiltinBox*>(b);
    return true; // None
}

int compare(const Value& a, const Value& b, int depth) {
    deeper(depth);
    const auto order = [](const auto& x, const auto& y) { return x < y ? -1 : (y < x ? 1 : 0); };
    if (is_number(a) && is_number(b)) return order(number(a), number(b));
    if (a.index() == b.index()) {
        if (const std::string* text = as_text(a)) return order(*text, *as_text(b));
        if (const auto* flag = std::get_if<bool>(&a)) return order(*flag, std::get<bool>(b));
        if (const auto* items = as_items(a)) {
            const auto& others = *as_items(b);
            for (std::size_t i = 0; i < std::min(items->size(), others.size()); ++i)
                if (const int way = compare((*items)[i], others[i], depth + 1); way != 0) return way;
            return order(items->size(), others.size());
        }
    }
    throw ValueError("no order between " + std::string(type_name(a)) + " and " + std::string(type_name(b)));
}

const std::string* as_text(const Value& value) {
    const auto* box = std::get_if<TextBox*>(&value);
    return box != nullptr ? &(*box)->text : nullptr;
}

const std::vector<Value>* as_items(const Value& value) {
    if (const auto* list = std::get_if<ListBox*>(&value)) return &(*list)->items;
    if (const auto* tuple = std::get_if<TupleRef>(&value)) return &tuple->box->items;
    return nullptr;
}

template <class Box> Box& changeable(const Value& value, const char* what, const char* kind) {
    const auto* box = std::get_if<Box*>(&value);
    if (box == nullptr)
        throw ValueError(std::string(what) + ": expected a " + kind + ", got " +
                         std::string(type_name(value)));
    if ((*box)->frozen) throw ValueError(std::string(what) + ": it is frozen, its file has been loaded");
    if ((*box)->walked > 0) throw ValueError(std::string(what) + ": it changes while a loop goes over it");
    return **box;
}

ListBox& as_list(const Value& value, const char* what) { return changeable<ListBox>(value, what, "list"); }
DictBox& as_dict(const Value& value, const char* what) { return changeable<DictBox>(value, what, "dict"); }

void must_be_hashable(const Value& value) {
    if (const auto* tuple = std::get_if<TupleRef>(&value)) {
        for (const Value& item : tuple->box->items) must_be_hashable(item);
        return;
    }
    const bool plain = value.index() <= 4;
    if (!plain) throw ValueError("a " + std::string(type_name(value)) + " cannot be a key");
}

} // namespace ivyrill::script
