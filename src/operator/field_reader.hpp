// Typed reader for the evaluated operator's file: each field is requested by name and type, with its bounds.
// A field that was never requested is an error that suggests the nearest known name. Errors contain the
// field's path.
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
    // `path` names the object in error messages. All members throw SettingsError; this one where `object` is
    // none.
    FieldReader(const nlohmann::ordered_json& object, std::string path);

    std::string text(const std::string& name); // required, not empty
    std::string text(const std::string& name, const std::string& default_value);
    std::string one_of(const std::string& name, const std::vector<std::string>& values,
                       const std::string& default_value);
    std::int64_t integer(const std::string& name, std::int64_t min, std::int64_t max,
                         std::optional<std::int64_t> default_value = {});
    double number(const std::string& name, double min, double max, std::optional<double> default_value = {});
    bool flag(const std::string& name, bool default_value);
    std::vector<std::string> text_list(const std::string& name); // empty where absent
    void for_each_object(const std::string& name,
                         const std::function<void(FieldReader)>& read); // in a list
    // For an object with arbitrary names: calls `read` with each name, its value and its path.
    void for_each_entry(const std::string& name,
                        const std::function<void(const std::string&, const nlohmann::ordered_json&,
                                                 const std::string&)>& read);
    std::optional<FieldReader> object(const std::string& name); // nothing where absent
    bool has(const std::string& name) const { return object_->contains(name); }
    void reject_unknown() const; // throws where a field was not requested
    const std::string& path() const { return path_; }
    [[noreturn]] void fail(const std::string& name, const std::string& why) const;

  private:
    const nlohmann::ordered_json* find(const std::string& name);
    const nlohmann::ordered_json* object_;
    std::string path_;
    std::set<std::string> requested_;
};

} // namespace ivyrill::operators
