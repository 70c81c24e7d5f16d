// What a gatherer is told at its start, and how its memory and descriptors are shared out.
#ifndef LIFTRUDDER_CONFIG_CONFIG_H_
#define LIFTRUDDER_CONFIG_CONFIG_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "coordinator/endpoint_registry.h"
#include "routing/router.h"

namespace liftrudder::config {

struct Budget {
  int client_connections = 0;
  int client_requests = 0;  // of them, with a request being read or answered
  int endpoint_connections = 0;
  int endpoints = 0;  // that these are for
};

// The record of decisions.
struct DecisionLogOptions {
  std::size_t bytes = 0;  // all that it may claim; 0: nothing is recorded
  std::string file;       // where it outlives the program; empty: in memory only
};

struct Config {
  std::string name, listen, discovery;
  std::string mgmt;  // where operators' tools call; empty: nowhere
  std::uint64_t seed = 0;
  routing::Settings settings;
  std::vector<std::string> classes, zones, kinds, load_names;
  routing::Micros connect_timeout_us = 250'000;
  routing::Micros idle_close_us = 30'000'000;
  int streams_per_connection = 100;
  double cores = 1;
  coordinator::EndpointList known;
  int sockets = 1024, memory_mb = 192;  // the limits, of the memory what the record leaves
  Budget budget;                        // for the holders known at the start
  DecisionLogOptions decision_log;
};

// Throws std::runtime_error saying what is wrong.
Config Parse(std::string_view text);
// There is a second address, and it takes its part of the descriptors; nothing where one is told already.
void PlaceMgmt(Config& config, const std::string& address);
std::string ReadFile(const std::string& path);

// A list in discovery's form; throws std::runtime_error when it is not one.
coordinator::EndpointList ParseEndpointList(std::string_view text, const Config& config);

// How many connections of either side fit the limits; holders' share is kept back from clients, and holds one
// for each of `holders` where that leaves clients enough.
Budget ShareOut(int sockets, int memory_mb, int endpoints);

}  // namespace liftrudder::config

#endif  // LIFTRUDDER_CONFIG_CONFIG_H_
