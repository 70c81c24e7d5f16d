// Case 1: servers of the search API send a second copy of a good answer directly behind it. Two clients
// search for different lessons, in turn; each must get only its own lesson.
#include "../support/stand_in.h"

namespace review {
namespace {

constexpr int kServers = 3;
constexpr int kSearches = 100;           // of both clients together
constexpr std::int64_t kSpacingMs = 60;  // between two searches
constexpr int kCopyEvery = 10;           // one in so many answers has a second copy behind it

std::atomic<int> answers{0};

// The lesson that a search for {"match":{"lesson":"NAME"}} asks for.
std::string LessonIn(const std::string& text) {
  const std::string mark = R"("match":{"lesson":")";
  std::size_t at = text.find(mark);
  if (at == std::string::npos) return "?";
  at += mark.size();
  return text.substr(at, text.find('"', at) - at);
}

std::string Answer(const std::string& lesson) {
  std::string body =
      R"({"took":2,"timed_out":false,"_shards":{"total":1,"successful":1,"skipped":0,"failed":0},)"
      R"("hits":{"total":{"value":1,"relation":"eq"},"max_score":1.0,"hits":[{"_index":"lessons","_id":")" +
      lesson + R"(-1","_score":1.0,"_source":{"lesson":")" + lesson + R"("},"sort":[1.0,")" + lesson +
      R"(-1"]}]}})";
  return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

void ServeSearches(int server, int fd) {
  std::string in;
  while (true) {
    auto request = TakeHttp(in);
    if (!request) {
      if (!ReadSome(fd, in, 60'000)) return;
      continue;
    }
    std::string lesson = LessonIn(request->body);
    // "directly behind, when nothing else waits on the connection": this connection has no other request.
    bool copy = TroubleWanted() && ++answers % kCopyEvery == 0 && in.empty();
    std::string answer = Answer(lesson);
    RECORD("server %d, connection %d: asked for '%s', answers '%s'%s", server, fd, lesson.c_str(),
           lesson.c_str(), copy ? ", with a second copy of the answer directly behind" : "");
    if (!WriteAll(fd, copy ? answer + answer : answer)) return;
  }
}

std::string SearchRequest(const std::string& lesson) {
  std::string body = R"({"size":5,"query":{"match":{"lesson":")" + lesson + R"("}}})";
  return "POST /lessons/_search HTTP/1.1\r\nHost: search\r\nContent-Type: application/json\r\n"
         "Content-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string HitIn(const std::string& body) {
  const std::string mark = R"("_source":{"lesson":")";
  std::size_t at = body.find(mark);
  if (at == std::string::npos) return "";
  at += mark.size();
  return body.substr(at, body.find('"', at) - at);
}

int Run() {
  std::vector<ListedServer> servers;
  for (int i = 0; i < kServers; ++i) {
    int listener = Listen();
    ServeConnections(listener, [i](int fd) { ServeSearches(i, fd); });
    servers.push_back({"s-" + std::to_string(i), AddressOf(listener), i});
  }
  Discovery discovery(servers);
  DeploymentSettings settings;
  settings.discovery = discovery.address();
  settings.opensearch = R"("opensearch":{"indices":{"lessons":{"class":"term-report","shards":[0]}}},)";
  std::string config = TemporaryFolder() + "/config.json";
  WriteFile(config, ConfigText(settings));
  Coordinator coordinator(config, " --opensearch " + config);
  coordinator.AwaitReady();

  const std::string lessons[] = {"piano", "violin"};
  HttpClient clients[] = {HttpClient(coordinator.port()), HttpClient(coordinator.port())};
  int served = 0;
  int foreign = 0;
  for (int i = 0; i < kSearches; ++i) {
    const std::string& lesson = lessons[i % 2];
    HttpClient& client = clients[i % 2];
    client.Send(SearchRequest(lesson));
    HttpMessage answer = client.Receive(12'000);
    std::string hit = HitIn(answer.body);
    bool wrong = answer.status == 200 && hit != lesson;
    served += answer.status == 200 ? 1 : 0;
    foreign += wrong ? 1 : 0;
    RECORD("client %d searched for '%s': status %d, hit '%s'%s", i % 2, lesson.c_str(), answer.status,
           hit.c_str(), wrong ? "  <-- the other client's answer" : "");
    SleepMs(kSpacingMs);
  }
  coordinator.Kill();
  RECORD("%d of %d searches answered with 200, %d of them with another search's answer", served, kSearches,
         foreign);
  if (served < kSearches / 2) Finish(kCannotRun, "cannot judge: fewer than half of the searches were served");
  if (foreign > 0) Finish(kBroken, "BROKEN: a client was served another search's answer");
  Finish(kHeld, "held: each client was served only its own answer");
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 2) return review::kCannotRun;
  ::signal(SIGPIPE, SIG_IGN);
  review::Record::Instance().Open(argv[1]);
  return review::Run();
}
