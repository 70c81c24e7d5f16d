// TLS in memory, both sides: versions, names, tickets, clients' certificates, and files that are wrong.
#define CATCH_CONFIG_MAIN
#include "net/tls.h"

#include <catch2/catch.hpp>

#include "net/server.h"
#include "net/tls_channel.h"
#include "net/tls_ticket_keys.h"
#include "support/token_issuer.h"

using namespace liftrudder;
using net::TlsChannel;
using net::TlsContext;
using net::TlsMaterial;
using tests::Issued;
using tests::Issuer;
using tests::TlsClient;
using State = TlsChannel::State;
using Context = std::shared_ptr<const TlsContext>;

namespace {

struct HandClock : coordinator::Clock {
  coordinator::Micros now = 1'000'000'000;
  coordinator::Micros Now() const override { return now; }
};

const HandClock kClock;

Context Made(TlsMaterial material, const coordinator::Clock& clock = kClock,
             const TlsContext* before = nullptr) {
  auto made = TlsContext::Make(std::move(material), clock, before);
  INFO((made ? "made" : made.error().Message()));
  REQUIRE(made);
  return *made;
}

std::string Wrong(TlsMaterial material) {
  auto made = TlsContext::Make(std::move(material), kClock);
  return made ? "" : made.error().Message();
}

net::TlsPair Pair(const Issued& one) { return {one.CertificatePem(), one.KeyPem()}; }

// Hands over what each side writes until neither has more to say; what the server heard.
std::string Shake(TlsClient& client, TlsChannel& server) {
  std::string heard, told, wire, out = client.Step("", told);
  for (int turn = 0; turn < 10 && !out.empty(); ++turn) {
    wire.clear();
    server.Feed(out, heard, wire);
    out = client.Step(wire, told);
  }
  return heard;
}

// Answers at once with what was asked for.
class Echo : public net::Handler {
 public:
  std::optional<net::HttpResponse> Handle(net::HttpMessage& request, const net::Exchange& exchange) override {
    CHECK(exchange.connection->channel() != nullptr);
    net::HttpResponse out;
    out.body = request.target;
    return out;
  }
  net::HttpResponse Malformed(int status) override { return Of(status); }
  net::HttpResponse Overloaded(const net::HttpMessage*) override { return Of(503); }
  void Wrote(const std::vector<net::AnsweredQuery>&, int, std::size_t, bool) override {}

 private:
  static net::HttpResponse Of(int status) {
    net::HttpResponse out;
    out.status = status;
    return out;
  }
};

// A server with TLS on a port of its own.
struct Serving {
  explicit Serving(int places) {
    source.Set(Made({{Pair(issuer.Issue("a", "DNS:a.example", "serverAuth"))}, "", "", false}, clock));
    net::Fd listener = net::Listen("127.0.0.1:0");
    addr = net::LocalAddress(listener);
    server.emplace(std::move(listener), echo, clock, counters, net::ServerLimits{places, places}, &source);
  }
  Issuer issuer{"issuer"};
  net::SteadyClock clock;
  net::TlsSource source;
  metrics::Counters counters;
  Echo echo;
  std::string addr;
  std::optional<net::Server> server;
};

constexpr net::Micros kPatience = 20'000'000;

// A whole request and its answer on a new connection, over TLS; empty where there was none.
std::string Ask(const std::string& addr, TlsClient& client, net::Fd& fd) {
  fd = net::Connect(addr, kPatience);
  std::string told, came, out = client.Step("", told);
  bool asked = false;
  while (told.find("/lessons") == std::string::npos) {
    if (!asked && SSL_is_init_finished(client.raw()) != 0) {
      out += client.Say("GET /lessons HTTP/1.1\r\nHost: a\r\n\r\n");
      asked = true;
    }
    if (!out.empty() && net::WriteAll(fd, out, kPatience).status != net::Io::kOk) return "";
    came.clear();
    if (net::ReadSome(fd, came, kPatience) != net::Io::kOk) return "";
    out = client.Step(came, told);
  }
  return told;
}

}  // namespace

TEST_CASE("TLS 1.3 and 1.2 carry both ways; a connection that is cut is told from one that ended") {
  Issuer issuer("issuer");
  Context context = Made({{Pair(issuer.Issue("a", "DNS:a.example", "serverAuth"))}, "", "", false});
  for (auto [version, name] : {std::pair(TLS1_3_VERSION, "TLSv1.3"), {TLS1_2_VERSION, "TLSv1.2"}}) {
    TlsClient client(version);
    TlsChannel server(context);
    Shake(client, server);
    REQUIRE(server.state() == State::kOpen);
    CHECK(server.protocol() == name);
    CHECK(server.peer() == nullptr);
    // A request byte by byte, an answer of several records.
    std::string heard, told, wire;
    for (char one : client.Say("GET / HTTP/1.1\r\n\r\n")) server.Feed(std::string(1, one), heard, wire);
    CHECK(heard == "GET / HTTP/1.1\r\n\r\n");
    CHECK(wire.empty());
    std::string answer(100'000, 'x');
    CHECK(server.Seal(answer, wire));
    client.Step(wire, told);
    CHECK(told == answer);
    CHECK_FALSE(client.ended());
    wire.clear();
    server.Close(wire);
    client.Step(wire, told);
    CHECK(client.ended());
    CHECK(server.state() == State::kOpen);
    CHECK(server.Feed(client.Close(), heard, wire) == State::kEnded);
  }
}

TEST_CASE("older versions, other protocols and damaged records end a connection with a reason") {
  Issuer issuer("issuer");
  Context context = Made({{Pair(issuer.Issue("a", "DNS:a.example", "serverAuth"))}, "", "", false});
  TlsClient old(TLS1_1_VERSION);
  TlsChannel server(context);
  Shake(old, server);
  CHECK(server.state() == State::kFailed);
  CHECK(server.fault() == "unsupported protocol");
  std::string plain, wire;
  CHECK_FALSE(server.Seal("x", wire));
  for (const std::string& junk : {std::string("GET / HTTP/1.1\r\n\r\n"), std::string(70'000, '\x16'),
                                  std::string("\x16\x03\x01\xff\xff", 5) + std::string(70'000, 'a')}) {
    TlsChannel other(context);
    CHECK(other.Feed(junk, plain, wire) == State::kFailed);
    CHECK_FALSE(other.fault().empty());
  }
  CHECK(plain.empty());
  // One bit of a sealed record changed.
  TlsClient client;
  TlsChannel third(context);
  Shake(client, third);
  std::string record = client.Say("hello");
  record[record.size() / 2] = static_cast<char>(record[record.size() / 2] ^ 1);
  CHECK(third.Feed(record, plain, wire) == State::kFailed);
  CHECK(plain.empty());
  // Renegotiation is not taken up: TLS 1.2 answers with a warning, and the connection serves on.
  TlsClient again(TLS1_2_VERSION);
  TlsChannel fourth(context);
  Shake(again, fourth);
  SSL_renegotiate(again.raw());
  std::string told;
  wire.clear();
  State state = fourth.Feed(again.Step("", told), plain, wire);
  CHECK(state != State::kHandshake);
  CHECK(plain.empty());
}

TEST_CASE("the certificate is the one for the name that was asked for, else the first") {
  Issuer issuer("issuer");
  Issued a = issuer.Issue("a", "DNS:a.example", "serverAuth"),
         b = issuer.Issue("b", "DNS:*.b.example", "serverAuth");
  Context context = Made({{Pair(a), Pair(b)}, "", "", false});
  for (auto [host, shown] : {std::pair("a.example", &a), {"x.b.example", &b}, {"c.example", &a}, {"", &a}}) {
    TlsClient client;
    client.Begin(host);
    TlsChannel server(context);
    Shake(client, server);
    REQUIRE(server.state() == State::kOpen);
    X509* seen = SSL_get0_peer_certificate(client.raw());
    CHECK(X509_cmp(seen, shown->certificate.get()) == 0);
  }
}

TEST_CASE("a ticket is good for one to two spans, over a change of certificates too") {
  Issuer issuer("issuer");
  HandClock clock;
  Context context = Made({{Pair(issuer.Issue("a", "DNS:a.example", "serverAuth"))}, "", "", false}, clock);
  for (int version : {TLS1_3_VERSION, TLS1_2_VERSION}) {
    TlsClient client(version);
    auto resumed = [&] {
      client.Begin();
      TlsChannel server(context);
      Shake(client, server);
      REQUIRE(server.state() == State::kOpen);
      return server.resumed();
    };
    CHECK_FALSE(resumed());
    CHECK(resumed());
    context =
        Made({{Pair(issuer.Issue("a", "DNS:a.example", "serverAuth"))}, "", "", false}, clock, context.get());
    CHECK(resumed());
    clock.now += net::TicketKeys::kTicketLife;
    CHECK(resumed());
    clock.now += 2 * net::TicketKeys::kTicketLife;
    CHECK_FALSE(resumed());
    context = Made({{Pair(issuer.Issue("a", "DNS:a.example", "serverAuth"))}, "", "", false}, clock);
    CHECK_FALSE(resumed());
  }
}

TEST_CASE("clients' certificates: who is let in, under which names, and for how long") {
  Issuer issuer("clients"), other("others"), servers("servers");
  net::TlsPair pair = Pair(servers.Issue("a", "DNS:a.example", "serverAuth"));
  Issued good = issuer.Issue("north", "DNS:north.example,URI:urn:school:north,email:n@example", "clientAuth");
  Issued gone = issuer.Issue("gone", "DNS:gone.example", "clientAuth");
  struct Case {
    const char* what;
    std::optional<Issued> shows;
    bool required, let_in;
  };
  const Case cases[] = {
      {"none, and none is needed", {}, false, true},
      {"none, and one is needed", {}, true, false},
      {"a good one", good, true, true},
      {"expired", issuer.Issue("x", "DNS:x", "clientAuth", -3600, -1800), false, false},
      {"not yet good", issuer.Issue("x", "DNS:x", "clientAuth", 1800, 3600), false, false},
      {"another issuer's", other.Issue("north", "DNS:north.example", "clientAuth"), false, false},
      {"a server's", issuer.Issue("x", "DNS:x", "serverAuth"), false, false},
      {"revoked", gone, false, false},
  };
  for (const Case& one : cases) {
    for (int version : {TLS1_3_VERSION, TLS1_2_VERSION}) {
      INFO(one.what << " " << version);
      Context context = Made({{pair}, issuer.Pem(), issuer.Revoked({gone}), one.required});
      TlsClient client(version, one.shows ? &*one.shows : nullptr);
      TlsChannel server(context);
      Shake(client, server);
      CHECK((server.state() == State::kOpen) == one.let_in);
      CHECK((server.peer() != nullptr) == (one.let_in && one.shows));
      CHECK(server.fault().empty() == one.let_in);
    }
  }
  Context before = Made({{pair}, issuer.Pem(), issuer.Revoked({}), true});
  TlsClient client(TLS1_3_VERSION, &good);
  TlsChannel server(before);
  Shake(client, server);
  REQUIRE(server.peer() != nullptr);
  const net::TlsPeer& peer = *server.peer();
  CHECK(peer.names ==
        std::vector<std::string>{"dns:north.example", "uri:urn:school:north", "email:n@example"});
  CHECK(peer.subject == "CN=north");
  // Newer files count on connections that are open.
  CHECK(before->Verify(peer) == "");
  CHECK(Made({{pair}, issuer.Pem(), issuer.Revoked({good}), true})->Verify(peer) == "certificate revoked");
  CHECK(Made({{pair}, other.Pem(), "", true})->Verify(peer) != "");
  CHECK(Made({{pair}, "", "", false})->Verify(peer) != "");
  // A list that is out of date, or none for one of two issuers, lets nobody in.
  CHECK(Made({{pair}, issuer.Pem(), issuer.Revoked({}, -30), true})->Verify(peer) == "CRL has expired");
  std::string two = issuer.Pem() + other.Pem();
  CHECK(Made({{pair}, two, issuer.Revoked({}), true})->Verify(peer) == "");
  CHECK(Made({{pair}, two, other.Revoked({}), true})->Verify(peer) == "unable to get certificate CRL");
  // Shown again it is checked again: nothing is resumed.
  client.Begin();
  TlsChannel second(Made({{pair}, issuer.Pem(), issuer.Revoked({good}), true}));
  Shake(client, second);
  CHECK(second.state() == State::kFailed);
  CHECK(second.fault().find("certificate revoked") != std::string::npos);
}

TEST_CASE("files that are wrong are told with what and where") {
  Issuer issuer("issuer");
  Issued a = issuer.Issue("a", "DNS:a", "serverAuth"), b = issuer.Issue("b", "DNS:b", "serverAuth");
  CHECK(Wrong({{}, "", "", false}) == "no certificate is given");
  CHECK(Wrong({{Pair(a), {"", a.KeyPem()}}, "", "", false}) == "certificate 2: none is in the file");
  CHECK(Wrong({{{a.CertificatePem(), ""}}, "", "", false}).find("certificate 1: its key: ") == 0);
  CHECK(Wrong({{{a.CertificatePem(), b.KeyPem()}}, "", "", false}) ==
        "certificate 1: its key: key values mismatch");
  CHECK(Wrong({{Pair(issuer.Issue("x", "DNS:x", "serverAuth", -60, -30))}, "", "", false}) ==
        "certificate 1: it has expired");
  std::string locked = Issued::Pem([&](BIO* to) {
    PEM_write_bio_PrivateKey(to, a.key.get(), EVP_aes_128_cbc(), nullptr, 0, nullptr,
                             const_cast<char*>("secret"));
  });
  CHECK(Wrong({{{a.CertificatePem(), locked}}, "", "", false}).find("certificate 1: its key: ") == 0);
  CHECK(Wrong({{Pair(a)}, "junk", "", false}) == "clients' issuers: no certificate is in the file");
  CHECK(Wrong({{Pair(a)}, issuer.Pem(), "junk", false}) == "revoked certificates: no list is in the file");
  CHECK(Wrong({{Pair(a)}, "", "", true}) ==
        "clients' certificates are asked for, and no issuer of them is given");
}

TEST_CASE("handshakes begun and left take a quarter of the places; who goes on is served meanwhile") {
  constexpr int kPlaces = 40, kLeft = 500;
  Serving serving(kPlaces);
  const std::string& addr = serving.addr;
  std::vector<net::Fd> left;
  std::string told;
  for (int i = 0; i < kLeft; ++i) {
    TlsClient halfway;
    left.push_back(net::Connect(addr, kPatience));
    REQUIRE(left.back().Valid());
    // The server's flight has come: its side of the handshake is begun, and stays so.
    std::string flight;
    net::WriteAll(left.back(), halfway.Step("", told), kPatience);
    REQUIRE(net::ReadSome(left.back(), flight, kPatience) == net::Io::kOk);
    if (i % 50 != 49) continue;
    TlsClient good;
    net::Fd fd;
    CHECK(Ask(addr, good, fd).find("HTTP/1.1 200") == 0);
  }
  int open = 0;
  for (const net::Fd& one : left) open += net::Peek(one.Get()) != net::SocketState::kEnd ? 1 : 0;
  CHECK(open <= kPlaces / 4);
  CHECK(serving.counters.evicted.Value() >= kLeft - kPlaces / 4);
}

TEST_CASE("connections that were mute before their handshakes are held to the same places") {
  constexpr int kPlaces = 40, kMute = 25;  // fewer than those at which mute ones make room for new ones
  Serving serving(kPlaces);
  std::vector<net::Fd> mute;
  std::string told;
  for (int i = 0; i < kMute; ++i) {
    mute.push_back(net::Connect(serving.addr, kPatience));
    REQUIRE(mute.back().Valid());
  }
  for (const net::Fd& one : mute) {
    TlsClient halfway;
    std::string flight;
    net::WriteAll(one, halfway.Step("", told), kPatience);
    REQUIRE(net::ReadSome(one, flight, kPatience) == net::Io::kOk);
  }
  TlsClient good;
  net::Fd fd;
  CHECK(Ask(serving.addr, good, fd).find("HTTP/1.1 200") == 0);
  int open = 0;
  for (const net::Fd& one : mute) open += net::Peek(one.Get()) != net::SocketState::kEnd ? 1 : 0;
  CHECK(open <= kPlaces / 4);
}

TEST_CASE("who is turned away before a handshake gets an alert, not a cut connection") {
  Serving serving(8);
  net::Fd listener = net::Listen("127.0.0.1:0");
  net::Fd client = net::Connect(net::LocalAddress(listener), kPatience);
  net::ClientConnection line(net::Accept(listener, kPatience), &serving.source);
  CHECK(line.Write("HTTP/1.1 503 x\r\n\r\n", 0).status == net::Io::kError);
  line.Finish();
  TlsClient side;
  std::string told, came;
  side.Step("", told);
  REQUIRE(net::ReadSome(client, came, kPatience) == net::Io::kOk);
  side.Step(came, told);
  CHECK(told.empty());
  CHECK(came == std::string("\x15\x03\x03\0\2\2\x50", 7));
}

TEST_CASE("an answer that is cut is told from a whole one, and a client that says no more is gone") {
  Serving serving(8);
  const std::string& addr = serving.addr;
  TlsClient client;
  net::Fd fd;
  REQUIRE(Ask(addr, client, fd).find("HTTP/1.1 200") == 0);
  CHECK_FALSE(client.ended());
  // Its last word is taken as its end: the connection ends, with ours.
  std::string told, came;
  net::WriteAll(fd, client.Close(), kPatience);
  while (net::ReadSome(fd, came, kPatience) == net::Io::kOk) {
  }
  // Every answer after which the connection ends is followed by the last word.
  TlsClient other;
  net::Fd second;
  REQUIRE(Ask(addr, other, second).find("HTTP/1.1 200") == 0);
  net::WriteAll(second, other.Say("nonsense\r\n\r\n"), kPatience);
  while (!other.ended()) {
    came.clear();
    REQUIRE(net::ReadSome(second, came, kPatience) == net::Io::kOk);
    other.Step(came, told);
  }
  CHECK(told.find("HTTP/1.1 400") == 0);
}
