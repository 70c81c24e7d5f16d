// Executes the statements of a scenario. The program under test runs as a child process; its fake endpoints,
// discovery and clients are served by one thread with poll().
#ifndef LIFTRUDDER_TESTS_SCENARIO_PLAYER_H_
#define LIFTRUDDER_TESTS_SCENARIO_PLAYER_H_

#include <sys/resource.h>
#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "net/socket.h"
#include "scenario/peer.h"
#include "support/certificate_issuer.h"
#include "support/token_signer.h"

namespace liftrudder::tests {

// One line of a scenario: VERB SUBJECT ARGUMENTS.
struct Statement {
  std::string verb;
  std::string subject;
  std::string arguments;  // with each $NAME replaced by its stored value
  std::string line;       // as in the script
};

class Player {
 public:
  explicit Player(std::string program);
  ~Player();
  Player(const Player&) = delete;
  Player& operator=(const Player&) = delete;

  // Throws ScenarioError, or the exception of a failed parse of the statement's arguments.
  void Execute(const std::string& line);
  // Sends SIGTERM where the program still runs. Throws ScenarioError unless it exits with 0 and its log has
  // no sanitizer report.
  void StopProgram();

 private:
  using Handler = void (Player::*)(const Statement&);
  static const std::map<std::string, Handler>& Handlers();
  Statement Parse(const std::string& line) const;

  // statements.cpp: messages on connections.
  void Set(const Statement& statement);
  void Send(const Statement& statement);
  void SendBytes(const Statement& statement);
  void Flood(const Statement& statement);
  void Reply(const Statement& statement);
  void Expect(const Statement& statement);
  void ExpectEnded(const Statement& statement);
  void ExpectFinished(const Statement& statement);
  void ExpectQuiet(const Statement& statement);
  void ExpectLog(const Statement& statement);
  void ExpectCounters(const Statement& statement);
  void Keep(const Statement& statement);
  void Close(const Statement& statement);
  std::string AwaitEndpointMessage(const std::string& selector);

  // endpoint_statements.cpp: endpoints, and the discovery, zone file and DNS updates that announce them.
  void AddEndpoint(const Statement& statement);
  void AdmitConnections(const Statement& statement);
  void WriteZone(const Statement& statement);
  void SendDnsUpdate(const Statement& statement);
  void SendList(const Statement& statement);
  void SendIndentedList(const Statement& statement);
  void RestartEndpoint(const Statement& statement);
  void TakeOverAddress(const Statement& statement);
  void QueueWatchDenial(const Statement& statement);
  void SendEndpointUpdate(const std::string& name, const std::string& state);
  void SendEntry(const nlohmann::json& entry);
  void WriteToWatch(const std::string& list);
  nlohmann::json EndpointEntry(const std::string& name, const std::string& state) const;

  // client_statements.cpp: clients, tokens, certificates.
  void Query(const Statement& statement);
  void Post(const Statement& statement);
  void Http(const Statement& statement);
  void BeginHttp(const Statement& statement);
  void CompleteHttp(const Statement& statement);
  std::string HttpText(const Statement& statement);
  void WriteKeys(const Statement& statement);
  void SetToken(const Statement& statement);
  void WriteTls(const Statement& statement);
  void SetCertificate(const Statement& statement);
  Connection& Client(const std::string& name);
  const Signer& SignerFor(const std::string& kid);
  // Replaces a file atomically by renaming, as operators must.
  void ReplaceFile(const std::string& name, const std::string& text) const;

  // process_statements.cpp: the program under test.
  void Start(const Statement& statement);
  void Reload(const Statement& statement);
  void LimitDescriptors(const Statement& statement);
  void Terminate(const Statement& statement);
  void Wait(const Statement& statement);
  void AwaitExit();
  void WriteConfiguration(const std::string& text) const;
  [[noreturn]] void ExecuteProgram(int log_fd) const;

  // player.cpp: peers and the loop that serves them.
  std::string ResolveAlias(const std::string& name) const;
  Peer& FindPeer(const std::string& name);
  Peer& FindEndpoint(const std::string& name) { return endpoints_.at(ResolveAlias(name)); }
  // Serves all sockets until the condition holds. Throws ScenarioError with `error_text` and the program's
  // log when it does not hold within 20 s.
  void WaitUntil(const std::function<bool()>& condition, const std::string& error_text);
  void ServeOnce();
  void SendHeartbeat();
  void Accept(Peer& peer, WireKind wire);
  void AcceptWatch();

  // Sent to the next watch instead of an endpoint list.
  struct WatchDenial {
    std::string bytes;
    bool stays_open = false;
  };

  const std::string program_;
  std::string directory_;
  nlohmann::json config_;
  std::uint64_t list_version_ = 1;
  bool serves_search_ = false;

  pid_t child_ = 0;            // 0: not running
  rlimit descriptor_limit_{};  // of the program at its start
  net::Fd log_fd_;
  std::string log_;  // of the program so far
  std::string program_address_;

  Peer discovery_;
  std::deque<WatchDenial> watch_denials_;
  std::vector<net::Fd> stalled_watches_;
  std::chrono::steady_clock::time_point last_watch_write_;

  std::map<std::string, Peer> endpoints_;
  std::map<std::string, Peer> clients_;
  std::map<std::string, std::string> last_bytes_;   // of requests that clients have begun
  std::map<std::string, std::string> aliases_;      // endpoint names by `it` and `other`
  std::map<std::string, std::string> kept_values_;  // by the NAME of `keep`
  std::string last_message_;                        // consumed by `expect` last
  bool counters_requested_ = false;

  std::map<std::string, Signer> signers_;  // by kid
  CertificateIssuer server_issuer_{"servers"};
  CertificateIssuer client_issuer_{"clients"};
  std::map<std::string, IssuedCertificate> client_certificates_;  // by client
  std::map<std::string, std::string> authorization_headers_;      // by client
};

}  // namespace liftrudder::tests

#endif  // LIFTRUDDER_TESTS_SCENARIO_PLAYER_H_
