#include "routing/random.h"

namespace liftrudder::routing {
namespace {

constexpr std::uint64_t kGoldenGamma = 0x9e3779b97f4a7c15ULL;
constexpr int kPortBits = 16;

std::uint64_t MixBits(std::uint64_t value) {
  value = ((value + kGoldenGamma) ^ ((value + kGoldenGamma) >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

}  // namespace

double Random::NextUnit() {
  state_ += kGoldenGamma;
  return static_cast<double>(MixBits(state_) >> 11) * 0x1.0p-53;  // the 53 bits that a double holds
}

std::uint64_t AffinityRank(std::uint64_t key, std::uint64_t cell, const EndpointId& endpoint) {
  std::uint64_t id = std::uint64_t{endpoint.address} << kPortBits | endpoint.port;
  return MixBits(MixBits(key + cell) ^ id);
}

}  // namespace liftrudder::routing
