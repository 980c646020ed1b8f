// What is too large for one datagram goes in pieces: each sealed by itself, put together again in bounded
// room, and what got lost is asked for by number. Free of I/O. Whole parcels may come twice, late or not at
// all; those who send them know that.
#pragma once
#include "base/time.hpp"
#include "membership/datagram_codec.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ivyrill::rota {

enum class ParcelKind { kLetter, kPropose, kVerdict, kViewAsked, kView, kAsk, kAnswer, kMissing };

struct Parcel {
    ParcelKind kind = ParcelKind::kLetter;
    std::string from, address; // of the sender: its name, and where it can be answered
    std::string bytes;
};

struct Sealed {
    std::string address, bytes;
};

struct ParcelCounts {
    std::uint64_t sent = 0, pieces = 0, asked_again = 0, whole = 0, dropped = 0;
};

class Parcels {
  public:
    static constexpr std::size_t kPiece = 1'100; // bytes of a parcel in a datagram
    static constexpr std::size_t kMostPieces = 400, kMostOpen = 64, kMostKept = 32;
    static constexpr Tenths kKept = 5 * kTenthsPerSecond;
    static constexpr Tenths kMissingAfter = kTenthsPerSecond / 20;

    Parcels(std::string name, std::string address, membership::DatagramCodec& seal,
            std::uint64_t first_serial)
        : name_(std::move(name)), address_(std::move(address)), seal_(seal), serial_(first_serial) {}

    // False where it is too large.
    bool send(Tenths now, const std::string& to, ParcelKind kind, const std::string& bytes);
    static bool is_piece(std::string_view bytes); // by its first byte, beside the roster's datagrams
    std::optional<Parcel> hear(Tenths now, std::string_view bytes);
    void step(Tenths now); // asks again for what is missing, forgets what is old
    std::optional<Tenths> next() const;
    std::vector<Sealed> take_out() { return std::exchange(out_, {}); }
    const ParcelCounts& counts() const { return counts_; }
    std::size_t open() const { return open_.size(); }

  private:
    struct Open {
        Parcel parcel;
        std::vector<std::string> pieces;
        std::vector<bool> there;
        std::size_t have = 0;
        Tenths begun = 0, ask_at = 0;
        int asked = 0;
    };
    struct Kept {
        std::uint64_t serial;
        std::string to;
        ParcelKind kind;
        std::string bytes;
        Tenths until;
    };
    void put(const std::string& to, ParcelKind kind, std::uint64_t serial, std::size_t piece, std::size_t of,
             std::string_view bytes);

    std::string name_, address_;
    membership::DatagramCodec& seal_;
    std::uint64_t serial_;
    std::map<std::pair<std::string, std::uint64_t>, Open> open_; // by sender's address and its serial
    std::deque<Kept> kept_; // of several pieces, should some be asked for
    std::vector<Sealed> out_;
    ParcelCounts counts_;
};

} // namespace ivyrill::rota
