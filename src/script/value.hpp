// Values of the operators' script, a small dialect of Starlark (the Bazel project's specification of that
// language). All that can change lives in one Heap, which counts what it holds; values point into it and end
// with it. Whole numbers have 64 bits and overflow is an error; there is no other departure in arithmetic.
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

struct Place { // lines and columns count from 1
    std::string file;
    int line = 1, column = 1;
};

class ScriptError : public std::runtime_error { // `file:line:column: what`
  public:
    ScriptError(const Place& place, const std::string& what)
        : std::runtime_error(place.file + ":" + std::to_string(place.line) + ":" +
                             std::to_string(place.column) + ": " + what),
          at(place), plain(what) {}
    Place at;
    std::string plain;
};

// Thrown by operations that know no place; whoever evaluates adds it.
class ValueError : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

struct ListBox;
struct DictBox;
struct FunctionBox;
struct BuiltinBox;
struct TextBox;

struct None {
    friend bool operator==(const None&, const None&) = default;
};
struct TupleRef { // a list that never changes
    ListBox* box = nullptr;
};
using Value = std::variant<None, bool, std::int64_t, double, TextBox*, ListBox*, TupleRef, DictBox*,
                           FunctionBox*, BuiltinBox*>;

struct TextBox {
    std::string text;
};
struct ListBox {
    std::vector<Value> items;
    bool frozen = false;
    int walked = 0; // loops that go over it: it may not change meanwhile
};
struct DictBox { // in the order in which keys came
    std::vector<std::pair<Value, Value>> items;
    std::map<std::string, std::size_t> places; // by the key's written form
    bool frozen = false;
    int walked = 0;
    const Value* find(const Value& key) const;
    void set(const Value& key, const Value& value);
    bool erase(const Value& key);
};

class Heap;
struct Arguments {
    Heap& heap;
    std::vector<Value> placed;
    std::vector<std::pair<std::string, Value>> named;
    std::function<Value(const Value&, std::vector<Value>)> call; // of a function that was handed over
    const Value& at(std::size_t index) const;                    // throws ValueError where absent
    bool has(std::size_t index) const { return index < placed.size(); }
    void expect(std::size_t least, std::size_t most) const; // and none named
};
struct BuiltinBox {
    std::string name;
    std::function<Value(Arguments&)> run;
};
struct Def; // of the syntax tree
struct FunctionBox {
    const Def* def = nullptr;
    const void* module = nullptr; // whose globals it sees
    std::vector<Value> defaults;
    bool running = false;
};

// Owns all boxes of one evaluation and bounds what they take.
class Heap {
  public:
    explicit Heap(std::size_t most_bytes) : most_(most_bytes) {}
    Value text(std::string text);
    Value list(std::vector<Value> items);
    Value tuple(std::vector<Value> items);
    Value dict();
    Value function(FunctionBox box);
    Value builtin(std::string name, std::function<Value(Arguments&)> run);
    void charge(std::size_t bytes); // throws ValueError past the bound
    std::size_t held() const { return held_; }

  private:
    std::size_t most_, held_ = 0;
    std::deque<TextBox> texts_;
    std::deque<ListBox> lists_;
    std::deque<DictBox> dicts_;
    std::deque<FunctionBox> functions_;
    std::deque<BuiltinBox> builtins_;
};

std::string_view type_name(const Value& value);
bool truth(const Value& value);
std::string written(const Value& value, int depth = 0); // as in a script; throws ValueError when too deep
std::string shown(const Value& value);                  // a text as itself, else as written
bool same(const Value& a, const Value& b, int depth = 0);
int compare(const Value& a, const Value& b, int depth = 0); // below, at or above 0; throws ValueError
const std::string* as_text(const Value& value);
const std::vector<Value>* as_items(const Value& value); // of a list or tuple
ListBox& as_list(const Value& value, const char* what); // that may change now
DictBox& as_dict(const Value& value, const char* what);
void must_be_hashable(const Value& value);

} // namespace ivyrill::script
