// Runs arbitrary text as an operator script. It must end within its bounds with the same result each time,
// and the settings reader must accept or reject that result.
#include "script/script.hpp"
#include "operator/operator_settings.hpp"

#include <cstdint>
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace ivyrill;
    const std::string text(reinterpret_cast<const char*>(data), size);
    const script::Limits limits{20'000, 1U << 20U, 4};
    std::string first, second;
    for (std::string* output : {&first, &second}) {
        try {
            const auto outcome = script::run_script(
                "a.star", [&](const std::string&) { return text; }, limits);
            if (outcome.steps > limits.steps || outcome.bytes > limits.bytes) std::abort();
            *output = outcome.result.dump(-1, ' ', true, nlohmann::ordered_json::error_handler_t::replace);
            try {
                operators::read_operator_settings(outcome.result);
            } catch (const operators::SettingsError&) {}
        } catch (const script::ScriptError& error) {
            *output = error.what();
            if (error.location.line < 1 || error.location.column < 1) std::abort();
        }
    }
    if (first != second) std::abort();
    return 0;
}
