#include "control/replicated_group.hpp"

#include "base/log.hpp"
#include "wire/cbor.hpp"

#include <algorithm>
#include <utility>

namespace ivyrill::control {

ReplicatedGroup::ReplicatedGroup(transport::Reactor& reactor, StateFile& file, consensus::Options options,
                                 const consensus::DurableState& durable, Callbacks callbacks)
    : reactor_(reactor), file_(file), self_(options.self), callbacks_(std::move(callbacks)),
      replica_(std::move(options), durable, reactor.now()) {}

ReplicatedGroup::~ReplicatedGroup() {
    *alive_ = false;
    reactor_.cancel(timer_);
}

void ReplicatedGroup::bootstrap(std::vector<consensus::Member> initial_voters, std::string payload) {
    replica_.bootstrap(std::move(initial_voters), std::move(payload), reactor_.now());
    step();
}

void ReplicatedGroup::receive(const consensus::Message& message) {
    replica_.receive(message, reactor_.now());
    step();
}

void ReplicatedGroup::set_member_statuses(std::vector<consensus::MemberStatus> statuses,
                                          std::size_t min_voters, std::size_t max_voters) {
    replica_.set_member_statuses(std::move(statuses), min_voters, max_voters, reactor_.now());
    step();
}

void ReplicatedGroup::resign() {
    replica_.resign(reactor_.now());
    step();
}

transport::Async<std::optional<consensus::ProposalOutcome>>
ReplicatedGroup::propose(consensus::Replica::MakePayload make, Ticks timeout) {
    auto pending = std::make_shared<transport::Pending<consensus::ProposalOutcome>>(reactor_);
    proposals_[replica_.propose(std::move(make), reactor_.now())] = pending;
    step();
    co_return co_await transport::Pending<consensus::ProposalOutcome>::wait(pending,
                                                                            reactor_.now() + timeout);
}

void ReplicatedGroup::propose_without_waiting(consensus::Replica::MakePayload make) {
    replica_.propose(std::move(make), reactor_.now());
    step();
}

transport::Async<bool> ReplicatedGroup::confirm_leadership(Ticks timeout) {
    auto pending = std::make_shared<transport::Pending<bool>>(reactor_);
    reads_[replica_.confirm_leadership(reactor_.now())] = pending;
    step();
    const auto result = co_await transport::Pending<bool>::wait(pending, reactor_.now() + timeout);
    co_return result.value_or(false);
}

void ReplicatedGroup::step() {
    if (std::exchange(executing_, true)) return;
    for (auto effects = replica_.take_effects(); !effects.empty(); effects = replica_.take_effects())
        for (consensus::Effect& effect : effects) execute(std::move(effect));
    executing_ = false;
    if (callbacks_.stepped) callbacks_.stepped();
    reactor_.cancel(timer_);
    timer_ = reactor_.call_at(std::max(replica_.next_tick(), reactor_.now() + 1), [this] {
        replica_.tick(reactor_.now());
        step();
    });
}

void ReplicatedGroup::execute(consensus::Effect effect) {
    if (auto* sent = std::get_if<consensus::Send>(&effect)) {
        callbacks_.send(*sent);
    } else if (auto* stored = std::get_if<consensus::Store>(&effect)) {
        store(*stored);
    } else if (auto* committed = std::get_if<consensus::Committed>(&effect)) {
        callbacks_.committed(committed->entry);
    } else if (auto* done = std::get_if<consensus::ProposalDone>(&effect)) {
        const auto found = proposals_.find(done->id);
        if (found == proposals_.end()) return;
        found->second->resolve(done->outcome);
        proposals_.erase(found);
    } else if (auto* read = std::get_if<consensus::ReadDone>(&effect)) {
        const auto found = reads_.find(read->id);
        if (found == reads_.end()) return;
        found->second->resolve(read->confirmed);
        reads_.erase(found);
    } else if (auto* role = std::get_if<consensus::RoleChanged>(&effect)) {
        callbacks_.role_changed(*role);
    }
}

void ReplicatedGroup::store(const consensus::Store& store) {
    file_.save(wire::to_bytes(StoredReplicaState{self_, store.state}),
               [this, alive = alive_, ticket = store.ticket](const Result<void>& done) {
                   if (!*alive) return;
                   if (done.has_error()) {
                       log_line("store_failed", {{"cause", done.error().message}});
                       replica_.store_failed(ticket, reactor_.now());
                   } else {
                       replica_.stored(ticket, reactor_.now());
                   }
                   step();
               });
}

} // namespace ivyrill::control
