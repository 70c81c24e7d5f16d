#include "test_support/allocation_counter.h"

#include <malloc.h>

#include <atomic>
#include <cstdlib>
#include <new>

namespace liftrudder::test_support {
namespace {

std::atomic<std::size_t> allocations{0}, held{0}, most{0};

}  // namespace

std::size_t Allocations() { return allocations; }
std::size_t BytesHeld() { return held; }
std::size_t MostBytesHeld() { return most; }
void ForgetMost() { most = held.load(); }

namespace {

[[maybe_unused]] void* Take(std::size_t size) {
  void* memory = std::malloc(size);
  if (memory == nullptr) throw std::bad_alloc();
  allocations.fetch_add(1, std::memory_order_relaxed);
  std::size_t now = held.fetch_add(::malloc_usable_size(memory)) + ::malloc_usable_size(memory);
  for (std::size_t before = most; before < now && !most.compare_exchange_weak(before, now);) {
  }
  return memory;
}

[[maybe_unused]] void Give(void* memory) {
  if (memory != nullptr) held.fetch_sub(::malloc_usable_size(memory));
  std::free(memory);
}

}  // namespace
}  // namespace liftrudder::test_support

#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
void* operator new(std::size_t size) { return liftrudder::test_support::Take(size); }
void operator delete(void* memory) noexcept { liftrudder::test_support::Give(memory); }
void operator delete(void* memory, std::size_t) noexcept { liftrudder::test_support::Give(memory); }
#endif
