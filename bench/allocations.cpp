#include "allocations.h"

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::uint64_t> count = 0;
std::atomic<std::uint64_t> bytes = 0;

auto allocate(std::size_t size) -> void *
{
    count.fetch_add(1, std::memory_order_relaxed);
    bytes.fetch_add(size, std::memory_order_relaxed);
    auto *memory = std::malloc(size == 0 ? 1 : size);
    if (memory == nullptr)
        throw std::bad_alloc();
    return memory;
}

} // namespace

auto operator new(std::size_t size) -> void *
{
    return allocate(size);
}

auto operator new[](std::size_t size) -> void *
{
    return allocate(size);
}

auto operator delete(void *memory) noexcept -> void
{
    std::free(memory);
}

auto operator delete[](void *memory) noexcept -> void
{
    std::free(memory);
}

auto operator delete(void *memory, std::size_t /*size*/) noexcept -> void
{
    std::free(memory);
}

auto operator delete[](void *memory, std::size_t /*size*/) noexcept -> void
{
    std::free(memory);
}

namespace crocusreach::bench {

auto allocationCount() -> std::uint64_t
{
    return count.load(std::memory_order_relaxed);
}

auto allocatedBytes() -> std::uint64_t
{
    return bytes.load(std::memory_order_relaxed);
}

} // namespace crocusreach::bench
