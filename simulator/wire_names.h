// The simulator's wire protocol: record codes, outcome codes, and the field names of its specification, used
// in error messages. They are an external interface and never change; other code uses these constants.
#ifndef LIFTRUDDER_SIMULATOR_WIRE_NAMES_H_
#define LIFTRUDDER_SIMULATOR_WIRE_NAMES_H_

#include <cstdint>

namespace liftrudder::simulator::wire {

// Records of a batch.
enum class EventCode : std::uint8_t {
  kGossip = 10,
  kInstanceCreated = 20,
  kInstanceKilled = 30,
  kEndpointListUpdate = 40,
  kEndpointList = 50,
  kClientDisconnected = 60,
  kTimerFired = 70,
  kResponseBegun = 80,
  kRequest = 90,
  kHealthCheckFinished = 100,
  kAttemptFinished = 110,
  kInstance = 120,
};

// Records of a reply.
enum class ActionCode : std::uint8_t {
  kSend = 10,
  kReject = 20,
  kFail = 30,
  kCancel = 40,
  kSetTimer = 50,
  kClose = 70,
  kSubscribe = 110,
  kAnswer = 130,
  kInstance = 140,
};

// Outcomes of attempts and health checks.
enum class OutcomeCode : std::uint16_t {
  kOk = 200,
  kNotSent = 410,
  kCancelled = 499,
  kError = 500,
  kConnectFailed = 502,
  kOverloaded = 503,
  kTimeout = 504,
  kReset = 598,
};

// Flags of a request.
inline constexpr int kRetryFlag = 2;

// The record that selects the instance of the records after it.
inline constexpr char kInstanceRecord[] = "ABOUT";

inline constexpr char kInstanceField[] = "who";
inline constexpr char kSeedField[] = "nonce64";
inline constexpr char kSettingsField[] = "conf";
inline constexpr char kListVersionField[] = "serial";
inline constexpr char kListKindField[] = "how";
inline constexpr char kListNumberField[] = "bank";
inline constexpr char kListEntriesField[] = "membersList";
inline constexpr char kEndpointField[] = "replica";
inline constexpr char kZoneField[] = "locality";
inline constexpr char kKindField[] = "model";
inline constexpr char kCellField[] = "slotNo";
inline constexpr char kAvailabilityField[] = "availability";
inline constexpr char kWeightField[] = "weight";
inline constexpr char kStartedField[] = "launchedUs";
inline constexpr char kIdField[] = "ticket";
inline constexpr char kQueryNumberField[] = "query";
inline constexpr char kWorkField[] = "workUs";
inline constexpr char kWeightOrCountField[] = "shareOrCount";
inline constexpr char kClassField[] = "type";
inline constexpr char kTenantField[] = "clientGroup";
inline constexpr char kShardField[] = "shard";
inline constexpr char kFlagsField[] = "flags";
inline constexpr char kKeyField[] = "object";
inline constexpr char kTimeoutRemainingField[] = "patienceLeftUs";
inline constexpr char kAttemptField[] = "leg";
inline constexpr char kOutcomeField[] = "disposition";
inline constexpr char kSpentField[] = "spentUs";
inline constexpr char kShardRequestDoneField[] = "noMore";
inline constexpr char kLoadField[] = "feedback";
inline constexpr char kTimerLabelField[] = "label";
inline constexpr char kGossipSenderField[] = "src";
inline constexpr char kGossipTextField[] = "msg";

}  // namespace liftrudder::simulator::wire

#endif  // LIFTRUDDER_SIMULATOR_WIRE_NAMES_H_
