// Feeds arbitrary bytes to the datagram codec, with and without a valid MAC, and decoded datagrams to a
// member list. Checks that nothing crashes, that the member table stays bounded and that replies can be
// encoded.
#include "membership/datagram_codec.hpp"

#include <cstdint>
#include <cstdlib>

namespace {
const std::string kSecret = "a secret of more than thirty-two bytes";
} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace ivyrill;
    using namespace ivyrill::membership;
    static DatagramCodec codec(kSecret);
    static const auto key = access::SigningKey::from_jwk(
        {{"kty", "oct"}, {"alg", "HS256"}, {"k", "YSBzZWNyZXQgb2YgbW9yZSB0aGFuIHRoaXJ0eS10d28gYnl0ZXM"}});
    const std::string bytes(reinterpret_cast<const char*>(data), size);
    if (codec.decode(bytes)) std::abort(); // arbitrary bytes cannot carry a valid MAC
    const auto datagram = codec.decode(bytes + key.sign(bytes));
    if (!datagram) return 0;
    MemberListOptions options;
    options.name = "n1", options.address = "10.0.0.1:7", options.max_members = 8;
    MemberList member_list(options, 1);
    for (Ticks now = 2; now < 5 * kTicksPerSecond; now += kTicksPerSecond / 2)
        for (const auto& effects : {member_list.receive(now, *datagram), member_list.step(now)})
            for (const Effect& effect : effects)
                if (const auto* send = std::get_if<SendDatagram>(&effect);
                    send != nullptr && !codec.encode(send->datagram))
                    std::abort();
    if (member_list.present_count() > 9) std::abort();
    return 0;
}
