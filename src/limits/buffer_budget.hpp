// Memory that a process spends on buffers for its peers, held to one limit for the whole process. Every
// connection has an account of what is buffered for it. Near the limit no large request is read further,
// small ones still are; what holds most and moves least is shed, but never a request that is being run. Pure:
// the clock is handed in, and the owner of a shed account is told by a callback.
#pragma once
#include "base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <optional>

namespace ivyrill::limits {

enum class BufferPhase : std::uint8_t {
    kIdle,      // between requests
    kReceiving, // a request is arriving
    kPaused,    // this process does not read the rest of a request for lack of room
    kServing,   // a request is being run, and nothing waits for the peer
    kSending    // a part of the answer waits for the peer to read
};

class BufferBudget {
  public:
    class Account;

    explicit BufferBudget(std::size_t capacity_bytes) : capacity_(capacity_bytes) {}
    BufferBudget(const BufferBudget&) = delete;
    BufferBudget& operator=(const BufferBudget&) = delete;

    std::size_t capacity() const { return capacity_; } // bytes
    std::size_t held() const { return held_; }         // bytes, by all accounts
    // Whether so many further bytes fit. What is beyond the watermark is kept for small requests.
    bool has_room(std::size_t bytes) const { return held_ + bytes <= capacity_; }
    bool is_below_watermark(std::size_t bytes = 0) const { return held_ + bytes <= watermark(); }

    // Sheds the account that holds most among those that receive or send and have stalled. Returns whether
    // there was one; its memory is free once its owner has run.
    bool shed_stalled(Ticks now);
    std::uint64_t shed_count() const { return shed_count_; }

  private:
    std::size_t watermark() const;
    bool holds_most_of_it(const Account& account) const;

    std::size_t capacity_, held_ = 0;
    std::list<Account*> accounts_;
    std::uint64_t shed_count_ = 0;
    std::optional<Ticks> searched_in_vain_at_;
};

// What one connection buffers. Removed from its budget on destruction.
class BufferBudget::Account {
  public:
    // `on_shed` is called at most once; the owner then ends the connection, or refuses the request that it
    // receives.
    Account(BufferBudget& budget, Ticks now, std::function<void()> on_shed);
    ~Account();
    Account(const Account&) = delete;
    Account& operator=(const Account&) = delete;

    void set_held(std::size_t bytes);
    std::size_t held() const { return held_; }
    void enter(BufferPhase phase, Ticks now); // nothing changes if it is in that phase already
    BufferPhase phase() const { return phase_; }
    Ticks phase_since() const { return phase_since_; }
    // The bytes that the connection has transferred in total, in both directions.
    void record_transferred(std::uint64_t total_bytes, Ticks now);
    // Whether so many further bytes may be buffered for this connection now.
    bool may_grow(std::size_t bytes) const;
    // Nearly nothing was transferred for kStallTime, or little in all of a phase that has lasted for
    // kPatience.
    bool has_stalled(Ticks now) const;
    void shed();
    bool is_shed() const { return is_shed_; }

    static constexpr std::size_t kSmallRequestBytes = 128 * 1024; // with the buffers that it passes through
    static constexpr std::uint64_t kMinProgressBytes = 8 * 1024;
    static constexpr Ticks kStallTime = 2 * kTicksPerSecond;
    static constexpr Ticks kPatience = 5 * kTicksPerSecond;
    static constexpr std::uint64_t kMinBytesPerSecond = 32 * 1024; // an eighth of a line of 2 Mbit/s

  private:
    friend class BufferBudget;
    BufferBudget& budget_;
    std::function<void()> on_shed_;
    std::list<Account*>::iterator place_;
    std::size_t held_ = 0;
    BufferPhase phase_ = BufferPhase::kIdle;
    Ticks phase_since_, progressed_at_;
    std::uint64_t transferred_ = 0;   // bytes
    std::uint64_t progress_mark_ = 0; // transferred bytes at `progressed_at_`
    std::uint64_t phase_mark_ = 0;    // transferred bytes at `phase_since_`
    bool is_shed_ = false;
};

} // namespace ivyrill::limits
