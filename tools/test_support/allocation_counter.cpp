#include "test_support/allocation_counter.h"

#include <malloc.h>

#include <atomic>
#include <cstdlib>
#include <new>

namespace liftrudder::test_support {
namespace {

std::atomic<std::size_t> allocation_count{0}, allocated_bytes{0}, peak_bytes{0};

}  // namespace

std::size_t AllocationCount() { return allocation_count; }
std::size_t AllocatedBytes() { return allocated_bytes; }
std::size_t PeakAllocatedBytes() { return peak_bytes; }
void ResetPeakAllocatedBytes() { peak_bytes = allocated_bytes.load(); }

namespace {

[[maybe_unused]] void* CountedAllocate(std::size_t size) {
  void* memory = std::malloc(size);
  if (memory == nullptr) throw std::bad_alloc();
  allocation_count.fetch_add(1, std::memory_order_relaxed);
  std::size_t current_bytes =
      allocated_bytes.fetch_add(::malloc_usable_size(memory)) + ::malloc_usable_size(memory);
  for (std::size_t previous_peak = peak_bytes;
       previous_peak < current_bytes && !peak_bytes.compare_exchange_weak(previous_peak, current_bytes);) {
  }
  return memory;
}

[[maybe_unused]] void CountedFree(void* memory) {
  if (memory != nullptr) allocated_bytes.fetch_sub(::malloc_usable_size(memory));
  std::free(memory);
}

}  // namespace
}  // namespace liftrudder::test_support

#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
void* operator new(std::size_t size) { return liftrudder::test_support::CountedAllocate(size); }
void operator delete(void* memory) noexcept { liftrudder::test_support::CountedFree(memory); }
void operator delete(void* memory, std::size_t) noexcept { liftrudder::test_support::CountedFree(memory); }
#endif
