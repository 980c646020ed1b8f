// Messages of any size over datagrams: splits them into fragments, each signed on its own, and reassembles
// them in bounded memory. Missing fragments are requested again by index. Free of I/O. Complete messages may
// arrive twice, late or not at all; the callers handle that.
#pragma once
#include "base/time.hpp"
#include "membership/datagram_codec.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ivyrill::maintenance {

enum class MessageKind {
    kConsensus,
    kProposal,
    kProposalResult,
    kScheduleRequest,
    kSchedule,
    kOperatorRequest,
    kOperatorReply,
    kResendRequest
};

struct PeerMessage {
    MessageKind kind = MessageKind::kConsensus;
    std::string from, address; // name of the sender, and the address for replies
    std::string bytes;
};

struct OutboundDatagram {
    std::string address, bytes;
};

struct FragmentCounts {
    std::uint64_t sent = 0, fragments = 0, resend_requests = 0, reassembled = 0, dropped = 0;
};

class FragmentTransport {
  public:
    static constexpr std::size_t kFragmentBytes = 1'100; // payload bytes of a datagram
    static constexpr std::size_t kMaxFragments = 400, kMaxIncomplete = 64, kMaxRetained = 32;
    static constexpr Ticks kRetention = 5 * kTicksPerSecond;
    static constexpr Ticks kResendAfter = kTicksPerSecond / 20;

    FragmentTransport(std::string name, std::string address, membership::DatagramCodec& datagram_codec,
                      std::uint64_t first_serial)
        : name_(std::move(name)), address_(std::move(address)), datagram_codec_(datagram_codec),
          serial_(first_serial) {}

    // Returns false if the message is too large.
    bool send(Ticks now, const std::string& to, MessageKind kind, const std::string& bytes);
    // Tells a fragment from a membership datagram by its first byte.
    static bool is_fragment(std::string_view bytes);
    std::optional<PeerMessage> receive(Ticks now, std::string_view datagram);
    void step(Ticks now);                   // requests missing fragments, drops expired messages
    std::optional<Ticks> next_step() const; // when `step` has to be called next
    std::vector<OutboundDatagram> take_datagrams() { return std::exchange(outgoing_, {}); }
    const FragmentCounts& counts() const { return counts_; }
    std::size_t incomplete() const { return incomplete_.size(); }

  private:
    struct Incomplete {
        PeerMessage message;
        std::vector<std::string> fragments;
        std::vector<bool> received;
        std::size_t received_count = 0;
        Ticks started_at = 0, resend_at = 0;
        int resend_attempts = 0;
    };
    struct Retained {
        std::uint64_t serial;
        std::string to;
        MessageKind kind;
        std::string bytes;
        Ticks until;
    };
    void send_fragment(const std::string& to, MessageKind kind, std::uint64_t serial,
                       std::size_t fragment_index, std::size_t fragment_count, std::string_view bytes);

    std::string name_, address_;
    membership::DatagramCodec& datagram_codec_;
    std::uint64_t serial_;
    std::map<std::pair<std::string, std::uint64_t>, Incomplete> incomplete_; // by sender address and serial
    std::deque<Retained> retained_; // sent messages of several fragments, kept for resend requests
    std::vector<OutboundDatagram> outgoing_;
    FragmentCounts counts_;
};

} // namespace ivyrill::maintenance
