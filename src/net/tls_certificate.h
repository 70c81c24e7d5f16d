// Parses PEM texts and reads the names and dates of certificates with OpenSSL. Also defines the owning
// handles of OpenSSL types that the TLS files share. Stateless and thread-safe.
#ifndef LIFTRUDDER_NET_TLS_CERTIFICATE_H_
#define LIFTRUDDER_NET_TLS_CERTIFICATE_H_

#include <openssl/bio.h>
#include <openssl/evp.h>
#include <openssl/x509.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace liftrudder::net {

template <typename T, void (*Free)(T*)>
struct OpenSslDeleter {
  void operator()(T* object) const { Free(object); }
};
using BioHandle = std::unique_ptr<BIO, OpenSslDeleter<BIO, BIO_free_all>>;
using Certificate = std::unique_ptr<X509, OpenSslDeleter<X509, X509_free>>;
using RevocationList = std::unique_ptr<X509_CRL, OpenSslDeleter<X509_CRL, X509_CRL_free>>;
using PrivateKey = std::unique_ptr<EVP_PKEY, OpenSslDeleter<EVP_PKEY, EVP_PKEY_free>>;
using StoreContext = std::unique_ptr<X509_STORE_CTX, OpenSslDeleter<X509_STORE_CTX, X509_STORE_CTX_free>>;

// The certificates of a PEM text, up to the first one that cannot be parsed. Skips entries of other types.
std::vector<Certificate> ReadCertificates(const std::string& pem);
std::vector<RevocationList> ReadRevocationLists(const std::string& pem);
// The first private key of a PEM text; null if there is none or it needs a passphrase.
PrivateKey ReadPrivateKey(const std::string& pem);

// The names in its subjectAltName, prefixed with dns:, uri: or email:; bounded in number and length.
std::vector<std::string> SubjectAltNames(X509* certificate);
// The subject in one line (RFC 2253), bounded in length.
std::string SubjectOf(X509* certificate);
// Seconds of Unix time; 0 if the time cannot be represented.
std::int64_t UnixSeconds(const ASN1_TIME* time);

// The reason of OpenSSL's last error; `fallback` if there is none. Clears OpenSSL's error queue.
std::string LastOpenSslError(const char* fallback);

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_TLS_CERTIFICATE_H_
