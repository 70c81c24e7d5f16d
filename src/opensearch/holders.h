// How holders that speak the search API are asked: one request at a time on a connection, one shard each.
#ifndef LIFTRUDDER_OPENSEARCH_HOLDERS_H_
#define LIFTRUDDER_OPENSEARCH_HOLDERS_H_

#include <string>

#include "net/holder_links.h"

namespace liftrudder::opensearch {

// The call ids of counts begin so; their answers carry a count in place of hits.
constexpr char kCountMark = 'c';

class SearchDialect : public net::Dialect {
 public:
  std::string Id(const core::AttemptOrder& order) const override;
  std::string Ask(std::span<const core::AttemptOrder* const> orders, const std::string& holder,
                  core::Micros now_us) const override;
  // A search is given up by closing its connection.
  std::string GiveUp(const std::string&) const override { return {}; }
  std::unique_ptr<net::AnswerReader> Reader() const override;
};

}  // namespace liftrudder::opensearch

#endif  // LIFTRUDDER_OPENSEARCH_HOLDERS_H_
