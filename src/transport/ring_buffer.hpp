// A ring buffer of bytes, used for each direction of a connection. It grows by doubling, or at once to what
// is appended, up to its limit.
#pragma once
#include <algorithm>
#include <cstddef>
#include <cstring>
#include <memory>
#include <span>
#include <string_view>

namespace ivyrill::transport {

class RingBuffer {
  public:
    explicit RingBuffer(std::size_t max_bytes) : max_bytes_(max_bytes) {}

    std::size_t size() const { return size_; }
    bool empty() const { return size_ == 0; }
    std::size_t room() const { return max_bytes_ - size_; } // until the limit
    std::size_t capacity() const { return capacity_; }      // bytes of memory in use

    std::string_view front() const { // the oldest bytes, as many as are contiguous
        return {data_.get() + begin_, std::min(size_, capacity_ - begin_)};
    }
    void consume(std::size_t count) {
        begin_ = (begin_ + count) % std::max<std::size_t>(capacity_, 1);
        size_ -= count;
        if (size_ == 0) begin_ = 0;
    }
    std::span<char> space() { // contiguous space for new bytes; empty at the limit
        if (size_ == capacity_) grow(capacity_ + 1);
        if (size_ == capacity_) return {};
        const std::size_t end = (begin_ + size_) % capacity_;
        return {data_.get() + end, end < begin_ ? begin_ - end : capacity_ - end};
    }
    void commit(std::size_t count) { size_ += count; }
    bool append(std::string_view bytes) { // all or nothing
        if (bytes.size() > room()) return false;
        if (size_ + bytes.size() > capacity_) grow(size_ + bytes.size());
        while (!bytes.empty()) {
            const std::span<char> target = space();
            const std::size_t count = std::min(target.size(), bytes.size());
            std::memcpy(target.data(), bytes.data(), count);
            commit(count), bytes.remove_prefix(count);
        }
        return true;
    }
    void release() { // frees the memory if the buffer is empty
        if (size_ == 0) data_.reset(), capacity_ = begin_ = 0;
    }

  private:
    void grow(std::size_t required) {
        const std::size_t doubled = std::max<std::size_t>(2 * capacity_, kMinCapacity);
        const std::size_t capacity = std::min(std::max(required, doubled), max_bytes_);
        if (capacity <= capacity_) return;
        auto grown = std::make_unique<char[]>(capacity);
        const std::string_view head = front();
        std::copy(head.begin(), head.end(), grown.get());
        std::copy(data_.get(), data_.get() + (size_ - head.size()), grown.get() + head.size());
        data_ = std::move(grown), capacity_ = capacity, begin_ = 0;
    }

    static constexpr std::size_t kMinCapacity = 1024;
    std::size_t max_bytes_, capacity_ = 0, begin_ = 0, size_ = 0;
    std::unique_ptr<char[]> data_;
};

} // namespace ivyrill::transport
