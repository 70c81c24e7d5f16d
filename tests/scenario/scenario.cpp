#include "scenario/scenario.h"

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <deque>
#include <filesystem>
#include <fstream>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

#include "dns/zone.h"
#include "net/http.h"
#include "net/socket.h"
#include "support/token_issuer.h"
#include "support/token_signer.h"

namespace liftrudder::tests {
namespace {

using net::Fd;
using net::HttpParser;

// Generous: it ends a test that hangs, and decides nothing in one that does not.
constexpr auto kPatience = std::chrono::seconds(20);

Json Grade(const char* name, const char* effect) {
  return {{"name", name}, {"aimUs", 2000000}, {"giveUpUs", 10000000},      {"lateShare", 0.3},
          {"value", 1.0}, {"effect", effect}, {"repeatWindowUs", 5000000}, {"dedupScope", "all"}};
}

Json Configuration() {
  Json settings = {
      {"az", 0},
      {"groupSize", 1},
      {"ordinal", 0},
      {"resolutionUs", 5000},
      {"dcs", {"dc1"}},
      {"kinds", {"k"}},
      {"registryMode", "automatic"},
      {"loadInfo", {{"how", "inline"}, {"names", {"q", "rif"}}}},
      {"grades", {Grade("part", "idempotent"), Grade("whole", "idempotent"), Grade("keyed", "deduplicated")}},
      {"familyInfo",
       {{"cells", 2},
        {"reach", 1},
        {"slices", 2},
        {"perCall", 1},
        {"classFetch", {0, 0, 0}},
        {"classFloor", {0.4, 1.0, 1.0}},
        {"wholeAt", {1.0, 1.0, 1.0}},
        {"incompleteWorth", {0.95, 0.9, 0.9}}}},
      {"bounds",
       {{"attemptsCap", 3},
        {"cancelling", true},
        {"connectTimeoutUs", 250000},
        {"idleCloseUs", 30000000},
        {"maxOpen", 100},
        {"maxRetryAfterUs", 500000},
        {"probes", true},
        {"retryAfter", true},
        {"secondCopies", true},
        {"streamsPerConn", 100}}},
      {"rules", {{"graceToAnswerUs", 20000}, {"stopSendingWithinUs", 1000000}}}};
  return {{"name", "n1"},
          {"seed", "8c1f30d27a5be964"},
          {"limits", {{"sockets", 1024}, {"memory_mb", 192}}},
          {"settings", settings},
          {"opensearch",
           {{"result_window", 100},
            {"indices",
             {{"lessons",
               {{"class", "part"}, {"whole_class", "whole"}, {"shards", {0, 1}}, {"weights", {3, 1}}}}}}}}};
}

std::string Plain(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '\\' || i + 1 >= text.size()) {
      out += text[i];
      continue;
    }
    char c = text[++i];
    if (c == 'x') {
      out += static_cast<char>(std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16));
      i += 2;
    } else {
      out += c == 'r' ? '\r' : c == 'n' ? '\n' : c;
    }
  }
  return out;
}

// A glob with nothing but stars, since messages are full of brackets.
bool Matches(std::string_view glob, std::string_view text) {
  auto star = glob.find('*');
  if (star == std::string_view::npos) return glob == text;
  if (text.substr(0, star) != glob.substr(0, star)) return false;
  for (std::size_t at = star; at <= text.size(); ++at) {
    if (Matches(glob.substr(star + 1), text.substr(at))) return true;
  }
  return false;
}

std::string Framed(const std::string& rest) {
  std::string out;
  for (int shift = 0; shift < 32; shift += 8) out += static_cast<char>(rest.size() >> shift & 0xff);
  return out + rest;
}

struct Line {
  Fd fd;
  std::string in;
  std::unique_ptr<HttpParser> http;  // none: frames, or DNS messages
  std::unique_ptr<TlsClient> tls;    // none: as it is
  bool dns = false;
  bool ended = false;
};

struct Peer {
  Fd listener;
  std::string addr;
  int cell = 0;
  std::list<Line> lines;
  std::deque<std::pair<Line*, std::string>> came;
  Line* last = nullptr;                // whose message was expected last
  std::map<std::string, Line*> asked;  // where a part was asked for last, by its id
};

class Player {
 public:
  explicit Player(std::string program) : program_(std::move(program)), config_(Configuration()) {
    char name[] = "/tmp/scenario-XXXXXX";
    directory_ = ::mkdtemp(name);
    discovery_.listener = net::Listen("127.0.0.1:0");
    config_["discovery"] = net::LocalAddress(discovery_.listener);
    config_["listen"] = "127.0.0.1:0";
    config_["known"] = {{"version", version_}, {"full", true}, {"servers", Json::array()}};
  }
  ~Player() {
    if (child_ > 0) {
      ::kill(child_, SIGKILL);
      ::waitpid(child_, nullptr, 0);
    }
    std::filesystem::remove_all(directory_);
  }

  void Do(const std::string& text) {
    std::istringstream in(text);
    std::string verb, who, rest;
    in >> verb >> who;
    std::getline(in >> std::ws, rest);
    for (const auto& [name, value] : kept_) {
      for (auto at = rest.find("$" + name); at != std::string::npos; at = rest.find("$" + name))
        rest.replace(at, name.size() + 1, value);
    }
    std::istringstream words(rest);
    if (verb == "set") {
      config_[Json::json_pointer(who)] = Json::parse(rest);
    } else if (verb == "holder") {
      Endpoint(who, words);
    } else if (verb == "start") {
      Start(who);
    } else if (verb == "query") {
      Query(who, words);
    } else if (verb == "http") {
      std::string method, target, body;
      words >> method >> target;
      std::getline(words >> std::ws, body);
      Write(Client(who), Request(method, target, bearers_[who], Plain(body)));
    } else if (verb == "keys") {
      WriteKeys(who, words);
    } else if (verb == "token") {
      Bear(who, words);
    } else if (verb == "tls") {
      WriteTls(who, words);
    } else if (verb == "certificate") {
      shown_.insert_or_assign(who, client_issuer_.Issue(who, rest, "clientAuth"));
    } else if (verb == "finished") {
      Peer& peer = Find(who);
      Until([&] { return !peer.lines.empty() && peer.lines.back().ended; }, "the connection stays open");
      if (!peer.lines.back().tls->ended()) throw std::runtime_error("it was cut, without a last word");
    } else if (verb == "send") {
      bool endpoint = endpoints_.contains(Name(who));
      Write(endpoint ? Asked(endpoints_.at(Name(who)), rest) : Client(who),
            endpoint ? Framed(Plain(rest)) : Plain(rest));
    } else if (verb == "bytes") {
      Write(*endpoints_.at(Name(who)).last, Plain(rest));
    } else if (verb == "post") {
      std::string id;
      words >> id;
      std::getline(words >> std::ws, rest);
      Write(Client(who), Request("POST", "/api", Headers(id, "whole", "8"), rest));
    } else if (verb == "flood") {
      std::size_t size = 0;
      words >> size;
      std::getline(words >> std::ws, rest);
      Write(Client(who), Plain(rest) + std::string(size, 'x'));
    } else if (verb == "reply") {
      int status = 0;
      words >> status;
      std::getline(words >> std::ws, rest);
      net::HttpResponse response;
      response.status = status;
      response.body = rest;
      Write(*endpoints_.at(Name(who)).last, net::Format(response, false));
    } else if (verb == "zone") {
      WriteZone();
    } else if (verb == "update") {
      Update(who, rest);
    } else if (verb == "deny" || verb == "stall") {
      denials_.emplace_back(Plain(rest), verb == "stall");
    } else if (verb == "log") {
      Until([&] { return log_.find(rest) != std::string::npos; }, "the log does not say so");
      if (log_.find(rest) != log_.rfind(rest)) throw std::runtime_error("said more than once:\n" + log_);
    } else if (verb == "list") {
      Tell(who, rest);
    } else if (verb == "indented") {
      TellIndented(who, words);
    } else if (verb == "expect") {
      Expect(who, rest);
    } else if (verb == "ended") {
      Peer& peer = Find(who);
      Until([&] { return !peer.lines.empty() && peer.lines.back().ended; }, "the connection stays open");
    } else if (verb == "quiet") {
      if (!Find(who).came.empty()) throw std::runtime_error("came: " + Find(who).came.front().second);
    } else if (verb == "keep") {
      Keep(who, words);
    } else if (verb == "close" || verb == "reset" || verb == "dead") {
      Cut(Find(who), verb);
    } else if (verb == "signal") {
      ::kill(child_, SIGTERM);
      Until([&] { return log_.find("shutting down") != std::string::npos; }, "the program heeds no signal");
    } else if (verb == "reload") {
      Reload(who == "bad");
    } else if (verb == "wait" && who == "exit") {
      WaitExit();
    } else if (verb == "until") {
      Counters(text.substr(6));
    } else {
      throw std::runtime_error("no such statement");
    }
  }

  // However the scenario left it, the program ends when told to, without a crash or a sanitizer's report.
  void End() {
    if (child_ <= 0) return;
    for (auto& [name, peer] : clients_) Cut(peer, "close");
    ::kill(child_, SIGTERM);
    WaitExit();
    Until([&] { return !log_fd_.Valid(); }, "the log does not end");
    if (log_.find("Sanitizer") != std::string::npos) throw std::runtime_error(log_);
  }

 private:
  std::string Name(const std::string& who) const {
    auto found = aliases_.find(who);
    return found == aliases_.end() ? who : found->second;
  }
  Peer& Find(const std::string& who) {
    auto endpoint = endpoints_.find(Name(who));
    return endpoint == endpoints_.end() ? clients_[who] : endpoint->second;
  }

  void Endpoint(const std::string& name, std::istringstream& words) {
    Peer& peer = endpoints_[name];
    std::string state;
    words >> peer.cell >> state;
    peer.listener = net::Listen("127.0.0.1:0");
    peer.addr = net::LocalAddress(peer.listener);
    if (state == "dead") peer.listener = Fd();
    config_["known"]["servers"].push_back(Entry(name, "ready"));
    if (child_ > 0) Tell(name, "ready");
  }

  Json Entry(const std::string& name, const std::string& state) {
    const Peer& peer = endpoints_.at(name);
    return {{"id", name},        {"addr", peer.addr}, {"zone", "dc1"}, {"kind", "k"},
            {"cell", peer.cell}, {"state", state},    {"weight", 1.0}, {"started_ms", 0}};
  }

  static std::string Port(const Peer& peer) { return peer.addr.substr(peer.addr.find(':') + 1); }

  void WriteZone() {
    std::string path = directory_ + "/holders.zone";
    std::ofstream out(path);
    out << "$ORIGIN z.\n$TTL 30\n@ IN SOA ns root ( 1 2 3 ; serial\n 4 5 )\n";
    for (const auto& [name, peer] : endpoints_) {
      out << "_search._tcp SRV 0 1 " << Port(peer) << " " << name << "\n"
          << name << " A 127.0.0.1\n TXT \"cell=" << peer.cell << "\"\n";
    }
    config_["discovery"] = "";
    config_["opensearch"]["zone"] = {
        {"file", path}, {"service", "_search._tcp.z."}, {"update_listen", "127.0.0.1:0"}};
  }

  void Update(const std::string& who, const std::string& what) {
    bool add = what.starts_with("add ");
    std::string name = Name(what.substr(what.find(' ') + 1));
    const Peer& endpoint = endpoints_.at(name);
    auto two = [](int value) {
      return std::string{static_cast<char>(value >> 8), static_cast<char>(value & 0xff)};
    };
    auto record = [&](const std::string& owner, int type, const std::string& data) {
      return *dns::WireName(owner) + two(type) + two(add ? dns::kClassIn : dns::kClassNone) + two(0) +
             two(0) + two(static_cast<int>(data.size())) + data;
    };
    std::string srv = two(0) + two(1) + two(std::stoi(Port(endpoint))) + *dns::WireName(name + ".z.");
    std::string all = record("_search._tcp.z.", dns::kTypeSrv, srv);
    std::string text = "cell=" + std::to_string(endpoint.cell);
    text.insert(0, 1, static_cast<char>(text.size()));
    if (add)
      all += record(name + ".z.", dns::kTypeA, std::string("\x7f\0\0\1", 4)) +
             record(name + ".z.", dns::kTypeTxt, text);
    std::string message = two(77) + two(5 << 11) + two(1) + two(0) + two(add ? 3 : 1) + two(0) +
                          *dns::WireName("z.") + two(dns::kTypeSoa) + two(dns::kClassIn) + all;
    Peer& peer = clients_[who];
    if (peer.lines.empty()) {
      Line& line = peer.lines.emplace_back();
      line.dns = true;
      line.fd = net::Connect(Logged("takes DNS updates at "), 5'000'000);
    }
    Write(peer.lines.back(), two(static_cast<int>(message.size())) + message);
  }

  void Tell(const std::string& who, const std::string& state) {
    Until([&] { return !discovery_.lines.empty(); }, "no watch");
    Json line = {{"version", ++version_}, {"full", false}, {"servers", {Entry(Name(who), state)}}};
    Say(line.dump());
  }

  void Say(const std::string& list) {
    std::string text = list + "\n";
    std::ostringstream chunk;
    chunk << std::hex << text.size() << "\r\n" << text << "\r\n";
    Write(discovery_.lines.back(), chunk.str());
    told_ = std::chrono::steady_clock::now();
  }

  // The whole list with one entry changed, indented, and `others` more of no use here.
  void TellIndented(const std::string& who, std::istringstream& words) {
    Until([&] { return !discovery_.lines.empty(); }, "no watch");
    std::string state;
    int others = 0;
    words >> state >> others;
    Json all = Json::array();
    for (const auto& [name, peer] : endpoints_)
      all.push_back(Entry(name, name == Name(who) ? state : "ready"));
    for (int i = 0; i < others; ++i) {
      Json entry = all.front();
      entry["id"] = "other-" + std::string(40, 'x') + std::to_string(i);
      entry["cell"] = 1;
      entry["state"] = "draining";
      all.push_back(entry);
    }
    Say("\n\n" + Json{{"version", ++version_}, {"full", true}, {"servers", all}}.dump(2) + "\n");
  }

  void WriteConfig(const std::string& text) { std::ofstream(directory_ + "/config.json") << text; }

  void Reload(bool bad) {
    std::list<Line> old;
    if (!bad) {
      discovery_.listener = net::Listen("127.0.0.1:0");
      config_["discovery"] = net::LocalAddress(discovery_.listener);
      old.swap(discovery_.lines);
    }
    WriteConfig(bad ? "{" : config_.dump());
    ::kill(child_, SIGHUP);
    if (bad)
      return Until([&] { return log_.find("the old settings stay") != std::string::npos; }, "not reread");
    Until([&] { return !discovery_.lines.empty(); }, "the watch does not move");
  }

  void Start(const std::string& mode) {
    search_ = mode == "search";
    std::string path = directory_ + "/config.json";
    WriteConfig(config_.dump());
    int ends[2];
    if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, ends) != 0)
      throw std::runtime_error("no socket pair");
    child_ = ::fork();
    if (child_ == 0) {
      ::dup2(ends[1], STDERR_FILENO);
      ::setenv("BALANCER_CONFIG", path.c_str(), 1);
      if (search_) ::execl(program_.c_str(), "liftrudder", "--opensearch", path.c_str(), nullptr);
      ::execl(program_.c_str(), "liftrudder", nullptr);
      ::_exit(127);
    }
    ::close(ends[1]);
    log_fd_ = Fd(ends[0]);
    // The ports are the kernel's choice; the program's log tells them.
    Until([&] { return !Logged("listens on ").empty(); }, "the program does not listen");
    address_ = Logged("listens on ");
    if (config_["discovery"] == "") return;
    Until([&] { return !discovery_.lines.empty() || !stalled_.empty(); },
          "the program does not watch discovery");
  }

  // The word after this in a whole line of the log.
  std::string Logged(const std::string& mark) const {
    auto at = log_.find(mark);
    auto end = at == std::string::npos ? at : log_.find('\n', at);
    return end == std::string::npos ? "" : log_.substr(at + mark.size(), end - at - mark.size());
  }

  std::string Request(const std::string& method, const std::string& target, const std::string& headers,
                      const std::string& body) {
    return method + " " + target + " HTTP/1.1\r\nHost: t\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  static std::string Headers(const std::string& id, const std::string& grade, const std::string& budget) {
    return "X-Call-Id: " + id + "\r\nX-Call-Class: " + grade + "\r\nX-Budget: " + budget + "\r\n";
  }

  void Query(const std::string& who, std::istringstream& words) {
    std::string id, grade, budget, shards, key;
    words >> id >> grade >> budget >> shards >> key;
    Json body = {{"tablets", Json::array()}, {"statement", "st-" + id}};
    std::istringstream list(shards);
    std::vector<std::string> all;
    for (std::string shard; std::getline(list, shard, ',');) all.push_back(shard);
    for (const std::string& shard : all)
      body["tablets"].push_back(
          {{"tablet", std::stoi(shard)}, {"fraction", 1.0 / static_cast<double>(all.size())}});
    std::string headers = Headers(id, grade, budget);
    if (!key.empty()) headers += "Idempotency-Key: " + key + "\r\n";
    Write(Client(who), Request("POST", "/api", headers, body.dump()));
  }

  // An answer goes where its part was asked for, anything else where the last message came from.
  static Line& Asked(Peer& peer, const std::string& frame) {
    auto found = peer.asked.find(frame.substr(1, frame.find(' ') - 1));
    return frame.starts_with('a') && found != peer.asked.end() ? *found->second : *peer.last;
  }

  Line& Client(const std::string& who) {
    Peer& peer = clients_[who];
    if (peer.lines.empty() || peer.lines.back().ended) {
      Line& line = peer.lines.emplace_back();
      line.fd = net::Connect(address_, 5'000'000);
      if (!line.fd.Valid()) throw std::runtime_error("cannot connect");
      line.http = std::make_unique<HttpParser>(HttpParser::Kind::kResponse);
      if (config_.contains("tls") && !who.starts_with("raw")) {
        auto shows = shown_.find(who);
        line.tls =
            std::make_unique<TlsClient>(TLS1_3_VERSION, shows == shown_.end() ? nullptr : &shows->second);
        Shake(line);
      }
    }
    return peer.lines.back();
  }

  void Shake(Line& line) {
    std::string came;
    while (SSL_is_init_finished(line.tls->raw()) == 0) {
      std::string out = line.tls->Step(came, line.in);
      if (!out.empty()) net::WriteAll(line.fd, out, 5'000'000);
      came.clear();
      if (SSL_is_init_finished(line.tls->raw()) == 0 &&
          net::ReadSome(line.fd, came, 5'000'000) != net::Io::kOk)
        throw std::runtime_error("no handshake");
    }
  }

  void Write(Line& line, const std::string& said) {
    const std::string bytes = line.tls ? line.tls->Say(said) : said;
    if (net::WriteAll(line.fd, bytes, 5'000'000).status != net::Io::kOk)
      throw std::runtime_error("the connection takes nothing");
  }

  void Expect(const std::string& who, const std::string& glob) {
    Peer* peer = nullptr;
    std::string name = who;
    if (who == "any" || who == "other") {
      Until(
          [&] {
            for (auto& [endpoint, one] : endpoints_) {
              bool fits = who == "any" || endpoint != Name("it");
              if (fits && !one.came.empty()) name = endpoint;
            }
            return name != who;
          },
          "nothing came at a holder");
      aliases_[who == "any" ? "it" : "other"] = name;
      peer = &endpoints_.at(name);
    } else {
      peer = &Find(who);
      Until([&] { return !peer->came.empty(); }, "nothing came");
    }
    auto [line, text] = peer->came.front();
    peer->came.pop_front();
    peer->last = line;
    if (text.starts_with('q')) peer->asked[text.substr(1, text.find(' ') - 1)] = line;
    last_ = text;
    if (!Matches(Plain(glob), text)) throw std::runtime_error("came: " + text);
  }

  void Keep(const std::string& name, std::istringstream& words) {
    std::string prefix, suffix;
    words >> prefix >> suffix;
    auto from = last_.find(prefix);
    if (from == std::string::npos) throw std::runtime_error("not in: " + last_);
    from += prefix.size();
    kept_[name] = last_.substr(from, last_.find(suffix, from) - from);
  }

  // KID:STATE each; put in place by renaming, as the operators' page says.
  void WriteKeys(std::string word, std::istringstream& words) {
    Json keys = Json::array();
    do {
      std::string kid = word.substr(0, word.find(':'));
      keys.push_back(signers_.try_emplace(kid, signers_.size() % 2 == 1).first->second.Jwk(kid));
      if (kid != word) keys.back()["state"] = word.substr(kid.size() + 1);
    } while (words >> word);
    std::ofstream(directory_ + "/keys.new") << Json{{"keys", keys}};
    std::filesystem::rename(directory_ + "/keys.new", directory_ + "/keys.json");
  }

  // What the configuration of TLS names, put in place by renaming; `words`: whose certificates are taken
  // back.
  void WriteTls(const std::string& name, std::istringstream& words) {
    Issued server = server_issuer_.Issue(name, "DNS:" + name, "serverAuth");
    std::vector<Issued> revoked;
    for (std::string who; words >> who;) revoked.push_back(shown_.at(who));
    for (const auto& [file, text] : {std::pair<std::string, std::string>("cert", server.CertificatePem()),
                                     {"key", server.KeyPem()},
                                     {"clients", client_issuer_.Pem()},
                                     {"revoked", client_issuer_.Revoked(revoked)}}) {
      std::ofstream(directory_ + "/" + file + ".new") << text;
      std::filesystem::rename(directory_ + "/" + file + ".new", directory_ + "/" + file + ".pem");
    }
  }

  // `who` carries this token from now on; `kid` may be one that no key set has had.
  void Bear(const std::string& who, std::istringstream& words) {
    std::string kid, tenant;
    std::int64_t lasts = 60;
    words >> kid >> tenant >> lasts;
    std::int64_t now = std::time(nullptr);
    Json claims = {{"iss", "issuer"}, {"aud", "gatherer"}, {"exp", now + lasts},
                   {"nbf", now - 60}, {"tenant", tenant},  {"sub", "caller of " + tenant}};
    const Signer& signer = signers_.try_emplace(kid, signers_.size() % 2 == 1).first->second;
    bearers_[who] = "Authorization: Bearer " + signer.Token(kid, claims) + "\r\n";
  }

  void Cut(Peer& peer, const std::string& how) {
    for (Line& line : peer.lines) {
      linger hard{1, 0};
      if (how != "close") ::setsockopt(line.fd.Get(), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
      line.fd = Fd();
      line.ended = true;
    }
    if (how == "dead") peer.listener = Fd();
  }

  void WaitExit() {
    int status = 0;
    Until([&] { return ::waitpid(child_, &status, WNOHANG) == child_; }, "the program does not end");
    child_ = 0;
    if (!WIFEXITED(status) || WEXITSTATUS(status) != 0)
      throw std::runtime_error("the program crashed:\n" + log_);
  }

  void Counters(const std::string& glob) {
    std::string seen;
    Until(
        [&] {
          Peer& peer = clients_["#counters"];
          if (!peer.came.empty()) {
            seen = peer.came.front().second;
            peer.came.pop_front();
          } else if (seen.empty() || !Matches(glob, seen)) {
            if (peer.lines.empty() || !asked_)
              Write(Client("#counters"), Request("GET", "/-/metrics", "", ""));
            asked_ = true;
            return false;
          }
          asked_ = false;
          return Matches(glob, seen);
        },
        "the counters do not come to match");
  }

  // Serves all sockets until the condition holds.
  template <typename Condition>
  void Until(Condition&& holds, const char* otherwise) {
    auto end = std::chrono::steady_clock::now() + kPatience;
    while (!holds()) {
      if (std::chrono::steady_clock::now() > end)
        throw std::runtime_error(std::string(otherwise) + "\n" + log_);
      Pump();
    }
  }

  void Pump() {
    std::vector<pollfd> fds;
    std::vector<std::function<void()>> actions;
    auto add = [&](const Fd& fd, std::function<void()> action) {
      if (!fd.Valid()) return;
      fds.push_back({fd.Get(), POLLIN, 0});
      actions.push_back(std::move(action));
    };
    auto add_peer = [&](Peer& peer, bool discovery, bool frames) {
      if (peer.listener.Valid()) {
        add(peer.listener, [this, &peer, discovery, frames] { Admit(peer, discovery, frames); });
      }
      for (Line& line : peer.lines) {
        if (!line.ended) add(line.fd, [this, &peer, &line] { Read(peer, line); });
      }
    };
    add_peer(discovery_, true, false);
    for (auto& [name, peer] : endpoints_) add_peer(peer, false, !search_);
    for (auto& [name, peer] : clients_) add_peer(peer, false, false);
    add(log_fd_, [this] {
      if (net::ReadSome(log_fd_, log_, 0) == net::Io::kEnd) log_fd_ = Fd();
    });
    if (::poll(fds.data(), fds.size(), 20) <= 0) Beat();
    for (std::size_t i = 0; i < fds.size(); ++i) {
      if (fds[i].revents != 0) actions[i]();
    }
  }

  void Beat() {
    if (discovery_.lines.empty() || std::chrono::steady_clock::now() - told_ < std::chrono::seconds(1))
      return;
    told_ = std::chrono::steady_clock::now();
    if (!discovery_.lines.back().ended) net::WriteAll(discovery_.lines.back().fd, "1\r\n\n\r\n", 0);
  }

  void Admit(Peer& peer, bool discovery, bool frames) {
    Line& line = peer.lines.emplace_back();
    line.fd = net::Accept(peer.listener, 0);
    if (!frames) line.http = std::make_unique<HttpParser>(HttpParser::Kind::kRequest);
    if (discovery && !denials_.empty()) {
      auto [text, stall] = denials_.front();
      denials_.pop_front();
      net::WriteAll(line.fd, text, 0);
      if (stall) stalled_.push_back(std::move(line.fd));
      peer.lines.pop_back();
    } else if (discovery) {
      net::WriteAll(line.fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", 0);
    }
  }

  void Read(Peer& peer, Line& line) {
    std::string sealed;
    net::Io got = net::ReadSome(line.fd, line.tls ? sealed : line.in, 0);
    if (line.tls) net::WriteAll(line.fd, line.tls->Step(sealed, line.in), 0);
    if (got == net::Io::kEnd || got == net::Io::kError) line.ended = true;
    if (&peer == &discovery_) return;
    while (true) {
      if (line.dns) {
        if (line.in.size() < 14) return;
        peer.came.emplace_back(&line, "rcode " + std::to_string(line.in[5] & 0xf));
        line.in.erase(0, 14);
        continue;
      }
      if (!line.http) {
        std::size_t size = 0;
        for (std::size_t i = 4; i-- > 0 && line.in.size() >= 4;)
          size = size << 8 | static_cast<unsigned char>(line.in[i]);
        if (line.in.size() < 4 || line.in.size() - 4 < size) return;
        peer.came.emplace_back(&line, line.in.substr(4, size));
        line.in.erase(0, 4 + size);
        continue;
      }
      if (line.http->Feed(line.in) != HttpParser::State::kDone) return;
      net::HttpMessage& message = line.http->message();
      std::string text =
          message.status > 0 ? std::to_string(message.status) : message.method + " " + message.target;
      for (const char* name : {"Retry-After", "Connection"}) {
        if (const std::string* value = message.Header(name)) text += std::string(" ") + name + ":" + *value;
      }
      peer.came.emplace_back(&line, text + " " + message.body);
      line.http = std::make_unique<HttpParser>(message.status > 0 ? HttpParser::Kind::kResponse
                                                                  : HttpParser::Kind::kRequest);
    }
  }

  std::string program_, directory_, address_, log_, last_;
  std::deque<std::pair<std::string, bool>> denials_;  // what is written, and whether the connection stays
  std::vector<Fd> stalled_;
  Json config_;
  std::uint64_t version_ = 1;
  bool search_ = false, asked_ = false;
  pid_t child_ = 0;
  Fd log_fd_;
  Peer discovery_;
  std::map<std::string, Peer> endpoints_, clients_;
  std::map<std::string, std::string> aliases_, kept_;
  std::map<std::string, Signer> signers_;  // by kid
  Issuer server_issuer_{"servers"}, client_issuer_{"clients"};
  std::map<std::string, Issued> shown_;         // the certificate that a client shows
  std::map<std::string, std::string> bearers_;  // the header line that a client's requests carry
  std::chrono::steady_clock::time_point told_;
};

}  // namespace

void Play(const std::string& program, const std::string& scenario) {
  ::signal(SIGPIPE, SIG_IGN);
  Player player(program);
  std::istringstream lines(scenario);
  std::string line;
  for (int number = 1; std::getline(lines, line); ++number) {
    if (line.empty() || line.front() == '#') continue;
    try {
      player.Do(line);
    } catch (const std::exception& error) {
      throw std::runtime_error("line " + std::to_string(number) + ": " + line + "\n" + error.what());
    }
  }
  player.End();
}

}  // namespace liftrudder::tests
