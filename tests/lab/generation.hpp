// The output of a stand-in model server: a pure function of the request's content (not of its Attempt-Id,
// its server or the time) and of the event's number, so that a stream resumed on another server continues
// with the same bytes.
#pragma once
#include "lab/http_reader.hpp"

#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ivyrill::lab {

struct PromptPart {
    std::string id; // hexadecimal
    std::int64_t tokens = 0;
    friend bool operator==(const PromptPart&, const PromptPart&) = default;
};

struct Generation {
    std::int64_t prompt_tokens = 0, output_tokens = 0; // of Token-Counts
    std::vector<PromptPart> parts;                     // of Prompt-Prefix
    std::uint64_t content = 0;                         // a hash of all inputs of the generation
};

// No value if Token-Counts is missing, or if it or Prompt-Prefix is malformed.
std::optional<Generation> read_generation(const HttpHead& head, std::string_view body);

// Number of events of a whole stream; `stride` tokens in each but the last.
std::int64_t event_count(const Generation& generation, std::int64_t stride);
// `id: N` and a data line; numbers begin with 1.
std::string event_bytes(const Generation& generation, std::int64_t stride, std::int64_t number);
// The events after that one, to the last; 0: the whole stream.
std::string stream_bytes(const Generation& generation, std::int64_t stride, std::int64_t after = 0);

std::uint64_t mix(std::uint64_t one, std::uint64_t two);           // mixes two numbers into 64 bits
std::uint64_t hash_text(std::string_view text);                    // FNV-1a, 64 bits
std::string hexadecimal(std::uint64_t number, std::size_t digits); // the lowest digits

// A server's cache of prompt parts, with least-recently-used eviction.
class PrefixCache {
  public:
    // Tokens of the leading parts that are cached; they count as used now.
    std::int64_t use(const std::vector<PromptPart>& parts);
    void keep(const std::vector<PromptPart>& parts);
    // Evicts parts beyond so many tokens; those in `held` (of running requests) neither count nor are
    // evicted.
    void shrink(std::int64_t most_tokens, const std::vector<PromptPart>& held);

  private:
    std::list<PromptPart>::iterator find(const PromptPart& part);
    std::list<PromptPart> kept_; // most recently used first
};

} // namespace ivyrill::lab
