// The leader's part: compares the committed schedule with the observed fleet and decides which commands to
// propose next. Its only state of its own is when leases were last renewed, by its own clock; a new leader
// starts to count from its election.
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
    bool transfer_leadership = false; // the next machine is this leader itself
    std::string reason;               // why no further machine goes out at present; shown to operators
};

class Scheduler {
  public:
    explicit Scheduler(SchedulerSettings settings) : settings_(std::move(settings)) {}
    // The commands to propose now.
    SchedulerDecision decide(Ticks now, Ticks leader_since, const MaintenanceSchedule& schedule,
                             const FleetObservation& observed);
    void reset() {
        leases_.clear(), fleet_changing_since_ = overloaded_since_ = 0, rolled_back_since_.clear(),
                         clock_samples_.clear(), expired_holders_.clear();
    }

    // Machines that do not serve although they are not out for maintenance.
    static std::set<std::string> down(const MaintenanceSchedule& schedule, const FleetObservation& observed);
    // How long after its last renewal was applied here a lease counts as expired.
    Ticks lease_expiry_wait() const;
    std::uint64_t distrusted_clocks() const { return distrusted_clocks_; }

  private:
    struct LeaseRecord {
        std::string holder;
        FencingToken fence;
        std::uint64_t holder_time = 0;
        Ticks at = 0;
    };
    struct ClockSample { // reference sample of a holder's clock
        std::uint64_t holder_time = 0;
        Ticks at = 0;
    };
    UpdateFleet build_fleet_update(Ticks now, const MaintenanceSchedule& schedule,
                                   const FleetObservation& observed);
    void check_leases(Ticks now, Ticks leader_since, const MaintenanceSchedule& schedule,
                      const FleetObservation& observed, SchedulerDecision& decision);
    void measure_clock(Ticks now, const MaintenanceJob& job);
    void grant_leases(Ticks now, const MaintenanceSchedule& schedule, const FleetObservation& observed,
                      const std::set<std::string>& down, SchedulerDecision& decision);
    std::string holder_for(const MaintenanceJob& job, const MaintenanceSchedule& schedule,
                           const FleetObservation& observed) const;

    SchedulerSettings settings_;
    std::map<std::string, LeaseRecord> leases_;      // by machine
    std::map<std::string, Ticks> rolled_back_since_; // by machine, since when it waits after a rollback
    std::map<std::string, Ticks> missing_since_;     // since when a machine of the fleet is not observed
    std::map<std::string, ClockSample> clock_samples_;
    std::set<std::string> distrusted_holders_; // holders whose clock rate exceeds the assumed error
    std::set<std::string> expired_holders_; // holders that let a lease expire, until they make progress again
    Ticks fleet_changing_since_ = 0, overloaded_since_ = 0;
    std::vector<std::string> planned_order_; // order of the cached plan
    std::string plan_key_;
    std::uint64_t distrusted_clocks_ = 0;
};

} // namespace ivyrill::maintenance
