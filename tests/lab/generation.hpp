// What a stand-in model server generates: a pure function of the request's content (not of its Attempt-Id,
// its server or the time) and of the event's number, so that a stream taken up elsewhere goes on byte by byte
// the same.
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
    std::uint64_t content = 0;                         // a hash of all that decides what is generated
};

// Nothing where Token-Counts is missing, or it or Prompt-Prefix can't be read.
std::optional<Generation> read_generation(const HttpHead& head, std::string_view body);

// Events of a whole stream; `stride` tokens in each but the last.
std::int64_t event_count(const Generation& generation, std::int64_t stride);
// `id: N` and a data line; numbers begin with 1.
std::string event_bytes(const Generation& generation, std::int64_t stride, std::int64_t number);
// The events behind that one, to the last; 0: the whole stream.
std::string stream_bytes(const Generation& generation, std::int64_t stride, std::int64_t after = 0);

std::uint64_t mix(std::uint64_t one, std::uint64_t two);           // spreads two numbers over 64 bits
std::uint64_t hash_text(std::string_view text);                    // FNV-1a, 64 bits
std::string hexadecimal(std::uint64_t number, std::size_t digits); // the lowest digits

// Parts of prompts that a server keeps; those unused longest give way.
class PrefixCache {
  public:
    // Tokens of the leading parts that are kept; they count as used now.
    std::int64_t use(const std::vector<PromptPart>& parts);
    void keep(const std::vector<PromptPart>& parts);
    // Parts beyond so many tokens give way; those in `held` (of requests that run) neither count nor give
    // way.
    void shrink(std::int64_t most_tokens, const std::vector<PromptPart>& held);

  private:
    std::list<PromptPart>::iterator find(const PromptPart& part);
    std::list<PromptPart> kept_; // the one used last first
};

} // namespace ivyrill::lab
