// The answers of three of sixteen record holders get lost for 6 s: a booking is refused, asked again and run
// twice.
#include "stand_ins.h"

namespace {

using namespace review;

constexpr int kCells = 12;
constexpr int kHolders = 16;       // cells 0 to 11, and one more in each of the cells 4 to 7
constexpr int kSilentHolders = 3;  // 18.75%: those that hold slice 0
constexpr double kSilentS = 6;
constexpr double kGiveUpS = 5;        // of book-lesson: what a client waits for all of its tries
constexpr double kFirstTryS = 4;      // the first try: 80% of it
constexpr double kWindowS = 1.5;      // in which a repeated part is dropped
constexpr int kMaxTries = 4;          // clients retry up to 3 times
constexpr double kOwnBackoffS = 0.2;  // the client's wait where no advice is given
const char kKey[] = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";

// What the record holders have booked: any holder of a slice drops a part whose key ran within the window.
class Bookings {
 public:
  explicit Bookings(Recorder& recorder) : recorder_(recorder) {}

  void Run(int cell, const Part& part) {
    std::lock_guard lock(mutex_);
    double now_s = recorder_.Elapsed();
    double& last_s = last_run_s_.try_emplace(part.key, -1e9).first->second;
    if (now_s - last_s < kWindowS) {
      recorder_.Line("holder %d: part %s with key %s is a repeat and dropped", cell, part.id.c_str(),
                     part.key.c_str());
      return;
    }
    last_s = now_s;
    ++runs_;
    recorder_.Line("holder %d: part %s with key %s RUNS, run %d", cell, part.id.c_str(), part.key.c_str(),
                   runs_);
  }
  int runs() {
    std::lock_guard lock(mutex_);
    return runs_;
  }

 private:
  Recorder& recorder_;
  std::mutex mutex_;
  std::map<std::string, double> last_run_s_;
  int runs_ = 0;
};

std::string Configuration(const CaseContext& context, int port, int discovery_port) {
  std::string text = ReadFile(context.root + "/deploy/opensearch.json");
  Replace(text, "\"listen\": \"127.0.0.1:9200\"", "\"listen\": \"" + AddressOf(port) + "\"");
  Replace(text, "\"discovery\": \"127.0.0.1:8500\"", "\"discovery\": \"" + AddressOf(discovery_port) + "\"");
  ReplaceAfter(text, "\"name\": \"book-lesson\"", "\"repeatWindowUs\": 5000000",
               "\"repeatWindowUs\": 1500000");
  return text;
}

// A client as the simulator's page has it: it asks again after any failure within the window of its first
// try, and later only after a refusal, as long as its 5 s last. Returns whether a refusal made it ask again
// after the window.
bool Book(int port, Recorder& recorder) {
  SteadyTime start = Now();
  bool asked_again_after_window = false;
  for (int attempt = 1; attempt <= kMaxTries; ++attempt) {
    double left_s = kGiveUpS - SecondsSince(start);
    if (left_s < 0.3) break;
    PlatformQuery query{
        "8a0000000000000" + std::to_string(attempt), "book-lesson", std::min(left_s, kFirstTryS), {0}, kKey};
    Socket socket = ConnectTo(port);
    WriteAll(socket, query.Head() + query.Body());
    recorder.Line("client: try %d is sent, for %.3f s, %.3f s after the first", attempt, query.budget_s,
                  SecondsSince(start));
    HttpReply reply = ReadReply(socket, query.budget_s + 0.6);
    std::string advice = reply.Header("retry-after");
    recorder.Line("client: try %d is answered with %d, Retry-After '%s' %s", attempt, reply.status,
                  advice.c_str(), reply.problem.c_str());
    if (reply.status == 200) break;
    bool refused = reply.status == 429 || reply.status == 503;
    bool within_window = SecondsSince(start) < kWindowS;
    if (!refused && !within_window) {
      recorder.Line("client: failed, and the window is over: it does not ask again");
      break;
    }
    SleepSeconds(advice.empty() ? kOwnBackoffS : std::atof(advice.c_str()));
    asked_again_after_window = asked_again_after_window || SecondsSince(start) >= kWindowS;
  }
  return asked_again_after_window;
}

int Run(CaseContext& context) {
  Recorder& recorder = context.recorder;
  Bookings bookings(recorder);
  Discovery discovery("akl-dc1");
  std::atomic<bool> silent{context.trouble};
  std::vector<std::unique_ptr<FrameHolder>> holders;
  for (int i = 0; i < kHolders; ++i) {
    int cell = i < kCells ? i : i - kCells + 4;
    holders.push_back(std::make_unique<FrameHolder>([&, i](const Part& part) -> PartAnswer {
      bookings.Run(i, part);
      if (silent && i < kSilentHolders) return {};
      return {0.14, "5be2a07c19f04d63"};
    }));
    discovery.Add({"s-" + std::to_string(i), holders.back()->port(), cell});
  }
  const int port = FreePort();
  const std::string config = context.temporary + "/config.json";
  WriteFile(config, Configuration(context, port, discovery.port()));
  Program program(context.root, context.command, config, context.temporary + "/log");
  program.Start();
  program.WaitReady(port);

  SteadyTime start = Now();
  if (context.trouble)
    recorder.Line("the answers of holders 0, 1 and 2 get lost from now on, for %.0f s", kSilentS);
  bool asked_again = Book(port, recorder);
  if (context.trouble) {
    SleepSeconds(kSilentS - SecondsSince(start));
    silent = false;
  }
  recorder.Line("the booking has run %d times", bookings.runs());
  if (bookings.runs() == 0) throw CouldNotRun("the booking never reached a holder");
  return asked_again && bookings.runs() > 1 ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) { return RunCase(argc, argv, Run); }
