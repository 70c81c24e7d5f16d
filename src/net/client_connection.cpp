#include "net/client_connection.h"

#include <algorithm>

namespace liftrudder::net {
namespace {

constexpr int kReads = 16;                           // of the socket in one Read, each of kReadBytes at most
constexpr std::size_t kAtOnce = 16 * 1024;           // sealed at once: a record
constexpr char kAlert[] = "\x15\x03\x03\0\2\2\x50";  // RFC 8446 section 6: fatal, internal_error

}  // namespace

Io ClientConnection::Read(std::string& plain) {
  if (context_ == nullptr) return ReadSome(fd_, plain, 0);
  if (!early_.empty()) {
    plain += early_;
    early_.clear();
    return Io::kOk;
  }
  std::size_t had = plain.size();
  for (int i = 0; i < kReads && plain.size() == had; ++i) {
    if (channel_ != nullptr && channel_->state() == TlsChannel::State::kEnded) return Io::kEnd;
    if (channel_ != nullptr && channel_->state() == TlsChannel::State::kFailed) return Io::kError;
    std::string came, wire;
    Io got = ReadNow(fd_, came);
    if (got == Io::kEnd) return Io::kError;  // without the last word
    if (got != Io::kOk) return got;
    if (channel_ == nullptr) channel_ = std::make_unique<TlsChannel>(context_);
    channel_->Feed(came, plain, wire);
    // A flight of a handshake fits into any socket's buffer; who does not take that in is gone.
    if (!wire.empty() && WriteAll(fd_, wire, 0).status != Io::kOk) return Io::kError;
  }
  return plain.size() > had ? Io::kOk : Io::kTimeout;
}

Written ClientConnection::Write(std::string_view plain, Micros wait_us) {
  if (context_ == nullptr) return WriteAll(fd_, plain, wait_us);
  SteadyClock clock;
  Micros until = clock.Now() + wait_us;
  Written out;
  std::string wire;
  while (out.bytes < plain.size()) {
    std::string_view next = plain.substr(out.bytes, kAtOnce);
    wire.clear();
    if (channel_ == nullptr || !channel_->Seal(next, wire)) return {Io::kError, out.bytes};
    Io status = WriteAll(fd_, wire, std::max<Micros>(0, until - clock.Now())).status;
    if (status != Io::kOk) return {status, out.bytes};
    out.bytes += next.size();
  }
  return out;
}

Sight ClientConnection::See() {
  if (!early_.empty()) return Sight::kBytes;
  Sight raw = Peek(fd_.Get());
  if (context_ == nullptr || raw != Sight::kBytes) return raw;
  Io got = Read(early_);
  return got == Io::kOk ? Sight::kBytes : got == Io::kTimeout ? Sight::kNothing : Sight::kEnd;
}

const TlsPeer* ClientConnection::Peer(Micros now_us, std::string& wrong) {
  const TlsPeer* peer = channel_ == nullptr ? nullptr : channel_->peer();
  if (peer == nullptr) return nullptr;
  std::shared_ptr<const TlsContext> newest = source_->Get();
  if (newest->material().client_ca.empty()) return nullptr;
  if (newest != held_against_ || now_us - held_us_ >= kRecheck) {
    peer_wrong_ = newest->StillGood(*peer);
    held_against_ = std::move(newest);
    held_us_ = now_us;
  }
  wrong = peer_wrong_;
  return peer;
}

Fd ClientConnection::Finish() {
  if (context_ != nullptr) {
    std::string wire;
    if (channel_ == nullptr) {
      wire.assign(kAlert, sizeof kAlert - 1);
    } else {
      channel_->Close(wire);
    }
    if (!wire.empty()) WriteAll(fd_, wire, 0);
  }
  return Release();
}

}  // namespace liftrudder::net
