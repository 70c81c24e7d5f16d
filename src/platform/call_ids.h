// The ids of clients' queries that must not be used by another query now: an endpoint could take the shard
// requests of one for those of the other, and what must not be repeated could run twice. Thread-safe.
#ifndef LIFTRUDDER_PLATFORM_CALL_IDS_H_
#define LIFTRUDDER_PLATFORM_CALL_IDS_H_

#include <cstddef>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>

#include "coordinator/interfaces.h"

namespace liftrudder::platform {

class CallIds {
 public:
  using Micros = coordinator::Micros;

  // More ids of unanswered queries are not retained: the one that would expire first makes room.
  static constexpr std::size_t kMaxRetained = 4096;

  // Returns false if a query with this id is open, or has ended without an answer and its id is retained.
  bool Reserve(const std::string& id, Micros now_us);
  // The query has been answered.
  void Release(const std::string& id);
  // The query has ended without an answer, and its attempts may run on: its id stays reserved until
  // `until_us`.
  void Retain(const std::string& id, Micros until_us);

 private:
  std::mutex mutex_;  // guards everything below
  std::set<std::string> open_;
  std::map<std::string, Micros> retained_;  // until when
  std::set<std::pair<Micros, std::string>> retained_by_end_;
};

}  // namespace liftrudder::platform

#endif  // LIFTRUDDER_PLATFORM_CALL_IDS_H_
