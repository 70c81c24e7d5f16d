// One query in sentences.
#include <fmt/format.h>

#include <ctime>
#include <iterator>

#include "decision_log/explain.h"

namespace liftrudder::decision_log {
namespace {

using routing::EndCause;
using routing::HeldWhy;
using routing::OutcomeCode;
using routing::SendKind;
using routing::Standing;

std::string Seconds(std::int64_t us) { return fmt::format("{:.3f} s", static_cast<double>(us) / 1e6); }

const char* Words(Standing value) {
  switch (value) {
    case Standing::kFit:
      return "fit";
    case Standing::kTried:
      return "tried already";
    case Standing::kColdShare:
      return "cold, its share of traffic used up";
    case Standing::kColdAccount:
      return "cold, may get nothing more for now";
    case Standing::kSick:
      return "sick (slow or late)";
    case Standing::kDead:
      return "sick (answers nothing of use)";
    case Standing::kFarZone:
      return "its zone is out of reach";
    case Standing::kDraining:
      return "draining";
    case Standing::kGone:
      return "gone";
  }
  return "in a state this program does not know";
}

const char* Words(OutcomeCode value) {
  switch (value) {
    case OutcomeCode::kOk:
      return "was answered";
    case OutcomeCode::kError:
      return "ended in the holder's error";
    case OutcomeCode::kFull:
      return "was turned away by the holder";
    case OutcomeCode::kTimeout:
      return "got no answer in time";
    case OutcomeCode::kConnectFailed:
      return "got no connection";
    case OutcomeCode::kReset:
      return "lost its connection";
    case OutcomeCode::kCancelled:
      return "was called off";
    case OutcomeCode::kMoot:
      return "was never written";
  }
  return "ended in a way this program does not know";
}

std::string HowEnded(const AttemptStory& one) {
  std::string out;
  switch (one.cause) {
    case Cause::kServed:
      return "it was answered";
    case Cause::kBroke:
      out = "the holder said that it failed";
      break;
    case Cause::kSkipped:
      out = "the holder turned it away unseen";
      break;
    case Cause::kSpoilt:
      out = "what came back could not be used";
      break;
    case Cause::kConnectionLost:
      out = one.progress == Progress::kNotConnected ? "no connection came up" : "the connection was lost";
      break;
    case Cause::kWithdrawn:
      out = "it was called off";
      break;
    case Cause::kExpired:
      out = "its time was over without an answer";
      break;
    case Cause::kStale:
      out = "it was not written, as its time was over or the holder takes nothing new";
      break;
    case Cause::kLeft:
      out = "it was not written, as its client had left";
      break;
  }
  switch (one.progress) {
    case Progress::kNotConnected:
      out += " before anything was written";
      break;
    case Progress::kPartlyWritten:
      out += " while the request was being written";
      break;
    case Progress::kWhollyWritten:
      out += " after the request was written";
      break;
    case Progress::kAnswering:
      break;
  }
  return out + (MayHaveRun(one.outcome) ? ", so it may have run" : ", so it never ran");
}

std::string Listed(const std::vector<ConsideredStory>& considered, bool eligible, std::string_view but) {
  std::string out;
  for (const ConsideredStory& one : considered) {
    if (one.eligible != eligible || one.holder.id == but) continue;
    if (!out.empty()) out += ", ";
    out += one.standing == Standing::kFit && eligible
               ? fmt::format("{} had {}", Escaped(one.holder.id), one.out)
               : fmt::format("{} ({})", Escaped(one.holder.id), Words(one.standing));
  }
  return out;
}

std::string WhyThere(const AttemptStory& one) {
  int own = -1, least = -1, equals = 0, eligible = 0;
  Standing standing = Standing::kFit;
  for (const ConsideredStory& each : one.considered) {
    if (each.holder.number == one.holder.number) own = each.out, standing = each.standing;
    if (!each.eligible) continue;
    ++eligible;
    if (least < 0 || each.out < least) least = each.out, equals = 0;
    equals += each.out == least ? 1 : 0;
  }
  std::string out;
  if (one.kind == SendKind::kTrial) {
    out = fmt::format("as a trial, to see whether it is well again ({})", Words(standing));
  } else if (eligible == 1) {
    out = "as the only holder left to choose";
    if (standing != Standing::kFit) out += fmt::format(" ({})", Words(standing));
  } else if (own > least) {
    // Counted by call, or by key, where the settings say so.
    out = fmt::format("with {} of our parts out there", own);
  } else {
    out = fmt::format("since it had fewest of our parts out ({}", own);
    std::string others = Listed(one.considered, true, one.holder.id);
    if (!others.empty()) out += "; " + others;
    out += equals > 1 ? "; drawn among equals)" : ")";
  }
  std::string aside = Listed(one.considered, false, one.holder.id);
  if (!aside.empty()) out += "; set aside: " + aside;
  return out;
}

std::string WhySent(const AttemptStory& one) {
  switch (one.kind) {
    case SendKind::kFirst:
    case SendKind::kTrial:
      return "went to";
    case SendKind::kHeadStart:
      return "went ahead of the others to";
    case SendKind::kResend:
      return fmt::format("was sent again, since the attempt before {}, to", Words(one.after));
    case SendKind::kStragglerCopy:
      return "got a second copy, since the first took longer than its fellows, at";
    case SendKind::kSuspectCopy:
      return "got a second copy, since the first one's holder looked sick or was gone, at";
  }
  return "went, for a reason this program does not know, to";
}

std::string HeldWords(const HeldStory& held) {
  switch (held.why) {
    case HeldWhy::kCut:
      return fmt::format("was left out: light (weight {:.3f}) and below the cut, whose level was {:.2f}",
                         held.bound, held.figure);
    case HeldWhy::kHot:
      return fmt::format(
          "was left out: the best holder would have taken {:.2f} times the aim, {:.2f} at most is tried",
          held.figure, held.bound);
    case HeldWhy::kHeadStart:
      return "waited for the part of its query that went ahead";
    case HeldWhy::kNoReplica: {
      std::string aside = Listed(held.considered, false, "");
      return "could go nowhere" +
             (aside.empty() ? std::string(": no holder of its shard is known") : ": " + aside);
    }
    case HeldWhy::kBudget:
      return "was not sent again: the budget of further attempts is used up";
    case HeldWhy::kAttempts:
      return fmt::format("was not sent again: {:.0f} of {:.0f} attempts are used up", held.figure,
                         held.bound);
    case HeldWhy::kEffect:
      return "was not sent again: it may have run, and this class may not be repeated (any more)";
    case HeldWhy::kKiller:
      return "was not sent again: its holder died with it, and nothing of its query had been answered";
    case HeldWhy::kTooLate:
      return fmt::format("was not sent: only {:.3f} s were left, and {:.3f} s are kept back", held.figure,
                         held.bound);
    case HeldWhy::kNone:
      break;
  }
  return "was held for a reason this program does not know";
}

std::string EndWords(const Story& story) {
  double f = story.figure, b = story.bound;
  switch (story.cause) {
    case EndCause::kUnstated:
      return "";
    case EndCause::kWhole:
      return "all that a whole answer needs was in";
    case EndCause::kAim:
      return fmt::format("the wanted time had come with {:.0f}% of the weight in, at least {:.0f}% is needed",
                         f * 100, b * 100);
    case EndCause::kNothingMore:
      return fmt::format(
          "no missing part could still come, and {:.0f}% of the weight was in, at least {:.0f}% is needed",
          f * 100, b * 100);
    case EndCause::kPressure:
      return fmt::format("the pressure was {:.2f}, and refusals begin at {:.2f}", f, b);
    case EndCause::kHot:
      return fmt::format(
          "its slowest part would have taken {:.2f} times the wanted time{}, refusals begin at {:.2f}", f,
          story.blamed.number != 0 ? " (at " + Escaped(story.blamed.id) + ")" : "", b);
    case EndCause::kNoWorth:
      return "it came too late, or over its tenant's share, to be worth anything";
    case EndCause::kReplicasLost:
      return fmt::format("{:.0f} holders were lost under it with none of its parts answered, {:.0f} is borne",
                         f, b);
    case EndCause::kHopeless:
      return fmt::format("only {:.0f}% of the weight could still come in, and {:.0f}% is needed", f * 100,
                         b * 100);
    case EndCause::kWorthless:
      return "its wanted time had passed, and this class is worth nothing after that";
    case EndCause::kExpired:
      return "its time was over";
    case EndCause::kNoClass:
      return "there is no such class";
    case EndCause::kBadSettings:
      return "the settings cannot be used";
  }
  return "of a cause this program does not know";
}

std::string DoorWords(const Story& story) {
  switch (story.door) {
    case Door::kNone:
      return "";
    case Door::kUnreadable:
      return "what came could not be read as a request, or did not come in time";
    case Door::kMalformed:
      return "it is no query that this front understands";
    case Door::kDuplicateId:
      return "a query with this id was open";
    case Door::kTooManyOpen:
      return fmt::format("{:.0f} queries and parts would have been open, {:.0f} may be", story.figure,
                         story.bound);
    case Door::kTooManyConnections:
      return "too many connections were open";
    case Door::kLate:
      return "the core gave no answer in time, so the front did";
    case Door::kCrowded:
      return "the client wrote more before it had its answer";
    case Door::kLeft:
      return "the client closed its connection";
  }
  return "of a cause this program does not know";
}

std::string Outcome(const Story& story) {
  std::string why = story.door != Door::kNone ? DoorWords(story) : EndWords(story);
  switch (story.verdict) {
    case Verdict::kOpen:
      return "It is still open, or the record ends before its end.";
    case Verdict::kWhole:
      return fmt::format("It was answered whole after {}: {}.", Seconds(story.ended_us), why);
    case Verdict::kPartial:
      return fmt::format("It was answered in part, {} of {} parts, after {}: {}.", story.pieces,
                         story.parts_told, Seconds(story.ended_us), why);
    case Verdict::kRefused:
      return fmt::format("It was refused after {}: {}.{}", Seconds(story.ended_us), why,
                         story.retry_after_us > 0
                             ? " The client was told to come back in " + Seconds(story.retry_after_us) + "."
                             : "");
    case Verdict::kFailed:
      return fmt::format("It failed after {}: {}.", Seconds(story.ended_us), why);
    case Verdict::kLate:
      return fmt::format("It ran out of time after {}: {}.", Seconds(story.ended_us), why);
    case Verdict::kGone:
      return fmt::format("It ended without an answer after {}: {}.", Seconds(story.ended_us), why);
    case Verdict::kTurnedAway:
      return fmt::format("It was turned away at the door: {}.", why);
  }
  return "Its end is not one this program knows.";
}

}  // namespace

std::string Escaped(std::string_view text) {
  std::string out;
  for (char c : text) {
    if (c >= ' ' && c < 0x7f && c != '\\') {
      out += c;
    } else {
      fmt::format_to(std::back_inserter(out), "\\x{:02x}", static_cast<unsigned char>(c));
    }
  }
  return out;
}

std::string WallTime(std::int64_t us) {
  std::time_t seconds = us / 1'000'000;
  std::tm parts{};
  ::gmtime_r(&seconds, &parts);
  return fmt::format("{:04}-{:02}-{:02}T{:02}:{:02}:{:02}.{:03}Z", parts.tm_year + 1900, parts.tm_mon + 1,
                     parts.tm_mday, parts.tm_hour, parts.tm_min, parts.tm_sec, us / 1000 % 1000);
}

bool MayHaveRun(OutcomeCode code) {
  return code != OutcomeCode::kFull && code != OutcomeCode::kConnectFailed && code != OutcomeCode::kMoot;
}

std::string TextOf(const Story& story) {
  std::string out = fmt::format(
      "{}{}", story.call_id.empty() ? "A request without an id" : "Query " + Escaped(story.call_id),
      story.id_cut ? "... (a longer id)" : "");
  if (!story.label.empty()) out += fmt::format(" (the client's {})", Escaped(story.label));
  out += fmt::format(" came at {}", WallTime(story.arrived_us));
  if (!story.class_name.empty()) out += fmt::format(" as {}", Escaped(story.class_name));
  if (story.parts_told > 0) out += fmt::format(" with {} parts", story.parts_told);
  if (story.budget_us > 0) out += fmt::format(" and {} to wait", Seconds(story.budget_us));
  out += story.repeated ? ", marked as a further try.\n" : ".\n";
  for (std::size_t i = 0; i < story.parts.size(); ++i) {
    const PartStory& part = story.parts[i];
    out += fmt::format("  part {} (shard {}, weight {:.3f}):", i, part.shard, part.weight);
    if (part.attempts.empty() && part.held.empty()) out += " was not sent.";
    out += '\n';
    // In the order in which it happened.
    std::size_t held = 0;
    auto tell_held = [&](std::int64_t until_us) {
      for (; held < part.held.size() && part.held[held].at_us <= until_us; ++held)
        out += fmt::format("    {} it {}.\n", Seconds(part.held[held].at_us), HeldWords(part.held[held]));
    };
    for (const AttemptStory& one : part.attempts) {
      tell_held(one.at_us);
      out += fmt::format("    {} it {} {}, {}.\n", Seconds(one.at_us), WhySent(one), Escaped(one.holder.id),
                         WhyThere(one));
      if (one.cancelled_us && (!one.ended_us || one.cause != Cause::kServed)) {
        const char* why = one.cancel_why == routing::CancelWhy::kAnswered
                              ? "another attempt had been answered"
                          : one.cancel_why == routing::CancelWhy::kQueryOver ? "the query was over"
                          : one.cancel_why == routing::CancelWhy::kLooksSick ? "its holder looked sick"
                                                                             : "its connection seemed dead";
        out += fmt::format("    {} that attempt was called off: {}.\n", Seconds(*one.cancelled_us), why);
      }
      if (one.ended_us) {
        bool late = story.verdict != Verdict::kOpen && *one.ended_us > story.ended_us;
        out += fmt::format("    {} at {}: {}{}.\n", Seconds(*one.ended_us), Escaped(one.holder.id),
                           HowEnded(one), late ? " (after the query's end)" : "");
      }
    }
    tell_held(INT64_MAX);
  }
  out += Outcome(story) + "\n";
  for (const GivenStory& given : story.given) {
    if (story.verdict == Verdict::kTurnedAway) {
      out += fmt::format("The client was given status {}.\n", given.status);
      continue;
    }
    out += fmt::format("The client was given status {} and {} bytes by {}{}.\n", given.status, given.bytes,
                       Seconds(given.at_us), given.whole ? "" : ", but could not be written to");
  }
  if (story.events_cut) out += "Not all of it was kept: this query's share of the record was full.\n";
  if (story.torn) out += "A piece of the record was damaged or being written; the rest is shown.\n";
  return out;
}

}  // namespace liftrudder::decision_log
