// The built-in functions and methods of the script language. None of them performs I/O.
#pragma once
#include "script/value.hpp"

#include <map>
#include <string>

namespace ivyrill::script {

std::map<std::string, Value> make_builtins(Heap& heap);
// The bound method of this value; throws ValueError if there is none.
Value method_of(Heap& heap, const Value& value, const std::string& name);
// The % operator on strings.
std::string format_percent(const std::string& format, const Value& operand);
// The known name with the least edit distance, for error messages; empty if none is close.
std::string nearest(const std::string& name, const std::vector<std::string>& known);

} // namespace ivyrill::script
