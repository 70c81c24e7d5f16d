// How many connections of either side fit the descriptors and the memory of the process. A pure function; any
// thread.
#ifndef LIFTRUDDER_CONFIG_BUDGET_H_
#define LIFTRUDDER_CONFIG_BUDGET_H_

namespace liftrudder::config {

struct Budget {
  int client_connections = 0;
  int client_requests = 0;  // client connections of which a request is being read or answered
  int endpoint_connections = 0;
  int endpoints = 0;  // the budget was made for that many
};

// `descriptors`: as the process's limit says. Endpoints come first: their share is kept back from clients,
// and has a connection for each of `endpoints` where that leaves clients enough.
Budget ShareOut(int descriptors, int memory_mb, int endpoints);

}  // namespace liftrudder::config

#endif  // LIFTRUDDER_CONFIG_BUDGET_H_
