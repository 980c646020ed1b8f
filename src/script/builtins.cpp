#include "script/builtins.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdlib>
#include <numeric>

namespace ivyrill::script {

namespace {

constexpr std::int64_t kMostRange = 1'000'000; // numbers in one range

const std::vector<Value>& items_of(const Value& value, const char* what) {
    const auto* items = as_items(value);
    if (items == nullptr)
        throw ValueError(std::string(what) + ": expected a list, got " + std::string(type_name(value)));
    return *items;
}

std::vector<Value> walked(const Value& value, const char* what) { // what a loop over it would see
    if (const auto* dict = std::get_if<DictBox*>(&value)) {
        std::vector<Value> keys;
        for (const auto& [key, held] : (*dict)->items) keys.push_back(key);
        return keys;
    }
    return items_of(value, what);
}

const std::string& text_of(const Value& value, const char* what) {
    const std::string* text = as_text(value);
    if (text == nullptr)
        throw ValueError(std::string(what) + ": expected a string, got " + std::string(type_name(value)));
    return *text;
}

std::int64_t whole_of(const Value& value, const char* what) {
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
    if (const std::string* text = as_text(value)) {
        std::int64_t whole = 0;
        const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), whole);
        if (error != std::errc{} || end != text->data() + text->size() || text->empty())
            throw ValueError("int: expected a whole number, got " + written(value).substr(0, 60));
        return whole;
    }
    return whole_of(value, "int");
}

Value to_float(const Value& value) {
    if (const auto* whole = std::get_if<std::int64_t>(&value)) return static_cast<double>(*whole);
    if (const std::string* text = as_text(value)) {
        char* end = nullptr;
        const double real = std::strtod(text->c_str(), &end);
        if (text->empty() || *end != '\0' || !std::isfinite(real))
            throw ValueError("float: expected a number, got " + written(value).substr(0, 60));
        return real;
    }
    if (!std::holds_alternative<double>(value))
        throw ValueError("float: expected a number, got " + std::string(type_name(value)));
    return value;
}

Value range(Arguments& in) {
    in.expect(1, 3);
    const std::int64_t first = in.has(1) ? whole_of(in.at(0), "range") : 0;
    const std::int64_t last = whole_of(in.at(in.has(1) ? 1 : 0), "range");
    const std::int64_t step = in.has(2) ? whole_of(in.at(2), "range") : 1;
    if (step == 0) throw ValueError("range: expected a step other than 0");
    constexpr std::int64_t kFar = 1'000'000'000'000;
    if (std::max({std::abs(first), std::abs(last), std::abs(step)}) > kFar)
        throw ValueError("range: out of range");
    const std::int64_t count =
        step > 0 ? (last - first + step - 1) / step : (first - last - step - 1) / -step;
    if (count > kMostRange) throw ValueError("range: more than " + std::to_string(kMostRange) + " numbers");
    std::vector<Value> items;
    in.heap.charge(static_cast<std::size_t>(std::max<std::int64_t>(0, count)) * sizeof(Value));
    for (std::int64_t i = 0; i < count; ++i) items.emplace_back(first + i * step);
    return in.heap.list(std::move(items));
}

Value sorted(Arguments& in) {
    std::vector<Value> items = walked(in.at(0), "sorted");
    bool reverse = false;
    const Value* key = nullptr;
    for (const auto& [name, value] : in.named) {
        if (name == "reverse")
            reverse = truth(value);
        else if (name == "key")
            key = &value;
        else
            throw ValueError("sorted: unexpected argument named '" + name + "'");
    }
    std::vector<std::pair<Value, Value>> rows;
    for (const Value& item : items) rows.emplace_back(key != nullptr ? in.call(*key, {item}) : item, item);
    std::ranges::stable_sort(rows, [reverse](auto& a, auto& b) {
        return (reverse ? compare(b.first, a.first) : compare(a.first, b.first)) < 0;
    });
    for (std::size_t i = 0; i < rows.size(); ++i) items[i] = rows[i].second;
    return in.heap.list(std::move(items));
}

Value extreme(Arguments& in, int wanted) {
    const std::vector<Value> items = in.placed.size() == 1 ? walked(in.at(0), "min or max") : in.placed;
    if (items.empty()) throw ValueError("min or max: expected at least one value");
    return *std::ranges::max_element(items,
                                     [wanted](auto& a, auto& b) { return compare(a, b) * wanted < 0; });
}

Value zip(Arguments& in) {
    std::vector<std::vector<Value>> columns;
    for (const Value& column : in.placed) columns.push_back(walked(column, "zip"));
    std::vector<Value> rows;
    for (std::size_t i = 0; !columns.empty(); ++i) {
        std::vector<Value> row;
        for (const auto& column : columns)
            if (i < column.size()) row.push_back(column[i]);
        if (row.size() < columns.size()) break;
        rows.push_back(in.heap.tuple(std::move(row)));
    }
    return in.heap.list(std::move(rows));
}

Value make_dict(Arguments& in) {
    if (in.placed.size() > 1) throw ValueError("dict: expected at most 1 argument");
    Value made = in.heap.dict();
    DictBox& box = *std::get<DictBox*>(made);
    if (in.has(0)) {
        if (const auto* other = std::get_if<DictBox*>(&in.at(0))) {
            for (const auto& [key, held] : (*other)->items) box.set(key, held);
        } else {
            for (const Value& pair : items_of(in.at(0), "dict")) {
                const auto& two = items_of(pair, "dict");
                if (two.size() != 2) throw ValueError("dict: expected pairs");
                box.set(two[0], two[1]);
            }
        }
    }
    for (const auto& [name, value] : in.named) box.set(in.heap.text(name), value);
    in.heap.charge(box.items.size() * 4 * sizeof(Value));
    return made;
}

std::string strip(const std::string& text, bool left, bool right) {
    constexpr const char* kBlanks = " \t\r\n";
    const std::size_t begin = left ? text.find_first_not_of(kBlanks) : 0;
    if (begin == std::string::npos) return {};
    const std::size_t end = right ? text.find_last_not_of(kBlanks) : text.size() - 1;
    return end == std::string::npos ? std::string() : text.substr(begin, end - begin + 1);
}

std::string in_case(std::string text, bool upper) {
    for (char& letter : text) {
        if (upper && letter >= 'a' && letter <= 'z') letter = static_cast<char>(letter - 'a' + 'A');
        if (!upper && letter >= 'A' && letter <= 'Z') letter = static_cast<char>(letter - 'A' + 'a');
    }
    return text;
}

// `{}`, `{0}` and `{name}`; `{{` and `}}` stand for themselves.
std::string format_braces(const std::string& form, const Arguments& in) {
    std::string out;
    std::size_t next = 0;
    for (std::size_t i = 0; i < form.size(); ++i) {
        const bool doubled = i + 1 < form.size() && form[i + 1] == form[i];
        if ((form[i] == '{' || form[i] == '}') && doubled) {
            out += form[i++];
        } else if (form[i] == '}') {
            throw ValueError("format: expected '{' before '}'");
        } else if (form[i] != '{') {
            out += form[i];
        } else {
            const std::size_t end = form.find('}', i);
            if (end == std::string::npos) throw ValueError("format: expected '}' after '{'");
            const std::string name = form.substr(i + 1, end - i - 1);
            i = end;
            std::size_t place = next;
            const auto [rest, error] = std::from_chars(name.data(), name.data() + name.size(), place);
            const bool numbered = !name.empty() && error == std::errc{} && rest == name.data() + name.size();
            if (name.empty() || numbered) {
                if (name.empty()) ++next;
                out += shown(in.at(place));
                continue;
            }
            const auto found = std::ranges::find(in.named, name, &std::pair<std::string, Value>::first);
            if (found == in.named.end()) throw ValueError("format: no argument is named '" + name + "'");
            out += shown(found->second);
        }
    }
    return out;
}

std::string replaced(const std::string& text, const std::string& old, const std::string& fresh) {
    if (old.empty()) throw ValueError("replace: expected a text that is not empty");
    std::string out;
    std::size_t from = 0;
    for (std::size_t at = text.find(old); at != std::string::npos; at = text.find(old, from)) {
        out.append(text, from, at - from).append(fresh);
        from = at + old.size();
    }
    return out.append(text, from);
}

using Method = Value (*)(const Value&, Arguments&);

const std::map<std::string, Method>& text_methods() {
    static const std::map<std::string, Method> kMethods = {
        {"join",
         [](const Value& self, Arguments& in) {
             in.expect(1, 1);
             std::string out;
             bool first = true;
             for (const Value& item : walked(in.at(0), "join"))
                 out += (std::exchange(first, false) ? "" : *as_text(self)) + text_of(item, "join");
             return in.heap.text(std::move(out));
         }},
        {"split",
         [](const Value& self, Arguments& in) {
             in.expect(0, 1);
             const std::string text = *as_text(self), sign = in.has(0) ? text_of(in.at(0), "split") : " ";
             if (sign.empty()) throw ValueError("split: expected a text that is not empty");
             std::vector<Value> items;
             for (std::size_t from = 0;;) {
                 const std::size_t at = text.find(sign, from);
                 const std::string piece =
                     text.substr(from, at == std::string::npos ? std::string::npos : at - from);
                 if (in.has(0) || !piece.empty()) items.push_back(in.heap.text(piece));
                 if (at == std::string::npos) break;
                 from = at + sign.size();
             }
             return in.heap.list(std::move(items));
         }},
        {"strip",
         [](const Value& self, Arguments& in) {
             return in.expect(0, 0), in.heap.text(strip(*as_text(self), true, true));
         }},
        {"lstrip",
         [](const Value& self, Arguments& in) {
             return in.expect(0, 0), in.heap.text(strip(*as_text(self), true, false));
         }},
        {"rstrip",
         [](const Value& self, Arguments& in) {
             return in.expect(0, 0), in.heap.text(strip(*as_text(self), false, true));
         }},
        {"upper", [](const Value& self,
                     Arguments& in) { return in.expect(0, 0), in.heap.text(in_case(*as_text(self), true)); }},
        {"lower",
         [](const Value& self, Arguments& in) {
             return in.expect(0, 0), in.heap.text(in_case(*as_text(self), false));
         }},
        {"startswith",
         [](const Value& self, Arguments& in) {
             in.expect(1, 1);
             return Value{as_text(self)->starts_with(text_of(in.at(0), "startswith"))};
         }},
        {"endswith",
         [](const Value& self, Arguments& in) {
             in.expect(1, 1);
             return Value{as_text(self)->ends_with(text_of(in.at(0), "endswith"))};
         }},
        {"replace",
         [](const Value& self, Arguments& in) {
             in.expect(2, 2);
             return in.heap.text(
                 replaced(*as_text(self), text_of(in.at(0), "replace"), text_of(in.at(1), "replace")));
         }},
        {"find",
         [](const Value& self, Arguments& in) {
             in.expect(1, 1);
             const std::size_t at = as_text(self)->find(text_of(in.at(0), "find"));
             return Value{at == std::string::npos ? std::int64_t{-1} : static_cast<std::int64_t>(at)};
         }},
        {"isdigit",
         [](const Value& self, Arguments& in) {
             in.expect(0, 0);
             const std::string& text = *as_text(self);
             return Value{!text.empty() &&
                          std::ranges::all_of(text, [](char c) { return c >= '0' && c <= '9'; })};
         }},
        {"format",
         [](const Value& self, Arguments& in) { return in.heap.text(format_braces(*as_text(self), in)); }},
    };
    return kMethods;
}

const std::map<std::string, Method>& list_methods() {
    static const std::map<std::string, Method> kMethods = {
        {"append",
         [](const Value& self, Arguments& in) {
             in.expect(1, 1);
             in.heap.charge(sizeof(Value));
             as_list(self, "append").items.push_back(in.at(0));
             return Value{None{}};
         }},
        {"extend",
         [](const Value& self, Arguments& in) {
             in.expect(1, 1);
             const std::vector<Value> more = walked(in.at(0), "extend");
             in.heap.charge(more.size() * sizeof(Value));
             ListBox& list = as_list(self, "extend");
             list.items.insert(list.items.end(), more.begin(), more.end());
             return Value{None{}};
         }},
        {"insert",
         [](const Value& self, Arguments& in) {
             in.expect(2, 2);
             in.heap.charge(sizeof(Value));
             ListBox& list = as_list(self, "insert");
             const auto size = static_cast<std::int64_t>(list.items.size());
             std::int64_t at = whole_of(in.at(0), "insert");
             at = std::clamp<std::int64_t>(at < 0 ? at + size : at, 0, size);
             list.items.insert(list.items.begin() + at, in.at(1));
             return Value{None{}};
         }},
        {"pop",
         [](const Value& self, Arguments& in) {
             in.expect(0, 1);
             ListBox& list = as_list(self, "pop");
             const auto size = static_cast<std::int64_t>(list.items.size());
             std::int64_t at = in.has(0) ? whole_of(in.at(0), "pop") : -1;
             at = at < 0 ? at + size : at;
             if (at < 0 || at >= size) throw ValueError("pop: no such place");
             const Value taken = list.items[static_cast<std::size_t>(at)];
             list.items.erase(list.items.begin() + at);
             return taken;
         }},
        {"index",
         [](const Value& self, Arguments& in) {
             in.expect(1, 1);
             const auto& items = *as_items(self);
             for (std::size_t i = 0; i < items.size(); ++i)
                 if (same(items[i], in.at(0))) return Value{static_cast<std::int64_t>(i)};
             throw ValueError("index: " + written(in.at(0)).substr(0, 60) + " is not in the list");
         }},
    };
    return kMethods;
}

const std::map<std::string, Method>& dict_methods() {
    static const std::map<std::string, Method> kMethods = {
        {"get",
         [](const Value& self, Arguments& in) {
             in.expect(1, 2);
             const Value* found = std::get<DictBox*>(self)->find(in.at(0));
             return found != nullptr ? *found : in.has(1) ? in.at(1) : Value{None{}};
         }},
        {"keys",
         [](const Value& self, Arguments& in) {
             in.expect(0, 0);
             return in.heap.list(walked(self, "keys"));
         }},
        {"values",
         [](const Value& self, Arguments& in) {
             in.expect(0, 0);
             std::vector<Value> items;
             for (const auto& [key, held] : std::get<DictBox*>(self)->items) items.push_back(held);
             return in.heap.list(std::move(items));
         }},
        {"items",
         [](const Value& self, Arguments& in) {
             in.expect(0, 0);
             std::vector<Value> items;
             for (const auto& [key, held] : std::get<DictBox*>(self)->items)
                 items.push_back(in.heap.tuple({key, held}));
             return in.heap.list(std::move(items));
         }},
        {"pop",
         [](const Value& self, Arguments& in) {
             in.expect(1, 2);
             DictBox& dict = as_dict(self, "pop");
             const Value* found = dict.find(in.at(0));
             if (found == nullptr && !in.has(1)) throw ValueError("pop: no such key");
             const Value taken = found != nullptr ? *found : in.at(1);
             dict.erase(in.at(0));
             return taken;
         }},
        {"update",
         [](const Value& self, Arguments& in) {
             DictBox& dict = as_dict(self, "update");
             const Value more = make_dict(in);
             for (const auto& [key, held] : std::get<DictBox*>(more)->items) dict.set(key, held);
             return Value{None{}};
         }},
        {"setdefault",
         [](const Value& self, Arguments& in) {
             in.expect(1, 2);
             DictBox& dict = as_dict(self, "setdefault");
             if (const Value* found = dict.find(in.at(0))) return *found;
             in.heap.charge(4 * sizeof(Value));
             dict.set(in.at(0), in.has(1) ? in.at(1) : Value{None{}});
             return in.has(1) ? in.at(1) : Value{None{}};
         }},
    };
    return kMethods;
}

std::size_t distance(const std::string& a, const std::string& b) { // Levenshtein's, two rows at a time
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
    std::size_t least = name.size() / 2 + 1;
    for (const std::string& other : known)
        if (const std::size_t far = distance(name, other); far < least) least = far, best = other;
    return best;
}

Value method_of(Heap& heap, const Value& value, const std::string& name) {
    const std::map<std::string, Method>* methods = nullptr;
    if (as_text(value) != nullptr)
        methods = &text_methods();
    else if (as_items(value) != nullptr)
        methods = &list_methods();
    else if (std::holds_alternative<DictBox*>(value))
        methods = &dict_methods();
    if (methods != nullptr)
        if (const auto found = methods->find(name); found != methods->end())
            return heap.builtin(name, [value, run = found->second](Arguments& in) { return run(value, in); });
    std::vector<std::string> known;
    if (methods != nullptr)
        for (const auto& [other, run] : *methods) known.push_back(other);
    const std::string near = nearest(name, known);
    throw ValueError("a " + std::string(type_name(value)) + " has no '" + name + "'" +
                     (near.empty() ? "" : ", did you mean '" + near + "'?"));
}

// %s, %r, %d, %f and %%.
std::string format_percent(const std::string& form, const Value& with) {
    const auto* tuple = std::get_if<TupleRef>(&with);
    const std::vector<Value> values = tuple != nullptr ? tuple->box->items : std::vector<Value>{with};
    std::string out;
    std::size_t next = 0;
    for (std::size_t i = 0; i < form.size(); ++i) {
        if (form[i] != '%') {
            out += form[i];
            continue;
        }
        const char sort = ++i < form.size() ? form[i] : '\0';
        if (sort == '%') {
            out += '%';
            continue;
        }
        if (next >= values.size()) throw ValueError("%: more marks than values");
        const Value& value = values[next++];
        if (sort == 's')
            out += shown(value);
        else if (sort == 'r')
            out += written(value);
        else if (sort == 'd')
            out += std::to_string(std::get<std::int64_t>(to_int(value)));
        else if (sort == 'f')
            out += std::to_string(std::get<double>(to_float(value)));
        else
            throw ValueError(std::string("%: expected s, r, d, f or %, got '") + sort + "'");
    }
    if (next < values.size() && (tuple != nullptr || next == 0))
        throw ValueError("%: more values than marks");
    return out;
}

std::map<std::string, Value> make_builtins(Heap& heap) {
    std::map<std::string, Value> made;
    const auto add = [&](const char* name, std::function<Value(Arguments&)> run) {
        made[name] = heap.builtin(name, std::move(run));
    };
    add("len", [](Arguments& in) -> Value {
        in.expect(1, 1);
        if (const std::string* text = as_text(in.at(0))) return static_cast<std::int64_t>(text->size());
        return static_cast<std::int64_t>(walked(in.at(0), "len").size());
    });
    add("range", range);
    add("str", [](Arguments& in) { return in.expect(1, 1), in.heap.text(shown(in.at(0))); });
    add("repr", [](Arguments& in) { return in.expect(1, 1), in.heap.text(written(in.at(0))); });
    add("type",
        [](Arguments& in) { return in.expect(1, 1), in.heap.text(std::string(type_name(in.at(0)))); });
    add("int", [](Arguments& in) { return in.expect(1, 1), to_int(in.at(0)); });
    add("float", [](Arguments& in) { return in.expect(1, 1), to_float(in.at(0)); });
    add("bool", [](Arguments& in) { return in.expect(1, 1), Value{truth(in.at(0))}; });
    add("list", [](Arguments& in) {
        return in.expect(0, 1), in.heap.list(in.has(0) ? walked(in.at(0), "list") : std::vector<Value>{});
    });
    add("tuple", [](Arguments& in) {
        return in.expect(0, 1), in.heap.tuple(in.has(0) ? walked(in.at(0), "tuple") : std::vector<Value>{});
    });
    add("dict", make_dict);
    add("sorted", sorted);
    add("reversed", [](Arguments& in) {
        in.expect(1, 1);
        std::vector<Value> items = walked(in.at(0), "reversed");
        std::ranges::reverse(items);
        return in.heap.list(std::move(items));
    });
    add("enumerate", [](Arguments& in) {
        in.expect(1, 2);
        std::int64_t number = in.has(1) ? whole_of(in.at(1), "enumerate") : 0;
        std::vector<Value> rows;
        for (const Value& item : walked(in.at(0), "enumerate"))
            rows.push_back(in.heap.tuple({Value{number++}, item}));
        return in.heap.list(std::move(rows));
    });
    add("zip", zip);
    add("min", [](Arguments& in) { return extreme(in, -1); });
    add("max", [](Arguments& in) { return extreme(in, 1); });
    add("any", [](Arguments& in) {
        return in.expect(1, 1), Value{std::ranges::any_of(walked(in.at(0), "any"), truth)};
    });
    add("all", [](Arguments& in) {
        return in.expect(1, 1), Value{std::ranges::all_of(walked(in.at(0), "all"), truth)};
    });
    add("abs", [](Arguments& in) -> Value {
        in.expect(1, 1);
        if (const auto* real = std::get_if<double>(&in.at(0))) return std::abs(*real);
        const std::int64_t whole = whole_of(in.at(0), "abs");
        if (whole == INT64_MIN) throw ValueError("abs: out of range");
        return std::abs(whole);
    });
    add("fail", [](Arguments& in) -> Value {
        std::string why;
        for (const Value& value : in.placed) why += (why.empty() ? "" : " ") + shown(value);
        throw ValueError("fail: " + why);
    });
    return made;
}

} // namespace ivyrill::script
