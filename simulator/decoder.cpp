#include "simulator/decoder.h"

#include <cstddef>
#include <string>
#include <utility>

#include "config/routing_settings.h"
#include "simulator/wire_names.h"

namespace liftrudder::simulator {
namespace {

using routing::Availability;
using routing::EndpointListKind;
using wire::EventCode;
using wire::OutcomeCode;

constexpr std::size_t kLengthBytes = 4;       // the length field in front of each frame's body
constexpr std::uint32_t kMinRecordBytes = 5;  // a record's code and size
constexpr std::uint32_t kEndpointBytes = 24;  // an endpoint's fields in a list
constexpr int kMaxEndpointLists = 16;

routing::AttemptOutcome ReadOutcome(ByteReader& record) {
  const int code = record.U16(wire::kOutcomeField);
  switch (static_cast<OutcomeCode>(code)) {
    case OutcomeCode::kOk:
      return routing::AttemptOutcome::kOk;
    case OutcomeCode::kError:
      return routing::AttemptOutcome::kError;
    case OutcomeCode::kOverloaded:
      return routing::AttemptOutcome::kOverloaded;
    case OutcomeCode::kTimeout:
      return routing::AttemptOutcome::kTimeout;
    case OutcomeCode::kConnectFailed:
      return routing::AttemptOutcome::kConnectFailed;
    case OutcomeCode::kReset:
      return routing::AttemptOutcome::kReset;
    case OutcomeCode::kCancelled:
      return routing::AttemptOutcome::kCancelled;
    case OutcomeCode::kNotSent:
      return routing::AttemptOutcome::kNotSent;
  }
  record.Fail(std::string("unknown ") + wire::kOutcomeField + " " + std::to_string(code));
}

routing::Endpoint ReadEndpoint(ByteReader& record) {
  routing::Endpoint endpoint;
  endpoint.id = record.Endpoint(wire::kEndpointField);
  endpoint.zone = record.U16(wire::kZoneField);
  endpoint.kind = record.U8(wire::kKindField);
  endpoint.cell = record.U16(wire::kCellField);
  const int availability = record.U8(wire::kAvailabilityField);
  if (availability > static_cast<int>(Availability::kDraining)) {
    record.Fail("unknown availability " + std::to_string(availability));
  }
  endpoint.availability = static_cast<Availability>(availability);
  endpoint.weight = record.F32(wire::kWeightField);
  endpoint.started_us = static_cast<routing::Micros>(record.U64(wire::kStartedField));
  return endpoint;
}

// Queries and shard requests share one record layout; a query has a negative shard.
routing::Event ReadRequest(ByteReader& record) {
  const routing::Id id = record.U32(wire::kIdField);
  const auto number = static_cast<std::int64_t>(record.F32(wire::kQueryNumberField));
  const routing::Micros work_us = record.U32(wire::kWorkField);
  const double weight_or_count = record.F32(wire::kWeightOrCountField);
  const int class_index = record.U16(wire::kClassField);
  const int tenant = record.U16(wire::kTenantField);
  const auto shard = static_cast<int>(record.F32(wire::kShardField));
  const int flags = record.U8(wire::kFlagsField);
  const std::uint64_t key = record.U64(wire::kKeyField);
  const routing::Micros timeout_remaining_us = record.U32(wire::kTimeoutRemainingField);
  if (shard >= 0) return routing::ShardRequestReceived{id, number, shard, weight_or_count, key, work_us};
  routing::QueryReceived query;
  query.id = id;
  query.query_number = number;
  query.shard_requests = static_cast<int>(weight_or_count);
  query.class_index = class_index;
  query.tenant = tenant;
  query.is_retry = (flags & wire::kRetryFlag) != 0;
  query.key = key;
  query.timeout_remaining_us = timeout_remaining_us;
  query.work_us = work_us;
  return query;
}

routing::AttemptFinished ReadAttempt(ByteReader& record) {
  routing::AttemptFinished attempt;
  attempt.shard_request = record.U32(wire::kIdField);
  attempt.attempt = record.U8(wire::kAttemptField);
  attempt.endpoint = record.Endpoint(wire::kEndpointField);
  attempt.outcome = ReadOutcome(record);
  attempt.spent_us = record.U32(wire::kSpentField);
  attempt.shard_request_done = record.U8(wire::kShardRequestDoneField) != 0;
  attempt.load = record.Load(wire::kLoadField);
  return attempt;
}

routing::HealthCheckFinished ReadHealthCheck(ByteReader& record) {
  routing::HealthCheckFinished health_check;
  health_check.endpoint = record.Endpoint(wire::kEndpointField);
  health_check.outcome = ReadOutcome(record);
  health_check.spent_us = record.U32(wire::kSpentField);
  health_check.load = record.Load(wire::kLoadField);
  return health_check;
}

routing::GossipMessage ReadGossip(ByteReader& record) {
  routing::GossipMessage message;
  message.from = record.U32(wire::kGossipSenderField);
  const std::size_t size = record.U16(wire::kGossipTextField);
  message.text = record.Bytes(size, wire::kGossipTextField);
  return message;
}

InstanceCreated ReadCreated(ByteReader& record) {
  InstanceCreated created;
  created.seed = record.U64(wire::kSeedField);
  const std::uint32_t size = record.U32(wire::kSettingsField);
  try {
    created.settings = config::ParseRoutingSettings(record.Bytes(size, wire::kSettingsField));
  } catch (const config::SettingsError& error) {
    record.Fail(error.what());
  }
  return created;
}

}  // namespace

Batch Decoder::Decode(std::string_view body) {
  ByteReader frame(body, kLengthBytes, "frame");
  const std::uint32_t records = frame.U32("number of records");
  Batch batch;
  batch.now_us = static_cast<routing::Micros>(frame.U64("clock"));
  if (records > frame.Remaining() / kMinRecordBytes) {
    frame.Fail("declares " + std::to_string(records) + " records, more than its bytes can hold");
  }
  std::optional<int> instance;
  for (std::uint32_t i = 0; i < records; ++i) {
    const int code = frame.U8("record code");
    const std::uint32_t size = frame.U32("record size");
    const std::size_t offset = frame.Offset();
    const std::string context = "record " + std::to_string(i) + " (code " + std::to_string(code) + ")";
    ByteReader record(frame.Bytes(size, context.c_str()), offset, context);
    if (code == static_cast<int>(EventCode::kInstance)) {
      instance = record.U16(wire::kInstanceField);
      record.ExpectEnd();
    } else if (code == static_cast<int>(EventCode::kEndpointList)) {
      StoreEndpointList(record);
    } else if (!instance) {
      record.Fail(std::string("comes before any ") + wire::kInstanceRecord);
    } else if (auto event = ReadEvent(code, *instance, record)) {
      record.ExpectEnd();
      batch.events.push_back(std::move(*event));
    }
  }
  frame.ExpectEnd();
  return batch;
}

void Decoder::StoreEndpointList(ByteReader& record) {
  const int number = record.U16(wire::kListNumberField);
  if (number >= kMaxEndpointLists) record.Fail("endpoint list " + std::to_string(number) + " is above 15");
  const std::uint32_t count = record.U32(wire::kListEntriesField);
  if (count > record.Remaining() / kEndpointBytes) {
    record.Fail("declares " + std::to_string(count) + " entries, more than its bytes can hold");
  }
  std::vector<routing::Endpoint> endpoints;
  endpoints.reserve(count);
  for (std::uint32_t i = 0; i < count; ++i) endpoints.push_back(ReadEndpoint(record));
  record.ExpectEnd();
  endpoint_lists_[number] = std::move(endpoints);
}

routing::EndpointListUpdate Decoder::ReadEndpointListUpdate(ByteReader& record) const {
  routing::EndpointListUpdate update;
  update.version = record.U64(wire::kListVersionField);
  const int kind = record.U8(wire::kListKindField);
  if (kind > static_cast<int>(EndpointListKind::kFailed)) {
    record.Fail("unknown endpoint list kind " + std::to_string(kind));
  }
  update.kind = static_cast<EndpointListKind>(kind);
  const int number = record.U16(wire::kListNumberField);
  if (update.kind == EndpointListKind::kFailed) return update;
  auto found = endpoint_lists_.find(number);
  if (found == endpoint_lists_.end()) {
    record.Fail("refers to endpoint list " + std::to_string(number) + ", which was never sent");
  }
  update.endpoints = found->second;
  return update;
}

std::optional<InstanceEvent> Decoder::ReadEvent(int code, int instance, ByteReader& record) const {
  switch (static_cast<EventCode>(code)) {
    case EventCode::kInstanceCreated:
      return InstanceEvent{instance, ReadCreated(record)};
    case EventCode::kInstanceKilled:
      return InstanceEvent{instance, InstanceKilled{}};
    case EventCode::kEndpointListUpdate:
      return InstanceEvent{instance, ReadEndpointListUpdate(record)};
    case EventCode::kRequest:
      return InstanceEvent{instance, ReadRequest(record)};
    case EventCode::kAttemptFinished:
      return InstanceEvent{instance, ReadAttempt(record)};
    case EventCode::kHealthCheckFinished:
      return InstanceEvent{instance, ReadHealthCheck(record)};
    case EventCode::kClientDisconnected:
      return InstanceEvent{instance, routing::ClientDisconnected{record.U32(wire::kIdField)}};
    case EventCode::kTimerFired:
      return InstanceEvent{instance, routing::TimerFired{record.U64(wire::kTimerLabelField)}};
    case EventCode::kGossip:
      return InstanceEvent{instance, ReadGossip(record)};
    case EventCode::kResponseBegun:
      // Sent for streamed classes only, and ignored: the response still ends with kAttemptFinished.
      return std::nullopt;
    case EventCode::kInstance:
    case EventCode::kEndpointList:
      break;  // handled by Decode
  }
  record.Fail("unknown record code");
}

}  // namespace liftrudder::simulator
