#include "maintenance/chart.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <sstream>
#include <vector>

namespace ivyrill::maintenance {

namespace {

struct Change {
    std::int64_t at = 0;
    std::string state, holder;
};

std::optional<std::string> find_field(const std::string& line, const std::string& name) {
    const std::string key = " " + name + "=\"";
    const std::size_t begin = line.find(key);
    if (begin == std::string::npos) return {};
    const std::size_t from = begin + key.size(), end = line.find('"', from);
    if (end == std::string::npos) return {};
    return line.substr(from, end - from);
}

std::string escape_xml(const std::string& text) {
    std::string out;
    for (const char c : text) {
        if (c == '<')
            out += "&lt;";
        else if (c == '&')
            out += "&amp;";
        else if (c == '"')
            out += "&quot;";
        else
            out += c;
    }
    return out;
}

const char* colour_of(const std::string& state) {
    static const std::map<std::string, const char*> kColours{{"granted", "#c9d7f0"}, {"draining", "#f3d48b"},
                                                             {"out", "#d9705f"},     {"returning", "#9ccb8a"},
                                                             {"warm", "#5fa35f"},    {"given up", "#777777"}};
    const auto found = kColours.find(state);
    return found == kColours.end() ? nullptr : found->second;
}

} // namespace

std::string render_chart(std::istream& log) {
    std::map<std::string, std::vector<Change>> machines;
    std::int64_t first = INT64_MAX, last = 0;
    for (std::string line; std::getline(log, line);) {
        if (line.find(" turn machine=\"") == std::string::npos) continue;
        const auto machine = find_field(line, "machine"), state = find_field(line, "state"),
                   at = find_field(line, "at_ms");
        if (!machine || !state || !at) continue;
        std::int64_t ms = 0;
        std::istringstream(*at) >> ms;
        if (ms <= 0) continue;
        auto& changes = machines[*machine];
        if (!changes.empty() && changes.back().state == *state) continue;
        changes.push_back({ms, *state, find_field(line, "holder").value_or("")});
        first = std::min(first, ms), last = std::max(last, ms);
    }
    constexpr int kLabelWidth = 120, kRowHeight = 22, kChartWidth = 900, kTopMargin = 40;
    const auto rows = static_cast<int>(machines.size());
    const double span = static_cast<double>(std::max<std::int64_t>(1, last - first));
    const auto x_of = [&](std::int64_t at) {
        return kLabelWidth + kChartWidth * static_cast<double>(at - first) / span;
    };
    std::ostringstream out;
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << kLabelWidth + kChartWidth + 20
        << "\" height=\"" << kTopMargin + rows * kRowHeight + 30
        << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
        << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
        << "<text x=\"8\" y=\"18\">machines out for maintenance, "
        << (rows > 0 ? (last - first) / 1000.0 : 0.0) << " s</text>\n";
    int row = 0;
    for (const auto& [name, changes] : machines) {
        const int y = kTopMargin + row++ * kRowHeight;
        out << "<text x=\"8\" y=\"" << y + 14 << "\">" << escape_xml(name) << "</text>\n";
        for (std::size_t i = 0; i < changes.size(); ++i) {
            const char* colour = colour_of(changes[i].state);
            if (colour == nullptr) continue;
            const std::int64_t end = i + 1 < changes.size() ? changes[i + 1].at : last;
            out << "<rect x=\"" << x_of(changes[i].at) << "\" y=\"" << y << "\" width=\""
                << std::max(1.0, x_of(end) - x_of(changes[i].at)) << "\" height=\"" << kRowHeight - 4
                << "\" fill=\"" << colour << "\"><title>"
                << escape_xml(name + " " + changes[i].state + " by " + changes[i].holder)
                << "</title></rect>\n";
        }
    }
    for (int i = 0; i <= 6; ++i) {
        const double at = kLabelWidth + kChartWidth * i / 6.0;
        out << "<text x=\"" << at << "\" y=\"" << kTopMargin + rows * kRowHeight + 18
            << "\" text-anchor=\"middle\">" << span * i / 6.0 / 1000.0 << " s</text>\n";
    }
    out << "</svg>\n";
    return out.str();
}

} // namespace ivyrill::maintenance
