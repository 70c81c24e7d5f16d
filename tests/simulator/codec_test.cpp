// The decoder and encoder on the byte examples of the wire specification and on malformed frames; the parser
// of the routing settings; the host.
#include <gtest/gtest.h>

#include <cstdio>
#include <string>
#include <string_view>

#include "config/routing_settings.h"
#include "simulator/decoder.h"
#include "simulator/encoder.h"
#include "simulator/host.h"

namespace liftrudder::simulator {

using namespace routing;
namespace {

std::string Bytes(std::string_view hex) {
  std::string out;
  int nibbles = 0, value = 0;
  for (char c : hex) {
    if (c == ' ' || c == '\n') continue;
    value = value * 16 + (c <= '9' ? c - '0' : c - 'a' + 10);
    if (++nibbles % 2 == 0) {
      out.push_back(static_cast<char>(value));
      value = 0;
    }
  }
  return out;
}

std::string Hex(std::string_view bytes) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string out;
  for (char c : bytes) {
    out.push_back(kDigits[static_cast<unsigned char>(c) >> 4]);
    out.push_back(kDigits[static_cast<unsigned char>(c) & 15]);
  }
  return out;
}

// The same bytes in hexadecimal without blanks.
std::string WithoutBlanks(std::string_view hex) { return Hex(Bytes(hex)); }

// The body of a batch with these records, at clock 0x805c5a.
std::string Body(int records, std::string_view hex) {
  char head[9];
  std::snprintf(head, sizeof head, "%08x", static_cast<unsigned>(records));
  return Bytes(std::string(head) + "0000000000805c5a" + std::string(hex));
}

constexpr std::string_view kInstance3 = "78 00000002 0003";

// The error message of decoding these records; empty when they decode.
std::string DecodingError(int records, std::string_view hex) {
  try {
    Decoder().Decode(Body(records, hex));
  } catch (const WireError& error) {
    return error.what();
  }
  return "";
}

template <typename T>
T DecodeOneEvent(std::string_view record) {
  Batch batch = Decoder().Decode(Body(2, std::string(kInstance3) + std::string(record)));
  EXPECT_EQ(batch.events.size(), 1u);
  EXPECT_EQ(batch.events.at(0).instance, 3);
  return std::get<T>(std::get<Event>(batch.events.at(0).payload));
}

const char* const kSettings = R"({"az":1,"groupSize":3,"ordinal":2,"resolutionUs":5000,"unknown":[1],
  "bounds":{"attemptsCap":4,"cancelling":true,"maxOpen":412,"maxRetryAfterUs":1000000,"probes":true,
            "retryAfter":true,"secondCopies":true},
  "familyInfo":{"cells":12,"classFetch":[3],"classFloor":[0.4],"incompleteWorth":[0.9],"perCall":8,"warmKeys":true,"reach":3,
                "slices":24,"wholeAt":[1.0]},
  "grades":[{"aimUs":2500000,"effect":"deduplicated","giveUpUs":6000000,"lateShare":0.3,"value":3.0,
             "repeatWindowUs":2500000}],
  "overShareWorth":0.1,"projects":[{"allowancePerS":14.0,"fraction":0.57}],"registryMode":"subscribe",
  "rules":{"coldUs":17000000,"fallMultiple":4.0,"fallUs":2000000,"graceToAnswerUs":20000,"startCapacity":0.16,
           "stopSendingWithinUs":500000,"freeResends":10,"furtherRatio":0.1,"resendSpanUs":2000000}})";

TEST(Decode, EmptyBatch) {
  Batch batch = Decoder().Decode(Body(0, ""));
  EXPECT_EQ(batch.now_us, 0x805c5a);
  EXPECT_TRUE(batch.events.empty());
}

TEST(Decode, ShardRequest) {
  auto shard_request = DecodeOneEvent<ShardRequestReceived>(
      "5a 00000025 5d3a91c4 43560000 00002ee0 3e000000 0000 0000 00000000 01 91f03b7c55d20a64 0003a980");
  EXPECT_EQ(shard_request.id, 0x5d3a91c4u);
  EXPECT_EQ(shard_request.query_number, 214);
  EXPECT_EQ(shard_request.work_us, 12000);
  EXPECT_DOUBLE_EQ(shard_request.weight, 0.125);
  EXPECT_EQ(shard_request.shard, 0);
  EXPECT_EQ(shard_request.key, 0x91f03b7c55d20a64u);
}

TEST(Decode, QueryHasNegativeShardAndRetryFlag) {
  auto query = DecodeOneEvent<QueryReceived>(
      "5a 00000025 5d3a91c4 43560000 00002ee0 40800000 0002 0001 bf800000 02 0000000000000000 0003a980");
  EXPECT_EQ(query.shard_requests, 4);
  EXPECT_EQ(query.class_index, 2);
  EXPECT_EQ(query.tenant, 1);
  EXPECT_TRUE(query.is_retry);
  EXPECT_EQ(query.timeout_remaining_us, 240000);
}

TEST(Decode, AttemptFinished) {
  auto attempt = DecodeOneEvent<AttemptFinished>(
      "6e 0000001f 5d3a91c4 00 0a124a07 138b 00c8 00004844 01 03 4040000040e00000430c0000");
  EXPECT_EQ(attempt.shard_request, 0x5d3a91c4u);
  EXPECT_EQ(attempt.attempt, 0);
  EXPECT_EQ(attempt.endpoint, (EndpointId{0x0a124a07, 0x138b}));
  EXPECT_EQ(attempt.outcome, AttemptOutcome::kOk);
  EXPECT_EQ(attempt.spent_us, 18500);
  EXPECT_TRUE(attempt.shard_request_done);
  EXPECT_EQ(attempt.load, (std::vector<double>{3, 7, 140}));
}

TEST(Decode, HealthCheckDisconnectTimerAndGossip) {
  auto health_check = DecodeOneEvent<HealthCheckFinished>(
      "64 00000019 0a9011f2 13b4 00c8 00000578 03 4040000040e00000430c0000");
  EXPECT_EQ(health_check.spent_us, 1400);
  EXPECT_EQ(DecodeOneEvent<ClientDisconnected>("3c 00000004 0e6f2b19").id, 0x0e6f2b19u);
  EXPECT_EQ(DecodeOneEvent<TimerFired>("46 00000008 000000000000004d").label, 0x4du);
  EXPECT_EQ(DecodeOneEvent<GossipMessage>("0a 0000000a 00000002 0004 68692037").text, "hi 7");
}

TEST(Decode, ListIsResolvedInOrderOfTheBatch) {
  Decoder decoder;
  Batch batch = decoder.Decode(
      Body(3, std::string(kInstance3) +
                  "32 00000036 0000 00000002 0a124a07 138b 0000 00 0000 01 3f800000 0000000000000000"
                  "0a9011f2 13b4 0000 00 0000 01 3fc00000 00000000005d1420"
                  "28 0000000b 0000000000000029 02 0000"));
  ASSERT_EQ(batch.events.size(), 1u);
  auto update = std::get<EndpointListUpdate>(std::get<Event>(batch.events[0].payload));
  EXPECT_EQ(update.kind, EndpointListKind::kCached);
  EXPECT_EQ(update.version, 0x29u);
  ASSERT_EQ(update.endpoints.size(), 2u);
  EXPECT_EQ(update.endpoints[1].started_us, 0x5d1420);
  EXPECT_DOUBLE_EQ(update.endpoints[1].weight, 1.5);
  EXPECT_EQ(update.endpoints[0].availability, Availability::kReady);
  // Later batches may refer to the numbered list.
  Batch later = decoder.Decode(Body(2, std::string(kInstance3) + "28 0000000b 000000000000002a 01 0000"));
  EXPECT_EQ(std::get<EndpointListUpdate>(std::get<Event>(later.events[0].payload)).endpoints.size(), 2u);
}

TEST(Encode, ExamplesOfTheDocument) {
  Encoder encoder;
  EXPECT_EQ(Hex(encoder.Finish()), "0000000400000000");
  encoder.Add(3, {Send{0x5d3a91c4, {0x0a124a07, 0x138b}, 80000}, SetTimer{500000, 0x4d}});
  EXPECT_EQ(Hex(encoder.Finish()),
            WithoutBlanks("0000002f 00000003 8c 00000002 0003 0a 0000000e 5d3a91c4 00013880 0a124a07 138b"
                          "32 0000000c 0007a120 000000000000004d"));
  encoder.Add(3, {Answer{0x0e6f2b19, true}, Reject{0x0e6f2b19, 250000}, Fail{0x5d3a91c4},
                  Cancel{0x5d3a91c4, 0}, Close{{0x0a9011f2, 0x13b4}}, Subscribe{}});
  EXPECT_EQ(
      Hex(encoder.Finish()).substr(16),
      WithoutBlanks("8c 00000002 0003 82 00000005 0e6f2b19 01 14 00000008 0e6f2b19 0003d090"
                    "1e 00000004 5d3a91c4 28 00000005 5d3a91c4 00 46 00000006 0a9011f2 13b4 6e 00000001 01"));
}

TEST(Malformed, SaysWhatAndWhere) {
  EXPECT_NE(DecodingError(1, "78 00000002 00").find("needs 2 bytes, only 1 remain"), std::string::npos);
  EXPECT_NE(DecodingError(1, "78 00000001 00").find("who needs 2 bytes"), std::string::npos);
  EXPECT_NE(DecodingError(1, "78 00000003 000300").find("1 unexpected bytes at the end"), std::string::npos);
  EXPECT_NE(DecodingError(900, "78 00000002 0003").find("declares 900 records"), std::string::npos);
  EXPECT_NE(DecodingError(2, "78 00000002 0003 c8 00000000").find("unknown record code"), std::string::npos);
  EXPECT_NE(DecodingError(1, "3c 00000004 0e6f2b19").find("before any ABOUT"), std::string::npos);
  EXPECT_NE(DecodingError(2, "78 00000002 0003 28 0000000b 0000000000000029 02 0007").find("never sent"),
            std::string::npos);
  EXPECT_NE(DecodingError(1, "32 00000006 0000 0000ffff").find("65535 entries"), std::string::npos);
  EXPECT_NE(DecodingError(2, "78 00000002 0003 6e 00000013 5d3a91c4 00 0a124a07 138b 0001 00004844 01 00")
                .find("unknown disposition 1"),
            std::string::npos);
  EXPECT_EQ(DecodingError(1, "78 00000002 0003"), "");
}

TEST(SettingsText, IsRead) {
  Settings settings = config::ParseRoutingSettings(kSettings);
  ASSERT_EQ(settings.classes.size(), 1u);
  EXPECT_EQ(settings.classes[0].effect, Effect::kIdempotencyKey);
  EXPECT_EQ(settings.classes[0].fetch_phase_requests, 3);
  EXPECT_EQ(settings.cells, 12);
  EXPECT_TRUE(settings.subscription_required);
  EXPECT_TRUE(settings.has_retry_budget);
  EXPECT_EQ(settings.retry_budget_window_us, 2000000);
  EXPECT_EQ(settings.zone, 1);
  EXPECT_EQ(settings.max_requests_per_call, 8);
  EXPECT_TRUE(settings.key_affinity);
}

TEST(SettingsText, MissingOrWrongKeysAreNamed) {
  auto parse_error = [](const std::string& text) -> std::string {
    try {
      config::ParseRoutingSettings(text);
    } catch (const config::SettingsError& error) {
      return error.what();
    }
    return "";
  };
  std::string settings_text = kSettings;
  std::string key_affinity = settings_text;
  key_affinity.replace(key_affinity.find("\"warmKeys\":true"), 15, "\"warmKeys\":3");
  EXPECT_NE(parse_error(key_affinity).find("'warmKeys' has the wrong type"), std::string::npos);
  std::string per_call = settings_text;
  per_call.replace(per_call.find("\"perCall\":8"), 11, "\"perCall\":0");
  EXPECT_NE(parse_error(per_call).find("'max_requests_per_call' is 0; it must be 1 or more"),
            std::string::npos);
  EXPECT_NE(parse_error("{").find("not a JSON object"), std::string::npos);
  EXPECT_NE(parse_error(std::string(settings_text).replace(settings_text.find("cells"), 5, "celts"))
                .find("'cells' is missing"),
            std::string::npos);
  EXPECT_NE(
      parse_error(
          std::string(settings_text).replace(settings_text.find("\"ordinal\":2"), 11, "\"ordinal\":\"x\""))
          .find("'ordinal'"),
      std::string::npos);
  EXPECT_NE(
      parse_error(std::string(settings_text).replace(settings_text.find("\"reach\":3"), 9, "\"reach\":40"))
          .find("reach"),
      std::string::npos);
}

TEST(HostTest, UnknownAndKilledInstancesAreErrors) {
  Host host;
  EXPECT_THROW(host.Serve(Body(2, std::string(kInstance3) + "46 00000008 000000000000004d")), WireError);
  std::string settings_text(kSettings);
  char size[17];
  std::snprintf(size, sizeof size, "%08x%08x", static_cast<unsigned>(settings_text.size() + 12),
                static_cast<unsigned>(settings_text.size()));
  std::string create =
      "14" + std::string(size, 8) + "0000000000000001" + std::string(size + 8, 8) + Hex(settings_text);
  EXPECT_NO_THROW(host.Serve(Body(2, std::string(kInstance3) + create)));
  EXPECT_NO_THROW(host.Serve(Body(2, std::string(kInstance3) + "46 00000008 000000000000004d")));
  EXPECT_NO_THROW(host.Serve(Body(2, std::string(kInstance3) + "1e 00000000")));
  EXPECT_THROW(host.Serve(Body(2, std::string(kInstance3) + "46 00000008 000000000000004d")), WireError);
}

TEST(ReadFrameTest, EndsCleanlyOrThrows) {
  auto read = [](std::string bytes) {
    std::FILE* file = std::tmpfile();
    std::fwrite(bytes.data(), 1, bytes.size(), file);
    std::rewind(file);
    std::string result;
    try {
      while (auto frame = ReadFrame(file)) result += "[" + std::to_string(frame->size()) + "]";
    } catch (const WireError& error) {
      result += error.what();
    }
    std::fclose(file);
    return result;
  };
  EXPECT_EQ(read(""), "");
  EXPECT_EQ(read(Bytes("00000002 0102 00000001 07")), "[2][1]");
  EXPECT_NE(read(Bytes("0000")).find("within its length field"), std::string::npos);
  EXPECT_NE(read(Bytes("00000005 0102")).find("byte 6 of 9"), std::string::npos);
  EXPECT_NE(read(Bytes("ffffffff 01")).find("too large"), std::string::npos);
}

}  // namespace
}  // namespace liftrudder::simulator
