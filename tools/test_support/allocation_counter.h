// Counts the allocations of the program that it is linked into. For tests and measurements. A sanitizer
// brings allocators of its own and minds others; there nothing is counted, and kCounted says so.
#ifndef LIFTRUDDER_TOOLS_TEST_SUPPORT_ALLOCATION_COUNTER_H_
#define LIFTRUDDER_TOOLS_TEST_SUPPORT_ALLOCATION_COUNTER_H_

#include <cstddef>

namespace liftrudder::test_support {

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr bool kCounted = false;
#else
constexpr bool kCounted = true;
#endif

std::size_t Allocations();  // so far, of all threads

// Bytes held now, and the most since the last ForgetMost.
std::size_t BytesHeld();
std::size_t MostBytesHeld();
void ForgetMost();

}  // namespace liftrudder::test_support

#endif  // LIFTRUDDER_TOOLS_TEST_SUPPORT_ALLOCATION_COUNTER_H_
