// An evening as a picture: machines down, time across, from the lines that a front node logs of its turns.
#pragma once
#include <istream>
#include <string>

namespace ivyrill::maintenance {

std::string render_chart(std::istream& log); // SVG; lines that are none of ours are passed over

} // namespace ivyrill::maintenance
