// TLS 1.3 and 1.2 for one side of a connection, without I/O: what came goes in, what is to be written comes
// out. Whoever owns the socket bounds time and number. Cryptography and records are OpenSSL's.
#ifndef LIFTRUDDER_NET_TLS_H_
#define LIFTRUDDER_NET_TLS_H_

#include <array>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "coordinator/interfaces.h"

struct ssl_st;
struct ssl_ctx_st;
struct x509_st;
struct x509_store_st;

namespace liftrudder::net {

using coordinator::Micros;

// Texts of files in PEM, as they were read.
struct TlsPair {
  std::string certificate;  // with what its issuer adds, leaf first
  std::string key;
};

struct TlsMaterial {
  std::vector<TlsPair> pairs;  // the first is shown to who names no server, or one that none is for
  std::string client_ca;       // empty: clients are not asked for certificates
  std::string revoked;         // lists of revoked certificates, of every issuer in client_ca; empty: none
  bool client_required = false;

  bool operator==(const TlsMaterial&) const = default;
};
inline bool operator==(const TlsPair& a, const TlsPair& b) {
  return a.certificate == b.certificate && a.key == b.key;
}

// Keys that tickets of resumption are sealed with. A new one every kTicketLife; the one before still opens,
// so that a ticket is good for one to two such spans, on connections that outlive any change of keys as well.
class TicketKeys {
 public:
  static constexpr std::size_t kNameBytes = 16, kKeyBytes = 32;
  static constexpr Micros kTicketLife = 3'600'000'000;

  struct Key {
    std::array<unsigned char, kNameBytes> name{};
    std::array<unsigned char, kKeyBytes> cipher{}, mac{};
  };
  enum class Found { kNone, kNewest, kOlder };

  explicit TicketKeys(Micros now_us);
  // Drops what is too old and makes what is due. Any thread.
  Key Newest(Micros now_us);
  Found Find(const unsigned char* name, Micros now_us, Key& out);

 private:
  void Turn(Micros now_us);
  static Key Make();
  std::mutex mutex_;
  Key newest_, older_;
  bool has_older_ = false;
  Micros made_us_ = 0;
};

// What a client's certificate says, once its chain was found good.
struct TlsPeer {
  std::vector<std::string> names;  // of its subjectAltName: dns:, uri: and email: before each
  std::string subject;             // in one line, for the audit
  std::shared_ptr<x509_st> certificate;
  std::vector<std::shared_ptr<x509_st>> chain;  // what it came with
};

// Files as of one moment; connections keep the one they began with.
class TlsContext {
 public:
  // What is wrong is told with where: which pair, which file. `before`: tickets given out under it hold on.
  // None are given where clients show certificates: a resumed connection shows none, and a revocation counts.
  static std::variant<std::shared_ptr<const TlsContext>, std::string> Make(
      TlsMaterial material, const coordinator::Clock& clock, const TlsContext* before = nullptr);

  const TlsMaterial& material() const { return material_; }
  // Whether a client's certificate that was good when its connection began still is: not expired, not revoked
  // since, its issuer still known. Empty, or why not.
  std::string StillGood(const TlsPeer& peer) const;
  // The moment from which the first of the certificates shown is not good any more, in seconds of Unix time.
  std::int64_t expires_s() const { return expires_s_; }
  const std::string& subjects() const { return subjects_; }  // of the certificates shown, for the audit
  ssl_ctx_st* raw() const { return pairs_[0].get(); }

 private:
  friend struct TlsCallbacks;
  TlsMaterial material_;
  const coordinator::Clock* clock_ = nullptr;
  std::shared_ptr<TicketKeys> tickets_;
  std::vector<std::shared_ptr<ssl_ctx_st>> pairs_;
  std::shared_ptr<x509_store_st> issuers_;
  std::int64_t expires_s_ = 0;
  std::string subjects_;
};

// The newest context; connections that begin take it. Any thread.
class TlsSource {
 public:
  void Set(std::shared_ptr<const TlsContext> context) {
    std::lock_guard lock(mutex_);
    context_ = std::move(context);
  }
  std::shared_ptr<const TlsContext> Get() const {
    std::lock_guard lock(mutex_);
    return context_;
  }

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const TlsContext> context_;
};

// The server's side of one connection. Not for several threads at once.
class TlsChannel {
 public:
  // Ended: the other side has said that it writes no more (close_notify). A connection that ends without is
  // cut.
  enum class State { kShaking, kOpen, kEnded, kFailed };

  explicit TlsChannel(std::shared_ptr<const TlsContext> context);

  // Takes bytes that came; appends what they said to `plain` and what must be written to `wire`, an alert
  // too.
  State Feed(std::string_view came, std::string& plain, std::string& wire);
  // Appends `plain` sealed to `wire`; false before the handshake is over and after a failure.
  bool Seal(std::string_view plain, std::string& wire);
  // Says that nothing more is written.
  void Close(std::string& wire);

  State state() const { return state_; }
  const std::string& wrong() const { return wrong_; }  // why it failed
  // Of a client that showed a certificate; null else.
  const TlsPeer* peer() const { return peer_.get(); }
  bool resumed() const;
  std::string protocol() const;

 private:
  void Drain(std::string& wire);
  State Fail(int got);
  void ReadPeer();
  std::shared_ptr<const TlsContext> context_;
  std::unique_ptr<ssl_st, void (*)(ssl_st*)> ssl_;
  State state_ = State::kShaking;
  std::string wrong_;
  std::unique_ptr<TlsPeer> peer_;
};

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_TLS_H_
