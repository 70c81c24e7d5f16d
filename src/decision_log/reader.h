// Reads the record, of this program while it runs or from a file that a dead one left: finds queries by id or
// filter and puts their lives together from blocks that may be changing under it. Never waits for the writer
// and holds nothing it wants. Any thread; each call allocates what it returns and the index of heads, bounded
// by the record's size.
#ifndef LIFTRUDDER_DECISION_LOG_READER_H_
#define LIFTRUDDER_DECISION_LOG_READER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "decision_log/record_file.h"
#include "decision_log/counts.h"

namespace liftrudder::decision_log {

struct HolderName {
  std::uint32_t number = 0;
  std::string id, addr;  // id: "#number" where the name has been overwritten
};

struct ConsideredStory {
  HolderName holder;
  int out = 0;
  routing::Standing standing = routing::Standing::kFit;
  bool eligible = false;
};

struct AttemptStory {
  int number = 0;
  HolderName holder;
  std::int64_t at_us = 0;  // all times: since the query's arrival
  std::int64_t timeout_us = 0;
  routing::SendKind kind = routing::SendKind::kFirst;
  routing::OutcomeCode after = routing::OutcomeCode::kOk;
  std::vector<ConsideredStory> considered;
  int unlisted = 0;
  std::optional<std::int64_t> cancelled_us;
  routing::CancelWhy cancel_why = routing::CancelWhy::kAnswered;
  std::optional<std::int64_t> ended_us;  // none: still out, or the record ends before
  routing::OutcomeCode outcome = routing::OutcomeCode::kOk;
  Progress progress = Progress::kNotConnected;
  Cause cause = Cause::kServed;
};

struct HeldStory {
  std::int64_t at_us = 0;
  routing::HeldWhy why = routing::HeldWhy::kNone;
  double figure = 0, bound = 0;
  std::vector<ConsideredStory> considered;
};

struct PartStory {
  int shard = 0;
  double weight = 0;
  std::int64_t work_us = 0;
  std::vector<AttemptStory> attempts;
  std::vector<HeldStory> held;
};

struct GivenStory {
  std::int64_t at_us = 0;
  int status = 0;
  std::int64_t bytes = 0;
  bool whole = true;
};

struct Story {
  std::uint32_t serial = 0;    // of the record; grows with each query
  std::string call_id, label;  // raw bytes, as a client chose them
  std::uint64_t id_hash = 0, label_hash = 0;
  bool id_cut = false, repeated = false;
  bool events_cut = false;  // the query's share of the record was full
  bool torn = false;        // a block of it could not be read
  std::int64_t arrived_us = 0, budget_us = 0;
  int class_index = 0;
  std::string class_name;
  FrontKind front = FrontKind::kPlatform;
  int parts_told = 0;
  std::vector<PartStory> parts;
  Verdict verdict = Verdict::kOpen;
  Door door = Door::kNone;
  routing::EndCause cause = routing::EndCause::kUnstated;
  double figure = 0, bound = 0;
  HolderName blamed;  // of kHot
  std::int64_t ended_us = 0, retry_after_us = 0;
  int pieces = 0;
  std::vector<GivenStory> given;
};

struct Filter {
  std::optional<std::string> id;  // call id, or the client's own label
  std::optional<std::string> class_name, holder;
  std::optional<Verdict> verdict;
  std::optional<std::string> reason;           // name of an EndCause or a Door
  std::optional<std::int64_t> from_us, to_us;  // of arrival
  std::size_t limit = 20;
};

// A query that was seen, kept or not.
struct Sighting {
  std::int64_t second = 0;  // when it ended or was turned away
  Verdict verdict = Verdict::kOpen;
  int class_index = 0;
  std::uint8_t cause = 0;  // an EndCause, or a Door where turned away
};

constexpr std::size_t kMostSightings = 16;  // a client may use one id for ever

struct Found {
  std::size_t told = 0;            // queries given to the visitor
  bool more = false;               // the limit was met, or the visitor had enough
  std::size_t busy = 0, torn = 0;  // blocks that were being written, or do not fit their checksum
  std::vector<Sighting>
      sightings;  // asked for by id: when it was seen, kept or not; the newest kMostSightings
  std::int64_t sightings_from = 0;  // seconds: sightings before this have been overwritten; 0: none have
};

struct Summary {
  std::int64_t now_s = 0;                          // the newest second counted in
  std::vector<std::uint64_t> last_minute, totals;  // by kind, as counts.h numbers them
  struct Holder {
    HolderName name;
    std::uint64_t sent = 0, resent_after = 0, refused_for = 0, missing = 0;
  };
  std::vector<Holder> holders;                                  // with anything counted in the last minute
  std::vector<std::pair<std::int64_t, std::uint64_t>> dropped;  // let go of or lost, by second
  std::size_t blocks = 0, blocks_used = 0, bytes = 0;
};

class Reader {
 public:
  // `pause` is called now and then while a whole record is scanned, so that a caller can leave the core to
  // others.
  explicit Reader(const Arena& arena, std::function<void()> pause = {});

  // Gives what fits to `each`, newest first and one at a time, so that only one is held; false: enough.
  Found Find(const Filter& filter, const std::function<bool(const Story&)>& each) const;
  Summary Summarize() const;
  const About& about() const { return about_; }

 private:
  struct Head {
    std::uint32_t block, serial;
  };
  std::vector<Head> Heads(const Filter& filter, Found& found) const;
  std::optional<Story> Read(Head head, Found& found) const;
  bool Decode(const std::uint64_t* words, std::size_t count, Story& story) const;
  std::vector<ConsideredStory> Choice(const std::uint64_t* words, std::size_t count) const;
  HolderName Holder(std::uint32_t number) const;
  bool Matches(const Story& story, const Filter& filter) const;
  void Sight(const std::string& id, Found& found) const;

  const Arena& arena_;
  std::function<void()> pause_;
  About about_;
};

}  // namespace liftrudder::decision_log

#endif  // LIFTRUDDER_DECISION_LOG_READER_H_
