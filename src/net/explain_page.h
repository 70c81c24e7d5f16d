// The `/-/why` page, the same on every front: what the record of decisions has to say.
#ifndef LIFTRUDDER_NET_EXPLAIN_PAGE_H_
#define LIFTRUDDER_NET_EXPLAIN_PAGE_H_

#include "decision_log/explain_service.h"
#include "net/http.h"

namespace liftrudder::net {

// `desk` may be null: the record is off, and the page says so. Any thread.
HttpResponse ExplainPage(decision_log::ExplainService* explain_service, const HttpMessage& request);

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_EXPLAIN_PAGE_H_
