// Counts the heap allocations of the program that it is linked into, for tests and measurements. Thread-safe.
// Sanitizers replace the allocator: under them nothing is counted, and kAllocationsCounted is false.
#ifndef LIFTRUDDER_TOOLS_TEST_SUPPORT_ALLOCATION_COUNTER_H_
#define LIFTRUDDER_TOOLS_TEST_SUPPORT_ALLOCATION_COUNTER_H_

#include <cstddef>

namespace liftrudder::test_support {

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr bool kAllocationsCounted = false;
#else
constexpr bool kAllocationsCounted = true;
#endif

// The number of allocations so far, by all threads.
std::size_t AllocationCount();

// Bytes allocated and not freed; their peak since the last ResetPeakAllocatedBytes; resets the peak to the
// current value.
std::size_t AllocatedBytes();
std::size_t PeakAllocatedBytes();
void ResetPeakAllocatedBytes();

}  // namespace liftrudder::test_support

#endif  // LIFTRUDDER_TOOLS_TEST_SUPPORT_ALLOCATION_COUNTER_H_
