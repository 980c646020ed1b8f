// Renders the `turn` lines of a front node's log as an SVG timeline: one row for each machine, coloured by
// the state of its maintenance job.
#pragma once
#include <istream>
#include <string>

namespace ivyrill::maintenance {

std::string render_chart(std::istream& log); // returns SVG; ignores all other lines

} // namespace ivyrill::maintenance
