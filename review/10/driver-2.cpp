// A leaked key is withdrawn during a planned restart: its token is still accepted more than a second later.
#include "search_stand_ins.h"
#include "tokens.h"

namespace {

using namespace review;

constexpr int kShards = 12;
constexpr double kWithdrawnS = 0.1;      // after SIGTERM
constexpr double kRequestBeginsS = 0.5;  // after SIGTERM
constexpr double kRequestEndsS = 2.0;    // after SIGTERM: written in 1.5 s

std::string OneHit(const HttpRequest& request) {
  std::string shard = request.target.substr(request.target.find("_shards:") + 8);
  std::string id = "staff-" + shard;
  return "{\"took\":1,\"timed_out\":false,\"_shards\":{\"total\":1,\"successful\":1,\"failed\":0},\"hits\":{"
         "\"total\":"
         "{\"value\":1,\"relation\":\"eq\"},\"max_score\":1.0,\"hits\":[{\"_index\":\"lessons\",\"_id\":\"" +
         id + "\",\"_source\":{\"practice\":\"record\"},\"sort\":[1.0,\"" + id + "\"]}]}}";
}

std::string Configuration(const CaseContext& context, int port, int discovery_port) {
  std::string text = ReadFile(context.root + "/deploy/opensearch.json");
  Replace(text, "\"listen\": \"127.0.0.1:9200\"", "\"listen\": \"" + AddressOf(port) + "\"");
  Replace(text, "\"discovery\": \"127.0.0.1:8500\"", "\"discovery\": \"" + AddressOf(discovery_port) + "\"");
  Replace(text, "\"opensearch\": {",
          "\"identity\": {\"keys\": \"keys.json\", \"issuer\": \"issuer\", \"audience\": \"gatherer\", "
          "\"tenants\": {"
          "\"office\": {\"indices\": [\"*\"]}}},\n \"opensearch\": {");
  return text;
}

int Run(CaseContext& context) {
  Recorder& recorder = context.recorder;
  Discovery discovery("akl-dc1");
  std::vector<std::unique_ptr<SearchHolder>> holders;
  for (int cell = 0; cell < kShards; ++cell) {
    holders.push_back(std::make_unique<SearchHolder>(OneHit));
    discovery.Add({"s-" + std::to_string(cell), holders.back()->port(), cell});
  }
  WriteFile(context.temporary + "/key.pem", NewPrivateKey());
  const std::string key = TokenCommand(context, "--jwk");
  WriteFile(context.temporary + "/keys.json", "{\"keys\":[" + key + "]}");
  const std::string token = TokenCommand(context, "--issuer issuer --audience gatherer --tenant office");
  const int port = FreePort();
  const std::string file = context.temporary + "/opensearch.json";
  WriteFile(file, Configuration(context, port, discovery.port()));
  Program program(context.root, context.command + " --opensearch " + file, file, context.temporary + "/log");
  program.Start();
  program.WaitReady(port);

  const std::string text = "POST /lessons/_search HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + token +
                           "\r\nContent-Length: 10\r\n\r\n{\"size\":2}";
  Socket client = ConnectTo(port);
  WriteAll(client, text);
  HttpReply reply = ReadReply(client, 12);
  recorder.Line("caller: the first search is answered with %d", reply.status);
  if (reply.status != 200) throw CouldNotRun("the token was not accepted while its key was valid");

  SteadyTime start = Now();
  if (context.trouble) {
    program.Signal(SIGTERM);
    recorder.Line("SIGTERM is sent");
  }
  SleepSeconds(kWithdrawnS);
  std::string withdrawn = key;
  withdrawn.insert(1, "\"state\":\"withdrawn\",");
  WriteFile(context.temporary + "/new-keys.json", "{\"keys\":[" + withdrawn + "]}");
  std::rename((context.temporary + "/new-keys.json").c_str(), (context.temporary + "/keys.json").c_str());
  SteadyTime withdrawn_at = Now();
  recorder.Line("the key is withdrawn");
  SleepSeconds(kRequestBeginsS - SecondsSince(start));
  bool open = WriteAll(client, text.substr(0, 40));
  recorder.Line("caller: the first bytes of the second search are written");
  SleepSeconds(kRequestEndsS - SecondsSince(start));
  open = open && WriteAll(client, text.substr(40));
  recorder.Line("caller: its last byte is %swritten, %.3f s after the key was withdrawn", open ? "" : "not ",
                SecondsSince(withdrawn_at));
  reply = ReadReply(client, 12);
  recorder.Line("caller: the second search is answered with %d %s", reply.status, reply.body.c_str());
  return reply.status == 200 ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) { return RunCase(argc, argv, Run); }
