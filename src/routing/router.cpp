// Every decision of tinsail, all its constants and all its state. The types, events and actions it speaks
// in are in include/tinsail/tinsail.h. Plain functions, in the order in which a query lives:
// list of replicas -> arrival -> admission -> cut -> replica -> send -> outcome -> copy -> answer -> end.
#include "routing/router.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <set>
#include <utility>

namespace liftrudder::routing {
namespace {

// ---- Constants: ratios of what the settings state or of what is observed; none is one deployment's. ----
constexpr double kWeightSlack = 5e-5;  // told weights are 32-bit and sum to 1 only roughly
constexpr double kTicksToAnswer = 3;   // resolutions kept back so that an answer meant in time is in time,
constexpr double kAnswerLead = 0.03;   // and least aims before an aim: on a busy core writes are late
// Latencies assumed before anything was seen, as shares of the least aim, and the observations each is worth;
// with a tail, or a restarted instance would copy every part and call every replica silent.
constexpr std::pair<double, double> kPrior[] = {{1.0 / 8, 6}, {1.0 / 4, 3}, {1.0 / 2, 2}};
constexpr double kLatencyMemory = 4;    // aims after which an observed latency counts 1/e
constexpr double kBucketGrowth = 1.15;  // latency histogram: 15% a bucket, from 1 ms
constexpr int kBuckets = 80;
constexpr double kSpread = 3;            // the slowest part of a query takes about this many median latencies
constexpr double kPerPartGain = 0.03;    // weight of the newest part in the latency for each part out
constexpr double kSlope = 0.5;           // share of that which each further part of ours at its replica adds
constexpr double kPressureMemory = 0.5;  // least aims (or the gap between own queries, where longer) over
constexpr double kPressurePrior = 3;     // which parts out are set against answers, and so many assumed ones
constexpr double kServerGain = 0.15;     // the same for one replica, which sees fewer
constexpr double kCutFrom = 0.8;         // pressure (1: the slowest part comes in with the aim) at which the
constexpr double kCutFull = 1.4;         // cut leaves zero, and at which it takes all that may be skipped
constexpr double kRefuseFrom = 1.2;      // dropping light parts has not relieved it: refusals begin,
constexpr double kRefuseFull = 2.0;      // and here the class of least worth for its work goes whole
constexpr double kHotFrom = 0.6;  // expected latency of the slowest part, as a share of the aim: from here
constexpr double kHotFull = 1.2;  // on queries that need it are refused, and from here on all of them
constexpr double kCopyQuantile = 0.95;  // a part out longer than this share of parts took gets a copy
constexpr double kSickCopy = 1.5;       // on a sick replica: out for this many medians is enough
constexpr double kCopyPressure = 0.6;   // above this pressure only parts on sick replicas are copied
constexpr double kCopyShare = 0.10;  // copies per part taken, lest copies feed an overload: as long as they
constexpr double kCopyWins = 0.9;    // come in first in this share of cases, and next to none below the
constexpr double kCopyLoses = 0.5;   // other, when slow parts are work that waits, and a copy adds to it
constexpr double kCopyMemory = 0.9, kCopyPrior = 2;  // what an older copy counts; ones assumed to have won
constexpr double kMostIn = 0.8;     // with this share of a query's parts in, the others are stragglers after
constexpr double kStraggler = 1.4;  // this multiple of what those took, when no more than so many
constexpr double kStragglerLead = 2;        // 0.9 quantiles are left to the aim: copied up to this pressure,
constexpr double kStragglerPressure = 1.0;  // since a fleet that is slow as a whole is slow for all of them
constexpr double kSlowRatio = 2.5;          // latency against the fleet's median that makes a replica sick
constexpr double kHealthPrior = 1.5;        // samples of 'as the others' that a replica starts with
constexpr double kHealthMemory = 0.8;       // what an older sample counts after each new one
constexpr double kSilence = 2.0;            // silent for this many times the copy quantile: sick
constexpr double kReapLeast = 0.25;         // least aims unused after which a connection may have died unseen
constexpr double kReapMemory = 16;   // least aims in which the time after which they do grows e-fold again
constexpr double kNewestGain = 0.3;  // weight of the newest in the usual gap between queries, and their parts
// Page's test, as each of a large group meets a replica seldom: the log of how much likelier an outcome is
// from one that fails this share than from any is added up from 0. Sick from kBadFrom on (two failures among
constexpr double kBadShare = 0.5;  // five outcomes where few fail), counted up to kBadMost, and let back by a
constexpr double kBadFrom = 4, kBadMost = 4.5, kBadWell = 4;  // good trial part below kBadWell
constexpr double kFleetLeast = 0.02;   // what the fleet fails is taken for no less, and each outcome's weight
constexpr double kFleetGain = 0.01;    // in it is this: so a few failures do not condemn a good one
constexpr double kLossMemory = 4;      // least aims after which a replica lost unannounced counts 1/e
constexpr double kLossGuard = 0.5;     // more such losses than this: queries are sent by one part first
constexpr double kLossMost = 2;        // and more than this are not counted, lest the guard outlast them
constexpr double kWide = 0.4;          // short of refusals, queries for more than this share of the replicas
constexpr std::size_t kWideLeast = 8;  // and more parts than this go out part by part at this share of a
constexpr double kCanary = 0.25;       // median until one is answered: the first killing query is not known
constexpr double kNoHurry = 3;         // nor is a client with less time than so many medians kept waiting
constexpr double kZoneLeast = 4;   // outcomes late or failed beyond twice those in time before a whole zone
constexpr double kZoneRatio = 2;   // counts as far, when not all zones do
constexpr double kZoneMemory = 1;  // least aims after which such an outcome counts 1/e
constexpr double kZoneTrial = 1;   // least aims between trial parts to a far zone
constexpr double kTrialFirst = 0.25;                // least aims before a sick replica gets a trial part,
constexpr double kTrialTurns = 1.5, kBadTurns = 2;  // and parts sent to a healthy one, one that fails more:
constexpr double kTrialGrowth = 3;     // trials of a group add up; each failed one puts the next off by this,
constexpr double kTrialMost = 8;       // up to this one
constexpr double kAskFirst = 1.0 / 8;  // share of the time within which the list must be asked for that the
constexpr double kAskMost = 1.0 / 2;   // first further call waits at most, and any
constexpr std::uint64_t kAskLabel = 1;
constexpr double kColdHard = 0.5;    // share of the fall multiple that is never passed
constexpr double kColdBurst = 2;     // parts that a cold replica's account may hold at most
constexpr double kTenantBurst = 2;   // seconds of its share that a tenant may send at once
constexpr double kRetryAfter = 0.5;  // least aims a refused client is asked to stay away when calm

struct Attempt {
  EndpointId endpoint;
  Micros sent_us = 0;
  int depth = 1;  // parts of ours out at the replica, this one included
  bool out = true;
  bool never_ran = false;  // proved
  bool cancellation_requested = false;
  bool lost = false;  // its replica's process or the way to it went while it was out
  AttemptOutcome code = AttemptOutcome::kOk;
};

struct ShardRequest {
  Id id = 0;
  Id query = 0;  // 0: the query has ended, attempts may still be out
  int shard = 0;
  double weight = 0;
  std::uint64_t key = 0;
  bool in = false, wanted = false;
  PendingReason pending = PendingReason::kNone;  // as last told
  Micros idle_since_us = 0;                   // wanted, and nothing out since then
  std::vector<Attempt> attempts;
  int Out() const { return static_cast<int>(std::ranges::count_if(attempts, &Attempt::out)); }
};

struct Query {
  Id id = 0;
  std::int64_t number = 0;
  std::size_t class_index = 0;
  Micros objective_at_us = 0, deadline_us = 0;
  int step = 1;
  bool dispatched = false;  // the parts of this step were sent
  bool first_full = true;   // the first step's answer was whole
  int in = 0, sent = 0;     // parts of this step
  Micros newest_us = 0;     // when the newest first attempt of a part was sent
  Micros most_in_us = 0;    // when most of those sent were in
  bool vouched = false;     // a replica has answered a part of it and lives
  int losses = 0;           // parts that were out at a replica when it was lost
  double in_weight = 0;     // of this step
  double worth_factor = 1;  // late or over its tenant's share: worth less
  std::vector<Id> shard_requests;    // of this step
};

struct Server {
  Endpoint told;
  std::size_t zone = 0;
  bool usable = false;                       // listed and ready
  std::map<std::pair<Id, int>, Micros> out;  // attempts out, and when each was sent
  double cold_soft = 0, cold_hard = 0;       // parts that may be sent to it while it is cold
  Micros slow_start_us = 0;                  // when these were last filled
  double cold_seen = 0;                      // and what warm_sent was then
  double log_sum = 0, samples = 0;           // log of latency against the fleet's median
  double errors = 0;                         // how much likelier its outcomes are from a bad one, as a log
  double per_part_us = 0;                    // latency for each part of ours out; 0: not seen
  Micros replied_us = 0;
  Micros answered_us = 0;           // when the newest part that it answered had been sent
  bool outlier = false, unresponsive = false;  // dead: sick, and not for being slow: it answers nothing of use
  Micros used_us = 0;       // when something of ours last went to it or came back; 0: no connection yet
  Micros idle_sent_us = 0;  // a part that went out on a connection unused for idle_us, nothing back since
  double idle_us = 0;
  bool stale = false;  // the idle connection to it is not to be used
  bool lost = false;   // its process was lost unannounced, and that was counted
  Micros trial_us = 0;
  double trial_turn = 0, trial_factor = 1;
  bool Over() const { return told.availability == Availability::kGone && out.empty(); }
};

struct Zone {                              // as seen over the way from here
  double fine = 0, late = 0, overdue = 0;  // recent outcomes in time; failed or late; parts overdue now
  bool far = false;
  Micros trial_us = 0;
};

std::uint64_t Mix(std::uint64_t z) {  // splitmix64
  z = ((z + 0x9e3779b97f4a7c15ULL) ^ ((z + 0x9e3779b97f4a7c15ULL) >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

bool ProvesNotRun(AttemptOutcome code) {
  return code == AttemptOutcome::kOverloaded || code == AttemptOutcome::kConnectFailed ||
         code == AttemptOutcome::kNotSent;
}

}  // namespace

std::optional<std::string> CheckSettings(const Settings& s) {
  if (s.classes.empty()) return "no class of query";
  for (const QueryClassSettings& c : s.classes) {
    if (c.latency_objective_us <= 0 || c.client_timeout_us < c.latency_objective_us)
      return "a class's aim must be above 0 and within its give-up time";
    if (!(c.floor >= 0 && c.floor <= 1) || !(c.complete_coverage > 0 && c.complete_coverage <= 1))
      return "a share is not within 0 and 1";
    if (c.fetch_phase_requests < 0) return "a class fetches fewer than no parts";
  }
  if (s.cells < 1 || s.reach < 1 || s.reach > s.cells)
    return "the reach must be within 1 and the number of cells";
  if (s.shards < 1 || s.fleet_size < 1 || s.max_requests_per_call < 1 || s.max_attempts < 1)
    return "shards, group, parts of a call and attempts must be 1 or more";
  if (s.decision_interval_us < 0 || s.slow_start_us < 0 || s.collapse_window_us < 0)
    return "a span is below 0";
  if (s.has_retry_budget && s.retry_budget_window_us <= 0) return "the retry budget has no span";
  return std::nullopt;
}

struct Router::State {
  State(const Settings& settings, std::uint64_t seed)
      : s(settings), valid(!CheckSettings(settings)), random_state(seed) {
    if (!valid) return;
    min_latency_objective_us = static_cast<double>(s.classes[0].latency_objective_us);
    for (const QueryClassSettings& c : s.classes)
      min_latency_objective_us =
          std::min(min_latency_objective_us,
                   static_cast<double>(c.latency_objective_us) / (c.fetch_phase_requests > 0 ? 2 : 1));
    copy_span_us = static_cast<Micros>(2 * min_latency_objective_us);
    answer_margin_us = static_cast<Micros>(kTicksToAnswer *
                                           static_cast<double>(std::max<Micros>(s.decision_interval_us, 1)));
    for (auto [share, count] : kPrior) histogram[Bucket(share * min_latency_objective_us)] += count;
    per_part_us = kPrior[0].first * min_latency_objective_us;
    first_patience_us.assign(s.classes.size(), 0);
    class_parts.assign(s.classes.size(), 0);
    tenant_tokens.assign(s.tenants.size(), 0);
    for (std::size_t t = 0; t < s.tenants.size(); ++t) tenant_tokens[t] = TenantRate(t) * kTenantBurst;
  }

  // ================================ what is seen: latency and pressure ================================

  double Unit() { return static_cast<double>(Mix(random_state += 0x9e3779b97f4a7c15ULL) >> 11) * 0x1.0p-53; }

  static std::size_t Bucket(double latency_us) {
    double b = std::log(std::max(latency_us, 1000.0) / 1000.0) / std::log(kBucketGrowth);
    return static_cast<std::size_t>(std::clamp(b, 0.0, kBuckets - 1.0));
  }

  double Quantile(double share) const {
    double total = 0, sum = 0;
    for (double count : histogram) total += count;
    for (int b = 0; b < kBuckets; ++b) {
      sum += histogram[b];
      if (sum >= share * total) return 1000.0 * std::pow(kBucketGrowth, b + 0.5);
    }
    return 1000.0 * std::pow(kBucketGrowth, kBuckets);
  }

  // Once a tick: old observations fade, quantiles, pressure, the cut's level, refusals, health.
  void UpdateView() {
    double dt = viewed_us == 0 ? 0 : std::max(0.0, static_cast<double>(now - viewed_us));
    viewed_us = now;
    double keep = std::exp(-dt / (kLatencyMemory * min_latency_objective_us));
    reap_us *= std::exp(dt / (kReapMemory * min_latency_objective_us));
    proven_us *= std::exp(-dt / (kReapMemory * min_latency_objective_us));
    losses *= std::exp(-dt / (kLossMemory * min_latency_objective_us));
    for (double& count : histogram) count *= keep;
    for (auto [share, count] : kPrior)
      histogram[Bucket(share * min_latency_objective_us)] += (1 - keep) * count;
    median_us = Quantile(0.5);
    slow_us = Quantile(0.9);
    copy_us = Quantile(kCopyQuantile);
    warm_weight = usable = avoided = 0;
    JudgeZones(dt);
    for (auto& [id, server] : servers) {
      JudgeSilence(server);
      usable += server.usable ? 1 : 0;
      if (!server.usable || Avoided(server)) avoided += server.told.availability != Availability::kGone;
      if (server.usable && !server.outlier && Warmth(server) >= 1) warm_weight += server.told.weight;
    }
    UpdatePressure(dt);
    cut_level = std::clamp((pressure - kCutFrom) / (kCutFull - kCutFrom), 0.0, 1.0);
    refusal = std::clamp((pressure - kRefuseFrom) / (kRefuseFull - kRefuseFrom), 0.0, 1.0);
    for (std::size_t t = 0; t < tenant_tokens.size(); ++t) {
      double rate = TenantRate(t);
      tenant_tokens[t] = std::min(tenant_tokens[t] + rate * dt / 1e6, rate * kTenantBurst);
    }
  }

  // What a part sent now will take: time out of all parts over parts answered (Little's law), which shows a
  // jam while it builds, and its end at once (by past latency the cut swings from all to nothing), and what a
  // long query just sent adds. In a large group little of the latency is our own doing.
  void UpdatePressure(double dt) {
    double out_now = 0, capacity = 0;
    for (bool with_sick : {false, true}) {
      for (const auto& [id, server] : servers) {
        if (!server.usable || (Avoided(server) && !with_sick)) continue;
        out_now += static_cast<double>(server.out.size());
        capacity += Warmth(server);
      }
      if (capacity > 0) break;
    }
    double keep = std::exp(-dt / (std::max(kPressureMemory * min_latency_objective_us, query_gap_us)));
    exposure_us = keep * exposure_us + out_now * dt;
    answers = keep * answers + new_answers;
    new_answers = 0;
    double each = capacity > 0 ? out_now / capacity : 0, slope_us = kSlope * per_part_us;
    mean_out = keep * mean_out + (1 - keep) * each;
    double prior = kPressurePrior * kPrior[0].first * min_latency_objective_us;
    double latency = (exposure_us + prior) / (answers + kPressurePrior) + slope_us * (each - mean_out);
    pressure = std::max(latency, slope_us * (1 + each)) * kSpread / min_latency_objective_us;
  }

  // ================================ the list of replicas, and their health ================================

  void operator()(const EndpointListUpdate& update) {
    if (update.kind == EndpointListKind::kFailed) return AskAgain();
    if (update.kind != EndpointListKind::kDelta) {
      std::set<EndpointId> named;
      for (const Endpoint& endpoint : update.endpoints) named.insert(endpoint.id);
      for (auto& [id, server] : servers) {
        if (!named.contains(id)) server.told.availability = Availability::kGone, server.usable = false;
      }
    }
    for (const Endpoint& endpoint : update.endpoints) {
      bool known = servers.contains(endpoint.id);
      Server& server = servers[endpoint.id];
      bool restarted = endpoint.started_us != server.told.started_us;
      bool announced = server.told.availability != Availability::kReady;
      if (known && !announced && (restarted || endpoint.availability == Availability::kGone)) NoteLoss(server);
      server.told = endpoint;
      server.zone = static_cast<std::size_t>(std::max(endpoint.zone, 0));
      if (server.zone >= zones.size()) zones.resize(server.zone + 1);
      server.usable = endpoint.availability == Availability::kReady;
      if (restarted) {  // a new process: what the old one did says nothing
        server.log_sum = server.samples = server.errors = 0;
        server.outlier = server.unresponsive = server.lost = server.stale = false;
        server.used_us = 0;
        // Allowances of the group below one part in a window: who sends the first one is left to chance.
        server.cold_soft = server.cold_hard = Unit();
        server.slow_start_us = now;
        server.cold_seen = warm_sent;
      }
    }
    // A long day replaces them all many times over, and does not grow with them.
    std::erase_if(servers, [](const auto& one) { return one.second.Over(); });
    endpoints.assign(static_cast<std::size_t>(s.cells), {});
    for (auto& [id, server] : servers) {
      auto cell = static_cast<std::size_t>(server.told.cell);
      if (cell < endpoints.size()) endpoints[cell].push_back(&server);
    }
    if (update.kind != EndpointListKind::kCached) asks_failed = 0;
    if (update.kind == EndpointListKind::kCached && s.subscription_required) out->push_back(Subscribe{});
  }

  // A list service that is down or full turns calls away at once: asked again in the same round by a large
  // group it drowns in the asking. Each waits a random time, doubled by each failure, always asking well
  // within the time after which it counts as told. Also covers a broken subscription; news then comes later.
  void AskAgain() {
    if (!s.subscription_required) return;
    double most = static_cast<double>(s.poll_deadline_us) * kAskMost;
    double span =
        std::min(most, kAskFirst * static_cast<double>(s.poll_deadline_us) * std::exp2(asks_failed++));
    out->push_back(SetTimer{static_cast<Micros>(span * (0.5 + Unit()) / 1.5) + 1, kAskLabel});
  }

  void NoteLoss(Server& server) {
    if (!server.lost) losses = std::min(losses + 1, kLossMost);
    server.lost = true;
  }

  // The least share of its capacity a replica can have now.
  double Warmth(const Server& server) const {
    if (server.told.started_us == 0 || s.slow_start_us <= 0) return 1;
    double age = static_cast<double>(now - server.told.started_us) / static_cast<double>(s.slow_start_us);
    return age >= 1 ? 1 : s.slow_start_capacity + (1 - s.slow_start_capacity) * std::max(age, 0.0);
  }

  // Guard of the fourth rule. A cold replica gets its warmth's share of what we send warm ones; where no
  // other holder is left, kColdHard of the fall multiple times that. An account, not a count with a least of
  // one: what each of a large group does alone, all do at once. Traffic may be low for lack of holders: at
  // least one part at a time, shared by the group.
  bool ColdAllows(Server& server, bool hard) {
    double warmth = Warmth(server);
    if (warmth >= 1 || s.collapse_window_us <= 0) return true;
    double least = static_cast<double>(now - server.slow_start_us) / (median_us * s.fleet_size);
    double more = std::max(warm_sent - server.cold_seen, least) * server.told.weight * warmth;
    server.slow_start_us = now;
    server.cold_seen = warm_sent;
    server.cold_soft = std::min(server.cold_soft + more, kColdBurst);
    server.cold_hard =
        std::min(server.cold_hard + more * std::max(1.0, kColdHard * s.collapse_load_multiple), kColdBurst);
    return (hard ? server.cold_hard : server.cold_soft) >= 1;
  }

  void Trim(std::deque<Micros>& times, Micros span) const {
    while (!times.empty() && times.front() < now - span) times.pop_front();
  }

  void MarkSick(Server& server, bool unresponsive) {
    server.unresponsive = server.unresponsive || unresponsive;
    if (server.outlier) return;
    server.outlier = true;
    PutTrialOff(server, 1 / server.trial_factor);
  }

  void PutTrialOff(Server& server, double growth) {
    server.trial_factor = std::clamp(server.trial_factor * growth, 1.0, kTrialMost);
    server.trial_us = now + static_cast<Micros>(server.trial_factor * kTrialFirst * min_latency_objective_us);
    double turns = server.errors >= kBadWell ? kBadTurns : kTrialTurns;
    server.trial_turn = warm_sent + server.trial_factor * turns;
  }

  // A replica that answers nothing shows only by the age of what it holds. Where the first part went out on a
  // connection long unused, something between may have dropped that: the parts are sent elsewhere,
  // connections are closed before use after half that time, and the next part there tells which it was. What
  // drops unused connections drops them all: no sooner than after a time for which one was seen to live.
  void JudgeSilence(Server& server) {
    if (server.out.empty()) return;
    Micros oldest = now;
    for (const auto& [key, sent] : server.out) oldest = std::min(oldest, sent);
    if (server.replied_us > oldest || static_cast<double>(now - oldest) <= kSilence * copy_us) return;
    if (!server.outlier) MarkSick(server, true);
    if (oldest != server.idle_sent_us || server.idle_us <= proven_us || !s.cancellation_allowed) return;
    server.trial_us = 0;
    server.trial_turn = 0;
    reap_us =
        std::max({std::min(reap_us, server.idle_us) / 2, kReapLeast * min_latency_objective_us, proven_us});
    server.idle_sent_us = 0;
    server.stale = true;
    for (const auto& [key, sent] : server.out)
      out->push_back(Cancel{key.first, key.second, CancelReason::kDeadConnection});
  }

  // The way to a whole zone may be slow or lossy while each replica there is well: told by each for itself
  // it costs a part or two a replica. Far: parts there fail, or are late or overdue, in their majority, and
  // in another zone they are not. Its replicas count as sick then. Covers a cut link, a zone that drowns or
  // dies; with two zones it doubles the other's load, so that one must be seen well, and trial parts go on.
  void JudgeZones(double dt) {
    double keep = std::exp(-dt / (kZoneMemory * min_latency_objective_us));
    for (Zone& zone : zones) zone = {zone.fine * keep, zone.late * keep, 0, zone.far, zone.trial_us};
    for (const auto& [id, server] : servers) {
      for (const auto& [key, sent] : server.out) {
        if (static_cast<double>(now - sent) > kSlowRatio * median_us) ++zones[server.zone].overdue;
      }
    }
    bool well = std::ranges::any_of(zones, [](const Zone& z) { return z.fine > z.late + z.overdue; });
    for (Zone& zone : zones) {
      double late = zone.late + zone.overdue;
      zone.far = well && (zone.far ? late >= zone.fine : late > kZoneLeast + kZoneRatio * zone.fine);
      if (!zone.far) zone.trial_us = now + static_cast<Micros>(kZoneTrial * min_latency_objective_us);
    }
  }

  bool Avoided(const Server& server) const { return server.outlier || zones[server.zone].far; }

  void UseConnection(Server& server) {
    double idle = server.used_us > 0 ? static_cast<double>(now - server.used_us) : 0;
    if (server.out.empty()) {
      bool close = server.stale || idle > reap_us;
      auto reason = server.stale ? CloseReason::kDeadConnection : CloseReason::kIdleTimeout;
      if (close) out->push_back(Close{server.told.id, reason});
      server.stale = false;
      server.idle_sent_us = !close && idle > kReapLeast * min_latency_objective_us ? now : 0;
      server.idle_us = idle;
    }
    server.used_us = now;
  }

  void JudgeOutcome(Server& server, const AttemptFinished& ended, const Attempt& attempt) {
    if (ended.code == AttemptOutcome::kNotSent || ended.code == AttemptOutcome::kCancelled) return;
    if (ended.code != AttemptOutcome::kTimeout) server.replied_us = server.used_us = now;
    bool ok = ended.code == AttemptOutcome::kOk;
    if (ok && attempt.sent_us == server.idle_sent_us) proven_us = std::max(proven_us, server.idle_us);
    // Turned away: what it holds does not come in with the aim, nor would this part have.
    exposure_us += ended.code == AttemptOutcome::kOverloaded ? min_latency_objective_us : 0;
    new_answers += (ok && !server.outlier) || ended.code == AttemptOutcome::kOverloaded ? 1 : 0;
    bool failed = !ok && ended.code != AttemptOutcome::kOverloaded && ended.code != AttemptOutcome::kTimeout;
    if (ok || failed) {
      double usual = std::clamp(fleet_errors, kFleetLeast, kBadShare * kBadShare);
      double likelier = std::log(failed ? kBadShare / usual : (1 - kBadShare) / (1 - usual));
      server.errors = std::clamp(server.errors + likelier, 0.0, kBadMost);
      fleet_errors += kFleetGain * ((failed ? 1 : 0) - fleet_errors);
    }
    // No connection, or one lost: the process or the way to it is gone, whatever the list says.
    bool lost = ended.code == AttemptOutcome::kConnectFailed || ended.code == AttemptOutcome::kReset;
    double spent = static_cast<double>(ended.spent_us);
    Zone& zone = zones[server.zone];
    (ok && spent <= kSlowRatio * median_us ? zone.fine : zone.late) += 1;
    if (ok) {
      server.answered_us = std::max(server.answered_us, now - ended.spent_us);
      double ratio = std::log(std::max(spent, 1.0) / median_us);
      bool fit = ratio < std::log(kSlowRatio);
      if (server.outlier && fit && server.errors < kBadWell) {  // one answer among many errors is no recovery
        server.outlier = server.unresponsive = false;
        server.log_sum = server.samples = 0;
      } else if (server.outlier) {
        PutTrialOff(server, fit ? 1 / kTrialMost : kTrialGrowth);
      } else {
        histogram[Bucket(spent)] += 1;
        if (Warmth(server) >= 1) per_part_us += kPerPartGain * (spent / attempt.depth - per_part_us);
      }
      // Of a sick one too: where it is the last holder of a shard, this says what its parts will take.
      if (server.per_part_us == 0) server.per_part_us = per_part_us;
      server.per_part_us += kServerGain * (spent / attempt.depth - server.per_part_us);
      if (Warmth(server) >= 1) {  // a cold replica is slow by nature
        server.log_sum = server.log_sum * kHealthMemory + ratio;
        server.samples = server.samples * kHealthMemory + 1;
      }
    } else if (server.outlier) {
      PutTrialOff(server, kTrialGrowth);
    }
    bool slow = server.log_sum / (server.samples + kHealthPrior) > std::log(kSlowRatio);
    bool useless = lost || server.errors >= kBadFrom;
    if (useless || slow) MarkSick(server, useless);
  }

  // ================================ arrival and admission ================================

  static CompletionReason Because(CompletionCause cause, double observed, double threshold) {
    return {cause, static_cast<float>(observed), static_cast<float>(threshold), {}};
  }
  // Told for people only, and once: what is not out at all, or why it is not any more.
  bool MarkPending(ShardRequest& shard_request, PendingReason reason, double observed = 0, double threshold = 0,
                   const Choice& choice = {}) {
    if (pending != nullptr && shard_request.pending != reason && shard_request.Out() == 0)
      pending->push_back({shard_request.id, reason, static_cast<float>(observed), static_cast<float>(threshold), choice});
    shard_request.pending = reason;
    return false;
  }

  double TenantRate(std::size_t tenant) const { return s.tenants[tenant].quota_per_s / s.fleet_size; }

  void operator()(const QueryReceived& event) {
    auto c = static_cast<std::size_t>(event.class_index);
    if (c >= s.classes.size())
      return out->push_back(Fail{event.id, Because(CompletionCause::kUnknownClass, 0, 0)});
    taken.push_back(now);
    auto gap = static_cast<double>(std::min(now - query_us, s.classes[0].client_timeout_us * 2));
    if (query_us > 0) query_gap_us += kNewestGain * (gap - query_gap_us);
    query_us = now;
    Query query;
    query.id = event.id;
    query.number = event.number;
    query.class_index = c;
    query.deadline_us = now + event.timeout_remaining_us;
    const QueryClassSettings& cls = s.classes[c];
    // What a marked later try lacks of a first one's patience has passed already. An unmarked short patience,
    // or a marked one when first tries are as short, is no sign of that: the client is just in a hurry.
    Micros& first = first_patience_us[c];
    if (!event.is_retry) first = event.timeout_remaining_us;
    bool shortened = event.is_retry && event.timeout_remaining_us + answer_margin_us < first;
    Micros passed = shortened ? cls.client_timeout_us - event.timeout_remaining_us : 0;
    auto stretch = static_cast<Micros>(cls.objective_per_work * static_cast<double>(event.work_us));
    query.objective_at_us = std::min(now + cls.latency_objective_us + stretch - passed, query.deadline_us);
    if (query.objective_at_us <= now) query.worth_factor *= cls.late_value_fraction;
    auto tenant = static_cast<std::size_t>(event.tenant);
    if (tenant < tenant_tokens.size()) {
      if (tenant_tokens[tenant] < 1) query.worth_factor *= s.over_quota_value_factor;
      tenant_tokens[tenant] = std::max(tenant_tokens[tenant] - 1, 0.0);
    }
    numbers[event.number] = event.id;
    queries[event.id] = std::move(query);
  }

  void operator()(const ShardRequestReceived& event) {
    taken.push_back(now);
    auto number = numbers.find(event.number);
    if (number == numbers.end()) return;
    Query& query = queries.at(number->second);
    ShardRequest shard_request;
    shard_request.id = event.id;
    shard_request.query = query.id;
    shard_request.shard = event.shard;
    shard_request.weight = event.weight;
    shard_request.key = event.key;
    shard_request.idle_since_us = now;
    shard_requests[event.id] = std::move(shard_request);
    query.shard_requests.push_back(event.id);
    query.dispatched = false;
  }

  // Worth for each part of work; the class with the least goes first when not all can be done.
  double Density(std::size_t c) const { return s.classes[c].worth / std::max(class_parts[c], 1.0); }

  // What the best holder of the part's shard would take: a last holder may drown in a calm fleet.
  double ExpectedLatency(const ShardRequest& shard_request, EndpointId* whose = nullptr) {
    double best[2] = {0, 0};  // of healthy holders, of sick ones
    ForEachReplica(shard_request.shard, [&](const Server& server) {
      if (!server.usable) return;
      double each = server.per_part_us == 0 ? per_part_us : server.per_part_us;
      double expected = each * static_cast<double>(1 + server.out.size());
      double& least = best[Avoided(server) ? 1 : 0];
      if (whose != nullptr && (least == 0 || expected < least)) whose[Avoided(server)] = server.told.id;
      least = least == 0 ? expected : std::min(least, expected);
    });
    if (whose != nullptr && best[0] <= 0) whose[0] = whose[1];
    return best[0] > 0 ? best[0] : best[1];
  }

  bool Admit(const Query& query, double hottest, CompletionReason& reason) {
    double least = 1e300;
    for (std::size_t c = 0; c < s.classes.size(); ++c)
      if (class_parts[c] > 0) least = std::min(least, Density(c));
    reason = Because(CompletionCause::kNoRemainingValue, query.worth_factor, 0);
    if (query.worth_factor <= 0) return false;
    double hot = std::clamp((hottest - kHotFrom) / (kHotFull - kHotFrom), 0.0, 1.0);
    reason = hot > refusal ? Because(CompletionCause::kEndpointLoad, hottest, kHotFrom)
                           : Because(CompletionCause::kLoad, pressure, kRefuseFrom);
    double chance = std::max(refusal, hot) * least / (Density(query.class_index) * query.worth_factor);
    return Unit() >= chance;
  }

  // ================================ the cut: which parts are sent ================================

  void Dispatch(Query& query) {
    query.dispatched = true;
    std::size_t c = query.class_index;
    const QueryClassSettings& cls = s.classes[c];
    if (query.step == 1) {
      auto count = static_cast<double>(query.shard_requests.size());
      class_parts[c] = class_parts[c] == 0 ? count : class_parts[c] + kNewestGain * (count - class_parts[c]);
    }
    double aim = static_cast<double>(query.objective_at_us - now) /
                 (query.step == 1 && cls.fetch_phase_requests > 0 ? 2 : 1);
    std::vector<std::pair<ShardRequest*, double>> order;  // with the expected latency against the aim
    for (Id id : query.shard_requests) {
      ShardRequest& shard_request = shard_requests.at(id);
      order.push_back({&shard_request, aim > 0 ? ExpectedLatency(shard_request) / aim : 0});
    }
    std::stable_sort(order.begin(), order.end(),
                     [](auto& a, auto& b) { return a.first->weight < b.first->weight; });
    // The level is the share skipped of the weight that may be; the cut is the weight which that reaches.
    bool may_skip = cls.floor < cls.complete_coverage;
    double most = may_skip ? 1 - cls.floor : 0;
    double skipped = 0, hottest = 0;
    const ShardRequest* slowest = nullptr;
    for (auto& [shard_request, heat] : order) {
      shard_request->wanted = !may_skip || skipped + shard_request->weight > cut_level * most + 1e-12;
      if (shard_request->wanted) continue;
      skipped += shard_request->weight;
      MarkPending(*shard_request, PendingReason::kCutoff, cut_level, shard_request->weight);
    }
    // Beyond the cut: a part that cannot come in time from any holder only keeps those from others.
    for (auto& [shard_request, heat] : order) {
      if (!shard_request->wanted) continue;
      if (heat > kHotFull && skipped + shard_request->weight <= most) {
        shard_request->wanted = false;
        skipped += shard_request->weight;
        MarkPending(*shard_request, PendingReason::kEndpointLoad, heat, kHotFull);
      } else if (!may_skip) {
        if (heat > hottest) slowest = shard_request;
        hottest = std::max(hottest, heat);
      }
    }
    CompletionReason reason;
    if (query.step == 1 && !Admit(query, hottest, reason)) {
      EndpointId whose[2];
      if (reason.cause == CompletionCause::kEndpointLoad && slowest != nullptr)
        ExpectedLatency(*slowest, whose);
      reason.endpoint = whose[0];
      return GiveUp(query, reason);
    }
    for (auto it = order.rbegin(); it != order.rend(); ++it) {
      if (it->first->wanted) TrySend(query, *it->first);
    }
  }

  // ================================ the replica, and the send ================================

  template <typename Visit>
  void ForEachReplica(int shard, Visit visit) {
    for (int j = 0; j < s.reach && shard >= 0 && !endpoints.empty(); ++j) {
      for (Server* server : endpoints[static_cast<std::size_t>((shard + j) % s.cells)]) visit(*server);
    }
  }

  // Fewest of this aggregator's parts out, ties at random, among those that the filter lets through.
  Server* Choose(const ShardRequest& shard_request, bool copy, Choice* reason = nullptr) {
    std::set<EndpointId> tried;
    for (const Attempt& attempt : shard_request.attempts) tried.insert(attempt.endpoint);
    std::vector<Server*> healthy, cold, again, outlier, unresponsive;
    Server* trial = nullptr;
    auto note = [&](const Server& server, Eligibility standing) {
      if (reason == nullptr || reason->count == kMaxCandidates)
        return reason ? void(++reason->unlisted) : void();
      auto now_out = static_cast<std::uint16_t>(std::min<std::size_t>(server.out.size(), 0xffff));
      reason->endpoints[reason->count++] = {server.told.id, now_out, standing, false};
    };
    auto from = [&](const std::vector<Server*>& among) {
      for (std::size_t i = 0; reason != nullptr && i < reason->count; ++i)
        reason->endpoints[i].eligible = std::ranges::any_of(
            among, [&](const Server* server) { return server->told.id == reason->endpoints[i].endpoint; });
      return Fewest(shard_request, among);
    };
    ForEachReplica(shard_request.shard, [&](Server& server) {
      bool drains = server.told.availability == Availability::kDraining;
      if (!server.usable) return note(server, drains ? Eligibility::kDraining : Eligibility::kGone);
      if (!ColdAllows(server, true)) return note(server, Eligibility::kSlowStartLimit);
      bool was_tried = tried.contains(server.told.id);
      if (Avoided(server)) {
        note(server, !server.outlier  ? Eligibility::kZoneEjected
                     : server.unresponsive ? Eligibility::kUnresponsive
                                   : Eligibility::kOutlier);
        // Let back by few trial parts: one at a time, watched closely (kSickCopy); one for a whole far zone.
        const Zone& zone = zones[server.zone];
        bool due = now >= (zone.far ? zone.trial_us : server.trial_us);
        due = due && (zone.far || warm_sent >= server.trial_turn);
        if (shard_request.attempts.empty() && due && trial == nullptr) trial = &server;
        if (!was_tried) (server.unresponsive ? unresponsive : outlier).push_back(&server);
      } else if (was_tried) {
        note(server, Eligibility::kAlreadyTried);
        again.push_back(&server);
      } else {
        bool fit = ColdAllows(server, false);
        note(server, fit ? Eligibility::kEligible : Eligibility::kSlowStartShare);
        (fit ? healthy : cold).push_back(&server);
      }
    });
    if (trial != nullptr) {
      PutTrialOff(*trial, 1);
      zones[trial->zone].trial_us = now + static_cast<Micros>(kZoneTrial * min_latency_objective_us);
      return trial;
    }
    if (!healthy.empty()) return from(healthy);
    if (!cold.empty()) return from(cold);
    if (copy) return nullptr;
    // A slow one still answers; one that fails fast has nothing out and would draw every part.
    if (!outlier.empty()) return from(outlier);
    if (!unresponsive.empty()) return from(unresponsive);
    // All were tried: the same ones again, but not in a tight loop.
    if (again.empty() || static_cast<double>(now - shard_request.idle_since_us) < median_us) return nullptr;
    return from(again);
  }

  // Calls out at it if one more part were sent now: those of one round share calls.
  int CallsWithOneMore(const Server& server) const {
    std::map<Micros, int> rounds{{now, 1}};
    for (const auto& [key, sent] : server.out) ++rounds[sent];
    int calls = 0;
    for (auto [sent, count] : rounds)
      calls += (count + s.max_requests_per_call - 1) / s.max_requests_per_call;
    return calls;
  }

  // Counted by call, this part's own included. A tie is broken by what the settings state alone: a replica
  // that met a part's key of late does less work for it, so the whole group sends a key's parts at one cell
  // to the same holder, found by hashing. Else by chance. A hot key's holder fills up, and the count sends on
  // elsewhere.
  Server* Fewest(const ShardRequest& shard_request, const std::vector<Server*>& among) {
    std::vector<Server*> best;
    int least = 0;
    for (Server* server : among) {
      int calls = CallsWithOneMore(*server);
      if (!best.empty() && calls > least) continue;
      if (calls < least) best.clear();
      least = calls;
      best.push_back(server);
    }
    if (!s.key_affinity || shard_request.key == 0)
      return best[static_cast<std::size_t>(Unit() * static_cast<double>(best.size()))];
    auto heat = [&](const Server* server) {
      std::uint64_t id = std::uint64_t{server->told.id.address} << 16 | server->told.id.port;
      std::uint64_t cell = static_cast<std::uint64_t>(shard_request.shard % s.cells);
      return Mix(Mix(shard_request.key + cell) ^ id);
    };
    return *std::max_element(best.begin(), best.end(), [&](auto* a, auto* b) { return heat(a) < heat(b); });
  }

  // Guard of the sixth rule, and our own limit on copies.
  bool FurtherAllowed(bool copy) {
    if (s.has_retry_budget) {
      Trim(further, s.retry_budget_window_us + s.decision_interval_us);
      auto from = std::lower_bound(taken.begin(), taken.end(),
                                   now - s.retry_budget_window_us + s.decision_interval_us);
      double most = s.retry_budget_floor + s.retry_budget_ratio * static_cast<double>(taken.end() - from);
      if (static_cast<double>(further.size()) + 1 > most) return false;
    }
    if (!copy) return true;
    Trim(copies, copy_span_us);
    auto from = std::lower_bound(taken.begin(), taken.end(), now - copy_span_us);
    double won = (copies_won + kCopyPrior) / (copies_sent + kCopyPrior);
    double share = kCopyShare * std::clamp((won - kCopyLoses) / (kCopyWins - kCopyLoses), 0.0, 1.0);
    return static_cast<double>(copies.size()) < 1 + share * static_cast<double>(taken.end() - from);
  }

  // Guard of the second rule: may this part be sent once more?
  bool EffectAllows(const QueryClassSettings& cls, const ShardRequest& shard_request) const {
    for (const Attempt& attempt : shard_request.attempts) {
      if (attempt.never_ran) continue;
      if (cls.effect == Effect::kNonIdempotent) return false;
      bool outside = now + answer_margin_us - attempt.sent_us > cls.deduplication_window_us;
      if (cls.effect == Effect::kIdempotencyKey && outside) return false;
    }
    return true;
  }

  PendingReason Barred(const QueryClassSettings& cls, const ShardRequest& shard_request) const {
    // A part that was out at a replica that died may be what killed it. Resent freely, a few take down all
    // holders of their shards. A query of which a part was answered is none of these.
    bool lost = std::ranges::any_of(shard_request.attempts, &Attempt::lost);
    auto query = queries.find(shard_request.query);
    if (lost && (query == queries.end() || !query->second.vouched)) return PendingReason::kPoisonQuery;
    if (static_cast<int>(shard_request.attempts.size()) >= s.max_attempts) return PendingReason::kAttemptLimit;
    return EffectAllows(cls, shard_request) ? PendingReason::kNone : PendingReason::kNotRepeatable;
  }

  // Replicas were lost unannounced of late: a query that kills what begins a part of it may be about. Each is
  // sent by one part first, the others when that is answered, and takes one replica, not all.
  bool Held(const Query& query, bool first) const {
    if (query.vouched || query.step > 1) return false;
    bool guard = losses > kLossGuard;
    bool wide = query.shard_requests.size() > kWideLeast && static_cast<double>(query.shard_requests.size()) > kWide * usable;
    bool hurried = static_cast<double>(query.objective_at_us - now) < kNoHurry * median_us;
    if (!guard && (!wide || hurried || pressure > kRefuseFrom)) return false;
    if (first) return query.newest_us == 0 && query.shard_requests.size() > 1;
    return query.newest_us > 0 && (guard || static_cast<double>(now - query.newest_us) < kCanary * median_us);
  }

  bool TrySend(Query& query, ShardRequest& shard_request, bool suspect = false) {
    const QueryClassSettings& cls = s.classes[query.class_index];
    bool copy = shard_request.Out() > 0;
    bool more = !shard_request.attempts.empty();
    Micros left = query.deadline_us - now;
    if (left <= answer_margin_us)
      return MarkPending(shard_request, PendingReason::kDeadline, static_cast<double>(left) / 1e6,
                         static_cast<double>(answer_margin_us) / 1e6);
    if (PendingReason barred = Barred(cls, shard_request); barred != PendingReason::kNone)
      return MarkPending(shard_request, barred, static_cast<double>(shard_request.attempts.size()), s.max_attempts);
    if (!more && Held(query, false)) return MarkPending(shard_request, PendingReason::kCanary);
    if (copy && (!s.hedging_allowed || shard_request.Out() > 1)) return false;
    if (more && !FurtherAllowed(copy && !suspect)) return MarkPending(shard_request, PendingReason::kRetryBudget);
    DispatchReason reason{DispatchKind::kFirst, more ? shard_request.attempts.back().code : AttemptOutcome::kOk, {}};
    Server* server = Choose(shard_request, copy, &reason.choice);
    if (server == nullptr) return MarkPending(shard_request, PendingReason::kNoEndpoint, 0, 0, reason.choice);
    if (copy) {
      reason.kind = suspect ? DispatchKind::kOutlierHedge : DispatchKind::kStragglerHedge;
    } else if (more) {
      reason.kind = DispatchKind::kRetry;
    } else if (Avoided(*server) && std::ranges::none_of(reason.choice.endpoints, &Candidate::eligible)) {
      reason.kind = DispatchKind::kProbe;
    } else if (Held(query, true)) {
      reason.kind = DispatchKind::kCanary;
    }
    shard_request.pending = PendingReason::kNone;
    if (more) further.push_back(now);
    if (copy) copies_sent = kCopyMemory * copies_sent + 1, copies_won *= kCopyMemory;
    if (!more) query.newest_us = now, ++query.sent;
    if (copy && !suspect) copies.push_back(now);
    UseConnection(*server);
    if (!server->outlier && Warmth(*server) >= 1 && warm_weight > 0) warm_sent += 1 / warm_weight;
    --server->cold_soft;
    --server->cold_hard;
    server->out[{shard_request.id, static_cast<int>(shard_request.attempts.size())}] = now;
    shard_request.attempts.push_back({server->told.id, now, static_cast<int>(server->out.size())});
    out->push_back(Send{shard_request.id, server->told.id, query.deadline_us - answer_margin_us - now, reason});
    return true;
  }

  // ================================ outcomes ================================

  void operator()(const AttemptFinished& ended) {
    auto found = shard_requests.find(ended.shard_request);
    if (found == shard_requests.end()) return;
    ShardRequest& shard_request = found->second;
    auto index = static_cast<std::size_t>(ended.attempt);
    if (index >= shard_request.attempts.size() || !shard_request.attempts[index].out) return;
    Attempt& attempt = shard_request.attempts[index];
    attempt.out = false;
    attempt.never_ran = ProvesNotRun(ended.code);
    attempt.lost = ended.code == AttemptOutcome::kReset;
    attempt.code = ended.code;
    auto server = servers.find(attempt.endpoint);
    if (server != servers.end()) {
      server->second.out.erase({shard_request.id, ended.attempt});
      JudgeOutcome(server->second, ended, attempt);
      if (attempt.lost) NoteLoss(server->second);
    }
    auto query = queries.find(shard_request.query);
    if (shard_request.query == 0 || query == queries.end()) {
      if (shard_request.Out() == 0) shard_requests.erase(found);
      return;
    }
    if (shard_request.Out() == 0) shard_request.idle_since_us = now;
    if (attempt.lost) ++query->second.losses;
    if (ended.code != AttemptOutcome::kOk || shard_request.in) return;
    shard_request.in = true;
    if (ended.attempt > 0 && shard_request.Out() > 0) ++copies_won;
    query->second.vouched = true;
    if (++query->second.in >= kMostIn * query->second.sent && query->second.most_in_us == 0)
      query->second.most_in_us = now;
    query->second.in_weight += shard_request.weight;
    CancelOut(shard_request, CancelReason::kAnswered);
  }

  void CancelOut(ShardRequest& shard_request, CancelReason reason) {
    for (std::size_t a = 0; s.cancellation_allowed && a < shard_request.attempts.size(); ++a) {
      if (shard_request.attempts[a].out) out->push_back(Cancel{shard_request.id, static_cast<int>(a), reason});
    }
  }

  // ========================= review: retries, copies, the moment to answer =========================

  // Every tick, for every open query.
  void Review(Query& query) {
    const QueryClassSettings& cls = s.classes[query.class_index];
    double possible = query.in_weight;
    bool all_in = !query.shard_requests.empty();
    for (Id id : query.shard_requests) {
      ShardRequest& shard_request = shard_requests.at(id);
      if (shard_request.in) continue;
      all_in = false;
      if (!shard_request.wanted) continue;
      auto stuck = std::ranges::find_if(shard_request.attempts, &Attempt::out);
      if (stuck == shard_request.attempts.end()) {
        TrySend(query, shard_request);
      } else if (shard_request.Out() == 1 && CopyDue(query, *stuck)) {
        bool suspect = Suspect(*stuck);
        if (s.hedging_allowed) {
          TrySend(query, shard_request, suspect);
        } else if (suspect && !stuck->cancellation_requested && FurtherAllowed(false) && Choose(shard_request, true) != nullptr) {
          // Never two at once: called off, and sent again when that is confirmed. Only where the replica
          // looks sick: a part called off for its age alone is work thrown away.
          stuck->cancellation_requested = true;
          int attempt = static_cast<int>(stuck - shard_request.attempts.begin());
          out->push_back(Cancel{shard_request.id, attempt, CancelReason::kEndpointOutlier});
        }
      }
      if (shard_request.Out() > 0 || Barred(cls, shard_request) == PendingReason::kNone) possible += shard_request.weight;
    }
    // Replicas died under it and none has answered: it goes no further.
    bool expired = now >= query.deadline_us - answer_margin_us;
    int borne = losses > kLossGuard ? 0 : 1;
    if (!query.vouched && query.losses > borne)
      return GiveUp(query, Because(CompletionCause::kEndpointsLost, query.losses, borne));
    CompletionReason late =
        Because(CompletionCause::kExpired, static_cast<double>(query.deadline_us - now) / 1e6,
                static_cast<double>(answer_margin_us) / 1e6);
    if (query.shard_requests.empty() && query.step == 2) return expired ? GiveUp(query, late) : void();
    bool whole = query.in_weight >= cls.complete_coverage - kWeightSlack && (query.step == 1 || all_in);
    if (whole)
      return Conclude(query, query.step == 1 || query.first_full,
                      Because(CompletionCause::kComplete, query.in_weight, cls.complete_coverage));
    bool floor_in = query.in_weight >= cls.floor - kWeightSlack && query.in_weight > 0 &&
                    cls.floor < cls.complete_coverage;
    bool nothing_more = possible <= query.in_weight + 1e-12;
    Micros answer_at = query.objective_at_us - answer_margin_us -
                       static_cast<Micros>(kAnswerLead * min_latency_objective_us);
    if (query.step == 1 && cls.fetch_phase_requests > 0) answer_at -= static_cast<Micros>(slow_us);
    answer_at = std::min(answer_at, query.deadline_us - answer_margin_us);
    if (floor_in && (now >= answer_at || nothing_more)) {
      CompletionCause cause =
          nothing_more ? CompletionCause::kNoPendingRequests : CompletionCause::kLatencyObjective;
      return Conclude(query, false, Because(cause, query.in_weight, cls.floor));
    }
    double least = std::min(cls.floor, cls.complete_coverage);
    bool worthless = now >= query.objective_at_us - answer_margin_us && cls.late_value_fraction <= 0;
    if (possible < least - kWeightSlack)
      return GiveUp(query, Because(CompletionCause::kCoverageUnreachable, possible, least));
    double over = static_cast<double>(now - query.objective_at_us) / 1e6;
    if (expired || worthless) GiveUp(query, expired ? late : Because(CompletionCause::kNoLateValue, over, 0));
  }

  // Its replica is gone or looks sick, or has answered parts sent well after this one, which is lost then.
  bool Suspect(const Attempt& attempt) const {
    auto server = servers.find(attempt.endpoint);
    if (server == servers.end() || !server->second.usable || Avoided(server->second)) return true;
    return static_cast<double>(server->second.answered_us - attempt.sent_us) > copy_us;
  }

  // A part out far longer than its fellows took; at once where its replica looks sick or is gone.
  bool CopyDue(const Query& query, const Attempt& attempt) const {
    if (!(s.hedging_allowed || s.cancellation_allowed)) return false;
    if (static_cast<double>(query.deadline_us - now) < median_us) return false;
    double age = static_cast<double>(now - attempt.sent_us);
    if (Suspect(attempt)) return age > kSickCopy * median_us;
    const QueryClassSettings& cls = s.classes[query.class_index];
    double most_took = static_cast<double>(query.most_in_us - attempt.sent_us);
    // A whole-only query waits for its last part, be the fleet calm or not.
    bool behind = query.most_in_us > 0 && cls.floor >= cls.complete_coverage &&
                  age > kStraggler * most_took && age > median_us &&
                  static_cast<double>(query.objective_at_us - now) < kStragglerLead * slow_us;
    return (pressure < kCopyPressure && age > copy_us) || (pressure < kStragglerPressure && behind);
  }

  void Conclude(Query& query, bool full, const CompletionReason& reason) {
    out->push_back(Answer{query.id, full, reason});
    const QueryClassSettings& cls = s.classes[query.class_index];
    ReleaseParts(query);
    if (query.step == 1 && cls.fetch_phase_requests > 0) {
      query.step = 2;
      query.in = query.sent = 0;
      query.most_in_us = 0;
      query.first_full = full;
      query.in_weight = 0;
      return;
    }
    Forget(query);
  }

  // ================================ the end of a query ================================

  // Given up: told at once, with the time to come back. A refusal promises that nothing ran.
  void GiveUp(Query& query, const CompletionReason& reason) {
    const QueryClassSettings& cls = s.classes[query.class_index];
    auto unrun = [&](Id id) { return std::ranges::all_of(shard_requests.at(id).attempts, &Attempt::never_ran); };
    bool once = cls.effect == Effect::kNonIdempotent;
    bool harmless = !once || (query.step == 1 && std::ranges::all_of(query.shard_requests, unrun));
    if (harmless && now < query.deadline_us) {
      auto wait = static_cast<Micros>(min_latency_objective_us * (kRetryAfter + refusal));
      out->push_back(
          Reject{query.id, s.retry_after_allowed ? std::min(s.max_retry_after_us, wait) : 0, reason});
    } else {
      out->push_back(Fail{query.id, reason});
    }
    ReleaseParts(query);
    Forget(query);
  }

  void ReleaseParts(Query& query) {
    for (Id id : query.shard_requests) {
      ShardRequest& shard_request = shard_requests.at(id);
      shard_request.query = 0;
      CancelOut(shard_request, CancelReason::kQueryOver);
      if (shard_request.Out() == 0) shard_requests.erase(id);
    }
    query.shard_requests.clear();
  }

  void Forget(Query& query) {
    numbers.erase(query.number);
    ended.insert(query.id);  // erased after the round: callers still hold it
  }

  void operator()(const ClientDisconnected& gone) {
    auto query = queries.find(gone.id);
    if (query == queries.end()) return;
    ReleaseParts(query->second);
    Forget(query->second);
  }

  // ================================ one round ================================

  void operator()(const TimerFired& timer) {
    if (timer.label == kAskLabel) return out->push_back(Subscribe{});
    timer_set = false;
  }
  void operator()(const auto&) {}  // asked for nowhere

  void Handle(Micros at, std::span<const Event> events, std::vector<Action>& actions,
              std::vector<PendingShardRequest>* holds) {
    now = at;
    out = &actions;
    pending = holds;
    for (const Event& event : events) {
      const auto* query = std::get_if<QueryReceived>(&event);
      if (valid) std::visit(*this, event);
      if (!valid && query)
        actions.push_back(Fail{query->id, Because(CompletionCause::kInvalidSettings, 0, 0)});
    }
    if (!valid) return;
    UpdateView();
    for (auto& [id, query] : queries)
      if (!query.dispatched && !query.shard_requests.empty()) Dispatch(query);
    for (auto& [id, query] : queries)
      if (!ended.contains(id)) Review(query);
    for (Id id : ended) queries.erase(id);
    ended.clear();
    Trim(taken, std::max(s.retry_budget_window_us, copy_span_us));
    if (!timer_set && !queries.empty()) {
      timer_set = true;
      actions.push_back(SetTimer{std::max<Micros>(s.decision_interval_us, 1), 0});
    }
  }

  Settings s;
  bool valid;
  std::uint64_t random_state;
  Micros now = 0;
  std::vector<Action>* out = nullptr;
  std::vector<PendingShardRequest>* pending = nullptr;
  double min_latency_objective_us = 0;
  Micros answer_margin_us = 0, copy_span_us = 0;
  std::map<EndpointId, Server> servers;
  std::vector<std::vector<Server*>> endpoints;  // by cell, those usable or not
  double warm_weight = 0, warm_sent = 0;  // of all warm replicas; sent to one of weight 1 since the start
  std::map<Id, Query> queries;
  std::map<Id, ShardRequest> shard_requests;
  std::map<std::int64_t, Id> numbers;
  std::set<Id> ended;
  double histogram[kBuckets] = {};
  double median_us = 0, slow_us = 0, copy_us = 0;
  double exposure_us = 0, answers = 0, new_answers = 0, mean_out = 0;
  double per_part_us = 0, pressure = 0, cut_level = 0, refusal = 0;
  Micros viewed_us = 0;
  std::vector<Micros> first_patience_us;
  std::vector<double> class_parts, tenant_tokens;
  std::deque<Micros> taken, further, copies;
  std::vector<Zone> zones;
  double usable = 0, avoided = 0;  // replicas; those listed that drain, look sick or are far
  double reap_us = 1e12;    // connections unused for this long are closed before use; may grow without bound
  double proven_us = 0;     // the longest time that one was unused and lived, of late
  double losses = 0;        // replicas lost unannounced of late
  double fleet_errors = 0;  // recent share of failed outcomes, of all replicas
  double copies_sent = 0, copies_won = 0;  // of late
  bool timer_set = false;
  double query_gap_us = 0;  // usual time between queries of this instance; when the newest came:
  Micros query_us = 0;
  int asks_failed = 0;  // calls to the list service since it last answered
};

Router::Router(const Settings& settings, std::uint64_t seed)
    : state_(std::make_unique<State>(settings, seed)) {}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;

int Router::Avoided() const { return static_cast<int>(state_->avoided); }
void Router::Handle(Micros now, std::span<const Event> events, std::vector<Action>& actions,
                    std::vector<PendingShardRequest>* pending) {
  state_->Handle(now, events, actions, pending);
}

}  // namespace liftrudder::routing
