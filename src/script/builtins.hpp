// The functions and methods of the script language; none of them reaches outside.
#pragma once
#include "script/value.hpp"

#include <map>
#include <string>

namespace ivyrill::script {

std::map<std::string, Value> make_builtins(Heap& heap);
// A method of this value, ready to be called; throws ValueError where there is none.
Value method_of(Heap& heap, const Value& value, const std::string& name);
std::string format_percent(const std::string& form, const Value& with);
// Known names at the least distance from this one, to help who mistyped; empty where none is near.
std::string nearest(const std::string& name, const std::vector<std::string>& known);

} // namespace ivyrill::script
