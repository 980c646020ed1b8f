// What is refused first when there is not room for all: by utility for each unit of work, request class by
// request class and tenant by tenant. Each tenant keeps its share of what is left before anybody gets more;
// parts are left out, down to the request class's floor, before whole searches of that request class are
// refused. Pure.
#pragma once
#include "recovery/types.hpp"

namespace ivyrill::recovery {

struct SheddingInput {
    std::map<std::string, RequestClassInfo> request_classes;
    std::map<std::string, double> quotas; // searches a second of each tenant; not named: none is stated
    Demand demand;
    std::map<int, double> capacity; // parts a second that find room, by shard; not named: nobody holds it
};

struct Admission {
    double admitted_share = 1; // share of its searches
    double answer_weight = 1;  // of an answer: 1 unless parts are left out
    bool impossible = false;   // shards are gone that it cannot do without
};

struct SheddingPlan {
    std::map<TrafficClass, Admission> admissions;
    std::map<int, double> served_share;   // share of each shard's demand that is let in and finds room
    double utility = 0, most_utility = 0; // a second
};

SheddingPlan plan_shedding(const SheddingInput& input);

} // namespace ivyrill::recovery
