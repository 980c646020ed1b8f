// Assignment of a machine's inner ports, and the timeouts of sessions. The ports are the same on all
// machines.
#pragma once
#include "feed/publisher.hpp"
#include "settings/settings.hpp"

#include <string>

namespace ivyrill::feed {

inline constexpr int kPeerPort = 0, kFeedPort = 1, kLocalFeedPort = 2; // offsets from the first inner port

inline std::string inner_address(const settings::Settings& settings, const std::string& host, int port) {
    return host + ":" + std::to_string(settings.first_inner_port + port);
}
// Address at which peers reach a control node.
inline std::string peer_address(const settings::Settings& settings, const std::string& host) {
    return inner_address(settings, host, kPeerPort);
}
// Address at which agents follow a control node's feed.
inline std::string feed_address(const settings::Settings& settings, const std::string& host) {
    return inner_address(settings, host, kFeedPort);
}
// Address at which the proxy of a machine follows its agent's feed; in tests two machines may share the
// loopback interface.
inline std::string local_feed_address(const settings::Settings& settings) {
    const bool loopback = settings.ip.starts_with("127.");
    return inner_address(settings, loopback ? settings.ip : "127.0.0.1", kLocalFeedPort);
}

inline constexpr Ticks kSessionHeartbeat = 4000, kSessionTimeout = 14'000;

inline Publisher::Options session_options() {
    Publisher::Options options;
    options.heartbeat = kSessionHeartbeat, options.silence = kSessionTimeout;
    return options;
}

} // namespace ivyrill::feed
