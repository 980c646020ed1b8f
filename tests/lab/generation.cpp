#include "lab/generation.hpp"

#include <algorithm>

namespace ivyrill::lab {

namespace {

constexpr std::size_t kTokenDigits = 4; // number of hexadecimal digits of a token

std::optional<std::vector<PromptPart>> read_parts(std::string_view text) {
    std::vector<PromptPart> parts;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find(','), text.size());
        const std::string_view part = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        const std::size_t colon = part.find(':');
        if (colon == 0 || colon == std::string_view::npos) return std::nullopt;
        const auto tokens = whole_number(part.substr(colon + 1));
        if (!tokens) return std::nullopt;
        parts.push_back({std::string(part.substr(0, colon)), *tokens});
    }
    return parts;
}

} // namespace

std::uint64_t mix(std::uint64_t one, std::uint64_t two) { // SplitMix64 (S. Vigna) over both
    std::uint64_t mixed = one + 0x9E3779B97F4A7C15ULL * (two + 1);
    mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBULL;
    return mixed ^ (mixed >> 31U);
}

std::uint64_t hash_text(std::string_view text) {
    std::uint64_t hash = 0xCBF29CE484222325ULL;
    for (const char letter : text) hash = (hash ^ static_cast<unsigned char>(letter)) * 0x100000001B3ULL;
    return hash;
}

std::string hexadecimal(std::uint64_t number, std::size_t digits) {
    std::string out(digits, '0');
    for (std::size_t i = digits; i-- > 0; number >>= 4U) out[i] = "0123456789abcdef"[number & 0xFU];
    return out;
}

std::optional<Generation> read_generation(const HttpHead& head, std::string_view body) {
    const std::string_view counts = head.field("token-counts");
    const std::size_t comma = std::min(counts.find(','), counts.size());
    const auto prompt = whole_number(counts.substr(0, comma));
    const auto output = whole_number(counts.substr(std::min(comma + 1, counts.size())));
    auto parts = read_parts(head.field("prompt-prefix"));
    if (!prompt || !output || *output == 0 || !parts) return std::nullopt;
    std::uint64_t content = mix(hash_text(head.method), hash_text(head.target));
    for (const std::string_view name : {"model-name", "token-counts", "prompt-prefix"})
        content = mix(content, hash_text(head.field(name)));
    return Generation{*prompt, *output, std::move(*parts), mix(content, hash_text(body))};
}

std::int64_t event_count(const Generation& generation, std::int64_t stride) {
    return (generation.output_tokens + stride - 1) / stride;
}

std::string event_bytes(const Generation& generation, std::int64_t stride, std::int64_t number) {
    std::string out = "id: " + std::to_string(number) + "\ndata:";
    const std::int64_t begin = (number - 1) * stride;
    const std::int64_t end = std::min(begin + stride, generation.output_tokens);
    for (std::int64_t token = begin; token < end; ++token)
        out += " " + hexadecimal(mix(generation.content, static_cast<std::uint64_t>(token)), kTokenDigits);
    return out + "\n\n";
}

std::string stream_bytes(const Generation& generation, std::int64_t stride, std::int64_t after) {
    std::string out;
    for (std::int64_t number = after + 1; number <= event_count(generation, stride); ++number)
        out += event_bytes(generation, stride, number);
    return out;
}

std::list<PromptPart>::iterator PrefixCache::find(const PromptPart& part) {
    return std::ranges::find(kept_, part);
}

std::int64_t PrefixCache::use(const std::vector<PromptPart>& parts) {
    std::int64_t tokens = 0;
    std::size_t hits = 0;
    while (hits < parts.size() && find(parts[hits]) != kept_.end()) tokens += parts[hits++].tokens;
    while (hits-- > 0) kept_.splice(kept_.begin(), kept_, find(parts[hits])); // first part newest
    return tokens;
}

void PrefixCache::keep(const std::vector<PromptPart>& parts) {
    for (auto part = parts.rbegin(); part != parts.rend();
         ++part) { // later parts are evicted before earlier ones
        if (const auto found = find(*part); found != kept_.end()) {
            kept_.splice(kept_.begin(), kept_, found);
            continue;
        }
        kept_.push_front(*part);
    }
}

void PrefixCache::shrink(std::int64_t most_tokens, const std::vector<PromptPart>& held) {
    std::int64_t left = most_tokens;
    for (auto part = kept_.begin(); part != kept_.end();) {
        if (std::ranges::find(held, *part) != held.end()) {
            ++part;
            continue;
        }
        left -= part->tokens;
        part = left < 0 ? kept_.erase(part) : std::next(part);
    }
}

} // namespace ivyrill::lab
