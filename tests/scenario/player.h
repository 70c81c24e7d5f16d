// Plays the statements of a scenario: the program under test as a child, its fake endpoints, discovery and
// clients, all served by one thread with poll().
#ifndef LIFTRUDDER_TESTS_SCENARIO_PLAYER_H_
#define LIFTRUDDER_TESTS_SCENARIO_PLAYER_H_

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
#include "support/token_issuer.h"
#include "support/token_signer.h"

namespace liftrudder::tests {

// One line of a scenario: VERB SUBJECT ARGUMENTS.
struct Statement {
  std::string verb;
  std::string subject;
  std::string arguments;  // with $NAME replaced
  std::string line;       // as written
};

class Player {
 public:
  explicit Player(std::string program);
  ~Player();
  Player(const Player&) = delete;
  Player& operator=(const Player&) = delete;

  // Throws ScenarioError, or what the parsing of its arguments throws.
  void Execute(const std::string& line);
  // However the scenario left it, the program ends on SIGTERM, without a crash or a sanitizer's report.
  void End();

 private:
  using Handler = void (Player::*)(const Statement&);
  static const std::map<std::string, Handler>& Handlers();
  Statement Parse(const std::string& line) const;

  // statements.cpp: what comes and goes on connections.
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
  std::string AwaitEndpointMessage(const std::string& who);

  // endpoint_statements.cpp: endpoints and where the program learns of them.
  void AddEndpoint(const Statement& statement);
  void WriteZone(const Statement& statement);
  void SendDnsUpdate(const Statement& statement);
  void SendList(const Statement& statement);
  void SendIndentedList(const Statement& statement);
  void DenyWatch(const Statement& statement);
  void SendEntry(const std::string& name, const std::string& state);
  void SendOnWatch(const std::string& list);
  nlohmann::json Entry(const std::string& name, const std::string& state) const;

  // client_statements.cpp: clients, tokens, certificates.
  void Query(const Statement& statement);
  void Post(const Statement& statement);
  void Http(const Statement& statement);
  void WriteKeys(const Statement& statement);
  void SetToken(const Statement& statement);
  void WriteTls(const Statement& statement);
  void SetCertificate(const Statement& statement);
  Connection& Client(const std::string& name);
  const Signer& SignerOf(const std::string& kid);
  // Puts a file in place by renaming, as operators must.
  void ReplaceFile(const std::string& name, const std::string& text) const;

  // process_statements.cpp: the program under test.
  void Start(const Statement& statement);
  void Reload(const Statement& statement);
  void Terminate(const Statement& statement);
  void Wait(const Statement& statement);
  void AwaitExit();
  void WriteConfiguration(const std::string& text) const;
  [[noreturn]] void ExecuteProgram(int log_fd) const;

  // player.cpp: peers and the loop that serves them.
  std::string Resolve(const std::string& name) const;
  Peer& FindPeer(const std::string& name);
  Peer& FindEndpoint(const std::string& name) { return endpoints_.at(Resolve(name)); }
  // Serves all sockets until the condition holds; throws ScenarioError with `otherwise` when it never does.
  void Until(const std::function<bool()>& holds, const std::string& otherwise);
  void ServeOnce();
  void SendHeartbeat();
  void Accept(Peer& peer, WireKind wire);
  void AcceptWatch();

  // What the next watch gets in place of a list.
  struct WatchDenial {
    std::string bytes;
    bool stays_open = false;
  };

  const std::string program_;
  std::string directory_;
  nlohmann::json config_;
  std::uint64_t list_version_ = 1;
  bool serves_search_ = false;

  pid_t child_ = 0;  // 0: not running
  net::Fd log_fd_;
  std::string log_;  // so far
  std::string program_address_;

  Peer discovery_;
  std::deque<WatchDenial> denials_;
  std::vector<net::Fd> stalled_watches_;
  std::chrono::steady_clock::time_point last_watch_write_;

  std::map<std::string, Peer> endpoints_;
  std::map<std::string, Peer> clients_;
  std::map<std::string, std::string> aliases_;      // `it` and `other`
  std::map<std::string, std::string> kept_values_;  // by the name after `keep`
  std::string last_message_;                        // that was expected
  bool counters_requested_ = false;

  std::map<std::string, Signer> signers_;  // by kid
  Issuer server_issuer_{"servers"};
  Issuer client_issuer_{"clients"};
  std::map<std::string, Issued> client_certificates_;         // by client
  std::map<std::string, std::string> authorization_headers_;  // by client
};

}  // namespace liftrudder::tests

#endif  // LIFTRUDDER_TESTS_SCENARIO_PLAYER_H_
