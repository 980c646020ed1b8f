// Feeds arbitrary bytes to a maintenance node as fragments with and without a valid MAC, and as reassembled
// commands, consensus messages, schedules and requests. It must not crash, and datagrams stay within their
// size.
#include "maintenance/codec.hpp"
#include "maintenance/maintenance_node.hpp"

#include <cstdint>
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace ivyrill;
    using namespace ivyrill::maintenance;
    static const std::string kSecret = "a secret of more than thirty-two bytes";
    if (size < 2) return 0;
    const std::string bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
    membership::DatagramCodec datagram_codec(kSecret);
    if (FragmentTransport("x", "10.0.0.9:1", datagram_codec, 1).receive(1, bytes))
        std::abort(); // arbitrary bytes cannot carry a valid MAC
    (void)decode(bytes);
    (void)MaintenanceSchedule::decode(bytes);
    InMemoryRaftStore store;
    MaintenanceNodeSettings settings;
    settings.name = "n0", settings.address = "10.0.0.1:7", settings.secret = kSecret;
    settings.candidates = {{"n0", settings.address}},
    settings.voter_count = 1; // a single voter leads at once
    MaintenanceNode node(settings, &store, 1, 1);
    for (Ticks now = 1; now < 5 * kTicksPerSecond; now += kTicksPerSecond / 4) node.step(now, now);
    FragmentTransport other("x", "10.0.0.9:1", datagram_codec, 1);
    other.send(1, settings.address, static_cast<MessageKind>(data[0] % 8), bytes);
    for (const OutboundDatagram& datagram : other.take_datagrams())
        node.receive(5 * kTicksPerSecond, "10.0.0.9:1", datagram.bytes);
    node.receive(5 * kTicksPerSecond, "10.0.0.9:1", datagram_codec.sign(bytes));
    for (Ticks now = 5 * kTicksPerSecond; now < 6 * kTicksPerSecond; now += kTicksPerSecond / 10)
        node.step(now, now);
    for (const MaintenanceEffect& effect : node.take_effects())
        if (const auto* sent = std::get_if<SendDatagram>(&effect);
            sent != nullptr && sent->bytes.size() > 1400)
            std::abort();
    return 0;
}
