// Statements for the clients of a scenario: queries, tokens, certificates.
#include <ctime>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "scenario/player.h"
#include "scenario/scenario.h"
#include "scenario/text.h"

namespace liftrudder::tests {

using Json = nlohmann::json;

namespace {

constexpr int kDefaultTokenSeconds = 60;

}  // namespace

Connection& Player::Client(const std::string& name) {
  Peer& client = clients_[name];
  if (!client.connections.empty() && !client.connections.back().ended) return client.connections.back();
  Connection& connection = client.connections.emplace_back();
  connection.fd = net::Connect(program_address_, kWriteTimeoutUs);
  if (!connection.fd.Valid()) throw ScenarioError("cannot connect to the program");
  connection.wire = WireKind::kHttp;
  connection.http = std::make_unique<net::HttpParser>(net::HttpParser::Kind::kResponse);
  if (config_.contains("tls") && !name.starts_with("raw")) {
    const auto certificate = client_certificates_.find(name);
    const IssuedCertificate* presented =
        certificate == client_certificates_.end() ? nullptr : &certificate->second;
    connection.tls = std::make_unique<TlsClient>(TLS1_3_VERSION, presented);
    Handshake(connection);
  }
  return connection;
}

void Player::Query(const Statement& statement) {
  std::istringstream words(statement.arguments);
  std::string call_id;
  std::string class_name;
  std::string timeout;
  std::string shard_list;
  std::string key;
  words >> call_id >> class_name >> timeout >> shard_list >> key;
  std::vector<int> shards;
  std::istringstream list(shard_list);
  for (std::string shard; std::getline(list, shard, ',');) shards.push_back(std::stoi(shard));
  Json body = {{"tablets", Json::array()}, {"statement", "st-" + call_id}};
  for (int shard : shards) {
    body["tablets"].push_back({{"tablet", shard}, {"fraction", 1.0 / static_cast<double>(shards.size())}});
  }
  std::string headers = QueryHeaders(call_id, class_name, timeout);
  if (!key.empty()) headers += "Idempotency-Key: " + key + "\r\n";
  Write(Client(statement.subject), HttpRequest("POST", "/api", headers, body.dump()));
}

void Player::Post(const Statement& statement) {
  std::istringstream words(statement.arguments);
  std::string call_id;
  std::string body;
  words >> call_id;
  std::getline(words >> std::ws, body);
  Write(Client(statement.subject), HttpRequest("POST", "/api", QueryHeaders(call_id, "whole", "8"), body));
}

std::string Player::HttpText(const Statement& statement) {
  std::istringstream words(statement.arguments);
  std::string method;
  std::string target;
  std::string body;
  words >> method >> target;
  std::getline(words >> std::ws, body);
  const std::string& headers = authorization_headers_[statement.subject];
  return HttpRequest(method, Unescape(target), headers, Unescape(body));
}

void Player::Http(const Statement& statement) { Write(Client(statement.subject), HttpText(statement)); }

void Player::BeginHttp(const Statement& statement) {
  std::string text = HttpText(statement);
  last_bytes_[statement.subject] = text.substr(text.size() - 1);
  text.pop_back();
  Write(Client(statement.subject), text);
}

void Player::CompleteHttp(const Statement& statement) {
  Write(Client(statement.subject), last_bytes_.at(statement.subject));
}

const Signer& Player::SignerFor(const std::string& kid) {
  // Alternates between EdDSA and ES256.
  return signers_.try_emplace(kid, signers_.size() % 2 == 1).first->second;
}

void Player::ReplaceFile(const std::string& name, const std::string& text) const {
  const std::string path = directory_ + "/" + name;
  std::ofstream(path + ".new") << text;
  std::filesystem::rename(path + ".new", path);
}

// Each word is KID or KID:STATE; the first one is the statement's subject.
void Player::WriteKeys(const Statement& statement) {
  Json keys = Json::array();
  std::istringstream words(statement.subject + " " + statement.arguments);
  for (std::string word; words >> word;) {
    const std::string kid = word.substr(0, word.find(':'));
    keys.push_back(SignerFor(kid).Jwk(kid));
    if (kid != word) keys.back()["state"] = word.substr(kid.size() + 1);
  }
  ReplaceFile("keys.json", Json{{"keys", keys}}.dump());
}

// The key need not be in any key set: a token with an unknown key is a valid test input.
void Player::SetToken(const Statement& statement) {
  std::istringstream words(statement.arguments);
  std::string kid;
  std::string tenant;
  std::int64_t lifetime_s = kDefaultTokenSeconds;
  words >> kid >> tenant >> lifetime_s;
  const std::int64_t now_s = std::time(nullptr);
  const Json claims = {{"iss", "issuer"},   {"aud", "gatherer"}, {"exp", now_s + lifetime_s},
                       {"nbf", now_s - 60}, {"tenant", tenant},  {"sub", "caller of " + tenant}};
  authorization_headers_[statement.subject] =
      "Authorization: Bearer " + SignerFor(kid).Token(kid, claims) + "\r\n";
}

void Player::WriteTls(const Statement& statement) {
  const std::string& name = statement.subject;
  const IssuedCertificate server = server_issuer_.Issue(name, "DNS:" + name, "serverAuth");
  std::vector<IssuedCertificate> revoked;
  std::istringstream words(statement.arguments);
  for (std::string client; words >> client;) revoked.push_back(client_certificates_.at(client));
  ReplaceFile("cert.pem", server.CertificatePem());
  ReplaceFile("key.pem", server.KeyPem());
  ReplaceFile("clients.pem", client_issuer_.Pem());
  ReplaceFile("revoked.pem", client_issuer_.RevocationListPem(revoked));
}

void Player::SetCertificate(const Statement& statement) {
  const std::string& client = statement.subject;
  client_certificates_.insert_or_assign(client,
                                        client_issuer_.Issue(client, statement.arguments, "clientAuth"));
}

}  // namespace liftrudder::tests
