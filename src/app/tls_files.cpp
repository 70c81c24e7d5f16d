#include "app/tls_files.h"

#include <fmt/chrono.h>

#include <ctime>
#include <stdexcept>
#include <utility>

#include "app/wire_names.h"
#include "config/config.h"
#include "identity/json_members.h"
#include "identity/strict_json.h"
#include "log/log.h"
#include "net/json.h"

namespace liftrudder::app {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxKeyPairs = 16;
constexpr std::size_t kMaxFileBytes = 1024 * 1024;

std::string ReadBoundedFile(const std::string& path) {
  std::string text = config::ReadFile(path);
  if (text.size() > kMaxFileBytes) throw config::ConfigError(path + " is larger than 1 MiB");
  return text;
}

void ThrowOnError(const identity::JsonMembers& members) {
  if (members.error()) throw config::ConfigError(members.error()->Message());
}

// Throws when a member was invalid or is unknown.
void RejectUnknownMembers(identity::JsonMembers& members) {
  members.RejectUnknown();
  ThrowOnError(members);
}

const Json& KeyPairArray(identity::JsonMembers& members) {
  const Json* pairs = members.Find(wire::kTlsCertificates);
  const bool usable =
      pairs != nullptr && pairs->is_array() && !pairs->empty() && pairs->size() <= kMaxKeyPairs;
  if (!usable) {
    throw config::ConfigError(
        fmt::format("tls: [{}] must be a list of 1 to {} key pairs", wire::kTlsCertificates, kMaxKeyPairs));
  }
  return *pairs;
}

}  // namespace

std::unique_ptr<TlsFiles> TlsFiles::Open(const std::string& operator_file, std::string_view text,
                                         const coordinator::Clock& clock) {
  std::string_view member = net::json::FindMember(text, wire::kTlsMember);
  if (member.empty()) return nullptr;
  std::unique_ptr<TlsFiles> files(new TlsFiles(operator_file, clock));
  files->paths_ = files->ReadPaths(member);
  files->ReadMaterial();
  return files;
}

TlsFiles::Paths TlsFiles::ReadPaths(std::string_view tls_member) const {
  auto json = identity::ParseStrictJson(tls_member, kMaxFileBytes);
  if (!json) throw config::ConfigError("tls: " + json.error().Message());
  Paths paths;
  identity::JsonMembers members(*json, "tls");
  ThrowOnError(members);
  const Json& pairs = KeyPairArray(members);
  for (std::size_t i = 0; i < pairs.size(); ++i) {
    identity::JsonMembers pair(pairs[i], fmt::format("tls: certificate {}", i + 1));
    KeyPairPaths names;
    pair.Read(wire::kTlsCertificate, names.certificate);
    pair.Read(wire::kTlsKey, names.key);
    if (names.certificate.empty() || names.key.empty()) pair.Fail("must name a [certificate] and a [key]");
    RejectUnknownMembers(pair);
    paths.key_pairs.push_back(
        {ResolvePath(operator_file_, names.certificate), ResolvePath(operator_file_, names.key)});
  }
  if (const Json* clients = members.Find(wire::kTlsClients)) {
    identity::JsonMembers client_members(*clients, "tls: clients");
    client_members.Read(wire::kTlsClientIssuers, paths.client_issuers);
    client_members.Read(wire::kTlsClientRevoked, paths.revocations);
    client_members.Read(wire::kTlsClientRequired, paths.client_certificate_required);
    if (paths.client_issuers.empty()) client_members.Fail("must name [issuers]");
    RejectUnknownMembers(client_members);
    paths.client_issuers = ResolvePath(operator_file_, paths.client_issuers);
    if (!paths.revocations.empty()) paths.revocations = ResolvePath(operator_file_, paths.revocations);
  }
  RejectUnknownMembers(members);
  return paths;
}

std::vector<TlsFiles::PathStamp> TlsFiles::Stamps() const {
  std::vector<PathStamp> stamps;
  auto add = [&stamps](const std::string& path) {
    if (!path.empty()) stamps.push_back({path, ReadFileStamp(path)});
  };
  for (const KeyPairPaths& pair : paths_.key_pairs) {
    add(pair.certificate);
    add(pair.key);
  }
  add(paths_.client_issuers);
  add(paths_.revocations);
  return stamps;
}

void TlsFiles::ReadMaterial() {
  // Stamped before they are read, so that the next poll notices a change during the read.
  std::vector<PathStamp> stamps = Stamps();
  last_stamps_.reset();
  net::TlsConfig tls_config;
  for (const KeyPairPaths& pair : paths_.key_pairs) {
    tls_config.key_pairs.push_back({ReadBoundedFile(pair.certificate), ReadBoundedFile(pair.key)});
  }
  if (!paths_.client_issuers.empty()) tls_config.client_ca = ReadBoundedFile(paths_.client_issuers);
  if (!paths_.revocations.empty()) tls_config.revocation_lists = ReadBoundedFile(paths_.revocations);
  tls_config.client_required = paths_.client_certificate_required;
  last_stamps_ = std::move(stamps);
  std::shared_ptr<const net::TlsContext> current = reloadable_context_.Get();
  if (current != nullptr && current->config() == tls_config) return;
  auto context = net::TlsContext::Create(std::move(tls_config), clock_, current.get());
  if (!context) throw config::ConfigError("tls: " + context.error().Message());
  reloadable_context_.Set(*context);
  log::Info("audit: tls now presents {}; the first of them expires at {:%Y-%m-%dT%H:%M:%SZ}",
            reloadable_context_.Get()->subjects(),
            fmt::gmtime(static_cast<std::time_t>(reloadable_context_.Get()->expires_s())));
}

void TlsFiles::Poll() {
  if (paths_requested_) ReadPathsAgain();
  if (last_stamps_ == Stamps()) return;
  std::string problem;
  try {
    ReadMaterial();
  } catch (const std::runtime_error& error) {
    problem = error.what();
  }
  LogOnce(problem, "keeping the current certificates", last_error_);
}

void TlsFiles::Reload() {
  paths_requested_ = true;
  last_paths_error_.clear();
  last_stamps_.reset();
  Poll();
}

void TlsFiles::ReadPathsAgain() {
  std::string problem;
  try {
    const std::string text = config::ReadFile(operator_file_);
    paths_requested_ = false;
    paths_ = ReadPaths(net::json::FindMember(text, wire::kTlsMember));
  } catch (const std::runtime_error& error) {
    problem = error.what();
  }
  LogOnce(problem, "keeping the current file names", last_paths_error_);
}

void TlsFiles::LogOnce(const std::string& problem, const char* consequence, std::string& last) {
  if (!problem.empty() && problem != last) log::Error("{}; {}", problem, consequence);
  last = problem;
}

}  // namespace liftrudder::app
