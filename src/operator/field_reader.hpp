// A typed reading of an evaluated operator's file: each field is asked for by name and sort, with its bounds,
// and what nobody asked for is an error that names the nearest that is known. Errors name the path.
#pragma once
#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace ivyrill::operators {

class SettingsError : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

class FieldReader {
  public:
    // `path` names the object in messages. Throws SettingsError where it is none.
    FieldReader(const nlohmann::ordered_json& object, std::string path);

    std::string text(const std::string& name); // must be there, not empty
    std::string text(const std::string& name, const std::string& default_value);
    std::string one_of(const std::string& name, const std::vector<std::string>& words,
                       const std::string& default_value);
    std::int64_t integer(const std::string& name, std::int64_t min, std::int64_t max,
                         std::optional<std::int64_t> default_value = {});
    double number(const std::string& name, double min, double max, std::optional<double> default_value = {});
    bool flag(const std::string& name, bool default_value);
    std::vector<std::string> text_list(const std::string& name); // absent: none
    void for_each_object(const std::string& name,
                         const std::function<void(FieldReader)>& read); // of a list of objects
    // Of an object whose names are free: each name and its value.
    void for_each_entry(const std::string& name,
                        const std::function<void(const std::string&, const nlohmann::ordered_json&,
                                                 const std::string&)>& read);
    std::optional<FieldReader> object(const std::string& name);
    bool has(const std::string& name) const { return object_->contains(name); }
    void reject_unknown() const; // throws where something is left that nobody asked for
    const std::string& path() const { return path_; }
    [[noreturn]] void fail(const std::string& name, const std::string& why) const;

  private:
    const nlohmann::ordered_json* find(const std::string& name);
    const nlohmann::ordered_json* object_;
    std::string path_;
    std::set<std::string> requested_;
};

} // namespace ivyrill::operators
