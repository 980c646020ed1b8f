// Decides what to shed when demand exceeds capacity. Traffic classes are admitted by utility per unit of
// work. Each tenant gets its quota, scaled to the remaining capacity, before any tenant gets more. Parts are
// omitted, down to the request class's minimum weight, before whole searches of that request class are
// rejected. Pure.
#pragma once
#include "recovery/types.hpp"

namespace ivyrill::recovery {

struct SheddingInput {
    std::map<std::string, RequestClassInfo> request_classes;
    std::map<std::string, double> quotas; // searches per second of each tenant; absent: no quota
    Demand demand;
    std::map<int, double> capacity; // parts per second by shard; absent: no replica is left
};

struct Admission {
    double admitted_share = 1; // of its searches
    double answer_weight = 1;  // minimum weight of an answer; 1 unless parts are omitted
    bool impossible = false;   // it needs shards of which no replica is left
};

struct SheddingPlan {
    std::map<TrafficClass, Admission> admissions;
    std::map<int, double> served_share;  // share of each shard's demand that is admitted
    double utility = 0, max_utility = 0; // per second; the latter if all were admitted
};

SheddingPlan plan_shedding(const SheddingInput& input);

} // namespace ivyrill::recovery
