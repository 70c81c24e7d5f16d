// The `/-/why` page, the same on every front: answers questions about past decisions from the decision log.
#ifndef LIFTRUDDER_NET_EXPLAIN_PAGE_H_
#define LIFTRUDDER_NET_EXPLAIN_PAGE_H_

#include "decision_log/explain_service.h"
#include "net/http.h"

namespace liftrudder::net {

// `explain_service` null: the decision log is off, and the response is 404. May block. Thread-safe.
HttpResponse ExplainPage(decision_log::ExplainService* explain_service, const HttpMessage& request);

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_EXPLAIN_PAGE_H_
