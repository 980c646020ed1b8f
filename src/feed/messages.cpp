#include "feed/messages.hpp"

#include "wire/cbor.hpp"

namespace ivyrill::feed {

namespace {

// Index of an alternative in Message.
template <class Wanted, std::size_t I = 0> constexpr std::size_t index_of() {
    if constexpr (std::is_same_v<std::variant_alternative_t<I, Message>, Wanted>)
        return I;
    else
        return index_of<Wanted, I + 1>();
}

} // namespace

std::string to_bytes(const BatchView& batch) {
    wire::Encoder out;
    out.list(2); // a variant: its index and its value
    out.unsigned_number(index_of<Batch>());
    out.list(std::tuple_size_v<decltype(Batch::tie(std::declval<Batch&>()))>);
    out.unsigned_number(batch.feed_id);
    out.unsigned_number(batch.sequence);
    out.flag(batch.snapshot);
    out.list(batch.items.size());
    for (const Item* item : batch.items) wire::encode(out, *item);
    return out.take();
}

} // namespace ivyrill::feed
