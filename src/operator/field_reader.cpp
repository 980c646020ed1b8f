#include "operator/field_reader.hpp"

#include "script/builtins.hpp"

#include <algorithm>

namespace ivyrill::operators {

using nlohmann::ordered_json;

FieldReader::FieldReader(const ordered_json& object, std::string path)
    : object_(&object), path_(std::move(path)) {
    if (!object.is_object()) throw SettingsError(path_ + ": expected a dict, got " + object.type_name());
}

void FieldReader::fail(const std::string& name, const std::string& why) const {
    throw SettingsError((path_.empty() ? name : path_ + "." + name) + ": " + why);
}

const ordered_json* FieldReader::find(const std::string& name) {
    requested_.insert(name);
    const auto found = object_->find(name);
    return found == object_->end() || found->is_null() ? nullptr : &*found;
}

std::string FieldReader::text(const std::string& name) {
    const ordered_json* found = find(name);
    if (found == nullptr || !found->is_string() || found->get_ref<const std::string&>().empty())
        fail(name,
             found == nullptr ? "is missing; expected a string" : "expected a string that is not empty");
    return found->get<std::string>();
}

std::string FieldReader::text(const std::string& name, const std::string& default_value) {
    return find(name) == nullptr ? default_value : text(name);
}

std::string FieldReader::one_of(const std::string& name, const std::vector<std::string>& values,
                                const std::string& default_value) {
    const std::string value = text(name, default_value);
    if (std::ranges::find(values, value) != values.end()) return value;
    std::string known;
    for (const std::string& one : values) known += (known.empty() ? "" : ", ") + one;
    const std::string nearest = script::nearest(value, values);
    fail(name, "expected one of " + known + ", got '" + value + "'" +
                   (nearest.empty() ? "" : "; did you mean '" + nearest + "'?"));
}

std::int64_t FieldReader::integer(const std::string& name, std::int64_t min, std::int64_t max,
                                  std::optional<std::int64_t> default_value) {
    const ordered_json* found = find(name);
    if (found == nullptr && default_value) return *default_value;
    const std::string expected = "expected an int from " + std::to_string(min) + " to " + std::to_string(max);
    if (found == nullptr) fail(name, "is missing; " + expected);
    if (!found->is_number_integer()) fail(name, expected);
    const auto value = found->get<std::int64_t>();
    if (value < min || value > max) fail(name, expected + ", got " + std::to_string(value));
    return value;
}

double FieldReader::number(const std::string& name, double min, double max,
                           std::optional<double> default_value) {
    const ordered_json* found = find(name);
    if (found == nullptr && default_value) return *default_value;
    const auto expected = [&] {
        return "expected a number from " + ordered_json(min).dump() + " to " + ordered_json(max).dump();
    };
    if (found == nullptr) fail(name, "is missing; " + expected());
    if (!found->is_number() || found->get<double>() < min || found->get<double>() > max)
        fail(name, expected());
    return found->get<double>();
}

bool FieldReader::flag(const std::string& name, bool default_value) {
    const ordered_json* found = find(name);
    if (found == nullptr) return default_value;
    if (!found->is_boolean()) fail(name, "expected True or False");
    return found->get<bool>();
}

std::vector<std::string> FieldReader::text_list(const std::string& name) {
    const ordered_json* found = find(name);
    if (found == nullptr) return {};
    if (!found->is_array()) fail(name, "expected a list of strings");
    std::vector<std::string> result;
    for (const ordered_json& item : *found) {
        if (!item.is_string()) fail(name, "expected a list of strings");
        result.push_back(item.get<std::string>());
    }
    return result;
}

void FieldReader::for_each_object(const std::string& name, const std::function<void(FieldReader)>& read) {
    const ordered_json* found = find(name);
    if (found == nullptr) return;
    if (!found->is_array()) fail(name, "expected a list of dicts");
    const std::string path = path_.empty() ? name : path_ + "." + name;
    for (std::size_t i = 0; i < found->size(); ++i)
        read(FieldReader((*found)[i], path + "[" + std::to_string(i) + "]"));
}

void FieldReader::for_each_entry(
    const std::string& name,
    const std::function<void(const std::string&, const ordered_json&, const std::string&)>& read) {
    const ordered_json* found = find(name);
    if (found == nullptr) return;
    if (!found->is_object()) fail(name, "expected a dict");
    const std::string path = path_.empty() ? name : path_ + "." + name;
    for (const auto& [key, value] : found->items()) read(key, value, path + "[\"" + key + "\"]");
}

std::optional<FieldReader> FieldReader::object(const std::string& name) {
    const ordered_json* found = find(name);
    if (found == nullptr) return {};
    return FieldReader(*found, path_.empty() ? name : path_ + "." + name);
}

void FieldReader::reject_unknown() const {
    for (const auto& [name, value] : object_->items()) {
        if (requested_.contains(name)) continue;
        const std::string nearest = script::nearest(name, {requested_.begin(), requested_.end()});
        fail(name, "is not a known field" + (nearest.empty() ? "" : "; did you mean '" + nearest + "'?"));
    }
}

} // namespace ivyrill::operators
