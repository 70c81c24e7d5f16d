// An issuer of certificates of the tests' own, made anew each time, and a client's side of TLS in memory.
#ifndef LIFTRUDDER_TESTS_SUPPORT_TOKEN_ISSUER_H_
#define LIFTRUDDER_TESTS_SUPPORT_TOKEN_ISSUER_H_

#include <openssl/err.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/ssl.h>
#include <openssl/x509v3.h>

#include <memory>
#include <string>
#include <vector>

namespace liftrudder::tests {

using Pkey = std::shared_ptr<EVP_PKEY>;
using Cert = std::shared_ptr<X509>;

struct Issued {
  Cert certificate;
  Pkey key;

  std::string CertificatePem() const {
    return Pem([this](BIO* to) { PEM_write_bio_X509(to, certificate.get()); });
  }
  std::string KeyPem() const {
    return Pem(
        [this](BIO* to) { PEM_write_bio_PrivateKey(to, key.get(), nullptr, nullptr, 0, nullptr, nullptr); });
  }
  template <typename Write>
  static std::string Pem(Write write) {
    std::unique_ptr<BIO, decltype(&BIO_free_all)> to(BIO_new(BIO_s_mem()), BIO_free_all);
    write(to.get());
    char* data = nullptr;
    long size = BIO_get_mem_data(to.get(), &data);
    return std::string(data, static_cast<std::size_t>(size));
  }
};

class Issuer {
 public:
  explicit Issuer(const std::string& name) { own_ = Make(name, {}, "critical,CA:TRUE", -60, 3600, nullptr); }

  // `names` as in an extension's text: "DNS:a.example,URI:urn:b"; from and until in seconds from now.
  Issued Issue(const std::string& name, const std::string& names, const std::string& use, long from_s = -60,
               long until_s = 3600) {
    return Make(name, names, "CA:FALSE", from_s, until_s, &own_, use);
  }
  std::string Pem() const { return own_.CertificatePem(); }
  // The list of what it has taken back, good until so many seconds from now.
  std::string Revoked(const std::vector<Issued>& all, long until_s = 3600) const {
    std::unique_ptr<X509_CRL, decltype(&X509_CRL_free)> list(X509_CRL_new(), X509_CRL_free);
    X509_CRL_set_version(list.get(), 1);
    X509_CRL_set_issuer_name(list.get(), X509_get_subject_name(own_.certificate.get()));
    std::unique_ptr<ASN1_TIME, decltype(&ASN1_TIME_free)> at(X509_gmtime_adj(nullptr, -60), ASN1_TIME_free);
    X509_CRL_set1_lastUpdate(list.get(), at.get());
    X509_gmtime_adj(at.get(), until_s);
    X509_CRL_set1_nextUpdate(list.get(), at.get());
    for (const Issued& one : all) {
      X509_REVOKED* entry = X509_REVOKED_new();
      X509_REVOKED_set_serialNumber(entry, X509_get_serialNumber(one.certificate.get()));
      X509_gmtime_adj(at.get(), -30);
      X509_REVOKED_set_revocationDate(entry, at.get());
      X509_CRL_add0_revoked(list.get(), entry);
    }
    X509_CRL_sign(list.get(), own_.key.get(), EVP_sha256());
    return Issued::Pem([&](BIO* to) { PEM_write_bio_X509_CRL(to, list.get()); });
  }

 private:
  Issued Make(const std::string& name, const std::string& names, const char* basic, long from_s, long until_s,
              const Issued* by, const std::string& use = "") {
    Issued out{Cert(X509_new(), X509_free), Pkey(EVP_EC_gen("P-256"), EVP_PKEY_free)};
    X509* made = out.certificate.get();
    X509_set_version(made, 2);
    ASN1_INTEGER_set(X509_get_serialNumber(made), ++serial_);
    X509_gmtime_adj(X509_getm_notBefore(made), from_s);
    X509_gmtime_adj(X509_getm_notAfter(made), until_s);
    X509_set_pubkey(made, out.key.get());
    X509_NAME_add_entry_by_txt(X509_get_subject_name(made), "CN", MBSTRING_UTF8,
                               reinterpret_cast<const unsigned char*>(name.c_str()), -1, -1, 0);
    X509* issuer = by == nullptr ? made : by->certificate.get();
    X509_set_issuer_name(made, X509_get_subject_name(issuer));
    auto add = [&](int kind, const std::string& text) {
      if (text.empty()) return;
      X509V3_CTX context;
      X509V3_set_ctx(&context, issuer, made, nullptr, nullptr, 0);
      X509_EXTENSION* one = X509V3_EXT_conf_nid(nullptr, &context, kind, text.c_str());
      X509_add_ext(made, one, -1);
      X509_EXTENSION_free(one);
    };
    add(NID_basic_constraints, basic);
    add(NID_subject_alt_name, names);
    add(NID_ext_key_usage, use);
    X509_sign(made, by == nullptr ? out.key.get() : by->key.get(), EVP_sha256());
    return out;
  }

  Issued own_;
  long serial_ = 0;
};

// The client's side; what it would write and read on a socket is handed over.
class TlsClient {
 public:
  explicit TlsClient(int most = TLS1_3_VERSION, const Issued* shows = nullptr)
      : ctx_(SSL_CTX_new(TLS_client_method()), SSL_CTX_free) {
    SSL_CTX_set_min_proto_version(ctx_.get(), TLS1_VERSION);
    SSL_CTX_set_max_proto_version(ctx_.get(), most);
    SSL_CTX_set_security_level(ctx_.get(), 0);
    if (shows != nullptr) {
      SSL_CTX_use_certificate(ctx_.get(), shows->certificate.get());
      SSL_CTX_use_PrivateKey(ctx_.get(), shows->key.get());
    }
    Begin();
  }
  // A new connection, with the session of the one before where there was one.
  void Begin(const std::string& host = "") {
    SSL_SESSION* before = ssl_ == nullptr ? nullptr : SSL_get1_session(ssl_.get());
    // Freed without a last word, a connection takes its session with it.
    if (ssl_ != nullptr) SSL_set_shutdown(ssl_.get(), SSL_SENT_SHUTDOWN | SSL_RECEIVED_SHUTDOWN);
    ssl_.reset(SSL_new(ctx_.get()), SSL_free);
    if (before != nullptr) SSL_set_session(ssl_.get(), before);
    SSL_SESSION_free(before);
    if (!host.empty()) SSL_set_tlsext_host_name(ssl_.get(), host.c_str());
    SSL_set_bio(ssl_.get(), BIO_new(BIO_s_mem()), BIO_new(BIO_s_mem()));
    SSL_set_connect_state(ssl_.get());
  }
  // Takes what came and gives what is to be written; `plain` gets what was said.
  std::string Step(const std::string& came, std::string& plain) {
    ERR_clear_error();
    BIO_write(SSL_get_rbio(ssl_.get()), came.data(), static_cast<int>(came.size()));
    char buffer[4096];
    if (SSL_do_handshake(ssl_.get()) == 1) {
      for (int got = 1; got > 0;) {
        got = SSL_read(ssl_.get(), buffer, sizeof buffer);
        if (got > 0) plain.append(buffer, static_cast<std::size_t>(got));
        if (got <= 0) ended_ = SSL_get_error(ssl_.get(), got) == SSL_ERROR_ZERO_RETURN;
      }
    }
    return Out();
  }
  std::string Say(const std::string& text) {
    SSL_write(ssl_.get(), text.data(), static_cast<int>(text.size()));
    return Out();
  }
  std::string Close() {
    SSL_shutdown(ssl_.get());
    return Out();
  }
  std::string Out() {
    BIO* from = SSL_get_wbio(ssl_.get());
    std::string out(BIO_ctrl_pending(from), '\0');
    if (!out.empty()) BIO_read(from, out.data(), static_cast<int>(out.size()));
    return out;
  }
  SSL* raw() const { return ssl_.get(); }
  bool ended() const { return ended_; }  // close_notify came

 private:
  std::shared_ptr<SSL_CTX> ctx_;
  std::shared_ptr<SSL> ssl_;
  bool ended_ = false;
};

}  // namespace liftrudder::tests

#endif  // LIFTRUDDER_TESTS_SUPPORT_TOKEN_ISSUER_H_
