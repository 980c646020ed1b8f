// What pair selection of one node costs by the number of servers, measured without sockets.
#pragma once
#include <cstddef>

namespace ivyrill::scale {

struct SelectionCost {
    double choose_us = 0;         // one choice of a pair
    double set_instances_ms = 0;  // one changed record told
    double assign_reports_ms = 0; // one changed record told to the reader of reports
    double kilobytes_per_server = 0;
    double digests_ms = 0;                   // those of all records, once
    double snapshot_ms = 0, snapshot_kb = 0; // of all records, their loads and the nodes, as one frame
};
SelectionCost measure_selection(std::size_t servers, std::size_t nodes);

} // namespace ivyrill::scale
