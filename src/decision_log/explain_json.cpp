// One query as JSON.
#include <cmath>
#include <nlohmann/json.hpp>

#include "decision_log/explain.h"

namespace liftrudder::decision_log {
namespace {

using Json = nlohmann::ordered_json;
using routing::SendKind;

Json Number(double value) { return std::isfinite(value) ? Json(value) : Json(nullptr); }
Json Milliseconds(std::int64_t us) { return Json(static_cast<double>(us) / 1000); }

Json JsonOf(const std::vector<ConsideredStory>& considered) {
  Json out = Json::array();
  for (const ConsideredStory& one : considered) {
    out.push_back({{"holder", Escaped(one.holder.id)},
                   {"out", one.out},
                   {"standing", Name(one.standing)},
                   {"eligible", one.eligible}});
  }
  return out;
}

Json JsonOf(const AttemptStory& one) {
  Json out = {{"attempt", one.number},
              {"holder", Escaped(one.holder.id)},
              {"addr", Escaped(one.holder.addr)},
              {"at_ms", Milliseconds(one.at_us)},
              {"timeout_ms", Milliseconds(one.timeout_us)},
              {"why", Name(one.kind)}};
  if (one.kind == SendKind::kResend) out["after"] = Name(one.after);
  out["considered"] = JsonOf(one.considered);
  if (one.unlisted > 0) out["unlisted"] = one.unlisted;
  if (one.cancelled_us)
    out["cancelled"] = {{"at_ms", Milliseconds(*one.cancelled_us)}, {"why", Name(one.cancel_why)}};
  if (one.ended_us) {
    out["ended"] = {{"at_ms", Milliseconds(*one.ended_us)},
                    {"outcome", Name(one.outcome)},
                    {"progress", Name(one.progress)},
                    {"cause", Name(one.cause)},
                    {"may_have_run", MayHaveRun(one.outcome)}};
  }
  return out;
}

}  // namespace

std::string JsonOf(const Story& story) {
  Json out = {{"id", Escaped(story.call_id)}, {"verdict", Name(story.verdict)}};
  if (!story.label.empty()) out["label"] = Escaped(story.label);
  if (story.id_cut) out["id_cut"] = true;
  if (story.repeated) out["repeated"] = true;
  if (story.events_cut) out["events_cut"] = true;
  if (story.torn) out["torn"] = true;
  out["front"] = Name(story.front);
  out["class"] = Escaped(story.class_name);
  out["arrived"] = WallTime(story.arrived_us);
  out["arrived_us"] = story.arrived_us;
  out["budget_ms"] = Milliseconds(story.budget_us);
  bool door = story.door != Door::kNone;
  out["reason"] = door ? Name(story.door) : Name(story.cause);
  if (story.verdict != Verdict::kOpen) {
    out["figure"] = Number(story.figure);
    out["bound"] = Number(story.bound);
    out["ended_ms"] = Milliseconds(story.ended_us);
  }
  if (story.blamed.number != 0) out["holder"] = Escaped(story.blamed.id);
  if (story.retry_after_us > 0) out["retry_after_ms"] = Milliseconds(story.retry_after_us);
  if (story.verdict == Verdict::kPartial || story.verdict == Verdict::kWhole) out["pieces"] = story.pieces;
  out["parts_told"] = story.parts_told;
  Json parts = Json::array();
  for (const PartStory& part : story.parts) {
    Json one = {{"shard", part.shard}, {"weight", Number(part.weight)}};
    if (part.work_us > 0) one["work_us"] = part.work_us;
    one["attempts"] = Json::array();
    for (const AttemptStory& attempt : part.attempts) one["attempts"].push_back(JsonOf(attempt));
    for (const HeldStory& held : part.held) {
      Json why = {{"at_ms", Milliseconds(held.at_us)},
                  {"why", Name(held.why)},
                  {"figure", Number(held.figure)},
                  {"bound", Number(held.bound)}};
      if (!held.considered.empty()) why["considered"] = JsonOf(held.considered);
      one["held"].push_back(std::move(why));
    }
    parts.push_back(std::move(one));
  }
  out["parts"] = std::move(parts);
  out["given"] = Json::array();
  for (const GivenStory& given : story.given) {
    out["given"].push_back({{"at_ms", Milliseconds(given.at_us)},
                            {"status", given.status},
                            {"bytes", given.bytes},
                            {"whole", given.whole}});
  }
  return out.dump(-1, ' ', true, Json::error_handler_t::replace);
}

}  // namespace liftrudder::decision_log
