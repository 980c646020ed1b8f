#include "script/builtins.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdlib>
#include <numeric>

namespace ivyrill::script {

namespace {

constexpr std::int64_t kMaxRangeItems = 1'000'000; // items of one range

const std::vector<Value>& items_of(const Value& value, const char* what) {
    const auto* items = as_items(value);
    if (items == nullptr)
        throw ValueError(std::string(what) + ": expected a list, got " + std::string(type_name(value)));
    return *items;
}

std::vector<Value> iterated_items(const Value& value,
                                  const char* what) { // the items that a loop over it visits
    if (const auto* dict = std::get_if<DictObject*>(&value)) {
        std::vector<Value> keys;
        for (const auto& [key, item_value] : (*dict)->items) keys.push_back(key);
        return keys;
    }
    return items_of(value, what);
}

const std::string& string_of(const Value& value, const char* what) {
    const std::string* text = as_string(value);
    if (text == nullptr)
        throw ValueError(std::string(what) + ": expected a string, got " + std::string(type_name(value)));
    return *text;
}

std::int64_t int_of(const Value& value, const char* what) {
    const auto* whole = std::get_if<std::int64_t>(&value);
    if (whole == nullptr)
        throw ValueError(std::string(what) + ": expected an int, got " + std::string(type_name(value)));
    return *whole;
}

Value to_int(const Value& value) {
    if (const auto* flag = std::get_if<bool>(&value)) return static_cast<std::int64_t>(*flag);
    if (const auto* real = std::get_if<double>(&value)) {
        if (!(std::abs(*real) < 9e18)) throw ValueError("int: out of range");
        return static_cast<std::int64_t>(*real);
    }
    if (const std::string* text = as_string(value)) {
        std::int64_t whole = 0;
        const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), whole);
        if (error != std::errc{} || end != text->data() + text->size() || text->empty())
            throw ValueError("int: expected a whole number, got " + repr(value).substr(0, 60));
        return whole;
    }
    return int_of(value, "int");
}

Value to_float(const Value& value) {
    if (const auto* whole = std::get_if<std::int64_t>(&value)) return static_cast<double>(*whole);
    if (const std::string* text = as_string(value)) {
        char* end = nullptr;
        const double real = std::strtod(text->c_str(), &end);
        if (text->empty() || *end != '\0' || !std::isfinite(real))
            throw ValueError("float: expected a number, got " + repr(value).substr(0, 60));
        return real;
    }
    if (!std::holds_alternative<double>(value))
        throw ValueError("float: expected a number, got " + std::string(type_name(value)));
    return value;
}

Value range(Arguments& arguments) {
    arguments.expect(1, 3);
    const std::int64_t first = arguments.has(1) ? int_of(arguments.at(0), "range") : 0;
    const std::int64_t last = int_of(arguments.at(arguments.has(1) ? 1 : 0), "range");
    const std::int64_t step = arguments.has(2) ? int_of(arguments.at(2), "range") : 1;
    if (step == 0) throw ValueError("range: expected a step other than 0");
    constexpr std::int64_t kMaxMagnitude = 1'000'000'000'000;
    if (std::max({std::abs(first), std::abs(last), std::abs(step)}) > kMaxMagnitude)
        throw ValueError("range: out of range");
    const std::int64_t count =
        step > 0 ? (last - first + step - 1) / step : (first - last - step - 1) / -step;
    if (count > kMaxRangeItems)
        throw ValueError("range: more than " + std::to_string(kMaxRangeItems) + " numbers");
    std::vector<Value> items;
    arguments.heap.charge(static_cast<std::size_t>(std::max<std::int64_t>(0, count)) * sizeof(Value));
    for (std::int64_t i = 0; i < count; ++i) items.emplace_back(first + i * step);
    return arguments.heap.list(std::move(items));
}

Value sorted(Arguments& arguments) {
    std::vector<Value> items = iterated_items(arguments.at(0), "sorted");
    bool reverse = false;
    const Value* key = nullptr;
    for (const auto& [name, value] : arguments.named) {
        if (name == "reverse")
            reverse = is_truthy(value);
        else if (name == "key")
            key = &value;
        else
            throw ValueError("sorted: unexpected argument named '" + name + "'");
    }
    std::vector<std::pair<Value, Value>> rows;
    for (const Value& item : items)
        rows.emplace_back(key != nullptr ? arguments.call(*key, {item}) : item, item);
    std::ranges::stable_sort(rows, [reverse](auto& a, auto& b) {
        return (reverse ? compare(b.first, a.first) : compare(a.first, b.first)) < 0;
    });
    for (std::size_t i = 0; i < rows.size(); ++i) items[i] = rows[i].second;
    return arguments.heap.list(std::move(items));
}

Value extreme(Arguments& arguments, int direction) {
    const std::vector<Value> items = arguments.positional.size() == 1
                                         ? iterated_items(arguments.at(0), "min or max")
                                         : arguments.positional;
    if (items.empty()) throw ValueError("min or max: expected at least one value");
    return *std::ranges::max_element(items,
                                     [direction](auto& a, auto& b) { return compare(a, b) * direction < 0; });
}

Value zip(Arguments& arguments) {
    std::vector<std::vector<Value>> columns;
    for (const Value& column : arguments.positional) columns.push_back(iterated_items(column, "zip"));
    std::vector<Value> rows;
    for (std::size_t i = 0; !columns.empty(); ++i) {
        std::vector<Value> row;
        for (const auto& column : columns)
            if (i < column.size()) row.push_back(column[i]);
        if (row.size() < columns.size()) break;
        rows.push_back(arguments.heap.tuple(std::move(row)));
    }
    return arguments.heap.list(std::move(rows));
}

Value make_dict(Arguments& arguments) {
    if (arguments.positional.size() > 1) throw ValueError("dict: expected at most 1 argument");
    Value result = arguments.heap.dict();
    DictObject& object = *std::get<DictObject*>(result);
    if (arguments.has(0)) {
        if (const auto* other = std::get_if<DictObject*>(&arguments.at(0))) {
            for (const auto& [key, item_value] : (*other)->items) object.set(key, item_value);
        } else {
            for (const Value& pair : items_of(arguments.at(0), "dict")) {
                const auto& two = items_of(pair, "dict");
                if (two.size() != 2) throw ValueError("dict: expected pairs");
                object.set(two[0], two[1]);
            }
        }
    }
    for (const auto& [name, value] : arguments.named) object.set(arguments.heap.text(name), value);
    arguments.heap.charge(object.items.size() * 4 * sizeof(Value));
    return result;
}

std::string strip(const std::string& text, bool left, bool right) {
    constexpr const char* kWhitespace = " \t\r\n";
    const std::size_t begin = left ? text.find_first_not_of(kWhitespace) : 0;
    if (begin == std::string::npos) return {};
    const std::size_t end = right ? text.find_last_not_of(kWhitespace) : text.size() - 1;
    return end == std::string::npos ? std::string() : text.substr(begin, end - begin + 1);
}

std::string with_case(std::string text, bool upper) {
    for (char& character : text) {
        if (upper && character >= 'a' && character <= 'z')
            character = static_cast<char>(character - 'a' + 'A');
        if (!upper && character >= 'A' && character <= 'Z')
            character = static_cast<char>(character - 'A' + 'a');
    }
    return text;
}

// Supports `{}`, `{0}` and `{name}`; `{{` and `}}` are escaped braces.
std::string format_braces(const std::string& format, const Arguments& arguments) {
    std::string out;
    std::size_t next = 0;
    for (std::size_t i = 0; i < format.size(); ++i) {
        const bool doubled = i + 1 < format.size() && format[i + 1] == format[i];
        if ((format[i] == '{' || format[i] == '}') && doubled) {
            out += format[i++];
        } else if (format[i] == '}') {
            throw ValueError("format: expected '{' before '}'");
        } else if (format[i] != '{') {
            out += format[i];
        } else {
            const std::size_t end = format.find('}', i);
            if (end == std::string::npos) throw ValueError("format: expected '}' after '{'");
            const std::string name = format.substr(i + 1, end - i - 1);
            i = end;
            std::size_t index = next;
            const auto [rest, error] = std::from_chars(name.data(), name.data() + name.size(), index);
            const bool numbered = !name.empty() && error == std::errc{} && rest == name.data() + name.size();
            if (name.empty() || numbered) {
                if (name.empty()) ++next;
                out += str(arguments.at(index));
                continue;
            }
            const auto found =
                std::ranges::find(arguments.named, name, &std::pair<std::string, Value>::first);
            if (found == arguments.named.end())
                throw ValueError("format: no argument is named '" + name + "'");
            out += str(found->second);
        }
    }
    return out;
}

std::string replaced(const std::string& text, const std::string& old, const std::string& replacement) {
    if (old.empty()) throw ValueError("replace: expected a non-empty string");
    std::string out;
    std::size_t from = 0;
    for (std::size_t at = text.find(old); at != std::string::npos; at = text.find(old, from)) {
        out.append(text, from, at - from).append(replacement);
        from = at + old.size();
    }
    return out.append(text, from);
}

using Method = Value (*)(const Value&, Arguments&);

const std::map<std::string, Method>& text_methods() {
    static const std::map<std::string, Method> kMethods = {
        {"join",
         [](const Value& self, Arguments& arguments) {
             arguments.expect(1, 1);
             std::string out;
             bool first = true;
             for (const Value& item : iterated_items(arguments.at(0), "join"))
                 out += (std::exchange(first, false) ? "" : *as_string(self)) + string_of(item, "join");
             return arguments.heap.text(std::move(out));
         }},
        {"split",
         [](const Value& self, Arguments& arguments) {
             arguments.expect(0, 1);
             const std::string text = *as_string(self),
                               separator = arguments.has(0) ? string_of(arguments.at(0), "split") : " ";
             if (separator.empty()) throw ValueError("split: expected a non-empty string");
             std::vector<Value> items;
             for (std::size_t from = 0;;) {
                 const std::size_t at = text.find(separator, from);
                 const std::string piece =
                     text.substr(from, at == std::string::npos ? std::string::npos : at - from);
                 if (arguments.has(0) || !piece.empty()) items.push_back(arguments.heap.text(piece));
                 if (at == std::string::npos) break;
                 from = at + separator.size();
             }
             return arguments.heap.list(std::move(items));
         }},
        {"strip",
         [](const Value& self, Arguments& arguments) {
             return arguments.expect(0, 0), arguments.heap.text(strip(*as_string(self), true, true));
         }},
        {"lstrip",
         [](const Value& self, Arguments& arguments) {
             return arguments.expect(0, 0), arguments.heap.text(strip(*as_string(self), true, false));
         }},
        {"rstrip",
         [](const Value& self, Arguments& arguments) {
             return arguments.expect(0, 0), arguments.heap.text(strip(*as_string(self), false, true));
         }},
        {"upper",
         [](const Value& self, Arguments& arguments) {
             return arguments.expect(0, 0), arguments.heap.text(with_case(*as_string(self), true));
         }},
        {"lower",
         [](const Value& self, Arguments& arguments) {
             return arguments.expect(0, 0), arguments.heap.text(with_case(*as_string(self), false));
         }},
        {"startswith",
         [](const Value& self, Arguments& arguments) {
             arguments.expect(1, 1);
             return Value{as_string(self)->starts_with(string_of(arguments.at(0), "startswith"))};
         }},
        {"endswith",
         [](const Value& self, Arguments& arguments) {
             arguments.expect(1, 1);
             return Value{as_string(self)->ends_with(string_of(arguments.at(0), "endswith"))};
         }},
        {"replace",
         [](const Value& self, Arguments& arguments) {
             arguments.expect(2, 2);
             return arguments.heap.text(replaced(*as_string(self), string_of(arguments.at(0), "replace"),
                                                 string_of(arguments.at(1), "replace")));
         }},
        {"find",
         [](const Value& self, Arguments& arguments) {
             arguments.expect(1, 1);
             const std::size_t at = as_string(self)->find(string_of(arguments.at(0), "find"));
             return Value{at == std::string::npos ? std::int64_t{-1} : static_cast<std::int64_t>(at)};
         }},
        {"isdigit",
         [](const Value& self, Arguments& arguments) {
             arguments.expect(0, 0);
             const std::string& text = *as_string(self);
             return Value{!text.empty() &&
                          std::ranges::all_of(text, [](char c) { return c >= '0' && c <= '9'; })};
         }},
        {"format",
         [](const Value& self, Arguments& arguments) {
             return arguments.heap.text(format_braces(*as_string(self), arguments));
         }},
    };
    return kMethods;
}

const std::map<std::string, Method>& list_methods() {
    static const std::map<std::string, Method> kMethods = {
        {"append",
         [](const Value& self, Arguments& arguments) {
             arguments.expect(1, 1);
             arguments.heap.charge(sizeof(Value));
             mutable_list(self, "append").items.push_back(arguments.at(0));
             return Value{None{}};
         }},
        {"extend",
         [](const Value& self, Arguments& arguments) {
             arguments.expect(1, 1);
             const std::vector<Value> more = iterated_items(arguments.at(0), "extend");
             arguments.heap.charge(more.size() * sizeof(Value));
             ListObject& list = mutable_list(self, "extend");
             list.items.insert(list.items.end(), more.begin(), more.end());
             return Value{None{}};
         }},
        {"insert",
         [](const Value& self, Arguments& arguments) {
             arguments.expect(2, 2);
             arguments.heap.charge(sizeof(Value));
             ListObject& list = mutable_list(self, "insert");
             const auto size = static_cast<std::int64_t>(list.items.size());
             std::int64_t at = int_of(arguments.at(0), "insert");
             at = std::clamp<std::int64_t>(at < 0 ? at + size : at, 0, size);
             list.items.insert(list.items.begin() + at, arguments.at(1));
             return Value{None{}};
         }},
        {"pop",
         [](const Value& self, Arguments& arguments) {
             arguments.expect(0, 1);
             ListObject& list = mutable_list(self, "pop");
             const auto size = static_cast<std::int64_t>(list.items.size());
             std::int64_t at = arguments.has(0) ? int_of(arguments.at(0), "pop") : -1;
             at = at < 0 ? at + size : at;
             if (at < 0 || at >= size) throw ValueError("pop: index out of range");
             const Value taken = list.items[static_cast<std::size_t>(at)];
             list.items.erase(list.items.begin() + at);
             return taken;
         }},
        {"index",
         [](const Value& self, Arguments& arguments) {
             arguments.expect(1, 1);
             const auto& items = *as_items(self);
             for (std::size_t i = 0; i < items.size(); ++i)
                 if (values_equal(items[i], arguments.at(0))) return Value{static_cast<std::int64_t>(i)};
             throw ValueError("index: " + repr(arguments.at(0)).substr(0, 60) + " is not in the list");
         }},
    };
    return kMethods;
}

const std::map<std::string, Method>& dict_methods() {
    static const std::map<std::string, Method> kMethods = {
        {"get",
         [](const Value& self, Arguments& arguments) {
             arguments.expect(1, 2);
             const Value* found = std::get<DictObject*>(self)->find(arguments.at(0));
             return found != nullptr ? *found : arguments.has(1) ? arguments.at(1) : Value{None{}};
         }},
        {"keys",
         [](const Value& self, Arguments& arguments) {
             arguments.expect(0, 0);
             return arguments.heap.list(iterated_items(self, "keys"));
         }},
        {"values",
         [](const Value& self, Arguments& arguments) {
             arguments.expect(0, 0);
             std::vector<Value> items;
             for (const auto& [key, item_value] : std::get<DictObject*>(self)->items)
                 items.push_back(item_value);
             return arguments.heap.list(std::move(items));
         }},
        {"items",
         [](const Value& self, Arguments& arguments) {
             arguments.expect(0, 0);
             std::vector<Value> items;
             for (const auto& [key, item_value] : std::get<DictObject*>(self)->items)
                 items.push_back(arguments.heap.tuple({key, item_value}));
             return arguments.heap.list(std::move(items));
         }},
        {"pop",
         [](const Value& self, Arguments& arguments) {
             arguments.expect(1, 2);
             DictObject& dict = mutable_dict(self, "pop");
             const Value* found = dict.find(arguments.at(0));
             if (found == nullptr && !arguments.has(1)) throw ValueError("pop: no such key");
             const Value taken = found != nullptr ? *found : arguments.at(1);
             dict.erase(arguments.at(0));
             return taken;
         }},
        {"update",
         [](const Value& self, Arguments& arguments) {
             DictObject& dict = mutable_dict(self, "update");
             const Value more = make_dict(arguments);
             for (const auto& [key, item_value] : std::get<DictObject*>(more)->items)
                 dict.set(key, item_value);
             return Value{None{}};
         }},
        {"setdefault",
         [](const Value& self, Arguments& arguments) {
             arguments.expect(1, 2);
             DictObject& dict = mutable_dict(self, "setdefault");
             if (const Value* found = dict.find(arguments.at(0))) return *found;
             arguments.heap.charge(4 * sizeof(Value));
             dict.set(arguments.at(0), arguments.has(1) ? arguments.at(1) : Value{None{}});
             return arguments.has(1) ? arguments.at(1) : Value{None{}};
         }},
    };
    return kMethods;
}

std::size_t distance(const std::string& a, const std::string& b) { // Levenshtein distance with a single row
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), 0);
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t corner = std::exchange(row[0], i);
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const std::size_t swap = corner + (a[i - 1] == b[j - 1] ? 0 : 1);
            corner = std::exchange(row[j], std::min({row[j] + 1, row[j - 1] + 1, swap}));
        }
    }
    return row.back();
}

} // namespace

std::string nearest(const std::string& name, const std::vector<std::string>& known) {
    std::string best;
    std::size_t best_distance = name.size() / 2 + 1;
    for (const std::string& other : known)
        if (const std::size_t candidate_distance = distance(name, other); candidate_distance < best_distance)
            best_distance = candidate_distance, best = other;
    return best;
}

Value method_of(Heap& heap, const Value& value, const std::string& name) {
    const std::map<std::string, Method>* methods = nullptr;
    if (as_string(value) != nullptr)
        methods = &text_methods();
    else if (as_items(value) != nullptr)
        methods = &list_methods();
    else if (std::holds_alternative<DictObject*>(value))
        methods = &dict_methods();
    if (methods != nullptr)
        if (const auto found = methods->find(name); found != methods->end())
            return heap.builtin(
                name, [value, run = found->second](Arguments& arguments) { return run(value, arguments); });
    std::vector<std::string> known;
    if (methods != nullptr)
        for (const auto& [other, run] : *methods) known.push_back(other);
    const std::string suggestion = nearest(name, known);
    throw ValueError("a " + std::string(type_name(value)) + " has no '" + name + "'" +
                     (suggestion.empty() ? "" : ", did you mean '" + suggestion + "'?"));
}

// Supports %s, %r, %d, %f and %%.
std::string format_percent(const std::string& format, const Value& operand) {
    const auto* tuple = std::get_if<TupleRef>(&operand);
    const std::vector<Value> values = tuple != nullptr ? tuple->object->items : std::vector<Value>{operand};
    std::string out;
    std::size_t next = 0;
    for (std::size_t i = 0; i < format.size(); ++i) {
        if (format[i] != '%') {
            out += format[i];
            continue;
        }
        const char conversion = ++i < format.size() ? format[i] : '\0';
        if (conversion == '%') {
            out += '%';
            continue;
        }
        if (next >= values.size()) throw ValueError("%: more placeholders than values");
        const Value& value = values[next++];
        if (conversion == 's')
            out += str(value);
        else if (conversion == 'r')
            out += repr(value);
        else if (conversion == 'd')
            out += std::to_string(std::get<std::int64_t>(to_int(value)));
        else if (conversion == 'f')
            out += std::to_string(std::get<double>(to_float(value)));
        else
            throw ValueError(std::string("%: expected s, r, d, f or %, got '") + conversion + "'");
    }
    if (next < values.size() && (tuple != nullptr || next == 0))
        throw ValueError("%: more values than placeholders");
    return out;
}

std::map<std::string, Value> make_builtins(Heap& heap) {
    std::map<std::string, Value> result;
    const auto add = [&](const char* name, std::function<Value(Arguments&)> run) {
        result[name] = heap.builtin(name, std::move(run));
    };
    add("len", [](Arguments& arguments) -> Value {
        arguments.expect(1, 1);
        if (const std::string* text = as_string(arguments.at(0)))
            return static_cast<std::int64_t>(text->size());
        return static_cast<std::int64_t>(iterated_items(arguments.at(0), "len").size());
    });
    add("range", range);
    add("str", [](Arguments& arguments) {
        return arguments.expect(1, 1), arguments.heap.text(str(arguments.at(0)));
    });
    add("repr", [](Arguments& arguments) {
        return arguments.expect(1, 1), arguments.heap.text(repr(arguments.at(0)));
    });
    add("type", [](Arguments& arguments) {
        return arguments.expect(1, 1), arguments.heap.text(std::string(type_name(arguments.at(0))));
    });
    add("int", [](Arguments& arguments) { return arguments.expect(1, 1), to_int(arguments.at(0)); });
    add("float", [](Arguments& arguments) { return arguments.expect(1, 1), to_float(arguments.at(0)); });
    add("bool",
        [](Arguments& arguments) { return arguments.expect(1, 1), Value{is_truthy(arguments.at(0))}; });
    add("list", [](Arguments& arguments) {
        return arguments.expect(0, 1),
               arguments.heap.list(arguments.has(0) ? iterated_items(arguments.at(0), "list")
                                                    : std::vector<Value>{});
    });
    add("tuple", [](Arguments& arguments) {
        return arguments.expect(0, 1),
               arguments.heap.tuple(arguments.has(0) ? iterated_items(arguments.at(0), "tuple")
                                                     : std::vector<Value>{});
    });
    add("dict", make_dict);
    add("sorted", sorted);
    add("reversed", [](Arguments& arguments) {
        arguments.expect(1, 1);
        std::vector<Value> items = iterated_items(arguments.at(0), "reversed");
        std::ranges::reverse(items);
        return arguments.heap.list(std::move(items));
    });
    add("enumerate", [](Arguments& arguments) {
        arguments.expect(1, 2);
        std::int64_t number = arguments.has(1) ? int_of(arguments.at(1), "enumerate") : 0;
        std::vector<Value> rows;
        for (const Value& item : iterated_items(arguments.at(0), "enumerate"))
            rows.push_back(arguments.heap.tuple({Value{number++}, item}));
        return arguments.heap.list(std::move(rows));
    });
    add("zip", zip);
    add("min", [](Arguments& arguments) { return extreme(arguments, -1); });
    add("max", [](Arguments& arguments) { return extreme(arguments, 1); });
    add("any", [](Arguments& arguments) {
        return arguments.expect(1, 1),
               Value{std::ranges::any_of(iterated_items(arguments.at(0), "any"), is_truthy)};
    });
    add("all", [](Arguments& arguments) {
        return arguments.expect(1, 1),
               Value{std::ranges::all_of(iterated_items(arguments.at(0), "all"), is_truthy)};
    });
    add("abs", [](Arguments& arguments) -> Value {
        arguments.expect(1, 1);
        if (const auto* real = std::get_if<double>(&arguments.at(0))) return std::abs(*real);
        const std::int64_t whole = int_of(arguments.at(0), "abs");
        if (whole == INT64_MIN) throw ValueError("abs: out of range");
        return std::abs(whole);
    });
    add("fail", [](Arguments& arguments) -> Value {
        std::string why;
        for (const Value& value : arguments.positional) why += (why.empty() ? "" : " ") + str(value);
        throw ValueError("fail: " + why);
    });
    return result;
}

} // namespace ivyrill::script
