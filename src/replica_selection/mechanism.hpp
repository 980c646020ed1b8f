// What docs/design.md lists as departures from C3, each of which a build can leave out, so that its worth can
// be measured: cmake -DIVYRILL_WITHOUT=N. An ordinary build leaves out none.
#pragma once

#ifndef IVYRILL_WITHOUT
#define IVYRILL_WITHOUT 0
#endif

namespace ivyrill::replica_selection {

enum class Mechanism {
    kNone = 0,
    kRunnersForLinks = 1, // runners are kept apart for moves; without: for long answers only
    kDrawnRunners = 2, // of the runners kept apart a few are drawn for each request; without: all are ranked
    kReaderAsSecond = 3,  // the second home is a reader while links are free; without: the next of any kind
    kSecondHome = 4,      // a slow home has a second; without: one home
    kRunnersApart = 5,    // long answers run at a few runners; without: at all
    kHomes = 6,           // prompts are read at their homes; without: wherever C3 ranks best
    kRejection = 7,       // some are turned away where readings are late; without: none
    kSilenceCounts = 8,   // an unanswered attempt counts as a response; without: only answers do
    kConnectPatience = 9, // patience for a connection by what connections took; without: the latency target
    kLinksWatched = 10    // moves that take long count as links that are taken; without: links are free
};

constexpr bool in_use(Mechanism mechanism) { return static_cast<int>(mechanism) != IVYRILL_WITHOUT; }

} // namespace ivyrill::replica_selection
