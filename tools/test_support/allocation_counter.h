// Counts the heap allocations of the program that it is linked into, for tests and measurements. Thread-safe.
// Sanitizers replace the allocator: under them nothing is counted, and kCounted is false.
#ifndef LIFTRUDDER_TOOLS_TEST_SUPPORT_ALLOCATION_COUNTER_H_
#define LIFTRUDDER_TOOLS_TEST_SUPPORT_ALLOCATION_COUNTER_H_

#include <cstddef>

namespace liftrudder::test_support {

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr bool kCounted = false;
#else
constexpr bool kCounted = true;
#endif

// The number of allocations so far, by all threads.
std::size_t Allocations();

// Bytes allocated and not freed; their peak since the last ForgetMost; resets the peak to the current value.
std::size_t BytesHeld();
std::size_t MostBytesHeld();
void ForgetMost();

}  // namespace liftrudder::test_support

#endif  // LIFTRUDDER_TOOLS_TEST_SUPPORT_ALLOCATION_COUNTER_H_
