// The format of a block in the record file: kinds of events, flags, and how values are packed into 64-bit
// words. docs/design/decision_log.md describes the words of each event. Pure functions; usable from any
// thread.
//
// A block has a head of kBlockHeadWords words, followed by events:
//   word 0   the cell's sequence and checksum (RecordFile)
//   word 1   serial number of the query (32 bits; 0: free block), position in its chain (16), words used (16)
//   word 2   next block (32 bits); in a query's first block also verdict (8), cause (8), flags (8) and, from
//            bit 58, retention group
#ifndef LIFTRUDDER_DECISION_LOG_RECORD_FORMAT_H_
#define LIFTRUDDER_DECISION_LOG_RECORD_FORMAT_H_

#include <bit>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string_view>

#include "decision_log/record_file.h"

namespace liftrudder::decision_log {

// An event's first word: kind (8 bits), number of words (8), an operand (16) and the time since the query's
// arrival in microseconds (32). Written to the record file: enumerators may be renamed, never renumbered.
enum class EventKind : std::uint8_t {
  kNone,
  kOpened,
  kShardRequest,
  kSent,
  kEnded,
  kCancelled,
  kPending,
  kCompleted,
  kResponse,
  kIntake
};

constexpr std::uint32_t kNoBlock = ~std::uint32_t{0};
constexpr std::size_t kMaxEventWords = kBlockWords - kBlockHeadWords;

// Positions of words and of their fields in a block's head.
constexpr std::size_t kUseWord = 1;
constexpr std::size_t kLinkWord = 2;
constexpr int kUsedShift = 48;     // in kUseWord
constexpr int kVerdictShift = 32;  // in kLinkWord, like those below
constexpr int kCauseShift = 40;
constexpr int kFlagsShift = 48;
constexpr int kGroupShift = 58;

// Flags of a query.
constexpr std::uint8_t kEventsDroppedFlag = 1;  // its share of the record was used up, or no block was free
constexpr std::uint8_t kIdCutFlag = 2;          // its call id was too long to be stored in full
constexpr std::uint8_t kRetryFlag = 4;          // the client marked it as a retry

// In a query's first event: the word with the id's hash and, in an opened event, the word with the label's
// hash.
constexpr std::size_t kIdHashWord = 3;
constexpr std::size_t kLabelHashWord = 4;

// A cell of the endpoint table: the first words of the id and the address, and their maximum lengths.
constexpr std::size_t kEndpointIdWord = 2;
constexpr std::size_t kEndpointAddressWord = 11;
constexpr std::size_t kMaxEndpointIdBytes = 72;
constexpr std::size_t kMaxEndpointAddressBytes = 40;

constexpr std::uint64_t JoinHalves(std::uint32_t low, std::uint32_t high) {
  return std::uint64_t{high} << 32 | low;
}
constexpr std::uint32_t LowHalf(std::uint64_t word) { return static_cast<std::uint32_t>(word); }
constexpr std::uint32_t HighHalf(std::uint64_t word) { return static_cast<std::uint32_t>(word >> 32); }
constexpr std::uint8_t ByteAt(std::uint64_t word, int index) {
  return static_cast<std::uint8_t>(word >> (8 * index));
}
// Floating-point values are stored as 32-bit floats.
constexpr std::uint32_t FloatBits(double value) {
  return std::bit_cast<std::uint32_t>(static_cast<float>(value));
}
constexpr double FloatOf(std::uint32_t bits) { return std::bit_cast<float>(bits); }

// Writes text into whole words, padded with zeros, and returns their number.
inline std::size_t PutText(std::string_view text, std::uint64_t* words) {
  std::size_t count = (text.size() + 7) / 8;
  std::memset(words, 0, count * 8);
  std::memcpy(words, text.data(), text.size());
  return count;
}

// From a block's use word: the position of the block in its query's chain, modulo 2^16.
constexpr std::uint32_t ChainPosition(std::uint64_t use_word) { return use_word >> 32 & 0xffff; }

}  // namespace liftrudder::decision_log

#endif  // LIFTRUDDER_DECISION_LOG_RECORD_FORMAT_H_
