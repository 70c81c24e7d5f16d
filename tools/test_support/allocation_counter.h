// Counts the allocations of the program that it is linked into, for tests and measurements. Any thread. A
// sanitizer brings an allocator of its own: nothing is counted then, and kCounted is false.
#ifndef LIFTRUDDER_TOOLS_TEST_SUPPORT_ALLOCATION_COUNTER_H_
#define LIFTRUDDER_TOOLS_TEST_SUPPORT_ALLOCATION_COUNTER_H_

#include <cstddef>

namespace liftrudder::test_support {

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr bool kCounted = false;
#else
constexpr bool kCounted = true;
#endif

// So far, of all threads.
std::size_t Allocations();

// Bytes allocated and not freed now, and the most since the last ForgetMost.
std::size_t BytesHeld();
std::size_t MostBytesHeld();
void ForgetMost();

}  // namespace liftrudder::test_support

#endif  // LIFTRUDDER_TOOLS_TEST_SUPPORT_ALLOCATION_COUNTER_H_
