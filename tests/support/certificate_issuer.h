// A certificate authority for tests, with a new key pair each time, and the client's side of TLS in memory.
#ifndef LIFTRUDDER_TESTS_SUPPORT_CERTIFICATE_ISSUER_H_
#define LIFTRUDDER_TESTS_SUPPORT_CERTIFICATE_ISSUER_H_

#include <openssl/err.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/ssl.h>
#include <openssl/x509v3.h>

#include <memory>
#include <string>
#include <vector>

namespace liftrudder::tests {

using PkeyPtr = std::shared_ptr<EVP_PKEY>;
using CertificatePtr = std::shared_ptr<X509>;

struct IssuedCertificate {
  CertificatePtr certificate;
  PkeyPtr key;

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

class CertificateIssuer {
 public:
  explicit CertificateIssuer(const std::string& name) {
    authority_ = Make(name, {}, "critical,CA:TRUE", -60, 3600, nullptr);
  }

  // `alt_names` is the text of an extension: "DNS:a.example,URI:urn:b". `from_s` and `until_s` are seconds
  // from now.
  IssuedCertificate Issue(const std::string& name, const std::string& alt_names,
                          const std::string& extended_key_usage, long from_s = -60, long until_s = 3600) {
    return Make(name, alt_names, "CA:FALSE", from_s, until_s, &authority_, extended_key_usage);
  }
  std::string Pem() const { return authority_.CertificatePem(); }
  // Returns the revocation list of these certificates, valid until `until_s` seconds from now.
  std::string RevocationListPem(const std::vector<IssuedCertificate>& revoked, long until_s = 3600) const {
    std::unique_ptr<X509_CRL, decltype(&X509_CRL_free)> list(X509_CRL_new(), X509_CRL_free);
    X509_CRL_set_version(list.get(), 1);
    X509_CRL_set_issuer_name(list.get(), X509_get_subject_name(authority_.certificate.get()));
    std::unique_ptr<ASN1_TIME, decltype(&ASN1_TIME_free)> at(X509_gmtime_adj(nullptr, -60), ASN1_TIME_free);
    X509_CRL_set1_lastUpdate(list.get(), at.get());
    X509_gmtime_adj(at.get(), until_s);
    X509_CRL_set1_nextUpdate(list.get(), at.get());
    for (const IssuedCertificate& revoked_certificate : revoked) {
      X509_REVOKED* entry = X509_REVOKED_new();
      X509_REVOKED_set_serialNumber(entry, X509_get_serialNumber(revoked_certificate.certificate.get()));
      X509_gmtime_adj(at.get(), -30);
      X509_REVOKED_set_revocationDate(entry, at.get());
      X509_CRL_add0_revoked(list.get(), entry);
    }
    X509_CRL_sign(list.get(), authority_.key.get(), EVP_sha256());
    return IssuedCertificate::Pem([&](BIO* to) { PEM_write_bio_X509_CRL(to, list.get()); });
  }

 private:
  IssuedCertificate Make(const std::string& name, const std::string& alt_names, const char* basic_constraints,
                         long from_s, long until_s, const IssuedCertificate* signer,
                         const std::string& extended_key_usage = "") {
    IssuedCertificate out{CertificatePtr(X509_new(), X509_free), PkeyPtr(EVP_EC_gen("P-256"), EVP_PKEY_free)};
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
    auto add = [&](int extension_nid, const std::string& text) {
      if (text.empty()) return;
      X509V3_CTX context;
      X509V3_set_ctx(&context, issuer, x509, nullptr, nullptr, 0);
      X509_EXTENSION* extension = X509V3_EXT_conf_nid(nullptr, &context, extension_nid, text.c_str());
      X509_add_ext(x509, extension, -1);
      X509_EXTENSION_free(extension);
    };
    add(NID_basic_constraints, basic_constraints);
    add(NID_subject_alt_name, alt_names);
    add(NID_ext_key_usage, extended_key_usage);
    X509_sign(x509, signer == nullptr ? out.key.get() : signer->key.get(), EVP_sha256());
    return out;
  }

  IssuedCertificate authority_;
  long serial_ = 0;
};

// The client's side of TLS; the caller moves its bytes to and from the socket.
class TlsClient {
 public:
  explicit TlsClient(int max_version = TLS1_3_VERSION, const IssuedCertificate* client_certificate = nullptr)
      : ctx_(SSL_CTX_new(TLS_client_method()), SSL_CTX_free) {
    SSL_CTX_set_min_proto_version(ctx_.get(), TLS1_VERSION);
    SSL_CTX_set_max_proto_version(ctx_.get(), max_version);
    SSL_CTX_set_security_level(ctx_.get(), 0);
    if (client_certificate != nullptr) {
      SSL_CTX_use_certificate(ctx_.get(), client_certificate->certificate.get());
      SSL_CTX_use_PrivateKey(ctx_.get(), client_certificate->key.get());
    }
    StartConnection();
  }
  // Starts a new connection and offers the session of the previous one, if any.
  void StartConnection(const std::string& host = "") {
    SSL_SESSION* before = ssl_ == nullptr ? nullptr : SSL_get1_session(ssl_.get());
    // A connection that is freed before its shutdown makes its session unusable.
    if (ssl_ != nullptr) SSL_set_shutdown(ssl_.get(), SSL_SENT_SHUTDOWN | SSL_RECEIVED_SHUTDOWN);
    ssl_.reset(SSL_new(ctx_.get()), SSL_free);
    if (before != nullptr) SSL_set_session(ssl_.get(), before);
    SSL_SESSION_free(before);
    if (!host.empty()) SSL_set_tlsext_host_name(ssl_.get(), host.c_str());
    SSL_set_bio(ssl_.get(), BIO_new(BIO_s_mem()), BIO_new(BIO_s_mem()));
    SSL_set_connect_state(ssl_.get());
  }
  // Processes the bytes received and returns those to send; appends the decrypted data to `plaintext`.
  std::string ProcessInput(const std::string& received, std::string& plaintext) {
    ERR_clear_error();
    BIO_write(SSL_get_rbio(ssl_.get()), received.data(), static_cast<int>(received.size()));
    char buffer[4096];
    if (SSL_do_handshake(ssl_.get()) == 1) {
      for (int bytes_read = 1; bytes_read > 0;) {
        bytes_read = SSL_read(ssl_.get(), buffer, sizeof buffer);
        if (bytes_read > 0) plaintext.append(buffer, static_cast<std::size_t>(bytes_read));
        if (bytes_read <= 0) peer_closed_ = SSL_get_error(ssl_.get(), bytes_read) == SSL_ERROR_ZERO_RETURN;
      }
    }
    return TakeOutput();
  }
  std::string Encrypt(const std::string& text) {
    SSL_write(ssl_.get(), text.data(), static_cast<int>(text.size()));
    return TakeOutput();
  }
  std::string Close() {
    SSL_shutdown(ssl_.get());
    return TakeOutput();
  }
  std::string TakeOutput() {
    BIO* from = SSL_get_wbio(ssl_.get());
    std::string out(BIO_ctrl_pending(from), '\0');
    if (!out.empty()) BIO_read(from, out.data(), static_cast<int>(out.size()));
    return out;
  }
  SSL* raw() const { return ssl_.get(); }
  bool peer_closed() const { return peer_closed_; }  // close_notify was received

 private:
  std::shared_ptr<SSL_CTX> ctx_;
  std::shared_ptr<SSL> ssl_;
  bool peer_closed_ = false;
};

}  // namespace liftrudder::tests

#endif  // LIFTRUDDER_TESTS_SUPPORT_CERTIFICATE_ISSUER_H_
