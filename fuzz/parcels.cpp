// Any bytes as a piece of a parcel, sealed and not; what is whole goes to a warden, as commands, letters,
// views and questions. Never a crash, and the room for pieces has its bound.
#include "rota/warden.hpp"
#include "rota/words.hpp"

#include <cstdint>
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace ivyrill;
    using namespace ivyrill::rota;
    static const std::string kSecret = "a secret of more than thirty-two bytes";
    if (size < 2) return 0;
    const std::string bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
    membership::DatagramCodec seal(kSecret);
    if (Parcels("x", "10.0.0.9:1", seal, 1).hear(1, bytes)) std::abort(); // nobody guesses the seal
    (void)decode(bytes);
    (void)Evening::decode(bytes);
    LedgerInMemory ledger;
    WardenTerms terms;
    terms.name = "n0", terms.address = "10.0.0.1:7", terms.secret = kSecret;
    terms.candidates = {{"n0", terms.address}}, terms.council = 1; // one alone leads at once
    Warden warden(terms, &ledger, 1, 1);
    for (Tenths now = 1; now < 5 * kTenthsPerSecond; now += kTenthsPerSecond / 4) warden.step(now, now);
    Parcels other("x", "10.0.0.9:1", seal, 1);
    other.send(1, terms.address, static_cast<ParcelKind>(data[0] % 8), bytes);
    for (const Sealed& sealed : other.take_out())
        warden.hear(5 * kTenthsPerSecond, "10.0.0.9:1", sealed.bytes);
    warden.hear(5 * kTenthsPerSecond, "10.0.0.9:1", seal.sign(bytes));
    for (Tenths now = 5 * kTenthsPerSecond; now < 6 * kTenthsPerSecond; now += kTenthsPerSecond / 10)
        warden.step(now, now);
    for (const WardenEffect& effect : warden.take_effects())
        if (const auto* sent = std::get_if<SendBytes>(&effect); sent != nullptr && sent->bytes.size() > 1400)
            std::abort();
    return 0;
}
