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

class OrderError : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

class Fields {
  public:
    // `path` names the object in messages. Throws OrderError where it is none.
    Fields(const nlohmann::ordered_json& object, std::string path);

    std::string text(const std::string& name); // must be there, not empty
    std::string text(const std::string& name, const std::string& otherwise);
    std::string one_of(const std::string& name, const std::vector<std::string>& words,
                       const std::string& otherwise);
    std::int64_t whole(const std::string& name, std::int64_t least, std::int64_t most,
                       std::optional<std::int64_t> otherwise = {});
    double number(const std::string& name, double least, double most, std::optional<double> otherwise = {});
    bool flag(const std::string& name, bool otherwise);
    std::vector<std::string> texts(const std::string& name);                     // absent: none
    void each(const std::string& name, const std::function<void(Fields)>& read); // of a list of objects
    // Of an object whose names are free: each name and its value.
    void each_named(const std::string& name,
                    const std::function<void(const std::string&, const nlohmann::ordered_json&,
                                             const std::string&)>& read);
    std::optional<Fields> object(const std::string& name);
    bool has(const std::string& name) const { return object_->contains(name); }
    void done() const; // throws where something is left that nobody asked for
    const std::string& path() const { return path_; }
    [[noreturn]] void fail(const std::string& name, const std::string& why) const;

  private:
    const nlohmann::ordered_json* find(const std::string& name);
    const nlohmann::ordered_json* object_;
    std::string path_;
    std::set<std::string> known_;
};

} // namespace ivyrill::operators
