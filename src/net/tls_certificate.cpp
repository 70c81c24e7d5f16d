#include "net/tls_certificate.h"

#include <openssl/err.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <algorithm>

namespace liftrudder::net {
namespace {

constexpr std::size_t kMaxNames = 16;       // of one certificate
constexpr std::size_t kMaxNameBytes = 256;  // of one name, and of a subject's text

BioHandle OpenText(const std::string& text) {
  constexpr std::size_t kMaxTextBytes = 1 << 30;
  return BioHandle(BIO_new_mem_buf(text.data(), static_cast<int>(std::min(text.size(), kMaxTextBytes))));
}

// Without this callback OpenSSL would prompt for a passphrase on the terminal.
int NoPassphrase(char* /*buffer*/, int /*size*/, int /*writing*/, void* /*context*/) { return -1; }

const char* NamePrefix(int type) {
  switch (type) {
    case GEN_DNS:
      return "dns:";
    case GEN_URI:
      return "uri:";
    case GEN_EMAIL:
      return "email:";
    default:
      return nullptr;
  }
}

}  // namespace

std::vector<Certificate> ReadCertificates(const std::string& pem) {
  std::vector<Certificate> certificates;
  BioHandle bio = OpenText(pem);
  while (Certificate next{PEM_read_bio_X509(bio.get(), nullptr, NoPassphrase, nullptr)}) {
    certificates.push_back(std::move(next));
  }
  ERR_clear_error();  // OpenSSL reports the end of the text as an error
  return certificates;
}

std::vector<RevocationList> ReadRevocationLists(const std::string& pem) {
  std::vector<RevocationList> lists;
  BioHandle bio = OpenText(pem);
  while (RevocationList next{PEM_read_bio_X509_CRL(bio.get(), nullptr, NoPassphrase, nullptr)}) {
    lists.push_back(std::move(next));
  }
  ERR_clear_error();
  return lists;
}

PrivateKey ReadPrivateKey(const std::string& pem) {
  BioHandle bio = OpenText(pem);
  return PrivateKey(PEM_read_bio_PrivateKey(bio.get(), nullptr, NoPassphrase, nullptr));
}

std::vector<std::string> SubjectAltNames(X509* certificate) {
  std::unique_ptr<GENERAL_NAMES, OpenSslDeleter<GENERAL_NAMES, GENERAL_NAMES_free>> names(
      static_cast<GENERAL_NAMES*>(X509_get_ext_d2i(certificate, NID_subject_alt_name, nullptr, nullptr)));
  std::vector<std::string> found;
  if (names == nullptr) return found;
  for (int i = 0; i < sk_GENERAL_NAME_num(names.get()) && found.size() < kMaxNames; ++i) {
    int type = 0;
    void* value = GENERAL_NAME_get0_value(sk_GENERAL_NAME_value(names.get(), i), &type);
    const char* prefix = NamePrefix(type);
    if (prefix == nullptr) continue;
    const auto* text = static_cast<const ASN1_IA5STRING*>(value);
    std::string name(reinterpret_cast<const char*>(ASN1_STRING_get0_data(text)),
                     static_cast<std::size_t>(ASN1_STRING_length(text)));
    // A name with a zero byte looks like a different name to code that stops at that byte.
    bool has_zero_byte = name.find('\0') != std::string::npos;
    if (name.size() <= kMaxNameBytes && !has_zero_byte) found.push_back(prefix + name);
  }
  return found;
}

std::string SubjectOf(X509* certificate) {
  BioHandle bio(BIO_new(BIO_s_mem()));
  X509_NAME_print_ex(bio.get(), X509_get_subject_name(certificate), 0, XN_FLAG_RFC2253);
  char* data = nullptr;
  long size = BIO_get_mem_data(bio.get(), &data);  // NOLINT(google-runtime-int): OpenSSL's type
  return {data, std::min(static_cast<std::size_t>(std::max(size, 0L)), kMaxNameBytes)};
}

std::int64_t UnixSeconds(const ASN1_TIME* time) {
  constexpr std::int64_t kSecondsPerDay = 86'400;
  int days = 0;
  int seconds = 0;
  std::unique_ptr<ASN1_TIME, OpenSslDeleter<ASN1_TIME, ASN1_TIME_free>> epoch(ASN1_TIME_set(nullptr, 0));
  if (ASN1_TIME_diff(&days, &seconds, epoch.get(), time) != 1) return 0;
  return days * kSecondsPerDay + seconds;
}

std::string LastOpenSslError(const char* fallback) {
  unsigned long code = ERR_peek_last_error();  // NOLINT(google-runtime-int): OpenSSL's type
  const char* text = code == 0 ? nullptr : ERR_reason_error_string(code);
  ERR_clear_error();
  return text == nullptr ? fallback : text;
}

}  // namespace liftrudder::net
