// Computes how many client and endpoint connections fit the descriptors and the memory of the process. A pure
// function; any thread.
#ifndef LIFTRUDDER_CONFIG_BUDGET_H_
#define LIFTRUDDER_CONFIG_BUDGET_H_

namespace liftrudder::config {

struct Budget {
  int client_connections = 0;
  int client_requests = 0;  // client connections with a request that is being read or answered
  int endpoint_connections = 0;
  int endpoints = 0;  // number of endpoints that the budget is for
};

// `descriptors` is the limit of the process. Endpoint connections are reserved first: at least one for each
// of `endpoints`, as far as that leaves clients three eighths of the descriptors.
Budget ComputeBudget(int descriptors, int memory_mb, int endpoints);

}  // namespace liftrudder::config

#endif  // LIFTRUDDER_CONFIG_BUDGET_H_
