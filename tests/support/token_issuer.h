// A certificate issuer for tests, with a new key for each object, and an in-memory TLS client.
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
  explicit Issuer(const std::string& name) { ca_ = Create(name, {}, "critical,CA:TRUE", -60, 3600, nullptr); }

  // `names`: the subject alternative names in OpenSSL's text form, "DNS:a.example,URI:urn:b". `from_s` and
  // `until_s`: the validity in seconds from now.
  Issued Issue(const std::string& name, const std::string& names, const std::string& key_usage,
               long from_s = -60, long until_s = 3600) {
    return Create(name, names, "CA:FALSE", from_s, until_s, &ca_, key_usage);
  }
  std::string Pem() const { return ca_.CertificatePem(); }
  // A revocation list of these certificates in PEM, valid for `until_s` seconds from now.
  std::string Revoked(const std::vector<Issued>& certificates, long until_s = 3600) const {
    std::unique_ptr<X509_CRL, decltype(&X509_CRL_free)> list(X509_CRL_new(), X509_CRL_free);
    X509_CRL_set_version(list.get(), 1);
    X509_CRL_set_issuer_name(list.get(), X509_get_subject_name(ca_.certificate.get()));
    std::unique_ptr<ASN1_TIME, decltype(&ASN1_TIME_free)> at(X509_gmtime_adj(nullptr, -60), ASN1_TIME_free);
    X509_CRL_set1_lastUpdate(list.get(), at.get());
    X509_gmtime_adj(at.get(), until_s);
    X509_CRL_set1_nextUpdate(list.get(), at.get());
    for (const Issued& revoked : certificates) {
      X509_REVOKED* entry = X509_REVOKED_new();
      X509_REVOKED_set_serialNumber(entry, X509_get_serialNumber(revoked.certificate.get()));
      X509_gmtime_adj(at.get(), -30);
      X509_REVOKED_set_revocationDate(entry, at.get());
      X509_CRL_add0_revoked(list.get(), entry);
    }
    X509_CRL_sign(list.get(), ca_.key.get(), EVP_sha256());
    return Issued::Pem([&](BIO* to) { PEM_write_bio_X509_CRL(to, list.get()); });
  }

 private:
  Issued Create(const std::string& name, const std::string& names, const char* basic_constraints, long from_s,
                long until_s, const Issued* signer, const std::string& key_usage = "") {
    Issued out{Cert(X509_new(), X509_free), Pkey(EVP_EC_gen("P-256"), EVP_PKEY_free)};
    X509* x509 = out.certificate.get();
    X509_set_version(x509, 2);
    ASN1_INTEGER_set(X509_get_serialNumber(x509), ++serial_);
    X509_gmtime_adj(X509_getm_notBefore(x509), from_s);
    X509_gmtime_adj(X509_getm_notAfter(x509), until_s);
    X509_set_pubkey(x509, out.key.get());
    X509_NAME_add_entry_by_txt(X509_get_subject_name(x509), "CN", MBSTRING_UTF8,
                               reinterpret_cast<const unsigned char*>(name.c_str()), -1, -1, 0);
    X509* issuer = signer == nullptr ? x509 : signer->certificate.get();
    X509_set_issuer_name(x509, X509_get_subject_name(issuer));
    auto add = [&](int kind, const std::string& text) {
      if (text.empty()) return;
      X509V3_CTX context;
      X509V3_set_ctx(&context, issuer, x509, nullptr, nullptr, 0);
      X509_EXTENSION* extension = X509V3_EXT_conf_nid(nullptr, &context, kind, text.c_str());
      X509_add_ext(x509, extension, -1);
      X509_EXTENSION_free(extension);
    };
    add(NID_basic_constraints, basic_constraints);
    add(NID_subject_alt_name, names);
    add(NID_ext_key_usage, key_usage);
    X509_sign(x509, signer == nullptr ? out.key.get() : signer->key.get(), EVP_sha256());
    return out;
  }

  Issued ca_;
  long serial_ = 0;
};

// A TLS client without a socket: its caller moves the bytes.
class TlsClient {
 public:
  explicit TlsClient(int max_version = TLS1_3_VERSION, const Issued* client_certificate = nullptr)
      : ctx_(SSL_CTX_new(TLS_client_method()), SSL_CTX_free) {
    SSL_CTX_set_min_proto_version(ctx_.get(), TLS1_VERSION);
    SSL_CTX_set_max_proto_version(ctx_.get(), max_version);
    SSL_CTX_set_security_level(ctx_.get(), 0);
    if (client_certificate != nullptr) {
      SSL_CTX_use_certificate(ctx_.get(), client_certificate->certificate.get());
      SSL_CTX_use_PrivateKey(ctx_.get(), client_certificate->key.get());
    }
    Begin();
  }
  // Begins a new connection, which offers the session of the previous one, if any, for resumption.
  void Begin(const std::string& host = "") {
    SSL_SESSION* previous_session = ssl_ == nullptr ? nullptr : SSL_get1_session(ssl_.get());
    // OpenSSL invalidates the session of a connection that is freed without a shutdown.
    if (ssl_ != nullptr) SSL_set_shutdown(ssl_.get(), SSL_SENT_SHUTDOWN | SSL_RECEIVED_SHUTDOWN);
    ssl_.reset(SSL_new(ctx_.get()), SSL_free);
    if (previous_session != nullptr) SSL_set_session(ssl_.get(), previous_session);
    SSL_SESSION_free(previous_session);
    if (!host.empty()) SSL_set_tlsext_host_name(ssl_.get(), host.c_str());
    SSL_set_bio(ssl_.get(), BIO_new(BIO_s_mem()), BIO_new(BIO_s_mem()));
    SSL_set_connect_state(ssl_.get());
  }
  // Processes received bytes and returns the bytes to send; appends decrypted data to `plain`.
  std::string Step(const std::string& received, std::string& plain) {
    ERR_clear_error();
    BIO_write(SSL_get_rbio(ssl_.get()), received.data(), static_cast<int>(received.size()));
    char buffer[4096];
    if (SSL_do_handshake(ssl_.get()) == 1) {
      for (int size_read = 1; size_read > 0;) {
        size_read = SSL_read(ssl_.get(), buffer, sizeof buffer);
        if (size_read > 0) plain.append(buffer, static_cast<std::size_t>(size_read));
        if (size_read <= 0) ended_ = SSL_get_error(ssl_.get(), size_read) == SSL_ERROR_ZERO_RETURN;
      }
    }
    return PendingOutput();
  }
  std::string Say(const std::string& text) {
    SSL_write(ssl_.get(), text.data(), static_cast<int>(text.size()));
    return PendingOutput();
  }
  std::string Close() {
    SSL_shutdown(ssl_.get());
    return PendingOutput();
  }
  std::string PendingOutput() {
    BIO* output_bio = SSL_get_wbio(ssl_.get());
    std::string out(BIO_ctrl_pending(output_bio), '\0');
    if (!out.empty()) BIO_read(output_bio, out.data(), static_cast<int>(out.size()));
    return out;
  }
  SSL* raw() const { return ssl_.get(); }
  bool ended() const { return ended_; }  // a close_notify was received

 private:
  std::shared_ptr<SSL_CTX> ctx_;
  std::shared_ptr<SSL> ssl_;
  bool ended_ = false;
};

}  // namespace liftrudder::tests

#endif  // LIFTRUDDER_TESTS_SUPPORT_TOKEN_ISSUER_H_
