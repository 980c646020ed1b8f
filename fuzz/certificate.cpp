// Feeds arbitrary bytes to the parsers of certificate chains, authorities and CRLs, and arbitrary names to
// the mapping rules.
#include "access/certificate.hpp"

#include <cstdint>
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace ivyrill;
    using namespace ivyrill::access;
    const std::string bytes(reinterpret_cast<const char*>(data), size);
    try {
        read_leaf({{bytes}});
    } catch (const AccessError&) {}
    try {
        const auto authorities = Authorities::read({{"ca", bytes}}, {{"crl", bytes}}, 0, 0, nullptr);
        authorities->verify({{bytes, bytes}}, 0);
    } catch (const AccessError&) {}
    LeafNames names;
    for (std::size_t from = 0; from < size;) {
        const std::size_t end = std::min(bytes.find('\n', from), size);
        (from % 2 == 0 ? names.uris : names.dns).push_back(bytes.substr(from, end - from));
        from = end + 1;
    }
    const std::vector<NameRule> rules = {{"spiffe://a/*", "", "c", "{rest}", {true, false}, {}},
                                         {"", "a.*", "d", "x{rest}", {true, false}, {}},
                                         {"u", "", "c", "u", {true, true}, {"g"}}};
    const MappedCaller mapped = map_names(names, rules);
    if (mapped.reason == Reason::kAdmitted) {
        const std::string& member = mapped.caller.member;
        if (member.empty() || member.size() > 64 || member.find('/') != std::string::npos) std::abort();
    } else if (!mapped.caller.club.empty()) {
        std::abort();
    }
    return 0;
}
