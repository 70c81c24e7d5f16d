#include "net/tls.h"

#include <openssl/core_names.h>
#include <openssl/err.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/rand.h>
#include <openssl/ssl.h>
#include <openssl/x509v3.h>

#include <algorithm>
#include <cstring>
#include <optional>

namespace liftrudder::net {
namespace {

constexpr std::size_t kRecord = 16 * 1024;   // RFC 8446 section 5.1: plain bytes of a record at most
constexpr std::size_t kMostNames = 16;       // of one certificate that are looked at
constexpr std::size_t kMostName = 256;       // bytes of one of them, and of a subject as it is written
constexpr std::size_t kMostChain = 8;        // certificates beside a leaf, in a file or from a client
constexpr long kMostChainBytes = 32 * 1024;  // from a client
constexpr int kDepth = 4;                    // issuers between a client's certificate and one in client_ca
constexpr char kSuites[] = "ECDHE+AESGCM:ECDHE+CHACHA20";  // of TLS 1.2; 1.3 has none that are weak

template <typename T, void (*Free)(T*)>
struct Freer {
  void operator()(T* one) const { Free(one); }
};
using Bio = std::unique_ptr<BIO, Freer<BIO, BIO_free_all>>;
using Certificate = std::unique_ptr<X509, Freer<X509, X509_free>>;
using RevokedList = std::unique_ptr<X509_CRL, Freer<X509_CRL, X509_CRL_free>>;
using PrivateKey = std::unique_ptr<EVP_PKEY, Freer<EVP_PKEY, EVP_PKEY_free>>;
using Check = std::unique_ptr<X509_STORE_CTX, Freer<X509_STORE_CTX, X509_STORE_CTX_free>>;

Bio Text(const std::string& text) {
  return Bio(BIO_new_mem_buf(text.data(), static_cast<int>(std::min<std::size_t>(text.size(), 1 << 30))));
}

// A key under a passphrase is not for an unattended program: without this OpenSSL asks at the terminal.
int NoPassphrase(char*, int, int, void*) { return -1; }

std::string Reason(const char* otherwise) {
  unsigned long code = ERR_peek_last_error();
  const char* text = code == 0 ? nullptr : ERR_reason_error_string(code);
  ERR_clear_error();
  return text == nullptr ? otherwise : text;
}

std::vector<Certificate> ReadCertificates(const std::string& text) {
  std::vector<Certificate> out;
  Bio bio = Text(text);
  while (X509* one = PEM_read_bio_X509(bio.get(), nullptr, NoPassphrase, nullptr)) out.emplace_back(one);
  ERR_clear_error();  // the end of the text is told as an error
  return out;
}

std::int64_t UnixSeconds(const ASN1_TIME* time) {
  int days = 0, seconds = 0;
  std::unique_ptr<ASN1_TIME, Freer<ASN1_TIME, ASN1_TIME_free>> origin(ASN1_TIME_set(nullptr, 0));
  if (ASN1_TIME_diff(&days, &seconds, origin.get(), time) != 1) return 0;
  return std::int64_t{days} * 86'400 + seconds;
}

std::vector<std::string> NamesOf(X509* certificate) {
  std::vector<std::string> out;
  std::unique_ptr<GENERAL_NAMES, Freer<GENERAL_NAMES, GENERAL_NAMES_free>> names(
      static_cast<GENERAL_NAMES*>(X509_get_ext_d2i(certificate, NID_subject_alt_name, nullptr, nullptr)));
  for (int i = 0; names != nullptr && i < sk_GENERAL_NAME_num(names.get()) && out.size() < kMostNames; ++i) {
    int type = 0;
    void* value = GENERAL_NAME_get0_value(sk_GENERAL_NAME_value(names.get(), i), &type);
    const char* kind = type == GEN_DNS     ? "dns:"
                       : type == GEN_URI   ? "uri:"
                       : type == GEN_EMAIL ? "email:"
                                           : nullptr;
    if (kind == nullptr) continue;
    const auto* text = static_cast<const ASN1_IA5STRING*>(value);
    std::string name(reinterpret_cast<const char*>(ASN1_STRING_get0_data(text)),
                     static_cast<std::size_t>(ASN1_STRING_length(text)));
    // A zero byte inside makes one name look like another to whoever stops there.
    if (name.size() <= kMostName && name.find('\0') == std::string::npos) out.push_back(kind + name);
  }
  return out;
}

std::string SubjectOf(X509* certificate) {
  Bio bio(BIO_new(BIO_s_mem()));
  X509_NAME_print_ex(bio.get(), X509_get_subject_name(certificate), 0, XN_FLAG_RFC2253);
  char* data = nullptr;
  long size = BIO_get_mem_data(bio.get(), &data);
  return std::string(data, std::min(static_cast<std::size_t>(std::max(size, 0L)), kMostName));
}

}  // namespace

struct TlsCallbacks {
  static TlsContext& Of(SSL* ssl) {
    return *static_cast<TlsContext*>(SSL_CTX_get_app_data(SSL_get_SSL_CTX(ssl)));
  }

  // The pair whose certificate is for the name that the client asked for.
  static int ServerName(SSL* ssl, int*, void*) {
    const char* name = SSL_get_servername(ssl, TLSEXT_NAMETYPE_host_name);
    if (name == nullptr) return SSL_TLSEXT_ERR_NOACK;
    for (const auto& pair : Of(ssl).pairs_) {
      if (X509_check_host(SSL_CTX_get0_certificate(pair.get()), name, 0, 0, nullptr) != 1) continue;
      SSL_set_SSL_CTX(ssl, pair.get());
      return SSL_TLSEXT_ERR_OK;
    }
    return SSL_TLSEXT_ERR_NOACK;
  }

  // Seals and opens tickets (RFC 5077): 0: not ours or too old, a whole handshake; 2: good, and renewed.
  static int Ticket(SSL* ssl, unsigned char* name, unsigned char* iv, EVP_CIPHER_CTX* cipher,
                    EVP_MAC_CTX* mac, int seal) {
    TlsContext& context = Of(ssl);
    Micros now = context.clock_->Now();
    TicketKeys::Key key;
    auto found = TicketKeys::Found::kNewest;
    if (seal != 0) {
      key = context.tickets_->Newest(now);
      std::memcpy(name, key.name.data(), key.name.size());
      if (RAND_bytes(iv, EVP_CIPHER_get_iv_length(EVP_aes_256_cbc())) != 1) return -1;
    } else {
      found = context.tickets_->Find(name, now, key);
      if (found == TicketKeys::Found::kNone) return 0;
    }
    char digest[] = "SHA256";
    OSSL_PARAM params[] = {
        OSSL_PARAM_construct_octet_string(OSSL_MAC_PARAM_KEY, key.mac.data(), key.mac.size()),
        OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, digest, 0), OSSL_PARAM_construct_end()};
    if (EVP_CipherInit_ex(cipher, EVP_aes_256_cbc(), nullptr, key.cipher.data(), iv, seal) != 1 ||
        EVP_MAC_CTX_set_params(mac, params) != 1)
      return -1;
    return found == TicketKeys::Found::kOlder ? 2 : 1;
  }
};

// ---- tickets ----

TicketKeys::TicketKeys(Micros now_us) : newest_(Make()), made_us_(now_us) {}

TicketKeys::Key TicketKeys::Make() {
  Key out;
  RAND_bytes(out.name.data(), static_cast<int>(out.name.size()));
  RAND_bytes(out.cipher.data(), static_cast<int>(out.cipher.size()));
  RAND_bytes(out.mac.data(), static_cast<int>(out.mac.size()));
  return out;
}

void TicketKeys::Turn(Micros now_us) {
  Micros age = now_us - made_us_;
  if (age < kTicketLife) return;
  has_older_ = age < 2 * kTicketLife;
  older_ = newest_;
  newest_ = Make();
  made_us_ = now_us;
}

TicketKeys::Key TicketKeys::Newest(Micros now_us) {
  std::lock_guard lock(mutex_);
  Turn(now_us);
  return newest_;
}

TicketKeys::Found TicketKeys::Find(const unsigned char* name, Micros now_us, Key& out) {
  std::lock_guard lock(mutex_);
  Turn(now_us);
  auto is = [name](const Key& key) { return std::memcmp(name, key.name.data(), key.name.size()) == 0; };
  if (is(newest_)) return out = newest_, Found::kNewest;
  if (has_older_ && is(older_)) return out = older_, Found::kOlder;
  return Found::kNone;
}

// ---- files ----

std::variant<std::shared_ptr<const TlsContext>, std::string> TlsContext::Make(TlsMaterial material,
                                                                              const coordinator::Clock& clock,
                                                                              const TlsContext* before) {
  auto out = std::make_shared<TlsContext>();
  out->clock_ = &clock;
  bool mutual = !material.client_ca.empty();
  if (material.pairs.empty()) return std::string("no certificate is given");
  if (!mutual && (material.client_required || !material.revoked.empty()))
    return std::string("clients' certificates are asked for, and no issuer of them is given");
  out->tickets_ = before != nullptr && !mutual ? before->tickets_ : std::make_shared<TicketKeys>(clock.Now());
  std::vector<Certificate> issuers;
  if (mutual) {
    issuers = ReadCertificates(material.client_ca);
    if (issuers.empty()) return std::string("clients' issuers: no certificate is in the file");
    out->issuers_.reset(X509_STORE_new(), X509_STORE_free);
    for (const Certificate& one : issuers) X509_STORE_add_cert(out->issuers_.get(), one.get());
    Bio lists = Text(material.revoked);
    int count = 0;
    while (X509_CRL* one = PEM_read_bio_X509_CRL(lists.get(), nullptr, NoPassphrase, nullptr)) {
      X509_STORE_add_crl(out->issuers_.get(), RevokedList(one).get());
      ++count;
    }
    ERR_clear_error();
    if (!material.revoked.empty() && count == 0)
      return std::string("revoked certificates: no list is in the file");
    if (count > 0)
      X509_STORE_set_flags(out->issuers_.get(), X509_V_FLAG_CRL_CHECK | X509_V_FLAG_CRL_CHECK_ALL);
  }
  for (std::size_t i = 0; i < material.pairs.size(); ++i) {
    const TlsPair& pair = material.pairs[i];
    std::string where = "certificate " + std::to_string(i + 1) + ": ";
    std::shared_ptr<SSL_CTX> made(SSL_CTX_new(TLS_server_method()), SSL_CTX_free);
    SSL_CTX* ctx = made.get();
    if (ctx == nullptr) return where + Reason("no memory");
    SSL_CTX_set_min_proto_version(ctx, TLS1_2_VERSION);
    SSL_CTX_set_cipher_list(ctx, kSuites);
    SSL_CTX_set_options(ctx,
                        SSL_OP_NO_RENEGOTIATION | SSL_OP_NO_COMPRESSION | SSL_OP_CIPHER_SERVER_PREFERENCE);
    SSL_CTX_set_mode(ctx, SSL_MODE_RELEASE_BUFFERS | SSL_MODE_NO_AUTO_CHAIN);
    SSL_CTX_set_session_cache_mode(ctx, SSL_SESS_CACHE_OFF);  // a map that clients would fill
    SSL_CTX_set_max_cert_list(ctx, kMostChainBytes);
    static constexpr unsigned char kScope[] = "liftrudder";
    SSL_CTX_set_session_id_context(ctx, kScope, sizeof kScope - 1);
    SSL_CTX_set_app_data(ctx, out.get());
    SSL_CTX_set_tlsext_servername_callback(ctx, TlsCallbacks::ServerName);
    if (mutual) {
      SSL_CTX_set_options(ctx, SSL_OP_NO_TICKET);
      SSL_CTX_set_num_tickets(ctx, 0);
      SSL_CTX_set1_verify_cert_store(ctx, out->issuers_.get());
      SSL_CTX_set_verify_depth(ctx, kDepth);
      int must = material.client_required ? SSL_VERIFY_FAIL_IF_NO_PEER_CERT : 0;
      SSL_CTX_set_verify(ctx, SSL_VERIFY_PEER | must, nullptr);
      for (const Certificate& one : issuers) SSL_CTX_add_client_CA(ctx, one.get());
    } else {
      SSL_CTX_set_num_tickets(ctx, 1);
      SSL_CTX_set_tlsext_ticket_key_evp_cb(ctx, TlsCallbacks::Ticket);
    }
    std::vector<Certificate> chain = ReadCertificates(pair.certificate);
    if (chain.empty()) return where + "none is in the file";
    if (chain.size() > kMostChain + 1) return where + "more than eight beside it";
    if (SSL_CTX_use_certificate(ctx, chain[0].get()) != 1) return where + Reason("it is not fit");
    for (std::size_t n = 1; n < chain.size(); ++n) SSL_CTX_add1_chain_cert(ctx, chain[n].get());
    Bio text = Text(pair.key);
    PrivateKey key(PEM_read_bio_PrivateKey(text.get(), nullptr, NoPassphrase, nullptr));
    if (key == nullptr) return where + "its key: " + Reason("none is in the file");
    if (SSL_CTX_use_PrivateKey(ctx, key.get()) != 1 || SSL_CTX_check_private_key(ctx) != 1)
      return where + "its key: " + Reason("it is another's");
    std::int64_t expires_s = UnixSeconds(X509_get0_notAfter(chain[0].get()));
    if (X509_cmp_current_time(X509_get0_notAfter(chain[0].get())) <= 0) return where + "it has expired";
    out->expires_s_ = i == 0 ? expires_s : std::min(out->expires_s_, expires_s);
    if (i > 0) out->subjects_ += ' ';
    out->subjects_ += SubjectOf(chain[0].get());
    out->pairs_.push_back(std::move(made));
  }
  out->material_ = std::move(material);
  return std::shared_ptr<const TlsContext>(std::move(out));
}

std::string TlsContext::StillGood(const TlsPeer& peer) const {
  if (issuers_ == nullptr) return "clients' certificates are not asked for any more";
  std::unique_ptr<STACK_OF(X509), void (*)(STACK_OF(X509)*)> chain(
      sk_X509_new_null(), [](STACK_OF(X509) * one) { sk_X509_free(one); });
  for (const auto& one : peer.chain) sk_X509_push(chain.get(), one.get());
  Check check(X509_STORE_CTX_new());
  if (X509_STORE_CTX_init(check.get(), issuers_.get(), peer.certificate.get(), chain.get()) != 1)
    return Reason("no memory");
  X509_STORE_CTX_set_default(check.get(), "ssl_client");
  X509_STORE_CTX_set_depth(check.get(), kDepth);
  bool good = X509_verify_cert(check.get()) == 1;
  ERR_clear_error();
  return good ? std::string() : X509_verify_cert_error_string(X509_STORE_CTX_get_error(check.get()));
}

// ---- one connection ----

TlsChannel::TlsChannel(std::shared_ptr<const TlsContext> context)
    : context_(std::move(context)), ssl_(SSL_new(context_->raw()), SSL_free) {
  if (ssl_ == nullptr) {
    state_ = State::kFailed;
    wrong_ = Reason("no memory");
    return;
  }
  SSL_set_bio(ssl_.get(), BIO_new(BIO_s_mem()), BIO_new(BIO_s_mem()));
  SSL_set_accept_state(ssl_.get());
}

TlsChannel::State TlsChannel::Feed(std::string_view came, std::string& plain, std::string& wire) {
  if (state_ == State::kFailed || state_ == State::kEnded) return state_;
  ERR_clear_error();
  BIO_write(SSL_get_rbio(ssl_.get()), came.data(), static_cast<int>(came.size()));
  int got = 1;
  if (state_ == State::kShaking) {
    got = SSL_do_handshake(ssl_.get());
    if (got == 1) {
      state_ = State::kOpen;
      ReadPeer();
    }
  }
  char buffer[kRecord];
  while (got > 0) {
    got = SSL_read(ssl_.get(), buffer, sizeof buffer);
    if (got > 0) plain.append(buffer, static_cast<std::size_t>(got));
  }
  State state = Fail(got);
  Drain(wire);  // an alert says why to the other side
  return state;
}

// What a call that moved nothing means: wait for more, the other side's end, or a failure.
TlsChannel::State TlsChannel::Fail(int got) {
  int error = SSL_get_error(ssl_.get(), got);
  if (error == SSL_ERROR_WANT_READ || error == SSL_ERROR_WANT_WRITE) return state_;
  if (error == SSL_ERROR_ZERO_RETURN) return state_ = State::kEnded;
  long verified = SSL_get_verify_result(ssl_.get());
  wrong_ = Reason("the other side broke off");
  if (verified != X509_V_OK) wrong_ += std::string(": ") + X509_verify_cert_error_string(verified);
  return state_ = State::kFailed;
}

bool TlsChannel::Seal(std::string_view plain, std::string& wire) {
  if (state_ != State::kOpen && state_ != State::kEnded) return false;
  ERR_clear_error();
  bool good = true;
  while (good && !plain.empty()) {
    std::size_t size = std::min(plain.size(), kRecord);
    good = SSL_write(ssl_.get(), plain.data(), static_cast<int>(size)) == static_cast<int>(size);
    plain.remove_prefix(size);
    Drain(wire);
  }
  if (!good) state_ = State::kFailed;
  return good;
}

void TlsChannel::Close(std::string& wire) {
  if (state_ != State::kOpen && state_ != State::kEnded) return;
  SSL_shutdown(ssl_.get());
  ERR_clear_error();
  Drain(wire);
}

bool TlsChannel::resumed() const { return SSL_session_reused(ssl_.get()) == 1; }
std::string TlsChannel::protocol() const { return SSL_get_version(ssl_.get()); }

void TlsChannel::Drain(std::string& wire) {
  BIO* from = SSL_get_wbio(ssl_.get());
  std::size_t size = BIO_ctrl_pending(from), had = wire.size();
  wire.resize(had + size);
  if (size > 0) BIO_read(from, wire.data() + had, static_cast<int>(size));
}

void TlsChannel::ReadPeer() {
  X509* shown = SSL_get1_peer_certificate(ssl_.get());
  if (shown == nullptr) return;
  peer_ = std::make_unique<TlsPeer>();
  peer_->certificate.reset(shown, X509_free);
  peer_->names = NamesOf(shown);
  peer_->subject = SubjectOf(shown);
  STACK_OF(X509)* chain = SSL_get_peer_cert_chain(ssl_.get());
  for (int i = 0; i < sk_X509_num(chain) && peer_->chain.size() < kMostChain; ++i) {
    X509* one = sk_X509_value(chain, i);
    X509_up_ref(one);
    peer_->chain.emplace_back(one, X509_free);
  }
}

}  // namespace liftrudder::net
