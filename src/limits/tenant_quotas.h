// Shares of what the program may take in: work by the told cost, and queries open, by tenant and by caller
// within it. Decides at once, without I/O; the time and the randomness are handed in. Not for several threads
// without a lock of the caller's.
//
// Each tenant's account fills at its share of the rate. What a full account cannot take is lent: it goes into
// one pool from which any tenant that is out of its own may take, and which holds a quarter of a second's at
// most. So lending never empties the account of who lends, and nothing has to be called back.
#ifndef LIFTRUDDER_LIMITS_TENANT_QUOTAS_H_
#define LIFTRUDDER_LIMITS_TENANT_QUOTAS_H_

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "limits/backoff.h"

namespace liftrudder::limits {

struct ShareSettings {
  double work_per_s = 0;      // of all tenants
  int most_open = 0;          // queries of all tenants
  double caller_share = 0.5;  // of its tenant's share and open queries, that one caller may have
  std::int64_t most_retry_us = 30'000'000;
  std::map<std::string, double, std::less<>> weights;  // above 0, by tenant
};

class TenantQuotas {
 public:
  using Micros = std::int64_t;

  TenantQuotas(ShareSettings settings, std::uint64_t seed);

  struct Verdict {
    bool granted = false;
    Micros retry_after_us =
        0;  // of a refusal: when the account will have what this asks, after those before it
  };
  // `cost` is its told work. What was granted is ended once by `End`. A tenant without a weight gets nothing.
  Verdict Ask(std::string_view tenant, std::string_view caller, double cost, Micros now_us);
  void End(std::string_view tenant, std::string_view caller);

  // Tenants or weights changed in service: accounts of those that stay keep what they have.
  void Take(std::map<std::string, double, std::less<>> weights);

  int Open() const { return open_; }
  std::size_t Authenticator() const { return authenticator_.size(); }

  static constexpr std::size_t kMostCallers = 4096;  // with an account of their own

 private:
  // Work that may be done now, at most a second's (kBurstS) of the rate.
  struct Account {
    double has = 0;
    Micros filled_us = 0;
    int open = 0;
  };
  struct Tenant {
    double share = 0;  // of all
    Account account;
    Micros promised_us = 0;  // until then the account's income belongs to those refused
  };
  struct Caller {
    Account account;
    std::list<std::string>::iterator age;
  };

  // Returns what did not fit.
  static double Fill(Account& account, double rate, Micros now_us);
  void FillAll(Micros now_us);
  Caller& Known(const std::string& key, double rate, Micros now_us);
  Micros Promise(Tenant& tenant, double missing, double rate, Micros now_us);

  const ShareSettings settings_;
  Backoff spread_;  // for its jitter alone
  std::map<std::string, Tenant, std::less<>> tenants_;
  std::map<std::string, Caller, std::less<>> authenticator_;  // by tenant and caller
  std::list<std::string> by_age_;                             // the longest unused first
  double pool_ = 0;
  int open_ = 0;
};

}  // namespace liftrudder::limits

#endif  // LIFTRUDDER_LIMITS_TENANT_QUOTAS_H_
