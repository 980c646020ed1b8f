#include "control/copy_collection.hpp"

#include <utility>
#include <vector>

namespace ivyrill::control {

bool CopyCollection::asked_by_this_process(const feed::RequestId& id) {
    if (id.incarnation == incarnation_ || planted(PlantedFault::kAnswerOfFormerProcess)) return true;
    ++refused_.other_process;
    return false;
}

std::optional<feed::RangeRequest> CopyCollection::question(std::uint64_t member, Tenths now) {
    if (member == 0 || copied_from_.contains(member)) return std::nullopt;
    Question& question = questions_[member];
    if (question.number != 0 && now - question.asked_at < kPatience) return std::nullopt;
    const feed::RequestId id = next_id();
    question = {id.number, now};
    std::vector<std::uint64_t> ranges;
    for (std::uint64_t range = 0; range < feed::kDigestRanges; ++range) ranges.push_back(range);
    return feed::RangeRequest{std::move(ranges), id};
}

void CopyCollection::answered(std::uint64_t member, const feed::RequestId& answers) {
    if (answers.number == 0 || !asked_by_this_process(answers)) return;
    const auto question = questions_.find(member);
    if (question == questions_.end() || question->second.number != answers.number) return pass_over_unasked();
    questions_.erase(question);
    copied_from_.insert(member);
}

void CopyCollection::forget() {
    if (planted(PlantedFault::kCopiesKept)) return;
    copied_from_.clear();
    questions_.clear();
}

} // namespace ivyrill::control
