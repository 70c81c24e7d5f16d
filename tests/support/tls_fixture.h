// TLS contexts from certificates that the tests issue, and handshakes in memory.
#ifndef LIFTRUDDER_TESTS_SUPPORT_TLS_FIXTURE_H_
#define LIFTRUDDER_TESTS_SUPPORT_TLS_FIXTURE_H_

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <utility>

#include "coordinator/interfaces.h"
#include "net/tls.h"
#include "net/tls_channel.h"
#include "support/certificate_issuer.h"

namespace liftrudder::tests {

// Advances only when a test sets it.
struct ManualClock : coordinator::Clock {
  coordinator::Micros now_us = 1'000'000'000;
  coordinator::Micros Now() const override { return now_us; }
};

using TlsContextPtr = std::shared_ptr<const net::TlsContext>;

inline TlsContextPtr MakeContext(net::TlsConfig tls_config, const coordinator::Clock& clock,
                                 const net::TlsContext* previous = nullptr) {
  auto made = net::TlsContext::Create(std::move(tls_config), clock, previous);
  INFO((made ? "made" : made.error().Message()));
  REQUIRE(made);
  return *made;
}

// For tests in which time does not matter.
inline TlsContextPtr MakeContext(net::TlsConfig tls_config) {
  static const ManualClock clock;
  return MakeContext(std::move(tls_config), clock);
}

inline net::TlsKeyPair KeyPairOf(const IssuedCertificate& issued) {
  return {issued.CertificatePem(), issued.KeyPem()};
}

// Exchanges each side's output until neither produces more; returns the plain text that the server received.
inline std::string Handshake(TlsClient& client, net::TlsChannel& server) {
  constexpr int kMaxFlights = 10;
  std::string at_server;
  std::string at_client;
  std::string wire;
  std::string out = client.ProcessInput("", at_client);
  for (int flight = 0; flight < kMaxFlights && !out.empty(); ++flight) {
    wire.clear();
    server.Feed(out, at_server, wire);
    out = client.ProcessInput(wire, at_client);
  }
  return at_server;
}

}  // namespace liftrudder::tests

#endif  // LIFTRUDDER_TESTS_SUPPORT_TLS_FIXTURE_H_
