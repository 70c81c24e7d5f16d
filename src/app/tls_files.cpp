#include "app/tls_files.h"

#include <fmt/chrono.h>

#include <stdexcept>

#include "config/config.h"
#include "identity/json_members.h"
#include "identity/strict_json.h"
#include "log/log.h"
#include "net/json.h"

namespace liftrudder::app {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMostPairs = 16;
constexpr std::size_t kMostBytes = 1024 * 1024;  // of a file

std::string Read(const std::string& path) {
  std::string text = config::ReadFile(path);
  if (text.size() > kMostBytes) throw std::runtime_error(path + " has over a MiB");
  return text;
}

}  // namespace

std::unique_ptr<TlsFiles> TlsFiles::Open(const std::string& operator_file, std::string_view text,
                                         const coordinator::Clock& clock) {
  std::string_view member = net::json::Get(text, "tls");
  if (member.empty()) return nullptr;
  std::unique_ptr<TlsFiles> out(new TlsFiles(operator_file, clock));
  out->names_ = out->ReadNames(member);
  out->Take();
  return out;
}

TlsFiles::Names TlsFiles::ReadNames(std::string_view text) const {
  auto json = identity::ParseStrictJson(text, kMostBytes);
  if (!json) throw std::runtime_error("tls: " + json.error().Message());
  Names out;
  auto need = [](identity::JsonMembers& members) {
    members.RejectUnknown();
    if (members.error()) throw std::runtime_error(members.error()->Message());
  };
  identity::JsonMembers members(*json, "tls");
  if (members.error()) throw std::runtime_error(members.error()->Message());
  const Json* pairs = members.Find("certificates");
  if (pairs == nullptr || !pairs->is_array() || pairs->empty() || pairs->size() > kMostPairs)
    throw std::runtime_error(fmt::format("tls: [certificates] must be a list of 1 to {}", kMostPairs));
  for (std::size_t i = 0; i < pairs->size(); ++i) {
    identity::JsonMembers pair((*pairs)[i], fmt::format("tls: certificate {}", i + 1));
    std::string certificate, key;
    pair.Read("certificate", certificate);
    pair.Read("key", key);
    if (certificate.empty() || key.empty()) pair.Fail("names no [certificate] or no [key]");
    need(pair);
    out.pairs.emplace_back(Beside(operator_file_, certificate), Beside(operator_file_, key));
  }
  if (const Json* clients = members.Find("clients")) {
    identity::JsonMembers of(*clients, "tls: clients");
    of.Read("issuers", out.issuers);
    of.Read("revoked", out.revoked);
    of.Read("required", out.required);
    if (out.issuers.empty()) of.Fail("names no [issuers]");
    need(of);
    out.issuers = Beside(operator_file_, out.issuers);
    if (!out.revoked.empty()) out.revoked = Beside(operator_file_, out.revoked);
  }
  need(members);
  return out;
}

std::vector<std::pair<std::string, FileStamp>> TlsFiles::Stamps() const {
  std::vector<std::pair<std::string, FileStamp>> out;
  auto add = [&out](const std::string& path) {
    if (!path.empty()) out.emplace_back(path, StampOf(path));
  };
  for (const auto& [certificate, key] : names_.pairs) add(certificate), add(key);
  add(names_.issuers), add(names_.revoked);
  return out;
}

void TlsFiles::Take() {
  // Taken before the files are read: a change while they are read is seen at the next look.
  seen_ = Stamps();
  net::TlsMaterial material;
  for (const auto& [certificate, key] : names_.pairs)
    material.pairs.push_back({Read(certificate), Read(key)});
  if (!names_.issuers.empty()) material.client_ca = Read(names_.issuers);
  if (!names_.revoked.empty()) material.revoked = Read(names_.revoked);
  material.client_required = names_.required;
  std::shared_ptr<const net::TlsContext> before = source_.Get();
  if (before != nullptr && before->material() == material) return;
  auto made = net::TlsContext::Make(std::move(material), clock_, before.get());
  if (const auto* wrong = std::get_if<std::string>(&made)) throw std::runtime_error("tls: " + *wrong);
  source_.Set(std::get<0>(made));
  log::Info("audit: tls shows {} from now on; the first to end does so at {:%Y-%m-%dT%H:%M:%SZ}",
            source_.Get()->subjects(), fmt::gmtime(static_cast<std::time_t>(source_.Get()->expires_s())));
}

void TlsFiles::Look() {
  if (Stamps() == seen_) return;
  try {
    Take();
    said_.clear();
  } catch (const std::runtime_error& error) {
    if (said_ != error.what()) log::Error("{}; what was there so far stays", error.what());
    said_ = error.what();
  }
}

void TlsFiles::Reload() {
  try {
    names_ = ReadNames(net::json::Get(config::ReadFile(operator_file_), "tls"));
  } catch (const std::runtime_error& error) {
    log::Error("{}; the files named so far stay", error.what());
  }
  seen_.clear();
  Look();
}

}  // namespace liftrudder::app
