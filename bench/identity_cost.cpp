// Measures the cost of authenticating callers: token verification for new and for known tokens, the server's
// side of new and resumed TLS handshakes, the encryption of 1 KiB, and the memory of a connection. One
// thread, in memory; prints medians.
//
//   identity_cost
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <vector>

#include "identity/token_verifier.h"
#include "net/socket.h"
#include "net/tls_channel.h"
#include "support/certificate_issuer.h"
#include "support/token_signer.h"

namespace {

using namespace liftrudder;
using tests::Json;

constexpr int kRuns = 1000;
constexpr int kOpenConnections = 200;
constexpr coordinator::Micros kNowUs = 1'800'000'000'000'000;

template <typename Work>
double ElapsedUs(Work work) {
  auto from = std::chrono::steady_clock::now();
  work();
  return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - from).count();
}

void PrintTimes(const char* label, std::vector<double>& times_us) {
  std::ranges::sort(times_us);
  std::printf("%-44s %8.1f us (99th percentile: %.1f)\n", label, times_us[times_us.size() / 2],
              times_us[times_us.size() * 99 / 100]);
}

void MeasureTokens(const char* name, bool ecdsa) {
  tests::Signer signer(ecdsa);
  identity::TokenVerifier token_verifier({"issuer", "gatherer", 5'000'000, 86'400'000'000}, 2 * kRuns);
  auto keys = identity::KeySet::Parse(Json{{"keys", Json::array({signer.Jwk("a")})}}.dump());
  token_verifier.ReplaceKeys(keys.value());
  std::vector<double> first_times_us, repeat_times_us;
  for (int i = 0; i < kRuns; ++i) {
    std::int64_t now_s = kNowUs / 1'000'000;
    std::string token = signer.Token("a", {{"iss", "issuer"},
                                           {"aud", "gatherer"},
                                           {"nbf", now_s - 60},
                                           {"exp", now_s + 600},
                                           {"tenant", "north"},
                                           {"sub", std::to_string(i)}});
    bool verified = true;
    first_times_us.push_back(ElapsedUs([&] { verified = token_verifier.Verify(token, kNowUs).has_value(); }));
    repeat_times_us.push_back(
        ElapsedUs([&] { verified = token_verifier.Verify(token, kNowUs).has_value() && verified; }));
    if (!verified) std::printf("%s: a valid token was rejected\n", name);
  }
  PrintTimes((std::string(name) + " token, first verification").c_str(), first_times_us);
  PrintTimes((std::string(name) + " token, repeated verification").c_str(), repeat_times_us);
}

// Completes a TLS handshake and returns the time that the server's side of it took, in microseconds.
double ServerHandshakeUs(tests::TlsClient& client, net::TlsChannel& server) {
  double spent_us = 0;
  std::string plain, wire, out = client.ProcessInput("", plain);
  while (!out.empty()) {
    wire.clear();
    spent_us += ElapsedUs([&] { server.Feed(out, plain, wire); });
    out = client.ProcessInput(wire, plain);
  }
  if (server.state() != net::TlsChannel::State::kOpen)
    std::printf("TLS handshake failed: %s\n", server.fault().c_str());
  return spent_us;
}

void MeasureConnections() {
  tests::CertificateIssuer issuer("issuer"), clients("clients");
  net::SteadyClock clock;
  tests::IssuedCertificate server_certificate = issuer.Issue("a", "DNS:a.example", "serverAuth"),
                           client = clients.Issue("c", "DNS:c", "clientAuth");
  auto make = [&](const std::string& ca) {
    return net::TlsContext::Create(
               {{{server_certificate.CertificatePem(), server_certificate.KeyPem()}}, ca, "", !ca.empty()},
               clock)
        .value();
  };
  auto plain = make(""), mutual = make(clients.Pem());
  std::vector<double> new_times_us, resumed_times_us, mutual_times_us, encrypt_times_us;
  for (int i = 0; i < kRuns; ++i) {
    tests::TlsClient plain_client, certificate_client(TLS1_3_VERSION, &client);
    net::TlsChannel new_channel(plain), resumed_channel(plain), mutual_channel(mutual);
    new_times_us.push_back(ServerHandshakeUs(plain_client, new_channel));
    plain_client.StartConnection();
    resumed_times_us.push_back(ServerHandshakeUs(plain_client, resumed_channel));
    if (!resumed_channel.resumed()) std::printf("the TLS session was not resumed\n");
    mutual_times_us.push_back(ServerHandshakeUs(certificate_client, mutual_channel));
    std::string wire, kib(1024, 'x');
    encrypt_times_us.push_back(ElapsedUs([&] { resumed_channel.Encrypt(kib, wire); }));
  }
  PrintTimes("handshake, new (P-256)", new_times_us);
  PrintTimes("handshake, resumed", resumed_times_us);
  PrintTimes("handshake, with a client certificate", mutual_times_us);
  PrintTimes("encryption of 1 KiB", encrypt_times_us);
  // The clients are created first, so that only the server's memory is counted.
  std::vector<std::unique_ptr<tests::TlsClient>> open_clients;
  std::vector<std::unique_ptr<net::TlsChannel>> channels;
  std::vector<std::string> client_hellos;
  std::string ignored_plaintext;
  for (int i = 0; i < kOpenConnections; ++i) {
    open_clients.push_back(std::make_unique<tests::TlsClient>());
    client_hellos.push_back(open_clients.back()->ProcessInput("", ignored_plaintext));
  }
  std::string wire;
  auto heap_bytes = [] { return static_cast<double>(mallinfo2().uordblks); };
  double bytes_before = heap_bytes();
  for (const std::string& client_hello : client_hellos) {
    channels.push_back(std::make_unique<net::TlsChannel>(plain));
    wire.clear();
    channels.back()->Feed(client_hello, ignored_plaintext, wire);
  }
  std::printf("%-44s %8.1f KiB\n", "memory of an abandoned handshake",
              (heap_bytes() - bytes_before) / kOpenConnections / 1024);
  channels.clear();
  std::vector<double> open;
  for (int i = 0; i < kOpenConnections; ++i) {
    tests::TlsClient plain_client;
    channels.push_back(std::make_unique<net::TlsChannel>(plain));
    ServerHandshakeUs(plain_client, *channels.back());
  }
  double bytes_with_open = heap_bytes();
  channels.clear();
  std::printf("%-44s %8.1f KiB\n", "memory of an open connection",
              (bytes_with_open - heap_bytes()) / kOpenConnections / 1024);
}

}  // namespace

int main() {
  MeasureTokens("EdDSA", false);
  MeasureTokens("ES256", true);
  MeasureConnections();
}
