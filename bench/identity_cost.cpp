// What telling callers apart costs: a token that was seen and one that was not, a handshake that is new and
// one that is resumed (the server's side of each), a sealed KiB, and the memory of a connection. One thread,
// all in memory; medians of many.
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
#include "support/token_issuer.h"
#include "support/token_signer.h"

namespace {

using namespace liftrudder;
using tests::Json;

constexpr int kRuns = 1000;
constexpr int kOpen = 200;
constexpr coordinator::Micros kNow = 1'800'000'000'000'000;

template <typename Work>
double Spent(Work work) {
  auto from = std::chrono::steady_clock::now();
  work();
  return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - from).count();
}

void Say(const char* what, std::vector<double>& all) {
  std::ranges::sort(all);
  std::printf("%-44s %8.1f us (0.99: %.1f)\n", what, all[all.size() / 2], all[all.size() * 99 / 100]);
}

void Tokens(const char* name, bool ecdsa) {
  tests::Signer signer(ecdsa);
  identity::TokenVerifier token_verifier({"issuer", "gatherer", 5'000'000, 86'400'000'000}, 2 * kRuns);
  auto keys = identity::KeySet::Parse(Json{{"keys", Json::array({signer.Jwk("a")})}}.dump());
  token_verifier.ReplaceKeys(keys.value());
  std::vector<double> fresh, seen;
  for (int i = 0; i < kRuns; ++i) {
    std::int64_t now_s = kNow / 1'000'000;
    std::string token = signer.Token("a", {{"iss", "issuer"},
                                           {"aud", "gatherer"},
                                           {"nbf", now_s - 60},
                                           {"exp", now_s + 600},
                                           {"tenant", "north"},
                                           {"sub", std::to_string(i)}});
    bool in = true;
    fresh.push_back(Spent([&] { in = token_verifier.Verify(token, kNow).has_value(); }));
    seen.push_back(Spent([&] { in = token_verifier.Verify(token, kNow).has_value() && in; }));
    if (!in) std::printf("%s: a token was not let in\n", name);
  }
  Say((std::string(name) + " token, not seen before").c_str(), fresh);
  Say((std::string(name) + " token, seen before").c_str(), seen);
}

// One connection to its open state; what the server's side of it took.
double Shake(tests::TlsClient& client, net::TlsChannel& server) {
  double spent = 0;
  std::string plain, wire, out = client.Step("", plain);
  while (!out.empty()) {
    wire.clear();
    spent += Spent([&] { server.Feed(out, plain, wire); });
    out = client.Step(wire, plain);
  }
  if (server.state() != net::TlsChannel::State::kOpen)
    std::printf("no handshake: %s\n", server.fault().c_str());
  return spent;
}

void Connections() {
  tests::Issuer issuer("issuer"), clients("clients");
  net::SteadyClock clock;
  tests::Issued shown = issuer.Issue("a", "DNS:a.example", "serverAuth"),
                client = clients.Issue("c", "DNS:c", "clientAuth");
  auto make = [&](const std::string& ca) {
    return net::TlsContext::Make({{{shown.CertificatePem(), shown.KeyPem()}}, ca, "", !ca.empty()}, clock)
        .value();
  };
  auto plain = make(""), mutual = make(clients.Pem());
  std::vector<double> whole, resumed, both, sealed;
  for (int i = 0; i < kRuns; ++i) {
    tests::TlsClient one, with(TLS1_3_VERSION, &client);
    net::TlsChannel first(plain), second(plain), third(mutual);
    whole.push_back(Shake(one, first));
    one.Begin();
    resumed.push_back(Shake(one, second));
    if (!second.resumed()) std::printf("not resumed\n");
    both.push_back(Shake(with, third));
    std::string wire, kib(1024, 'x');
    sealed.push_back(Spent([&] { second.Seal(kib, wire); }));
  }
  Say("handshake, new (P-256)", whole);
  Say("handshake, resumed", resumed);
  Say("handshake, with a client's certificate", both);
  Say("a KiB sealed", sealed);
  // Clients first, so that only the server's side is counted.
  std::vector<std::unique_ptr<tests::TlsClient>> open_clients;
  std::vector<std::unique_ptr<net::TlsChannel>> held;
  std::vector<std::string> flights;
  std::string said;
  for (int i = 0; i < kOpen; ++i) {
    open_clients.push_back(std::make_unique<tests::TlsClient>());
    flights.push_back(open_clients.back()->Step("", said));
  }
  std::string wire;
  auto bytes = [] { return static_cast<double>(mallinfo2().uordblks); };
  double before = bytes();
  for (const std::string& flight : flights) {
    held.push_back(std::make_unique<net::TlsChannel>(plain));
    wire.clear();
    held.back()->Feed(flight, said, wire);
  }
  std::printf("%-44s %8.1f KiB\n", "held by a handshake that was left", (bytes() - before) / kOpen / 1024);
  held.clear();
  std::vector<double> open;
  for (int i = 0; i < kOpen; ++i) {
    tests::TlsClient one;
    held.push_back(std::make_unique<net::TlsChannel>(plain));
    Shake(one, *held.back());
  }
  double with_open = bytes();
  held.clear();
  std::printf("%-44s %8.1f KiB\n", "held by an open connection", (with_open - bytes()) / kOpen / 1024);
}

}  // namespace

int main() {
  Tokens("EdDSA", false);
  Tokens("ES256", true);
  Connections();
}
