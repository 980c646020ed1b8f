// Values of the operators' script language, a small dialect of Starlark (the Bazel project's specification of
// that language). One Heap owns all objects and accounts for their memory; values point into it and must not
// outlive it. Integers have 64 bits and overflow is an error; otherwise arithmetic follows Starlark.
#pragma once
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace ivyrill::script {

struct SourceLocation { // lines and columns count from 1
    std::string file;
    int line = 1, column = 1;
};

class ScriptError : public std::runtime_error { // formatted as `file:line:column: what`
  public:
    ScriptError(const SourceLocation& source_location, const std::string& what)
        : std::runtime_error(source_location.file + ":" + std::to_string(source_location.line) + ":" +
                             std::to_string(source_location.column) + ": " + what),
          location(source_location), message(what) {}
    SourceLocation location;
    std::string message;
};

// Thrown by operations that do not know the source location; the interpreter adds it.
class ValueError : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

struct ListObject;
struct DictObject;
struct FunctionObject;
struct BuiltinObject;
struct StringObject;

struct None {
    friend bool operator==(const None&, const None&) = default;
};
struct TupleRef { // an immutable list
    ListObject* object = nullptr;
};
using Value = std::variant<None, bool, std::int64_t, double, StringObject*, ListObject*, TupleRef,
                           DictObject*, FunctionObject*, BuiltinObject*>;

struct StringObject {
    std::string text;
};
struct ListObject {
    std::vector<Value> items;
    bool frozen = false;
    int active_iterations = 0; // loops over it; it must not change meanwhile
};
struct DictObject { // in insertion order
    std::vector<std::pair<Value, Value>> items;
    std::map<std::string, std::size_t> index_by_key; // index into `items` by the key's canonical text
    bool frozen = false;
    int active_iterations = 0;
    const Value* find(const Value& key) const;
    void set(const Value& key, const Value& value);
    bool erase(const Value& key);
};

class Heap;
struct Arguments {
    Heap& heap;
    std::vector<Value> positional;
    std::vector<std::pair<std::string, Value>> named;
    std::function<Value(const Value&, std::vector<Value>)>
        call;                                 // calls a function that was passed as an argument
    const Value& at(std::size_t index) const; // throws ValueError if absent
    bool has(std::size_t index) const { return index < positional.size(); }
    void expect(std::size_t min_count,
                std::size_t max_count) const; // throws ValueError for another number or a named argument
};
struct BuiltinObject {
    std::string name;
    std::function<Value(Arguments&)> run;
};
struct Def; // of the syntax tree
struct FunctionObject {
    const Def* def = nullptr;
    const void* module = nullptr; // the module whose globals it uses
    std::vector<Value> defaults;
    bool running = false;
};

// Owns all objects of one evaluation and limits their memory.
class Heap {
  public:
    explicit Heap(std::size_t max_bytes) : max_bytes_(max_bytes) {}
    Value text(std::string text);
    Value list(std::vector<Value> items);
    Value tuple(std::vector<Value> items);
    Value dict();
    Value function(FunctionObject object);
    Value builtin(std::string name, std::function<Value(Arguments&)> run);
    void charge(std::size_t bytes); // throws ValueError above the limit
    std::size_t bytes_used() const { return bytes_used_; }

  private:
    std::size_t max_bytes_, bytes_used_ = 0;
    std::deque<StringObject> texts_;
    std::deque<ListObject> lists_;
    std::deque<DictObject> dicts_;
    std::deque<FunctionObject> functions_;
    std::deque<BuiltinObject> builtins_;
};

std::string_view type_name(const Value& value);
bool is_truthy(const Value& value);
std::string repr(const Value& value,
                 int depth = 0);     // as script source; throws ValueError if nested too deeply
std::string str(const Value& value); // a string unquoted, any other value as repr
bool values_equal(const Value& a, const Value& b, int depth = 0);
int compare(const Value& a, const Value& b,
            int depth = 0); // negative, 0 or positive; throws ValueError if not comparable
const std::string* as_string(const Value& value);
const std::vector<Value>* as_items(const Value& value);         // of a list or tuple
ListObject& mutable_list(const Value& value, const char* what); // throws ValueError unless it is mutable now
DictObject& mutable_dict(const Value& value, const char* what);
void require_hashable(const Value& value);

} // namespace ivyrill::script
