// Statements for fake endpoints and for the discovery, zone file and DNS updates that announce them.
#include <fstream>
#include <sstream>

#include "dns/zone.h"
#include "scenario/player.h"
#include "scenario/scenario.h"
#include "scenario/text.h"

namespace liftrudder::tests {

using Json = nlohmann::json;

namespace {

constexpr char kZone[] = "z.";
constexpr char kZoneService[] = "_search._tcp.z.";
constexpr int kUpdateId = 77;
constexpr int kUpdateOpcode = 5 << 11;

std::string PortText(const Peer& peer) { return peer.address.substr(peer.address.find(':') + 1); }

std::string TwoBytes(int value) {
  return std::string{static_cast<char>(value >> 8), static_cast<char>(value & 0xff)};
}

std::string DnsRecord(const std::string& owner, int type, bool add, const std::string& data) {
  const int record_class = add ? dns::kClassIn : dns::kClassNone;
  const std::string ttl = TwoBytes(0) + TwoBytes(0);
  return *dns::WireName(owner) + TwoBytes(type) + TwoBytes(record_class) + ttl +
         TwoBytes(static_cast<int>(data.size())) + data;
}

std::string DnsUpdate(const std::string& name, const Peer& endpoint, bool add) {
  const std::string owner = name + "." + kZone;
  const std::string srv =
      TwoBytes(0) + TwoBytes(1) + TwoBytes(std::stoi(PortText(endpoint))) + *dns::WireName(owner);
  std::string records = DnsRecord(kZoneService, dns::kTypeSrv, add, srv);
  if (add) {
    std::string text = "cell=" + std::to_string(endpoint.cell);
    text.insert(0, 1, static_cast<char>(text.size()));
    records += DnsRecord(owner, dns::kTypeA, add, std::string("\x7f\0\0\1", 4)) +
               DnsRecord(owner, dns::kTypeTxt, add, text);
  }
  const int record_count = add ? 3 : 1;
  const std::string header = TwoBytes(kUpdateId) + TwoBytes(kUpdateOpcode) + TwoBytes(1) + TwoBytes(0) +
                             TwoBytes(record_count) + TwoBytes(0);
  const std::string zone = *dns::WireName(kZone) + TwoBytes(dns::kTypeSoa) + TwoBytes(dns::kClassIn);
  return header + zone + records;
}

}  // namespace

void Player::AddEndpoint(const Statement& statement) {
  const std::string& name = statement.subject;
  Peer& peer = endpoints_[name];
  std::istringstream words(statement.arguments);
  std::string state;
  words >> peer.cell >> state;
  peer.listener = net::Listen("127.0.0.1:0");
  peer.address = net::LocalAddress(peer.listener);
  if (state == "dead") peer.listener = net::Fd();
  if (state == "late") FillBacklog(peer);
  config_["known"]["servers"].push_back(EndpointEntry(name, "ready"));
  if (child_ > 0) SendEndpointUpdate(name, "ready");
}

void Player::AdmitConnections(const Statement& statement) {
  FindEndpoint(statement.subject).backlog_fillers.clear();
}

Json Player::EndpointEntry(const std::string& name, const std::string& state) const {
  const Peer& peer = endpoints_.at(name);
  return {{"id", name},        {"addr", peer.address}, {"zone", "dc1"}, {"kind", "k"},
          {"cell", peer.cell}, {"state", state},       {"weight", 1.0}, {"started_ms", 0}};
}

void Player::WriteZone(const Statement& /*statement*/) {
  const std::string path = directory_ + "/endpoints.zone";
  std::ofstream file(path);
  file << "$ORIGIN z.\n$TTL 30\n@ IN SOA ns root ( 1 2 3 ; serial\n 4 5 )\n";
  for (const auto& [name, peer] : endpoints_) {
    file << "_search._tcp SRV 0 1 " << PortText(peer) << " " << name << "\n"
         << name << " A 127.0.0.1\n TXT \"cell=" << peer.cell << "\"\n";
  }
  config_["discovery"] = "";
  config_["opensearch"]["zone"] = {
      {"file", path}, {"service", kZoneService}, {"update_listen", "127.0.0.1:0"}};
}

void Player::SendDnsUpdate(const Statement& statement) {
  const std::string& arguments = statement.arguments;
  const bool add = arguments.starts_with("add ");
  const std::string name = ResolveAlias(arguments.substr(arguments.find(' ') + 1));
  const std::string message = DnsUpdate(name, endpoints_.at(name), add);
  Peer& client = clients_[statement.subject];
  if (client.connections.empty()) {
    Connection& connection = client.connections.emplace_back();
    connection.wire = WireKind::kDns;
    connection.fd = net::Connect(LoggedTextAfter(log_, "accepting DNS updates at "), kWriteTimeoutUs);
  }
  Write(client.connections.back(), TwoBytes(static_cast<int>(message.size())) + message);
}

void Player::SendList(const Statement& statement) {
  SendEndpointUpdate(ResolveAlias(statement.subject), statement.arguments);
}

void Player::SendEndpointUpdate(const std::string& name, const std::string& state) {
  SendEntry(EndpointEntry(name, state));
}

void Player::SendEntry(const Json& entry) {
  WaitUntil([&] { return !discovery_.connections.empty(); }, "the program does not watch discovery");
  const Json list = {{"version", ++list_version_}, {"full", false}, {"servers", Json::array({entry})}};
  WriteToWatch(list.dump());
}

void Player::RestartEndpoint(const Statement& statement) {
  Json entry = EndpointEntry(ResolveAlias(statement.subject), "ready");
  entry["started_ms"] = std::stoll(statement.arguments);
  SendEntry(entry);
}

void Player::TakeOverAddress(const Statement& statement) {
  std::istringstream words(statement.arguments);
  int cell = 0;
  std::string old_name;
  std::int64_t started_ms = 0;
  words >> cell >> old_name >> started_ms;
  Json entry = EndpointEntry(ResolveAlias(old_name), "ready");
  entry["id"] = statement.subject;
  entry["cell"] = cell;
  entry["started_ms"] = started_ms;
  SendEntry(entry);
}

// Sends the full list, indented, with one entry changed and `others` additional draining entries.
void Player::SendIndentedList(const Statement& statement) {
  WaitUntil([&] { return !discovery_.connections.empty(); }, "the program does not watch discovery");
  std::istringstream words(statement.arguments);
  std::string state;
  int others = 0;
  words >> state >> others;
  Json entries = Json::array();
  for (const auto& [name, peer] : endpoints_) {
    entries.push_back(EndpointEntry(name, name == ResolveAlias(statement.subject) ? state : "ready"));
  }
  for (int i = 0; i < others; ++i) {
    Json entry = entries.front();
    entry["id"] = "other-" + std::string(40, 'x') + std::to_string(i);
    entry["cell"] = 1;
    entry["state"] = "draining";
    entries.push_back(entry);
  }
  const Json list = {{"version", ++list_version_}, {"full", true}, {"servers", entries}};
  WriteToWatch("\n\n" + list.dump(2) + "\n");
}

void Player::WriteToWatch(const std::string& list) {
  const std::string text = list + "\n";
  std::ostringstream chunk;
  chunk << std::hex << text.size() << "\r\n" << text << "\r\n";
  Write(discovery_.connections.back(), chunk.str());
  last_watch_write_ = std::chrono::steady_clock::now();
}

void Player::QueueWatchDenial(const Statement& statement) {
  watch_denials_.push_back({Unescape(statement.arguments), statement.verb == "stall"});
}

}  // namespace liftrudder::tests
