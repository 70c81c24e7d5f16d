// TlsContext, TlsChannel and TicketKeys in memory: versions, server names, tickets, client certificates, and
// configurations that cannot be used.
#define CATCH_CONFIG_MAIN
#include "net/tls.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "net/tls_channel.h"
#include "net/tls_ticket_keys.h"
#include "support/tls_fixture.h"

using namespace liftrudder;
using net::TlsChannel;
using net::TlsConfig;
using net::TlsFault;
using tests::CertificateIssuer;
using tests::Handshake;
using tests::IssuedCertificate;
using tests::KeyPairOf;
using tests::MakeContext;
using tests::ManualClock;
using tests::TlsClient;
using tests::TlsContextPtr;
using State = TlsChannel::State;

namespace {

// The error's message; empty if there is none.
std::string MessageOf(TlsConfig config) {
  const ManualClock clock;
  auto made = net::TlsContext::Create(std::move(config), clock);
  return made ? "" : made.error().Message();
}

net::TlsError ErrorOf(TlsConfig config) {
  const ManualClock clock;
  auto made = net::TlsContext::Create(std::move(config), clock);
  REQUIRE_FALSE(made);
  return made.error();
}

}  // namespace

TEST_CASE("TLS 1.3 and 1.2 transfer both ways, and a closed connection differs from a truncated one") {
  CertificateIssuer issuer("issuer");
  TlsContextPtr context =
      MakeContext({{KeyPairOf(issuer.Issue("a", "DNS:a.example", "serverAuth"))}, "", "", false});
  for (auto [version, name] : {std::pair(TLS1_3_VERSION, "TLSv1.3"), {TLS1_2_VERSION, "TLSv1.2"}}) {
    TlsClient client(version);
    TlsChannel server(context);
    Handshake(client, server);
    REQUIRE(server.state() == State::kOpen);
    CHECK(server.protocol() == name);
    CHECK(server.peer() == nullptr);
    // The request arrives byte by byte, the response takes several records.
    std::string at_server, at_client, wire;
    for (char c : client.Encrypt("GET / HTTP/1.1\r\n\r\n")) server.Feed(std::string(1, c), at_server, wire);
    CHECK(at_server == "GET / HTTP/1.1\r\n\r\n");
    CHECK(wire.empty());
    std::string answer(100'000, 'x');
    CHECK(server.Encrypt(answer, wire));
    client.ProcessInput(wire, at_client);
    CHECK(at_client == answer);
    CHECK_FALSE(client.peer_closed());
    wire.clear();
    server.Close(wire);
    client.ProcessInput(wire, at_client);
    CHECK(client.peer_closed());
    CHECK(server.state() == State::kOpen);
    CHECK(server.Feed(client.Close(), at_server, wire) == State::kEnded);
  }
}

TEST_CASE("older versions, other protocols and damaged records fail with a reason") {
  CertificateIssuer issuer("issuer");
  TlsContextPtr context =
      MakeContext({{KeyPairOf(issuer.Issue("a", "DNS:a.example", "serverAuth"))}, "", "", false});
  TlsClient old(TLS1_1_VERSION);
  TlsChannel server(context);
  Handshake(old, server);
  CHECK(server.state() == State::kFailed);
  CHECK(server.fault() == "unsupported protocol");
  std::string plain, wire;
  CHECK_FALSE(server.Encrypt("x", wire));
  for (const std::string& junk : {std::string("GET / HTTP/1.1\r\n\r\n"), std::string(70'000, '\x16'),
                                  std::string("\x16\x03\x01\xff\xff", 5) + std::string(70'000, 'a')}) {
    TlsChannel other(context);
    CHECK(other.Feed(junk, plain, wire) == State::kFailed);
    CHECK_FALSE(other.fault().empty());
  }
  CHECK(plain.empty());
  // One bit of an encrypted record is flipped.
  TlsClient client;
  TlsChannel third(context);
  Handshake(client, third);
  std::string record = client.Encrypt("hello");
  record[record.size() / 2] = static_cast<char>(record[record.size() / 2] ^ 1);
  CHECK(third.Feed(record, plain, wire) == State::kFailed);
  CHECK(plain.empty());
  // Renegotiation is declined: TLS 1.2 sends a warning, and the connection stays usable.
  TlsClient again(TLS1_2_VERSION);
  TlsChannel fourth(context);
  Handshake(again, fourth);
  SSL_renegotiate(again.raw());
  std::string at_client;
  wire.clear();
  State state = fourth.Feed(again.ProcessInput("", at_client), plain, wire);
  CHECK(state != State::kHandshake);
  CHECK(plain.empty());
}

TEST_CASE("the certificate for the requested server name is shown, else the first") {
  CertificateIssuer issuer("issuer");
  IssuedCertificate a = issuer.Issue("a", "DNS:a.example", "serverAuth"),
                    b = issuer.Issue("b", "DNS:*.b.example", "serverAuth");
  TlsContextPtr context = MakeContext({{KeyPairOf(a), KeyPairOf(b)}, "", "", false});
  for (auto [host, shown] : {std::pair("a.example", &a), {"x.b.example", &b}, {"c.example", &a}, {"", &a}}) {
    TlsClient client;
    client.StartConnection(host);
    TlsChannel server(context);
    Handshake(client, server);
    REQUIRE(server.state() == State::kOpen);
    X509* seen = SSL_get0_peer_certificate(client.raw());
    CHECK(X509_cmp(seen, shown->certificate.get()) == 0);
  }
}

TEST_CASE(
    "a ticket resumes a session for one to two key rotation intervals, also after a change of certificates") {
  CertificateIssuer issuer("issuer");
  ManualClock clock;
  TlsContextPtr context =
      MakeContext({{KeyPairOf(issuer.Issue("a", "DNS:a.example", "serverAuth"))}, "", "", false}, clock);
  for (int version : {TLS1_3_VERSION, TLS1_2_VERSION}) {
    TlsClient client(version);
    auto resumed = [&] {
      client.StartConnection();
      TlsChannel server(context);
      Handshake(client, server);
      REQUIRE(server.state() == State::kOpen);
      return server.resumed();
    };
    CHECK_FALSE(resumed());
    CHECK(resumed());
    context = MakeContext({{KeyPairOf(issuer.Issue("a", "DNS:a.example", "serverAuth"))}, "", "", false},
                          clock, context.get());
    CHECK(resumed());
    clock.now_us += net::TicketKeys::kRotationIntervalUs;
    CHECK(resumed());
    clock.now_us += 2 * net::TicketKeys::kRotationIntervalUs;
    CHECK_FALSE(resumed());
    context =
        MakeContext({{KeyPairOf(issuer.Issue("a", "DNS:a.example", "serverAuth"))}, "", "", false}, clock);
    CHECK_FALSE(resumed());
  }
}

TEST_CASE("client certificates: which are accepted, with which names, and until when") {
  CertificateIssuer issuer("clients"), other("others"), servers("servers");
  net::TlsKeyPair pair = KeyPairOf(servers.Issue("a", "DNS:a.example", "serverAuth"));
  IssuedCertificate good =
      issuer.Issue("north", "DNS:north.example,URI:urn:school:north,email:n@example", "clientAuth");
  IssuedCertificate revoked = issuer.Issue("gone", "DNS:gone.example", "clientAuth");
  struct Case {
    const char* what;
    std::optional<IssuedCertificate> client_certificate;
    bool required, accepted;
  };
  const Case cases[] = {
      {"none, and none is required", {}, false, true},
      {"none, and one is required", {}, true, false},
      {"a valid one", good, true, true},
      {"expired", issuer.Issue("x", "DNS:x", "clientAuth", -3600, -1800), false, false},
      {"not yet valid", issuer.Issue("x", "DNS:x", "clientAuth", 1800, 3600), false, false},
      {"from another issuer", other.Issue("north", "DNS:north.example", "clientAuth"), false, false},
      {"a server certificate", issuer.Issue("x", "DNS:x", "serverAuth"), false, false},
      {"revoked", revoked, false, false},
  };
  for (const Case& one : cases) {
    for (int version : {TLS1_3_VERSION, TLS1_2_VERSION}) {
      INFO(one.what << " " << version);
      TlsContextPtr context =
          MakeContext({{pair}, issuer.Pem(), issuer.RevocationListPem({revoked}), one.required});
      TlsClient client(version, one.client_certificate ? &*one.client_certificate : nullptr);
      TlsChannel server(context);
      Handshake(client, server);
      CHECK((server.state() == State::kOpen) == one.accepted);
      CHECK((server.peer() != nullptr) == (one.accepted && one.client_certificate));
      CHECK(server.fault().empty() == one.accepted);
    }
  }
  TlsContextPtr before = MakeContext({{pair}, issuer.Pem(), issuer.RevocationListPem({}), true});
  TlsClient client(TLS1_3_VERSION, &good);
  TlsChannel server(before);
  Handshake(client, server);
  REQUIRE(server.peer() != nullptr);
  const net::TlsPeer& peer = *server.peer();
  CHECK(peer.names ==
        std::vector<std::string>{"dns:north.example", "uri:urn:school:north", "email:n@example"});
  CHECK(peer.subject == "CN=north");
  // A context with newer files applies to connections that are already open.
  CHECK(before->Verify(peer) == "");
  CHECK(MakeContext({{pair}, issuer.Pem(), issuer.RevocationListPem({good}), true})->Verify(peer) ==
        "certificate revoked");
  CHECK(MakeContext({{pair}, other.Pem(), "", true})->Verify(peer) != "");
  CHECK(MakeContext({{pair}, "", "", false})->Verify(peer) != "");
  // An expired revocation list, or none for one of two issuers, rejects every certificate.
  CHECK(MakeContext({{pair}, issuer.Pem(), issuer.RevocationListPem({}, -30), true})->Verify(peer) ==
        "CRL has expired");
  std::string two = issuer.Pem() + other.Pem();
  CHECK(MakeContext({{pair}, two, issuer.RevocationListPem({}), true})->Verify(peer) == "");
  CHECK(MakeContext({{pair}, two, other.RevocationListPem({}), true})->Verify(peer) ==
        "unable to get certificate CRL");
  // A later connection verifies the certificate again: its session is not resumed.
  client.StartConnection();
  TlsChannel second(MakeContext({{pair}, issuer.Pem(), issuer.RevocationListPem({good}), true}));
  Handshake(client, second);
  CHECK(second.state() == State::kFailed);
  CHECK(second.fault().find("certificate revoked") != std::string::npos);
}

TEST_CASE("a TlsError says what is wrong and with which certificate") {
  CertificateIssuer issuer("issuer");
  IssuedCertificate a = issuer.Issue("a", "DNS:a", "serverAuth"),
                    b = issuer.Issue("b", "DNS:b", "serverAuth");
  CHECK(MessageOf({{}, "", "", false}) == "no server certificate is configured");
  CHECK(MessageOf({{KeyPairOf(a), {"", a.KeyPem()}}, "", "", false}) ==
        "certificate 2: the file contains no PEM certificate");
  CHECK(MessageOf({{{a.CertificatePem(), ""}}, "", "", false}).find("certificate 1: private key: ") == 0);
  CHECK(MessageOf({{{a.CertificatePem(), b.KeyPem()}}, "", "", false}) ==
        "certificate 1: private key: key values mismatch");
  CHECK(MessageOf({{KeyPairOf(issuer.Issue("x", "DNS:x", "serverAuth", -60, -30))}, "", "", false}) ==
        "certificate 1: it has expired");
  std::string encrypted_key = IssuedCertificate::Pem([&](BIO* to) {
    PEM_write_bio_PrivateKey(to, a.key.get(), EVP_aes_128_cbc(), nullptr, 0, nullptr,
                             const_cast<char*>("secret"));
  });
  CHECK(MessageOf({{{a.CertificatePem(), encrypted_key}}, "", "", false})
            .find("certificate 1: private key: ") == 0);
  CHECK(MessageOf({{KeyPairOf(a)}, "junk", "", false}) ==
        "issuers of client certificates: the file contains no PEM certificate");
  CHECK(MessageOf({{KeyPairOf(a)}, issuer.Pem(), "junk", false}) ==
        "revocation lists: the file contains no PEM revocation list");
  CHECK(MessageOf({{KeyPairOf(a)}, "", "", true}) ==
        "client certificates are required or revocation lists are given, but no issuers of client "
        "certificates are configured");
}

TEST_CASE("a TlsError names its fault and the certificate's position") {
  CertificateIssuer issuer("issuer");
  IssuedCertificate a = issuer.Issue("a", "DNS:a", "serverAuth");
  IssuedCertificate b = issuer.Issue("b", "DNS:b", "serverAuth");
  CHECK(ErrorOf({{}, "", "", false}).fault == TlsFault::kNoCertificate);
  CHECK(ErrorOf({{KeyPairOf(a)}, "", "", true}).fault == TlsFault::kNoClientCa);
  CHECK(ErrorOf({{KeyPairOf(a)}, "junk", "", false}).fault == TlsFault::kUnreadableClientCa);
  CHECK(ErrorOf({{KeyPairOf(a)}, issuer.Pem(), "junk", false}).fault == TlsFault::kUnreadableRevocation);
  net::TlsError second = ErrorOf({{KeyPairOf(a), {"", a.KeyPem()}}, "", "", false});
  CHECK(second.fault == TlsFault::kCertificate);
  CHECK(second.certificate == 2);
  net::TlsError key = ErrorOf({{{a.CertificatePem(), b.KeyPem()}}, "", "", false});
  CHECK(key.fault == TlsFault::kKey);
  CHECK(key.certificate == 1);
}
