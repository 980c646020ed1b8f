// The leader's part: looks at the evening as agreed and at the fleet as it sees it, and says what should be
// agreed on next. It holds nothing that has to outlive it but what it has heard of grants, by its own clock;
// a new leader hears everything anew from the moment that it leads.
#pragma once
#include "maintenance/fleet_observation.hpp"
#include "maintenance/plan.hpp"

#include <functional>
#include <vector>

namespace ivyrill::maintenance {

struct SchedulerSettings {
    Limits limits;
    Timing timing;
    FailurePolicy failure_policy;
    std::uint64_t seed = 0;
};

struct SchedulerDecision {
    std::vector<Command> commands;
    bool transfer_leadership = false; // the next machine is the leader itself
    std::string reason;               // why nothing more goes out at present, for those who ask
};

class Scheduler {
  public:
    explicit Scheduler(SchedulerSettings settings) : settings_(std::move(settings)) {}
    SchedulerDecision decide(Tenths now, Tenths leader_since, const MaintenanceSchedule& schedule,
                             const FleetObservation& observed);
    void reset() {
        leases_.clear(), fleet_changing_since_ = overloaded_since_ = 0, rolled_back_since_.clear(),
                         clock_samples_.clear(), expired_holders_.clear();
    }

    // Machines that do not serve and were not sent out.
    static std::set<std::string> down(const MaintenanceSchedule& schedule, const FleetObservation& observed);
    // What our count allows a grant to last, from when we heard of it.
    Tenths lease_expiry_wait() const;
    std::uint64_t distrusted_clocks() const { return distrusted_clocks_; }

  private:
    struct LeaseRecord {
        std::string holder;
        FencingToken fence;
        std::uint64_t holder_time = 0;
        Tenths at = 0;
    };
    struct ClockSample { // of a holder: one word of it, against which later ones are measured
        std::uint64_t holder_time = 0;
        Tenths at = 0;
    };
    UpdateFleet build_fleet_update(Tenths now, const MaintenanceSchedule& schedule,
                                   const FleetObservation& observed);
    void check_leases(Tenths now, Tenths leader_since, const MaintenanceSchedule& schedule,
                      const FleetObservation& observed, SchedulerDecision& decision);
    void measure_clock(Tenths now, const MaintenanceJob& job);
    void grant_leases(Tenths now, const MaintenanceSchedule& schedule, const FleetObservation& observed,
                      const std::set<std::string>& down, SchedulerDecision& decision);
    std::string holder_for(const MaintenanceJob& job, const MaintenanceSchedule& schedule,
                           const FleetObservation& observed) const;

    SchedulerSettings settings_;
    std::map<std::string, LeaseRecord> leases_;       // of each grant, by machine
    std::map<std::string, Tenths> rolled_back_since_; // since when a machine waits that was put back
    std::map<std::string, Tenths> missing_since_; // front nodes of the fleet that we do not see, since when
    std::map<std::string, ClockSample> clock_samples_;
    std::set<std::string> distrusted_holders_; // holders whose clock goes otherwise than is assumed
    std::set<std::string> expired_holders_;    // holders that let a grant lapse, until they keep one
    Tenths fleet_changing_since_ = 0, overloaded_since_ = 0;
    std::vector<std::string> planned_order_; // of the plan, and for what it was made
    std::string plan_key_;
    std::uint64_t distrusted_clocks_ = 0;
};

} // namespace ivyrill::maintenance
