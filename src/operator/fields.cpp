#include "operator/fields.hpp"

#include "script/builtins.hpp"

#include <algorithm>

namespace ivyrill::operators {

using nlohmann::ordered_json;

Fields::Fields(const ordered_json& object, std::string path) : object_(&object), path_(std::move(path)) {
    if (!object.is_object()) throw OrderError(path_ + ": expected a dict, got " + object.type_name());
}

void Fields::fail(const std::string& name, const std::string& why) const {
    throw OrderError((path_.empty() ? name : path_ + "." + name) + ": " + why);
}

const ordered_json* Fields::find(const std::string& name) {
    known_.insert(name);
    const auto found = object_->find(name);
    return found == object_->end() || found->is_null() ? nullptr : &*found;
}

std::string Fields::text(const std::string& name) {
    const ordered_json* found = find(name);
    if (found == nullptr || !found->is_string() || found->get_ref<const std::string&>().empty())
        fail(name,
             found == nullptr ? "is missing; expected a string" : "expected a string that is not empty");
    return found->get<std::string>();
}

std::string Fields::text(const std::string& name, const std::string& otherwise) {
    return find(name) == nullptr ? otherwise : text(name);
}

std::string Fields::one_of(const std::string& name, const std::vector<std::string>& words,
                           const std::string& otherwise) {
    const std::string word = text(name, otherwise);
    if (std::ranges::find(words, word) != words.end()) return word;
    std::string known;
    for (const std::string& one : words) known += (known.empty() ? "" : ", ") + one;
    const std::string near = script::nearest(word, words);
    fail(name, "expected one of " + known + ", got '" + word + "'" +
                   (near.empty() ? "" : "; did you mean '" + near + "'?"));
}

std::int64_t Fields::whole(const std::string& name, std::int64_t least, std::int64_t most,
                           std::optional<std::int64_t> otherwise) {
    const ordered_json* found = find(name);
    if (found == nullptr && otherwise) return *otherwise;
    const std::string wanted =
        "expected an int from " + std::to_string(least) + " to " + std::to_string(most);
    if (found == nullptr) fail(name, "is missing; " + wanted);
    if (!found->is_number_integer()) fail(name, wanted);
    const auto value = found->get<std::int64_t>();
    if (value < least || value > most) fail(name, wanted + ", got " + std::to_string(value));
    return value;
}

double Fields::number(const std::string& name, double least, double most, std::optional<double> otherwise) {
    const ordered_json* found = find(name);
    if (found == nullptr && otherwise) return *otherwise;
    const auto wanted = [&] {
        return "expected a number from " + ordered_json(least).dump() + " to " + ordered_json(most).dump();
    };
    if (found == nullptr) fail(name, "is missing; " + wanted());
    if (!found->is_number() || found->get<double>() < least || found->get<double>() > most)
        fail(name, wanted());
    return found->get<double>();
}

bool Fields::flag(const std::string& name, bool otherwise) {
    const ordered_json* found = find(name);
    if (found == nullptr) return otherwise;
    if (!found->is_boolean()) fail(name, "expected True or False");
    return found->get<bool>();
}

std::vector<std::string> Fields::texts(const std::string& name) {
    const ordered_json* found = find(name);
    if (found == nullptr) return {};
    if (!found->is_array()) fail(name, "expected a list of strings");
    std::vector<std::string> made;
    for (const ordered_json& item : *found) {
        if (!item.is_string()) fail(name, "expected a list of strings");
        made.push_back(item.get<std::string>());
    }
    return made;
}

void Fields::each(const std::string& name, const std::function<void(Fields)>& read) {
    const ordered_json* found = find(name);
    if (found == nullptr) return;
    if (!found->is_array()) fail(name, "expected a list of dicts");
    const std::string path = path_.empty() ? name : path_ + "." + name;
    for (std::size_t i = 0; i < found->size(); ++i)
        read(Fields((*found)[i], path + "[" + std::to_string(i) + "]"));
}

void Fields::each_named(
    const std::string& name,
    const std::function<void(const std::string&, const ordered_json&, const std::string&)>& read) {
    const ordered_json* found = find(name);
    if (found == nullptr) return;
    if (!found->is_object()) fail(name, "expected a dict");
    const std::string path = path_.empty() ? name : path_ + "." + name;
    for (const auto& [key, value] : found->items()) read(key, value, path + "[\"" + key + "\"]");
}

std::optional<Fields> Fields::object(const std::string& name) {
    const ordered_json* found = find(name);
    if (found == nullptr) return {};
    return Fields(*found, path_.empty() ? name : path_ + "." + name);
}

void Fields::done() const {
    for (const auto& [name, value] : object_->items()) {
        if (known_.contains(name)) continue;
        const std::string near = script::nearest(name, {known_.begin(), known_.end()});
        fail(name, "is not known here" + (near.empty() ? "" : "; did you mean '" + near + "'?"));
    }
}

} // namespace ivyrill::operators
